"""Describe the operators' register and rules, and check them as a whole."""

from __future__ import annotations

import collections
import ipaddress
import json
import typing

import msgspec

from teaseldock import exceptions
from teaseldock import flow

#: Largest value that the configuration service holds, in bytes.
MAX_DOCUMENT_BYTES = 1_000_000

Name = typing.Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Capacity = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Weight = typing.Annotated[float, msgspec.Meta(gt=0, le=1000)]


class DataCentre(typing.TypedDict):
    """A data centre and the region it belongs to."""

    name: Name
    region: Name


class Instance(typing.TypedDict):
    """A backend server instance as the asset register knows it.

    ``peer_port`` is the UDP port of the agent in the instance's slot,
    ``slots`` the requests that the server runs at once, ``connections`` the
    flows that it may hold.
    """

    name: Name
    data_centre: Name
    address: str
    peer_port: Port
    slots: Capacity
    connections: Capacity


class Register(typing.TypedDict):
    """The asset register, or one part of it."""

    data_centres: list[DataCentre]
    instances: list[Instance]


class Target(typing.TypedDict):
    """An instance that serves a service, at the share its team pays for."""

    instance: Name
    port: Port
    weight: Weight


class RequestClass(typing.TypedDict):
    """Requests that weigh more than one, by CoAP method and first segment."""

    name: Name
    method: typing.Literal['GET', 'POST', 'PUT', 'DELETE', 'PATCH']
    path: str
    weight: Weight


class Service(typing.TypedDict):
    """A service: its address, its targets and its classes of requests."""

    name: Name
    address: str
    port: Port
    targets: list[Target]
    request_classes: list[RequestClass]


class Rules(typing.TypedDict):
    """What operators add to the register, or one part of it."""

    services: list[Service]
    leaving: list[Name]


class _Index(typing.NamedTuple):
    """What makes checking one changed part quick.

    :ivar endpoints: service name by address and port.
    :ivar slots: instance name by address and peer port.
    :ivar uses: number of services that an instance serves.
    :ivar leaving: number of parts that call an instance leaving.
    """

    endpoints: dict[tuple[str, int], str]
    slots: dict[tuple[str, int], str]
    uses: collections.Counter[str]
    leaving: collections.Counter[str]


class Inventory(typing.NamedTuple):
    """Register and rules, joined and checked.

    :ivar instances: by name.
    :ivar services: by name.
    :ivar leaving: names of instances that get no new work.
    :ivar index: for :func:`revise` only.
    """

    data_centres: dict[str, DataCentre]
    instances: dict[str, Instance]
    services: dict[str, Service]
    leaving: frozenset[str]
    index: _Index


class Parts(typing.NamedTuple):
    """Parsed parts of a configuration."""

    registers: list[Register]
    rules: list[Rules]


class Names(typing.NamedTuple):
    """Names of entries."""

    instances: set[str]
    services: set[str]


EMPTY_INVENTORY = Inventory(
    {},
    {},
    {},
    frozenset(),
    _Index({}, {}, collections.Counter(), collections.Counter()),
)
NO_PARTS = Parts([], [])


def _refuse_duplicates(pairs: list[tuple[str, object]]) -> dict[str, object]:
    seen: dict[str, object] = {}
    for name, value in pairs:
        # A JSON reader silently keeps the last of two equal keys, so an
        # operator's first entry would vanish without a trace.
        if name in seen:
            raise exceptions.DocumentError(
                name, 'the key stands twice', remedy='keep one of the two'
            )
        seen[name] = value
    return seen


def parse(place: str, raw: bytes, kind: type) -> typing.Any:
    """Read one document.

    :param place: the document's key, used in messages.
    :param kind: :class:`Register` or :class:`Rules`.
    :raises DocumentError: with the path of the first thing that is wrong.
    """
    if len(raw) > MAX_DOCUMENT_BYTES:
        raise exceptions.DocumentError(
            place,
            f'{len(raw)} bytes are more than {MAX_DOCUMENT_BYTES}',
            remedy='divide the document into parts',
        )
    try:
        value = json.loads(raw, object_pairs_hook=_refuse_duplicates)
    except ValueError as error:
        raise exceptions.DocumentError(
            place,
            f'not JSON ({error})',
            remedy='publish the whole document again',
        ) from error
    except exceptions.DocumentError as error:
        raise exceptions.DocumentError(
            f'{place}/{error.place}', error.problem, remedy=error.remedy
        ) from error
    try:
        return msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        raise exceptions.DocumentError(
            place, str(error), remedy='correct the field and publish again'
        ) from error


