"""Hold what the configuration service publishes, in the product's words."""

from __future__ import annotations

import enum
import typing


class RequestKind(enum.IntEnum):
    """What a caller may do after a request without an answer."""

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
    """Where new flows to one address go, and what they carry.

    :ivar address: IPv4 address and port, six bytes in network order.
    :ivar name: the operator's name of the route.
    :ivar choices: services; mostly one.
    :ivar kind: a :class:`RequestKind`.
    :ivar timeout_ms: time after which a caller gives a request up.
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
    """What a server of one service may take while it is cold.

    :ivar service: its name.
    :ivar warmup_ms: how long a server stays cold after its start.
    :ivar requests_per_s: requests that it bears meanwhile, over any second.
    """

    service: str
    warmup_ms: int
    requests_per_s: float


class Configuration(typing.NamedTuple):
    """One published configuration.

    :ivar version: rises with each publication, not by one.
    :ivar revision: the store's revision of it.
    :ivar idle_timeout_ms: idle time after which a flow may be forgotten.
    :ivar routes: all routes.
    :ivar services: the names of all services.
    :ivar cold_limits: of the services that have one.
    """

    version: int
    revision: int
    idle_timeout_ms: int
    routes: list[Route]
    services: list[str]
    cold_limits: tuple[ColdLimit, ...] = ()

    def cold_limit(self, service: str) -> ColdLimit | None:
        """Return the limit of a service's cold servers, None for none."""
        for limit in self.cold_limits:
            if limit.service == service:
                return limit
        return None


class ConfigurationChange(typing.NamedTuple):
    """What is new of a configuration, for whoever has an earlier one.

    A change of one timeout beside 1,600 routes takes 100 bytes so, in place of
    7 KB for each of 200 processes. It comes with :class:`Changes`, and can be
    made by whoever knows all up to the revision after which those begin.

    :ivar version: of the configuration that results, as are the next three.
    :ivar revision: the store's revision of it.
    :ivar idle_timeout_ms: see :class:`Configuration`.
    :ivar services: the names of all services.
    :ivar routes: routes that are new or have changed.
    :ivar dropped: addresses of routes that are gone.
    :ivar cold_limits: see :class:`Configuration`.
    :ivar digest: of all routes that result; whoever gets another one has had
        a version in between that the sender never saw, and needs all routes.
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

    :ivar identifier: of the server; mostly, a restarted one has another.
    :ivar service: the service that it runs.
    :ivar host: IPv4 address of its instance.
    :ivar port: port of the server itself.
    :ivar data_centre: where it runs.
    :ivar slots: requests that it runs at once.
    :ivar draining: whether it leaves.
    :ivar warmup_ms: how long it was to stay slow when this was written.
    :ivar revision: the store's revision of this entry.
    :ivar born_ms: Unix milliseconds of the server's start by its own clock; 0
        if it doesn't tell. Only for telling two runs apart.
    """

    identifier: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    warmup_ms: int
    revision: int
    born_ms: int = 0

    @property
    def run(self) -> tuple[str, int]:
        """Return what tells this run of the server from any other.

        A server may start again under the identifier that it had. It then
        knows nothing of before; taken for the same run, it would be thought
        to hold flows that are lost, and to be warm.
        """
        return self.identifier, self.born_ms

    def differs_only_in_warmup(self, later: Target) -> bool:
        """Tell whether a later entry says only that the warm-up goes on.

        Servers that warm up write that each second or so; whoever knows when
        an entry was first seen and how long the warm-up was lacks nothing.
        Passed on, these entries of 64 servers that a release replaces were
        most of what 195 processes told each other, so that some of them heard
        after more than 6 s that a server leaves.
        """
        if later.warmup_ms >= self.warmup_ms:
            return False
        return self == later._replace(
            warmup_ms=self.warmup_ms, revision=self.revision
        )

    @property
    def place(self) -> tuple[str, str, int]:
        """Return the service and address that the flows of it are at."""
        return self.service, self.host, self.port


class Removal(typing.NamedTuple):
    """An entry that is gone.

    :ivar identifier: of the target.
    :ivar revision: the store's revision of its removal.
    :ivar overwritten: whether something else stands there now that names no
        target; otherwise the entry is gone, or has expired.
    """

    identifier: str
    revision: int
    overwritten: bool = False


class Evacuation(typing.NamedTuple):
    """Whether the operator wants a data centre to get no new flows.

    :ivar data_centre: its name; no target need be there.
    :ivar revision: the store's revision of the request, or of its end.
    :ivar active: whether it stands; otherwise it was taken back.
    """

    data_centre: str
    revision: int
    active: bool


class AlertKind(enum.IntEnum):
    """What a promise hangs on, so that it must be known within seconds."""

    LEAVES = 0
    GONE = 1
    OVERWRITTEN = 2
    EVACUATED = 3
    ROUTE_DROPPED = 4


class Alert(typing.NamedTuple):
    """One change that must be known within seconds, in some 40 bytes.

    :ivar kind: an :class:`AlertKind`.
    :ivar subject: identifier of a target, name of a data centre, or address
        of a route in hexadecimal digits.
    :ivar revision: the store's revision of the change.
    """

    kind: int
    subject: str
    revision: int


class Alerts(typing.NamedTuple):
    """Alerts after a revision.

    :ivar since: revision after which they were asked for.
    :ivar upto: revision up to which the receiver knows all afterwards; no
        later than ``since`` where the sender doesn't know all.
    :ivar items: the alerts, oldest first.
    :ivar kept_since: revision after which the sender knows all.
    """

    since: int
    upto: int
    items: list[Alert]
    kept_since: int = 0

    @property
    def complete(self) -> bool:
        """Tell whether none after ``since`` is missing."""
        return self.kept_since <= self.since


class Changes(typing.NamedTuple):
    """What one process, or the store, knows beyond a revision.

    :ivar since: revision after which all changes are here; 0 when these are
        all entries there are, so that any other entry is gone.
    :ivar upto: revision that the receiver knows completely afterwards.
    :ivar targets: entries written.
    :ivar removals: entries removed.
    :ivar configuration: the newest, if it changed.
    :ivar configuration_change: in place of it, what changed in it.
    :ivar newest: revision of the newest change that the sender knows of; 0
        from the store. It may be of an entry that is gone by now.
    :ivar evacuations: of data centres, requested or taken back.
    :ivar alerts_since: revision after which no alert is missing here; before
        it, an entry or a route may have come and gone unseen.
    :ivar superseded: entries written that something later here replaced; from
        the store only, as are the next.
    :ivar superseded_removals: entries removed that were written again.
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
        """Tell whether these are all events that the store saw since then.

        Of what another process tells, or a read of all shows, it isn't known
        what an entry was in between.
        """
        return self.since > 0 and not self.newest

    def in_order(self) -> list[Target | Removal]:
        """Return what was written and removed as it came one after another."""
        items = [
            *self.removals,
            *self.superseded_removals,
            *self.targets,
            *self.superseded,
        ]
        return sorted(items, key=lambda item: item.revision)
