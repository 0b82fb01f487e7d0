"""Keep removals of entries for processes that lag."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records

#: Removals remembered for peers that lag; a peer that lags further gets all
#: entries. Ten times the largest fleet of targets that one process serves.
REMOVALS_KEPT = 600


class RemovalLog:
    """The newest removals, complete from one position on."""

    def __init__(self) -> None:
        """Start with none."""
        self._items: collections.deque[records.Removal] = collections.deque(
            maxlen=REMOVALS_KEPT
        )
        self._since = 0

    @property
    def since(self) -> int:
        """Return the position after which no removal is missing."""
        return self._since

    def mark_incomplete(self, position: int) -> None:
        """Note that removals up to a position may be missing."""
        self._since = position

    def clear(self) -> None:
        """Forget all: they are of a history that doesn't go on."""
        self._items.clear()

    def add(self, removal: records.Removal) -> None:
        """Keep a removal, in place of the first that came if need be."""
        if len(self._items) == REMOVALS_KEPT:
            # Alerts come out of order: the first is not always the oldest.
            self._since = max(self._since, self._items[0].revision)
        self._items.append(removal)

    def after(self, position: int) -> list[records.Removal]:
        """Return the removals after a position."""
        return [item for item in self._items if item.revision > position]