def json_schema(kind: type) -> dict[str, typing.Any]:
    """Return the JSON Schema of a document kind."""
    return msgspec.json.schema(kind)


def _check_address(place: str, text: str) -> None:
    try:
        ipaddress.IPv4Address(text)
    except ValueError as error:
        raise exceptions.InventoryError(
            place,
            f'{text!r} is no IPv4 address',
            remedy='write four numbers with dots',
        ) from error


def _twice(place: str, remedy: str) -> exceptions.InventoryError:
    return exceptions.InventoryError(
        place, 'the name stands twice', remedy=remedy
    )


def _check_instance(inventory: Inventory, instance: Instance) -> None:
    place = f'register/instances/{instance["name"]}'
    _check_address(f'{place}/address', instance['address'])
    if instance['data_centre'] not in inventory.data_centres:
        raise exceptions.InventoryError(
            f'{place}/data_centre',
            f'{instance["data_centre"]!r} is not in the register',
            remedy='add the data centre or correct the name',
        )


def _check_targets(inventory: Inventory, service: Service) -> None:
    place = f'rules/services/{service["name"]}/targets'
    names = [target['instance'] for target in service['targets']]
    if not names:
        raise exceptions.InventoryError(
            place,
            'the service has no target',
            remedy='add an instance or remove the service',
        )
    for name in names:
        if name not in inventory.instances:
            raise exceptions.InventoryError(
                f'{place}/{name}',
                'the instance is not in the register',
                remedy='register it first or correct the name',
            )
        if names.count(name) > 1:
            raise exceptions.InventoryError(
                f'{place}/{name}',
                'the instance stands twice',
                remedy='keep one entry and set its weight',
            )


