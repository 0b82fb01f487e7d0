"""Play flows as packets in virtual time, with the real decisions.

A few fakes stand at the interfaces: a network with delays, cuts and losses, a
store with a history, backend servers that take, return, drain and crash, a
fabric that spreads flows over balancers, and callers. It checks nothing; it
records what callers and servers saw.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import typing
import zlib

from bench import packet_caller
from bench import packet_codec
from bench import packet_server
from bench import packet_store
from teaseldock.packets import agent
from teaseldock.packets import balancer
from teaseldock.packets import control
from teaseldock.packets import io_interface
from teaseldock.packets import node
from teaseldock.packets import packet
from teaseldock.packets import records
from teaseldock.packets import reporting

#: One way between processes, and to callers, seconds.
HOP_S = 0.0007
CALLER_HOP_S = 0.003
#: Seconds between two ticks of a process, and two looks of the fabric.
TICK_S = 0.05
FABRIC_PROBE_S = 0.5
#: Seconds that a datagram waits at a link at the most; others are lost.
MAX_LINK_QUEUE_S = 1.0
#: Bytes of headers of each datagram, and bits of a byte.
HEADER_BYTES = 28
BITS = 8
#: Kinds of datagrams that carry packets of callers.
CALLER_PACKET_KINDS = (control.KIND_PACKET, control.KIND_RETURNED)
SERVICE_HOST = bytes((198, 18, 0, 1))


class RecordingReporter(reporting.Reporter):
    """Keep the lines of all processes."""

    def __init__(self, world: World, name: str) -> None:
        """Write under a process's name."""
        self._world = world
        self._name = name

    def note(self, event: str, **fields: typing.Any) -> None:
        """Keep one line."""
        self._world.lines.append((self._world.now, self._name, event, fields))


class Process(io_interface.IOInterface):
    """One balancer or agent in the world."""

    def __init__(
        self, world: World, host: str, server: packet_server.Server | None
    ) -> None:
        """Start a process."""
        self.world = world
        self.host = host
        self.server = server
        self.alive = True
        self.paused = False
        self._pending_inputs: list[tuple[bool, typing.Callable[[], None]]] = []
        options: dict[str, typing.Any] = {
            'host': host,
            'data_centre': server.data_centre if server else 'dc',
            'seeds': world.seeds,
            'io': self,
            'reporter': RecordingReporter(world, host),
            'randomness': random.Random(zlib.crc32(host.encode())),
            'now': world.now,
        }
        if world.in_force_s is not None:
            options['in_force_s'] = world.in_force_s
        if server is None:
            speed = world.links.get(host, world.link_mbps)
            if speed is not None:
                options['link_mbps'] = speed
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

    def handle_input(
        self, handle: typing.Callable[[], None], *, from_caller: bool = False
    ) -> None:
        """Handle an input, or keep it in the socket while paused."""
        if self.paused:
            self._pending_inputs.append((not from_caller, handle))
            return
        self.node.check_pause(self.world.now)
        handle()

    def resume(self) -> None:
        """End a pause; the socket of the callers is read first."""
        self.paused = False
        held, self._pending_inputs = self._pending_inputs, []
        for _, handle in sorted(held, key=lambda item: item[0]):
            self.handle_input(handle)

    def to_process(self, host: str, datagram: bytes) -> None:
        """Send to another process."""
        self.world.send_datagram(self.host, host, datagram)

    def to_caller(self, item: packet.Packet) -> None:
        """Send to a caller."""
        self.world.to_caller(item)

    def to_server(self, item: packet.Packet, token: bytes) -> None:
        """Give to the server."""
        assert self.server is not None
        server = self.server
        self.world.after(0.0001, lambda: server.receive(item, token))

    def reset_caller(self, item: packet.Packet) -> None:
        """Reset a flow."""
        self.world.record_reset(item.flow)
        self.world.to_caller(
            packet_codec.make_packet(item.flow, resetting=True)
        )

    def read_packet(self, raw: bytes) -> packet.Packet:
        """Decode."""
        return packet_codec.decode(raw)

    def original(self, item: packet.Packet) -> bytes:
        """Encode as it was."""
        return packet_codec.with_raw(
            item._replace(returned=False, token=bytes(4))
        ).raw

    def read_all(self) -> None:
        """Read the store."""
        self.world.store.call(self, None)

    def watch(self, revision: int) -> None:
        """Watch the store."""
        self.world.store.call(self, revision)


