"""Test the refusal of new flows that can't be served before their timeout."""

from __future__ import annotations

import typing

import pytest

from bench import packet_caller
from bench import packet_codec
from bench import packet_world
from teaseldock.packets import admission
from teaseldock.packets import dispatching
from teaseldock.packets import expected_wait
from teaseldock.packets import overload
from teaseldock.packets import records
from teaseldock.packets import reporting
from tools import explain

ORDER_PORT, FEED_PORT, UPLOAD_PORT = 443, 444, 445
ORDER_PRIORITY, FEED_PRIORITY = 1, 2
AIM_S, TIMEOUT_S = 0.35, 1.75
ORDER = dispatching.Terms(AIM_S, TIMEOUT_S, ORDER_PRIORITY, guarded=True)
FEED = dispatching.Terms(AIM_S, TIMEOUT_S, FEED_PRIORITY, guarded=False)
SERVERS = 4
SERVICE_S = 0.025
#: Requests a second that the servers can run.
CAPACITY = SERVERS / SERVICE_S
ORDERS = 1 / 3
#: Seconds within which a caller that isn't served must know: half of the time
#: after which it repeats its opening.
TOLD_S = 0.1


class Sent(typing.NamedTuple):
    """The requests of one phase."""

    orders: list[packet_caller.Request]
    feeds: list[packet_caller.Request]


def overload_world(
    *, seed: int = 1, servers: int = SERVERS, balancers: int = 3
) -> packet_world.World:
    """Return a world of servers of one slot with orders, feeds, uploads."""
    world = packet_world.World(balancers=balancers, seed=seed)
    kinds = records.RequestKind
    world.store.configure(
        1,
        [
            packet_world.route(
                'dispatch',
                port=port,
                kind=kind,
                aim_ms=round(AIM_S * 1000),
                priority=priority,
                timeout_ms=round(TIMEOUT_S * 1000),
            )
            for port, kind, priority in (
                (ORDER_PORT, kinds.NON_IDEMPOTENT, ORDER_PRIORITY),
                (FEED_PORT, kinds.IDEMPOTENT, FEED_PRIORITY),
                (UPLOAD_PORT, kinds.UPLOAD, FEED_PRIORITY),
            )
        ],
    )
    for index in range(servers):
        world.add_server(
            f'10.0.1.{index + 1}',
            service='dispatch',
            slots=1,
            service_s=SERVICE_S,
        )
    world.run(2.0)
    return world


def send(
    world: packet_world.World,
    seconds: float,
    load: float,
    *,
    orders: float = ORDERS,
) -> Sent:
    """Send orders and feeds for some seconds.

    :param load: rate of requests, relative to the capacity of four servers.
    :param orders: share of the orders.
    """
    sent = Sent([], [])
    until = world.now + seconds
    while world.now < until:
        world.run(world.random.expovariate(load * CAPACITY))
        is_order = world.random.random() < orders
        port = ORDER_PORT if is_order else FEED_PORT
        request = world.request(port=port, timeout_s=TIMEOUT_S)
        (sent.orders if is_order else sent.feeds).append(request)
    return sent


