"""Find the target that holds a flow which another balancer has placed.

The load it answers: a balancer ends or starts, and the fabric gives a share
of all flows to balancers that have never seen them, hundreds within a second.
Sending their packets from target to target would fill a slim link: an upload
has 16 packets of 1,200 bytes under way, and at 45 targets each would cross
the link up to 45 times, 7 s at 1 Mbit/s. So one packet asks, the others wait.
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
#: Seconds after which all others are asked although the first are silent:
#: five round trips between data centres.
WIDEN_S = 0.02
#: Seconds until those that have not answered are asked again.
ASK_AGAIN_S = 0.2
#: Seconds after which a search without packets is given up; a caller repeats
#: its data within 1.6 s.
FORGET_S = 5.0


class Holding(enum.IntEnum):
    """What an agent answers."""

    NOT_HELD = 0
    HELD = 1


class Search:
    """One search, from the first packet until all have answered."""

    def __init__(self, hosts: list[str], now: float) -> None:
        """Start without having asked.

        :param hosts: instances whose servers may hold the flow, the likeliest
            first.
        """
        self._hosts = hosts
        self._asked: dict[str, float] = {}
        self._denied: set[str] = set()
        self._began = now
        self._packets: list[typing.Any] = []

    @property
    def denied(self) -> set[str]:
        """Return the hosts that don't hold the flow."""
        return self._denied

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
        """Return the hosts to ask now."""
        first = self._hosts[:ASKED_FIRST]
        widened = now - self._began >= WIDEN_S
        if widened or self._denied.issuperset(first):
            first = self._hosts
        asked = [
            host
            for host in first
            if host not in self._denied
            and now - self._asked.get(host, -ASK_AGAIN_S) >= ASK_AGAIN_S
        ]
        for host in asked:
            self._asked[host] = now
        return asked

    def stale(self, now: float) -> bool:
        """Tell whether the search has been going on for too long."""
        return now - self._began > FORGET_S
