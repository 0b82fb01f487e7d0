"""Remember targets whose entries are gone: they may hold flows, or serve."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records

#: Seconds for which an entry that vanished without a drain stays usable: the
#: users' two seconds until a missing entry counts as gone.
EXPIRED_USABLE_S = 2.0
#: Seconds for which a vanished target may still hold flows.
REMOVED_KEPT_S = 20.0


class RemovedTarget(typing.NamedTuple):
    """A target whose entry was removed.

    :ivar target: its last entry.
    :ivar at: when the removal became known here, seconds.
    :ivar expired: whether it may have expired for want of the store.
    """

    target: records.Target
    at: float
    expired: bool


class RemovedTargets:
    """Runs of servers whose entries went a short while ago."""

    def __init__(self) -> None:
        """Start with none."""
        self._items: dict[tuple[str, int], RemovedTarget] = {}

    @property
    def runs(self) -> typing.KeysView[tuple[str, int]]:
        """Return the runs that are remembered."""
        return self._items.keys()

    def add(
        self, target: records.Target, now: float, *, expired: bool
    ) -> None:
        """Note that a run's entry is gone."""
        self._items[target.run] = RemovedTarget(target, now, expired)

    def discard(self, run: tuple[str, int]) -> None:
        """Forget a run whose entry is back."""
        self._items.pop(run, None)

    def recent(self, now: float) -> list[RemovedTarget]:
        """Return those that may still hold flows."""
        return [
            item
            for item in self._items.values()
            if now - item.at < REMOVED_KEPT_S
        ]

    def recently_expired(self, now: float) -> list[records.Target]:
        """Return those that may have expired a moment ago and still serve."""
        return [
            item.target
            for item in self._items.values()
            if item.expired and now - item.at < EXPIRED_USABLE_S
        ]

    def prune(self, now: float) -> None:
        """Forget those that went long ago."""
        self._items = {
            run: item
            for run, item in self._items.items()
            if now - item.at < REMOVED_KEPT_S
        }
