"""Define the interface between the decisions and a caller's protocol."""

from __future__ import annotations

import abc
import enum
import typing


class Refusal(enum.Enum):
    """Reason why a request gets no answer of a server."""

    #: No server was given the request; the caller may send it again.
    NOT_RUN = 'not run'
    #: A server may have run the request; only the caller can find that out.
    OUTCOME_UNKNOWN = 'outcome unknown'


class Request(typing.NamedTuple):
    """A caller's request.

    :ivar exchange: identifies a message on its flow; retransmissions keep it.
    :ivar token: identifies the answer at the caller.
    :ivar segment: first path segment, for the request classes of the rules.
    :ivar echo: challenge that the request answers, or empty.
    :ivar observe: 0 begins a feed, 1 ends it, None is neither.
    :ivar pinned: part of a transfer that must stay at one server.
    :ivar deadline_s: seconds after which an answer is of no use, or None.
    :ivar body: the whole datagram.
    """

    exchange: bytes
    token: bytes
    method: str
    segment: str
    idempotent: bool
    echo: bytes
    observe: int | None
    pinned: bool
    deadline_s: float | None
    body: bytes


class AckOrReset(typing.NamedTuple):
    """A caller's acknowledgement or reset.

    :ivar message_id: identifier of the datagram that it answers.
    :ivar reset: whether the caller rejects that datagram.
    """

    message_id: int
    reset: bool


class ServerReply(typing.NamedTuple):
    """A server's datagram.

    :ivar call: call number of the request, or None.
    :ivar observe: Observe number if the answer belongs to a feed, or None.
    :ivar shed: whether the server refused to run the request.
    :ivar acknowledge: datagram to send back to the server, or empty.
    :ivar body: the whole datagram.
    """

    call: int | None
    observe: int | None
    shed: bool
    acknowledge: bytes
    body: bytes


class Codec(abc.ABC):
    """Decode and encode datagrams; pure functions, without state per flow."""

    @abc.abstractmethod
    def read_caller(self, payload: bytes) -> Request | AckOrReset:
        """Decode a caller's datagram.

        :raises MessageError: if it can't be decoded.
        """

    @abc.abstractmethod
    def for_server(self, body: bytes, *, call: int, flow: bytes) -> bytes:
        """Encode a caller's request for a server.

        :param call: number that identifies the request in the answer.
        :param flow: flow key; separates the block-wise transfers of different
            callers.
        """

    @abc.abstractmethod
    def cancel_feed(self, body: bytes, *, call: int) -> bytes:
        """Encode the request that ends a feed at the server."""

    @abc.abstractmethod
    def read_server(self, payload: bytes) -> ServerReply:
        """Decode a server's datagram.

        :raises MessageError: if it can't be decoded.
        """

    @abc.abstractmethod
    def answer(
        self, request: Request, body: bytes, *, sequence: int | None
    ) -> bytes:
        """Encode a server's answer for the caller.

        :param sequence: Observe number if the answer begins a feed.
        """

    @abc.abstractmethod
    def notification(
        self, request: Request, body: bytes, *, sequence: int, message_id: int
    ) -> bytes:
        """Encode a server's notification for the caller."""

    @abc.abstractmethod
    def challenge(self, request: Request, value: bytes) -> bytes:
        """Encode an answer that asks to repeat the request with a challenge.

        :param value: challenge, which the repeated request must contain.
        """

    @abc.abstractmethod
    def refusal(
        self, request: Request, reason: Refusal, *, retry_after_s: int
    ) -> bytes:
        """Encode the final answer to a request that is refused.

        :param retry_after_s: seconds after which the caller may try again.
        """
