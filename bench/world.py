"""Simulate clock, network, platform and processes in virtual time.

The simulation drives the decisions of the library only: it models no kernel,
no bytes on a wire and no hardware.
"""

from __future__ import annotations

import collections
import gzip
import heapq
import json
import random
import typing

from bench import consents
from bench import fake_codec
from bench import fakes
from bench import shapes
from teaseldock import agent
from teaseldock import balancer
from teaseldock import configuration
from teaseldock import context
from teaseldock import flow
from teaseldock import messages
from teaseldock import proxy_header
from teaseldock import roster
from teaseldock import wire

KEYS = context.Keys((b'k' * 16,), b'h' * 16)
TICK_S = 0.05
#: Seconds until a change at the platform reaches the processes, and seconds
#: between two reads of the live list.
PLATFORM_S = 0.01
LIST_S = 1.0
#: Length of the windows in which control traffic is summed, seconds.
CONTROL_WINDOW_S = 5.0
#: Number of datagrams that the socket of a paused process holds.
SOCKET_QUEUE = 2000
WALL_START_S = 1_000_000.0


class Process:
    """A simulated agent or balancer.

    :ivar queue: calls that wait in the socket while the process is paused.
    :ivar control: bytes of control traffic sent, by window.
    :ivar in_force: time at which each revision came into force.
    """

    def __init__(self, node: agent.Agent | balancer.Balancer) -> None:
        """Create a running process."""
        self.node = node
        self.alive = True
        self.paused_until = 0.0
        self.queue: list[tuple[typing.Callable, tuple]] = []
        self.control: collections.Counter[int] = collections.Counter()
        self.in_force: dict[int, float] = {}


