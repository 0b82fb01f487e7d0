"""Define the records that the configuration store publishes."""

from __future__ import annotations

import enum
import typing

import msgspec

_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
#: IPv4 address in a message of another process, which is sent to and encoded
#: without a further check.
Host = typing.Annotated[
    str, msgspec.Meta(pattern=rf'^{_OCTET}(\.{_OCTET}){{3}}\Z')
]


class RequestKind(enum.IntEnum):
    """Kinds of requests: what a caller may do if no answer comes."""

    IDEMPOTENT = 0
    NON_IDEMPOTENT = 1
    UPLOAD = 2
    DOWNLOAD = 3


class ServiceChoice(typing.NamedTuple):
    """A service that gets a share of a route's new flows.

    :ivar service: its name.
    :ivar weight: its share, relative to the other choices.
    """

    service: str
    weight: int


class Route(typing.NamedTuple):
    """The services that get new flows to one address, and limits of requests.

    :ivar address: IPv4 address and port, six bytes in network order.
    :ivar name: the operator's name of the route.
    :ivar choices: services; usually one.
    :ivar kind: a :class:`RequestKind`.
    :ivar timeout_ms: time after which a caller gives up a request.
    :ivar aim_ms: latency objective of a request.
    :ivar priority: 0 is the highest.
    """

    address: bytes
    name: str
    choices: list[ServiceChoice]
    kind: int
    timeout_ms: int
    aim_ms: int
    priority: int


class ColdLimit(typing.NamedTuple):
    """Load limit of a service's servers during their warm-up.

    :ivar service: its name.
    :ivar warmup_ms: duration of the warm-up after a server's start.
    :ivar requests_per_s: largest number of requests within any second of the
        warm-up.
    """

    service: str
    warmup_ms: int
    requests_per_s: float


class Configuration(typing.NamedTuple):
    """One published configuration.

    :ivar version: rises with each publication, not necessarily by one.
    :ivar revision: the store's revision of this configuration.
    :ivar idle_timeout_ms: idle time after which a flow may be dropped.
    :ivar routes: all routes.
    :ivar services: the names of all services.
    :ivar cold_limits: limits of the services that have one.
    """

    version: int
    revision: int
    idle_timeout_ms: int
    routes: list[Route]
    services: list[str]
    cold_limits: tuple[ColdLimit, ...] = ()

    def cold_limit(self, service: str) -> ColdLimit | None:
        """Return the warm-up limit of a service's servers, None for none."""
        for limit in self.cold_limits:
            if limit.service == service:
                return limit
        return None


class ConfigurationChange(typing.NamedTuple):
    """Difference between a configuration and an earlier one.

    A change of one timeout among 1,600 routes takes 100 bytes in this form,
    instead of 7 KB for each of 200 processes. It is sent with
    :class:`Changes`, and can be applied by a process whose state is complete
    up to the revision after which those changes start.

    :ivar version: of the resulting configuration, as are the next three
        fields.
    :ivar revision: the store's revision of it.
    :ivar idle_timeout_ms: see :class:`Configuration`.
    :ivar services: the names of all services.
    :ivar routes: routes that are new or have changed.
    :ivar dropped: addresses of routes that are gone.
    :ivar cold_limits: see :class:`Configuration`.
    :ivar digest: checksum of all resulting routes. A receiver that computes
        another one has applied a version that the sender never had, and needs
        all routes.
    """

    version: int
    revision: int
    idle_timeout_ms: int
    services: list[str]
    routes: list[Route]
    dropped: list[bytes]
    cold_limits: tuple[ColdLimit, ...] = ()
    digest: int = 0


