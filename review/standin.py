"""Stand-ins of the platform for the scripts of the review.

A store, a router, targets and clients as the users' pages tell them, and the
project's own programs as separate processes with the commands of the deploy
file. Everything is on loopback addresses and the real clock; only the
standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
#: Bounds of a small deployment (the settings page and the first site files).
BOUNDS = {
    'stableMs': 4000,
    'drainMs': 3000,
    'propagationMs': 3000,
    'graceS': 6,
    'recoveryS': 12,
    'flowTtlS': 60,
}
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
STORE_ANSWER_S = 0.004
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
IDLE_TIMEOUT_MS = 15_000
SERVICE_HOST = '198.18.0.1'
SYN, ACK, FIN, RST, BOUNCED = 32, 64, 8, 1, 4
_HEAD = struct.Struct('>B3sIIH4sH4sH4s4s')
_KEY = os.urandom(16)
_MOD = 1 << 32


def pack_ip(host: str) -> bytes:
    """Return the four bytes of an IPv4 address."""
    return socket.inet_aton(host)


def checksum(raw: bytes) -> bytes:
    """Return the keyed sum over all fields except echo, pad and BOUNCED."""
    covered = bytes((raw[0] & ~BOUNCED,)) + raw[4:14] + raw[18:30] + raw[34:]
    digest = hashlib.blake2b(covered, key=_KEY, digest_size=4).digest()
    return digest if any(digest) else b'\0\0\0\1'


def packet(flags, seq, ack, sport, dst, dport, src, data=b'') -> bytes:
    """Return a packet of a client or a target."""
    raw = _HEAD.pack(
        *(flags, bytes(3), seq % _MOD, ack % _MOD, len(data), bytes(4)),
        *(sport, pack_ip(dst), dport, pack_ip(src), bytes(4)),
    )
    raw += data
    return raw[:30] + checksum(raw) + raw[34:]


class Head(typing.NamedTuple):
    """The fields of a packet that the ends read."""

    flags: int
    seq: int
    ack: int
    sport: int
    dst: str
    dport: int
    src: str
    own_reset: bool
    sound: bool
    data: bytes


def parse(raw: bytes) -> Head:
    """Decode a packet."""
    flags, _, seq, ack, size, _, sport, dst, dport, src, total = (
        _HEAD.unpack_from(raw)
    )
    own_reset = flags == RST and total == bytes(4)
    sound = size == len(raw) - _HEAD.size and (
        own_reset or total == checksum(raw)
    )
    return Head(
        *(flags, seq, ack, sport, socket.inet_ntoa(dst), dport),
        *(socket.inet_ntoa(src), own_reset, sound, raw[_HEAD.size :]),
    )


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def note(self, event: str, **fields: typing.Any) -> float:
        """Write one line; return its time."""
        at = self.now()
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at:9.3f} {event} {text}\n')
        return at

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Net:
    """Loopback addresses and ports; the ports are the same everywhere."""

    NAMES = (
        *('packets', 'ready', 'control', 'internal', 'metrics'),
        *('outbound', 'app', 'store'),
    )

    def __init__(self) -> None:
        for _ in range(50):
            self.octet = random.randrange(16, 240)
            base = random.randrange(20_000, 30_000)
            ports = range(base, base + len(self.NAMES))
            if all(self._is_free(port) for port in ports):
                self.port = dict(zip(self.NAMES, ports))
                return
        raise OSError('no free ports')

    def _is_free(self, port: int) -> bool:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind(('0.0.0.0', port))
                except OSError:
                    return False
        return True

    def host(self, kind: int, number: int) -> str:
        """Return an address; 1 front, 2 side, 3 clients, 4 the store."""
        return f'127.{self.octet}.{kind}.{number}'


class Store:
    """The platform's metadata store, of which the system can only read."""

    def __init__(self, net: Net, record: Record) -> None:
        self.address = (net.host(4, 1), net.port['store'])
        self._record = record
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._events: collections.deque = collections.deque()
        self._forgotten = self._revision
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.calls: collections.Counter = collections.Counter()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""
        item = self._items.get(key)
        return base64.b64decode(item['value']) if item else None

    async def put(self, key: str, value: bytes) -> float:
        """Write a value; return the time of the acknowledgement."""
        assert len(key.encode()) <= 200 and len(value) <= 1_048_576
        self._revision += 1
        old = self._items.get(key)
        self._items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self._revision,
            'created': old['created'] if old else self._revision,
            'lease': 0,
        }
        return await self._add_event(self._items[key])

    async def put_json(self, key: str, value: typing.Any) -> float:
        """Write a JSON document."""
        return await self.put(key, json.dumps(value).encode())

    async def remove(self, key: str) -> float:
        """Remove a key."""
        self._items.pop(key, None)
        self._revision += 1
        return await self._add_event(
            {'key': key, 'revision': self._revision, 'tombstone': True}
        )

    async def _add_event(self, event: dict) -> float:
        now = time.monotonic()
        self._events.append((now, event))
        while self._events and now - self._events[0][0] > HISTORY_S:
            self._forgotten = self._events.popleft()[1]['revision']
        async with self._changed:
            self._changed.notify_all()
        return self._record.note(
            'store-acknowledges', key=event['key'], revision=self._revision
        )

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            *(OSError, asyncio.IncompleteReadError),
            *(asyncio.LimitOverrunError, asyncio.CancelledError),
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ', 2)[1].decode()
                url = urllib.parse.urlsplit(target)
                query = dict(
                    urllib.parse.parse_qsl(url.query, keep_blank_values=True)
                )
                await asyncio.sleep(STORE_ANSWER_S)
                if url.path == '/api/kv-range':
                    status, body = 200, self._range(query)
                elif url.path == '/api/kv-watch':
                    status, body = await self._watch(query)
                else:
                    status, body = 404, {}
                self.calls[f'{url.path} {status}'] += 1
                raw = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(raw)}\r\n\r\n'.encode()
                    + raw
                )
                await writer.drain()
        writer.close()

    def _range(self, query: dict) -> dict:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        items, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self._items[key]['value'])
            if items and size > PAGE_BYTES:
                break
            items.append(self._items[key])
        return {
            'items': items,
            'truncated': len(items) < len(keys),
            'currentRev': self._revision,
        }

    async def _watch(self, query: dict) -> tuple[int, dict]:
        after = int(query['after'])
        until = time.monotonic() + min(30_000, int(query['waitMs'])) / 1000
        async with self._changed:
            while self._revision <= after:
                left = until - time.monotonic()
                if left <= 0:
                    break
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)
        if after < self._forgotten:
            return 410, {}
        prefix = query.get('prefix', '')
        events = [
            event
            for _, event in self._events
            if event['revision'] > after and event['key'].startswith(prefix)
        ]
        return 200, {'events': events, 'currentRev': self._revision}


