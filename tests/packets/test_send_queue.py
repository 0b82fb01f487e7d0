"""Test the send queue of a slow link, by simulation."""

from __future__ import annotations

import heapq
import itertools
import math
import random
import struct
import typing

import hypothesis
from hypothesis import strategies
import pytest

from bench import packet_world
from teaseldock.packets import control
from teaseldock.packets import control_budget
from teaseldock.packets import packet
from teaseldock.packets import records
from teaseldock.packets import reporting
from teaseldock.packets import send_queue
from teaseldock.packets import upload_gate
from teaseldock_platform import packet_head

LINK_MBPS = 5.0
BYTES_PER_S = LINK_MBPS * 125_000
AGENT = '10.0.1.1'
#: Bytes of one upload, of a full packet's data, and of a request.
UPLOAD_BYTES = 40_000
DATA_BYTES = 1200
REQUEST_BYTES = 120
#: Seconds after which a caller repeats data, and openings.
DATA_REPEAT_S = 0.2
OPENING_REPEATS_S = (0.2, 0.6)
#: Seconds from the balancer to the agent and its answer back at the caller.
ANSWER_S = 0.006
#: Longest queueing delay at the link itself; it drops further datagrams.
MAX_LINK_QUEUE_S = 1.0
#: Objective of uploads, milliseconds.
AIM_MS = 500
SYN, ACK, FIN = 32, 64, 8


class Reports(reporting.Reporter):
    """Record events."""

    def __init__(self) -> None:
        """Create an empty record."""
        self.lines: list[tuple[str, dict[str, typing.Any]]] = []

    def note(self, event: str, **fields: typing.Any) -> None:
        """Record one event."""
        self.lines.append((event, fields))

    @property
    def events(self) -> list[str]:
        """Return the names of all events."""
        return [event for event, _ in self.lines]


def raw_packet(
    port: int, *, flags: int = ACK, sequence: int = 0, length: int = 0
) -> bytes:
    """Return a caller's packet as the platform encodes it."""
    head = struct.pack(
        '>B3xII H4x H4s H4s 4x'.replace(' ', ''),
        flags,
        sequence,
        0,
        length,
        port,
        bytes([198, 18, 0, 1]),
        443,
        bytes([100, 64, 0, 7]),
    )
    return head + bytes(length)


def forwarded(port: int, **fields: int) -> bytes:
    """Return the datagram in which a balancer forwards a packet."""
    return control.pack(control.KIND_PACKET, 0, 7, raw_packet(port, **fields))


def make_queue(
    link_mbps: float = LINK_MBPS,
) -> tuple[send_queue.SendQueue, reporting.Meters, Reports]:
    """Return an empty queue, its meters and its reports."""
    meters = reporting.Meters()
    reports = Reports()
    queue = send_queue.SendQueue(
        link_mbps,
        data_range=packet_head.data_range,
        reporter=reports,
        meters=meters,
    )
    return queue, meters, reports


def fill(queue: send_queue.SendQueue, now: float, *, port: int = 1) -> None:
    """Offer data until some must wait."""
    for number in range(100):
        data = forwarded(port, sequence=number * DATA_BYTES, length=DATA_BYTES)
        if not queue.offer(data, AGENT, now):
            return
    raise AssertionError('nothing waits')


def drain(
    queue: send_queue.SendQueue, now: float
) -> list[tuple[float, bytes]]:
    """Release all that waits; return times and datagrams."""
    found = []
    while (at := queue.next_at(now)) is not None:
        now = at
        found += [(now, datagram) for _, datagram in queue.release(now)]
    return found


