"""Compare the data path of the programs with a bare forwarding loop.

Both are timed alternately in the same run. Datagrams are written to a
socket in batches. Only the time in which the program receives, decides and
sends is counted. The bare loop receives and sends the same datagrams without
any processing in between.
"""

from __future__ import annotations

import asyncio
import gc
import json
import random
import socket
import statistics
import time
import tracemalloc
import typing

import aiocoap

from bench import shapes
from bench import world
from teaseldock import flow
from teaseldock import inventory
from teaseldock import merge
from teaseldock import proxy_header
from teaseldock import table
from teaseldock_agent import application as agent_application
from teaseldock_balancer import application as balancer_application

BATCH = 100
ROUNDS = 150
PAYLOAD = b'x' * 100
FLOWS_HELD = 200_000
TABLE_SIZES = (10, 1_000, 54_000)
#: Targets of each service in the tables that are timed.
TARGETS_PER_SERVICE = 2
_KEY = '00' * 16


def _sink() -> socket.socket:
    """Return a socket that accepts datagrams and never reads them."""
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    sink.bind(('127.0.0.1', 0))
    return sink


def _values(**overrides: typing.Any) -> dict[str, typing.Any]:
    unused = flow.Endpoint('127.0.0.1', 1)
    return {
        'name': 'dispatch-1',
        'data-centre': 'dc-1',
        'peer': unused,
        'admin': unused,
        'listen': unused,
        'fabric': unused,
        'platform': 'http://127.0.0.1:1',
        'seal-keys': (bytes.fromhex(_KEY),),
        'hash-key': (bytes.fromhex(_KEY),),
        'peers': [],
        'list-interval': 1.0,
        'start-spread': 0.0,
        'stop-limit': 1.0,
        'linger': 1.0,
        **overrides,
    }


def _documents(sink: socket.socket) -> list[typing.Any]:
    """Return register and rules in which every agent has the sink's port."""
    simulation = world.World(shapes.PRAIRIE, seed=1)
    port = sink.getsockname()[1]
    for number, instance in enumerate(simulation.register['instances']):
        instance['address'] = f'127.0.1.{number + 1}'
        instance['peer_port'] = port
    simulation.publish('register', simulation.register)
    return list(simulation.documents.values())


class _SocketPair:
    """A socket that is read, and a connected one that writes to it."""

    def __init__(self) -> None:
        self.inner = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.inner.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_000_000)
        self.inner.setblocking(False)
        self.inner.bind(('127.0.0.1', 0))
        self.outer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.outer.connect(self.inner.getsockname())

    def fill(self, datagrams: list[bytes]) -> None:
        """Send a batch to the socket that is read."""
        for datagram in datagrams:
            self.outer.send(datagram)


def _time_bare_loop(pair: _SocketPair, destination: tuple[str, int]) -> float:
    began = time.perf_counter()
    while True:
        try:
            datagram, _ = pair.inner.recvfrom(65535)
        except BlockingIOError:
            break
        pair.inner.sendto(datagram, destination)
    return time.perf_counter() - began


def _time_handler(pair: _SocketPair, handle: typing.Callable) -> float:
    began = time.perf_counter()
    while True:
        try:
            datagram, address = pair.inner.recvfrom(65535)
        except BlockingIOError:
            break
        handle(datagram, address)
    return time.perf_counter() - began


def _plain_packets() -> list[bytes]:
    generator = random.Random(5)
    service = flow.Endpoint('10.9.0.1', 5683)
    return [
        proxy_header.pack_plain(
            flow.flow_key(
                flow.Endpoint('10.8.0.1', generator.randrange(1024, 65535)),
                service,
            ),
            PAYLOAD,
        )
        for _ in range(BATCH)
    ]


def _balancer_ratio() -> float:
    """Return the packet rate of the balancer over that of the bare loop."""
    sink = _sink()
    destination = sink.getsockname()
    program = balancer_application.BalancerProgram(_values(name='balancer-1'))
    program._offer(_documents(sink))
    program._node._caught_up = True
    datagrams = _plain_packets()
    ratios = []
    pair = _SocketPair()
    for _ in range(ROUNDS):
        pair.fill(datagrams)
        bare = _time_bare_loop(pair, destination)
        pair.fill(datagrams)
        ratios.append(bare / _time_handler(pair, program.on_datagram))
    return statistics.median(ratios)


class _NullLink:
    """Send requests for the server to the sink."""

    endpoint = None

    def __init__(
        self, sender: socket.socket, destination: tuple[str, int]
    ) -> None:
        self._sender = sender
        self._destination = destination
        self.calls: list[int] = []

    def send(self, datagram: bytes, *, call: int) -> None:
        """Send a datagram to the sink and record its call."""
        self._sender.sendto(datagram, self._destination)
        self.calls.append(call)

    def tick(self, now: float, *, busy: bool) -> None:
        """Do nothing."""


