"""Define what the decisions need to know of a caller's protocol."""

from __future__ import annotations

import abc
import enum
import typing


class Refusal(enum.Enum):
    """Why a request gets no answer of the server."""

    #: No server was given the request; it may be sent again.
    NOT_RUN = 'not run'
    #: A server may have run the request; only the caller can find out.
    OUTCOME_UNKNOWN = 'outcome unknown'


class Request(typing.NamedTuple):
    """A caller's request.

    :ivar exchange: equal for repeats of one message on one flow.
    :ivar token: names the answer at the caller.
    :ivar segment: first segment of the path, for the rules' classes.
    :ivar echo: challenge that the request answers, or empty.
    :ivar observe: 0 begins a feed, 1 ends it, None is neither.
    :ivar pinned: part of a transfer that must stay at one server.
    :ivar deadline_s: seconds for which an answer is of use, or None.
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
    """A caller's datagram that is no request.

    :ivar message_id: identifier of the datagram that it answers.
    :ivar reset: whether the caller rejects what it was sent.
    """

    message_id: int
    reset: bool


class ServerReply(typing.NamedTuple):
    """A server's datagram.

    :ivar call: number that the request was sent under, or None.
    :ivar observe: sequence if the answer belongs to a feed, or None.
    :ivar shed: whether the server refused to run the request.
    :ivar acknowledge: what to send back to the server, or empty.
    :ivar body: the whole datagram.
    """

    call: int | None
    observe: int | None
    shed: bool
    acknowledge: bytes
    body: bytes


class Codec(abc.ABC):
    """Translate datagrams; pure functions, without state of any flow."""

    @abc.abstractmethod
    def read_caller(self, payload: bytes) -> Request | AckOrReset:
        """Read a caller's datagram.

        :raises MessageError: if it can't be read.
        """

    @abc.abstractmethod
    def for_server(self, body: bytes, *, call: int, flow: bytes) -> bytes:
        """Return a caller's request as it goes to a server.

        :param flow: keeps transfers in parts of different callers apart.
        """

    @abc.abstractmethod
    def cancel_feed(self, body: bytes, *, call: int) -> bytes:
        """Return the request that ends a feed at the server."""

    @abc.abstractmethod
    def read_server(self, payload: bytes) -> ServerReply:
        """Read a server's datagram.

        :raises MessageError: if it can't be read.
        """

    @abc.abstractmethod
    def answer(
        self, request: Request, body: bytes, *, sequence: int | None
    ) -> bytes:
        """Return a server's answer as it goes to the caller.

        :param sequence: Observe number if the answer begins a feed.
        """

    @abc.abstractmethod
    def notification(
        self, request: Request, body: bytes, *, sequence: int, message_id: int
    ) -> bytes:
        """Return a server's notification as it goes to the caller."""

    @abc.abstractmethod
    def challenge(self, request: Request, value: bytes) -> bytes:
        """Return the answer that asks for the request with a challenge."""

    @abc.abstractmethod
    def refusal(
        self, request: Request, reason: Refusal, *, retry_after_s: int
    ) -> bytes:
        """Return a final answer for a request that is given up."""
