"""Define flow keys, endpoints, and the buckets that flows are hashed to."""

from __future__ import annotations

import ipaddress
import typing

import siphash24

#: Buckets of each service; one byte identifies a bucket.
BUCKET_COUNT = 256
#: Bytes of a flow key: two IPv4 addresses and two ports, network order.
FLOW_KEY_BYTES = 12
#: Bytes of the key of the flow hash (SipHash-2-4).
HASH_KEY_BYTES = 16


class Endpoint(typing.NamedTuple):
    """An IPv4 address and a UDP port."""

    host: str
    port: int

    def packed(self) -> bytes:
        """Return address and port as six bytes in network order."""
        return ipaddress.IPv4Address(self.host).packed + self.port.to_bytes(
            2, 'big'
        )


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``host:port``.

    :raises ValueError: if the host is not an IPv4 address or the port is out
        of range.
    """
    host, _, port_text = text.rpartition(':')
    ipaddress.IPv4Address(host)
    port = int(port_text)
    if not 0 < port < 65536:
        raise ValueError(f'port {port} is not within 1..65535')
    return Endpoint(host, port)


def flow_key(caller: Endpoint, service: Endpoint) -> bytes:
    """Return the key of a flow, in the layout of a PROXY v2 address block."""
    source = caller.packed()
    destination = service.packed()
    return source[:4] + destination[:4] + source[4:] + destination[4:]


def packed_service_endpoint(flow: bytes) -> bytes:
    """Return the packed service endpoint within a flow key."""
    return flow[4:8] + flow[10:12]


def caller_endpoint(flow: bytes) -> Endpoint:
    """Return the caller's endpoint within a flow key."""
    host = str(ipaddress.IPv4Address(flow[:4]))
    return Endpoint(host, int.from_bytes(flow[8:10], 'big'))


def service_endpoint(flow: bytes) -> Endpoint:
    """Return the service's endpoint within a flow key."""
    host = str(ipaddress.IPv4Address(flow[4:8]))
    return Endpoint(host, int.from_bytes(flow[10:12], 'big'))


def bucket_of(flow: bytes, *, key: bytes) -> int:
    """Return the bucket of a flow.

    The hash is keyed, so that a caller without the key can't direct all of
    its flows to one bucket.

    :param key: :data:`HASH_KEY_BYTES` bytes, the same on every process.
    """
    return siphash24.siphash24(flow, key=key).digest()[0]


def pack_buckets(buckets: typing.Iterable[int]) -> bytes:
    """Encode a set of buckets with one bit for each bucket."""
    bits = 0
    for bucket in buckets:
        bits |= 1 << bucket
    return bits.to_bytes(BUCKET_COUNT // 8, 'little')


def unpack_buckets(packed: bytes) -> list[int]:
    """Decode the buckets that :func:`pack_buckets` encoded."""
    bits = int.from_bytes(packed, 'little')
    return [bucket for bucket in range(BUCKET_COUNT) if bits >> bucket & 1]
