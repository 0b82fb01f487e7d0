"""Simulate callers, and the fabric that distributes their packets."""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import time
import typing

from tornado import httpclient

from soak import network
from soak import servers

#: Seconds between two health checks of a balancer, and time-out of a check. A
#: balancer that fails two checks in a row gets no packets.
_HEALTH_CHECK_S = 0.5
#: Seconds from the first SYN to each repetition, and to giving up.
_OPENING_COPIES_S = (0.2, 0.6)
_OPENING_S = 1.4
#: Seconds that a copy of a request waits for an answer before the next copy;
#: the first item is unused.
_REPEATS_S = (0.0, 0.2, 0.6, 1.4)
_DEADLINE_S = 3.0
_TRIES = 3
#: Seconds for which a port rests after use. The port that has been unused
#: longest comes first, so that each caller uses few ports.
_PORT_REST_S = 2.0


class Fabric:
    """Forward callers' packets to healthy balancers."""

    def __init__(self, hosts: list[str], randomness: random.Random) -> None:
        """Create a fabric in which all balancers count as healthy."""
        self.loss = 0.0
        self._failed_checks = dict.fromkeys(hosts, 0)
        self._random = randomness
        self._client = httpclient.AsyncHTTPClient(force_instance=True)
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the health checks."""
        self._tasks = [
            asyncio.create_task(self._check_health(host))
            for host in self._failed_checks
        ]

    def close(self) -> None:
        """Stop the health checks."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def _check_health(self, host: str) -> None:
        url = f'http://{host}:{network.READY_PORT}/api/ready'
        while True:
            try:
                await self._client.fetch(url, request_timeout=_HEALTH_CHECK_S)
                self._failed_checks[host] = 0
            except (OSError, httpclient.HTTPError):
                self._failed_checks[host] += 1
            await asyncio.sleep(_HEALTH_CHECK_S)

    def choose_balancer(self, flow: network.Flow) -> str | None:
        """Return the balancer for a packet, or None if the packet is lost."""
        hosts = [
            host
            for host, failures in self._failed_checks.items()
            if failures < 2
        ]
        if not hosts or self._random.random() < self.loss:
            return None
        return max(hosts, key=lambda host: hash((host, flow)))


class Reset(typing.NamedTuple):
    """A reset that a caller received.

    :ivar at: steady clock, in seconds.
    :ivar opened: whether the flow was open.
    :ivar holder: host of the server that held it; None if none did, or if that
        server had been disturbed shortly before.
    """

    at: float
    flow: network.Flow
    opened: bool
    holder: str | None


FindHolder = typing.Callable[[network.Flow, int], str | None]


class Caller:
    """A caller with one address and many flows."""

    def __init__(
        self,
        number: int,
        fabric: Fabric,
        randomness: random.Random,
        *,
        find_holder: FindHolder,
    ) -> None:
        """Create a caller; :meth:`start` opens its port.

        :param find_holder: returns the host of the undisturbed server that
            holds a flow, given the flow and the server's initial number.
        """
        self.address = network.host(3, number)
        self.requests: list[Request] = []
        self.resets: list[Reset] = []
        self.flows: dict[network.Flow, Request] = {}
        self.random = randomness
        self._packed_address = bytes(map(int, self.address.split('.')))
        self._fabric = fabric
        self._find_holder = find_holder
        self._new_ports = itertools.count(1025)
        self._free_ports: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._port: network.Port | None = None

    async def start(self) -> None:
        """Open the caller's port."""
        self._port = await network.open_port(
            (self.address, network.PACKETS_PORT), self._receive
        )

    def close(self) -> None:
        """Close the caller's port."""
        if self._port is not None:
            self._port.close()

    def new_flow(self, port: int) -> network.Flow:
        """Return a flow from the port that has been unused longest."""
        number = self._take_port()
        return network.Flow(self._packed_address, number, port)

    def _take_port(self) -> int:
        if self._free_ports:
            released_at, number = self._free_ports[0]
            if time.monotonic() - released_at >= _PORT_REST_S:
                self._free_ports.popleft()
                return number
        return next(self._new_ports)

    def release(self, flow: network.Flow) -> None:
        """Let a later flow use the port of a flow that has ended."""
        self.flows.pop(flow, None)
        self._free_ports.append((time.monotonic(), flow.caller_port))

    def note_reset(self, request: Request) -> None:
        """Record that the current flow of a request was reset."""
        holder = self._find_holder(request.flow, request.server_sequence)
        self.resets.append(
            Reset(time.monotonic(), request.flow, request.opened, holder)
        )

    def send(self, flow: network.Flow, flags: int, **fields) -> None:
        """Send a packet through the fabric, which may lose it."""
        host = self._fabric.choose_balancer(flow)
        if host is not None and self._port is not None:
            self._port.send(
                network.from_caller(flow, flags, **fields),
                (host, network.PACKETS_PORT),
            )

    def _receive(self, raw: bytes) -> None:
        packet = network.parse(raw, at_server=False)
        request = self.flows.get(packet.flow)
        if request is not None:
            request.receive(packet)

    async def send_requests(
        self, port: int, *, non_idempotent: bool, times: int
    ) -> None:
        """Send requests one after the other, over one flow if possible."""
        request = Request(self, port, non_idempotent=non_idempotent)
        self.requests.append(request)
        for _ in range(times):
            await request.run()
            if not request.opened:
                break
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        request.finish()


