"""Messages between the system's processes, and their encoding.

MessagePack by msgspec: it checks types while it reads, and costs 2 MB of
memory; the library for thrift that the request family uses costs 13 MB, more
than the rest of an agent.
"""

from __future__ import annotations

import struct
import typing
import zlib

import msgspec

from teaseldock import exceptions
from teaseldock import load
from teaseldock.packets import holdings
from teaseldock.packets import records

#: First byte of every datagram between processes.
_MAGIC = 0x54
#: Magic, kind, detail and service tag.
_HEAD = struct.Struct('>BBHI')
#: A caller's packet, to be given to the backend server.
KIND_PACKET = 1
#: A caller's packet that the backend server did not take.
KIND_RETURNED = 2
#: A heartbeat.
KIND_HEARTBEAT = 3
#: A part of changes to what is known.
KIND_CHANGES = 4
#: The question whether a backend server holds a flow: the flow's key.
KIND_LOCATE = 5
#: The answer to it: the flow's key; the detail tells.
KIND_LOCATED = 6
#: The question with a packet of the flow, for an agent that is too young to
#: know: it gives the packet to its server.
KIND_PROBE = 7
#: The request to ask other agents who holds the flow of a packet: hosts, then
#: the packet.
KIND_RELAY = 8
#: The outcome of it: the flow's key and the hosts that it is true of; the
#: detail tells whether they hold the flow.
KIND_RELAYED = 9
#: The question how busy an agent's server is; a heartbeat answers it.
KIND_GET_LOAD = 10
#: The request for changes beyond a revision, which is the body.
KIND_GET_CHANGES = 11
#: The answer to it of a process that has sent enough: who else has them.
KIND_REFERRAL = 12
#: The request for alerts beyond a revision, which is the body, and the answer.
KIND_GET_ALERTS = 13
KIND_ALERTS = 14
#: Bytes of an IPv4 address, and of a flow's key.
_HOST_BYTES = 4
_FLOW_BYTES = 12
#: Bytes of changes in one datagram, below the usual MTU with all headers.
FRAGMENT_BYTES = 1200
#: Index and count of a fragment, and a number for all of one transfer.
_FRAGMENT = struct.Struct('>HHI')
#: A revision of the store.
_REVISION = struct.Struct('>Q')


class Heartbeat(typing.NamedTuple):
    """What a process says of itself.

    :ivar is_balancer: whether it is a balancer; an agent otherwise.
    :ivar started: tells its runs apart: steady seconds at its start.
    :ivar leaving: whether it is about to stop.
    :ivar revision: up to which it knows the store.
    :ivar confirmed_ms: age of the newest answer of the store that it knows
        of, its own or a peer's.
    :ivar store_failing: whether its own calls to the store fail.
    :ivar server_load: load of its backend server, None for a balancer.
    :ivar named: addresses of balancers that it has heard of, four bytes each;
        empty in most heartbeats.
    :ivar failing_percent: part of its backend server's requests that failed
        lately, 0 for a balancer.
    :ivar layout_revision: of the newest change that it knows of where flows
        may be, see :attr:`teaseldock.packets.knowledge.Knowledge`.
    :ivar holdings: what is to be known of the flows that it holds.
    :ivar outage_ms: age of the last failed call to the store that it knows
        of, its own or a peer's; -1 if it knows of none.
    :ivar slim: whether its link is too slow to read the store for others.
    :ivar alerted: revision of the newest alert, all before it known.
    :ivar alerts_age_ms: greatest age of an alert that it doesn't know; -1 if
        it knows nothing.
    :ivar version: of the configuration that it uses, 0 before the first.
    :ivar version_age_ms: greatest age of a version that it doesn't know; -1 if
        it knows nothing.
    """

    is_balancer: bool
    started: int
    leaving: bool
    revision: int
    confirmed_ms: int
    store_failing: bool
    server_load: load.Load | None
    named: bytes
    failing_percent: int = 0
    layout_revision: int = 0
    holdings: holdings.Holdings = holdings.NOTHING_KNOWN
    outage_ms: int = -1
    slim: bool = False
    alerted: int = 0
    alerts_age_ms: int = -1
    version: int = 0
    version_age_ms: int = -1

    @property
    def balancers(self) -> list[str]:
        """Return the hosts of the balancers named."""
        return read_hosts(self.named)


class Envelope(typing.NamedTuple):
    """One datagram between processes, its head decoded.

    :ivar kind: one of the kinds of this module.
    :ivar detail: for a returned packet, why; for an answer, whether the flow
        is held; for a heartbeat, whether it answers a question.
    :ivar tag: of the service, see :func:`service_tag`. For an answer, of the
        service of whoever answers; 0 for a question.
    :ivar body: what follows the head.
    """

    kind: int
    detail: int
    tag: int
    body: bytes


