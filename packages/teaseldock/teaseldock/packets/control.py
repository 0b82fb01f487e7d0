"""Define the messages between processes, and their encoding.

The encoding is MessagePack by msgspec, which checks types while it decodes and
takes 2 MB of memory. The thrift library of the request family takes 13 MB,
more than the rest of an agent.
"""

from __future__ import annotations

import enum
import struct
import typing
import zlib

import msgspec

from teaseldock import decoding
from teaseldock import exceptions
from teaseldock import load
from teaseldock.packets import expected_wait
from teaseldock.packets import holdings
from teaseldock.packets import records

#: First byte of every datagram between processes.
_MAGIC = 0x54
#: Magic, kind, detail and service tag.
_HEADER = struct.Struct('>BBHI')
#: Bytes of a datagram before its body.
HEADER_BYTES = _HEADER.size
#: A caller's packet for the backend server.
KIND_PACKET = 1
#: A caller's packet that the backend server did not take.
KIND_RETURNED = 2
#: A heartbeat.
KIND_HEARTBEAT = 3
#: A fragment of store changes.
KIND_CHANGES = 4
#: Asks whether a backend server holds a flow; the body is the flow's key. With
#: detail NUMBERED the tag is the number that the caller acknowledges, which
#: tells the flow from others behind the same key.
KIND_LOCATE = 5
NUMBERED = 1
#: Answers KIND_LOCATE with the flow's key; the detail is a LocateResult. The
#: answer to a numbered query ends with its number, and hosts to ask besides.
KIND_LOCATED = 6
MAX_OTHER_HOSTS = 8
#: Like KIND_LOCATE, but with a packet of the flow. It is for an agent that has
#: run too briefly to know; the agent gives the packet to its server.
KIND_PROBE = 7
#: Requests that an agent ask others which of them holds the flow of a packet;
#: the body is their hosts, then the packet.
KIND_RELAY = 8
#: Reports the result of KIND_RELAY: the flow's key and the hosts that the
#: result applies to; the detail is a LocateResult. The tag is that of the
#: service if the flow is held; else the number that the caller acknowledges, 0
#: if it isn't told. With UNSURE, the hosts are others to ask.
KIND_RELAYED = 9
#: Asks an agent for the load of its server. KIND_LOAD answers detail
#: SHORT_REPORT, a heartbeat any other; agents of earlier versions answer every
#: detail with a heartbeat.
KIND_GET_LOAD = 10
SHORT_REPORT = 1
#: Requests the changes beyond the revision in the body.
KIND_GET_CHANGES = 11
#: Answers KIND_GET_CHANGES if the sender has used up its budget: names another
#: process that has the changes.
KIND_REFERRAL = 12
#: The request for the alerts beyond the revision in the body, and its answer.
KIND_GET_ALERTS = 13
KIND_ALERTS = 14
#: Answers KIND_GET_LOAD with a short report.
KIND_LOAD = 15
#: Tells an agent of the same service that the sender's server is free; the
#: body is its expected wait and service time.
KIND_AVAILABLE = 16
#: An opening that an agent hands off to another one of its service.
KIND_HANDED_ON = 17
#: Tells the balancer of an opening that was handed off, and the agent that
#: handed it off, that the sender has got it; the body is the flow's key. The
#: detail is a MovedResult.
KIND_MOVED = 18
#: Bytes of an IPv4 address and of a flow's key.
_HOST_BYTES = 4
_FLOW_BYTES = 12
#: Bytes of changes in one datagram; with all headers it stays below the usual
#: MTU.
FRAGMENT_BYTES = 1200
#: Index and count of a fragment, and the number of its transfer.
_FRAGMENT = struct.Struct('>HHI')
#: A revision of the store, and a sequence number of a flow.
_REVISION = struct.Struct('>Q')
_NUMBER = struct.Struct('>I')
#: A short report: running, queued, slots, flows, mean requests in tenths,
#: expected wait and service time in milliseconds, failing percentage, flags.
_LOAD_REPORT = struct.Struct('>HHBHHHHBB')
_WORK_UNITS = 10
_ACCEPTING, _REPORT_LEAVING = 1, 2
_MAX_UINT8 = 0xFF
_MAX_UINT16 = 0xFFFF
_LOAD_REPORT_LIMITS = (
    *(_MAX_UINT16, _MAX_UINT16, _MAX_UINT8, _MAX_UINT16, _MAX_UINT16),
    *(_MAX_UINT16, _MAX_UINT16, _MAX_UINT8, _MAX_UINT8),
)
#: Expected wait and service time in milliseconds.
_AVAILABLE = struct.Struct('>HH')


