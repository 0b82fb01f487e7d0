"""See a backend server's flows and load in the packets that pass."""

from __future__ import annotations

import collections
import typing

from teaseldock import load

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet

#: Flows tracked; a backend server holds 2,000 on the users' sheets. A flow
#: beyond is carried as well, it is only missing in the load.
FLOWS_TRACKED = 8_000
#: Seconds after which a flow without packets counts as ended: callers give a
#: request up after some seconds, servers close idle flows after 12 or 15.
IDLE_S = 20.0
#: Seconds for which a flow that is opening counts as a request: its first
#: request is one round trip to the caller behind, 2 to 6 ms.
OPENING_S = 0.1
#: Time constant of the mean load, seconds: two to four requests of a feed.
MEAN_S = 2.0
#: Openings without an answer after which a server counts as silent, and the
#: seconds that the oldest must have waited: a server answers in under 1 ms.
SILENT_OPENINGS = 2
SILENT_S = 0.15


class _Flow:
    """One flow as its packets show it."""

    __slots__ = ('opened_at', 'answered', 'asked_at', 'seen_at')

    def __init__(self, now: float) -> None:
        self.opened_at = now
        self.answered = False
        self.asked_at: float | None = None
        self.seen_at = now


class Tracker:
    """Flows and requests of one backend server."""

    def __init__(self, now: float) -> None:
        """Start without flows."""
        self._flows: collections.OrderedDict[bytes, _Flow] = (
            collections.OrderedDict()
        )
        self._asked = 0
        self._mean = 0.0
        self._mean_at = now
        self._unanswered: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._refusing = False

    @property
    def flows(self) -> int:
        """Return the number of flows held."""
        return len(self._flows)

    @property
    def asked(self) -> int:
        """Return the number of flows whose request has no answer yet."""
        return self._asked

    def holds(self, flow: bytes) -> bool:
        """Tell whether packets showed that the server holds a flow."""
        return flow in self._flows

    def responsive(self, now: float) -> bool:
        """Tell whether the server answers openings."""
        if self._refusing:
            return False
        if len(self._unanswered) < SILENT_OPENINGS:
            return True
        oldest = next(iter(self._unanswered.values()))
        return now - oldest < SILENT_S

    def server_refuses(self) -> bool:
        """Note that the server's port is closed; tell whether that is new."""
        new = not self._refusing
        self._refusing = True
        self._flows.clear()
        self._asked = 0
        return new

    def from_caller(self, item: packet.Packet, now: float) -> None:
        """Note a packet that goes to the server."""
        if item.opening:
            self._unanswered.setdefault(item.flow, now)
            if len(self._unanswered) > FLOWS_TRACKED:
                self._unanswered.popitem(last=False)
            return
        known = self._flows.get(item.flow)
        if known is None:
            return
        known.seen_at = now
        if item.resetting:
            self.forget(item.flow)
            return
        if item.length and known.asked_at is None:
            self._settle(now)
            known.asked_at = now
            self._asked += 1

    def from_server(self, item: packet.Packet, now: float) -> float | None:
        """Note a packet of the server; return a request's time in seconds.

        The time runs from the request's first packet to the answer's first.
        """
        self._refusing = False
        self._unanswered.clear()
        known = self._flows.get(item.flow)
        if item.resetting:
            self.forget(item.flow)
            return None
        if known is None:
            known = self._flows[item.flow] = _Flow(now)
            if len(self._flows) > FLOWS_TRACKED:
                self.forget(next(iter(self._flows)))
        known.seen_at = now
        taken_s = None
        if item.length and known.asked_at is not None:
            self._settle(now)
            taken_s = now - known.asked_at
            known.asked_at = None
            self._asked -= 1
        if item.closing:
            self.forget(item.flow)
        return taken_s

    def returned(self, flow: bytes) -> None:
        """Note that the server does not hold a flow."""
        self._unanswered.pop(flow, None)
        self.forget(flow)

    def forget(self, flow: bytes) -> None:
        """Drop a flow that has ended."""
        known = self._flows.pop(flow, None)
        if known is not None and known.asked_at is not None:
            self._asked -= 1

    def sweep(self, now: float) -> None:
        """Drop flows without packets for long."""
        stale = [
            flow
            for flow, known in self._flows.items()
            if now - known.seen_at > IDLE_S
        ]
        for flow in stale:
            self.forget(flow)
        while self._unanswered:
            flow, since = next(iter(self._unanswered.items()))
            if now - since < 1.0:
                break
            del self._unanswered[flow]

    def _settle(self, now: float) -> None:
        """Let the mean follow the present number up to now."""
        share = min(1.0, (now - self._mean_at) / MEAN_S)
        self._mean += (self._asked - self._mean) * share
        self._mean_at = now

    def load(self, slots: int, now: float) -> load.Load:
        """Return the load for a report.

        :param slots: requests that the server runs at once.
        """
        self._settle(now)
        opening = sum(
            1 for since in self._unanswered.values() if now - since < OPENING_S
        )
        present = self._asked + opening
        running = min(slots, present)
        return load.Load(
            running,
            present - running,
            slots,
            len(self._flows),
            round(self._mean, 3),
            self.responsive(now),
        )