class RelayRequest(typing.NamedTuple):
    """A request to ask other agents on behalf of a balancer.

    :ivar hosts: instances to ask.
    :ivar raw: a packet of the flow.
    """

    hosts: list[str]
    raw: bytes


class Located(typing.NamedTuple):
    """An agent's answer whether its server holds a flow.

    :ivar flow: the flow's key.
    :ivar layout_revision: of the newest change that the agent knows of where
        flows may be, see :class:`Heartbeat`.
    """

    flow: bytes
    layout_revision: int


class RelayResult(typing.NamedTuple):
    """What came of an errand.

    :ivar flow: the flow's key.
    :ivar layout_revision: the newest that any of the hosts told.
    :ivar hosts: instances that the outcome is true of.
    """

    flow: bytes
    layout_revision: int
    hosts: list[str]


def pack_hosts(hosts: list[str]) -> bytes:
    """Return IPv4 addresses as four bytes each."""
    return b''.join(bytes(map(int, host.split('.'))) for host in hosts)


def read_hosts(packed: bytes) -> list[str]:
    """Return the addresses that were packed."""
    return [
        '.'.join(map(str, packed[start : start + _HOST_BYTES]))
        for start in range(0, len(packed), _HOST_BYTES)
    ]


def pack_relay_request(errand: RelayRequest) -> bytes:
    """Return an errand as a datagram."""
    head = bytes([len(errand.hosts)]) + pack_hosts(errand.hosts)
    return pack(KIND_RELAY, 0, 0, head + errand.raw)


def read_relay_request(envelope: Envelope) -> RelayRequest:
    """Read an errand.

    :raises MessageError: if the bytes are none.
    """
    body = envelope.body
    end = 1 + _HOST_BYTES * body[0] if body else 1
    if len(body) <= end:
        raise exceptions.MessageError(
            'relay',
            f'{len(body)} bytes hold no hosts and packet',
            remedy='run one version on all processes; it was dropped',
        )
    return RelayRequest(read_hosts(body[1:end]), body[end:])


def pack_located(holding: int, tag: int, answer: Located) -> bytes:
    """Return an agent's answer as a datagram.

    :param tag: of the service of whoever answers.
    """
    body = answer.flow + _REVISION.pack(answer.layout_revision)
    return pack(KIND_LOCATED, holding, tag, body)


def read_located(body: bytes) -> Located:
    """Read an agent's answer.

    :raises MessageError: if the bytes are none.
    """
    if len(body) != _FLOW_BYTES + _REVISION.size:
        raise exceptions.MessageError(
            'located',
            f'{len(body)} bytes hold no flow and revision',
            remedy='run one version on all processes; it was dropped',
        )
    return Located(body[:_FLOW_BYTES], read_revision(body[_FLOW_BYTES:]))


def pack_relay_result(holding: int, tag: int, outcome: RelayResult) -> bytes:
    """Return the outcome of an errand as a datagram."""
    body = (
        outcome.flow
        + _REVISION.pack(outcome.layout_revision)
        + pack_hosts(outcome.hosts)
    )
    return pack(KIND_RELAYED, holding, tag, body)


def read_relay_result(body: bytes) -> RelayResult:
    """Read the outcome of an errand.

    :raises MessageError: if the bytes are none.
    """
    start = _FLOW_BYTES + _REVISION.size
    hosts_bytes = len(body) - start
    if hosts_bytes <= 0 or hosts_bytes % _HOST_BYTES:
        raise exceptions.MessageError(
            'relayed',
            f'{len(body)} bytes hold no flow and hosts',
            remedy='run one version on all processes; it was dropped',
        )
    return RelayResult(
        body[:_FLOW_BYTES],
        read_revision(body[_FLOW_BYTES:start]),
        read_hosts(body[start:]),
    )


def pack_get_changes(revision: int) -> bytes:
    """Return the request for all changes beyond a revision."""
    return pack(KIND_GET_CHANGES, 0, 0, _REVISION.pack(revision))


def pack_get_alerts(revision: int) -> bytes:
    """Return the request for all alerts beyond a revision."""
    return pack(KIND_GET_ALERTS, 0, 0, _REVISION.pack(revision))


def pack_alerts(alerts: records.Alerts) -> bytes:
    """Return alerts as one datagram."""
    return pack(KIND_ALERTS, 0, 0, _ENCODER.encode(alerts))


