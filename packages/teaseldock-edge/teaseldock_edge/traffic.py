"""Count traffic between processes, and measure the rate of control."""

from __future__ import annotations

import collections

from teaseldock import messages

#: Messages that carry the request or answer of a caller; all others are
#: control traffic.
DATA_MESSAGES = (messages.Execute, messages.Executed)
#: Window of the rate, seconds; it averages shorter bursts.
WINDOW_S = 5.0


class Traffic:
    """Totals and rates of the traffic of one process with its peers."""

    def __init__(self, now: float) -> None:
        """Create counters at zero.

        :param now: monotonic time, seconds.
        """
        self._totals: collections.Counter[str] = collections.Counter()
        self._window_start = now
        self._window_bytes = 0
        self._rate = 0.0
        self._highest_rate = 0.0

    @property
    def totals(self) -> collections.Counter[str]:
        """Return bytes and messages since the start, by kind and direction."""
        return self._totals

    @property
    def highest_rate(self) -> float:
        """Return the highest rate of sent control bytes per second."""
        return self._highest_rate

    @property
    def rate(self) -> float:
        """Return sent control bytes per second in the last full window."""
        return self._rate

    def count(
        self, direction: str, message: object, size: int, now: float
    ) -> None:
        """Count one message.

        :param direction: ``sent`` or ``received``.
        :param size: bytes of the datagram.
        """
        kind = 'control'
        if isinstance(message, DATA_MESSAGES):
            kind = 'data'
        self._totals[f'{kind}_bytes_{direction}'] += size
        self._totals[f'{kind}_messages_{direction}'] += 1
        if kind == 'control' and direction == 'sent':
            self._window_bytes += size
        if now - self._window_start >= WINDOW_S:
            self._rate = self._window_bytes / (now - self._window_start)
            self._highest_rate = max(self._highest_rate, self._rate)
            self._window_start = now
            self._window_bytes = 0
