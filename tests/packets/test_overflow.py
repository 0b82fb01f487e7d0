"""Test that new flows leave a service that is too slow for its route."""

from __future__ import annotations

import collections
import random
import typing

import pytest

from bench import packet_world
from teaseldock import load
from teaseldock.packets import balancer
from teaseldock.packets import control
from teaseldock.packets import dispatching
from teaseldock.packets import expected_wait
from teaseldock.packets import hints
from teaseldock.packets import overflow
from teaseldock.packets import placing
from teaseldock.packets import records
from teaseldock.packets import reporting
from tests.packets.feeds import ask_all
from tests.packets.feeds import restart_balancers

if typing.TYPE_CHECKING:
    from bench import packet_caller

AIM_S = 0.15
SERVICE_S = 0.03
#: The route with both services, and the one of the large service's callers.
SHARED_PORT, OWN_PORT, SMALL_PORT = 443, 444, 445
#: Two servers of one slot serve 67 requests a second, eight of two slots 533.
SMALL = [f'10.0.1.{number}' for number in range(1, 3)]
LARGE = [f'10.0.2.{number}' for number in range(1, 9)]
#: Most of the weight is at the small service.
WEIGHTS = (('small', 80), ('large', 20))
#: Requests a second of both routes with which the small service gets 1.9
#: times its capacity by weight, and both together 0.43 of their capacity.
SHARED_PER_S, OWN_PER_S = 160.0, 100.0


def routes(*choices: tuple[str, int]) -> list[records.Route]:
    """Return the shared route with some choices, and one for each service."""
    return [
        packet_world.route(*choices, port=SHARED_PORT),
        packet_world.route('large', port=OWN_PORT),
        packet_world.route('small', port=SMALL_PORT),
    ]


def two_services(
    *choices: tuple[str, int], balancers: int = 8, seed: int = 1
) -> packet_world.World:
    """Return a world with a small and a large service that are ready."""
    world = packet_world.World(balancers=balancers, seed=seed)
    world.store.configure(1, routes(*choices))
    for host in SMALL:
        world.add_server(host, service='small', slots=1, service_s=SERVICE_S)
    for host in LARGE:
        world.add_server(host, service='large', slots=2, service_s=SERVICE_S)
    world.run(3.0)
    return world


class Callers:
    """Callers that send requests at random times.

    :ivar requests: their requests by port.
    """

    def __init__(self, world: packet_world.World, seed: int = 1) -> None:
        """Create callers without requests."""
        self.requests: collections.defaultdict[
            int, list[packet_caller.Request]
        ] = collections.defaultdict(list)
        self._world = world
        self._random = random.Random(seed)

    def send(
        self, seconds: float, *, feed: bool = False, **per_s: float
    ) -> None:
        """Send requests at rates by route, for some seconds.

        :param per_s: ``shared``, ``own`` or ``small`` requests a second.
        """
        ports = {'shared': SHARED_PORT, 'own': OWN_PORT, 'small': SMALL_PORT}
        for name, rate in per_s.items():
            at = self._random.expovariate(rate)
            while at < seconds:
                self._world.after(
                    at, lambda port=ports[name]: self._request(port, feed)
                )
                at += self._random.expovariate(rate)
        self._world.run(seconds)

    def _request(self, port: int, feed: bool) -> None:
        request = self._world.request(
            feed=feed, tries=3 if feed else 1, port=port
        )
        self.requests[port].append(request)

    def outcomes(self, port: int) -> collections.Counter[str]:
        """Count the requests of a route that are in time, late and lost."""
        counts: collections.Counter[str] = collections.Counter()
        for request in self.requests[port]:
            if request.outcome != 'answered':
                counts['lost'] += 1
            elif request.latency_s <= AIM_S:
                counts['in time'] += 1
            else:
                counts['late'] += 1
        return counts

    def served_by(self, hosts: list[str], port: int, since: float) -> float:
        """Return the share of a route's flows that some hosts opened."""
        made = [item for item in self.requests[port] if item.began >= since]
        opened = {
            flow
            for host in hosts
            for _, flow in self._world.servers[host].opened
        }
        return sum(item.flow in opened for item in made) / len(made)