def read_alerts(body: bytes) -> records.Alerts:
    """Read alerts.

    :raises MessageError: if the bytes are none.
    """
    try:
        alerts = _ALERTS.decode(body)
        for item in alerts.items:
            if item.kind == records.AlertKind.ROUTE_DROPPED:
                bytes.fromhex(item.subject)
    except (msgspec.MsgspecError, ValueError) as error:
        raise _undecodable('alerts', error) from error
    return alerts


def pack_referral(host: str) -> bytes:
    """Return the advice to ask another process for changes."""
    return pack(KIND_REFERRAL, 0, 0, pack_hosts([host]))


def read_referral(body: bytes) -> str:
    """Read whom to ask for changes.

    :raises MessageError: if the bytes are none.
    """
    if len(body) != _HOST_BYTES:
        raise exceptions.MessageError(
            'referral',
            f'{len(body)} bytes hold no address',
            remedy='run one version on all processes; it was dropped',
        )
    return read_hosts(body)[0]


def read_revision(body: bytes) -> int:
    """Read a revision of the store.

    :raises MessageError: if the bytes are none.
    """
    if len(body) != _REVISION.size:
        raise exceptions.MessageError(
            'revision',
            f'{len(body)} bytes hold no revision',
            remedy='run one version on all processes; it was dropped',
        )
    return _REVISION.unpack(body)[0]


def service_tag(service: str) -> int:
    """Return the 32-bit number that stands for a service."""
    return zlib.crc32(service.encode())


def pack(kind: int, detail: int, tag: int, body: bytes) -> bytes:
    """Return a datagram."""
    return _HEAD.pack(_MAGIC, kind, detail, tag) + body


def unpack(datagram: bytes) -> Envelope:
    """Read the head of a datagram.

    :raises MessageError: if it is none of the system's own.
    """
    if len(datagram) < _HEAD.size or datagram[0] != _MAGIC:
        raise exceptions.MessageError(
            'internal port',
            f'{len(datagram)} bytes that no process of ours sent',
            remedy='find the sender; the datagram was dropped',
        )
    _, kind, detail, tag = _HEAD.unpack_from(datagram)
    return Envelope(kind, detail, tag, datagram[_HEAD.size :])


_HEARTBEATS = msgspec.msgpack.Decoder(Heartbeat)
_ALERTS = msgspec.msgpack.Decoder(records.Alerts)
_CHANGES = msgspec.msgpack.Decoder(records.Changes)
_ENCODER = msgspec.msgpack.Encoder()


def pack_heartbeat(heartbeat: Heartbeat, *, solicited: bool = False) -> bytes:
    """Return a heartbeat as a datagram.

    :param solicited: whether it answers a question.
    """
    return pack(KIND_HEARTBEAT, solicited, 0, _ENCODER.encode(heartbeat))


def _undecodable(place: str, error: Exception) -> exceptions.MessageError:
    return exceptions.MessageError(
        place,
        str(error),
        remedy='run one version on all processes; the message was dropped',
    )


def read_heartbeat(body: bytes) -> Heartbeat:
    """Read a heartbeat.

    :raises MessageError: if the bytes are none.
    """
    try:
        return _HEARTBEATS.decode(body)
    except msgspec.MsgspecError as error:
        raise _undecodable('heartbeat', error) from error


def pack_changes(changes: records.Changes) -> list[bytes]:
    """Return changes as datagrams, each a fragment."""
    packed = zlib.compress(_ENCODER.encode(changes), 1)
    number = zlib.crc32(packed)
    parts = [
        packed[start : start + FRAGMENT_BYTES]
        for start in range(0, len(packed), FRAGMENT_BYTES)
    ]
    return [
        pack(
            KIND_CHANGES,
            0,
            0,
            _FRAGMENT.pack(index, len(parts), number) + part,
        )
        for index, part in enumerate(parts)
    ]


class Assembler:
    """Put the fragments of one sender's changes together."""

    def __init__(self) -> None:
        """Start with no fragment."""
        self._number = 0
        self._parts: dict[int, bytes] = {}

    def add(self, body: bytes) -> records.Changes | None:
        """Take one fragment; return the changes with the last one.

        A transfer that loses a fragment is given up for the next one: the
        sender starts again when our heartbeat still shows the old revision.

        :raises MessageError: if the fragments hold no changes.
        """
        try:
            index, count, number = _FRAGMENT.unpack_from(body)
            if number != self._number:
                self._number = number
                self._parts = {}
            self._parts[index] = body[_FRAGMENT.size :]
            if len(self._parts) < count:
                return None
            packed = b''.join(self._parts[i] for i in range(count))
            self._parts = {}
            return _CHANGES.decode(zlib.decompress(packed))
        except (
            struct.error,
            zlib.error,
            KeyError,
            msgspec.MsgspecError,
        ) as error:
            self._parts = {}
            raise _undecodable('changes', error) from error
