"""Track the search for the target that holds an unknown flow.

When balancers stop or start, the fabric sends a share of all flows, hundreds
within a second, to balancers that have never seen them. After a power loss
this happens to all flows, and no target holds them any more, which is certain
only after all targets have answered. Balancers have slow links: at 5 Mbit/s
and 37 targets, queries to all of them, most with a packet, took 15 KB a flow
and filled the link for ten seconds. Openings and answers were lost as well,
and half of the searches took over 0.7 s. A balancer therefore queries only
the most likely targets, and an agent, which has a fast link, queries the
others on its behalf. The balancer holds the flow's packets meanwhile.
"""

from __future__ import annotations

import enum
import typing

from teaseldock.packets import flow_numbers

#: Packets held for a flow during its search; a caller has at most 16 in
#: flight.
MAX_PACKETS = 16
#: Number of targets that the balancer queries itself. New flows are placed on
#: these targets if one of them has a free slot (see placing.CANDIDATES).
DIRECT_QUERIES = 4
#: Seconds after which the other targets are queried although some of the
#: first have not answered: five round trips between data centres.
DIRECT_QUERY_TIMEOUT_S = 0.02
#: Seconds after which another relay replaces one that has not answered,
#: doubled each time up to MAX_RELAY_RETRY_S; callers retransmit their data
#: after 0.2, 0.6 and 1.4 s.
RELAY_RETRY_S = 0.2
MAX_RELAY_RETRY_S = 0.8
#: Maximum number of hosts in one relay request: with a whole packet and all
#: headers, 40 hosts fit into 1,431 bytes.
HOSTS_PER_RELAY = 40
#: Seconds after which a search expires; a caller retransmits its data within
#: 1.6 s.
SEARCH_TTL_S = 5.0
#: Maximum seconds between two copies of a caller's data, and some for its way.
CALLER_REPEAT_S = 2.0


class LocateResult(enum.IntEnum):
    """An agent's answer to the query whether its server holds a flow."""

    NOT_HELD = 0
    HELD = 1
    UNSURE = 2


class Search:
    """The state of one search, from its first packet to its result."""

    def __init__(self, hosts: list[str], now: float) -> None:
        """Create a search that has not queried any host.

        :param hosts: instances whose servers may hold the flow, the most
            likely first.
        """
        self._hosts = hosts
        self._named_hosts: list[str] = []
        self._asked: set[str] = set()
        self._answered: set[str] = set()
        self._denied: set[str] = set()
        self._began = now
        self._relayed_at: float | None = None
        self._relay_rounds = 0
        self._packets: list[typing.Any] = []
        self._numbers: flow_numbers.FlowNumbers | None = None
        self._layout_revision = 0

    @property
    def denied(self) -> set[str]:
        """Return the hosts that don't hold the flow."""
        return self._denied

    @property
    def began(self) -> float:
        """Return the start time of the search, in seconds."""
        return self._began

    @property
    def layout_revision(self) -> int:
        """Return the newest layout revision received with a denial.

        The denials prove that no target holds the flow only if they come from
        all targets up to this revision.
        """
        return self._layout_revision

    @property
    def relay_rounds(self) -> int:
        """Return the number of rounds of relay requests."""
        return self._relay_rounds

    @property
    def all_denied(self) -> bool:
        """Return whether all hosts have denied holding the flow.

        A missing answer is no denial. If it counted as one, flows of live
        servers would be reset while their agents restart.
        """
        return self._denied.issuperset(self._hosts)

    @property
    def probe(self) -> typing.Any:
        """Return the shortest held packet, or None; probes carry it."""
        return min(self._packets, key=lambda item: item.length, default=None)

    def add_packet(self, item: typing.Any) -> None:
        """Hold a packet until the search ends; evict the oldest if full."""
        if self._numbers is None:
            self._numbers = flow_numbers.of_packet(item)
        if any(item.raw == kept.raw for kept in self._packets):
            return
        if len(self._packets) >= MAX_PACKETS:
            self._packets.pop(0)
        self._packets.append(item)

    def covers(self, item: typing.Any) -> bool:
        """Return whether a packet may be of the flow that is searched for.

        It isn't if the caller has opened another flow from the same port since
        the search began: a host that denied the former flow may hold it.
        """
        return self._numbers is None or self._numbers.include(item)

    def is_answered_by(self, acknowledged: int | None) -> bool:
        """Return whether an answer is about the flow that is searched for.

        :param acknowledged: number in the query that it answers; None if the
            answer doesn't tell it.
        """
        if acknowledged is None or self._numbers is None:
            return True
        return flow_numbers.are_near(acknowledged, self._numbers.acknowledged)

    def take_packets(self) -> list[typing.Any]:
        """Remove and return the held packets."""
        packets, self._packets = self._packets, []
        return packets

    def note_denial(self, host: str, layout_revision: int = 0) -> None:
        """Record that a host doesn't hold the flow.

        :param layout_revision: newest layout revision that the host or its
            relay reported; 0 if none.
        """
        self._layout_revision = max(self._layout_revision, layout_revision)
        self._answered.add(host)
        self._denied.add(host)

    def note_unsure(self, host: str) -> None:
        """Record that a host can't answer without a packet of the flow."""
        self._answered.add(host)

    def set_hosts(self, hosts: list[str]) -> None:
        """Replace the hosts that may hold the flow, but for named ones."""
        self._hosts = list(dict.fromkeys(hosts + self._named_hosts))

    def add_hosts(self, hosts: list[str]) -> None:
        """Add hosts that an agent has named."""
        self._named_hosts = list(dict.fromkeys(self._named_hosts + hosts))
        self.set_hosts(self._hosts)

    def hosts_to_query(self) -> list[str]:
        """Return the hosts that the balancer has yet to query itself."""
        return [
            host
            for host in self._hosts[:DIRECT_QUERIES]
            if host not in self._asked and host not in self._denied
        ]

    def asked(self, host: str) -> None:
        """Record that the balancer has queried a host."""
        self._asked.add(host)

    def hosts_for_relays(self, now: float) -> list[str]:
        """Return the hosts that relays must query now, if any."""
        if self._relayed_at is None:
            waits = not self._answered.issuperset(self._hosts[:DIRECT_QUERIES])
            if waits and now - self._began < DIRECT_QUERY_TIMEOUT_S:
                return []
        elif now - self._relayed_at < self._relay_wait_s():
            return []
        return [host for host in self._hosts if host not in self._denied]

    def _relay_wait_s(self) -> float:
        doubled = RELAY_RETRY_S * 2 ** (self._relay_rounds - 1)
        return min(MAX_RELAY_RETRY_S, doubled)

    def relayed(self, now: float) -> None:
        """Record that a round of relay requests was sent."""
        self._relayed_at = now
        self._relay_rounds += 1

    def stale(self, now: float) -> bool:
        """Return whether the search has expired."""
        return now - self._began > SEARCH_TTL_S
