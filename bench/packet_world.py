"""Play flows as packets in virtual time, with the real decisions.

A few fakes stand at the interfaces: a network with delays, cuts and losses, a
store with a history, backend servers that take, return, drain and crash, a
fabric that spreads flows over balancers, and callers. It checks nothing; it
records what callers and servers saw.
"""

from __future__ import annotations

import heapq
import itertools
import random
import typing
import zlib

import msgspec

from teaseldock.packets import agent
from teaseldock.packets import balancer
from teaseldock.packets import node
from teaseldock.packets import packet
from teaseldock.packets import records
from teaseldock.packets import reporting

#: One way between processes, and to callers, seconds.
HOP_S = 0.0007
CALLER_HOP_S = 0.003
#: Seconds between two ticks of a process, and two looks of the fabric.
TICK_S = 0.05
FABRIC_S = 0.5
#: Seconds after which a caller repeats an opening, and gives it up.
OPENING_COPIES_S = (0.2, 0.6)
OPENING_S = 1.4
#: Seconds after which data without acknowledgement is repeated.
REPEATS_S = (0.2, 0.6, 1.4, 3.0)
SERVICE_HOST = bytes((198, 18, 0, 1))
_ENCODE = msgspec.msgpack.Encoder().encode
_DECODE = msgspec.msgpack.Decoder(packet.Packet).decode


class Lines(reporting.Reporter):
    """Keep the lines of all processes."""

    def __init__(self, world: World, name: str) -> None:
        """Write under a process's name."""
        self._world = world
        self._name = name

    def note(self, event: str, **fields: typing.Any) -> None:
        """Keep one line."""
        self._world.lines.append((self._world.now, self._name, event, fields))


class Server:
    """A backend server: it takes flows and runs requests in order."""

    def __init__(
        self,
        world: World,
        host: str,
        *,
        service: str,
        slots: int,
        service_s: float,
        queue: int = 16,
    ) -> None:
        """Start ready and empty."""
        self.world = world
        self.host = host
        self.service = service
        self.slots = slots
        self.service_s = service_s
        self.queue_limit = queue
        self.run = 0
        self.up = True
        self.silent = False
        self.draining = False
        self.flows: set[bytes] = set()
        self.ran: list[tuple[float, bytes, int]] = []
        self.opened: list[tuple[float, bytes]] = []
        self._busy = 0
        self._queue: list[tuple[bytes, int]] = []
        self._sent: dict[bytes, int] = {}
        self._starts: dict[bytes, int] = {}

    @property
    def identifier(self) -> str:
        """Return the id of the present run."""
        return f'i-{self.host}-{self.run}'

    def entry(self) -> records.Target:
        """Return what it registers."""
        return records.Target(
            self.identifier,
            self.service,
            self.host,
            8080,
            'dc',
            self.slots,
            self.draining,
            0,
            0,
        )

    def crash(self) -> None:
        """Lose everything."""
        self.up = False
        self.run += 1
        self.flows.clear()
        self._queue.clear()
        self._busy = 0

    def take(self, item: packet.Packet, token: bytes) -> None:
        """Handle a packet that its agent gives it."""
        if not self.up or self.silent:
            return
        if item.opening:
            self.opened.append((self.world.now, item.flow))
            if item.flow not in self.flows:
                self.flows.add(item.flow)
                start = self.world.random.randrange(1 << 32)
                self._starts[item.flow] = self._sent[item.flow] = start
            self._say(item.flow, opening=True, accepting=True)
            return
        if item.flow not in self.flows:
            self.world.from_server(
                self.host, item._replace(returned=True, token=token)
            )
            return
        if item.resetting or item.closing:
            self.flows.discard(item.flow)
            return
        if item.acknowledged != self._starts[item.flow]:
            # The caller took another server's answer; this one waits on.
            return
        if item.length:
            self._request(item.flow, item.sequence)

    def _request(self, flow: bytes, sequence: int) -> None:
        if any(done[1:] == (flow, sequence) for done in self.ran):
            return
        if (flow, sequence) in self._queue:
            return
        if self._busy < self.slots:
            self._begin(flow, sequence)
        elif len(self._queue) < self.queue_limit:
            self._queue.append((flow, sequence))
        else:
            self._say(flow, length=1, acknowledged=sequence, refused=True)

    def _begin(self, flow: bytes, sequence: int) -> None:
        self._busy += 1
        self.ran.append((self.world.now, flow, sequence))
        run = self.run
        spread = self.world.random.uniform(0.6, 1.4)
        self.world.after(
            self.service_s * spread, lambda: self._end(flow, sequence, run)
        )

    def _end(self, flow: bytes, sequence: int, run: int) -> None:
        if run != self.run:
            return
        self._busy -= 1
        self._say(flow, length=100, acknowledged=sequence)
        if self._queue:
            self._begin(*self._queue.pop(0))

    def _say(self, flow: bytes, *, refused: bool = False, **fields) -> None:
        sequence = self._sent.get(flow, 0)
        self._sent[flow] = sequence + fields.get('length', 0)
        self.world.from_server(
            self.host,
            _packet(flow, closing=refused, sequence=sequence, **fields),
        )


