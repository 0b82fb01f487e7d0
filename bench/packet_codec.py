"""Encode and decode the packets of :mod:`bench.packet_world`."""

from __future__ import annotations

import typing

import msgspec

from teaseldock.packets import packet

#: Number of sequence numbers.
MODULUS = 1 << 32
_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE = msgspec.msgpack.Decoder(packet.Packet).decode


def decode(raw: bytes) -> packet.Packet:
    """Decode a packet and keep the encoding as its raw bytes."""
    return _DECODE(raw)._replace(raw=raw)


def make_packet(flow: bytes, **fields: typing.Any) -> packet.Packet:
    """Return a packet with the given fields and its raw bytes.

    Fields that are not given are false, zero or empty.
    """
    empty = packet.Packet(
        flow, False, False, False, False, False, 0, 0, 0, bytes(4), b''
    )
    return with_raw(empty._replace(**fields))


def with_raw(item: packet.Packet) -> packet.Packet:
    """Return a packet whose raw bytes are its own encoding."""
    return item._replace(raw=_ENCODE(item._replace(raw=b'')))