class World:
    """Everything at one moment of virtual time."""

    def __init__(
        self,
        *,
        balancers: int = 3,
        seed: int = 1,
        seeds: int = 2,
        link_mbps: float | None = None,
        in_force_s: float | None = None,
    ) -> None:
        """Start a store and balancers; servers come by :meth:`add_server`.

        :param link_mbps: speed of the balancers' links; any if not given.
        :param in_force_s: bound that processes are told; theirs if not given.
        """
        self.now = 100.0
        self.link_mbps = link_mbps
        self.in_force_s = in_force_s
        #: Speeds of single balancers' links; for those that start later.
        self.links: dict[str, float] = {}
        self._link_free_at: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        #: Bytes of control by sender and second, headers included.
        self.control_bytes: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.link_losses = 0
        self.random = random.Random(seed)
        self.lines: list[tuple[float, str, str, dict]] = []
        self.seeds = [f'10.0.0.{i + 1}' for i in range(seeds)]
        self.store = packet_store.Store(self)
        self.processes: dict[str, Process] = {}
        self.servers: dict[str, packet_server.Server] = {}
        self.cut: set[frozenset[str]] = set()
        self.loss = 0.0
        self.resets: list[tuple[float, bytes, bool]] = []
        self.requests: list[packet_caller.Request] = []
        self._flows: dict[bytes, packet_caller.Request] = {}
        self._ports = itertools.count(1024)
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._order = itertools.count()
        self._probe_misses: dict[str, int] = {}
        for index in range(balancers):
            self.start(f'10.0.0.{index + 1}')
        self.after(0.0, self._probe_balancers)

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

    def add_server(
        self, host: str, **options: typing.Any
    ) -> packet_server.Server:
        """Start a server with its agent, and register it."""
        server = self.servers[host] = packet_server.Server(
            self, host, **options
        )
        self.start(host)
        self.store.put(server)
        return server

    def balancers(self) -> list[Process]:
        """Return the balancers that run."""
        return [p for p in self.processes.values() if p.server is None]

    def _probe_balancers(self) -> None:
        """Let the fabric ask who is ready; two misses take out."""
        self.after(FABRIC_PROBE_S, self._probe_balancers)
        for process in self.balancers():
            ready = not process.paused and process.node.ready(self.now)
            misses = (
                0 if ready else self._probe_misses.get(process.host, 2) + 1
            )
            self._probe_misses[process.host] = misses
        for host in list(self._probe_misses):
            if host not in self.processes:
                self._probe_misses[host] += 1

    def send_datagram(self, source: str, host: str, datagram: bytes) -> None:
        """Carry a datagram between processes."""
        size = len(datagram) + HEADER_BYTES
        if datagram[1] not in CALLER_PACKET_KINDS:
            self.control_bytes[source, int(self.now)] += size
        delay_s = self._link_delay_s(source, size)
        if delay_s is None:
            return
        if frozenset((source, host)) in self.cut:
            return
        if self.loss and self.random.random() < self.loss:
            return
        self.after(
            delay_s + HOP_S * self.random.uniform(0.8, 1.2),
            lambda: self._deliver_datagram(source, host, datagram),
        )

    def _link_delay_s(self, source: str, size: int) -> float | None:
        """Return how long a datagram takes at its link, None if it is lost."""
        speed = self.links.get(source, self.link_mbps)
        if speed is None or source in self.servers:
            return 0.0
        free_at = max(self.now, self._link_free_at[source])
        if free_at - self.now > MAX_LINK_QUEUE_S:
            self.link_losses += 1
            return None
        free_at += BITS * size / (speed * 1e6)
        self._link_free_at[source] = free_at
        return free_at - self.now

    def _deliver_datagram(
        self, source: str, host: str, datagram: bytes
    ) -> None:
        process = self.processes.get(host)
        if process is not None:
            process.handle_input(
                lambda: process.node.on_datagram(datagram, source, self.now)
            )

    def from_caller(self, item: packet.Packet) -> None:
        """Let the fabric pass a caller's packet to a balancer."""
        hosts = [h for h, misses in self._probe_misses.items() if misses < 2]
        if not hosts:
            return
        host = max(
            hosts, key=lambda name: zlib.crc32(item.flow + name.encode()) ^ 7
        )
        self.after(CALLER_HOP_S, lambda: self._deliver_to_balancer(host, item))

    def _deliver_to_balancer(self, host: str, item: packet.Packet) -> None:
        process = self.processes.get(host)
        if process is not None:
            process.handle_input(
                lambda: process.node.on_packet(item, self.now),
                from_caller=True,
            )

    def from_server(self, host: str, item: packet.Packet) -> None:
        """Give a server's packet to its agent."""
        self.after(0.0001, lambda: self._deliver_to_agent(host, item))

    def _deliver_to_agent(self, host: str, item: packet.Packet) -> None:
        process = self.processes.get(host)
        if process is not None:
            process.handle_input(
                lambda: process.node.on_server_packet(item, self.now)
            )

    def to_caller(self, item: packet.Packet) -> None:
        """Carry a packet to its caller."""
        self.after(CALLER_HOP_S, lambda: self._deliver_to_caller(item))

    def _deliver_to_caller(self, item: packet.Packet) -> None:
        request = self._flows.get(item.flow)
        if request is not None:
            request.receive(item)

    def record_reset(self, flow: bytes) -> None:
        """Keep a reset of the system's own, and whether a server held it."""
        held = any(
            flow in server.flows and server.up
            for server in self.servers.values()
        )
        opened = self._flows[flow].opened if flow in self._flows else False
        self.resets.append((self.now, flow, held and opened))

    def new_flow(self, request: packet_caller.Request) -> bytes:
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

    def request(
        self, *, feed: bool = False, tries: int = 3
    ) -> packet_caller.Request:
        """Let a caller begin a request on a new flow."""
        request = packet_caller.Request(self, feed=feed, tries=tries)
        self.requests.append(request)
        return request

    def broken(self) -> list[tuple[float, bytes, bool]]:
        """Return resets of open flows whose server still held them."""
        return [reset for reset in self.resets if reset[2]]

    def events(self, event: str) -> list[dict[str, typing.Any]]:
        """Return the lines of an event."""
        return [line[3] for line in self.lines if line[2] == event]


def route(
    *services: tuple[str, int] | str,
    port: int = 443,
    kind: records.RequestKind = records.RequestKind.IDEMPOTENT,
    aim_ms: int = 150,
    priority: int = 1,
) -> records.Route:
    """Return a route to one service, or to several with weights."""
    choices = [
        records.ServiceChoice(*((item, 1) if isinstance(item, str) else item))
        for item in services
    ]
    return records.Route(
        SERVICE_HOST + port.to_bytes(2, 'big'),
        f'r-{port}',
        choices,
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