def _agent_ratio() -> float:
    """Return the request rate of the agent over that of a bare loop.

    For each request the agent receives a packet, sends a datagram to the
    server, receives its answer and sends a datagram to the caller. The bare
    loop forwards two datagrams.
    """
    sink = _sink()
    destination = sink.getsockname()
    program = agent_application.AgentProgram(_values(fabric=destination))
    program._offer(_documents(sink))
    program._node._caught_up = True
    item = program._agent.find('dispatch')
    item.holder._executor.set_slots(10_000)
    item.holder._executor._started_at -= 60.0
    link = _NullLink(program._peer.raw, destination)
    program._links['dispatch'] = link
    service = flow.Endpoint('10.9.0.1', 5683)
    key = flow.flow_key(flow.Endpoint('10.8.0.1', 4000), service)
    item.holder.add_flow(key)
    item.holder.mark_verified(key)
    ratios = []
    pair = _SocketPair()
    mid = 0
    for _ in range(ROUNDS):
        packets = []
        for _ in range(BATCH // 2):
            mid += 1
            packets.append(_get_request_packet(key, item.service.number, mid))
        pair.fill(packets)
        bare = _time_bare_loop(pair, destination)
        pair.fill(packets)
        bare += _time_bare_loop(pair, destination)
        pair.fill(packets)
        spent = _time_handler(pair, program._on_peer)
        answers = [_answer(call) for call in link.calls]
        link.calls.clear()
        pair.fill(answers)
        spent += _time_handler(
            pair,
            lambda datagram, address: program._on_server('dispatch', datagram),
        )
        ratios.append(bare / spent)
    return statistics.median(ratios)


def _get_request_packet(key: bytes, number: int, mid: int) -> bytes:
    message = aiocoap.Message(code=aiocoap.GET, payload=b'x' * 40)
    message.opt.uri_path = ('status',)
    message.mtype = aiocoap.CON
    message.mid = mid % 65536
    message.token = mid.to_bytes(4, 'big')
    packet = proxy_header.Packet(
        key, number, 1, proxy_header.Role.HOLDER, 0, message.encode()
    )
    return proxy_header.pack_internal(packet, key=bytes.fromhex(_KEY))


def _answer(call: int) -> bytes:
    message = aiocoap.Message(code=aiocoap.CONTENT, payload=b'y' * 40)
    message.mtype = aiocoap.NON
    message.mid = call % 65536
    message.token = call.to_bytes(8, 'big')
    return message.encode()


def bytes_per_flow() -> float:
    """Return the mean memory of a held flow among many, in bytes."""
    simulation = world.World(shapes.PRAIRIE, seed=1)
    simulation.run_until(1.0)
    holder = simulation.processes['dispatch-1'].node.find('dispatch').holder
    service = flow.Endpoint('10.9.0.1', 5683)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(FLOWS_HELD):
        caller = flow.Endpoint(f'10.7.{number >> 14}.1', 1 + number % 16384)
        holder.add_flow(flow.flow_key(caller, service))
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / FLOWS_HELD


def build_inventory(targets: int) -> inventory.Inventory:
    """Return a validated inventory, with two targets for each service."""
    services = max(1, targets // TARGETS_PER_SERVICE)
    instances = max(2, targets // 8)
    register = {
        'data_centres': [{'name': 'dc', 'region': 'r'}],
        'instances': [
            {
                'name': f'i-{n}',
                'data_centre': 'dc',
                'address': f'10.{n >> 16}.{n >> 8 & 255}.{n & 255}',
                'peer_port': 5700,
                'slots': 2,
                'connections': 2000,
            }
            for n in range(instances)
        ],
    }
    rules = {
        'services': [
            {
                'name': f's-{n}',
                'address': f'11.{n >> 16}.{n >> 8 & 255}.{n & 255}',
                'port': 5683,
                'targets': [
                    {
                        'instance': f'i-{(n + k) % instances}',
                        'port': 1 + n % 8,
                        'weight': 1.0,
                    }
                    for k in range(TARGETS_PER_SERVICE)
                ],
                'request_classes': [],
            }
            for n in range(services)
        ],
        'leaving': [],
    }
    return merge.inventory_from_parts([register], [rules])


def table_times() -> dict[str, float]:
    """Return milliseconds to build a table and to change one service."""
    times = {}
    for targets in TABLE_SIZES:
        contents = build_inventory(targets)
        began = time.perf_counter()
        built = table.Table(contents)
        for name in contents.services:
            built.service(name)
        times[f'build_ms_{targets}'] = 1000 * (time.perf_counter() - began)
        name = next(iter(contents.services))
        changed = dict(contents.services)
        changed[name] = {**changed[name], 'port': 9}
        began = time.perf_counter()
        table.Table(contents._replace(services=changed), built).service(name)
        times[f'change_ms_{targets}'] = 1000 * (time.perf_counter() - began)
    return times


async def _measure_ratios() -> dict[str, float]:
    figures = {
        'balancer_over_bare': _balancer_ratio(),
        'agent_requests_over_bare': _agent_ratio(),
    }
    return figures


def measure() -> dict[str, float]:
    """Return ratios and sizes, and times for information."""
    figures = asyncio.run(_measure_ratios())
    figures['bytes_per_flow'] = bytes_per_flow()
    figures.update(table_times())
    return {name: round(value, 3) for name, value in figures.items()}


if __name__ == '__main__':
    print(json.dumps(measure(), indent=1))