def never_refuse(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let agents accept all openings."""
    monkeypatch.setattr(
        overload.OverloadGate, 'refuses', lambda gate, item, now: False
    )


def served(
    requests: list[packet_caller.Request], within_s: float = TIMEOUT_S
) -> int:
    """Return the number of requests answered within a time."""
    return sum(
        item.outcome == 'answered' and item.latency_s <= within_s
        for item in requests
    )


def in_time(requests: list[packet_caller.Request]) -> float:
    """Return the share of requests answered within the objective."""
    return served(requests, AIM_S) / len(requests)


def told_late(requests: list[packet_caller.Request]) -> int:
    """Return how many callers that weren't served waited over TOLD_S."""
    return sum(
        item.outcome != 'answered' and item.latency_s > TOLD_S
        for item in requests
    )


def assert_refusals_true(world: packet_world.World) -> None:
    """No open flow was reset, and no server got what was refused."""
    assert not world.broken()
    refused = {item['flow'] for item in world.events('refused')}
    for server in world.servers.values():
        received = [flow for _, flow in server.opened]
        received += [flow for _, flow, _ in server.ran]
        assert refused.isdisjoint(map(reporting.flow_text, received))


def refusals(world: packet_world.World) -> int:
    """Return the number of flows refused because of overload."""
    return sum(
        process.node._meters.counters['refused_overloaded']
        for process in world.balancers()
    )


def burst(
    seed: int, *, load: float = 3.0, orders: float = ORDERS
) -> tuple[packet_world.World, Sent, Sent]:
    """Play a burst after and before normal load.

    :returns: the world, and the requests during and after the burst.
    """
    world = overload_world(seed=seed)
    send(world, 3.0, 0.6)
    during = send(world, 4.0, load, orders=orders)
    after = send(world, 4.0, 0.8)
    world.run(3.0)
    return world, during, after


@pytest.mark.parametrize('seed', (1, 2))
def test_callers_know_at_once_in_a_burst(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers that wait for their timeout in vain.

    A burst of three times the capacity lasts 4 s; callers that are refused
    come back at once, twice.
    """
    world, during, after = burst(seed)
    assert_refusals_true(world)
    assert served(during.orders) == len(during.orders)
    assert served(during.orders, AIM_S) >= 0.85 * len(during.orders)
    assert served(after.orders, AIM_S) == len(after.orders)
    assert served(after.feeds, AIM_S) > 0.9 * len(after.feeds)
    assert not told_late(during.orders)
    assert told_late(during.feeds) < 0.08 * len(during.feeds)
    with monkeypatch.context() as patch:
        never_refuse(patch)
        _, without, after_without = burst(seed)
    assert told_late(without.feeds) > 0.8 * len(without.feeds)
    assert in_time(after.feeds) > in_time(after_without.feeds)
    assert in_time(during.orders) > 0.95 * in_time(without.orders)
    # The feeds' minimum share is an eighth of the capacity of 4 s.
    assert served(during.feeds) > 0.6 / 8 * 4 * CAPACITY


@pytest.mark.parametrize('seed', (1, 2))
def test_too_many_orders_are_refused(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against orders that all end late, or wait in vain.

    Nine tenths of a burst of three times the capacity are orders.
    """
    world, during, _ = burst(seed, orders=0.9)
    assert_refusals_true(world)
    assert told_late(during.orders) < 0.01 * len(during.orders)
    with monkeypatch.context() as patch:
        never_refuse(patch)
        _, without, _ = burst(seed, orders=0.9)
    assert told_late(without.orders) > 0.5 * len(without.orders)
    assert in_time(during.orders) > 1.2 * in_time(without.orders)
    # Feeds aren't starved by orders.
    assert in_time(during.feeds) > 2 * in_time(without.feeds)


@pytest.mark.parametrize('seed', (1, 2))
def test_refusal_ends_by_itself_and_does_not_flap(seed: int) -> None:
    """Guards against an agent that changes its mind with each request."""
    world, _, _ = burst(seed, orders=0.9)
    begun = [line for line in world.lines if line[2] == 'overload begins']
    ended = [line for line in world.lines if line[2] == 'overload ends']
    keys = [(name, fields['priority']) for _, name, _, fields in begun]
    assert keys
    assert len(keys) == len(set(keys)), 'an overload began twice'
    ends = [(name, fields['priority']) for _, name, _, fields in ended]
    assert sorted(keys) == sorted(ends)
    burst_ended_at = world.now - 7.0
    assert all(at < burst_ended_at + 2.5 for at, *_ in ended)
    for _, _, _, fields in begun:
        assert fields['expected_end_ms'] > fields['timeout_ms']


def test_nothing_is_refused_while_a_server_asked_has_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusals that leave a server idle.

    Each answer of an agent is recorded. A refused flow has no agent that
    accepted it, and each that returned it had requests waiting for more than
    a service time.
    """
    answers: dict[str, list[tuple[bool, int]]] = {}
    decide = overload.OverloadGate.refuses

    def record(gate: overload.OverloadGate, item, now: float) -> bool:
        refused = decide(gate, item, now)
        waiting = gate._admission.queue.waiting
        flow = reporting.flow_text(item.flow)
        answers.setdefault(flow, []).append((refused, waiting))
        return refused

    monkeypatch.setattr(overload.OverloadGate, 'refuses', record)
    world = overload_world()
    send(world, 1.0, 0.8)
    assert not world.resets
    send(world, 3.0, 3.0)
    world.run(3.0)
    assert_refusals_true(world)
    assert refusals(world) > 100
    for line in world.events('refused'):
        asked = answers.get(line['flow'], [])
        assert all(refused for refused, _ in asked)
    returned = [
        waiting
        for asked in answers.values()
        for refused, waiting in asked
        if refused
    ]
    assert min(returned) >= overload.MIN_QUEUE - 1
    # All servers were busy throughout.
    ran = sum(len(server.ran) for server in world.servers.values())
    assert ran > 0.95 * (0.8 + 3.0) * CAPACITY


def test_nothing_is_refused_below_the_capacity() -> None:
    """Existing deployments are served as before."""
    world = overload_world()
    sent = send(world, 10.0, 0.8)
    world.run(3.0)
    assert not world.resets
    assert not world.events('overload begins')
    assert served(sent.orders) == len(sent.orders)


def test_an_agent_that_restarts_accepts() -> None:
    """A restarted agent has no state; no open flow may be harmed by it.

    All agents are killed in turn during an overload.
    """
    world = overload_world()
    for host in list(world.servers):
        send(world, 0.8, 3.0)
        world.kill(host)
        send(world, 0.2, 3.0)
        world.start(host)
        gate = world.processes[host].node._overload
        assert not gate.overloaded_priorities
    send(world, 0.5, 3.0)
    world.run(3.0)
    assert refusals(world)
    assert_refusals_true(world)


def test_balancers_refuse_on_their_own_answers_only() -> None:
    """Guards against a refusal by a balancer that can't reach an agent.

    One balancer reaches a single agent, and its datagrams to the others are
    lost; the other balancers reach all.
    """
    world = overload_world()
    send(world, 0.5, 3.0)
    lonely = '10.0.0.1'
    hosts = list(world.servers)
    world.cut.update(frozenset((lonely, host)) for host in hosts[1:])
    send(world, 3.0, 3.0)
    world.run(3.0)
    assert_refusals_true(world)
    for process in world.balancers():
        others = [
            fields
            for _, name, event, fields in world.lines
            if event == 'given back' and fields['to'] == process.host
        ]
        refused = process.node._meters.counters['refused_overloaded']
        assert others or not refused


class _OldRecord(overload.OverloadRecord):
    """The behaviour of a balancer that doesn't know the reason."""

    def note_forwarded(self, flow: bytes, host: str) -> int:
        """Forward without a detail."""
        return 0

    def note_returned(self, *answer: typing.Any) -> None:
        """Treat all reasons alike."""

    def excluded_hosts(self, flow: bytes, now: float) -> set[str]:
        """Exclude no host."""
        return set()


def test_an_old_balancer_tries_the_next_target() -> None:
    """Old balancers refuse a flow only when all agents have returned it."""
    world = overload_world()
    old = world.processes['10.0.0.1'].node
    old._overload = old._targets._overload = _OldRecord()
    send(world, 3.0, 3.0)
    world.run(3.0)
    assert_refusals_true(world)
    assert not old._meters.counters['refused_overloaded']
    refused = [
        fields
        for _, name, event, fields in world.lines
        if event == 'refused' and name == '10.0.0.1'
    ]
    assert refused
    assert all(fields['denied'] == SERVERS for fields in refused)


def test_an_old_agent_takes_what_others_return(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Old agents never answer OVERLOADED, and a flow they take is served."""
    world = overload_world(servers=3)
    old = world.processes['10.0.1.1'].node
    monkeypatch.setattr(old._overload, 'refuses', lambda item, now: False)
    send(world, 2.0, 2.0)
    world.run(3.0)
    given_back = [line[1] for line in world.lines if line[2] == 'given back']
    assert set(given_back) == {'10.0.1.2', '10.0.1.3'}
    assert not refusals(world)
    assert_refusals_true(world)


@pytest.mark.parametrize('seed', (1, 2, 3))
def test_copies_of_openings_meet_no_reset(seed: int) -> None:
    """Guards against the reset of a flow that a server is accepting.

    A tenth of all datagrams is lost, so that many openings are repeated, and
    an agent and a balancer pause or restart during an overload.
    """
    world = overload_world(seed=seed)
    world.loss = 0.1
    send(world, 1.0, 3.0)
    paused = world.processes['10.0.1.1']
    paused.paused = True
    send(world, 0.5, 3.0)
    paused.resume()
    send(world, 0.5, 3.0)
    world.start('10.0.0.2')
    send(world, 1.0, 3.0)
    balancer = world.processes['10.0.0.1']
    balancer.paused = True
    send(world, 0.3, 3.0)
    balancer.resume()
    send(world, 0.5, 3.0)
    world.loss = 0.0
    world.run(4.0)
    assert refusals(world) > 50
    assert_refusals_true(world)


def refuse_all(
    world: packet_world.World, patch: pytest.MonkeyPatch, hosts: set[str]
) -> None:
    """Let the agents of some hosts refuse all new flows."""
    for host in hosts:
        gate = world.processes[host].node._overload
        patch.setattr(gate, 'refuses', lambda item, now: True)


def open_halfway(
    world: packet_world.World,
) -> tuple[packet_caller.Request, packet_world.Process]:
    """Start a feed, and pause its agent once the server has its opening."""
    feed = world.request(port=FEED_PORT, feed=True)
    for _ in range(1000):
        world.run(0.00005)
        for server in world.servers.values():
            if feed.flow in {flow for _, flow in server.opened}:
                process = world.processes[server.host]
                process.paused = True
                return feed, process
    raise AssertionError('no server got the opening')


def test_an_opening_counts_once_until_its_request_arrives() -> None:
    """Guards against an opening counted by the queue and again by the gate.

    The agent would refuse flows that its server can still serve.
    """
    world = overload_world()
    _, process = open_halfway(world)
    admitted = process.node._admission
    wait = admitted.expected_wait(world.now, FEED_PRIORITY)
    forecast = process.node._overload.forecast(FEED_PRIORITY, world.now)
    assert wait.start_s == wait.service_s
    assert forecast.start_s == wait.start_s
    process.resume()
    world.run(0.05)
    assert not admitted.opening_priorities(world.now)


def test_an_unanswered_copy_prevents_the_refusal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset while an acceptance is under way.

    A server has accepted the first copy, but its agent stands still for
    0.7 s. All other agents refuse the repeated copies.
    """
    world = overload_world()
    feed, process = open_halfway(world)
    refuse_all(world, monkeypatch, world.servers.keys() - {process.host})
    world.run(0.7)
    assert not feed.resets
    process.resume()
    world.run(1.0)
    assert feed.outcome == 'answered' and not feed.resets
    assert_refusals_true(world)


def test_a_restarted_balancer_refuses_no_flow_of_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset by a balancer that doesn't know the first copy.

    A server has accepted the first copy and its agent stands still; the
    balancers restart, and all other agents refuse new flows. An agent that is
    told that the flow can't be refused takes it.
    """
    world = overload_world()
    feed, process = open_halfway(world)
    for balancer in world.balancers():
        world.start(balancer.host)
    refuse_all(world, monkeypatch, world.servers.keys() - {process.host})
    world.run(0.7)
    process.resume()
    world.run(2.0)
    assert feed.outcome == 'answered' and not feed.resets
    assert_refusals_true(world)


def test_a_balancer_that_paused_refuses_no_old_openings(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset for a copy that waited during a pause.

    The first copy waits at a balancer that stands still. The next one goes to
    another balancer, whose agent accepts it. Then the first one is handled,
    while the other agents refuse.
    """
    world = overload_world(servers=5)
    feed = world.request(port=FEED_PORT, feed=True)
    world.run(0.0005)
    hosts = [process.host for process in world.balancers()]
    for host in hosts:
        world.processes[host].paused = True
    world.run(0.1)
    [holder] = [h for h in hosts if world.processes[h]._pending_inputs]
    for host in set(hosts) - {holder}:
        world.processes[host].resume()
    world._probe_misses[holder] = 2
    world.run(0.3)
    assert feed.opened
    [server] = [
        host
        for host, item in world.servers.items()
        if feed.flow in {flow for _, flow in item.opened}
    ]
    refuse_all(world, monkeypatch, world.servers.keys() - {server})
    world.processes[holder].resume()
    world.run(1.0)
    assert not feed.resets
    assert_refusals_true(world)


def test_late_copies_of_a_refused_flow_reach_no_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a server that accepts what its caller was told is over.

    A copy was sent before the reset arrived, and agents accept again. The
    second flow is refused by the answers to the first one.
    """
    world = overload_world(servers=3, balancers=1)
    balancer = world.processes['10.0.0.1'].node
    with monkeypatch.context() as patch:
        refuse_all(world, patch, set(world.servers))
        first = world.request(port=FEED_PORT, tries=1)
        world.run(0.05)
        second = world.request(port=FEED_PORT, tries=1)
        world.run(0.02)
    assert first.outcome == second.outcome == 'failed'
    assert refusals(world) == 2
    assert len(world.events('given back')) == 3
    world.run(overload.EXCLUSION_S)
    for flow in (first.flow, second.flow):
        balancer.on_packet(opening(flow, 1), world.now)
    world.run(0.5)
    assert_refusals_true(world)


def test_late_answers_refuse_at_the_next_copy_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset while the caller repeats its opening.

    The agents stand still, so that the last of three answers arrives 0.17 s
    after the opening.
    """
    world = overload_world(servers=3, balancers=1)
    balancer = world.processes['10.0.0.1'].node
    refuse_all(world, monkeypatch, set(world.servers))
    agents = [world.processes[host] for host in world.servers]
    for process in agents:
        process.paused = True
    feed = world.request(port=FEED_PORT, tries=1)
    world.run(0.165)
    for process in agents:
        process.resume()
    world.run(0.03)
    assert balancer._meters.counters['overload_answers_late'] == 1
    assert not feed.resets
    world.run(0.05)
    assert feed.outcome == 'failed' and refusals(world) == 1
    assert_refusals_true(world)


def test_uploads_and_unknown_routes_are_not_refused() -> None:
    """Guards against refusals of flows whose wait the agent doesn't know."""
    world = overload_world()
    send(world, 1.0, 3.0)
    uploads = [
        world.request(port=UPLOAD_PORT, timeout_s=TIMEOUT_S) for _ in range(9)
    ]
    unknown = world.request(port=500, timeout_s=TIMEOUT_S)
    world.run(0.02)
    assert world.events('overload begins')
    assert not any(item.resets for item in uploads)
    assert unknown.resets
    lines = world.events('refused')
    assert [item for item in lines if item['why'] == 'no route']
    gate = world.processes['10.0.1.1'].node._overload
    assert not gate.refuses(opening(unknown.flow), world.now)


def test_a_burst_of_openings_counts_before_its_requests_arrive() -> None:
    """Guards against all callers of one moment being accepted.

    After an outage 400 callers come at once. Their requests follow by one
    round trip, so that the queue is empty when all openings are decided.
    """
    world = overload_world()
    feeds = [
        world.request(port=FEED_PORT, timeout_s=TIMEOUT_S) for _ in range(400)
    ]
    world.run(0.1)
    refused = sum(item.outcome == 'failed' for item in feeds)
    assert 50 < refused < 350
    world.run(4.0)
    assert_refusals_true(world)
    accepted = [item for item in feeds if item.opened]
    assert served(accepted) > 0.95 * len(accepted)


class _Reporter(reporting.Reporter):
    """Keeps the events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def note(self, event: str, **fields: typing.Any) -> None:
        """Keep an event."""
        self.events.append(event)


class _Admission:
    """One slot and a queue, without tracking and configuration."""

    slots = 1

    def __init__(self, terms: dispatching.Terms | None) -> None:
        self.queue = dispatching.RequestQueue()
        self.terms = terms

    def route_terms(self, flow: bytes) -> dispatching.Terms | None:
        """Return the same terms for all flows."""
        return self.terms

    def expected_wait(
        self, now: float, priority: int | None = None
    ) -> expected_wait.ExpectedWait:
        """Return the wait by the number of requests ahead."""
        return expected_wait.estimate(
            ahead=self.queue.ahead_of(priority, now),
            slots=self.slots,
            service_s=self.queue.service_s,
        )

    def opening_priorities(self, now: float) -> list[int]:
        """Return no openings."""
        return []

    def fill(self, count: int, now: float) -> None:
        """Add requests."""
        for number in range(count):
            flow = b'%f-%d' % (now, number)
            self.queue.offer(flow, FEED, slots=1, since=now, now=now)


def gate_of(
    state: _Admission, *, started_at: float = -10.0
) -> tuple[overload.OverloadGate, _Reporter]:
    """Return a gate and its reporter."""
    reporter = _Reporter()
    gate = overload.OverloadGate(
        typing.cast(admission.Admission, state),
        log_fields=dict,
        reporter=reporter,
        now=started_at,
    )
    return gate, reporter


def opening(flow: bytes, copy: int = 0):
    """Return an opening."""
    return packet_codec.make_packet(flow, opening=True, acknowledged=copy)


def flow_of(number: int) -> bytes:
    """Return the key of a flow."""
    return number.to_bytes(12, 'big')


def test_a_copy_gets_the_answer_of_the_first_copy() -> None:
    """Guards against one copy returned and another accepted."""
    state = _Admission(FEED)
    gate, _ = gate_of(state)
    assert not gate.refuses(opening(flow_of(1)), 0.0)
    gate.note_accepted(flow_of(1), 0.0)
    state.fill(200, 0.1)
    assert gate.refuses(opening(flow_of(2)), 0.1)
    assert not gate.refuses(opening(flow_of(1), 1), 0.2)
    state.queue.clear()
    assert gate.refuses(opening(flow_of(2), 1), 0.3)
    assert not gate.refuses(opening(flow_of(3)), 0.3)


def test_a_restarted_agent_refuses_no_copies() -> None:
    """Its previous process may have forwarded the first copy."""
    state = _Admission(FEED)
    gate, _ = gate_of(state, started_at=0.0)
    state.fill(200, 0.1)
    assert not gate.refuses(opening(flow_of(1), 1), 0.2)
    assert gate.refuses(opening(flow_of(2), 0), 0.2)
    assert gate.refuses(opening(flow_of(3), 1), 2.1)


def test_a_refusing_agent_accepts_below_three_quarters() -> None:
    """Guards against an answer that changes with each request."""
    state = _Admission(FEED)
    gate, reporter = gate_of(state)
    state.fill(200, 0.0)
    assert gate.refuses(opening(flow_of(1)), 0.0)
    state.queue.clear()
    # Ends at 0.33 s: within the objective, but not within three quarters.
    state.fill(11, 0.1)
    assert gate.refuses(opening(flow_of(2)), 0.1)
    state.queue.clear()
    state.fill(7, 0.2)
    assert not gate.refuses(opening(flow_of(3)), 0.2)
    gate.tick(0.4)
    assert reporter.events == ['overload begins']
    gate.tick(1.2)
    assert reporter.events == ['overload begins', 'overload ends']
    state.queue.clear()
    state.fill(9, 1.3)
    assert not gate.refuses(opening(flow_of(4)), 1.3)


def test_feeds_do_not_delay_orders() -> None:
    """Orders are accepted while feeds are refused."""
    state = _Admission(FEED)
    gate, _ = gate_of(state)
    state.fill(200, 0.0)
    assert gate.refuses(opening(flow_of(1)), 0.0)
    state.terms = ORDER
    assert not gate.refuses(opening(flow_of(2)), 0.0)
    assert gate.overloaded_priorities == [FEED_PRIORITY]


def test_an_objective_below_the_service_time_refuses_no_idle_server() -> None:
    """Guards against refusals for ever by an objective nobody can meet."""
    state = _Admission(FEED._replace(aim_s=0.01))
    gate, _ = gate_of(state)
    state.fill(200, 0.0)
    assert gate.refuses(opening(flow_of(1)), 0.0)
    state.queue.clear()
    assert not gate.refuses(opening(flow_of(2)), 0.1)


def test_an_agent_that_refused_is_not_asked_again_for_a_while() -> None:
    """Guards against queries of callers that come back at once."""
    record = overload.OverloadRecord()
    record.note_opening(opening(flow_of(1)), FEED_PRIORITY, 0.0)
    record.note_forwarded(flow_of(1), 'a')
    reason = overload.REASON_OVERLOADED
    record.note_returned(flow_of(1), 'a', reason, 0.01)
    record.note_opening(opening(flow_of(2)), FEED_PRIORITY, 0.02)
    record.note_opening(opening(flow_of(3)), ORDER_PRIORITY, 0.02)
    assert record.excluded_hosts(flow_of(2), 0.02) == {'a'}
    assert not record.excluded_hosts(flow_of(3), 0.02)
    assert record.is_overloaded(flow_of(2), {'a'}, 0.02)
    assert not record.is_overloaded(flow_of(2), {'b'}, 0.02)
    assert not record.excluded_hosts(flow_of(2), 0.12)


def test_a_flow_is_refused_only_when_all_copies_are_known() -> None:
    """Guards against the reset of a flow that another balancer opened."""
    record = overload.OverloadRecord()
    reason = overload.REASON_OVERLOADED
    record.note_opening(opening(flow_of(1), 1), FEED_PRIORITY, 0.0)
    assert record.note_forwarded(flow_of(1), 'a') == overload.DETAIL_KEEP
    for host in 'abc':
        record.note_returned(flow_of(1), host, reason, 0.0)
    assert not record.enough_answers(flow_of(1))
    record.note_opening(opening(flow_of(2)), FEED_PRIORITY, 0.0)
    assert not record.note_forwarded(flow_of(2), 'd')
    assert not record.note_forwarded(flow_of(2), 'd')
    # COLD answers one copy, OVERLOADED all of them.
    record.note_returned(flow_of(2), 'd', 4, 0.0)
    assert record.unanswered(flow_of(2)) == 'd'
    record.note_returned(flow_of(2), 'd', reason, 0.0)
    assert record.unanswered(flow_of(2)) is None
    assert record.is_recent(flow_of(2), 0.14)
    assert not record.is_recent(flow_of(2), 0.2)


def test_memory_is_bounded() -> None:
    """Guards against growth by callers that come back for ever."""
    state = _Admission(FEED)
    gate, _ = gate_of(state)
    record = overload.OverloadRecord()
    state.fill(200, 0.0)
    for number in range(overload.MAX_OPENINGS + 100):
        assert gate.refuses(opening(flow_of(number)), 0.0)
        record.note_opening(opening(flow_of(number)), FEED_PRIORITY, 0.0)
    assert len(gate._openings) == len(record._flows) == overload.MAX_OPENINGS
    gate.tick(3.0)
    record.note_opening(opening(flow_of(0)), FEED_PRIORITY, 3.0)
    assert not gate._openings
    assert len(record._flows) == 1


def busy_queue() -> dispatching.RequestQueue:
    """Return a queue of one slot that has all the requests that it may."""
    queue = dispatching.RequestQueue()
    for number in range(1 + dispatching.EXTRA_REQUESTS):
        queue.offer(b'r%d' % number, ORDER, slots=1, since=0.0, now=0.0)
    return queue


def release_in_turn(
    queue: dispatching.RequestQueue, count: int, now: float
) -> list[bytes]:
    """End one request after the other; return the flows released."""
    flows: list[bytes] = []
    for _ in range(count):
        queue.finish(next(iter(queue._running)), now)
        flows += [item.flow for item in queue.release(slots=1, now=now)]
    return flows


def test_one_release_in_eight_is_of_the_lowest_priority() -> None:
    """Guards against feeds that wait for ever behind orders."""
    queue = busy_queue()
    for number in range(40):
        queue.offer(b'o%d' % number, ORDER, slots=1, since=0.0, now=0.0)
    for number in range(5):
        queue.offer(b'f%d' % number, FEED, slots=1, since=0.0, now=0.0)
    flows = release_in_turn(queue, 24, 0.0)
    feeds = [index for index, flow in enumerate(flows) if flow[:1] == b'f']
    assert feeds == [7, 15, 23]


def test_late_feeds_have_no_share() -> None:
    """A request that is late anyway must not delay one in time."""
    queue = busy_queue()
    for number in range(5):
        queue.offer(b'f%d' % number, FEED, slots=1, since=0.0, now=0.0)
    for number in range(20):
        queue.offer(b'o%d' % number, ORDER, slots=1, since=0.5, now=0.5)
    flows = release_in_turn(queue, 16, 0.5)
    assert all(flow[:1] == b'o' for flow in flows)


def test_the_share_changes_nothing_for_one_priority() -> None:
    """Requests of one priority run in the order of their remaining time."""
    queue = busy_queue()
    for number in range(30):
        since = -0.001 * number
        queue.offer(b'%d' % number, FEED, slots=1, since=since, now=0.0)
    flows = release_in_turn(queue, 30, 0.0)
    assert flows == [b'%d' % number for number in reversed(range(30))]


def test_the_share_costs_no_order_its_timeout() -> None:
    """Guards against a feed before an order whose timeout is near.

    Late orders wait until shortly before their timeout, and several are due
    at once. The next release would be the feeds' turn.
    """
    queue = busy_queue()
    for number in range(4):
        queue.offer(b'o%d' % number, ORDER, slots=1, since=0.0, now=0.0)
    now = TIMEOUT_S - 0.2
    for number in range(20):
        queue.offer(b'n%d' % number, ORDER, slots=1, since=now, now=now)
    for number in range(4):
        queue.offer(b'f%d' % number, FEED, slots=1, since=now, now=now)
    queue._passed_over = dispatching.RELEASES_PER_SHARE
    flows = release_in_turn(queue, 4, now)
    assert sorted(flows) == [b'o0', b'o1', b'o2', b'o3']


def test_the_table_of_losses_names_overload() -> None:
    """Operators find refused requests by their cause."""
    line = explain.Line(1.0, 'b', 'refused', {'why': 'overloaded'})
    assert explain.cause_of(line) == 'refused: overloaded'
    returned = explain.Line(1.0, 'a', 'given back', {'why': 'overloaded'})
    assert explain.cause_of(returned) is None