#: Age in milliseconds, -1 for none. Ages are added to and sent on: beyond the
#: limit the result no longer fits into a message, and the receiver could send
#: no heartbeat any more.
_Age = typing.Annotated[int, msgspec.Meta(ge=-1, le=1 << 40)]


class ReturnReason(enum.IntEnum):
    """Why an agent returned a packet to the balancer."""

    NOT_HELD = 0
    OTHER_SERVICE = 1
    LEAVING = 2
    EVACUATED = 3
    COLD = 4


class MovedResult(enum.IntEnum):
    """What an agent did with an opening that was handed to it."""

    TAKEN = 0
    REFUSED = 1


class Heartbeat(typing.NamedTuple):
    """The state that a process reports to its peers.

    :ivar is_balancer: whether it is a balancer; an agent otherwise.
    :ivar started: distinguishes its runs: monotonic milliseconds at its start.
    :ivar leaving: whether it is about to stop.
    :ivar revision: store position that it has reached.
    :ivar confirmed_ms: age of the store's newest answer to this process or to
        a peer that reported it.
    :ivar store_failing: whether its own calls to the store fail.
    :ivar server_load: load of its backend server, None for a balancer.
    :ivar named: addresses of live balancers, four bytes each; empty in most
        heartbeats.
    :ivar failing_percent: percentage of its backend server's recent requests
        that failed, 0 for a balancer.
    :ivar layout_revision: revision of the newest change to the possible
        locations of flows that it holds, see
        :attr:`teaseldock.packets.knowledge.Knowledge.layout_revision`.
    :ivar holdings: summary of the flows that it holds.
    :ivar outage_ms: age of the last failed call to the store by this process
        or by a peer that reported it; -1 for none.
    :ivar slim: whether its link is too slow to read the store for others.
    :ivar alerted: revision of the newest alert; it holds all earlier ones.
    :ivar alerts_age_ms: greatest possible age of an alert that it lacks; -1 if
        it has no proof of freshness.
    :ivar version: version of the configuration that it uses, 0 before the
        first.
    :ivar version_age_ms: greatest possible age of a version that it lacks; -1
        if it has no proof of freshness.
    """

    is_balancer: bool
    started: int
    leaving: bool
    revision: int
    confirmed_ms: _Age
    store_failing: bool
    server_load: load.Load | None
    named: bytes
    failing_percent: int = 0
    layout_revision: int = 0
    holdings: holdings.Holdings = holdings.EMPTY_HOLDINGS
    outage_ms: _Age = -1
    slim: bool = False
    alerted: int = 0
    alerts_age_ms: _Age = -1
    version: int = 0
    version_age_ms: _Age = -1

    @property
    def balancers(self) -> list[str]:
        """Return the hosts of the balancers in ``named``."""
        return read_hosts(self.named)


class Envelope(typing.NamedTuple):
    """One datagram between processes with its head decoded.

    :ivar kind: one of the kinds of this module.
    :ivar detail: for a returned packet, the reason; for an answer, whether the
        flow is held; for a heartbeat, whether it answers a question.
    :ivar tag: tag of the service, see :func:`service_tag`. An answer carries
        the service of the agent that answers, a question carries 0.
    :ivar body: the bytes after the head.
    """

    kind: int
    detail: int
    tag: int
    body: bytes


