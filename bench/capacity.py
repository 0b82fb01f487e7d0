"""Measure slopes of each role; write build/capacity.json.

Each point runs in a process of its own, so that memory of one doesn't show in
another. Times depend on the machine; sizes, messages and bytes do not.
"""

from __future__ import annotations

import asyncio
import collections
import gc
import itertools
import json
import pathlib
import random
import statistics
import subprocess
import sys
import time
import typing

import aiocoap

from bench import path
from bench import programs
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

#: The letter's size.
ADDRESSES = 22_000
TARGETS = 54_000
DAEMONS = 6_900
FRACTIONS = (0.125, 0.25, 0.5, 1.0)
MEMBERS = (50, 150, 450, 1150)
REQUESTS = (4_000, 8_000, 16_000, 32_000)
FLOWS = (2_000, 8_000, 32_000, 128_000)
SERVICE_SIZES = (2, 4, 8, 16)
SERVICES_PER_PART = 30
INSTANCES_PER_PART = 50
CHANGES = 20
SECONDS = 60.0
OUTPUT = pathlib.Path('build') / 'capacity.json'


def resident_mb() -> float:
    """Return the resident memory of this process now."""
    for line in pathlib.Path('/proc/self/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


def _parts(fraction: float) -> list[configuration.Document]:
    """Return register and rules of a share of the letter's size, in parts."""
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
    """Hold a share of the whole table in a balancer and change it."""
    base = resident_mb()
    documents = _parts(fraction)
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
    """Hold a share of the whole table in an agent, which routes little."""
    base = resident_mb()
    program = agent_application.AgentProgram(path._values(name='instance-5'))
    program._node.offer(_parts(fraction), 0.0, wall_s=0.0)
    gc.collect()
    return {
        'targets': TARGETS * fraction,
        'base_mb': base,
        'resident_mb': resident_mb(),
        'own_targets': len(program._agent.targets),
    }


def requests_point(count: int) -> dict[str, float]:
    """Hold feeds, and exchanges that may still be repeated."""
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
            exchange_table.begin(key + request.exchange, exchange)
            exchange_table.answered(exchange, bytes(60))
            exchange_table.use(number, key + request.exchange, 0.0)
        sizes.append(resident_mb() - before)
    return {
        'requests': count,
        'feeds_mb': sizes[0],
        'exchanges_mb': sizes[1],
    }


def membership_point(count: int) -> dict[str, float]:
    """Run one member among many that all answer."""
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
    chance = random.Random(2)
    names = list(others.values())
    # A member of the region has died and another has just started.
    dead = names[0]._replace(health=messages.Health.DEAD, counter=3)
    born = names[1]._replace(incarnation=10)
    rumour = messages.Ping(1, names[2], False, 1, 1, [dead, born])
    subject.on_message(rumour, now, heartbeat)
    began = time.process_time()
    aside = 0.0
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
            aside += time.process_time() - paused
            message = wire.unpack(answer, keys=[key])
            subject.on_message(message, now, heartbeat)
        if chance.random() < 0.05 * 2:
            ping = messages.Ping(7, chance.choice(names), False, 1, 1, [])
            packed = wire.pack(ping, key=key)
            message = wire.unpack(packed, keys=[key])
            for action in subject.on_message(message, now, heartbeat):
                packed = wire.pack(action.message, key=key)
                sizes['bytes'] += len(packed)
                sizes['messages'] += 1
    spent = time.process_time() - began - aside
    return {
        'members': count,
        'cpu_percent': 100 * spent / SECONDS,
        'bytes_per_s': sizes['bytes'] / SECONDS,
        'messages_per_s': sizes['messages'] / SECONDS,
    }


def flows_point(count: int) -> dict[str, float]:
    """Let one agent hold many flows and tick."""
    drive = world.World(world.PRAIRIE, seed=1)
    drive.run_until(2.0)
    node = drive.processes['dispatch-1'].node
    holder = node.find('dispatch').holder
    service = flow.Endpoint('10.9.0.1', 5683)
    gc.collect()
    before = resident_mb()
    for number in range(count):
        caller = flow.Endpoint(f'10.7.{number >> 14}.1', 1 + number % 16384)
        holder.adopt(flow.flow_key(caller, service))
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


def new_flows_point(targets: int) -> dict[str, float]:
    """Open new flows at services of growing size, through a change."""
    shape = world.Shape(
        'x', (('dispatch', targets),), 4, 0.001, 0.001, 'orders', 'dispatch'
    )
    drive = world.World(shape, seed=1)
    drive.run_until(6.0)
    agents = [n for n in drive.processes if n.startswith('dispatch')]
    sent: collections.Counter[str] = collections.Counter()
    send = drive._send_message

    def count(name: str, action: messages.ToPeer) -> None:
        packed = wire.pack(action.message, key=world.KEYS.seal[0])
        sent[type(action.message).__name__] += len(packed)
        send(name, action)

    drive._send_message = count
    drive.run_until(16.0)
    quiet = sum(sent.values()) / 10.0 / len(agents)
    before = sent.copy()
    for number in range(40 * targets):
        caller = drive.add_caller('dispatch')
        drive.schedule(number * 10.0 / (40 * targets), caller.ask, 'GET', 's')
    drive.run_until(27.0)
    busy = sum((sent - before).values()) / 11.0 / len(agents)
    return {
        'targets_of_service': targets,
        'quiet_bytes_per_s': quiet,
        'bytes_per_s_at_4_flows_per_s': busy,
    }


def packet_cost() -> dict[str, float]:
    """Return microseconds of one packet in each role, as notes."""
    packet = proxy_header.Packet(b'f' * 12, 1, 1, 0, 0, b'x' * 100)
    key = b'k' * 16
    began = time.process_time()
    for _ in range(20_000):
        packed = proxy_header.pack_internal(packet, key=key)
        proxy_header.read_internal(packed, keys=[key])
    return {'seal_and_open_us': (time.process_time() - began) / 20_000 * 1e6}


def fit(points: list[dict[str, float]], x: str, y: str) -> dict[str, float]:
    """Return slope, intercept and the largest relative error of a line."""
    # Imported here: its memory must not show in the points.
    import numpy

    xs = numpy.array([point[x] for point in points], dtype=float)
    ys = numpy.array([point[y] for point in points], dtype=float)
    slope, intercept = numpy.polyfit(xs, ys, 1)
    errors = abs(slope * xs + intercept - ys) / numpy.maximum(abs(ys), 1e-9)
    return {
        'x': x,
        'y': y,
        'slope': float(slope),
        'intercept': float(intercept),
        'largest_error': round(float(errors.max()), 3),
        'largest_size': float(xs.max()),
    }


def _child(part: str, size: float) -> dict[str, float]:
    output = subprocess.run(
        [sys.executable, '-m', 'bench.capacity', part, str(size)],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return json.loads(output)


PARTS: dict[str, tuple[tuple[float, ...], str, tuple[str, ...]]] = {
    'table': (FRACTIONS, 'targets', ('resident_mb', 'load_s', 'change_ms')),
    'agent_table': (FRACTIONS, 'targets', ('resident_mb',)),
    'requests': (REQUESTS, 'requests', ('feeds_mb', 'exchanges_mb')),
    'membership': (
        MEMBERS,
        'members',
        ('cpu_percent', 'bytes_per_s', 'messages_per_s'),
    ),
    'flows': (FLOWS, 'flows', ('resident_mb', 'tick_cpu_percent')),
    'new_flows': (
        SERVICE_SIZES,
        'targets_of_service',
        ('quiet_bytes_per_s', 'bytes_per_s_at_4_flows_per_s'),
    ),
}


def _one(part: str, size: float) -> dict[str, float]:
    match part:
        case 'table':
            return asyncio.run(table_point(size))
        case 'agent_table':
            return asyncio.run(agent_table_point(size))
        case 'requests':
            return requests_point(int(size))
        case 'membership':
            return membership_point(int(size))
        case 'flows':
            return flows_point(int(size))
    return new_flows_point(int(size))


def main() -> int:
    """Measure one point, or all of them."""
    if len(sys.argv) == 3:
        print(json.dumps(_one(sys.argv[1], float(sys.argv[2]))))
        return 0
    report: dict[str, typing.Any] = {}
    for part, (sizes, x, measures) in PARTS.items():
        points = [_child(part, size) for size in sizes]
        report[part] = {
            'points': points,
            'fits': [fit(points, x, y) for y in measures],
        }
        print(part)
        for point in points:
            print('  ', {k: round(v, 3) for k, v in point.items()})
    report['packet'] = packet_cost()
    report['idle'] = programs.idle()
    print('idle', report['idle'])
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(report, indent=1) + '\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
