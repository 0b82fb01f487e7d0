"""Describe the operators' register and rules, and check them as a whole."""

from __future__ import annotations

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


class Inventory(typing.NamedTuple):
    """Register and rules, joined and checked.

    :ivar instances: by name.
    :ivar services: by name.
    :ivar leaving: names of instances that get no new work.
    """

    data_centres: dict[str, DataCentre]
    instances: dict[str, Instance]
    services: dict[str, Service]
    leaving: frozenset[str]


EMPTY_INVENTORY = Inventory({}, {}, {}, frozenset())


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


def _unique(place: str, items: typing.Iterable) -> dict[str, typing.Any]:
    found: dict[str, typing.Any] = {}
    for item in items:
        name = item['name']
        if name in found:
            raise exceptions.InventoryError(
                f'{place}/{name}',
                'the name stands twice',
                remedy='rename or remove one of the two',
            )
        found[name] = item
    return found


def _check_address(place: str, text: str) -> None:
    try:
        ipaddress.IPv4Address(text)
    except ValueError as error:
        raise exceptions.InventoryError(
            place,
            f'{text!r} is no IPv4 address',
            remedy='write four numbers with dots',
        ) from error


def _changed(after: dict, before: dict) -> list[typing.Any]:
    """Return the entries that are new or were read again.

    Parts that were not published again keep their objects, so identity tells
    in two milliseconds, for tens of thousands of entries, what must be
    checked; checking all of them at each change would take most of the
    processor time that control may use.
    """
    return [
        item for name, item in after.items() if before.get(name) is not item
    ]


def _check_instances(inventory: Inventory, previous: Inventory) -> None:
    for instance in _changed(inventory.instances, previous.instances):
        place = f'register/instances/{instance["name"]}'
        _check_address(f'{place}/address', instance['address'])
        if instance['data_centre'] not in inventory.data_centres:
            raise exceptions.InventoryError(
                f'{place}/data_centre',
                f'{instance["data_centre"]!r} is not in the register',
                remedy='add the data centre or correct the name',
            )
    _check_shared(
        'register/instances',
        inventory.instances,
        lambda item: (item['address'], item['peer_port']),
        'shares its address and peer port with',
        'give each agent a port of its own',
    )


def _check_shared(
    place: str,
    entries: dict[str, typing.Any],
    endpoint_of: typing.Callable[[typing.Any], tuple[str, int]],
    problem: str,
    remedy: str,
) -> None:
    """Refuse two entries with one endpoint."""
    taken = {endpoint_of(item): name for name, item in entries.items()}
    if len(taken) == len(entries):
        return
    for name, item in entries.items():
        other = taken[endpoint_of(item)]
        if other != name:
            raise exceptions.InventoryError(
                f'{place}/{name}', f'{problem} {other!r}', remedy=remedy
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


def _check_services(inventory: Inventory, previous: Inventory) -> None:
    for service in _changed(inventory.services, previous.services):
        place = f'rules/services/{service["name"]}'
        _check_address(f'{place}/address', service['address'])
    _check_shared(
        'rules/services',
        inventory.services,
        lambda item: (item['address'], item['port']),
        'shares its address and port with',
        'give each service an address of its own',
    )
    to_check = _changed(inventory.services, previous.services)
    if previous.instances.keys() - inventory.instances.keys():
        to_check = list(inventory.services.values())
    for service in to_check:
        _check_targets(inventory, service)


def _check_leaving(inventory: Inventory) -> None:
    for name in inventory.leaving:
        if name not in inventory.instances:
            raise exceptions.InventoryError(
                f'rules/leaving/{name}',
                'the instance is not in the register',
                remedy='remove the line or correct the name',
            )


def join(
    registers: typing.Iterable[Register],
    rules: typing.Iterable[Rules],
    *,
    previous: Inventory = EMPTY_INVENTORY,
) -> Inventory:
    """Join the parts of register and rules and check them as a whole.

    :param previous: a checked inventory; entries that are the same objects
        in it are not checked again on their own.
    :raises InventoryError: with the place and the remedy; nothing of the
        parts may then come into force.
    """
    registers = list(registers)
    rules = list(rules)
    inventory = Inventory(
        _unique(
            'register/data_centres',
            (item for part in registers for item in part['data_centres']),
        ),
        _unique(
            'register/instances',
            (item for part in registers for item in part['instances']),
        ),
        _unique(
            'rules/services',
            (item for part in rules for item in part['services']),
        ),
        frozenset(name for part in rules for name in part['leaving']),
    )
    _check_instances(inventory, previous)
    _check_services(inventory, previous)
    _check_leaving(inventory)
    return inventory


def service_endpoint(service: Service) -> flow.Endpoint:
    """Return the endpoint that callers send to."""
    return flow.Endpoint(service['address'], service['port'])


def peer_endpoint(instance: Instance) -> flow.Endpoint:
    """Return the endpoint of the agent beside a backend server."""
    return flow.Endpoint(instance['address'], instance['peer_port'])
