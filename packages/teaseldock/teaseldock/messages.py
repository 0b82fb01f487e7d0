"""Define the typed messages between processes, and the actions of decisions.

Each message is a ``NamedTuple`` with a struct of the same name and fields in
``idl/teaseldock.thrift``; :mod:`teaseldock.wire` translates by name.
"""

from __future__ import annotations

import enum
import typing

from teaseldock import proxy_header


class Health(enum.IntEnum):
    """What is believed of a member; a larger value wins within a counter."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Outcome(enum.IntEnum):
    """How an executed request ended."""

    #: The server answered; the body is its answer.
    ANSWERED = 0
    #: The request was not given to a server.
    NOT_RUN = 1
    #: The request was given to a server and no answer is known.
    UNKNOWN = 2


class Member(typing.NamedTuple):
    """A process of the system as others know it.

    :ivar name: instance name from the process's settings.
    :ivar role: ``balancer`` or ``agent``.
    :ivar incarnation: milliseconds since 1970 at its start.
    :ivar counter: raised by the member itself to deny a rumour.
    :ivar leaving: never taken back within an incarnation.
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
    """Heartbeat; ``joining`` asks for every unusual member at once."""

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
    """Tell that ``subject`` answered a probe made on request."""

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
    """Tell a bucket's owner which flows the sender holds.

    :ivar complete: bit for each bucket of which the receiver now knows all
        flows that the sender holds; empty if more batches follow.
    :ivar taken_over: whether former holders gave these flows to the sender.
    """

    sender: str
    service_number: int
    batch: int
    flows: list[bytes]
    complete: bytes
    taken_over: bool


class Announced(typing.NamedTuple):
    """Acknowledge a batch; ``elsewhere`` are flows another target holds."""

    sender: str
    service_number: int
    batch: int
    elsewhere: list[bytes]


class Execute(typing.NamedTuple):
    """Hand a request on to run at the receiver's server.

    :ivar call: unique within the sender's incarnation; repeats keep it.
    :ivar sender_incarnation: completes the call's identity.
    :ivar receiver_incarnation: the only one that may run it.
    :ivar deadline_ms: time left, or 0 for none.
    :ivar reports: loads that the sender knows, its own first.
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
    """Ask whether a request that was handed on may run now.

    :ivar call: as in :class:`Execute`.
    :ivar incarnation: of the process that handed it on.
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
    """An observation that outlives its holder.

    :ivar request: the caller's registration, as it was sent.
    :ivar sequence: last Observe number sent to the caller.
    """

    request: bytes
    sequence: int


class Result(typing.NamedTuple):
    """An answer that a caller may ask for again.

    :ivar request: the caller's datagram; names the exchange.
    :ivar answer: the datagram that was sent to the caller.
    """

    request: bytes
    answer: bytes


class Transfer(typing.NamedTuple):
    """Make the receiver the holder of a flow that the sender gives up."""

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
    """A configuration document on its way between processes."""

    key: str
    revision: int
    publisher: str
    content: bytes


class Documents(typing.NamedTuple):
    """What the sender holds: texts in an answer, short hashes in a question.

    A question names what the asker has; the answer brings what it lacks.
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

    :ivar call: names the answer; never reused within an incarnation.
    :ivar flow: flow key, or empty for a request that another agent handed on.
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
