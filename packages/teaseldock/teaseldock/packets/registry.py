"""Index the registered targets for the placement of packets."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records


class Registry:
    """Snapshot of targets, indexed by identifier, service and instance."""

    def __init__(
        self,
        targets: typing.Iterable[records.Target] = (),
        evacuated: frozenset[str] = frozenset(),
    ) -> None:
        """Index the targets.

        :param evacuated: data centres that get no new flows.
        """
        self._evacuated = evacuated
        self._targets = {item.identifier: item for item in targets}
        self._services: dict[str, list[records.Target]] = {}
        self._placeable: dict[str, list[records.Target]] = {}
        self._hosts: set[str] = set()
        for item in self._targets.values():
            self._hosts.add(item.host)
            self._services.setdefault(item.service, []).append(item)
            if self.accepts_new_flows(item):
                self._placeable.setdefault(item.service, []).append(item)

    @property
    def targets(self) -> dict[str, records.Target]:
        """Return the targets by identifier."""
        return self._targets

    @property
    def hosts(self) -> set[str]:
        """Return the IPv4 addresses of the instances that have a target."""
        return self._hosts

    def of_service(self, service: str) -> list[records.Target]:
        """Return the targets of a service."""
        return self._services.get(service, [])

    def placeable(self, service: str) -> list[records.Target]:
        """Return the targets of a service that accept new flows."""
        return self._placeable.get(service, [])

    def accepts_new_flows(self, target: records.Target) -> bool:
        """Return whether a target may be given new flows.

        It may not while it is leaving or its data centre is evacuated.
        """
        return (
            not target.draining and target.data_centre not in self._evacuated
        )
