"""Define the documents of the operators, register and rules, and parse them.

:mod:`teaseldock.merge` checks them as a whole.
"""

from __future__ import annotations

import collections
import json
import typing

import msgspec

from teaseldock import decoding
from teaseldock import exceptions
from teaseldock import flow

#: Largest document that the configuration service stores, in bytes.
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
    """A backend server instance, as the asset register lists it.

    ``peer_port`` is the UDP port of the instance's agent, ``slots`` the
    number of requests that the server runs at once, ``connections`` the
    number of flows that it may hold.
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
    """A serving instance; its weight is the share that its team pays for."""

    instance: Name
    port: Port
    weight: Weight


class RequestClass(typing.TypedDict):
    """Weight of a class of requests, by CoAP method and first segment."""

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
    """Services and leaving instances, or one part of them."""

    services: list[Service]
    leaving: list[Name]


class Index(typing.NamedTuple):
    """Lookup tables that make checks of one changed part fast.

    :ivar endpoints: service name by address and port.
    :ivar slots: instance name by address and peer port.
    :ivar uses: number of services that an instance serves.
    :ivar leaving: number of parts that list an instance as leaving.
    """

    endpoints: dict[tuple[str, int], str]
    slots: dict[tuple[str, int], str]
    uses: collections.Counter[str]
    leaving: collections.Counter[str]


class Inventory(typing.NamedTuple):
    """Register and rules, merged and checked.

    :ivar instances: by name.
    :ivar services: by name.
    :ivar leaving: names of instances that get no new flows or requests.
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
        # JSON parsers silently keep the last of two equal keys, so an
        # operator's first entry would be lost without an error.
        if name in seen:
            raise exceptions.DocumentError(
                name, 'duplicate key', remedy='keep one of the two'
            )
        seen[name] = value
    return seen


def parse(place: str, raw: bytes, kind: type) -> typing.Any:
    """Parse and validate one document.

    :param place: the document's key, used in messages.
    :param kind: :class:`Register` or :class:`Rules`.
    :raises DocumentError: if it is invalid, with the path of the first error.
    """
    if len(raw) > MAX_DOCUMENT_BYTES:
        raise exceptions.DocumentError(
            place,
            f'{len(raw)} bytes exceed the limit of {MAX_DOCUMENT_BYTES}',
            remedy='divide the document into parts',
        )
    try:
        value = json.loads(raw, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError) as error:
        raise exceptions.DocumentError(
            place,
            f'not JSON ({decoding.problem(error)})',
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
    """Return the endpoint of the agent of an instance."""
    return flow.Endpoint(instance['address'], instance['peer_port'])