class LoadReport(typing.NamedTuple):
    """The load of an agent's server, without the agent's store state.

    :ivar server_load: load of the server.
    :ivar start_s: seconds until a request that arrives now would start.
    :ivar service_s: mean service time in seconds, 0 if not known yet.
    :ivar failing_percent: percentage of recent requests that failed.
    :ivar leaving: whether the agent is about to stop.
    """

    server_load: load.Load
    start_s: float
    service_s: float
    failing_percent: int
    leaving: bool


class RelayRequest(typing.NamedTuple):
    """A request that an agent ask other agents on behalf of a balancer.

    :ivar hosts: instances to ask.
    :ivar raw: a packet of the flow.
    """

    hosts: list[str]
    raw: bytes


class Located(typing.NamedTuple):
    """An agent's answer on whether its server holds a flow.

    :ivar flow: the flow's key.
    :ivar layout_revision: revision of the newest change to the possible
        locations of flows that the agent holds, see :class:`Heartbeat`.
    :ivar acknowledged: number in the query that it answers, None if there was
        none.
    :ivar other_hosts: instances that may hold the flow although no entry can
        tell the balancer; at most :data:`MAX_OTHER_HOSTS`. Only told with a
        number.
    """

    flow: bytes
    layout_revision: int
    acknowledged: int | None = None
    other_hosts: tuple[str, ...] = ()


class RelayResult(typing.NamedTuple):
    """The result of a relay request for some of its hosts.

    :ivar flow: the flow's key.
    :ivar layout_revision: the newest that any of the hosts reported.
    :ivar hosts: instances that the result applies to.
    """

    flow: bytes
    layout_revision: int
    hosts: list[str]


class HandedOpening(typing.NamedTuple):
    """An opening that an agent hands off to another one.

    :ivar balancer: host of the balancer that placed the flow.
    :ivar hand_offs: number of hand-offs, including this one.
    :ivar raw: the opening packet as it came.
    """

    balancer: str
    hand_offs: int
    raw: bytes


def pack_hosts(hosts: typing.Sequence[str]) -> bytes:
    """Encode IPv4 addresses as four bytes each."""
    return b''.join(bytes(map(int, host.split('.'))) for host in hosts)


def read_hosts(packed: bytes) -> list[str]:
    """Decode IPv4 addresses of four bytes each."""
    return [
        '.'.join(map(str, packed[start : start + _HOST_BYTES]))
        for start in range(0, len(packed), _HOST_BYTES)
    ]


def pack_relay_request(request: RelayRequest) -> bytes:
    """Encode a relay request as a datagram."""
    head = bytes([len(request.hosts)]) + pack_hosts(request.hosts)
    return pack(KIND_RELAY, 0, 0, head + request.raw)


def read_relay_request(envelope: Envelope) -> RelayRequest:
    """Decode a relay request.

    :raises MessageError: if the bytes are malformed.
    """
    body = envelope.body
    end = 1 + _HOST_BYTES * body[0] if body else 1
    if len(body) <= end:
        raise exceptions.MessageError(
            'relay',
            f'{len(body)} bytes are too short for hosts and a packet',
            remedy='run one version on all processes; the message was dropped',
        )
    return RelayRequest(read_hosts(body[1:end]), body[end:])


def pack_locate(flow: bytes, acknowledged: int) -> bytes:
    """Encode the query whether a server holds a flow, as a datagram.

    :param acknowledged: number that the caller's packets acknowledge.
    """
    return pack(KIND_LOCATE, NUMBERED, acknowledged, flow)


def read_locate_number(query: Envelope) -> int | None:
    """Return the number that the caller acknowledges, None if not told."""
    return query.tag if query.detail == NUMBERED else None