class _Revision:
    """Copy an inventory, take parts out and put parts in, then check.

    Only the entries of the parts are looked at: a change of one part among
    thousands must cost milliseconds, as it happens at every process.
    """

    def __init__(self, previous: Inventory) -> None:
        self._previous = previous
        self._data_centres = dict(previous.data_centres)
        self._instances = dict(previous.instances)
        self._services = dict(previous.services)
        index = previous.index
        self._index = _Index(
            dict(index.endpoints),
            dict(index.slots),
            index.uses.copy(),
            index.leaving.copy(),
        )
        self._touched_instances: set[str] = set()
        self._touched_services: set[str] = set()

    def remove(self, parts: Parts) -> None:
        """Take parts out."""
        for register in parts.registers:
            for centre in register['data_centres']:
                self._data_centres.pop(centre['name'], None)
            for instance in register['instances']:
                self._remove_instance(instance)
        for rules in parts.rules:
            for service in rules['services']:
                self._remove_service(service)
            self._index.leaving.subtract(rules['leaving'])

    def _remove_instance(self, instance: Instance) -> None:
        self._touched_instances.add(instance['name'])
        self._instances.pop(instance['name'], None)
        slot = (instance['address'], instance['peer_port'])
        self._index.slots.pop(slot, None)

    def _remove_service(self, service: Service) -> None:
        self._touched_services.add(service['name'])
        self._services.pop(service['name'], None)
        endpoint = (service['address'], service['port'])
        self._index.endpoints.pop(endpoint, None)
        self._index.uses.subtract(
            target['instance'] for target in service['targets']
        )

    def add(self, parts: Parts) -> None:
        """Put parts in.

        :raises InventoryError: if a name or an endpoint is taken.
        """
        for register in parts.registers:
            for centre in register['data_centres']:
                self._add_data_centre(centre)
            for instance in register['instances']:
                self._add_instance(instance)
        for rules in parts.rules:
            for service in rules['services']:
                self._add_service(service)
            self._index.leaving.update(rules['leaving'])

    def _add_data_centre(self, centre: DataCentre) -> None:
        name = centre['name']
        if name in self._data_centres:
            raise _twice(f'register/data_centres/{name}', 'keep one')
        self._data_centres[name] = centre

    def _add_instance(self, instance: Instance) -> None:
        name = instance['name']
        place = f'register/instances/{name}'
        if name in self._instances:
            raise _twice(place, 'rename or remove one of the two')
        slot = (instance['address'], instance['peer_port'])
        if slot in self._index.slots:
            raise exceptions.InventoryError(
                place,
                f'shares its address and peer port with '
                f'{self._index.slots[slot]!r}',
                remedy='give each agent a port of its own',
            )
        self._touched_instances.add(name)
        self._instances[name] = instance
        self._index.slots[slot] = name

    def _add_service(self, service: Service) -> None:
        name = service['name']
        place = f'rules/services/{name}'
        if name in self._services:
            raise _twice(place, 'rename or remove one of the two')
        endpoint = (service['address'], service['port'])
        if endpoint in self._index.endpoints:
            raise exceptions.InventoryError(
                place,
                f'shares its address and port with '
                f'{self._index.endpoints[endpoint]!r}',
                remedy='give each service an address of its own',
            )
        self._touched_services.add(name)
        self._services[name] = service
        self._index.endpoints[endpoint] = name
        self._index.uses.update(
            target['instance'] for target in service['targets']
        )

    def finish(self) -> Inventory:
        """Return the new inventory, checked.

        :raises InventoryError: with the place and the remedy.
        """
        leaving = frozenset(
            name for name, count in self._index.leaving.items() if count > 0
        )
        inventory = Inventory(
            self._data_centres,
            self._instances,
            self._services,
            leaving,
            self._index,
        )
        self._check(inventory)
        return inventory

    def _check(self, inventory: Inventory) -> None:
        to_check = self._touched_instances
        if self._previous.data_centres.keys() - inventory.data_centres.keys():
            to_check = inventory.instances.keys()
        for name in sorted(to_check):
            if name in inventory.instances:
                _check_instance(inventory, inventory.instances[name])
        for name in sorted(self._touched_services):
            service = inventory.services.get(name)
            if service is not None:
                place = f'rules/services/{name}'
                _check_address(f'{place}/address', service['address'])
                _check_targets(inventory, service)
        self._check_gone(inventory)
        for name in inventory.leaving:
            if name not in inventory.instances:
                raise exceptions.InventoryError(
                    f'rules/leaving/{name}',
                    'the instance is not in the register',
                    remedy='remove the line or correct the name',
                )

    def _check_gone(self, inventory: Inventory) -> None:
        """Refuse to remove an instance that a service still names."""
        for name in sorted(self._touched_instances):
            if name in inventory.instances or self._index.uses[name] <= 0:
                continue
            raise exceptions.InventoryError(
                f'register/instances/{name}',
                'it is gone, and the rules still name it as a target',
                remedy='take it out of the rules first',
            )


def revise(previous: Inventory, removed: Parts, added: Parts) -> Inventory:
    """Return an inventory in which some parts were replaced.

    :raises InventoryError: with the place and the remedy; nothing of the
        parts may then come into force.
    """
    revision = _Revision(previous)
    revision.remove(removed)
    revision.add(added)
    return revision.finish()


def join(
    registers: typing.Iterable[Register], rules: typing.Iterable[Rules]
) -> Inventory:
    """Join all parts of register and rules and check them as a whole.

    :raises InventoryError: with the place and the remedy.
    """
    added = Parts(list(registers), list(rules))
    return revise(EMPTY_INVENTORY, NO_PARTS, added)


def names_of(parts: Parts) -> Names:
    """Return the names of all entries in some parts."""
    return Names(
        {
            item['name']
            for part in parts.registers
            for item in part['instances']
        },
        {item['name'] for part in parts.rules for item in part['services']},
    )


def service_endpoint(service: Service) -> flow.Endpoint:
    """Return the endpoint that callers send to."""
    return flow.Endpoint(service['address'], service['port'])


def peer_endpoint(instance: Instance) -> flow.Endpoint:
    """Return the endpoint of the agent beside a backend server."""
    return flow.Endpoint(instance['address'], instance['peer_port'])
