"""Simulate backend servers that accept flows, run requests and drain."""

from __future__ import annotations

import asyncio
import collections
import random
import time
import typing

from soak import network
from standin_platform import documents

if typing.TYPE_CHECKING:
    from standin_platform import store

#: First byte of a request that must run at most once.
NON_IDEMPOTENT = b'G'
#: Bytes of the id of a request, after the first byte.
ID_BYTES = 8
#: Seconds after a disturbance of a server for which its flows may be reset.
UNDISTURBED_S = 4.0
#: Seconds until a closed port can be bound again.
_CLOSE_S = 0.05
#: Unix milliseconds; the start time of each incarnation is larger than that
#: of the one before.
_FIRST_START_MS = 1_700_000_000_000


class Opening(typing.NamedTuple):
    """A flow that a server accepted.

    :ivar at: steady clock, in seconds.
    :ivar leaving_since: when the store accepted the entry that says the server
        is leaving; None if it was not leaving.
    :ivar data_centre: data centre of the server.
    """

    at: float
    host: str
    service: str
    port: int
    leaving_since: float | None
    data_centre: str


class Journal:
    """Records of all servers, for the checks at the end.

    :ivar runs: number of runs by first byte and id of a request.
    """

    def __init__(self) -> None:
        """Create an empty journal."""
        self.runs: collections.Counter[bytes] = collections.Counter()
        self.openings: list[Opening] = []


