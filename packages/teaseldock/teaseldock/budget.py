"""Limit the control traffic of an agent to a few kilobytes a second."""

from __future__ import annotations

#: Bytes a second for announcements and transfers of one agent. Heartbeats
#: and load reports take about as much; the limit of a process is 10 KB/s.
BYTES_PER_S = 4000.0
#: Bytes that may be sent at once after an idle period.
BURST_BYTES = 4000.0


class Budget:
    """A token bucket in bytes.

    Without it, one change of the rules makes every holder announce and
    transfer thousands of flows at once, which shows as a burst of control
    traffic that competes with the callers' packets for the links.
    """

    def __init__(
        self,
        *,
        bytes_per_s: float = BYTES_PER_S,
        burst_bytes: float = BURST_BYTES,
    ) -> None:
        """Create a full bucket."""
        self._rate = bytes_per_s
        self._burst = burst_bytes
        self._tokens = burst_bytes
        self._refilled_at: float | None = None

    def has_room(self, now: float) -> bool:
        """Refill the bucket and return whether a message may be sent now.

        :param now: monotonic time in seconds.
        """
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        return self._tokens > 0

    def spend(self, size: float) -> None:
        """Deduct bytes; for messages that can't wait, also below zero."""
        self._tokens -= size
