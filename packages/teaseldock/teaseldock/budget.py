"""Share a few kilobytes a second of control traffic among senders."""

from __future__ import annotations

#: Bytes a second for announcements and transfers of one agent. Heartbeats
#: and load reports take about as much again; a process may spend 10 KB/s.
BYTES_PER_S = 4000.0
#: Bytes that may be sent at once after a quiet time.
BURST_BYTES = 4000.0


class Budget:
    """A token bucket in bytes.

    Without it, one change of the rules lets every holder announce and move
    thousands of flows at once, which shows as a burst of control traffic
    just when packets of callers need the links.
    """

    def __init__(
        self,
        *,
        bytes_per_s: float = BYTES_PER_S,
        burst_bytes: float = BURST_BYTES,
    ) -> None:
        """Start full."""
        self._rate = bytes_per_s
        self._burst = burst_bytes
        self._tokens = burst_bytes
        self._refilled_at: float | None = None

    def has_room(self, now: float) -> bool:
        """Tell whether something may be sent now.

        :param now: seconds on a clock that never goes back.
        """
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_at = now
        return self._tokens > 0

    def spend(self, size: float) -> None:
        """Count bytes; what can't wait may go into debt."""
        self._tokens -= size
