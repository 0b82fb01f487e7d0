"""Find the target that holds a flow which another balancer has placed.

The load it answers: balancers end or start, and the fabric gives a share of
all flows to balancers that have never seen them, hundreds within a second;
after a loss of power all flows of the fleet come so, and no target holds them
any more, which only all targets together can say. Balancers have slim links:
at 5 Mbit/s and 37 targets, questions to all of them, most with a packet, took
15 KB a flow and filled the link for ten seconds; openings and answers were
lost with them, and half of the searches took over 0.7 s. So a balancer asks
the likeliest targets only, and an agent, whose link is wide, asks the rest on
its behalf. The packets wait at the balancer.
"""

from __future__ import annotations

import enum
import typing

#: Packets kept of a flow that is searched for; a caller has at most 16 under
#: way.
PACKETS_KEPT = 16
#: Targets that the balancer asks itself. New flows are placed among these if
#: one of them has a free slot (see placing.CANDIDATES).
ASKED_FIRST = 4
#: Seconds after which the others are asked although some of the first are
#: silent: five round trips between data centres.
WIDEN_S = 0.02
#: Seconds until a relay that has not answered is replaced by another one,
#: doubled each time up to the longest; callers repeat their data after 0.2,
#: 0.6 and 1.4 s.
ASK_AGAIN_S = 0.2
LONGEST_AGAIN_S = 0.8
#: Hosts that one relay is given: with a whole packet and all headers, 40 fit
#: into 1,431 bytes.
HOSTS_PER_RELAY = 40
#: Seconds after which a search without packets is given up; a caller repeats
#: its data within 1.6 s.
FORGET_S = 5.0


class LocateResult(enum.IntEnum):
    """What an agent answers."""

    NOT_HELD = 0
    HELD = 1
    UNSURE = 2


class Search:
    """One search, from the first packet until all have answered."""

    def __init__(self, hosts: list[str], now: float) -> None:
        """Start without having asked.

        :param hosts: instances whose servers may hold the flow, the likeliest
            first.
        """
        self._hosts = hosts
        self._asked: set[str] = set()
        self._answered: set[str] = set()
        self._denied: set[str] = set()
        self._began = now
        self._relayed_at: float | None = None
        self._relay_rounds = 0
        self._packets: list[typing.Any] = []
        self._layout_revision = 0

    @property
    def denied(self) -> set[str]:
        """Return the hosts that don't hold the flow."""
        return self._denied

    @property
    def began(self) -> float:
        """Return when the search began, seconds."""
        return self._began

    @property
    def layout_revision(self) -> int:
        """Return the newest that anybody told who denied the flow.

        The denials prove that nobody holds the flow only if they come from
        all targets that those who were asked know of.
        """
        return self._layout_revision

    @property
    def relay_rounds(self) -> int:
        """Return how often relays were asked."""
        return self._relay_rounds

    @property
    def all_denied(self) -> bool:
        """Tell whether nobody holds the flow: all were asked and said so.

        A host that is silent has not said so. Taking its silence for a no
        would reset flows of servers that live while their agent restarts.
        """
        return self._denied.issuperset(self._hosts)

    @property
    def probe(self) -> typing.Any:
        """Return the packet to ask with, the shortest that is kept."""
        return min(self._packets, key=lambda item: item.length, default=None)

    def add_packet(self, item: typing.Any) -> None:
        """Keep a packet until the flow is found; the oldest go first."""
        if any(item.raw == kept.raw for kept in self._packets):
            return
        if len(self._packets) >= PACKETS_KEPT:
            self._packets.pop(0)
        self._packets.append(item)

    def take_packets(self) -> list[typing.Any]:
        """Return the packets kept, and keep them no longer."""
        packets, self._packets = self._packets, []
        return packets

    def note_denial(self, host: str, layout_revision: int = 0) -> None:
        """Note that a host doesn't hold the flow.

        :param layout_revision: the newest that it, or who asked it, told; 0
            if nobody did.
        """
        self._layout_revision = max(self._layout_revision, layout_revision)
        self._answered.add(host)
        self._denied.add(host)

    def note_unsure(self, host: str) -> None:
        """Note that a host can't tell without a packet."""
        self._answered.add(host)

    def set_hosts(self, hosts: list[str]) -> None:
        """Take over the hosts that may hold the flow by now."""
        self._hosts = hosts

    def hosts_to_ask(self) -> list[str]:
        """Return the hosts that the balancer asks itself, each once."""
        return [
            host
            for host in self._hosts[:ASKED_FIRST]
            if host not in self._asked and host not in self._denied
        ]

    def asked(self, host: str) -> None:
        """Note that the balancer has asked a host."""
        self._asked.add(host)

    def hosts_for_relays(self, now: float) -> list[str]:
        """Return the hosts that relays are to ask now, if any."""
        if self._relayed_at is None:
            waits = not self._answered.issuperset(self._hosts[:ASKED_FIRST])
            if waits and now - self._began < WIDEN_S:
                return []
        elif now - self._relayed_at < self._relay_wait_s():
            return []
        return [host for host in self._hosts if host not in self._denied]

    def _relay_wait_s(self) -> float:
        doubled = ASK_AGAIN_S * 2 ** (self._relay_rounds - 1)
        return min(LONGEST_AGAIN_S, doubled)

    def relayed(self, now: float) -> None:
        """Note that relays were asked."""
        self._relayed_at = now
        self._relay_rounds += 1

    def stale(self, now: float) -> bool:
        """Tell whether the search has been going on for too long."""
        return now - self._began > FORGET_S
