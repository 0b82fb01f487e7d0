"""Store removals of entries for lagging processes."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records

#: Removals kept for lagging peers: ten times the largest number of targets
#: that one process serves. A peer that lags further gets all entries.
REMOVALS_KEPT = 600


class RemovalLog:
    """Log of the newest removals, complete after one position."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._items: collections.deque[records.Removal] = collections.deque(
            maxlen=REMOVALS_KEPT
        )
        self._since = 0

    @property
    def since(self) -> int:
        """Return the position after which no removal is missing."""
        return self._since

    def mark_incomplete(self, position: int) -> None:
        """Record that removals up to a position may be missing."""
        self._since = position

    def clear(self) -> None:
        """Drop all removals: they belong to a history that has ended."""
        self._items.clear()

    def add(self, removal: records.Removal) -> None:
        """Store a removal; evict the one added first if the log is full."""
        if len(self._items) == REMOVALS_KEPT:
            # Alerts arrive out of order: the first is not always the oldest.
            self._since = max(self._since, self._items[0].revision)
        self._items.append(removal)

    def after(self, position: int) -> list[records.Removal]:
        """Return the removals after a position."""
        return [item for item in self._items if item.revision > position]
