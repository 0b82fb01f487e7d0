"""Bound what a backend server takes while it is cold.

The load it answers: servers that have just started, or that come back cold
with their data centre, before dozens of balancers that don't hear of each
other's placements. Only the agent beside a server sees all that it gets, so
the operator's limit is held there; what is beyond goes back to its balancer,
which has other servers to choose from.
"""

from __future__ import annotations

import collections
import math
import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records

#: Seconds over which the operator's limit counts.
WINDOW_S = 1.0
#: Part of the limit that an agent allows in the first WINDOW_S of its life: it
#: doesn't know what passed before it was restarted, and half again as much in
#: one window is what operators tolerate.
RESTART_SHARE = 0.5


class Window:
    """Events of the last WINDOW_S.

    A token bucket of the same rate would let its burst through beyond the
    limit; the moments of the last few events bound any span exactly.
    """

    def __init__(self) -> None:
        """Start without an event."""
        self._moments: collections.deque[float] = collections.deque()

    def note(self, now: float) -> None:
        """Count one event."""
        self._moments.append(now)

    def count(self, now: float) -> int:
        """Return the events of the last WINDOW_S."""
        while self._moments and now - self._moments[0] >= WINDOW_S:
            self._moments.popleft()
        return len(self._moments)


class ColdLimiter:
    """Whether one server is cold, and what it may still take."""

    def __init__(self, now: float) -> None:
        """Start with a server that is warm, as far as known."""
        self._began = now
        self._revision = 0
        self._cold_until = now
        self._limit: records.ColdLimit | None = None
        self._openings = Window()
        self._requests = Window()

    def set_limit(self, limit: records.ColdLimit | None) -> None:
        """Take over the operator's limit for the service, None for none."""
        self._limit = limit

    def update_entry(self, target: records.Target, now: float) -> None:
        """Take over how long the server's entry says that it stays cold."""
        if target.revision == self._revision:
            return
        self._revision = target.revision
        self._cold_until = now + target.warmup_ms / 1000

    def assume_cold(self, now: float) -> None:
        """Take the server for cold until its entry tells.

        Servers of a data centre that is taken back may be cold, and their
        entries say so a heartbeat later; by then, all flows that had gone
        elsewhere would be back at once.
        """
        if self._limit is not None:
            until = now + self._limit.warmup_ms / 1000
            self._cold_until = max(self._cold_until, until)

    def is_cold(self, now: float) -> bool:
        """Tell whether the server is cold."""
        return now < self._cold_until

    def _room(self, window: Window, now: float) -> int | None:
        if self._limit is None or not self.is_cold(now):
            return None
        allowed = self._limit.requests_per_s
        if now - self._began < WINDOW_S:
            allowed *= RESTART_SHARE
        # A limit below one a second still lets the server take one.
        return max(0, max(1, math.floor(allowed)) - window.count(now))

    def openings_left(self, now: float) -> int | None:
        """Return how many more flows may open now; None for any number."""
        return self._room(self._openings, now)

    def requests_left(self, now: float) -> int | None:
        """Return how many more requests may begin; None for any number."""
        return self._room(self._requests, now)

    def note_opening(self, now: float) -> None:
        """Count an opening that goes to the server."""
        if self._limit is not None:
            self._openings.note(now)

    def note_requests(self, count: int, now: float) -> None:
        """Count requests that go to the server."""
        if self._limit is not None:
            for _ in range(count):
                self._requests.note(now)
