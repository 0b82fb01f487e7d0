"""Combine configuration and membership into one view for routing."""

from __future__ import annotations

import typing

from teaseldock import flow
from teaseldock import inventory
from teaseldock import messages
from teaseldock import table

if typing.TYPE_CHECKING:
    from teaseldock import configuration
    from teaseldock import membership


_NO_TARGETS: frozenset[str] = frozenset()


class View:
    """Provide owners of buckets, excluded instances and agents' endpoints."""

    def __init__(
        self,
        *,
        config: configuration.Configuration,
        members: membership.Membership,
    ) -> None:
        """Create a view of the current state of both sources.

        :param config: documents that operators published.
        :param members: state of the processes.
        """
        self._config = config
        self._members = members
        self._table = table.Table(config.inventory)
        self._inventory: inventory.Inventory | None = None
        self._roster_version = -1
        self._excluded: frozenset[str] = frozenset()
        self._dead: frozenset[str] = frozenset()
        self._version = 0
        self._excluded_targets: dict[str, frozenset[str]] = {}
        self.refresh()

    @property
    def table(self) -> table.Table:
        """Return the bucket table in force."""
        return self._table

    @property
    def inventory(self) -> inventory.Inventory:
        """Return the inventory in force."""
        return self._config.inventory

    @property
    def generation(self) -> int:
        """Return the revision in force."""
        return self._config.generation

    @property
    def version(self) -> int:
        """Return a number that rises with each change of the view."""
        return self._version

    @property
    def excluded(self) -> frozenset[str]:
        """Return the instances that get no new flows or requests."""
        return self._excluded

    @property
    def is_leaving(self) -> bool:
        """Return whether this process has announced that it is leaving."""
        return self._members.own.leaving

    def refresh(self) -> bool:
        """Apply changes of configuration and membership.

        :returns: whether the view may have changed.
        """
        current = self._config.inventory
        if (
            current is self._inventory
            and self._members.roster.version == self._roster_version
        ):
            return False
        if current is not self._inventory:
            self._table = table.Table(current, self._table)
            self._inventory = current
        self._roster_version = self._members.roster.version
        names = current.instances.keys()
        self._dead = frozenset(self._members.roster.dead & names)
        self._excluded = self._dead.union(
            current.leaving, self._members.roster.leaving & names
        )
        self._version += 1
        self._excluded_targets.clear()
        return True

    def is_dead(self, name: str) -> bool:
        """Return whether an instance's agent is considered dead."""
        return name in self._dead

    @property
    def dead_count(self) -> int:
        """Return the number of instances whose agents are considered dead."""
        return len(self._dead)

    def owner(self, service: table.ServiceTable, bucket: int) -> str | None:
        """Return the instance whose agent owns a bucket."""
        excluded = self._excluded_targets.get(service.name)
        if excluded is None:
            # Most services have no excluded target and share one empty set.
            excluded = (
                self._excluded.intersection(service.weights) or _NO_TARGETS
            )
            self._excluded_targets[service.name] = excluded
        return service.owner_excluding(bucket, excluded)

    def endpoint(self, name: str) -> flow.Endpoint | None:
        """Return the endpoint of an instance's agent, or None."""
        instance = self._config.inventory.instances.get(name)
        if instance is not None:
            return inventory.peer_endpoint(instance)
        member = self._members.roster.get(name)
        if member is not None:
            return flow.Endpoint(member.host, member.port)
        return None

    def peers(self, service: table.ServiceTable) -> list[str]:
        """Return the living instances of a service except this one.

        Leaving ones are included, as they still hold flows.
        """
        own = self._members.own.name
        return [
            name
            for name in service.weights
            if name != own and name not in self._dead
        ]

    def incarnation(self, name: str) -> int:
        """Return the last known incarnation of a member, or 0."""
        member = self._members.roster.get(name)
        return member.incarnation if member else 0

    def own_incarnation(self) -> int:
        """Return this process's incarnation."""
        return self._members.own.incarnation

    def own_incarnations(self) -> set[int]:
        """Return all incarnations this process has used since its start."""
        return self._members.roster.own_incarnations

    def to_peer(
        self, name: str, message: typing.NamedTuple
    ) -> list[messages.Action]:
        """Return the action that sends a message to an instance's agent."""
        endpoint = self.endpoint(name)
        if endpoint is None:
            return []
        return [messages.ToPeer(endpoint.host, endpoint.port, message)]