def pack_located(holding: int, tag: int, answer: Located) -> bytes:
    """Encode an agent's answer as a datagram.

    :param tag: tag of the service of the agent that answers.
    """
    body = answer.flow + _REVISION.pack(answer.layout_revision)
    if answer.acknowledged is not None:
        body += _NUMBER.pack(answer.acknowledged)
        body += pack_hosts(answer.other_hosts[:MAX_OTHER_HOSTS])
    return pack(KIND_LOCATED, holding, tag, body)


def read_located(body: bytes) -> Located:
    """Decode an agent's answer.

    :raises MessageError: if the bytes are malformed.
    """
    end = _FLOW_BYTES + _REVISION.size
    rest = body[end:]
    if len(body) < end or len(rest) % _HOST_BYTES:
        raise exceptions.MessageError(
            'located',
            f'{len(body)} bytes are not a flow key, a revision, a number and'
            ' hosts',
            remedy='run one version on all processes; the message was dropped',
        )
    flow = body[:_FLOW_BYTES]
    layout_revision = read_revision(body[_FLOW_BYTES:end])
    if not rest:
        return Located(flow, layout_revision)
    number = _NUMBER.unpack_from(rest)[0]
    hosts = read_hosts(rest[_NUMBER.size :])
    return Located(flow, layout_revision, number, tuple(hosts))


def relayed_number(result: Envelope) -> int | None:
    """Return the number in a result that a flow isn't held, None if none."""
    return result.tag or None


def pack_relay_result(holding: int, tag: int, result: RelayResult) -> bytes:
    """Encode the result of a relay request as a datagram."""
    body = (
        result.flow
        + _REVISION.pack(result.layout_revision)
        + pack_hosts(result.hosts)
    )
    return pack(KIND_RELAYED, holding, tag, body)


def read_relay_result(body: bytes) -> RelayResult:
    """Decode the result of a relay request.

    :raises MessageError: if the bytes are malformed.
    """
    start = _FLOW_BYTES + _REVISION.size
    hosts_bytes = len(body) - start
    if hosts_bytes <= 0 or hosts_bytes % _HOST_BYTES:
        raise exceptions.MessageError(
            'relayed',
            f'{len(body)} bytes are not a flow key, a revision and hosts',
            remedy='run one version on all processes; the message was dropped',
        )
    return RelayResult(
        body[:_FLOW_BYTES],
        read_revision(body[_FLOW_BYTES:start]),
        read_hosts(body[start:]),
    )


def pack_get_changes(revision: int) -> bytes:
    """Encode the request for all changes beyond a revision."""
    return pack(KIND_GET_CHANGES, 0, 0, _REVISION.pack(revision))


def pack_get_alerts(revision: int) -> bytes:
    """Encode the request for all alerts beyond a revision."""
    return pack(KIND_GET_ALERTS, 0, 0, _REVISION.pack(revision))


def pack_alerts(alerts: records.Alerts) -> bytes:
    """Encode alerts as one datagram."""
    return pack(KIND_ALERTS, 0, 0, _ENCODER.encode(alerts))


def read_alerts(body: bytes) -> records.Alerts:
    """Decode alerts.

    :raises MessageError: if the bytes are malformed.
    """
    try:
        alerts = _ALERTS_DECODER.decode(body)
        for item in alerts.items:
            if item.kind == records.AlertKind.ROUTE_DROPPED:
                bytes.fromhex(item.subject)
    except decoding.UNDECODABLE as error:
        raise _undecodable('alerts', error) from error
    return alerts


def pack_referral(host: str) -> bytes:
    """Encode the referral to another process that has the changes."""
    return pack(KIND_REFERRAL, 0, 0, pack_hosts([host]))


def read_referral(body: bytes) -> str:
    """Decode the host that a referral names.

    :raises MessageError: if the bytes are malformed.
    """
    if len(body) != _HOST_BYTES:
        raise exceptions.MessageError(
            'referral',
            f'{len(body)} bytes are not an IPv4 address',
            remedy='run one version on all processes; the message was dropped',
        )
    return read_hosts(body)[0]


