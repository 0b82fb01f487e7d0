"""Encode and decode PROXY protocol version 2 headers of datagrams.

The format is published ("The PROXY protocol", versions 1 and 2, section 2.2).
Only the IPv4/DGRAM form is supported. It is decoded at fixed offsets, because
the library on PyPI takes longer than the rest of a balancer's work for a
packet. The tests compare this module with that library.

Between processes, the header has one TLV of the types that the format
reserves for applications. It carries the metadata for the receiver and a tag
over the whole datagram.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import struct
import typing

from teaseldock import exceptions

SIGNATURE = b'\r\n\r\n\x00\r\nQUIT\n'
_VERSION_AND_COMMAND = 0x21
_IPV4_DGRAM = 0x12
_ADDRESS_BYTES = 12
#: Bytes of a header without TLVs.
HEADER_BYTES = 16 + _ADDRESS_BYTES
_PLAIN_PREFIX = SIGNATURE + bytes((_VERSION_AND_COMMAND, _IPV4_DGRAM))
_PLAIN_START = _PLAIN_PREFIX + _ADDRESS_BYTES.to_bytes(2, 'big')

#: Type of the TLV between processes (PP2_TYPE_MIN_CUSTOM).
INTERNAL_TYPE = 0xE0
_INTERNAL = struct.Struct('!BHIQBB')
_TAG_BYTES = 16
_INTERNAL_VALUE_BYTES = _INTERNAL.size - 3 + _TAG_BYTES
_INTERNAL_LENGTH = _ADDRESS_BYTES + 3 + _INTERNAL_VALUE_BYTES
_INTERNAL_START = _PLAIN_PREFIX + _INTERNAL_LENGTH.to_bytes(2, 'big')
#: Bytes of a header between processes.
INTERNAL_HEADER_BYTES = 16 + _INTERNAL_LENGTH
_TAG_START = INTERNAL_HEADER_BYTES - _TAG_BYTES


class Role(enum.IntEnum):
    """Role in which the receiver of a packet is addressed."""

    #: The receiver owns the bucket and finds or places the flow.
    OWNER = 0
    #: The receiver holds the flow according to the sender's directory.
    HOLDER = 1
    #: The sender has placed this new flow at the receiver.
    PLACED = 2
    #: The packet carries a challenge that the receiver issued.
    CHALLENGER = 3
    #: The sender received the packet as the flow's holder but isn't.
    RETURNED = 4


class Packet(typing.NamedTuple):
    """A caller's datagram, as sent between processes.

    :ivar flow: flow key, see :mod:`teaseldock.flow`.
    :ivar service: number of the service, as determined by the sender.
    :ivar generation: configuration revision of the sender.
    :ivar role: a :class:`Role`.
    :ivar hops: number of times that agents have forwarded it.
    """

    flow: bytes
    service: int
    generation: int
    role: int
    hops: int
    payload: bytes


def pack_plain(flow_key: bytes, payload: bytes) -> bytes:
    """Encode a datagram exchanged with the fabric."""
    return _PLAIN_START + flow_key + payload


def read_plain(datagram: bytes) -> tuple[bytes, bytes]:
    """Return flow key and payload of a datagram from the fabric.

    :raises HeaderError: for anything but an IPv4/DGRAM header without TLVs.
        With an internal TLV, a caller could pose as a balancer.
    """
    if datagram.startswith(_PLAIN_START) and len(datagram) >= HEADER_BYTES:
        return datagram[16:HEADER_BYTES], datagram[HEADER_BYTES:]
    raise _header_error(datagram)


def _header_error(datagram: bytes) -> exceptions.HeaderError:
    if len(datagram) < HEADER_BYTES:
        return exceptions.HeaderError(
            'short',
            f'{len(datagram)} bytes are no complete header',
            remedy='check the fabric',
        )
    if not datagram.startswith(SIGNATURE):
        return exceptions.HeaderError(
            'unsigned', 'no PROXY signature', remedy='check the fabric'
        )
    if datagram[12] != _VERSION_AND_COMMAND:
        return exceptions.HeaderError(
            'version',
            f'version and command {datagram[12]:#x}',
            remedy='send version 2 with the command PROXY',
        )
    if datagram[13] != _IPV4_DGRAM:
        return exceptions.HeaderError(
            'family',
            f'family and protocol {datagram[13]:#x}',
            remedy='send IPv4 datagrams',
        )
    return exceptions.HeaderError(
        'tlv', 'unexpected TLVs', remedy='send no TLVs from the fabric'
    )


def is_header(datagram: bytes) -> bool:
    """Return whether a datagram starts with the PROXY signature."""
    return datagram.startswith(SIGNATURE)


def internal_prefix(packet: Packet) -> bytes:
    """Encode the TLV of a packet, without its tag."""
    return _INTERNAL.pack(
        INTERNAL_TYPE,
        _INTERNAL_VALUE_BYTES,
        packet.service,
        packet.generation,
        packet.role,
        packet.hops,
    )


def seal(flow_key: bytes, tlv: bytes, payload: bytes, *, key: bytes) -> bytes:
    """Encode a datagram between processes and add its tag.

    :param tlv: from :func:`internal_prefix`; a sender may cache it.
    """
    head = _INTERNAL_START + flow_key + tlv
    tag = hashlib.blake2b(
        head + payload, key=key, digest_size=_TAG_BYTES
    ).digest()
    return head + tag + payload


def pack_internal(packet: Packet, *, key: bytes) -> bytes:
    """Encode a packet as a datagram between processes."""
    return seal(packet.flow, internal_prefix(packet), packet.payload, key=key)


def read_internal(datagram: bytes, *, keys: typing.Sequence[bytes]) -> Packet:
    """Verify and decode a datagram between processes.

    :param keys: the keys in use, the newest first; two during a key rotation.
    :raises HeaderError: if the header is malformed.
    :raises SealError: if the tag matches none of the keys.
    """
    if (
        not datagram.startswith(_INTERNAL_START)
        or len(datagram) < INTERNAL_HEADER_BYTES
    ):
        raise _header_error(datagram)
    received = datagram[_TAG_START:INTERNAL_HEADER_BYTES]
    payload = datagram[INTERNAL_HEADER_BYTES:]
    authenticated = datagram[:_TAG_START] + payload
    for key in keys:
        tag = hashlib.blake2b(authenticated, key=key, digest_size=_TAG_BYTES)
        if hmac.compare_digest(received, tag.digest()):
            break
    else:
        raise exceptions.SealError(
            'packet',
            'the tag matches no key',
            remedy='configure the same key on all processes',
        )
    kind, _, service, generation, role, hops = _INTERNAL.unpack_from(
        datagram, HEADER_BYTES
    )
    if kind != INTERNAL_TYPE or role not in Role._value2member_map_:
        raise exceptions.HeaderError(
            'tlv', f'type {kind:#x} role {role}', remedy='update the sender'
        )
    return Packet(
        datagram[16:HEADER_BYTES], service, generation, role, hops, payload
    )
