"""Store targets whose entries are gone: they may still hold flows or serve."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records

#: Seconds for which a target stays usable after its entry disappeared without
#: a drain: users count a missing entry as gone after two seconds.
EXPIRED_USABLE_S = 2.0
#: Seconds for which a removed target may still hold flows.
REMOVED_KEPT_S = 20.0


class RemovedTarget(typing.NamedTuple):
    """A target whose entry was removed.

    :ivar target: its last entry.
    :ivar at: when this process received the removal, seconds.
    :ivar expired: whether the entry may have expired because the store was
        unreachable; otherwise another writer has overwritten it.
    """

    target: records.Target
    at: float
    expired: bool

    @property
    def departed(self) -> bool:
        """Return whether the server announced its departure and is gone."""
        return self.expired and self.target.draining


class RemovedTargets:
    """Runs of servers whose entries were removed recently."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._items: dict[tuple[str, int], RemovedTarget] = {}

    @property
    def runs(self) -> typing.KeysView[tuple[str, int]]:
        """Return the keys of the stored runs."""
        return self._items.keys()

    def add(
        self, target: records.Target, now: float, *, expired: bool
    ) -> None:
        """Store a run whose entry was removed."""
        self._items[target.run] = RemovedTarget(target, now, expired)

    def discard(self, run: tuple[str, int]) -> None:
        """Drop a run whose entry exists again."""
        self._items.pop(run, None)

    def recent(self, now: float) -> list[RemovedTarget]:
        """Return the targets that may still hold flows."""
        return [
            item
            for item in self._items.values()
            if now - item.at < REMOVED_KEPT_S
        ]

    def recently_expired(self, now: float) -> list[records.Target]:
        """Return the targets that may have just expired and still serve."""
        return [
            item.target
            for item in self._items.values()
            if item.expired and now - item.at < EXPIRED_USABLE_S
        ]

    def prune(self, now: float) -> None:
        """Drop the targets that no longer hold flows."""
        self._items = {
            run: item
            for run, item in self._items.items()
            if now - item.at < REMOVED_KEPT_S
        }
