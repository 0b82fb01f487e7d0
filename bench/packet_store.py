"""Fake the store: one revision counter, a history, and outages."""

from __future__ import annotations

import typing

from teaseldock.packets import records

if typing.TYPE_CHECKING:
    from bench import packet_server
    from bench import packet_world


class Store:
    """A store with one revision counter, a history and outages."""

    def __init__(self, world: packet_world.World) -> None:
        """Start empty and up."""
        self.world = world
        self.up = True
        self.refused: set[str] = set()
        self.revision = 0
        self.history_from = 0
        self.calls = 0
        self.delay_s = 0.004
        self._configuration: records.Configuration | None = None
        self._targets: dict[str, records.Target] = {}
        self._events: list[
            records.Target | records.Removal | records.Evacuation
        ] = []
        self._evacuations: dict[str, records.Evacuation] = {}
        self._watches: list[tuple[packet_world.Process, int, float]] = []

    def configure(
        self,
        version: int,
        routes: list[records.Route],
        *,
        idle_timeout_ms: int = 15_000,
        cold_limits: tuple[records.ColdLimit, ...] = (),
    ) -> None:
        """Publish a configuration."""
        self.revision += 1
        services = {
            choice.service for route in routes for choice in route.choices
        }
        self._configuration = records.Configuration(
            version,
            self.revision,
            idle_timeout_ms,
            routes,
            sorted(services),
            cold_limits,
        )
        self._wake()

    def put(self, server: packet_server.Server) -> None:
        """Write a server's entry."""
        self.revision += 1
        target = server.entry()._replace(revision=self.revision)
        self._targets[target.identifier] = target
        self._events.append(target)
        self._wake()

    def remove(self, identifier: str) -> None:
        """Remove an entry."""
        self.revision += 1
        del self._targets[identifier]
        self._events.append(records.Removal(identifier, self.revision))
        self._wake()

    def evacuate(self, data_centre: str, *, active: bool = True) -> None:
        """Request that a data centre gets no new flows, or take it back."""
        self.revision += 1
        item = records.Evacuation(data_centre, self.revision, active)
        self._evacuations.pop(data_centre, None)
        if active:
            self._evacuations[data_centre] = item
        self._events.append(item)
        self._wake()

    def forget_history(self) -> None:
        """Make older revisions unavailable."""
        self.history_from = self.revision
        self._events.clear()
        self._wake()

    def call(
        self, process: packet_world.Process, revision: int | None
    ) -> None:
        """Take a call; it is answered later, or fails."""
        self.calls += 1
        if not self.up or process.host in self.refused:
            self.world.after(
                self.delay_s,
                lambda: self._hand(process, 'store_failed', 'refused'),
            )
            return
        if revision is None:
            changes = self._changes(0)
            self.world.after(
                self.delay_s,
                lambda: self._hand(process, 'store_answered', changes),
            )
            return
        self._watches.append((process, revision, self.world.now + 1.5))
        self.world.after(self.delay_s, self._wake)
        self.world.after(1.5 + self.delay_s, self._wake)

    def _hand(
        self, process: packet_world.Process, method: str, *values: object
    ) -> None:
        if process.alive:
            getattr(process.node, method)(*values, self.world.now)

    def _changes(self, since: int) -> records.Changes:
        configuration = self._configuration
        if configuration and since and configuration.revision <= since:
            configuration = None
        if not since:
            return records.Changes(
                0,
                self.revision,
                list(self._targets.values()),
                [],
                configuration,
                evacuations=tuple(self._evacuations.values()),
            )
        news = [item for item in self._events if item.revision > since]
        removed = {
            item.identifier
            for item in news
            if isinstance(item, records.Removal)
        }
        evacuations = {
            item.data_centre: item
            for item in news
            if isinstance(item, records.Evacuation)
        }
        latest = {
            item.identifier: item
            for item in news
            if not isinstance(item, records.Evacuation)
        }
        return records.Changes(
            since,
            self.revision,
            [
                item
                for item in latest.values()
                if isinstance(item, records.Target)
            ],
            [
                item
                for item in latest.values()
                if isinstance(item, records.Removal)
                and item.identifier in removed
            ],
            configuration,
            evacuations=tuple(evacuations.values()),
        )

    def _wake(self) -> None:
        waiting, self._watches = self._watches, []
        for process, since, until in waiting:
            if not self.up or process.host in self.refused:
                self._hand(process, 'store_failed', 'cut')
            elif since < self.history_from:
                self._hand(process, 'store_lost_history')
            elif since < self.revision or self.world.now >= until:
                self._hand(process, 'store_answered', self._changes(since))
            else:
                self._watches.append((process, since, until))