def check_promises(world: packet_world.World) -> None:
    """Check that no open flow was reset, and that no flow ran twice."""
    assert not world.broken()
    ran = collections.Counter(
        (flow, sequence)
        for server in world.servers.values()
        for _, flow, sequence in server.ran
    )
    assert all(count == 1 for count in ran.values())


def count(world: packet_world.World, name: str) -> int:
    """Return the sum of a counter over all balancers."""
    return sum(
        process.node.meters.counters[name] for process in world.balancers()
    )


def play(
    seed: int,
    *,
    shared: float = SHARED_PER_S,
    own: float = OWN_PER_S,
    seconds: float = 4.0,
) -> Callers:
    """Return the callers of a play with an overloaded small service."""
    world = two_services(*WEIGHTS, seed=seed)
    callers = Callers(world, seed)
    callers.send(seconds, shared=shared, own=own)
    world.run(3.0)
    check_promises(world)
    return callers


def disable(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the weights alone decide."""
    monkeypatch.setattr(overflow.OverflowPolicy, 'others', lambda *_: [])


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_an_idle_service_takes_over(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a route lost at a small service beside an idle one.

    The small service gets 1.9 times what it can serve, and its queue grows
    until callers give up. The large one could serve all of it: with overflow,
    the shared route's callers are in time like those of an idle service, and
    the large service's own callers don't notice.
    """
    with_overflow = play(seed)
    shared = with_overflow.outcomes(SHARED_PORT)
    own = with_overflow.outcomes(OWN_PORT)
    assert not shared['lost'] and not own['lost']
    assert shared['in time'] >= 0.95 * shared.total()
    assert own['in time'] >= 0.99 * own.total()
    disable(monkeypatch)
    by_weight = play(seed).outcomes(SHARED_PORT)
    # What the small service can serve, and the large one's share.
    assert by_weight['in time'] <= 0.62 * by_weight.total()
    assert by_weight['late'] + by_weight['lost'] >= 20 * (
        shared['late'] + shared['lost']
    )


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_two_loaded_services_do_not_exchange_flows(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers of another service that pay for the overflow.

    The large service gets 0.9 of its capacity from its own callers and by
    weight. A flow goes there only where it would begin within a quarter of
    the objective, so that own callers behind it are in time as well, unless
    several balancers choose the same target at once.
    """
    load_per_s = {'shared': SHARED_PER_S, 'own': 450.0, 'seconds': 3.0}
    with_overflow = play(seed, **load_per_s).outcomes(OWN_PORT)
    disable(monkeypatch)
    by_weight = play(seed, **load_per_s).outcomes(OWN_PORT)
    assert with_overflow['lost'] <= by_weight['lost']
    assert with_overflow['in time'] >= by_weight['in time'] - 0.02 * (
        by_weight.total()
    )


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_weights_hold_while_both_serve_in_time(seed: int) -> None:
    """Guards against overflow that replaces the operator's weights.

    The small service gets half of its capacity by weight. Flows may leave it
    for moments at which several requests meet at both servers.
    """
    world = two_services(*WEIGHTS, seed=seed)
    callers = Callers(world, seed)
    callers.send(8.0, shared=42.0, own=OWN_PER_S)
    world.run(1.0)
    check_promises(world)
    late_ms = 1000 * overflow.LATE_SHARE * AIM_S
    for event in world.events('overflow'):
        assert event['from_ms'] >= late_ms
        assert event['to_ms'] < overflow.GAIN_SHARE * event['from_ms']
    # 336 flows: the standard deviation of the share is 0.022.
    assert 0.73 <= callers.served_by(SMALL, SHARED_PORT, 0.0) <= 0.87


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_shares_return_after_the_load(seed: int) -> None:
    """Guards against flows that stay away after the load has fallen."""
    world = two_services(*WEIGHTS, seed=seed)
    callers = Callers(world, seed)
    callers.send(3.0, shared=SHARED_PER_S, own=OWN_PER_S)
    assert callers.served_by(SMALL, SHARED_PORT, 0.0) < 0.6
    # The queue of the small service is bounded by half of the objective.
    callers.send(0.3, shared=30.0, own=OWN_PER_S)
    before, since = count(world, 'overflowed'), world.now
    callers.send(6.0, shared=30.0, own=OWN_PER_S)
    assert count(world, 'overflowed') - before <= 3
    assert callers.served_by(SMALL, SHARED_PORT, since) >= 0.7
    world.run(1.0)
    check_promises(world)


@pytest.mark.parametrize('seed', [1, 2])
def test_at_most_half_comes_by_overflow(seed: int) -> None:
    """Guards against all balancers that rush to the same idle service.

    The large service has no callers of its own, and gets a fifth of the flows
    by weight. Each balancer sends it at most as many by overflow.
    """
    world = two_services(*WEIGHTS, seed=seed)
    callers = Callers(world, seed)
    callers.send(4.0, shared=SHARED_PER_S)
    world.run(3.0)
    check_promises(world)
    moved = collections.Counter()
    sent = collections.Counter()
    for _, name, event, fields in world.lines:
        moved[name] += event == 'overflow'
        if event == 'placed' and fields['host'] in LARGE:
            sent[name] += not fields['copy']
    assert sum(moved.values()) > 50
    for name, number in moved.items():
        assert number <= sent[name] / 2
    assert count(world, 'overflow_refused')


def test_a_weight_of_zero_gets_nothing() -> None:
    """Guards against flows at a service that the operator has closed."""
    world = two_services(('small', 100), ('large', 0))
    callers = Callers(world)
    callers.send(3.0, shared=SHARED_PER_S, own=OWN_PER_S)
    world.run(3.0)
    check_promises(world)
    assert not callers.served_by(LARGE, SHARED_PORT, 0.0)
    assert not count(world, 'overflowed')


def test_without_answers_the_weights_apply() -> None:
    """Guards against flows sent to a service whose load is not known.

    The balancers are cut off from the large service; its last loads say that
    it is idle. Their queries to it get no answers, and flows must not wait for
    these any longer than for those of the first service.
    """
    world = two_services(*WEIGHTS)
    callers = Callers(world)
    callers.send(2.0, shared=SHARED_PER_S, own=OWN_PER_S)
    moved = count(world, 'overflowed')
    assert moved
    for process in world.balancers():
        world.cut.update(frozenset((process.host, host)) for host in LARGE)
    # The answers on their way still count.
    world.run(overflow.load_query.FRESH_S + overflow.load_query.ANSWER_WAIT_S)
    since, moved = world.now, count(world, 'overflowed')
    callers.send(1.0, shared=SHARED_PER_S)
    assert count(world, 'overflowed') == moved
    # Each flow is placed before its caller sends a copy.
    assert callers.served_by(SMALL, SHARED_PORT, since) >= 0.7
    world.run(3.0)
    check_promises(world)


@pytest.mark.parametrize('way', ['evacuated', 'draining'])
def test_a_leaving_service_gets_no_overflow(way: str) -> None:
    """Guards against flows that overflow to servers that are being emptied."""
    world = two_services(*WEIGHTS)
    callers = Callers(world)
    callers.send(1.0, shared=SHARED_PER_S, own=OWN_PER_S)
    assert count(world, 'overflowed')
    if way == 'evacuated':
        world.store.evacuate('dc')
    for host in LARGE if way == 'draining' else ():
        world.servers[host].draining = True
        world.store.put(world.servers[host])
    # Some processes know it before others meanwhile.
    callers.send(1.0, shared=SHARED_PER_S, own=OWN_PER_S)
    since, moved = world.now, count(world, 'overflowed')
    callers.send(1.0, shared=SHARED_PER_S, own=OWN_PER_S)
    world.run(3.0)
    check_promises(world)
    assert count(world, 'overflowed') == moved
    assert all(
        at < since for host in LARGE for at, _ in world.servers[host].opened
    )


def test_agents_that_give_flows_back_lose_none() -> None:
    """Guards against a reset because the other service returns the opening.

    The instances of the large service have been given to a third one, and the
    balancers don't know it yet. Their agents answer load queries, and return
    packets of another tag. An opening that overflowed goes back to the small
    service, whose weight chose it.
    """
    world = two_services(*WEIGHTS)
    for host in LARGE:
        world.servers[host].service = 'other'
        world.start(host)
    world.run(1.0)
    callers = Callers(world)
    callers.send(0.5, shared=SHARED_PER_S, own=OWN_PER_S)
    world.run(3.0)
    check_promises(world)
    moved = {fields['flow'] for fields in world.events('overflow')}
    assert moved
    refused = {fields['flow'] for fields in world.events('refused')}
    assert not moved & refused
    opened = {flow for host in SMALL for _, flow in world.servers[host].opened}
    assert moved <= set(map(reporting.flow_text, opened))
    # It goes back at once, not after all agents there have returned it.
    asked = collections.Counter(
        fields['flow']
        for fields in world.events('placed')
        if fields['host'] in LARGE and fields['flow'] in moved
    )
    assert max(asked.values()) == 1


def overload_small(world: packet_world.World, callers: Callers) -> None:
    """Let requests wait at the small service for longer than half the aim."""
    for number in range(24):
        world.after(
            0.001 * number, lambda: callers._request(SMALL_PORT, False)
        )
    world.after(0.0, lambda: callers._request(OWN_PORT, False))
    callers.send(0.05, own=400.0)


@pytest.mark.parametrize('restart', [False, True])
def test_copies_of_an_accepted_opening_stay(restart: bool) -> None:
    """Guards against a flow that is open at a server of each service.

    The small service accepts an opening, and its answer is lost. When the
    caller's copy arrives 200 ms later, the small service is overloaded. A copy
    that overflowed would open the flow at the large service as well. The same
    holds at a balancer that has not seen the first copy.
    """
    world = two_services(('small', 99), ('large', 1))
    lost: set[bytes] = set()
    to_caller = world.to_caller

    def lose(item: typing.Any) -> None:
        if item.flow not in lost or not item.accepting:
            to_caller(item)

    world.to_caller = lose  # type: ignore[method-assign]
    callers = Callers(world)
    early = []
    for _ in range(20):
        early.append(world.request(tries=1))
        lost.add(early[-1].flow)
    world.run(0.1)
    accepted = {
        flow for host in SMALL for _, flow in world.servers[host].opened
    }
    assert len(accepted & lost) >= 18
    if restart:
        for process in world.balancers():
            world.start(process.host)
            world._probe_misses[process.host] = 0
    world.run(0.04)
    overload_small(world, callers)
    lost.clear()
    callers.send(0.1, shared=100.0, own=400.0, small=100.0)
    # New flows overflow at that moment, but copies must not.
    assert restart or count(world, 'overflowed')
    world.run(3.0)
    check_promises(world)
    opened = {flow for host in LARGE for _, flow in world.servers[host].opened}
    assert not opened & accepted


def test_another_balancer_finds_a_flow_that_overflowed() -> None:
    """Guards against a reset of flows that are not where their weight says.

    Feeds are opened while the small service is overloaded, and some of them
    overflow. Balancers restart, and get packets of flows that they don't know.
    """
    world = two_services(*WEIGHTS)
    callers = Callers(world)
    callers.send(0.5, shared=SHARED_PER_S, own=OWN_PER_S, feed=True)
    world.run(2.0)
    moved = {fields['flow'] for fields in world.events('overflow')}
    feeds = [
        item
        for item in callers.requests[SHARED_PORT]
        if reporting.flow_text(item.flow) in moved
    ]
    assert feeds and all(item.outcome == 'answered' for item in feeds)
    restart_balancers(world)
    ask_all(world, feeds, 1.5)
    check_promises(world)
    assert not any(item.resets for item in feeds)
    assert all(item.outcome == 'answered' for item in feeds)


@pytest.mark.parametrize(
    'after',
    [
        (('small', 100),),
        (('small', 100), ('large', 0)),
        (('large', 100),),
    ],
)
def test_a_change_between_query_and_answer(
    after: tuple[tuple[str, int], ...],
) -> None:
    """Guards against overflow by a configuration that is no more in force.

    A balancer has queried the large service when the operator drops it from
    the route, sets its weight to 0 or moves the whole route there.
    """
    world = two_services(('small', 99), ('large', 1), balancers=1)
    callers = Callers(world)
    overload_small(world, callers)
    # The loads of the large service are no longer fresh.
    world.run(0.05)
    since, asked = world.now, []
    query_others = balancer.Balancer._query_other_services

    def change_after_query(node: typing.Any, *args: typing.Any) -> bool:
        queried = query_others(node, *args)
        if queried and not asked:
            asked.append(args[0].flow)
            world.after(
                0.0002, lambda: world.store.configure(2, routes(*after))
            )
        return queried

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            balancer.Balancer, '_query_other_services', change_after_query
        )
        while not asked and world.now < since + 0.1:
            world.request(tries=1)
            world.run(0.01)
    assert asked
    world.run(3.0)
    check_promises(world)
    assert not world.events('overflow')
    assert not world.events('refused')
    assert asked[0] in {
        flow for host in SMALL for _, flow in world.servers[host].opened
    }
    assert all(item.outcome == 'answered' for item in world.requests)


def overflow_one(
    world: packet_world.World, callers: Callers, own: float = OWN_PER_S
) -> dict[str, typing.Any]:
    """Let openings overflow, and return the log record of the last one.

    That opening is on its way to its target.
    """
    callers.send(1.0, shared=SHARED_PER_S, own=own)
    known, until = len(world.events('overflow')), world.now + 1.0
    while len(world.events('overflow')) == known and world.now < until:
        callers.send(0.0005, shared=2 * SHARED_PER_S, own=own)
    assert len(world.events('overflow')) > known
    return world.events('overflow')[-1]


def test_a_target_that_dies_after_its_answer() -> None:
    """Guards against an opening that is lost with the target it overflowed to.

    The copy that its caller sends after 200 ms goes to another target of the
    same service.
    """
    world = two_services(*WEIGHTS)
    callers = Callers(world)
    moved = overflow_one(world, callers)
    world.kill(moved['host'])
    world.servers[moved['host']].crash()
    world.run(3.0)
    check_promises(world)
    request = next(
        item
        for item in callers.requests[SHARED_PORT]
        if reporting.flow_text(item.flow) == moved['flow']
    )
    assert request.outcome == 'answered'
    assert request.latency_s < 0.2 + AIM_S


def test_a_service_that_dies_after_its_answer() -> None:
    """Guards against callers that wait for a service that has just died.

    Balancers have fresh loads of the large service when all its instances
    die. Later openings stay at the small service, and the one that was on its
    way is not reset, since its targets may have accepted it.
    """
    world = two_services(*WEIGHTS)
    callers = Callers(world)
    moved = overflow_one(world, callers)
    for host in LARGE:
        world.kill(host)
        world.servers[host].crash()
    world.run(0.1)
    since, known = world.now, count(world, 'overflowed')
    callers.send(0.5, shared=50.0)
    assert count(world, 'overflowed') == known
    world.run(4.0)
    check_promises(world)
    refused = {fields['flow'] for fields in world.events('refused')}
    assert moved['flow'] not in refused
    opened = {flow for host in SMALL for _, flow in world.servers[host].opened}
    later = [
        item
        for item in callers.requests[SHARED_PORT]
        if item.began >= since and item.flow in opened
    ]
    assert later and all(item.outcome == 'answered' for item in later)


def test_the_last_target_leaves_after_its_answer() -> None:
    """Guards against a reset although the service of the weight serves.

    The first copy of an opening that overflowed is lost on its way to the only
    target of the large service, which then leaves. It returns the next copy.
    """
    world = two_services(('small', 95), ('large', 5))
    for host in LARGE[1:]:
        world.servers[host].draining = True
        world.store.put(world.servers[host])
    world.run(1.0)
    callers = Callers(world)
    moved = overflow_one(world, callers, own=15.0)
    # Datagrams to it are lost.
    target = world.processes.pop(LARGE[0])
    world.run(0.01)
    world.processes[LARGE[0]] = target
    target.node.leave(world.now)
    world.run(3.0)
    check_promises(world)
    request = next(
        item
        for item in callers.requests[SHARED_PORT]
        if reporting.flow_text(item.flow) == moved['flow']
    )
    assert request.outcome == 'answered' and not request.resets


def candidate(
    number: int,
    service: str = 'large',
    *,
    present: int = 0,
    slots: int = 1,
    wait: expected_wait.ExpectedWait | None = None,
    age_s: float = 0.002,
    unreported: float = 0.0,
    failing: float = 0.0,
    accepting: bool = True,
) -> placing.Candidate:
    """Return a candidate with some requests and a reported wait."""
    target = records.Target(
        f'i-{number}',
        service,
        f'10.0.1.{number}',
        8080,
        'dc',
        slots,
        False,
        0,
        number + 1,
    )
    reported = load.Load(
        min(slots, present),
        max(0, present - slots),
        slots,
        0,
        float(present),
        accepting,
    )
    return placing.Candidate(
        target, reported, age_s, unreported, False, failing, wait
    )


def test_an_old_agent_reports_no_wait() -> None:
    """Guards against agents of the previous version that look idle or late.

    Without a reported wait, the requests per slot count as the initial service
    time each, and a server with a free slot begins at once.
    """
    service_s = dispatching.INITIAL_SERVICE_S
    assert overflow.completion(candidate(1)) == (0.0, service_s)
    one = overflow.completion(candidate(1, present=1))
    assert one.start_s == pytest.approx(service_s)
    free = overflow.completion(candidate(1, present=1, slots=2))
    assert free.start_s == 0.0
    four = overflow.completion(candidate(1, present=5, slots=2))
    assert four.start_s == pytest.approx(2 * service_s)


def test_own_placements_add_to_the_reported_wait() -> None:
    """Guards against many flows sent to a server on one report."""
    wait = expected_wait.ExpectedWait(0.0, 0.02)
    idle = candidate(1, slots=2, wait=wait, unreported=1)
    assert overflow.completion(idle) == (0.0, 0.02)
    taken = candidate(1, slots=2, wait=wait, unreported=3)
    assert overflow.completion(taken).start_s == pytest.approx(0.02)
    busy = expected_wait.ExpectedWait(0.05, 0.02)
    queued = candidate(1, slots=2, present=6, wait=busy, unreported=1)
    assert overflow.completion(queued).start_s == pytest.approx(0.06)
    # A restarted agent doesn't know the service time.
    unknown = candidate(1, wait=expected_wait.ExpectedWait(0.01, 0.0))
    assert overflow.completion(unknown).service_s == (
        dispatching.INITIAL_SERVICE_S
    )


class _Inputs:
    """Stands in for the candidates and the configuration of a balancer."""

    def __init__(self, *others: placing.Candidate) -> None:
        self.others = list(others)
        self.choices = [('small', 80), ('large', 20)]

    def for_new_flow(
        self, flow: bytes, hint: hints.Hint, now: float
    ) -> list[placing.Candidate]:
        """Return the candidates of the hint's service."""
        return [
            item for item in self.others if item.target.service == hint.service
        ]

    def route(self, address: bytes) -> records.Route:
        """Return the route."""
        return packet_world.route(*self.choices, aim_ms=200)


class _Policy:
    """A policy with given candidates, whose reports are kept."""

    def __init__(self, *others: placing.Candidate) -> None:
        self.inputs = _Inputs(*others)
        self.meters = reporting.Meters()
        self.events: list[tuple[str, dict[str, typing.Any]]] = []
        self.policy = overflow.OverflowPolicy(
            self.inputs,  # type: ignore[arg-type]
            self.inputs,  # type: ignore[arg-type]
            log_fields=dict,
            reporter=self,  # type: ignore[arg-type]
            meters=self.meters,
        )
        self.policy.note_placed(self.hint('large'), 100.0)

    def note(self, event: str, **fields: typing.Any) -> None:
        """Keep an event."""
        self.events.append((event, fields))

    @staticmethod
    def hint(service: str = 'small') -> hints.Hint:
        """Return the hint of a new flow."""
        return hints.Hint(service, hints.HintState.OPENING)

    def choose(
        self,
        first: placing.Candidate,
        hint: hints.Hint | None = None,
        now: float = 100.0,
    ) -> placing.Candidate | None:
        """Return the target of a new flow at another service."""
        hint = hint or self.hint()
        item = packet_world.packet_codec.make_packet(bytes(12), opening=True)
        others = self.policy.others(item, hint, [first], now)
        return self.policy.choose(item, hint, [first], others, now)


def waits(
    start_s: float, number: int = 1, service: str = 'large', **fields
) -> placing.Candidate:
    """Return a candidate with a wait and 20 ms of service time."""
    wait = expected_wait.ExpectedWait(start_s, 0.02)
    return candidate(number, service, wait=wait, **fields)


LATE = waits(0.2, 9, 'small')


def test_the_conditions_of_an_overflow() -> None:
    """Guards against flows that leave too early, or for too little.

    The objective is 200 ms: late is from 100 ms, and a wait to begin of 50 ms
    elsewhere would harm the other callers.
    """
    assert _Policy(waits(0.0)).choose(LATE) is not None
    # The first service is in time.
    assert _Policy(waits(0.0)).choose(waits(0.079, 9, 'small')) is None
    assert _Policy(waits(0.0)).choose(waits(0.081, 9, 'small')) is not None
    # The gain is less than half.
    assert _Policy(waits(0.032)).choose(waits(0.081, 9, 'small')) is None
    # The wait there is a quarter of the objective.
    assert _Policy(waits(0.049)).choose(LATE) is not None
    assert _Policy(waits(0.051)).choose(LATE) is None


@pytest.mark.parametrize(
    'fields',
    [
        {'age_s': 0.05},
        {'accepting': False},
        {'failing': 0.5},
    ],
)
def test_servers_that_get_no_overflow(fields: dict[str, typing.Any]) -> None:
    """Guards against flows sent to a server that only looks idle.

    Its report is old, it refuses new flows, or it fails its requests at once.
    """
    policy = _Policy(waits(0.0, **fields))
    assert policy.choose(LATE) is None
    assert policy.meters.counters['overflow_refused'] == 1
    assert policy.events[0][1]['why'] == 'no fresh load'


def test_the_soonest_of_several_services() -> None:
    """Guards against a choice by weight among the other services."""
    policy = _Policy(waits(0.02, 1), waits(0.01, 2, 'third'))
    policy.inputs.choices.append(('third', 5))
    policy.policy.note_placed(policy.hint('third'), 100.0)
    hint = policy.hint()
    chosen = policy.choose(LATE, hint)
    assert chosen is not None and chosen.target.service == 'third'
    assert hint.service == 'third'
    assert hint.tag == control.service_tag('third')
    event, fields = policy.events[0]
    assert event == 'overflow'
    assert fields['from_service'] == 'small'
    assert fields['from_ms'] == 220 and fields['to_ms'] == 30


def test_the_share_is_counted_over_a_second() -> None:
    """Guards against flows counted twice, and against an old count."""
    policy = _Policy(waits(0.0))
    assert policy.choose(LATE) is not None
    assert policy.choose(LATE) is None
    assert policy.events[-1][1]['why'] == 'share'
    # A flow that is placed again is not another one.
    placed = policy.hint('large')
    placed.host = '10.0.1.1'
    policy.policy.note_placed(placed, 100.1)
    assert policy.choose(LATE, now=100.1) is None
    policy.policy.note_placed(policy.hint('large'), 100.2)
    assert policy.choose(LATE, now=100.2) is not None
    # After a second, none of them counts.
    assert policy.choose(LATE, now=101.3) is None


def test_openings_that_may_have_been_accepted_stay() -> None:
    """Guards against a flow that is open at two services."""
    policy = _Policy(waits(0.0))
    sent = policy.hint()
    sent.host = '10.0.1.9'
    assert policy.choose(LATE, sent) is None
    copied = policy.hint()
    copied.overflow_forbidden = True
    assert policy.choose(LATE, copied) is None
    # Its only target has returned it.
    sent.denied.add('10.0.1.9')
    assert policy.choose(LATE, sent) is not None
    # It came back from the other service.
    sent.move_to('small', overflowed=False)
    policy.policy.note_placed(policy.hint('large'), 100.0)
    assert policy.choose(LATE, sent) is None