class Port(asyncio.DatagramProtocol):
    """A UDP port."""

    def __init__(self, handle) -> None:
        self._handle = handle
        self.transport: typing.Any = None

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, _) -> None:
        """Pass the datagram on."""
        self._handle(data)

    def send(self, raw: bytes, address) -> None:
        """Send a datagram unless the port is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(raw, address)


async def open_port(address, handle) -> Port:
    """Bind a UDP port."""
    loop = asyncio.get_running_loop()
    _, port = await loop.create_datagram_endpoint(
        lambda: Port(handle), local_addr=address
    )
    return port


class _TargetFlow:
    def __init__(self, seq: int) -> None:
        self.initial = random.randrange(_MOD)
        self.peer_next = (seq + 1) % _MOD
        self.opened = False
        self.ended = False
        self.sent = self.initial + 1
        self.acknowledged = self.sent
        self.timer: asyncio.TimerHandle | None = None


class Target:
    """A target beside an agent; serves HTTP/1.1 on its flows."""

    def __init__(
        self, world: World, number: int, service: str, *, name: str = ''
    ) -> None:
        self.name = name or f'i-{random.randrange(1 << 40):010x}'
        self.service = service
        self.host = world.net.host(2, number)
        self.zone = f'zone-{number % 2}'
        self.state = 'ready'
        self.up = False
        self._world = world
        self._record = world.record
        self._outbound = (self.host, world.net.port['outbound'])
        self._flows: dict[tuple, _TargetFlow] = {}
        self._port: Port | None = None
        self._health: asyncio.Server | None = None
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self.work_s = 0.01
        self.beats: list[asyncio.Event] = []
        self._written = b''

    def open_flow(self, key: tuple) -> bool:
        """Return whether this target has a flow, with its handshake's end."""
        flow = self._flows.get(key)
        return flow is not None and flow.opened and not flow.ended

    @property
    def key(self) -> str:
        """Return the key of the entry."""
        return f'servers/{self.name}'

    async def start(self) -> None:
        """Listen and register."""
        address = (self.host, self._world.net.port['app'])
        self._port = await open_port(address, self._receive)
        self._health = await asyncio.start_server(self._answer_health, *address)
        self.up = True
        await self.register()
        asyncio.get_running_loop().create_task(self._beat())

    async def _answer_health(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            status = 200 if self.state == 'ready' else 503
            writer.write(
                f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            await writer.drain()
        writer.close()

    async def register(self) -> float:
        """Write the entry; return when the store acknowledged it."""
        self._sequence += 1
        entry = {
            'service': self.service,
            'address': f'{self.host}:{self._world.net.port["app"]}',
            'zone': self.zone,
            'version': 'v1',
            'capacity': 4,
            'state': self.state,
            'warmupLeftMs': 0,
            'sequence': self._sequence,
            'born': self._born,
        }
        self._written = json.dumps(entry).encode()
        return await self._world.store.put(self.key, self._written)

    async def drain(self) -> float:
        """Report that it leaves; return when the store acknowledged it."""
        self.state = 'draining'
        return await self.register()

    async def _beat(self) -> None:
        """Write the entry at each heartbeat, if it isn't there as written."""
        while self.up:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up and self._world.store.value(self.key) != self._written:
                await self.register()
            for waiting in self.beats:
                waiting.set()
            self.beats.clear()

    async def after_beat(self) -> None:
        """Wait until the next heartbeat was written."""
        event = asyncio.Event()
        self.beats.append(event)
        await event.wait()

    def close(self) -> None:
        """End without a word."""
        self.up = False
        for flow in self._flows.values():
            if flow.timer is not None:
                flow.timer.cancel()
        self._flows.clear()
        if self._port is not None and self._port.transport is not None:
            self._port.transport.close()
        if self._health is not None:
            self._health.close()

    def _send(self, head: Head, flags: int, seq: int, ack: int, data=b''):
        raw = packet(
            *(flags, seq, ack, head.dport, head.src, head.sport, head.dst),
            data,
        )
        self._port.send(raw, self._outbound)

    def _receive(self, raw: bytes) -> None:
        head = parse(raw)
        key = (head.src, head.sport, head.dst, head.dport)
        if not head.sound or head.flags & SYN and head.flags & ACK:
            self._record.note('target-gets-forged', target=self.name, key=key)
            self._world.forged += 1
            return
        flow = self._flows.get(key)
        if head.flags & SYN:
            self._on_opening(key, flow, head)
        elif flow is None:
            bounced = bytes((raw[0] | BOUNCED,)) + bytes(3) + raw[4:]
            self._port.send(bounced, self._outbound)
        elif head.flags & RST:
            self._end(flow)
            del self._flows[key]
        else:
            self._on_packet(key, flow, head)

    def _on_opening(self, key, flow, head: Head) -> None:
        if flow is None or flow.ended:
            flow = self._flows[key] = _TargetFlow(head.seq)
        opening = self._record.note(
            'target-takes-opening',
            *(),
            target=self.name,
            service=self.service,
            flow=flow_text(key),
            copy=head.ack,
        )
        self._world.openings.append(
            Opening(opening, self, key, head.ack, flow)
        )
        if not flow.opened:
            self._repeat(flow, head, SYN | ACK, flow.initial, b'', 0)

    def _repeat(self, flow, head, flags, seq, data, count) -> None:
        """Send a packet until it is acknowledged, eight times again."""
        if not self.up or count > 8 or flow.timer is not None and not count:
            return
        self._send(head, flags, seq, flow.peer_next, data)
        wait = min(1.6, 0.2 * 2**count)
        flow.timer = asyncio.get_running_loop().call_later(
            *(wait, self._repeat, flow, head, flags, seq, data, count + 1)
        )

    def _end(self, flow) -> None:
        if flow.timer is not None:
            flow.timer.cancel()
            flow.timer = None
        flow.ended = True

    def _on_packet(self, key, flow, head: Head) -> None:
        if flow.ended:
            if head.data:
                self._send(head, RST, flow.sent, head.seq)
            elif head.flags & FIN:
                self._send(head, ACK, flow.sent, head.seq + 1)
            return
        if not flow.opened:
            if head.ack != (flow.initial + 1) % _MOD:
                # The client acknowledges another target's number.
                return
            flow.opened = True
            self._record.note(
                'flow-open', target=self.name, flow=flow_text(key)
            )
        if flow.timer is not None and head.ack == flow.sent % _MOD:
            flow.timer.cancel()
            flow.timer = None
        if head.data and head.seq == flow.peer_next:
            flow.peer_next = (head.seq + len(head.data)) % _MOD
            asyncio.get_running_loop().call_later(
                self.work_s, self._run, key, flow, head
            )
        elif head.data:
            self._send(head, ACK, flow.sent, flow.peer_next)
        if head.flags & FIN:
            self._end(flow)
            self._send(head, ACK | FIN, flow.sent, head.seq + 1)

    def _run(self, key, flow, head: Head) -> None:
        if not self.up or flow.ended:
            return
        name = head.data.split(b'Teaseldock-Attempt-Id: ', 1)[1][:16].decode()
        at = self._record.note(
            'target-runs',
            *(),
            id=name,
            target=self.name,
            service=self.service,
            flow=flow_text(key),
        )
        self._world.runs.append(Run(at, name, self))
        body = f'{self.service} {name}\n'.encode()
        answer = (
            f'HTTP/1.1 200 OK\r\nTeaseldock-Server-Seal: {self.name}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
        ) + body
        start = flow.sent
        flow.sent = (start + len(answer)) % _MOD
        self._repeat(flow, head, ACK, start, answer, 0)


class Opening(typing.NamedTuple):
    """An opening packet that a target took."""

    at: float
    target: Target
    key: tuple
    copy: int
    flow: typing.Any


class Run(typing.NamedTuple):
    """A request that a target ran."""

    at: float
    name: str
    target: Target


def flow_text(key: tuple) -> str:
    """Return a flow in a line."""
    return '{}:{}>{}:{}'.format(*key)


class Router:
    """The platform's routers: a steady hash over the ready front daemons."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._missed: dict[str, int] = {}
        self._tasks: list[asyncio.Task] = []

    def start(self, hosts: list[str]) -> None:
        """Ask each daemon twice a second whether it is ready."""
        self._missed = dict.fromkeys(hosts, 2)
        self._tasks = [
            asyncio.get_running_loop().create_task(self._check(host))
            for host in hosts
        ]

    def close(self) -> None:
        """Stop asking."""
        for task in self._tasks:
            task.cancel()

    async def _check(self, host: str) -> None:
        while True:
            try:
                ready = await asyncio.wait_for(self._ask(host), 0.5)
            except (OSError, asyncio.TimeoutError, IndexError):
                ready = False
            self._missed[host] = 0 if ready else self._missed[host] + 1
            await asyncio.sleep(0.5)

    async def _ask(self, host: str) -> bool:
        reader, writer = await asyncio.open_connection(
            host, self._world.net.port['ready']
        )
        try:
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await reader.readline()
            return line.split()[1] == b'200'
        finally:
            writer.close()

    @property
    def ready(self) -> list[str]:
        """Return the daemons in rotation."""
        return [host for host, missed in self._missed.items() if missed < 2]

    def choose(self, key: tuple) -> str:
        """Return the daemon for a flow; all if too few are ready."""
        hosts = self.ready
        if 2 * len(hosts) < len(self._missed):
            hosts = list(self._missed)
        return max(
            hosts,
            key=lambda host: hashlib.md5(f'{host} {key}'.encode()).digest(),
        )


class Attempt:
    """One client attempt: one flow, one request."""

    def __init__(self, client: Client, sport: int, dport: int) -> None:
        self.client = client
        self.key = (client.host, sport, SERVICE_HOST, dport)
        self.name = f'{random.randrange(1 << 64):016x}'
        self.sent_at = 0.0
        self.outcome = ''
        self.answer = b''
        self.opened = False
        self.first_daemon = ''
        self._seq = random.randrange(_MOD)
        self._ack = 0
        self._fin_seen = False
        self._event = asyncio.Event()

    def receive(self, head: Head) -> None:
        """Handle a packet for this flow."""
        if not head.sound:
            self.client.world.forged += 1
            return
        if head.flags & RST:
            if self.opened and not self.answer:
                self.outcome = 'reset while open'
            elif not self.opened:
                self.outcome = 'reset'
        elif head.flags & SYN:
            if self.opened:
                return
            self.opened = True
            self._ack = (head.seq + 1) % _MOD
        elif head.data and head.seq == self._ack:
            self._ack = (head.seq + len(head.data)) % _MOD
            self.answer += head.data
        if head.flags & FIN:
            self._fin_seen = True
        self._event.set()

    def _send(self, flags: int, data: bytes = b'', ack=None) -> None:
        src, sport, dst, dport = self.key
        raw = packet(
            *(flags, self._seq, self._ack if ack is None else ack),
            *(sport, dst, dport, src),
            data,
        )
        self.client.send(self.key, raw)

    async def _wait(self, seconds: float) -> None:
        self._event.clear()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._event.wait(), seconds)

    async def run(self, deadline_s: float = 2.5) -> Attempt:
        """Open the flow, send the request, wait for the answer, close."""
        world = self.client.world
        self.client.attempts[self.key] = self
        self.first_daemon = world.router.choose(self.key)
        self.sent_at = world.record.note(
            *('client-sends',),
            id=self.name,
            flow=flow_text(self.key),
            through=self.first_daemon,
        )
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self._send(SYN, ack=copy)
            await self._wait(wait)
            if self.opened or self.outcome:
                break
        if self.opened:
            await self._request(self.sent_at + deadline_s)
        elif not self.outcome:
            self.outcome = 'not opened'
        body = self.answer.partition(b'\r\n\r\n')[2]
        world.record.note(
            *('client-ends',),
            id=self.name,
            outcome=self.outcome,
            body=body.decode().strip().replace(' ', '/') or '-',
        )
        return self

    async def _request(self, until: float) -> None:
        world = self.client.world
        self._seq = (self._seq + 1) % _MOD
        self._send(ACK)
        request = (
            'GET / HTTP/1.1\r\nHost: x\r\n'
            f'Teaseldock-Attempt-Id: {self.name}\r\n\r\n'
        ).encode()
        wait = 0.2
        while not self.outcome and world.record.now() < until:
            if not self.answer:
                self._send(ACK, request)
            await self._wait(wait)
            wait = min(1.6, 2 * wait)
            if self.answer.endswith(b'\n'):
                self.outcome = 'served'
        if self.outcome != 'served':
            self.outcome = self.outcome or 'deadline'
            return
        self._seq = (self._seq + len(request)) % _MOD
        self._send(ACK)
        for wait in (0.2, 0.4, 0.8, 1.6):
            self._send(ACK | FIN)
            await self._wait(wait)
            if self._fin_seen:
                self._seq = (self._seq + 1) % _MOD
                self._ack = (self._ack + 1) % _MOD
                self._send(ACK)
                break

    @property
    def service(self) -> str:
        """Return the service that answered."""
        body = self.answer.partition(b'\r\n\r\n')[2]
        return body.split(b' ')[0].decode()


class Feed(Attempt):
    """A flow that is kept open for many requests, with pauses."""

    def __init__(self, client: Client, sport: int, dport: int) -> None:
        super().__init__(client, sport, dport)
        self.reset_at: float | None = None
        self.pending = ''
        self.served = 0

    def receive(self, head: Head) -> None:
        """Handle a packet; note a reset of the system's own."""
        if head.flags & RST and self.opened and not self.outcome:
            sender = 'system' if head.own_reset else 'target'
            self.outcome = f'reset-by-{sender}'
            self.reset_at = self.client.world.record.note(
                'client-gets-reset',
                flow=flow_text(self.key),
                by=sender,
                pending=self.pending or '-',
            )
            self._event.set()
            return
        super().receive(head)

    async def run(self, deadline_s: float = 2.5) -> Attempt:
        """Open the flow, and send requests until the world ends them."""
        world = self.client.world
        self.client.attempts[self.key] = self
        self.first_daemon = world.router.choose(self.key)
        self.sent_at = world.record.note('client-opens', flow=flow_text(self.key))
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self._send(SYN, ack=copy)
            await self._wait(wait)
            if self.opened or self.outcome:
                break
        if not self.opened:
            self.outcome = self.outcome or 'not opened'
            return self
        self._seq = (self._seq + 1) % _MOD
        self._send(ACK)
        while not self.outcome:
            await self._request_once(deadline_s)
            await asyncio.sleep(random.uniform(0.1, 0.4))
        return self

    async def _request_once(self, deadline_s: float) -> None:
        world = self.client.world
        self.pending = self.name = f'{random.randrange(1 << 64):016x}'
        self.answer = b''
        request = (
            'GET / HTTP/1.1\r\nHost: x\r\n'
            f'Teaseldock-Attempt-Id: {self.name}\r\n\r\n'
        ).encode()
        world.record.note(
            'client-sends', id=self.name, flow=flow_text(self.key)
        )
        until, wait = world.record.now() + deadline_s, 0.2
        while not self.outcome and not self.answer.endswith(b'\n'):
            self._send(ACK, request)
            await self._wait(wait)
            wait = min(1.6, 2 * wait)
            if world.record.now() > until and not self.answer:
                self.outcome = 'deadline'
        world.record.note(
            *('client-ends',),
            id=self.name,
            outcome=self.outcome or 'served',
        )
        if not self.outcome:
            self.served += 1
            self.pending = ''
            self._seq = (self._seq + len(request)) % _MOD
            self._send(ACK)


class Client:
    """A client with one address."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.host = world.net.host(3, number)
        self.attempts: dict[tuple, Attempt] = {}
        self._port: Port | None = None
        self._next_port = 40_000

    async def start(self) -> None:
        """Open the port at which packets for this client arrive."""
        address = (self.host, self.world.net.port['packets'])
        self._port = await open_port(address, self._receive)

    def close(self) -> None:
        """Close the port."""
        if self._port is not None:
            self._port.transport.close()

    def new_port(self) -> int:
        """Return a port that was not used before."""
        self._next_port += 1
        return self._next_port

    def send(self, key: tuple, raw: bytes) -> None:
        """Send a packet through the router."""
        host = self.world.router.choose(key)
        self._port.send(raw, (host, self.world.net.port['packets']))

    def _receive(self, raw: bytes) -> None:
        head = parse(raw)
        key = (head.dst, head.dport, head.src, head.sport)
        attempt = self.attempts.get(key)
        if attempt is not None:
            attempt.receive(head)


class Daemon:
    """One of the project's programs as a process."""

    def __init__(self, world: World, role: str, number: int, service='') -> None:
        kind = 1 if role == 'balancer' else 2
        self.host = world.net.host(kind, number)
        self.name = f'{"front" if kind == 1 else "side"}-{number}'
        self.ends: list[int] = []
        self._world = world
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._command = deploy['roles'][role]['run'].split()
        self._settings = world.folder / f'{self.name}.json'
        self._service = service
        self._number = number
        self._process: asyncio.subprocess.Process | None = None
        self._expected = False
        self._task: asyncio.Task | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Write what the platform renders from deploy/settings.json."""
        port = self._world.net.port
        values = {
            'name': self.name,
            'host': self.host,
            'data_centre': f'zone-{self._number % 2}',
            'internal_port': port['internal'],
            'metrics_port': port['metrics'],
            'seeds': seeds,
            'packets': f'{self.host}:{port["packets"]}',
            'ready': f'{self.host}:{port["ready"]}',
            'from_server': f'{self.host}:{port["outbound"]}',
            'server': f'{self.host}:{port["app"]}' if self._service else '',
            'service': self._service,
            'store': '{}:{}'.format(*self._world.store.address),
            'grace_s': BOUNDS['graceS'],
            'link_mbps': 1000.0,
            'configured_within_ms': BOUNDS['propagationMs'],
            'drained_within_ms': BOUNDS['drainMs'],
        }
        self._settings.write_text(json.dumps(values))

    async def start(self) -> None:
        """Start the process, and start it again whenever it ends."""
        await self._spawn()
        self._task = asyncio.get_running_loop().create_task(self._supervise())

    async def _spawn(self) -> None:
        self._expected = False
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['TEASELDOCK_BOOT'] = str(self._settings)
        with (self._world.folder / f'{self.name}.log').open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._world.record.note('process-starts', name=self.name)

    async def _supervise(self) -> None:
        while True:
            code = await self._process.wait()
            self._world.record.note('process-ends', name=self.name, code=code)
            if not self._expected:
                self.ends.append(code)
            await asyncio.sleep(0.3)
            await self._spawn()

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._expected = number in (signal.SIGKILL, signal.SIGTERM)
            self._process.send_signal(number)

    async def close(self) -> None:
        """End the process."""
        if self._task is not None:
            self._task.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def log(self) -> str:
        """Return what the process wrote."""
        path = self._world.folder / f'{self.name}.log'
        return path.read_text(errors='replace') if path.exists() else ''


def route(name: str, port: int, service: str) -> dict:
    """Return a route as the operator writes it."""
    return {
        'name': name,
        'host': SERVICE_HOST,
        'prefix': f'/{port}/',
        'kind': 'idempotent',
        'timeoutMs': 2500,
        'sloMs': 150,
        'priority': 2,
        'maxAttempts': 1,
        'service': service,
    }


class World:
    """A small deployment: two zones, a few fronts, agents and targets."""

    def __init__(
        self, folder: pathlib.Path, *, fronts: int, services: list[str]
    ) -> None:
        """Create all parts.

        :param services: the service of each target, in order.
        """
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.case = folder
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = Record(folder / 'record.txt')
        self.net = Net()
        self.store = Store(self.net, self.record)
        self.router = Router(self)
        self.openings: list[Opening] = []
        self.runs: list[Run] = []
        self.forged = 0
        self.fronts = [
            Daemon(self, 'balancer', number + 1) for number in range(fronts)
        ]
        self.sides = [
            Daemon(self, 'agent', number + 1, service)
            for number, service in enumerate(services)
        ]
        self.targets = [
            Target(self, number + 1, service)
            for number, service in enumerate(services)
        ]
        self.clients = [Client(self, number + 1) for number in range(4)]
        self.tasks: set[asyncio.Task] = set()
        self._version = 0

    @property
    def daemons(self) -> list[Daemon]:
        """Return all processes of the system."""
        return self.fronts + self.sides

    async def configure(self, routes: list[dict]) -> float:
        """Write a configuration; return when the store acknowledged it."""
        self._version += random.randrange(1, 4)
        names = sorted({target.service for target in self.targets})
        document = {
            'version': self._version,
            'routes': routes,
            'services': [
                {'name': name, 'healthPath': '/health'} for name in names
            ],
            'limits': {'idleTimeoutMs': IDLE_TIMEOUT_MS},
        }
        return await self.store.put_json('op/config', document)

    async def start(self, routes: list[dict]) -> None:
        """Start everything, and wait until all machines are in touch."""
        await self.store.start()
        await self.configure(routes)
        for target in self.targets:
            await target.start()
        for client in self.clients:
            await client.start()
        control = self.net.port['control']
        seeds = [f'{daemon.host}:{control}' for daemon in self.fronts][:3]
        for daemon in self.daemons:
            daemon.write_settings(seeds)
            await daemon.start()
        self.router.start([daemon.host for daemon in self.fronts])
        await self.sleep_until(self.record.now() + 12)
        if len(self.router.ready) < len(self.fronts):
            raise OSError('a front daemon is not ready')

    async def sleep_until(self, at: float) -> None:
        """Sleep until a time of the record."""
        await asyncio.sleep(max(0.0, at - self.record.now()))

    def busiest(self, service: str) -> Target:
        """Return the target of a service that took most openings of late."""
        taken = collections.Counter(
            item.target.name
            for item in self.openings
            if item.at > self.record.now() - 3
        )
        return max(
            (item for item in self.targets if item.service == service),
            key=lambda item: taken[item.name],
        )

    def spawn(self, attempt: Attempt) -> None:
        """Run an attempt beside others."""
        task = asyncio.get_running_loop().create_task(attempt.run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def traffic(
        self, port: int, per_s: float, until: float, made: list[Attempt]
    ) -> None:
        """Send requests over a flow each, each flow from a new port."""
        while self.record.now() < until:
            client = random.choice(self.clients)
            attempt = Attempt(client, client.new_port(), port)
            made.append(attempt)
            self.spawn(attempt)
            await asyncio.sleep(random.expovariate(per_s))

    async def close(self) -> None:
        """End all processes and close all ports."""
        self.router.close()
        for task in list(self.tasks):
            task.cancel()
        for daemon in self.daemons:
            await daemon.close()
        for daemon in self.daemons:
            shutil.copy(
                self.folder / f'{daemon.name}.log', self.case / 'logs'
            )
        for target in self.targets:
            target.close()
        for client in self.clients:
            client.close()
        self.store.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(
    file: str, scenario, *, fronts: int = 2, services: list[str]
) -> typing.NoReturn:
    """Play a scenario; exit 1 if the rule broke, 0 if it held, else 2.

    :param scenario: coroutine function that takes the world and returns lines
        that each tell a broken rule.
    """
    folder = pathlib.Path(file).resolve().parent
    if not (ROOT / 'target/deps/teaseldock_platform').is_dir():
        print('not built: run python3 deploy/build.py')
        sys.exit(NOT_RUN)

    async def play() -> list[str]:
        shutil.rmtree(folder / 'logs', ignore_errors=True)
        (folder / 'logs').mkdir()
        world = World(folder, fronts=fronts, services=services)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            broken = await asyncio.wait_for(scenario(world), 112)
            for line in broken:
                world.record.note('BROKEN', what=line)
            world.record.note('store-calls', **{
                name.replace(' ', ':'): count
                for name, count in world.store.calls.items()
            })
            for daemon in world.daemons:
                if daemon.ends:
                    world.record.note(
                        'ended-by-itself', name=daemon.name, codes=daemon.ends
                    )
            return broken
        finally:
            await world.close()

    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        # A fault of the script itself must not look like a broken rule.
        print(f'not run: {error!r}')
        sys.exit(NOT_RUN)
    for line in broken:
        print(line)
    sys.exit(BROKEN if broken else HELD)