def pack_available(tag: int, wait: expected_wait.ExpectedWait) -> bytes:
    """Encode the notice that a server is free, as a datagram.

    :param tag: tag of the service of the agent that sends it.
    """
    start_ms, service_ms = (
        min(_MAX_UINT16, round(1000 * seconds)) for seconds in wait
    )
    body = _AVAILABLE.pack(start_ms, service_ms)
    return pack(KIND_AVAILABLE, 0, tag, body)


def read_available(body: bytes) -> expected_wait.ExpectedWait:
    """Decode the notice that a server is free.

    :raises MessageError: if the bytes are malformed.
    """
    if len(body) != _AVAILABLE.size:
        raise exceptions.MessageError(
            'available',
            f'{len(body)} bytes are not a wait and a service time',
            remedy='run one version on all processes; the message was dropped',
        )
    start_ms, service_ms = _AVAILABLE.unpack(body)
    return expected_wait.ExpectedWait(start_ms / 1000, service_ms / 1000)


def pack_handed_on(tag: int, opening: HandedOpening) -> bytes:
    """Encode an opening that is handed off, as a datagram.

    :param tag: tag of the service that the opening is for.
    """
    head = pack_hosts([opening.balancer]) + bytes([opening.hand_offs])
    return pack(KIND_HANDED_ON, 0, tag, head + opening.raw)


def read_handed_on(body: bytes) -> HandedOpening:
    """Decode an opening that was handed off.

    :raises MessageError: if the bytes are malformed.
    """
    if len(body) <= _HOST_BYTES + 1:
        raise exceptions.MessageError(
            'handed on',
            f'{len(body)} bytes are too short for a host and a packet',
            remedy='run one version on all processes; the message was dropped',
        )
    return HandedOpening(
        read_hosts(body[:_HOST_BYTES])[0],
        body[_HOST_BYTES],
        body[_HOST_BYTES + 1 :],
    )


def pack_moved(result: MovedResult, tag: int, flow: bytes) -> bytes:
    """Encode the receipt of an opening that was handed off.

    :param tag: tag of the service of the agent that got it.
    """
    return pack(KIND_MOVED, result, tag, flow)


def read_moved(body: bytes) -> bytes:
    """Decode the key of a flow whose opening was handed off.

    :raises MessageError: if the bytes are malformed.
    """
    if len(body) != _FLOW_BYTES:
        raise exceptions.MessageError(
            'moved',
            f'{len(body)} bytes are not a flow key',
            remedy='run one version on all processes; the message was dropped',
        )
    return body


def read_revision(body: bytes) -> int:
    """Decode a revision of the store.

    :raises MessageError: if the bytes are malformed.
    """
    if len(body) != _REVISION.size:
        raise exceptions.MessageError(
            'revision',
            f'{len(body)} bytes are not a revision',
            remedy='run one version on all processes; the message was dropped',
        )
    return _REVISION.unpack(body)[0]


def service_tag(service: str) -> int:
    """Return the 32-bit number that identifies a service."""
    return zlib.crc32(service.encode())


def pack(kind: int, detail: int, tag: int, body: bytes) -> bytes:
    """Encode a datagram."""
    return _HEADER.pack(_MAGIC, kind, detail, tag) + body


def unpack(datagram: bytes) -> Envelope:
    """Decode the head of a datagram.

    :raises MessageError: if no process of the system sends such bytes.
    """
    if len(datagram) < _HEADER.size or datagram[0] != _MAGIC:
        raise exceptions.MessageError(
            'internal port',
            f'{len(datagram)} bytes are not a message between processes',
            remedy='find the sender; the datagram was dropped',
        )
    _, kind, detail, tag = _HEADER.unpack_from(datagram)
    return Envelope(kind, detail, tag, datagram[_HEADER.size :])