class Play:
    """Callers of uploads and orders behind one balancer on a slow link.

    :ivar opening_waits: seconds from a caller's opening to its delivery.
    :ivar repeated: number of openings that a caller had to repeat.
    :ivar uploads: seconds that each upload took; infinite if unfinished.
    """

    def __init__(
        self, *, queued: bool, refusing: bool = False, seed: int = 1
    ) -> None:
        """Prepare a play.

        :param queued: whether datagrams pass a send queue; otherwise they are
            sent in the order of arrival.
        :param refusing: whether new uploads are refused on a full link.
        """
        self.now = 100.0
        self.random = random.Random(seed)
        self.queue, self.meters, self.reports = make_queue()
        self.queued = queued
        self.gate = upload_gate.UploadGate(
            self.queue.delay_s if refusing else None
        )
        self.opening_waits: list[float] = []
        self.repeated = 0
        self.uploads: dict[int, float] = {}
        self.refused = 0
        self.link_losses = 0
        self.link_bytes = 0
        self._link_free_at = 0.0
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._order = itertools.count()
        self._ports = itertools.count(1024)
        self._delivered: dict[bytes, float] = {}
        self._timer = False

    def after(self, delay: float, call: typing.Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(
            self._events, (self.now + delay, next(self._order), call)
        )

    def run(self, seconds: float) -> None:
        """Run all events of the next seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def _send(self, datagram: bytes) -> None:
        """Forward a datagram at the balancer."""
        if not self.queued or self.queue.offer(datagram, AGENT, self.now):
            self._to_link(datagram)
            return
        self._schedule()

    def _schedule(self) -> None:
        at = self.queue.next_at(self.now)
        if at is None or self._timer:
            return
        self._timer = True
        # The event loop rounds its timers up to milliseconds.
        delay_ms = math.ceil(1000 * (at - self.now))
        self.after(delay_ms / 1000, self._release)

    def _release(self) -> None:
        self._timer = False
        for _, datagram in self.queue.release(self.now):
            self._to_link(datagram)
        self._schedule()

    def _to_link(self, datagram: bytes) -> None:
        free_at = max(self.now, self._link_free_at)
        if free_at - self.now > MAX_LINK_QUEUE_S:
            self.link_losses += 1
            return
        size = len(datagram) + control_budget.HEADER_BYTES
        self.link_bytes += size
        self._link_free_at = free_at + size / BYTES_PER_S
        self.after(
            self._link_free_at - self.now,
            lambda: self._delivered.setdefault(datagram, self.now),
        )

    def _arrived(self, datagram: bytes) -> bool:
        """Tell whether a caller knows by now that a packet has arrived."""
        at = self._delivered.get(datagram)
        return at is not None and self.now - at >= ANSWER_S

    def order(self) -> None:
        """Let a caller open a flow and send one request."""
        port = next(self._ports)
        opening = forwarded(port, flags=SYN)
        began = self.now
        self._send(opening)
        for delay in OPENING_REPEATS_S:
            self.after(delay, lambda: self._repeat(opening))
        self.after(
            0.02, lambda: self._send(forwarded(port, length=REQUEST_BYTES))
        )
        self.after(
            1.4,
            lambda: self.opening_waits.append(
                self._delivered.get(opening, math.inf) - began
            ),
        )

    def _repeat(self, opening: bytes) -> None:
        if not self._arrived(opening):
            self.repeated += 1
            self._send(opening)

    def upload(self, tries: int = 3) -> None:
        """Let a caller send an upload.

        A refused caller tries twice more; its next attempts reach this
        balancer too, which is the worst case.
        """
        port = next(self._ports)
        item = packet_head.from_caller(raw_packet(port, flags=SYN))
        route = packet_world.route(
            'dispatch', kind=records.RequestKind.UPLOAD, aim_ms=AIM_MS
        )
        if self.gate.refuse(item, route, self.now):
            self.refused += 1
            if tries > 1:
                self.after(0.01, lambda: self.upload(tries - 1))
            return
        self.uploads[port] = math.inf
        pieces = [
            forwarded(
                port,
                sequence=start,
                length=min(DATA_BYTES, UPLOAD_BYTES - start),
            )
            for start in range(0, UPLOAD_BYTES, DATA_BYTES)
        ]
        self._send_pieces(port, pieces, self.now)

    def _send_pieces(
        self, port: int, pieces: list[bytes], began: float
    ) -> None:
        missing = [item for item in pieces if not self._arrived(item)]
        if not missing:
            last = max(self._delivered[item] for item in pieces)
            self.uploads[port] = last - began
            return
        for item in missing:
            self._send(item)
        if self.now - began < 3.0:
            self.after(
                DATA_REPEAT_S,
                lambda: self._send_pieces(port, pieces, began),
            )

    def busy(self, seconds: float, *, uploads_per_s: float) -> Play:
        """Let callers come for some seconds, then wait for the last ones."""
        for call, rate in ((self.order, 25.0), (self.upload, uploads_per_s)):
            at = self.random.expovariate(rate)
            while at < seconds:
                self.after(at, call)
                at += self.random.expovariate(rate)
        self.run(seconds + 5.0)
        return self

    @property
    def late_openings(self) -> float:
        """Return the share of openings delivered after 200 ms, or never."""
        late = [item for item in self.opening_waits if item > 0.2]
        return len(late) / len(self.opening_waits)

    @property
    def timely_uploads(self) -> int:
        """Return the number of uploads sent within their objective."""
        return sum(1000 * took <= AIM_MS for took in self.uploads.values())


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_openings_do_not_wait_behind_uploads(seed: int) -> None:
    """Guards against openings that are queued behind the packets of uploads.

    Uploads of 40 KB fill four fifths of a link of 5 Mbit/s in the mean and all
    of it at times.
    """
    plain = Play(queued=False, seed=seed).busy(20.0, uploads_per_s=12.0)
    paced = Play(queued=True, seed=seed).busy(20.0, uploads_per_s=12.0)
    assert plain.late_openings > 0.1
    assert paced.late_openings == 0.0
    assert max(paced.opening_waits) < 0.02
    assert not paced.link_losses
    # Uploads gain too: fewer packets are sent twice.
    assert paced.timely_uploads >= plain.timely_uploads
    assert paced.link_bytes < plain.link_bytes


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_uploads_beyond_the_link_are_refused(seed: int) -> None:
    """Guards against accepted uploads that all miss their objective.

    Uploads need 1.4 times the link. Those that are accepted must be in time,
    and must fill the link.
    """
    plain = Play(queued=False, seed=seed).busy(20.0, uploads_per_s=21.0)
    gated = Play(queued=True, refusing=True, seed=seed).busy(
        20.0, uploads_per_s=21.0
    )
    assert plain.timely_uploads < 0.2 * len(plain.uploads)
    assert gated.refused
    assert gated.timely_uploads > 0.95 * len(gated.uploads)
    assert gated.timely_uploads > 2 * plain.timely_uploads
    assert max(gated.opening_waits) < 0.02
    assert gated.link_bytes > 0.8 * 20 * BYTES_PER_S


def test_an_idle_link_delays_nothing() -> None:
    """A datagram on an idle link is sent at once and leaves no state."""
    queue, meters, _ = make_queue()
    for number in range(100):
        now = 100.0 + 0.01 * number
        assert queue.offer(forwarded(1, length=DATA_BYTES), AGENT, now)
        assert queue.next_at(now) is None
    assert not meters.counters


def test_small_datagrams_go_first_and_each_kind_in_order() -> None:
    """Openings, requests and control messages precede data that waits."""
    queue, _, _ = make_queue()
    fill(queue, 100.0)
    data = [
        forwarded(2, sequence=number, length=DATA_BYTES) for number in range(5)
    ]
    small = [forwarded(port, flags=SYN) for port in range(10, 15)]
    small.append(control.pack(control.KIND_GET_LOAD, 0, 0, b''))
    for large, little in zip(data, small, strict=False):
        assert not queue.offer(large, AGENT, 100.0)
        assert not queue.offer(little, AGENT, 100.0)
    queue.offer(small[-1], AGENT, 100.0)
    sent = [datagram for _, datagram in drain(queue, 100.0)]
    assert sent[: len(small)] == small
    assert sent[-len(data) :] == data


def test_data_of_a_flow_stays_in_order() -> None:
    """Guards against the last packet of an upload overtaking the others.

    The last packet is small. An agent takes data that precedes the newest of
    its flow for a repetition. Small packets of other flows, and packets of
    this flow without data, still go first.
    """
    queue, _, _ = make_queue()
    fill(queue, 100.0)
    head = forwarded(2, sequence=1, length=DATA_BYTES)
    tail = forwarded(2, sequence=1201, length=40)
    end = forwarded(2, flags=ACK | FIN, sequence=1241)
    acknowledgement = forwarded(2, sequence=1242)
    request = forwarded(3, length=REQUEST_BYTES)
    for datagram in (head, tail, end, acknowledgement, request):
        assert not queue.offer(datagram, AGENT, 100.0)
    sent = [datagram for _, datagram in drain(queue, 100.0)]
    assert sent[:2] == [acknowledgement, request]
    assert sent[-3:] == [head, tail, end]


def test_a_repeated_packet_is_not_queued_again() -> None:
    """Guards against repetitions that fill the link further.

    A repetition after the first copy was sent, or to another agent because the
    flow was found there, is a packet that may be needed.
    """
    queue, meters, _ = make_queue()
    fill(queue, 100.0)
    data = forwarded(2, sequence=1, length=DATA_BYTES)
    assert not queue.offer(data, AGENT, 100.0)
    assert not queue.offer(data, AGENT, 100.2)
    assert meters.counters['link_repeats_dropped'] == 1
    assert not queue.offer(data, '10.0.1.2', 100.2)
    sent = [datagram for _, datagram in drain(queue, 100.2)]
    assert sent.count(data) == 2
    fill(queue, 110.0)
    assert not queue.offer(data, AGENT, 110.0)
    assert data in [datagram for _, datagram in drain(queue, 110.0)]


def test_beyond_the_bound_data_is_dropped_and_openings_are_not() -> None:
    """Guards against a queue that grows without bound.

    A small datagram displaces the newest data. What was dropped is queued
    again when its caller repeats it.
    """
    queue, meters, reports = make_queue()
    for number in range(1000):
        data = forwarded(2, sequence=number * DATA_BYTES, length=DATA_BYTES)
        queue.offer(data, AGENT, 100.0)
    assert queue.delay_s(100.0) < send_queue.MAX_DELAY_S + 0.01
    assert meters.counters['link_dropped'] > 400
    # One line for the flow, not one for each of its packets.
    assert reports.events.count('link dropped') == 1
    waiting = len(queue)
    before = meters.counters['link_dropped']
    for port in range(100, 200):
        assert not queue.offer(forwarded(port, flags=SYN), AGENT, 100.0)
    assert meters.counters['link_dropped'] - before < 10
    assert len(queue) > waiting + 90
    sent = drain(queue, 100.0)
    assert all(len(datagram) < 100 for _, datagram in sent[:100])
    assert len(queue) == 0
    fill(queue, 110.0)
    assert not queue.offer(data, AGENT, 110.0)
    assert meters.counters['link_repeats_dropped'] == 0


def test_after_a_pause_nothing_is_sent_faster_than_the_link() -> None:
    """Guards against a burst after a pause of the process.

    What has waited for longer than callers wait is dropped.
    """
    queue, meters, _ = make_queue()
    for number in range(200):
        data = forwarded(2, sequence=number * DATA_BYTES, length=DATA_BYTES)
        queue.offer(data, AGENT, 100.0)
    waiting = len(queue)
    burst = queue.release(101.0)
    allowed = BYTES_PER_S * send_queue.AHEAD_S + DATA_BYTES + 100
    assert 0 < sum(len(datagram) for _, datagram in burst) <= allowed
    assert not queue.release(130.0)
    assert meters.counters['link_dropped'] == waiting - len(burst)
    assert len(queue) == 0 and queue.next_at(130.0) is None
    # A new copy of what was dropped is accepted.
    assert queue.offer(data, AGENT, 130.1)


def test_a_restarted_process_begins_with_an_empty_queue() -> None:
    """What waited is lost; a repetition by its caller is sent as new."""
    queue, _, _ = make_queue()
    fill(queue, 100.0)
    data = forwarded(2, sequence=1, length=DATA_BYTES)
    assert not queue.offer(data, AGENT, 100.0)
    restarted, meters, _ = make_queue()
    assert restarted.offer(data, AGENT, 100.2)
    assert not meters.counters


def test_a_full_link_is_reported_once() -> None:
    """The states are reported with hysteresis, and waits are measured."""
    queue, meters, reports = make_queue()
    for number in range(150):
        data = forwarded(2, sequence=number * DATA_BYTES, length=DATA_BYTES)
        queue.offer(data, AGENT, 100.0)
    assert reports.events == ['link full']
    assert reports.lines[0][1]['delay_ms'] > 200
    drain(queue, 100.0)
    assert reports.events == ['link full', 'link free']
    assert reports.lines[1][1]['delay_ms'] < 20
    queued = meters.counters['link_queued']
    assert queued > 140
    assert sum(meters.histograms['link_wait'].counts) == queued


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 0.05),
            strategies.integers(1, 4),
            strategies.integers(0, 6),
            strategies.sampled_from([0, 40, 399, DATA_BYTES]),
        ),
        max_size=300,
    ),
    strategies.sampled_from([0.5, 5.0, 49.0]),
)
def test_the_link_is_never_exceeded(
    offers: list[tuple[float, int, int, int]], link_mbps: float
) -> None:
    """Whatever is offered, no interval has more bytes than the link sends.

    Every datagram is sent, counted as dropped, or still waits.
    """
    queue, meters, _ = make_queue(link_mbps)
    now = 100.0
    sent: list[tuple[float, int]] = []
    for pause_s, port, number, length in offers:
        until = now + pause_s
        while (at := queue.next_at(now)) is not None and at <= until:
            now = at
            sent += [(now, len(item)) for _, item in queue.release(now)]
        now = until
        data = forwarded(port, sequence=number * DATA_BYTES, length=length)
        if queue.offer(data, AGENT, now):
            sent.append((now, len(data)))
    sent += [(at, len(item)) for at, item in drain(queue, now)]
    bytes_per_s = link_mbps * 125_000
    spare = bytes_per_s * send_queue.AHEAD_S + 1400
    began = None
    level = 0.0
    for at, size in sent:
        # A leaky bucket at the speed of the link never holds more than what
        # may be sent ahead.
        if began is not None:
            level = max(0.0, level - (at - began) * bytes_per_s)
        began = at
        level += size + control_budget.HEADER_BYTES
        assert level <= spare
    counters = meters.counters
    assert len(queue) == 0 and not queue._positions
    assert queue._waiting_bytes == 0
    assert (
        len(sent) + counters['link_dropped'] + counters['link_repeats_dropped']
    ) == len(offers)


def upload_opening(port: int, *, copy: int = 0) -> packet.Packet:
    """Return an opening of an upload."""
    item = packet_head.from_caller(raw_packet(port, flags=SYN))
    return item._replace(acknowledged=copy)


def test_the_gate_refuses_first_copies_of_uploads_only() -> None:
    """Guards against a reset of a flow that a server may have accepted.

    A later copy follows one that another balancer may have forwarded. Other
    requests are small, and an upload that can meet its objective is accepted.
    """
    delay_s = 0.3
    gate = upload_gate.UploadGate(lambda now: delay_s)
    kind = records.RequestKind.UPLOAD
    route = packet_world.route('d', kind=kind, aim_ms=AIM_MS)
    first = upload_opening(1)
    assert gate.refuse(first, route, 100.0) == (300, AIM_MS)
    assert not gate.refuse(upload_opening(1, copy=1), route, 100.0)
    for other in records.RequestKind:
        if other is not kind:
            small = packet_world.route('d', kind=other, aim_ms=AIM_MS)
            assert not gate.refuse(first, small, 100.0)
    delay_s = 0.25
    assert not gate.refuse(first, route, 100.0)
    assert not upload_gate.UploadGate(None).refuse(first, route, 100.0)


def upload_world() -> packet_world.World:
    """Return a world with one balancer whose only route is for uploads."""
    world = packet_world.small_world(balancers=1, seeds=1)
    kind = records.RequestKind.UPLOAD
    world.store.configure(
        2, [packet_world.route('dispatch', kind=kind, aim_ms=AIM_MS)]
    )
    world.run(1.0)
    return world


def test_a_balancer_refuses_uploads_on_a_full_link() -> None:
    """A refused upload is reset at once and never reaches a server."""
    world = upload_world()
    (process,) = world.balancers()
    process.node._upload_gate = upload_gate.UploadGate(lambda now: 0.3)
    began = world.now
    request = world.request(tries=2)
    world.run(0.1)
    assert request.outcome == 'failed' and request.resets == 2
    assert request.latency_s < 0.05
    assert not any(server.opened for server in world.servers.values())
    assert process.node.meters.counters['refused_link_full'] == 2
    line, _ = world.events('refused')
    assert line['why'] == 'link full'
    assert (line['delay_ms'], line['aim_ms']) == (300, AIM_MS)
    assert world.now - began < 1.0 and not world.broken()


def test_an_upload_is_not_refused_after_its_opening_was_forwarded() -> None:
    """Guards against a reset of a flow whose opening a server accepted.

    The link becomes full between two copies of an opening. The second has
    ``acknowledged`` 0 too: the network has duplicated the first.
    """
    world = upload_world()
    (process,) = world.balancers()
    delay_s = 0.0
    process.node._upload_gate = upload_gate.UploadGate(lambda now: delay_s)
    request = world.request(tries=1)
    item = None

    def receive(seen: packet.Packet, now: float) -> None:
        nonlocal item
        item = item or seen
        forward(seen, now)

    forward = process.node.on_packet
    process.node.on_packet = receive
    world.run(0.01)
    delay_s = 1.0
    assert item is not None and item.opening
    forward(item, world.now)
    world.run(1.0)
    assert request.outcome == 'answered'
    assert not world.resets


def test_an_upload_accepted_by_a_fast_balancer_is_never_refused() -> None:
    """A balancer without a queue serves uploads as before."""
    world = upload_world()
    orders = [world.request(tries=1) for _ in range(50)]
    world.run(2.0)
    assert all(item.outcome == 'answered' for item in orders)
    assert not world.events('refused')