class World:
    """A simulated deployment with its network, platform and callers.

    :ivar ran: requests that servers started.
    :ivar asked: final outcomes of requests at their callers.
    :ivar published: time at which each revision was published.
    :ivar listed: the live list of the platform.
    :ivar partition_of: number of the partition of each process, 0 if absent.
    :ivar loss: fraction of datagrams that are lost.
    :ivar duplicate: fraction of datagrams that are delivered twice.
    :ivar reads: number of reads from the platform.
    """

    def __init__(
        self,
        shape: shapes.Shape,
        *,
        seed: int,
        service_s: float = 0.02,
        balancers: int = 3,
    ) -> None:
        """Publish register and rules and start all processes at time zero.

        :param service_s: mean service time of a request, seconds.
        """
        self.shape = shape
        self.seed = seed
        self.service_s = service_s
        self.now = 0.0
        self.random = random.Random(seed)
        self.ran: list[fakes.RequestRun] = []
        self.asked: list[fakes.RequestOutcome] = []
        self.weights = {('POST', shape.guarded): 2.0}
        self.processes: dict[str, Process] = {}
        self.servers: dict[tuple[str, str], fakes.FakeServer] = {}
        self.callers: dict[bytes, fakes.FakeCaller] = {}
        self.documents: dict[str, configuration.Document] = {}
        self.published: dict[int, float] = {}
        self.listed: dict[str, roster.ListedInstance] = {}
        self.platform_up = True
        self.list_lag_s = 0.5
        self.partition_of: dict[str, int] = {}
        self.loss = 0.0
        self.duplicate = 0.0
        self.reads = 0
        self.consents = consents.ConsentLog()
        self.on_answer: typing.Callable | None = None
        self._events: list[tuple[float, int, typing.Callable, tuple]] = []
        self._sequence = 0
        self._revision = 0
        self._addresses: dict[tuple[str, int], str] = {}
        self._fabric: list[str] = []
        self._start_count = 0
        self.register, self.rules = shapes.documents(shape)
        self.publish('register', self.register)
        self.publish('rules', self.rules)
        for instance in self.register['instances']:
            self.start_instance(instance)
        for number in range(balancers):
            self.start_balancer(f'balancer-{number + 1}')
        self.schedule(LIST_S, self._read_list)

    def new_instance(self, name: str, number: int) -> dict[str, typing.Any]:
        """Return a register entry of this deployment."""
        return shapes.new_instance(self.shape, name, number)

    def schedule(
        self, delay: float, action: typing.Callable, *arguments: typing.Any
    ) -> None:
        """Schedule a call after a delay, in seconds."""
        self._sequence += 1
        heapq.heappush(
            self._events,
            (self.now + delay, self._sequence, action, arguments),
        )

    def run_until(self, end: float) -> None:
        """Run all events up to a virtual time."""
        while self._events and self._events[0][0] <= end:
            at, _, action, arguments = heapq.heappop(self._events)
            self.now = at
            action(*arguments)
        self.now = end

    def publish(self, key: str, content: typing.Any) -> int:
        """Publish a document as an operator and return its revision."""
        self._revision += 1
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        document = configuration.Document(key, self._revision, 'op', content)
        self.documents[key] = document
        self.published[self._revision] = self.now
        for name in list(self.processes):
            self.schedule(PLATFORM_S, self._on_platform_change, name)
        return self._revision

    def _on_platform_change(self, name: str) -> None:
        process = self.processes[name]
        if not process.alive or not self.platform_up:
            return
        if process.node.config.ready and not process.node.is_reader:
            return
        self.reads += 1
        self._deliver(name, self._offer, name, list(self.documents.values()))

    def set_platform(self, up: bool) -> None:
        """Make the platform available or unavailable."""
        self.platform_up = up
        for name in self.processes:
            self.schedule(PLATFORM_S, self._on_platform_change, name)

    def _offer(
        self, name: str, documents: list[configuration.Document]
    ) -> None:
        process = self.processes[name]
        wall_s = WALL_START_S + self.now
        actions = process.node.offer(documents, self.now, wall_s=wall_s)
        revision = process.node.config.generation
        process.in_force.setdefault(revision, self.now)
        self._perform(name, actions)

    def _read_list(self) -> None:
        self.schedule(LIST_S, self._read_list)
        listing = list(self.listed.values())
        self.schedule(self.list_lag_s, self._deliver_list, listing)

    def _deliver_list(self, listing: list[roster.ListedInstance]) -> None:
        if not self.platform_up:
            return
        self._fabric = [
            item.name
            for item in listing
            if item.role == roster.ROLE_BALANCER and not item.leaving_since
        ]
        for name, process in self.processes.items():
            if process.alive and process.node.is_reader:
                self.reads += 1
                self._deliver(name, self._offer_list, name, listing)

    def _offer_list(
        self, name: str, listing: list[roster.ListedInstance]
    ) -> None:
        node = self.processes[name].node
        self._perform(name, node.live_list(listing, self.now))

    def _new_member(
        self, name: str, role: str, centre: str, host: str
    ) -> messages.Member:
        self._start_count += 1
        incarnation = int((WALL_START_S + self.now) * 1000) + self._start_count
        return roster.new_member(
            name,
            role=role,
            data_centre=centre,
            host=host,
            port=5700,
            incarnation=incarnation,
        )

    def start_instance(self, instance: dict[str, typing.Any]) -> None:
        """Start the servers and the agent of an instance."""
        name = instance['name']
        for service in self.rules['services']:
            targets = {item['instance'] for item in service['targets']}
            if name in targets and (name, service['name']) not in self.servers:
                self.servers[name, service['name']] = fakes.FakeServer(
                    self,
                    name,
                    service['name'],
                    slots=instance['slots'],
                    service_s=self.service_s,
                    seed=self.random.randrange(1 << 30),
                )
        self.start_agent(instance)

    def start_agent(self, instance: dict[str, typing.Any]) -> None:
        """Start or restart the agent of an instance."""
        own = self._new_member(
            instance['name'],
            roster.ROLE_AGENT,
            instance['data_centre'],
            instance['address'],
        )
        node = agent.Agent(
            own=own,
            codec=fake_codec.FakeCodec(),
            keys=KEYS,
            randomness=random.Random(self.random.randrange(1 << 30)),
            now=self.now,
        )
        self._add_process(own, node)

    def start_balancer(self, name: str) -> None:
        """Start a balancer."""
        number = int(name.rsplit('-', 1)[1])
        own = self._new_member(
            name,
            roster.ROLE_BALANCER,
            f'dc-{number % 3}',
            f'10.2.{number >> 8}.{number & 255}',
        )
        node = balancer.Balancer(
            own=own,
            hash_key=KEYS.flow_hash,
            randomness=random.Random(self.random.randrange(1 << 30)),
            now=self.now,
        )
        self._add_process(own, node)
        if self.now == 0.0:
            self._fabric.append(name)

    def _add_process(
        self,
        own: messages.Member,
        node: agent.Agent | balancer.Balancer,
    ) -> None:
        self.processes[own.name] = Process(node)
        self._addresses[own.host, own.port] = own.name
        self.listed[own.name] = roster.ListedInstance(
            own.name, own.role, own.data_centre, own.host, own.port, 0
        )
        self.schedule(PLATFORM_S, self._on_platform_change, own.name)
        self.schedule(
            self.random.random() * TICK_S, self._tick, own.name, node
        )
        if self.platform_up:
            listing = list(self.listed.values())
            self.schedule(PLATFORM_S, self._offer_list, own.name, listing)

    def _tick(self, name: str, node: typing.Any) -> None:
        process = self.processes[name]
        if process.node is not node or not process.alive:
            return
        if self.now < process.paused_until:
            self.schedule(
                process.paused_until - self.now, self._tick, name, node
            )
            return
        self.schedule(node.tick_interval(self.now), self._tick, name, node)
        waiting, process.queue = process.queue, []
        self._perform(name, node.tick(self.now))
        for action, arguments in waiting:
            action(*arguments)

    def kill(self, name: str) -> None:
        """Kill a process without a graceful stop."""
        self.processes[name].alive = False

    def kill_instance(self, name: str) -> None:
        """Kill the agent and the servers of an instance."""
        self.kill(name)
        for (instance, _), server in self.servers.items():
            if instance == name:
                server.crash()

    def pause(self, name: str, seconds: float) -> None:
        """Pause a process; datagrams for it wait in its socket."""
        self.processes[name].paused_until = self.now + seconds

    def leave(self, name: str) -> None:
        """Stop a process gracefully, as SIGTERM does."""
        node = self.processes[name].node
        self._perform(name, node.leave(self.now))
        self.schedule(0.5, self._stop_when_drained, name, self.now)

    def _stop_when_drained(self, name: str, since: float) -> None:
        process = self.processes[name]
        done = self.now - since >= agent.LINGER_S
        if isinstance(process.node, agent.Agent):
            done = done and process.node.drained(self.now)
        if done:
            self.kill(name)
            return
        self.schedule(0.5, self._stop_when_drained, name, since)

    def list_leaving(self, name: str) -> None:
        """Mark an instance as leaving on the live list."""
        at = int((WALL_START_S + self.now) * 1000) + 100_000
        self.listed[name] = self.listed[name]._replace(leaving_since=at)

    def part(self, names: typing.Iterable[str]) -> None:
        """Partition some processes from the others; callers reach all."""
        self.partition_of = dict.fromkeys(names, 1)

    def _reaches(self, sender: str, receiver: str) -> bool:
        return self.partition_of.get(sender, 0) == self.partition_of.get(
            receiver, 0
        )

    def _deliver(
        self, name: str, action: typing.Callable, *arguments: typing.Any
    ) -> None:
        """Call a handler of a process; queue the call during a pause."""
        process = self.processes.get(name)
        if process is None or not process.alive:
            return
        if self.now < process.paused_until:
            if len(process.queue) < SOCKET_QUEUE:
                process.queue.append((action, arguments))
            return
        action(*arguments)

    def _perform(
        self, name: str, actions: typing.Iterable[messages.Action]
    ) -> None:
        for action in actions:
            match action:
                case messages.ToPeer():
                    self._send_message(name, action)
                case messages.ToAgent():
                    self._send_packet(name, action)
                case messages.ToCaller():
                    self._transmit(
                        self.shape.client_s + self.shape.hop_s,
                        self._to_caller,
                        action.flow,
                        action.payload,
                    )
                case messages.ToServer():
                    server = self.servers.get((name, action.service))
                    if server is not None:
                        server.receive(action.call, action.body)
                case messages.FetchDocuments():
                    self._fetch(name, action)

    def _transmit(
        self, delay: float, action: typing.Callable, *arguments: typing.Any
    ) -> None:
        if self.loss and self.random.random() < self.loss:
            return
        self.schedule(delay, action, *arguments)
        if self.duplicate and self.random.random() < self.duplicate:
            extra = self.random.random() * 0.05
            self.schedule(delay + extra, action, *arguments)

    def _send_message(self, name: str, action: messages.ToPeer) -> None:
        message = action.message
        if not isinstance(message, (messages.Execute, messages.Executed)):
            size = len(wire.pack(message, key=KEYS.seal[0]))
            window = int(self.now / CONTROL_WINDOW_S)
            self.processes[name].control[window] += size
        receiver = self._addresses.get((action.host, action.port))
        if receiver is None or not self._reaches(name, receiver):
            return
        self.consents.record_message(name, receiver, message, self.now)
        self._transmit(
            self.shape.hop_s,
            self._deliver,
            receiver,
            self._on_message,
            receiver,
            message,
        )

    def _on_message(self, name: str, message: typing.NamedTuple) -> None:
        node = self.processes[name].node
        self._perform(name, node.on_message(message, self.now))

    def _send_packet(self, name: str, action: messages.ToAgent) -> None:
        receiver = self._addresses.get((action.host, action.port))
        if receiver is None or not self._reaches(name, receiver):
            return
        self._transmit(
            self.shape.hop_s,
            self._deliver,
            receiver,
            self._on_packet,
            receiver,
            action.packet,
        )

    def _on_packet(self, name: str, packet: proxy_header.Packet) -> None:
        node = self.processes[name].node
        if node.ready and isinstance(node, agent.Agent):
            self._perform(name, node.on_packet(packet, self.now))

    def _fetch(self, name: str, action: messages.FetchDocuments) -> None:
        source = self._addresses.get((action.host, action.port))
        if source is None or not self._reaches(name, source):
            return
        peer = self.processes[source]
        if not peer.alive or self.now < peer.paused_until:
            return
        held = self.processes[name].node.config.held()
        documents = peer.node.config.documents_missing_from(held)
        window = int(self.now / CONTROL_WINDOW_S)
        peer.control[window] += _documents_bytes(documents)
        self.schedule(
            3 * self.shape.hop_s,
            self._deliver,
            name,
            self._offer,
            name,
            documents,
        )

    def from_caller(self, flow_key: bytes, payload: bytes) -> None:
        """Deliver a caller's datagram to a random balancer."""
        if not self._fabric:
            return
        name = self.random.choice(self._fabric)
        self._transmit(
            self.shape.client_s,
            self._deliver,
            name,
            self._through_balancer,
            name,
            flow_key,
            payload,
        )

    def _through_balancer(
        self, name: str, flow_key: bytes, payload: bytes
    ) -> None:
        node = self.processes[name].node
        if not node.ready:
            return
        route = node.router.route(flow_key)
        if route is None:
            return
        service = node.view.table.service_at(
            flow.packed_service_endpoint(flow_key)
        )
        packet = proxy_header.Packet(
            flow_key,
            service.number,
            node.view.generation,
            proxy_header.Role.OWNER,
            0,
            payload,
        )
        self._send_packet(name, messages.ToAgent(*route.address, packet))

    def _to_caller(self, flow_key: bytes, payload: bytes) -> None:
        caller = self.callers.get(flow_key)
        if caller is not None:
            caller.receive(payload)

    def from_server(self, instance: str, service: str, payload: bytes) -> None:
        """Deliver a server's datagram to the agent of its instance."""
        self._deliver(instance, self._on_server, instance, service, payload)

    def _on_server(self, instance: str, service: str, payload: bytes) -> None:
        node = self.processes[instance].node
        reply = fake_codec.FakeCodec().read_server(payload)
        actions = node.on_server_reply(service, reply, self.now)
        self._perform(instance, actions)

    def server_refused(self, instance: str, service: str) -> None:
        """Notify the agent that no server listens."""
        self._deliver(instance, self._on_server_lost, instance, service)

    def _on_server_lost(self, instance: str, service: str) -> None:
        node = self.processes[instance].node
        self._perform(instance, node.server_lost(service, self.now))

    def add_caller(self, service: str) -> fakes.FakeCaller:
        """Add a caller of a service, which has a flow of its own."""
        number = len(self.callers) + 1
        entry = next(s for s in self.rules['services'] if s['name'] == service)
        endpoint = flow.Endpoint(entry['address'], entry['port'])
        source = flow.Endpoint(
            f'10.8.{number >> 8}.{number & 255}', 1024 + number % 60000
        )
        key = flow.flow_key(source, endpoint)
        caller = fakes.FakeCaller(self, number, service, key)
        self.callers[key] = caller
        return caller

    def answered(
        self, caller: fakes.FakeCaller, outcome: str, retry_after_s: int
    ) -> None:
        """Pass a final answer to ``on_answer``, if set."""
        if self.on_answer is not None:
            self.on_answer(caller, outcome, retry_after_s)

    def holders(self, caller: fakes.FakeCaller) -> list[str]:
        """Return the names of live agents that hold a caller's flow."""
        found = []
        for name, process in self.processes.items():
            if not process.alive or not isinstance(process.node, agent.Agent):
                continue
            for item in process.node.targets:
                if caller.flow in item.holder.flows:
                    found.append(name)
        return found


def _documents_bytes(documents: list[configuration.Document]) -> int:
    """Return the transfer size of documents between two processes."""
    content = b''.join(item.content for item in documents)
    return len(gzip.compress(content, 1, mtime=0)) + 60 * len(documents)