class Server:
    """A backend server on the host of an agent.

    :ivar flows: the server's initial sequence number of each open flow.
    :ivar silent: whether the server ignores all packets.
    :ivar slowdown: factor of the service time of new requests.
    :ivar disturbed_at: steady clock at the last crash or end of a silence.
    """

    def __init__(
        self,
        number: int,
        service: str,
        *,
        journal: Journal,
        registry: store.Store,
        randomness: random.Random,
    ) -> None:
        """Create a server; :meth:`start` opens its port."""
        self.number = number
        self.host = network.host(2, number)
        self.service = service
        self.flows: dict[network.Flow, int] = {}
        self.silent = False
        self.slowdown = 1.0
        self.draining_since: float | None = None
        self.disturbed_at = 0.0
        self._incarnation = 0
        self._key_number = 0
        self._starting = False
        self._journal = journal
        self._registry = registry
        self._random = randomness
        self._port: network.Port | None = None
        self._done: set[tuple[network.Flow, int]] = set()
        self._sent: collections.Counter[network.Flow] = collections.Counter()
        # Initial number of each flow's caller, and the flows whose caller has
        # acknowledged the acceptance.
        self._caller_numbers: dict[network.Flow, int] = {}
        self._opened: set[network.Flow] = set()

    @property
    def key(self) -> str:
        """Return the key of the server's entry in the store."""
        return documents.server_key(f'i-{self.number}-{self._key_number}')

    @property
    def data_centre(self) -> str:
        """Return the data centre of the server."""
        return f'dc-{self.number % 2}'

    @property
    def up(self) -> bool:
        """Return whether the server is running."""
        return self._port is not None

    async def start(self, *, keep_key: bool = False) -> None:
        """Start a new incarnation unless the server is running.

        :param keep_key: whether the entry keeps its key.
        """
        if self._starting or self.up:
            return
        self._starting = True
        await asyncio.sleep(_CLOSE_S)
        self._incarnation += 1
        self._key_number += not keep_key
        self.draining_since = None
        self._port = await network.open_port(
            (self.host, network.SERVER_PORT), self._receive
        )
        self._starting = False
        self.register()

    def register(self) -> None:
        """Write the entry of a server that accepts flows."""
        self._register(leaving=False)

    def register_unchanged(self) -> None:
        """Write the current entry again, after the store lost it."""
        if self.up:
            self._register(leaving=self.draining_since is not None)

    def _register(self, *, leaving: bool) -> float:
        entry = documents.server_entry(
            service=self.service,
            address=f'{self.host}:{network.SERVER_PORT}',
            data_centre=self.data_centre,
            leaving=leaving,
            born_ms=_FIRST_START_MS + self._incarnation,
        )
        return self._registry.put(self.key, entry)

    def drain(self) -> None:
        """Write that the server is leaving."""
        self.draining_since = self._register(leaving=True)

    def holds_undisturbed(self, flow: network.Flow, number: int) -> bool:
        """Return whether a flow must not be reset.

        :param number: the server's initial sequence number, which tells the
            flow from others of the same port.
        """
        if self.silent or self.flows.get(flow) != number:
            return False
        return time.monotonic() - self.disturbed_at > UNDISTURBED_S

    def crash(self, *, remove_entry: bool) -> None:
        """Close the port and drop all flows.

        :param remove_entry: whether to remove the entry from the store.
        """
        if self._port is not None:
            self._port.close()
        self._port = None
        self.flows.clear()
        self._opened.clear()
        self._done.clear()
        self.disturbed_at = time.monotonic()
        if remove_entry:
            self._registry.remove(self.key)

    def _send(self, flow: network.Flow, flags: int, **fields) -> None:
        if self._port is not None:
            self._port.send(
                network.from_server(flow, flags, **fields),
                (self.host, network.FROM_SERVER_PORT),
            )

    def _receive(self, raw: bytes) -> None:
        if self.silent:
            return
        packet = network.parse(raw, at_server=True)
        if packet.flags & network.SYN:
            self._accept_flow(packet)
        elif packet.flow not in self.flows:
            self._bounce(raw)
        elif packet.flags & (network.RST | network.FIN):
            del self.flows[packet.flow]
        elif packet.body and packet.acknowledged != self.flows[packet.flow]:
            self._on_foreign_number(packet, raw)
        elif packet.body:
            self._opened.add(packet.flow)
            self._run_request(packet)

    def _on_foreign_number(self, packet: network.Packet, raw: bytes) -> None:
        """Handle a packet that acknowledges another server's number."""
        if packet.flow in self._opened:
            # A late packet of a former flow from the same port.
            return
        # The caller accepted the SYN-ACK of another server.
        del self.flows[packet.flow]
        self._bounce(raw)

    def _accept_flow(self, packet: network.Packet) -> None:
        if self._caller_numbers.get(packet.flow) != packet.sequence:
            # The caller may use the port of a former flow again.
            self.flows.pop(packet.flow, None)
            self._opened.discard(packet.flow)
            self._sent.pop(packet.flow, None)
            self._caller_numbers[packet.flow] = packet.sequence
        self._journal.openings.append(
            Opening(
                time.monotonic(),
                self.host,
                self.service,
                packet.flow.port,
                self.draining_since,
                self.data_centre,
            )
        )
        number = self.flows.setdefault(
            packet.flow, self._random.randrange(1, 1 << 31)
        )
        self._send(packet.flow, network.SYN | network.ACK, sequence=number)

    def _bounce(self, raw: bytes) -> None:
        assert self._port is not None
        bounced = bytes((raw[0] | network.BOUNCED,)) + bytes(3) + raw[4:]
        self._port.send(bounced, (self.host, network.FROM_SERVER_PORT))

    def _run_request(self, packet: network.Packet) -> None:
        if (packet.flow, packet.sequence) in self._done:
            return
        self._done.add((packet.flow, packet.sequence))
        self._journal.runs[packet.body[: 1 + ID_BYTES]] += 1
        incarnation = self._incarnation
        asyncio.get_running_loop().call_later(
            self.slowdown * self._random.uniform(0.01, 0.05),
            lambda: self._answer(packet, incarnation),
        )

    def _answer(self, packet: network.Packet, incarnation: int) -> None:
        if incarnation == self._incarnation and packet.flow in self.flows:
            self._sent[packet.flow] += 1 + ID_BYTES
            self._send(
                packet.flow,
                network.ACK,
                sequence=self.flows[packet.flow] + self._sent[packet.flow],
                acknowledged=packet.sequence,
                body=packet.body[: 1 + ID_BYTES],
            )
