"""Describe the operators' register and rules, and check them as a whole."""

from __future__ import annotations

import collections
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


class Index(typing.NamedTuple):
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
    :ivar index: for :mod:`teaseldock.merge` only.
    """

    data_centres: dict[str, DataCentre]
    instances: dict[str, Instance]
    services: dict[str, Service]
    leaving: frozenset[str]
    index: Index


class Parts(typing.NamedTuple):
    """Parsed parts of a configuration."""

    registers: list[Register]
    rules: list[Rules]


EMPTY_INVENTORY = Inventory(
    {},
    {},
    {},
    frozenset(),
    Index({}, {}, collections.Counter(), collections.Counter()),
)
NO_PARTS = Parts([], [])


def _reject_duplicate_keys(
    pairs: list[tuple[str, object]],
) -> dict[str, object]:
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
        value = json.loads(raw, object_pairs_hook=_reject_duplicate_keys)
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


def service_endpoint(service: Service) -> flow.Endpoint:
    """Return the endpoint that callers send to."""
    return flow.Endpoint(service['address'], service['port'])


def peer_endpoint(instance: Instance) -> flow.Endpoint:
    """Return the endpoint of the agent beside a backend server."""
    return flow.Endpoint(instance['address'], instance['peer_port'])