def _packet(flow: bytes, **fields: typing.Any) -> packet.Packet:
    empty = packet.Packet(
        flow, False, False, False, False, False, 0, 0, 0, bytes(4), b''
    )
    return _sealed(empty._replace(**fields))


def _sealed(item: packet.Packet) -> packet.Packet:
    return item._replace(raw=_ENCODE(item._replace(raw=b'')))


class Process(node.Outlet):
    """One balancer or agent in the world."""

    def __init__(self, world: World, host: str, server: Server | None) -> None:
        """Start a process."""
        self.world = world
        self.host = host
        self.server = server
        self.alive = True
        self.paused = False
        self._held: list[tuple[bool, typing.Callable[[], None]]] = []
        options: dict[str, typing.Any] = {
            'host': host,
            'data_centre': 'dc',
            'seeds': world.seeds,
            'outlet': self,
            'reporter': Lines(world, host),
            'randomness': random.Random(zlib.crc32(host.encode())),
            'now': world.now,
        }
        if server is None:
            self.node: node.Node = balancer.Balancer(**options)
        else:
            self.node = agent.Agent(
                service=server.service, port=8080, **options
            )
        world.after(0.0, self._tick)

    def _tick(self) -> None:
        if not self.alive:
            return
        if not self.paused:
            self.node.tick(self.world.now)
        self.world.after(TICK_S, self._tick)

    def take(
        self, handle: typing.Callable[[], None], *, from_caller: bool = False
    ) -> None:
        """Handle an input, or keep it in the socket while paused."""
        if self.paused:
            self._held.append((not from_caller, handle))
            return
        self.node.check_pause(self.world.now)
        handle()

    def wake(self) -> None:
        """End a pause; the socket of the callers is read first."""
        self.paused = False
        held, self._held = self._held, []
        for _, handle in sorted(held, key=lambda item: item[0]):
            self.take(handle)

    def to_process(self, host: str, datagram: bytes) -> None:
        """Send to another process."""
        self.world.carry(self.host, host, datagram)

    def to_caller(self, item: packet.Packet) -> None:
        """Send to a caller."""
        self.world.to_caller(item)

    def to_server(self, item: packet.Packet, token: bytes) -> None:
        """Give to the server."""
        assert self.server is not None
        server = self.server
        self.world.after(0.0001, lambda: server.take(item, token))

    def reset_caller(self, item: packet.Packet) -> None:
        """Reset a flow."""
        self.world.note_reset(item.flow)
        self.world.to_caller(_packet(item.flow, resetting=True))

    def read_packet(self, raw: bytes) -> packet.Packet:
        """Decode."""
        return _DECODE(raw)._replace(raw=raw)

    def original(self, item: packet.Packet) -> bytes:
        """Encode as it was."""
        return _sealed(item._replace(returned=False, token=bytes(4))).raw

    def read_all(self) -> None:
        """Read the store."""
        self.world.store.call(self, None)

    def watch(self, revision: int) -> None:
        """Watch the store."""
        self.world.store.call(self, revision)


