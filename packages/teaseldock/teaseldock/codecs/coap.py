"""Decode and encode CoAP (RFC 7252, 7641, 7959, 9175) with aiocoap.

Answers to callers are piggybacked on the acknowledgement. Requests to the
server are non-confirmable: the server is on the same instance, and the loss of
a datagram is detected by the missing answer.
"""

from __future__ import annotations

import hashlib
import typing

import aiocoap
from aiocoap import error as coap_error
from aiocoap.numbers import contentformat

from teaseldock.codecs import base
from teaseldock import exceptions

#: Methods that may safely run more than once (RFC 7252 section 5.1).
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
        # Malformed options raise errors of many other kinds.
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
    """Decode and encode CoAP messages.

    The message decoded last is cached, as the next call usually encodes it in
    another form. Decoding it again would take a quarter of the time of a
    request.
    """

    def __init__(self) -> None:
        """Create a codec with an empty cache."""
        self._last_read: tuple[bytes, aiocoap.Message] | None = None

    def _read(self, payload: bytes) -> aiocoap.Message:
        message = _decode(payload)
        self._last_read = (payload, message)
        return message

    def _outgoing_message(self, payload: bytes) -> aiocoap.Message:
        """Return a received message in a form that can be changed and sent."""
        last, self._last_read = self._last_read, None
        if last is not None and last[0] is payload:
            message = last[1]
        else:
            message = _decode(payload)
        message.direction = aiocoap.message.Direction.OUTGOING
        return message

    def read_caller(self, payload: bytes) -> base.Request | base.AckOrReset:
        """Decode a request, an acknowledgement or a reset."""
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
        """Encode the request with the call number as token, without Echo.

        Call numbers are never reused, so that a late or reordered answer is
        not matched with another request.

        All requests reach the server from this agent's address. The server
        would join the blocks of two uploads to one path, which shows as 5.00
        or as the answer to another upload. A Request-Tag derived from the
        flow key separates them (RFC 9175 section 3).
        """
        message = self._outgoing_message(body)
        message.opt.echo = None
        if message.opt.block1 is not None:
            tags = b''.join(message.opt.request_tag or ())
            message.opt.request_tag = [_request_tag(flow, tags)]
        return self._encode_for_server(message, call)

    def cancel_feed(self, body: bytes, *, call: int) -> bytes:
        """Encode the registration again, with Observe 1."""
        message = self._outgoing_message(body)
        message.opt.observe = 1
        return self._encode_for_server(message, call)

    def _encode_for_server(self, message: aiocoap.Message, call: int) -> bytes:
        message.mtype = aiocoap.NON
        message.mid = call % _MESSAGE_ID_COUNT
        message.token = call.to_bytes(_CALL_BYTES, 'big')
        return message.encode()

    def read_server(self, payload: bytes) -> base.ServerReply:
        """Decode an answer or a notification."""
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
        """Encode the server's answer with the caller's token."""
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
        """Encode a notification; it is non-confirmable.

        A lost notification is superseded by the next one.
        """
        message = self._outgoing_message(body)
        message.opt.observe = sequence
        message.mtype = aiocoap.NON
        message.mid = message_id % _MESSAGE_ID_COUNT
        message.token = request.token
        return message.encode()

    def challenge(self, request: base.Request, value: bytes) -> bytes:
        """Encode 4.01 with an Echo, as in RFC 9175 section 2.3."""
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
        """Encode 5.03 with Max-Age for "not run", else 5.04."""
        code = aiocoap.SERVICE_UNAVAILABLE
        if reason is base.Refusal.OUTCOME_UNKNOWN:
            code = aiocoap.GATEWAY_TIMEOUT
        message = aiocoap.Message(code=code, payload=reason.value.encode())
        message.opt.content_format = _TEXT
        message.opt.max_age = retry_after_s
        return _reply_to(request, message)
