"""Define loopback addresses, ports and the packet format of the soak."""

from __future__ import annotations

import asyncio
import os
import struct
import typing

from teaseldock_platform import packet_head

#: Second octet of all addresses; it depends on the process id, so that
#: concurrent soaks use different addresses.
NETWORK = 20 + os.getpid() % 200
PACKETS_PORT = 18172
READY_PORT = 18167
CONTROL_PORT = 18166
INTERNAL_PORT = 17720
METRICS_PORT = 17721
FROM_SERVER_PORT = 18162
SERVER_PORT = 18080
SERVICE_HOST = bytes((198, 18, 0, 1))
_HEAD = struct.Struct('>B3sIIH4sH4sH4s4s')
SYN, ACK, FIN, RST, BOUNCED = 32, 64, 8, 1, 4
#: Checksum field of packets from callers and servers; it is 0 in resets that
#: the system sends.
CHECKSUM = b'soak'


class Flow(typing.NamedTuple):
    """A connection of a caller.

    :ivar caller: IPv4 address of the caller, packed.
    :ivar caller_port: port of the caller.
    :ivar port: port of the route at :data:`SERVICE_HOST`.
    """

    caller: bytes
    caller_port: int
    port: int


class Packet(typing.NamedTuple):
    """A parsed packet.

    :ivar from_system: whether a balancer or agent sent the packet itself.
    """

    flow: Flow
    flags: int
    sequence: int
    acknowledged: int
    body: bytes
    from_system: bool


def host(kind: int, number: int) -> str:
    """Return an address of a kind.

    :param kind: 1 balancers, 2 agents and servers, 3 callers, 4 the store
        and its proxies.
    """
    return f'127.{NETWORK}.{kind}.{number}'


def from_caller(flow: Flow, flags: int, **fields: typing.Any) -> bytes:
    """Return a packet that a caller sends."""
    return _packet(
        flags,
        fields,
        (flow.caller_port, SERVICE_HOST, flow.port, flow.caller),
    )


def from_server(flow: Flow, flags: int, **fields: typing.Any) -> bytes:
    """Return a packet that a server sends."""
    return _packet(
        flags,
        fields,
        (flow.port, flow.caller, flow.caller_port, SERVICE_HOST),
    )


def _packet(
    flags: int,
    fields: dict[str, typing.Any],
    endpoints: tuple[int, bytes, int, bytes],
) -> bytes:
    body = fields.get('body', b'')
    head = _HEAD.pack(
        flags,
        bytes(3),
        fields.get('sequence', 0) % (1 << 32),
        fields.get('acknowledged', 0) % (1 << 32),
        len(body),
        bytes(4),
        *endpoints,
        CHECKSUM,
    )
    return head + body


def parse(raw: bytes, *, at_server: bool) -> Packet:
    """Parse a received packet.

    :param at_server: whether a server received it; else a caller did.
    """
    flags, _, seq, ack, _, _, sport, dst, dport, src, checksum = (
        _HEAD.unpack_from(raw)
    )
    if at_server:
        flow = Flow(src, sport, dport)
    else:
        flow = Flow(dst, dport, sport)
    body = raw[packet_head.HEAD_BYTES :]
    return Packet(flow, flags, seq, ack, body, checksum != CHECKSUM)


class Port(asyncio.DatagramProtocol):
    """A UDP port that passes received datagrams to a function."""

    def __init__(self, handle: typing.Callable[[bytes], None]) -> None:
        """Create a port that is not bound yet."""
        self._handle = handle
        self._transport: typing.Any = None

    def connection_made(self, transport: typing.Any) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, _: typing.Any) -> None:
        """Pass a datagram to the handler."""
        self._handle(data)

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; drop it if the port is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, address)

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()


async def open_port(
    address: tuple[str, int], handle: typing.Callable[[bytes], None]
) -> Port:
    """Bind a UDP port and return it."""
    loop = asyncio.get_running_loop()
    _, port = await loop.create_datagram_endpoint(
        lambda: Port(handle), local_addr=address
    )
    return port