class Store:
    """A store with one revision counter, a history and outages."""

    def __init__(self, world: World) -> None:
        """Start empty and up."""
        self.world = world
        self.up = True
        self.refused: set[str] = set()
        self.revision = 0
        self.history_from = 0
        self.calls = 0
        self.delay_s = 0.004
        self._configuration: records.Configuration | None = None
        self._targets: dict[str, records.Target] = {}
        self._events: list[records.Target | records.Removal] = []
        self._watches: list[tuple[Process, int, float]] = []

    def configure(self, version: int, routes: list[records.Route]) -> None:
        """Publish a configuration."""
        self.revision += 1
        self._configuration = records.Configuration(
            version, self.revision, 15_000, routes
        )
        self._wake()

    def put(self, server: Server) -> None:
        """Write a server's entry."""
        self.revision += 1
        target = server.entry()._replace(revision=self.revision)
        self._targets[target.identifier] = target
        self._events.append(target)
        self._wake()

    def remove(self, identifier: str) -> None:
        """Remove an entry."""
        self.revision += 1
        del self._targets[identifier]
        self._events.append(records.Removal(identifier, self.revision))
        self._wake()

    def forget_history(self) -> None:
        """Make older revisions unavailable."""
        self.history_from = self.revision
        self._events.clear()
        self._wake()

    def call(self, process: Process, revision: int | None) -> None:
        """Take a call; it is answered later, or fails."""
        self.calls += 1
        if not self.up or process.host in self.refused:
            self.world.after(
                self.delay_s,
                lambda: self._hand(process, 'store_failed', 'refused'),
            )
            return
        if revision is None:
            changes = self._changes(0)
            self.world.after(
                self.delay_s,
                lambda: self._hand(process, 'store_answered', changes),
            )
            return
        self._watches.append((process, revision, self.world.now + 1.5))
        self.world.after(self.delay_s, self._wake)
        self.world.after(1.5 + self.delay_s, self._wake)

    def _hand(self, process: Process, method: str, *values: object) -> None:
        if process.alive:
            getattr(process.node, method)(*values, self.world.now)

    def _changes(self, since: int) -> records.Changes:
        configuration = self._configuration
        if configuration and since and configuration.revision <= since:
            configuration = None
        if not since:
            return records.Changes(
                0,
                self.revision,
                list(self._targets.values()),
                [],
                configuration,
            )
        news = [item for item in self._events if item.revision > since]
        removed = {
            item.identifier
            for item in news
            if isinstance(item, records.Removal)
        }
        latest = {item.identifier: item for item in news}
        return records.Changes(
            since,
            self.revision,
            [
                item
                for item in latest.values()
                if isinstance(item, records.Target)
            ],
            [
                item
                for item in latest.values()
                if isinstance(item, records.Removal)
                and item.identifier in removed
            ],
            configuration,
        )

    def _wake(self) -> None:
        waiting, self._watches = self._watches, []
        for process, since, until in waiting:
            if not self.up or process.host in self.refused:
                self._hand(process, 'store_failed', 'cut')
            elif since < self.history_from:
                self._hand(process, 'store_lost_history')
            elif since < self.revision or self.world.now >= until:
                self._hand(process, 'store_answered', self._changes(since))
            else:
                self._watches.append((process, since, until))


