"""Limit the flows and requests that a cold backend server receives.

A server is cold when it has just started, or when its data centre returns to
service. Dozens of balancers that do not share their placements send it flows.
Only the agent on its instance sees all of them, so the agent enforces the
operator's limit. It returns flows beyond the limit to their balancer, which
has other servers to choose from.
"""

from __future__ import annotations

import collections
import math
import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records

#: Seconds over which the operator's limit applies.
LIMIT_WINDOW_S = 1.0
#: Share of the limit that an agent allows in the first LIMIT_WINDOW_S after
#: its start. It has no count of what passed before it was restarted, and
#: operators tolerate half again as much in one window.
RESTART_SHARE = 0.5


class Window:
    """The times of the events within the last LIMIT_WINDOW_S.

    A token bucket of the same rate would let a burst through on top of the
    limit; the times of the last few events bound any interval exactly.
    """

    def __init__(self) -> None:
        """Create an empty window."""
        self._moments: collections.deque[float] = collections.deque()

    def note(self, now: float) -> None:
        """Record one event."""
        self._moments.append(now)

    def count(self, now: float) -> int:
        """Return the number of events within the last LIMIT_WINDOW_S."""
        while self._moments and now - self._moments[0] >= LIMIT_WINDOW_S:
            self._moments.popleft()
        return len(self._moments)

    def freed_in_s(self, index: int, now: float) -> float:
        """Return the seconds until an event leaves the window.

        :param index: number of events that leave before it. Beyond the events
            in the window, each round of as many takes LIMIT_WINDOW_S.
        """
        if not self.count(now):
            return LIMIT_WINDOW_S * (index + 1)
        rounds, index = divmod(index, len(self._moments))
        left_s = self._moments[index] + LIMIT_WINDOW_S - now
        return left_s + rounds * LIMIT_WINDOW_S


class ColdLimiter:
    """Tracks whether one server is cold, and limits what it receives."""

    def __init__(self, now: float) -> None:
        """Create a limiter that assumes a warm server."""
        self._started_at = now
        self._revision = 0
        self._cold_until = now
        self._limit: records.ColdLimit | None = None
        self._openings = Window()
        self._requests = Window()

    def set_limit(self, limit: records.ColdLimit | None) -> None:
        """Replace the operator's limit for the service, None for no limit."""
        self._limit = limit

    def update_entry(self, target: records.Target, now: float) -> None:
        """Apply the remaining cold time from the server's entry."""
        if target.revision == self._revision:
            return
        self._revision = target.revision
        self._cold_until = now + target.warmup_ms / 1000

    def assume_cold(self, now: float) -> None:
        """Assume that the server is cold until its entry says otherwise.

        Servers of a data centre that returns to service may be cold, but their
        entries show it a heartbeat later; by then, all flows that had moved
        elsewhere would be back at once.
        """
        if self._limit is not None:
            until = now + self._limit.warmup_ms / 1000
            self._cold_until = max(self._cold_until, until)

    def is_cold(self, now: float) -> bool:
        """Tell whether the server is cold."""
        return now < self._cold_until

    def _remaining(self, window: Window, now: float) -> int | None:
        if self._limit is None or not self.is_cold(now):
            return None
        allowed = self._limit.requests_per_s
        if now - self._started_at < LIMIT_WINDOW_S:
            allowed *= RESTART_SHARE
        # Even with a limit below one per second the server takes one.
        return max(0, max(1, math.floor(allowed)) - window.count(now))

    def openings_left(self, now: float) -> int | None:
        """Return how many more flows may open now; None for no limit."""
        return self._remaining(self._openings, now)

    def requests_left(self, now: float) -> int | None:
        """Return how many more requests may begin now; None for no limit."""
        return self._remaining(self._requests, now)

    def request_delay_s(self, ahead: int, now: float) -> float:
        """Return the seconds until the limit allows another request.

        :param ahead: requests that have not begun yet and go before it.
        """
        left = self.requests_left(now)
        if left is None or ahead < left:
            return 0.0
        delay_s = self._requests.freed_in_s(ahead - left, now)
        return min(delay_s, self._cold_until - now)

    def note_opening(self, now: float) -> None:
        """Record an opening that goes to the server."""
        if self._limit is not None:
            self._openings.note(now)

    def note_requests(self, count: int, now: float) -> None:
        """Record requests that go to the server."""
        if self._limit is not None:
            for _ in range(count):
                self._requests.note(now)
