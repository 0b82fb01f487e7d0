"""Keep the routes in force, and since when each is as it is."""

from __future__ import annotations

import typing
import zlib

import msgspec

from teaseldock.packets import positions
from teaseldock.packets import records

#: Dropped routes remembered for processes that lag; whoever lags further gets
#: the whole configuration. A configuration of 1,600 routes may go at once.
DROPPED_KEPT = 4000


def digest(routes: dict[bytes, records.Route]) -> int:
    """Return a number that tells sets of routes apart."""
    ordered = [routes[address] for address in sorted(routes)]
    return zlib.crc32(msgspec.msgpack.encode(ordered))


class RouteTable:
    """The newest configuration, and what has changed on the way to it."""

    def __init__(self) -> None:
        """Start before the first configuration."""
        self._configuration: records.Configuration | None = None
        self._routes: dict[bytes, records.Route] = {}
        # Revisions at which a route was last seen to change, or to go.
        self._changed: dict[bytes, int] = {}
        self._dropped: dict[bytes, int] = {}
        self._known_since = 0
        # Routes dropped by a configuration that isn't here yet.
        self._disabled: dict[bytes, int] = {}
        self._last_dropped: list[bytes] = []
        self._digest = 0

    @property
    def configuration(self) -> records.Configuration | None:
        """Return the newest configuration, or None before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """Return its version, 0 before the first."""
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
        """Use a route no longer, until a configuration of that revision.

        :param revision: of the configuration that drops it.
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
        """Take over a configuration; tell whether it is newer.

        The operator's versions only rise, also where the store came back from
        an older copy: the version that the copy holds is taken for old. The
        same version at a later position is the one written again, and must be
        told on to whoever began with the copy's.

        :param also_dropped: addresses of routes that are gone by it, if they
            were ever here: they may have come and gone in between.
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
        self._forget_dropped()
        self._routes = routes
        self._digest = digest(routes)
        self._configuration = configuration
        return True

    def _is_later(self, configuration: records.Configuration) -> bool:
        known = self._configuration
        if known is None or configuration.version > known.version:
            return True
        return configuration.revision > known.revision

    def _forget_dropped(self) -> None:
        while len(self._dropped) > DROPPED_KEPT:
            oldest = next(iter(self._dropped))
            self._known_since = max(
                self._known_since, self._dropped.pop(oldest)
            )

    def apply_change(self, change: records.ConfigurationChange) -> bool:
        """Make a change; tell whether it led to a newer configuration.

        The caller has made sure that nothing is missing in between: callers
        of a route that is there would be reset.
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

        :returns: None if that was before the first configuration known here;
            whoever is that far behind needs the whole of it.
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
