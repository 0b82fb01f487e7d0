"""Test the CoAP codec against the aiocoap library's own messages."""

from __future__ import annotations

import aiocoap
import hypothesis
from hypothesis import strategies

from teaseldock.codecs import base
from teaseldock.codecs import coap
from teaseldock import exceptions

CODEC = coap.CoapCodec()


def request(**options: object) -> bytes:
    """Return an encoded confirmable request."""
    message = aiocoap.Message(
        code=options.pop('code', aiocoap.POST), payload=b'x'
    )
    message.mtype = aiocoap.CON
    message.mid = 77
    message.token = b'tok'
    for name, value in options.items():
        setattr(message.opt, name, value)
    return message.encode()


def decoded(payload: bytes) -> aiocoap.Message:
    """Return a message as a caller or server decodes it."""
    return aiocoap.Message.decode(payload)


def test_reads_what_decisions_need() -> None:
    """Method, path, Echo, Observe and deadline are decoded."""
    read = CODEC.read_caller(
        request(
            uri_path=('orders', '9'), echo=b'e', uri_query=('deadline_ms=250',)
        )
    )
    assert (read.method, read.segment) == ('POST', 'orders')
    assert not read.idempotent
    assert (read.echo, read.deadline_s) == (b'e', 0.25)
    feed = CODEC.read_caller(request(code=aiocoap.GET, observe=0))
    assert feed.idempotent
    assert feed.observe == 0


def test_server_gets_call_and_no_echo() -> None:
    """The call number is the token; the Echo option is removed."""
    sent = decoded(
        CODEC.for_server(request(echo=b'e'), call=513, flow=b'f' * 12)
    )
    assert sent.token == (513).to_bytes(8, 'big')
    assert sent.mtype == aiocoap.NON
    assert sent.opt.echo is None


def test_uploads_of_two_callers_stay_apart() -> None:
    """Blocks of two flows have different Request-Tags.

    Guards against uploads that end in 5.00 or get another upload's answer.
    Two callers upload in blocks to one path of one server at the same time.
    Both uploads come from the agent's address, so the server would join their
    blocks.
    """
    block = (0, True, 6)
    first, second = (
        decoded(
            CODEC.for_server(
                request(code=aiocoap.PUT, block1=block), call=1, flow=flow
            )
        ).opt.request_tag
        for flow in (b'a' * 12, b'b' * 12)
    )
    assert first and second and first != second


def test_answer_goes_under_the_callers_token() -> None:
    """An answer is piggybacked on the acknowledgement."""
    read = CODEC.read_caller(request())
    reply = aiocoap.Message(code=aiocoap.CREATED, payload=b'done')
    reply.mtype = aiocoap.NON
    reply.mid = 5
    reply.token = (9).to_bytes(8, 'big')
    raw = reply.encode()
    assert CODEC.read_server(raw).call == 9
    answer = decoded(CODEC.answer(read, raw, sequence=None))
    assert (answer.mtype, answer.mid, answer.token) == (
        aiocoap.ACK,
        77,
        b'tok',
    )
    assert answer.payload == b'done'


def test_refusals_differ_and_tell_when_to_come_back() -> None:
    """Not run is 5.03 with Max-Age; outcome unknown is 5.04."""
    read = CODEC.read_caller(request())
    not_run = decoded(
        CODEC.refusal(read, base.Refusal.NOT_RUN, retry_after_s=7)
    )
    assert not_run.code == aiocoap.SERVICE_UNAVAILABLE
    assert not_run.opt.max_age == 7
    assert not_run.payload == b'not run'
    unknown = decoded(
        CODEC.refusal(read, base.Refusal.OUTCOME_UNKNOWN, retry_after_s=1)
    )
    assert unknown.code == aiocoap.GATEWAY_TIMEOUT


def test_no_amplification_before_the_address_is_proved() -> None:
    """The challenge to an unproved address is not much larger than a request.

    RFC 9175 section 2.4 allows three times the size of the request.
    """
    sent = request(uri_path=('orders',))
    read = CODEC.read_caller(sent)
    answer = CODEC.challenge(read, b'e' * 32)
    assert len(answer) <= 3 * len(sent)


@hypothesis.given(strategies.binary(max_size=60))
def test_garbage_raises_our_errors_only(payload: bytes) -> None:
    """Malformed datagrams raise only MessageError."""
    for read in (CODEC.read_caller, CODEC.read_server):
        try:
            read(payload)
        except exceptions.MessageError:
            pass
