"""Callers of the soak, and the fabric that spreads their packets."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import typing

from tornado import httpclient

from soak import network
from soak import servers

#: Seconds between two looks of the fabric at a balancer; two misses take it
#: out.
_LOOK_S = 0.5
_OPENING_COPIES_S = (0.2, 0.6)
_OPENING_S = 1.4
_REPEATS_S = (0.0, 0.2, 0.6, 1.4)
_DEADLINE_S = 3.0
_TRIES = 3


class Fabric:
    """Pass callers' packets to balancers that are ready."""

    def __init__(self, hosts: list[str], randomness: random.Random) -> None:
        """Start with all in rotation."""
        self.loss = 0.0
        self._misses = dict.fromkeys(hosts, 0)
        self._random = randomness
        self._client = httpclient.AsyncHTTPClient(force_instance=True)
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin to look."""
        self._tasks = [
            asyncio.create_task(self._look(host)) for host in self._misses
        ]

    def close(self) -> None:
        """Stop looking."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def _look(self, host: str) -> None:
        url = f'http://{host}:{network.READY_PORT}/api/ready'
        while True:
            try:
                await self._client.fetch(url, request_timeout=_LOOK_S)
                self._misses[host] = 0
            except (OSError, httpclient.HTTPError):
                self._misses[host] += 1
            await asyncio.sleep(_LOOK_S)

    def pick(self, flow: network.Flow) -> str | None:
        """Return where a packet goes, or None if it is lost."""
        hosts = [host for host, misses in self._misses.items() if misses < 2]
        if not hosts or self._random.random() < self.loss:
            return None
        return max(hosts, key=lambda host: hash((host, flow)))


class Attempt(typing.NamedTuple):
    """What a caller saw of one flow at one moment."""

    at: float
    flow: network.Flow
    opened: bool


class Caller:
    """One address from which many flows start."""

    def __init__(
        self, number: int, fabric: Fabric, randomness: random.Random
    ) -> None:
        """Prepare; nothing is opened before :meth:`start`."""
        self.address = network.host(3, number)
        self.requests: list[Request] = []
        self.resets: list[Attempt] = []
        self.flows: dict[network.Flow, Request] = {}
        self.random = randomness
        self._packed = bytes(map(int, self.address.split('.')))
        self._fabric = fabric
        self._ports = itertools.count(1025)
        self._port: network.Port | None = None

    async def start(self) -> None:
        """Open the caller's port."""
        self._port = await network.open_port(
            (self.address, network.PACKETS_PORT), self._take
        )

    def close(self) -> None:
        """Close the caller's port."""
        if self._port is not None:
            self._port.close()

    def new_flow(self, port: int) -> network.Flow:
        """Return a flow that was never used."""
        return network.Flow(self._packed, next(self._ports), port)

    def send(self, flow: network.Flow, flags: int, **fields) -> None:
        """Send a packet through the fabric."""
        host = self._fabric.pick(flow)
        if host is not None and self._port is not None:
            self._port.send(
                network.from_caller(flow, flags, **fields),
                (host, network.PACKETS_PORT),
            )

    def _take(self, raw: bytes) -> None:
        seen = network.read(raw, at_server=False)
        request = self.flows.get(seen.flow)
        if request is not None:
            request.receive(seen)

    async def ask(self, port: int, *, guarded: bool, times: int) -> None:
        """Send requests over one flow, one after the other."""
        request = Request(self, port, guarded=guarded)
        self.requests.append(request)
        for _ in range(times):
            await request.run()
            if not request.opened:
                return
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        self.send(request.flow, network.FIN, acknowledged=request.server)


class Request:
    """The requests of one flow; each is tried again on a new flow."""

    def __init__(self, caller: Caller, port: int, *, guarded: bool) -> None:
        """Prepare."""
        self.caller = caller
        self.port = port
        self.guarded = guarded
        self.flow = caller.new_flow(port)
        self.opened = False
        self.server = 0
        self.answered = 0
        self.failed: list[float] = []
        self.refused_ids: list[bytes] = []
        self._sequence = 0
        self._body = b''
        self._event = asyncio.Event()
        self._reset = False
        self._done = False

    async def run(self) -> None:
        """Send one request; try again where nothing can have run."""
        mark = servers.GUARDED if self.guarded else b'F'
        started = time.monotonic()
        self._done = False
        for _ in range(_TRIES):
            self._body = mark + self.caller.random.randbytes(8)
            if await self._try(started):
                self.answered += 1
                return
            if self.guarded and self.opened:
                break
            if time.monotonic() - started > _DEADLINE_S:
                break
            self.opened = False
        self.failed.append(started)

    async def _try(self, started: float) -> bool:
        if not self.opened and not await self._open():
            return False
        self._reset = False
        self._sequence += 1
        for delay in (*_REPEATS_S[1:], _DEADLINE_S):
            self.caller.send(
                self.flow,
                network.ACK,
                sequence=self._sequence,
                acknowledged=self.server,
                body=self._body,
            )
            if await self._wait(delay):
                break
        return self._done

    async def _open(self) -> bool:
        self.flow = self.caller.new_flow(self.port)
        self.caller.flows[self.flow] = self
        self._reset = False
        last = 0.0
        for number, at in enumerate((*_OPENING_COPIES_S, _OPENING_S)):
            self.caller.send(self.flow, network.SYN, acknowledged=number)
            if await self._wait(at - last):
                break
            last = at
        if self._reset and not self.opened:
            self.refused_ids.append(self._body)
        return self.opened

    async def _wait(self, seconds: float) -> bool:
        self._event.clear()
        try:
            await asyncio.wait_for(self._event.wait(), seconds)
        except asyncio.TimeoutError:
            return False
        return True

    def receive(self, seen: network.Seen) -> None:
        """Take a packet that came to the caller."""
        if seen.flow != self.flow:
            return
        if seen.flags & network.RST:
            self.caller.resets.append(
                Attempt(time.monotonic(), seen.flow, self.opened)
            )
            self._reset = True
            self._event.set()
        elif seen.flags & network.SYN and not self.opened:
            self.opened = True
            self.server = seen.sequence
            self._event.set()
        elif seen.body == self._body and seen.body:
            self._done = True
            self._event.set()
