"""Test the PROXY header against the library and with malformed input."""

from __future__ import annotations

import ipaddress

import hypothesis
from hypothesis import strategies
import proxyprotocol.result
import proxyprotocol.v2
import pytest

from teaseldock import exceptions
from teaseldock import flow
from teaseldock import proxy_header

CALLER = flow.Endpoint('192.0.2.7', 4711)
SERVICE = flow.Endpoint('10.1.0.1', 5683)
FLOW = flow.flow_key(CALLER, SERVICE)
KEYS = (b'n' * 16, b'o' * 16)
PACKET = proxy_header.Packet(FLOW, 7, 9, proxy_header.Role.HOLDER, 2, b'pay')


def test_library_reads_what_we_write() -> None:
    """The library on PyPI decodes the same protocol and addresses."""
    import socket

    packed = proxy_header.pack_plain(FLOW, b'')
    result = proxyprotocol.v2.ProxyProtocolV2().unpack(packed)
    assert result.protocol == socket.SOCK_DGRAM
    assert result.source == (ipaddress.IPv4Address(CALLER.host), CALLER.port)
    assert result.dest == (ipaddress.IPv4Address(SERVICE.host), SERVICE.port)


def test_plain_round_trip() -> None:
    """A packed datagram is decoded unchanged."""
    packed = proxy_header.pack_plain(FLOW, b'payload')
    assert proxy_header.read_plain(packed) == (FLOW, b'payload')


def test_internal_round_trip_under_either_key() -> None:
    """During a key rotation, both keys are accepted."""
    for key in KEYS:
        packed = proxy_header.pack_internal(PACKET, key=key)
        assert proxy_header.read_internal(packed, keys=KEYS) == PACKET


def test_internal_header_from_outside_is_refused() -> None:
    """A caller can't pose as a balancer by sending an internal header."""
    packed = proxy_header.pack_internal(PACKET, key=KEYS[0])
    with pytest.raises(exceptions.HeaderError, match='tlv'):
        proxy_header.read_plain(packed)


def test_every_changed_byte_is_noticed() -> None:
    """The tag covers header, TLV and payload."""
    packed = proxy_header.pack_internal(PACKET, key=KEYS[0])
    for index in range(len(packed)):
        changed = bytearray(packed)
        changed[index] ^= 1
        with pytest.raises(exceptions.TeaseldockError):
            proxy_header.read_internal(bytes(changed), keys=KEYS)


@hypothesis.given(strategies.binary(max_size=80))
def test_garbage_raises_our_errors_only(datagram: bytes) -> None:
    """Malformed input raises only errors of the library."""
    for mixed in (datagram, proxy_header.SIGNATURE + datagram):
        try:
            proxy_header.read_plain(mixed)
        except exceptions.HeaderError:
            pass
        with pytest.raises(exceptions.TeaseldockError):
            proxy_header.read_internal(mixed, keys=KEYS)
