"""Translate CoAP (RFC 7252, 7641, 7959, 9175) through the aiocoap library.

Towards callers each answer is piggybacked on the acknowledgement. Towards the
server, requests are non-confirmable: the server is on the same instance, and a
lost datagram shows as an answer that doesn't come.
"""

from __future__ import annotations

import hashlib
import typing

import aiocoap
from aiocoap import error as coap_error
from aiocoap.numbers import contentformat

from teaseldock.codecs import base
from teaseldock import exceptions

#: Methods that a server may run again without harm (RFC 7252 section 5.1).
IDEMPOTENT_METHODS = frozenset({'GET', 'PUT', 'DELETE', 'FETCH', 'IPATCH'})
_DEADLINE_QUERY = 'deadline_ms='
_CALL_BYTES = 8
_MESSAGE_ID_COUNT = 1 << 16
_TEXT = contentformat.ContentFormat.TEXT


def _decode(payload: bytes) -> aiocoap.Message:
    try:
        return aiocoap.Message.decode(payload)
    except (coap_error.UnparsableMessage, ValueError, IndexError) as error:
        raise _message_error(repr(error)) from error
    except Exception as error:
        # Options with broken contents raise errors of many other kinds.
        raise _message_error(repr(error)) from error


def _message_error(problem: str) -> exceptions.MessageError:
    return exceptions.MessageError(
        'CoAP', problem, remedy='send a message as in RFC 7252'
    )


def _request_tag(flow: bytes, tags: bytes) -> bytes:
    return hashlib.blake2b(flow + tags, digest_size=8).digest()


def _deadline(queries: typing.Iterable[str]) -> float | None:
    for query in queries:
        if not query.startswith(_DEADLINE_QUERY):
            continue
        digits = query[len(_DEADLINE_QUERY) :]
        if digits.isdigit() and len(digits) < 8:
            return int(digits) / 1000
    return None


def _reply_to(request: base.Request, message: aiocoap.Message) -> bytes:
    confirmable = (request.body[0] >> 4) & 3 == aiocoap.CON
    message.mtype = aiocoap.ACK if confirmable else aiocoap.NON
    message.mid = int.from_bytes(request.body[2:4], 'big')
    message.token = request.token
    return message.encode()


class CoapCodec(base.Codec):
    """Read and write CoAP messages.

    The message read last is kept for the call that usually follows and writes
    it in another form; decoding it again would cost a quarter of a request.
    """

    def __init__(self) -> None:
        """Keep nothing yet."""
        self._last_read: tuple[bytes, aiocoap.Message] | None = None

    def _read(self, payload: bytes) -> aiocoap.Message:
        message = _decode(payload)
        self._last_read = (payload, message)
        return message

    def _outgoing_message(self, payload: bytes) -> aiocoap.Message:
        """Return a received message as one that may be changed and sent."""
        last, self._last_read = self._last_read, None
        if last is not None and last[0] is payload:
            message = last[1]
        else:
            message = _decode(payload)
        message.direction = aiocoap.message.Direction.OUTGOING
        return message

    def read_caller(self, payload: bytes) -> base.Request | base.AckOrReset:
        """Read a request, an acknowledgement or a reset."""
        message = self._read(payload)
        if message.mtype in (aiocoap.ACK, aiocoap.RST):
            return base.AckOrReset(message.mid, message.mtype == aiocoap.RST)
        if not message.code.is_request():
            raise _message_error(f'code {message.code} from a caller')
        path = message.opt.uri_path
        method = message.code.name
        return base.Request(
            exchange=payload[2:4] + message.token,
            token=message.token,
            method=method,
            segment=path[0] if path else '',
            idempotent=method in IDEMPOTENT_METHODS,
            echo=message.opt.echo or b'',
            observe=message.opt.observe if method == 'GET' else None,
            pinned=message.opt.block1 is not None
            or message.opt.block2 is not None,
            deadline_s=_deadline(message.opt.uri_query),
            body=payload,
        )

    def for_server(self, body: bytes, *, call: int, flow: bytes) -> bytes:
        """Return the request under the call's number, without its Echo.

        The token is the call's number, never used twice, so that an answer
        which comes late or crossed can't be taken for another request's.

        All callers reach the server from this agent's address. Blocks of two
        uploads to one path would be joined into one there, which shows as
        5.00 or as an answer to the wrong scan; a Request-Tag of the flow
        keeps them apart (RFC 9175 section 3).
        """
        message = self._outgoing_message(body)
        message.opt.echo = None
        if message.opt.block1 is not None:
            tags = b''.join(message.opt.request_tag or ())
            message.opt.request_tag = [_request_tag(flow, tags)]
        return self._encode_for_server(message, call)

    def cancel_feed(self, body: bytes, *, call: int) -> bytes:
        """Return the registration again, with Observe 1."""
        message = self._outgoing_message(body)
        message.opt.observe = 1
        return self._encode_for_server(message, call)

    def _encode_for_server(self, message: aiocoap.Message, call: int) -> bytes:
        message.mtype = aiocoap.NON
        message.mid = call % _MESSAGE_ID_COUNT
        message.token = call.to_bytes(_CALL_BYTES, 'big')
        return message.encode()

    def read_server(self, payload: bytes) -> base.ServerReply:
        """Read an answer or a notification."""
        message = self._read(payload)
        acknowledge = b''
        if message.mtype == aiocoap.CON:
            kind = aiocoap.ACK
            if message.code.is_request() or message.code == aiocoap.EMPTY:
                kind = aiocoap.RST
            reply = aiocoap.Message(code=aiocoap.EMPTY)
            reply.mtype = kind
            reply.mid = message.mid
            acknowledge = reply.encode()
        call = None
        if message.code.is_response() and len(message.token) == _CALL_BYTES:
            call = int.from_bytes(message.token, 'big')
        return base.ServerReply(
            call,
            message.opt.observe,
            message.code == aiocoap.SERVICE_UNAVAILABLE,
            acknowledge,
            payload,
        )

    def answer(
        self, request: base.Request, body: bytes, *, sequence: int | None
    ) -> bytes:
        """Return the server's answer under the caller's token."""
        message = self._outgoing_message(body)
        message.opt.observe = sequence
        return _reply_to(request, message)

    def notification(
        self,
        request: base.Request,
        body: bytes,
        *,
        sequence: int,
        message_id: int,
    ) -> bytes:
        """Return a notification; the next one makes up for a lost one."""
        message = self._outgoing_message(body)
        message.opt.observe = sequence
        message.mtype = aiocoap.NON
        message.mid = message_id % _MESSAGE_ID_COUNT
        message.token = request.token
        return message.encode()

    def challenge(self, request: base.Request, value: bytes) -> bytes:
        """Return 4.01 with an Echo, as in RFC 9175 section 2.3."""
        message = aiocoap.Message(code=aiocoap.UNAUTHORIZED)
        message.opt.echo = value
        return _reply_to(request, message)

    def refusal(
        self,
        request: base.Request,
        reason: base.Refusal,
        *,
        retry_after_s: int,
    ) -> bytes:
        """Return 5.03 with Max-Age for "not run", else 5.04."""
        code = aiocoap.SERVICE_UNAVAILABLE
        if reason is base.Refusal.OUTCOME_UNKNOWN:
            code = aiocoap.GATEWAY_TIMEOUT
        message = aiocoap.Message(code=code, payload=reason.value.encode())
        message.opt.content_format = _TEXT
        message.opt.max_age = retry_after_s
        return _reply_to(request, message)
