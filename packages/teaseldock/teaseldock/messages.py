"""Define the messages between processes and the actions of decisions.

Each message is a ``NamedTuple`` with a struct of the same name and fields in
``idl/teaseldock.thrift``; :mod:`teaseldock.wire` translates by name.
"""

from __future__ import annotations

import enum
import typing

from teaseldock import proxy_header


class Health(enum.IntEnum):
    """Health of a member; with equal counters the larger value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Outcome(enum.IntEnum):
    """How an executed request ended."""

    #: The server answered; the body is its answer.
    ANSWERED = 0
    #: The request was not given to a server.
    NOT_RUN = 1
    #: The request was given to a server, but no answer is known.
    UNKNOWN = 2


class Member(typing.NamedTuple):
    """A process, as described in messages.

    :ivar name: instance name from the process's settings.
    :ivar role: ``balancer`` or ``agent``.
    :ivar incarnation: milliseconds since 1970 at its start.
    :ivar counter: raised by the member itself to refute a rumour.
    :ivar leaving: never reset within an incarnation.
    """

    name: str
    role: str
    data_centre: str
    host: str
    port: int
    incarnation: int
    counter: int
    health: int
    leaving: bool


class Ping(typing.NamedTuple):
    """Heartbeat; ``joining`` asks for all leaving and dead members."""

    sequence: int
    sender: Member
    joining: bool
    generation: int
    checksum: int
    rumours: list[Member]


class Ack(typing.NamedTuple):
    """Answer to a heartbeat."""

    sequence: int
    sender: Member
    generation: int
    checksum: int
    rumours: list[Member]


class PingRequest(typing.NamedTuple):
    """Ask another member to probe ``subject``."""

    sequence: int
    sender: Member
    subject: str


class Vouch(typing.NamedTuple):
    """Report that ``subject`` answered a probe made on request."""

    sequence: int
    sender: Member
    subject: str


class ServiceLoad(typing.NamedTuple):
    """Load of the sender's target of one service.

    :ivar reports: see :mod:`teaseldock.load`.
    """

    service_number: int
    reports: bytes


class Loads(typing.NamedTuple):
    """Load of the sender's targets, between agents of one service."""

    sender: str
    incarnation: int
    services: list[ServiceLoad]


class Locate(typing.NamedTuple):
    """Ask whether the receiver holds a flow."""

    sender: str
    service_number: int
    flow: bytes


class Located(typing.NamedTuple):
    """Answer to :class:`Locate`."""

    sender: str
    service_number: int
    flow: bytes
    held: bool


class Announce(typing.NamedTuple):
    """Announce flows that the sender holds to the owner of their buckets.

    :ivar complete: one bit for each bucket, set if the sender has announced
        all flows of the bucket that it holds; empty if more batches follow.
    :ivar taken_over: whether former holders transferred these flows to the
        sender.
    """

    sender: str
    service_number: int
    batch: int
    flows: list[bytes]
    complete: bytes
    taken_over: bool


class Announced(typing.NamedTuple):
    """Acknowledge a batch; other targets hold the flows of ``elsewhere``."""

    sender: str
    service_number: int
    batch: int
    elsewhere: list[bytes]


class Execute(typing.NamedTuple):
    """Forward a request, to be run by the receiver's server.

    :ivar call: unique within the sender's incarnation; retransmissions keep
        it.
    :ivar sender_incarnation: identifies the call together with ``call``.
    :ivar receiver_incarnation: the only incarnation of the receiver that may
        run the request.
    :ivar deadline_ms: milliseconds left, or 0 without a deadline.
    :ivar reports: load reports known to the sender, its own first.
    """

    sender: str
    service_number: int
    call: int
    sender_incarnation: int
    receiver_incarnation: int
    weight: float
    idempotent: bool
    deadline_ms: int
    body: bytes
    reports: bytes


class Executed(typing.NamedTuple):
    """Answer to :class:`Execute`."""

    sender: str
    service_number: int
    call: int
    outcome: int
    body: bytes
    reports: bytes


class Claim(typing.NamedTuple):
    """Ask whether a forwarded request may run now.

    :ivar call: as in :class:`Execute`.
    :ivar incarnation: of the process that forwarded it.
    """

    sender: str
    service_number: int
    call: int
    incarnation: int


class Consent(typing.NamedTuple):
    """Answer to :class:`Claim`; without it, the request must not run.

    :ivar incarnation: of the sender, as in the claim.
    """

    sender: str
    service_number: int
    call: int
    incarnation: int
    granted: bool


class Feed(typing.NamedTuple):
    """An observation that is transferred to another holder.

    :ivar request: the caller's registration, as it was sent.
    :ivar sequence: last Observe number sent to the caller.
    """

    request: bytes
    sequence: int


class Result(typing.NamedTuple):
    """A cached answer to a request that the caller may retransmit.

    :ivar request: the caller's datagram; identifies the exchange.
    :ivar answer: the datagram that was sent to the caller.
    """

    request: bytes
    answer: bytes


class Transfer(typing.NamedTuple):
    """Make the receiver the holder of a flow that the sender releases."""

    sender: str
    service_number: int
    flow: bytes
    feeds: list[Feed]
    results: list[Result]


class Transferred(typing.NamedTuple):
    """Acknowledge :class:`Transfer`."""

    sender: str
    service_number: int
    flow: bytes


class StoredDocument(typing.NamedTuple):
    """A configuration document, as sent between processes."""

    key: str
    revision: int
    publisher: str
    content: bytes


class Documents(typing.NamedTuple):
    """Documents that the sender holds.

    A request lists them with short hashes as contents. The answer has the
    documents that the requester lacks, with their full contents.
    """

    documents: list[StoredDocument]


class ToPeer(typing.NamedTuple):
    """Action: send a message to a member's process."""

    host: str
    port: int
    message: typing.NamedTuple


class ToAgent(typing.NamedTuple):
    """Action: send a caller's packet to an agent."""

    host: str
    port: int
    packet: proxy_header.Packet


class ToCaller(typing.NamedTuple):
    """Action: send a datagram to a flow's caller, through the fabric."""

    flow: bytes
    payload: bytes


class ToServer(typing.NamedTuple):
    """Action: send a request to the server of a service on this instance.

    :ivar call: identifies the answer; never reused within an incarnation.
    :ivar flow: flow key, or empty for a request forwarded by another agent.
    """

    service: str
    call: int
    flow: bytes
    body: bytes


class FetchDocuments(typing.NamedTuple):
    """Action: fetch the documents that a peer has in force."""

    host: str
    port: int


Action = ToPeer | ToAgent | ToCaller | ToServer | FetchDocuments