_HEARTBEAT_DECODER = msgspec.msgpack.Decoder(Heartbeat)
_ALERTS_DECODER = msgspec.msgpack.Decoder(records.Alerts)
_CHANGES_DECODER = msgspec.msgpack.Decoder(records.Changes)
_ENCODER = msgspec.msgpack.Encoder()


def pack_heartbeat(heartbeat: Heartbeat, *, solicited: bool = False) -> bytes:
    """Encode a heartbeat as a datagram.

    :param solicited: whether it answers a question.
    """
    return pack(KIND_HEARTBEAT, solicited, 0, _ENCODER.encode(heartbeat))


def _undecodable(place: str, error: Exception) -> exceptions.MessageError:
    return exceptions.MessageError(
        place,
        decoding.problem(error),
        remedy='run one version on all processes; the message was dropped',
    )


def read_heartbeat(body: bytes) -> Heartbeat:
    """Decode a heartbeat.

    :raises MessageError: if the bytes are malformed.
    """
    try:
        heartbeat = _HEARTBEAT_DECODER.decode(body)
    except decoding.UNDECODABLE as error:
        raise _undecodable('heartbeat', error) from error
    if len(heartbeat.named) % _HOST_BYTES:
        raise _undecodable(
            'heartbeat', ValueError('the named balancers are not addresses')
        )
    return heartbeat


def pack_load_report(report: LoadReport) -> bytes:
    """Encode a short report; a value too large for its field is capped."""
    running, queued, slots, flows, work, accepting = report.server_load
    service_ms = round(report.service_s * 1000)
    if report.service_s and not service_ms:
        # 0 stands for a service time that is not known.
        service_ms = 1
    fields = (
        running,
        queued,
        slots,
        flows,
        round(work * _WORK_UNITS),
        round(report.start_s * 1000),
        service_ms,
        report.failing_percent,
        _ACCEPTING * accepting + _REPORT_LEAVING * report.leaving,
    )
    try:
        body = _LOAD_REPORT.pack(*fields)
    except struct.error:
        # Values rarely exceed their fields, so the limits are applied only
        # after an error.
        body = _LOAD_REPORT.pack(*map(min, fields, _LOAD_REPORT_LIMITS))
    return pack(KIND_LOAD, 0, 0, body)


def read_load_report(body: bytes) -> LoadReport:
    """Decode a short report.

    :raises MessageError: if the bytes are malformed.
    """
    if len(body) != _LOAD_REPORT.size:
        raise exceptions.MessageError(
            'load',
            f'{len(body)} bytes are not a load report',
            remedy='run one version on all processes; the message was dropped',
        )
    (
        running,
        queued,
        slots,
        flows,
        work,
        start_ms,
        service_ms,
        failing_percent,
        flags,
    ) = _LOAD_REPORT.unpack(body)
    return LoadReport(
        load.Load(
            running,
            queued,
            slots,
            flows,
            work / _WORK_UNITS,
            bool(flags & _ACCEPTING),
        ),
        start_ms / 1000,
        service_ms / 1000,
        failing_percent,
        bool(flags & _REPORT_LEAVING),
    )


def pack_changes(changes: records.Changes) -> list[bytes]:
    """Encode changes as datagrams, one for each fragment."""
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
    """Reassembles the changes of one sender from their fragments."""

    def __init__(self) -> None:
        """Create an assembler without fragments."""
        self._number = 0
        self._parts: dict[int, bytes] = {}

    def add(self, body: bytes) -> records.Changes | None:
        """Add one fragment; return the changes once all have arrived.

        A transfer that lost a fragment is discarded when the next one begins:
        the sender starts again when our heartbeat still shows the old
        revision.

        :raises MessageError: if the fragments do not hold changes.
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
            return _CHANGES_DECODER.decode(zlib.decompress(packed))
        except (
            struct.error,
            zlib.error,
            KeyError,
            *decoding.UNDECODABLE,
        ) as error:
            self._parts = {}
            raise _undecodable('changes', error) from error