class Request:
    """One request of a caller, over all its tries.

    :ivar outcome: ``''`` while it runs, else ``answered`` or ``failed``.
    """

    def __init__(self, world: World, *, feed: bool, tries: int) -> None:
        """Begin."""
        self.world = world
        self.began = world.now
        self.ended = 0.0
        self.outcome = ''
        self.feed = feed
        self.tries = tries
        self.flow = b''
        self.opened = False
        self.sequence = 0
        self.start = 0
        self.resets = 0
        self._open()

    @property
    def latency_s(self) -> float:
        """Return how long the caller waited."""
        return self.ended - self.began

    def _open(self) -> None:
        self.tries -= 1
        self.flow = self.world.new_flow(self)
        self.opened = False
        flow = self.flow
        self._send(flow, opening=True)
        for number, delay in enumerate(OPENING_COPIES_S, 1):
            self.world.after(delay, lambda n=number: self._copy(flow, n))
        self.world.after(OPENING_S, lambda: self._give_up(flow))

    def _send(self, flow: bytes, **fields: typing.Any) -> None:
        self.world.from_caller(_packet(flow, **fields))

    def _copy(self, flow: bytes, number: int) -> None:
        if flow == self.flow and not self.opened and not self.outcome:
            self._send(flow, opening=True, acknowledged=number)

    def _give_up(self, flow: bytes) -> None:
        if flow == self.flow and not self.opened:
            self._retry()

    def _retry(self) -> None:
        if self.outcome:
            return
        if self.tries <= 0:
            self._end('failed')
            return
        self._open()

    def _end(self, outcome: str) -> None:
        self.outcome = outcome
        self.ended = self.world.now

    def ask(self) -> None:
        """Send the request over the open flow, until it is acknowledged."""
        self.began = self.began if not self.outcome else self.world.now
        self.outcome = ''
        self.sequence += 1
        flow, sequence = self.flow, self.sequence
        for delay in (0.0, *REPEATS_S):
            self.world.after(delay, lambda: self._repeat(flow, sequence))

    def _repeat(self, flow: bytes, sequence: int) -> None:
        if flow == self.flow and sequence == self.sequence:
            if not self.outcome:
                self._send(
                    flow,
                    length=1,
                    sequence=sequence,
                    acknowledged=self.start,
                )

    def receive(self, item: packet.Packet) -> None:
        """Take a packet that came to the caller."""
        if item.flow != self.flow or self.outcome:
            return
        if item.resetting:
            self.resets += 1
            if self.opened and not self.feed:
                self._end('failed')
                return
            self._retry()
            return
        if item.accepting and not self.opened:
            self.opened = True
            self.start = item.sequence
            self.sequence = 0
            self.ask()
        elif item.length and item.closing:
            self._retry()
        elif item.length and item.acknowledged == self.sequence:
            self._end('answered')
            if not self.feed:
                self._send(self.flow, closing=True, acknowledged=self.start)


