"""Count control traffic, in all and in the busiest second."""

from __future__ import annotations

import collections

from teaseldock import messages

#: Messages that carry a caller's request or answer; all others are control.
DATA_MESSAGES = (messages.Execute, messages.Executed)
#: Seconds over which a rate is taken; shorter bursts average out.
WINDOW_S = 5.0


class Traffic:
    """Sum bytes sent and received between processes."""

    def __init__(self, now: float) -> None:
        """Start at zero."""
        self._totals: collections.Counter[str] = collections.Counter()
        self._window_start = now
        self._window_bytes = 0
        self._rate = 0.0
        self._highest_rate = 0.0

    @property
    def totals(self) -> collections.Counter[str]:
        """Return bytes and messages by kind since the start."""
        return self._totals

    @property
    def highest_rate(self) -> float:
        """Return the highest rate of control, bytes a second each way."""
        return self._highest_rate

    @property
    def rate(self) -> float:
        """Return the rate of control in the last whole window."""
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
