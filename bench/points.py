"""Measure single points of the capacity curves.

Each point runs in a separate process.
"""

from __future__ import annotations

import collections
import gc
import itertools
import json
import pathlib
import random
import statistics
import time
import typing

import aiocoap

from bench import path
from bench import shapes
from bench import world
from teaseldock.codecs import coap
from teaseldock import configuration
from teaseldock import exchanges
from teaseldock import feeds
from teaseldock import flow
from teaseldock import membership
from teaseldock import messages
from teaseldock import proxy_header
from teaseldock import roster
from teaseldock import wire
from teaseldock_agent import application as agent_application
from teaseldock_balancer import application as balancer_application
from teaseldock_edge import traffic

#: Required size of the system: service addresses, targets and instances.
ADDRESSES = 22_000
TARGETS = 54_000
DAEMONS = 6_900
SERVICES_PER_PART = 30
INSTANCES_PER_PART = 50
CHANGES = 20
CHANGES_SPREAD = 6
SECONDS = 60.0


def resident_mb() -> float:
    """Return the resident memory of this process in MiB."""
    for line in pathlib.Path('/proc/self/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


def _documents_in_parts(fraction: float) -> list[configuration.Document]:
    """Return register and rules in parts, at a fraction of required size."""
    instances = max(50, int(DAEMONS * fraction))
    services = int(ADDRESSES * fraction)
    targets_each = TARGETS / ADDRESSES
    documents = []
    revision = itertools.count(1)

    def add(key: str, content: typing.Any) -> None:
        text = json.dumps(content, separators=(',', ':')).encode()
        documents.append(
            configuration.Document(key, next(revision), 'bench', text)
        )

    centres = [{'name': f'dc-{n}', 'region': f'r-{n % 6}'} for n in range(15)]
    add('register.centres', {'data_centres': centres, 'instances': []})
    for start in range(0, instances, INSTANCES_PER_PART):
        chosen = range(start, min(instances, start + INSTANCES_PER_PART))
        add(
            f'register.{start}',
            {
                'data_centres': [],
                'instances': [
                    {
                        'name': f'instance-{n}',
                        'data_centre': f'dc-{n % 15}',
                        'address': f'10.1.{n >> 8}.{n & 255}',
                        'peer_port': 5700,
                        'slots': 4,
                        'connections': 2000,
                    }
                    for n in chosen
                ],
            },
        )
    for start in range(0, services, SERVICES_PER_PART):
        chosen = range(start, min(services, start + SERVICES_PER_PART))
        add(
            f'rules.{start}',
            _rules_part(chosen, instances, targets_each),
        )
    return documents


def _rules_part(
    chosen: range, instances: int, targets_each: float
) -> dict[str, typing.Any]:
    services = []
    for n in chosen:
        first = int(n * targets_each)
        last = max(first + 1, int((n + 1) * targets_each))
        services.append(
            {
                'name': f'service-{n}',
                'address': f'10.9.{n >> 8}.{n & 255}',
                'port': 5683,
                'targets': [
                    {
                        'instance': f'instance-{t % instances}',
                        'port': 6000 + t // instances,
                        'weight': 1.0,
                    }
                    for t in range(first, last)
                ],
                'request_classes': [],
            }
        )
    return {'services': services, 'leaving': []}


async def table_point(fraction: float) -> dict[str, float]:
    """Load a fraction of the required table in a balancer and change it."""
    base = resident_mb()
    documents = _documents_in_parts(fraction)
    largest = max(len(item.content) for item in documents)
    program = balancer_application.BalancerProgram(
        path._values(name='balancer-1')
    )
    began = time.process_time()
    program._node.offer(documents, 0.0, wall_s=0.0)
    load_s = time.process_time() - began
    router = program._balancer.router
    services = int(ADDRESSES * fraction)
    caller = flow.Endpoint('10.8.0.1', 1)
    for number in range(services):
        service = flow.Endpoint(f'10.9.{number >> 8}.{number & 255}', 5683)
        router.route(flow.flow_key(caller, service))
    del documents[:]
    gc.collect()
    held = resident_mb()
    times = []
    parts = [
        item
        for item in program._node.config.documents()
        if item.key.startswith('rules.')
    ]
    for index in range(CHANGES):
        part = parts[index % len(parts)]
        content = json.loads(part.content)
        content['services'][0]['targets'][0]['weight'] = 2.0 + index
        changed = part._replace(
            revision=1_000_000 + index, content=json.dumps(content).encode()
        )
        began = time.process_time()
        program._node.offer([changed], 1.0, wall_s=1.0)
        times.append(time.process_time() - began)
    return {
        'targets': TARGETS * fraction,
        'base_mb': base,
        'resident_mb': held,
        'load_s': load_s,
        'change_ms': 1000 * statistics.median(times),
        'part_bytes': largest,
    }


async def agent_table_point(fraction: float) -> dict[str, float]:
    """Load a fraction of the required table in an agent.

    An agent routes little.
    """
    base = resident_mb()
    program = agent_application.AgentProgram(path._values(name='instance-5'))
    program._node.offer(_documents_in_parts(fraction), 0.0, wall_s=0.0)
    gc.collect()
    return {
        'targets': TARGETS * fraction,
        'base_mb': base,
        'resident_mb': resident_mb(),
        'own_targets': len(program._agent.targets),
    }


def requests_point(count: int) -> dict[str, float]:
    """Store feeds, and exchanges that callers may still retransmit."""
    message = aiocoap.Message(code=aiocoap.GET, payload=b'x' * 20)
    message.opt.uri_path = ('status', 'truck-17')
    message.mtype = aiocoap.CON
    codec = coap.CoapCodec()
    service = flow.Endpoint('10.9.0.1', 5683)
    feed_table = feeds.FeedTable()
    exchange_table = exchanges.ExchangeTable()
    gc.collect()
    sizes = []
    for kind in ('feed', 'exchange'):
        before = resident_mb()
        for number in range(count):
            caller = flow.Endpoint(
                f'10.7.{number >> 14}.1', 1 + number % 16384
            )
            key = flow.flow_key(caller, service)
            message.mid = number % 65536
            message.token = number.to_bytes(4, 'big')
            request = codec.read_caller(message.encode())
            if kind == 'feed':
                feed_table.add(number, feeds.FeedState(key, request, 1))
                continue
            exchange = exchanges.Exchange(key, request.body, 0.0, guarded=True)
            exchange_table.add(key + request.exchange, exchange)
            exchange_table.store_answer(exchange, bytes(60))
            exchange_table.use_nonce(number, key + request.exchange, 0.0)
        sizes.append(resident_mb() - before)
    return {
        'requests': count,
        'feeds_mb': sizes[0],
        'exchanges_mb': sizes[1],
    }


def membership_point(count: int) -> dict[str, float]:
    """Run the failure detector of one member; all others answer."""
    own = roster.new_member(
        'own', role='agent', data_centre='d', host='h', port=1, incarnation=9
    )
    subject = membership.Membership(
        own=own, randomness=random.Random(1), now=0.0
    )
    others = {
        f'10.0.{n >> 8}.{n & 255}': roster.new_member(
            f'instance-{n}',
            role='agent',
            data_centre='d',
            host=f'10.0.{n >> 8}.{n & 255}',
            port=1,
            incarnation=5,
        )
        for n in range(count)
    }
    heartbeat = membership.Heartbeat(1, 1)
    key = b'k' * 16
    sizes: collections.Counter[str] = collections.Counter()
    now = 0.0
    for member in others.values():
        ping = messages.Ping(1, member, False, 1, 1, [])
        subject.on_message(ping, now, heartbeat)
    generator = random.Random(2)
    names = list(others.values())
    # A member of the region has died and another has just started.
    dead = names[0]._replace(health=messages.Health.DEAD, counter=3)
    restarted = names[1]._replace(incarnation=10)
    rumour = messages.Ping(1, names[2], False, 1, 1, [dead, restarted])
    subject.on_message(rumour, now, heartbeat)
    began = time.process_time()
    excluded_s = 0.0
    while now < SECONDS:
        now += 0.05
        for action in subject.tick(now, heartbeat):
            packed = wire.pack(action.message, key=key)
            sizes['bytes'] += len(packed)
            sizes['messages'] += 1
            paused = time.process_time()
            answer = wire.pack(
                messages.Ack(
                    action.message.sequence, others[action.host], 1, 1, []
                ),
                key=key,
            )
            excluded_s += time.process_time() - paused
            message = wire.unpack(answer, keys=[key])
            subject.on_message(message, now, heartbeat)
        if generator.random() < 0.05 * 2:
            ping = messages.Ping(7, generator.choice(names), False, 1, 1, [])
            packed = wire.pack(ping, key=key)
            message = wire.unpack(packed, keys=[key])
            for action in subject.on_message(message, now, heartbeat):
                packed = wire.pack(action.message, key=key)
                sizes['bytes'] += len(packed)
                sizes['messages'] += 1
    spent = time.process_time() - began - excluded_s
    return {
        'members': count,
        'cpu_percent': 100 * spent / SECONDS,
        'bytes_per_s': sizes['bytes'] / SECONDS,
        'messages_per_s': sizes['messages'] / SECONDS,
    }


def flows_point(count: int) -> dict[str, float]:
    """Hold many flows in one agent and run its ticks."""
    simulation = world.World(shapes.PRAIRIE, seed=1)
    simulation.run_until(2.0)
    node = simulation.processes['dispatch-1'].node
    holder = node.find('dispatch').holder
    service = flow.Endpoint('10.9.0.1', 5683)
    gc.collect()
    before = resident_mb()
    for number in range(count):
        caller = flow.Endpoint(f'10.7.{number >> 14}.1', 1 + number % 16384)
        holder.add_flow(flow.flow_key(caller, service))
    held = resident_mb() - before
    began = time.process_time()
    now = 2.0
    for _ in range(200):
        now += 0.05
        for item in node.targets:
            item.tick(now)
    spent = time.process_time() - began
    return {
        'flows': count,
        'resident_mb': held,
        'tick_cpu_percent': 100 * spent / 10.0,
    }


def new_flows_point(targets: int, rate: float = 4.0) -> dict[str, float]:
    """Open new flows; measure control traffic and CPU time of the agents.

    :param targets: number of targets of the service.
    :param rate: new flows per second and target.
    """
    shape = shapes.Shape(
        'x', (('dispatch', targets),), 4, 0.001, 0.001, 'orders', 'dispatch'
    )
    simulation = world.World(shape, seed=1)
    simulation.run_until(6.0)
    agents = [n for n in simulation.processes if n.startswith('dispatch')]
    sent: collections.Counter[str] = collections.Counter()
    spent: collections.Counter[str] = collections.Counter()
    send = simulation._send_message
    handle = simulation._on_packet

    def count(name: str, action: messages.ToPeer) -> None:
        if not isinstance(action.message, traffic.DATA_MESSAGES):
            packed = wire.pack(action.message, key=world.KEYS.seal[0])
            sent['bytes'] += len(packed)
        send(name, action)

    def measure(name: str, packet: proxy_header.Packet) -> None:
        began = time.process_time()
        handle(name, packet)
        spent['seconds'] += time.process_time() - began

    simulation._send_message = count
    simulation._on_packet = measure
    simulation.run_until(16.0)
    quiet = sent['bytes'] / 10.0 / len(agents)
    before = sent['bytes']
    flows = int(10 * rate * targets)
    for number in range(flows):
        caller = simulation.add_caller('dispatch')
        simulation.schedule(number * 10.0 / flows, caller.ask, 'GET', 's')
    simulation.run_until(27.0)
    return {
        'targets_of_service': targets,
        'flows_per_s': rate,
        'quiet_bytes_per_s': quiet,
        'busy_bytes_per_s': (sent['bytes'] - before) / 11.0 / len(agents),
        'us_per_new_flow': 1e6 * spent['seconds'] / flows,
    }


def spreading_point(processes: int) -> dict[str, float]:
    """Publish changes to many processes of one region."""
    shape = shapes.Shape(
        'x', (('dispatch', 3),), 2, 0.0015, 0.003, 'orders', 'dispatch'
    )
    simulation = world.World(shape, seed=1, balancers=processes - 3)
    simulation.run_until(30.0)
    reads = simulation.reads
    longest = 0.0
    for step in range(CHANGES_SPREAD):
        simulation.rules['leaving'] = [f'dispatch-{step % 2 + 1}']
        revision = simulation.publish('rules', simulation.rules)
        began = simulation.now
        simulation.run_until(began + 5.0)
        for process in simulation.processes.values():
            at = process.in_force.get(revision, float('inf'))
            longest = max(longest, at - began)
    windows = range(6, 6 + CHANGES_SPREAD)
    return {
        'processes': processes,
        'in_force_s_max': longest,
        'reads_for_each_change': (simulation.reads - reads) / CHANGES_SPREAD,
        'control_bytes_per_s_max': max(
            process.control[window]
            for process in simulation.processes.values()
            for window in windows
        )
        / world.CONTROL_WINDOW_S,
    }


def packet_cost() -> dict[str, float]:
    """Return the microseconds to seal and open a packet, for information."""
    packet = proxy_header.Packet(b'f' * 12, 1, 1, 0, 0, b'x' * 100)
    key = b'k' * 16
    began = time.process_time()
    for _ in range(20_000):
        packed = proxy_header.pack_internal(packet, key=key)
        proxy_header.read_internal(packed, keys=[key])
    return {'seal_and_open_us': (time.process_time() - began) / 20_000 * 1e6}
