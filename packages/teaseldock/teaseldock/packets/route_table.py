"""Store the routes in force, and the revision at which each last changed."""

from __future__ import annotations

import typing
import zlib

import msgspec

from teaseldock.packets import positions
from teaseldock.packets import records

#: Dropped routes kept for lagging processes; a process that lags further gets
#: the whole configuration. All 1,600 routes of a configuration may be dropped
#: at once.
DROPPED_KEPT = 4000


def digest(routes: dict[bytes, records.Route]) -> int:
    """Return a checksum of a set of routes."""
    ordered = [routes[address] for address in sorted(routes)]
    return zlib.crc32(msgspec.msgpack.encode(ordered))


class RouteTable:
    """The newest configuration, and the changes that led to it."""

    def __init__(self) -> None:
        """Create an empty table, before the first configuration."""
        self._configuration: records.Configuration | None = None
        self._routes: dict[bytes, records.Route] = {}
        # Revisions at which a route was last found changed, or dropped.
        self._changed: dict[bytes, int] = {}
        self._dropped: dict[bytes, int] = {}
        self._known_since = 0
        # Routes dropped by a configuration that has not arrived yet.
        self._disabled: dict[bytes, int] = {}
        self._last_dropped: list[bytes] = []
        self._digest = 0

    @property
    def configuration(self) -> records.Configuration | None:
        """Return the newest configuration, or None before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """Return the configuration's version, 0 before the first."""
        return self._configuration.version if self._configuration else 0

    def route(self, address: bytes) -> records.Route | None:
        """Return the route of a packed address and port, or None."""
        if address in self._disabled:
            return None
        return self._routes.get(address)

    @property
    def last_dropped(self) -> list[bytes]:
        """Return the addresses that the last configuration dropped."""
        return self._last_dropped

    def disable_route(self, address: bytes, revision: int) -> None:
        """Stop using a route until the configuration that drops it arrives.

        :param revision: of that configuration.
        """
        if self._configuration is None:
            return
        if self._configuration.revision < revision:
            self._disabled[address] = revision

    def replace(
        self,
        configuration: records.Configuration,
        *,
        also_dropped: typing.Iterable[bytes] = (),
    ) -> bool:
        """Apply a configuration; return whether it is newer.

        The operator's versions only rise, even if the store is restored from
        an older copy: the version in the copy is treated as old. The same
        version at a later position was written again, and must be forwarded to
        processes that started with the version in the copy.

        :param also_dropped: addresses of routes that the configuration drops
            if they exist here; they may have been added and dropped in
            between.
        """
        if configuration.version < self.version:
            return False
        if not self._is_later(configuration):
            return False
        routes = {route.address: route for route in configuration.routes}
        known = self._configuration
        if known is None or not positions.same_era(
            known.revision, configuration.revision
        ):
            self._known_since = configuration.revision
        for address, route in routes.items():
            if self._routes.get(address) != route:
                self._changed[address] = configuration.revision
                self._dropped.pop(address, None)
        before = self._routes.keys() | set(also_dropped)
        self._last_dropped = sorted(before - routes.keys())
        for address in self._last_dropped:
            self._changed.pop(address, None)
            self._dropped[address] = configuration.revision
        self._disabled = {
            address: revision
            for address, revision in self._disabled.items()
            if revision > configuration.revision
        }
        self._evict_dropped()
        self._routes = routes
        self._digest = digest(routes)
        self._configuration = configuration
        return True

    def _is_later(self, configuration: records.Configuration) -> bool:
        known = self._configuration
        if known is None or configuration.version > known.version:
            return True
        return configuration.revision > known.revision

    def _evict_dropped(self) -> None:
        while len(self._dropped) > DROPPED_KEPT:
            oldest = next(iter(self._dropped))
            self._known_since = max(
                self._known_since, self._dropped.pop(oldest)
            )

    def apply_change(self, change: records.ConfigurationChange) -> bool:
        """Apply a change; return whether it led to a newer configuration.

        The caller must ensure that no change in between is missing: otherwise
        callers of an existing route would be reset.
        """
        if self._configuration is None or change.version <= self.version:
            return False
        return self.replace(
            records.Configuration(
                change.version,
                change.revision,
                change.idle_timeout_ms,
                list(self._with(change).values()),
                change.services,
                change.cold_limits,
            ),
            also_dropped=change.dropped,
        )

    def _with(
        self, change: records.ConfigurationChange
    ) -> dict[bytes, records.Route]:
        routes = dict(self._routes)
        for address in change.dropped:
            routes.pop(address, None)
        routes.update((route.address, route) for route in change.routes)
        return routes

    def digest_with(self, change: records.ConfigurationChange) -> int:
        """Return the digest of the routes that a change would lead to."""
        return digest(self._with(change))

    def change_since(
        self, revision: int
    ) -> records.ConfigurationChange | None:
        """Return what has changed after a revision.

        :returns: None if the revision precedes the first configuration known
            here; a process that lags that far needs the whole configuration.
        """
        newest = self._configuration
        if newest is None or revision < self._known_since:
            return None
        return records.ConfigurationChange(
            newest.version,
            newest.revision,
            newest.idle_timeout_ms,
            newest.services,
            [
                route
                for address, route in self._routes.items()
                if self._changed[address] > revision
            ],
            [
                address
                for address, dropped_at in self._dropped.items()
                if dropped_at > revision
            ],
            newest.cold_limits,
            self._digest,
        )