class Request:
    """The requests of one flow; a retry uses a new flow.

    :ivar server_sequence: initial sequence number of the server.
    :ivar answered: number of answered requests.
    :ivar failed: start times of failed requests.
    :ivar refused_ids: bodies of requests whose flow was reset before it
        opened; such a request must not have run.
    """

    def __init__(
        self, caller: Caller, port: int, *, non_idempotent: bool
    ) -> None:
        """Create a request; :meth:`run` sends it."""
        self.caller = caller
        self.port = port
        self.non_idempotent = non_idempotent
        self.flow: network.Flow | None = None
        self.opened = False
        self.server_sequence = 0
        self.answered = 0
        self.failed: list[float] = []
        self.refused_ids: list[bytes] = []
        self._sequence = 0
        self._body = b''
        self._event = asyncio.Event()
        self._reset = False
        self._done = False

    async def run(self) -> None:
        """Send a request; don't retry one that could run a second time."""
        mark = servers.NON_IDEMPOTENT if self.non_idempotent else b'F'
        started = time.monotonic()
        self._done = False
        for _ in range(_TRIES):
            self._body = mark + self.caller.random.randbytes(8)
            if await self._attempt(started):
                self.answered += 1
                return
            if self.non_idempotent and self.opened:
                break
            if time.monotonic() - started > _DEADLINE_S:
                break
            self.opened = False
        self.failed.append(started)

    async def _attempt(self, started: float) -> bool:
        if not self.opened and not await self._open():
            return False
        self._reset = False
        self._sequence += 1
        for delay in (*_REPEATS_S[1:], _DEADLINE_S):
            self.caller.send(
                self.flow,
                network.ACK,
                sequence=self._sequence,
                acknowledged=self.server_sequence,
                body=self._body,
            )
            if await self._wait(delay):
                break
        return self._done

    async def _open(self) -> bool:
        if self.flow is not None:
            self.caller.release(self.flow)
        self.flow = self.caller.new_flow(self.port)
        self.caller.flows[self.flow] = self
        self._sequence = self.caller.random.randrange(1 << 32)
        self._reset = False
        last = 0.0
        for number, at in enumerate((*_OPENING_COPIES_S, _OPENING_S)):
            self.caller.send(
                self.flow,
                network.SYN,
                sequence=self._sequence,
                acknowledged=number,
            )
            if await self._wait(at - last):
                break
            last = at
        if self._reset and not self.opened:
            self.refused_ids.append(self._body)
        return self.opened

    def finish(self) -> None:
        """Close the flow if it is open, and release its port."""
        if self.flow is None:
            return
        if self.opened:
            self.caller.send(
                self.flow,
                network.FIN,
                sequence=self._sequence + 1,
                acknowledged=self.server_sequence,
            )
        self.caller.release(self.flow)

    async def _wait(self, seconds: float) -> bool:
        self._event.clear()
        try:
            await asyncio.wait_for(self._event.wait(), seconds)
        except asyncio.TimeoutError:
            return False
        return True

    def receive(self, packet: network.Packet) -> None:
        """Process a packet that the caller received."""
        if packet.flow != self.flow:
            return
        if packet.flags & network.RST:
            self.caller.note_reset(self)
            self._reset = True
            self._event.set()
        elif packet.flags & network.SYN and not self.opened:
            self.opened = True
            self.server_sequence = packet.sequence
            self._event.set()
        elif packet.body == self._body and packet.body:
            self._done = True
            self._event.set()