class Target(typing.NamedTuple):
    """One run of a backend server, as it registered itself.

    :ivar identifier: of the server; a restarted one usually has another.
    :ivar service: the service that it runs.
    :ivar host: IPv4 address of its instance.
    :ivar port: port of the server itself.
    :ivar data_centre: where it runs.
    :ivar slots: number of requests that it runs concurrently.
    :ivar draining: whether it is leaving.
    :ivar warmup_ms: rest of the warm-up when this entry was written.
    :ivar revision: the store's revision of this entry.
    :ivar born_ms: Unix milliseconds of the server's start by its own clock; 0
        if not reported. Used only to tell two runs apart.
    """

    identifier: str
    service: str
    host: Host
    port: int
    data_centre: str
    slots: int
    draining: bool
    warmup_ms: int
    revision: int
    born_ms: int = 0

    @property
    def run(self) -> tuple[str, int]:
        """Return the key that tells this run of the server from any other.

        A server may start again under the identifier that it had, without its
        former state. If it were treated as the same run, it would be assumed
        to hold flows that are lost, and to be warm.
        """
        return self.identifier, self.born_ms

    def differs_only_in_warmup(self, later: Target) -> bool:
        """Return whether a later entry only reports warm-up progress.

        Servers that warm up write such an entry about every second. A process
        that stores when an entry was first seen, and the length of the warm-up
        then, needs none of them. When they were forwarded, those of 64 servers
        being replaced by a release made up most of the messages among 195
        processes, so that some processes learned only after more than 6 s that
        a server leaves.
        """
        if later.warmup_ms >= self.warmup_ms:
            return False
        return self == later._replace(
            warmup_ms=self.warmup_ms, revision=self.revision
        )

    @property
    def place(self) -> tuple[str, str, int]:
        """Return the service and address at which its flows are."""
        return self.service, self.host, self.port


class Removal(typing.NamedTuple):
    """Removal of an entry.

    :ivar identifier: of the target.
    :ivar revision: the store's revision of its removal.
    :ivar overwritten: whether its key now holds something that is not a
        target; otherwise the entry was deleted or has expired.
    """

    identifier: str
    revision: int
    overwritten: bool = False


class Evacuation(typing.NamedTuple):
    """Request that a data centre get no new flows, or its withdrawal.

    :ivar data_centre: its name; it need not have targets.
    :ivar revision: the store's revision of the request, or of its withdrawal.
    :ivar active: whether the request is in force; otherwise it was withdrawn.
    """

    data_centre: str
    revision: int
    active: bool


class AlertKind(enum.IntEnum):
    """Kinds of changes that must reach all processes within seconds."""

    LEAVES = 0
    GONE = 1
    OVERWRITTEN = 2
    EVACUATED = 3
    ROUTE_DROPPED = 4


class Alert(typing.NamedTuple):
    """One change that must reach all processes within seconds, about 40 bytes.

    :ivar kind: an :class:`AlertKind`.
    :ivar subject: identifier of a target, name of a data centre, or address of
        a route in hexadecimal digits.
    :ivar revision: the store's revision of the change.
    """

    kind: int
    subject: str
    revision: int


class Alerts(typing.NamedTuple):
    """Alerts after a revision.

    :ivar since: revision after which they were requested.
    :ivar upto: revision up to which the receiver has all alerts afterwards;
        not above ``since`` if the sender doesn't have all.
    :ivar items: the alerts, oldest first.
    :ivar kept_since: revision after which the sender has all alerts.
    """

    since: int
    upto: int
    items: list[Alert]
    kept_since: int = 0

    @property
    def complete(self) -> bool:
        """Return whether no alert after ``since`` is missing."""
        return self.kept_since <= self.since


class Changes(typing.NamedTuple):
    """Changes after a revision, from a process or from the store.

    :ivar since: revision after which all changes are included; 0 if these are
        all existing entries, so that any other entry is gone.
    :ivar upto: revision up to which the receiver's state is complete
        afterwards.
    :ivar targets: entries written.
    :ivar removals: entries removed.
    :ivar configuration: the newest one, if it changed.
    :ivar configuration_change: the difference to it, sent in its place.
    :ivar newest: revision of the newest change that the sender has; 0 from the
        store. The entry of that change may be gone.
    :ivar evacuations: of data centres, requested or withdrawn.
    :ivar alerts_since: revision after which no alert is missing; an entry or a
        route that was added and removed before it may be missing.
    :ivar superseded: entries written that a later item here replaces; only
        from the store, like the next field.
    :ivar superseded_removals: removals of entries that were written again.
    """

    since: int
    upto: int
    targets: list[Target]
    removals: list[Removal]
    configuration: Configuration | None
    configuration_change: ConfigurationChange | None = None
    newest: int = 0
    evacuations: tuple[Evacuation, ...] = ()
    alerts_since: int = 0
    superseded: tuple[Target, ...] = ()
    superseded_removals: tuple[Removal, ...] = ()

    @property
    def has_all_events(self) -> bool:
        """Return whether these are all events in the store after ``since``.

        Changes from another process and full reads don't show an entry's
        intermediate states.
        """
        return self.since > 0 and not self.newest

    def in_order(self) -> list[Target | Removal]:
        """Return written and removed entries in order of their revisions."""
        items = [
            *self.removals,
            *self.superseded_removals,
            *self.targets,
            *self.superseded,
        ]
        return sorted(items, key=lambda item: item.revision)
