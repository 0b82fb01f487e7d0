"""Test the packet header against the platform's published example."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from teaseldock import exceptions
from teaseldock_platform import packet_head

#: The platform's example, an opening packet (SYN) from 100.64.0.7:40001 to
#: 198.18.0.1:443.
EXAMPLE = bytes.fromhex(
    '20 00 00 00 11 22 33 44 00 00 00 00 00 00 00 00 00 00 9c 41 c6 12 00 01'
    ' 01 bb 64 40 00 07 a1 b2 c3 d5'
)
#: The platform's example of a reset (RST) in response to it.
RESET = bytes.fromhex(
    '01 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 01 bb 64 40 00 07'
    ' 9c 41 c6 12 00 01 00 00 00 00'
)


def test_the_published_opening_is_read() -> None:
    """Each field is decoded from its position in the example."""
    item = packet_head.from_caller(EXAMPLE)
    assert item.opening
    assert not item.accepting and not item.resetting and not item.closing
    assert item.flow == bytes([100, 64, 0, 7, 198, 18, 0, 1]) + (
        40001
    ).to_bytes(2) + (443).to_bytes(2)
    assert item.sequence == 0x11223344
    assert item.length == 0


def test_the_published_reset_is_written() -> None:
    """A reset equals the example byte for byte."""
    assert packet_head.reset(packet_head.from_caller(EXAMPLE)) == RESET


def test_a_reset_follows_the_callers_acknowledgement() -> None:
    """A caller accepts a reset only near its acknowledgement number."""
    raw = b'\x40' + EXAMPLE[1:8] + b'\x00\x01\x02\x03' + EXAMPLE[12:]
    reset = packet_head.reset(packet_head.from_caller(raw))
    assert reset[4:8] == b'\x00\x01\x02\x03'


def test_a_servers_packet_belongs_to_its_callers_flow() -> None:
    """Both directions of a flow have the same flow key."""
    asked = packet_head.from_caller(EXAMPLE)
    answer = (
        b'\x60'
        + EXAMPLE[1:18]
        + EXAMPLE[24:26]
        + EXAMPLE[26:30]
        + EXAMPLE[18:20]
        + EXAMPLE[20:24]
        + EXAMPLE[30:]
    )
    item = packet_head.from_server(answer)
    assert item.accepting
    assert item.flow == asked.flow


@hypothesis.given(token=strategies.binary(min_size=4, max_size=4))
def test_a_returned_packet_gets_its_callers_bytes_back(token: bytes) -> None:
    """A packet that goes round comes out as its caller wrote it."""
    given = packet_head.with_token(EXAMPLE, token)
    returned = bytes([given[0] | 4]) + given[1:]
    item = packet_head.from_server(returned)
    assert item.returned
    assert item.token == token
    assert packet_head.original(returned) == EXAMPLE


@hypothesis.given(raw=strategies.binary(max_size=60))
def test_no_bytes_crash_the_decoder(raw: bytes) -> None:
    """Whatever comes is a packet or a typed error."""
    for decode in (packet_head.from_caller, packet_head.from_server):
        try:
            item = decode(raw)
        except exceptions.MessageError:
            continue
        assert len(item.flow) == 12


def test_a_wrong_length_is_refused() -> None:
    """A datagram whose size differs from its length field is rejected."""
    with pytest.raises(exceptions.MessageError, match='not a valid packet'):
        packet_head.from_caller(EXAMPLE + b'x')


@hypothesis.given(
    sequence=strategies.integers(0, 2**32 - 1),
    length=strategies.integers(0, 1200),
    closing=strategies.booleans(),
)
def test_data_is_told_by_flow_sequence_and_length(
    sequence: int, length: int, closing: bool
) -> None:
    """Guards against a packet that is taken for the repetition of another.

    The acknowledgement may differ between two copies of the same data.
    """

    def encode(sequence: int, acknowledged: int, length: int) -> bytes:
        return (
            bytes([64 | 8 * closing, 0, 0, 0])
            + sequence.to_bytes(4)
            + acknowledged.to_bytes(4)
            + length.to_bytes(2)
            + EXAMPLE[14:]
            + bytes(length)
        )

    raw = encode(sequence, 1, length)
    data = packet_head.data_range(raw)
    if not length and not closing:
        assert data is None
        return
    assert data.flow == packet_head.from_caller(raw).flow
    assert data == packet_head.data_range(encode(sequence, 2, length))
    assert data != packet_head.data_range(encode(sequence ^ 1, 1, length))
    assert data != packet_head.data_range(encode(sequence, 1, length + 1))