class World:
    """Everything at one moment of virtual time."""

    def __init__(
        self, *, balancers: int = 3, seed: int = 1, seeds: int = 2
    ) -> None:
        """Start a store and balancers; servers come by :meth:`add_server`."""
        self.now = 100.0
        self.random = random.Random(seed)
        self.lines: list[tuple[float, str, str, dict]] = []
        self.seeds = [f'10.0.0.{i + 1}' for i in range(seeds)]
        self.store = Store(self)
        self.processes: dict[str, Process] = {}
        self.servers: dict[str, Server] = {}
        self.cut: set[frozenset[str]] = set()
        self.loss = 0.0
        self.resets: list[tuple[float, bytes, bool]] = []
        self.requests: list[Request] = []
        self._flows: dict[bytes, Request] = {}
        self._ports = itertools.count(1024)
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._order = itertools.count()
        self._rotation: dict[str, int] = {}
        for index in range(balancers):
            self.start(f'10.0.0.{index + 1}')
        self.after(0.0, self._look)

    def after(self, delay: float, what: typing.Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(
            self._events, (self.now + delay, next(self._order), what)
        )

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = until

    def start(self, host: str) -> Process:
        """Start, or start again, the process of a host."""
        self.kill(host)
        process = Process(self, host, self.servers.get(host))
        self.processes[host] = process
        return process

    def kill(self, host: str) -> None:
        """End a process at once."""
        process = self.processes.pop(host, None)
        if process is not None:
            process.alive = False

    def add_server(self, host: str, **options: typing.Any) -> Server:
        """Start a server with its agent, and register it."""
        server = self.servers[host] = Server(self, host, **options)
        self.start(host)
        self.store.put(server)
        return server

    def balancers(self) -> list[Process]:
        """Return the balancers that run."""
        return [p for p in self.processes.values() if p.server is None]

    def _look(self) -> None:
        """Let the fabric ask who is ready; two misses take out."""
        self.after(FABRIC_S, self._look)
        for process in self.balancers():
            ready = not process.paused and process.node.ready(self.now)
            misses = 0 if ready else self._rotation.get(process.host, 2) + 1
            self._rotation[process.host] = misses
        for host in list(self._rotation):
            if host not in self.processes:
                self._rotation[host] += 1

    def carry(self, source: str, host: str, datagram: bytes) -> None:
        """Carry a datagram between processes."""
        if frozenset((source, host)) in self.cut:
            return
        if self.loss and self.random.random() < self.loss:
            return
        self.after(
            HOP_S * self.random.uniform(0.8, 1.2),
            lambda: self._arrive(source, host, datagram),
        )

    def _arrive(self, source: str, host: str, datagram: bytes) -> None:
        process = self.processes.get(host)
        if process is not None:
            process.take(
                lambda: process.node.on_datagram(datagram, source, self.now)
            )

    def from_caller(self, item: packet.Packet) -> None:
        """Let the fabric pass a caller's packet to a balancer."""
        hosts = [h for h, misses in self._rotation.items() if misses < 2]
        if not hosts:
            return
        host = max(
            hosts, key=lambda name: zlib.crc32(item.flow + name.encode()) ^ 7
        )
        self.after(CALLER_HOP_S, lambda: self._enter(host, item))

    def _enter(self, host: str, item: packet.Packet) -> None:
        process = self.processes.get(host)
        if process is not None:
            process.take(
                lambda: process.node.on_packet(item, self.now),
                from_caller=True,
            )

    def from_server(self, host: str, item: packet.Packet) -> None:
        """Give a server's packet to its agent."""
        self.after(0.0001, lambda: self._leave(host, item))

    def _leave(self, host: str, item: packet.Packet) -> None:
        process = self.processes.get(host)
        if process is not None:
            process.take(lambda: process.node.on_server_packet(item, self.now))

    def to_caller(self, item: packet.Packet) -> None:
        """Carry a packet to its caller."""
        self.after(CALLER_HOP_S, lambda: self._at_caller(item))

    def _at_caller(self, item: packet.Packet) -> None:
        request = self._flows.get(item.flow)
        if request is not None:
            request.receive(item)

    def note_reset(self, flow: bytes) -> None:
        """Keep a reset of the system's own, and whether a server held it."""
        held = any(
            flow in server.flows and server.up
            for server in self.servers.values()
        )
        opened = self._flows[flow].opened if flow in self._flows else False
        self.resets.append((self.now, flow, held and opened))

    def new_flow(self, request: Request) -> bytes:
        """Return the key of a new flow to the service."""
        port = next(self._ports)
        flow = (
            bytes((100, 64, 0, port % 250))
            + SERVICE_HOST
            + port.to_bytes(2, 'big')
            + (443).to_bytes(2, 'big')
        )
        self._flows[flow] = request
        return flow

    def request(self, *, feed: bool = False, tries: int = 3) -> Request:
        """Let a caller begin a request on a new flow."""
        request = Request(self, feed=feed, tries=tries)
        self.requests.append(request)
        return request

    def broken(self) -> list[tuple[float, bytes, bool]]:
        """Return resets of open flows whose server still held them."""
        return [reset for reset in self.resets if reset[2]]

    def events(self, event: str) -> list[dict[str, typing.Any]]:
        """Return the lines of an event."""
        return [line[3] for line in self.lines if line[2] == event]


def route(
    service: str,
    *,
    port: int = 443,
    kind: records.RequestKind = records.RequestKind.IDEMPOTENT,
    aim_ms: int = 150,
    priority: int = 1,
) -> records.Route:
    """Return a route to a service."""
    return records.Route(
        SERVICE_HOST + port.to_bytes(2, 'big'),
        f'r-{service}-{port}',
        [records.ServiceChoice(service, 1)],
        kind,
        2500,
        aim_ms,
        priority,
    )


def small_world(
    *, servers: int = 4, slots: int = 2, service_s: float = 0.03, **options
) -> World:
    """Return a world with one service that has just got ready."""
    world = World(**options)
    world.store.configure(1, [route('dispatch')])
    for index in range(servers):
        world.add_server(
            f'10.0.1.{index + 1}',
            service='dispatch',
            slots=slots,
            service_s=service_s,
        )
    world.run(2.0)
    return world
