"""Find the target that holds a flow which another balancer has placed.

The load it answers: a balancer ends or starts, and the fabric gives a share
of all flows to balancers that have never seen them, hundreds within a second.
Sending their packets from target to target would fill a slim link: an upload
has 16 packets of 1,200 bytes under way, and at 45 targets each would cross
the link up to 45 times, 7 s at 1 Mbit/s. So a question of 20 bytes goes round
and the packets wait. Questions have a budget and are repeated ever more
seldom: asked again each 0.2 s, 100 flows at 45 targets of which some are cut
off took 12 Mbit/s of a link of 10, and the answers were lost with the rest.
"""

from __future__ import annotations

import enum
import typing

#: Packets kept of a flow that is searched for; a caller has at most 16 under
#: way.
PACKETS_KEPT = 16
#: Targets asked first. New flows are placed among these if one of them has a
#: free slot (see placing.CANDIDATES).
ASKED_FIRST = 4
#: Targets asked in the second round; a third asks all. A flow that was placed
#: while its first four were loaded may be anywhere, and on average half of the
#: questions to the rest are spared.
ASKED_SECOND = 16
#: Seconds after which a round is over although some are silent: five round
#: trips between data centres.
WIDEN_S = 0.02
#: Seconds until those that have not answered are asked again, doubled each
#: time; callers repeat their data after 0.2, 0.6 and 1.4 s.
ASK_AGAIN_S = 0.2
#: Bytes a second, and at once, that a balancer spends on questions, with 28
#: bytes of headers each: a third of a link of 10 Mbit/s. When all processes
#: were killed at 45 targets, some 80 flows a balancer were searched for, at
#: 10 KB each, for agents were too young to know; 100 KB/s took 12 s for that.
BYTES_PER_S = 400_000.0
BYTES_AT_ONCE = 200_000.0
HEADER_BYTES = 28
#: Seconds after which a search without packets is given up; a caller repeats
#: its data within 1.6 s.
FORGET_S = 5.0


class Holding(enum.IntEnum):
    """What an agent answers."""

    NOT_HELD = 0
    HELD = 1
    UNSURE = 2


class _Asked(typing.NamedTuple):
    """When a host was asked last, and how often."""

    at: float
    times: int


class Search:
    """One search, from the first packet until all have answered."""

    def __init__(self, hosts: list[str], now: float) -> None:
        """Start without having asked.

        :param hosts: instances whose servers may hold the flow, the likeliest
            first.
        """
        self._hosts = hosts
        self._asked: dict[str, _Asked] = {}
        self._denied: set[str] = set()
        self._began = now
        self._packets: list[typing.Any] = []

    @property
    def denied(self) -> set[str]:
        """Return the hosts that don't hold the flow."""
        return self._denied

    @property
    def began(self) -> float:
        """Return when the search began, seconds."""
        return self._began

    @property
    def over(self) -> bool:
        """Tell whether nobody holds the flow: all were asked and said so.

        A host that is silent has not said so. Taking its silence for a no
        would reset flows of servers that live while their agent restarts.
        """
        return self._denied.issuperset(self._hosts)

    @property
    def probe(self) -> typing.Any:
        """Return the packet to ask with, the shortest that is kept."""
        return min(self._packets, key=lambda item: item.length, default=None)

    def keep(self, item: typing.Any) -> None:
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

    def deny(self, host: str) -> None:
        """Note that a host doesn't hold the flow."""
        self._denied.add(host)

    def restrict(self, hosts: list[str]) -> None:
        """Take over the hosts that may hold the flow by now."""
        self._hosts = hosts

    def due(self, now: float) -> list[str]:
        """Return the hosts to ask now, the likeliest first."""
        first = self._hosts[: self._reach(now)]
        return [
            host
            for host in first
            if host not in self._denied and self._is_due(host, now)
        ]

    def _reach(self, now: float) -> int:
        """Return how many of the hosts are asked by now."""
        rounds = (ASKED_FIRST, ASKED_SECOND)
        for number, count in enumerate(rounds, 1):
            denied = self._denied.issuperset(self._hosts[:count])
            if not denied and now - self._began < number * WIDEN_S:
                return count
        return len(self._hosts)

    def _is_due(self, host: str, now: float) -> bool:
        asked = self._asked.get(host)
        if asked is None:
            return True
        return now - asked.at >= ASK_AGAIN_S * 2 ** (asked.times - 1)

    def asked(self, host: str, now: float) -> None:
        """Note that a host was asked."""
        times = self._asked[host].times if host in self._asked else 0
        self._asked[host] = _Asked(now, times + 1)

    def stale(self, now: float) -> bool:
        """Tell whether the search has been going on for too long."""
        return now - self._began > FORGET_S
