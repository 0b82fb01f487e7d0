"""Test that an evacuated data centre gets no new flows."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from bench import packet_world
from teaseldock.packets import evacuations
from teaseldock.packets import knowledge
from teaseldock.packets import records

#: Seconds within which a request must be in force everywhere if nothing fails.
IN_FORCE_S = 1.0
NORTH = ['10.0.1.1', '10.0.1.2', '10.0.1.3']
EAST = ['10.0.2.1', '10.0.2.2', '10.0.2.3']
SOUTH = ['10.0.3.1', '10.0.3.2', '10.0.3.3']
CENTRES = {'north': NORTH, 'east': EAST, 'south': SOUTH}


def three_centres(**options: object) -> packet_world.World:
    """Return a world with three data centres that has just started."""
    world = packet_world.World(**options)
    world.store.configure(1, [packet_world.route('dispatch')])
    for name, hosts in CENTRES.items():
        for host in hosts:
            world.add_server(
                host,
                service='dispatch',
                slots=2,
                service_s=0.03,
                data_centre=name,
            )
    world.run(2.0)
    return world


def send(world: packet_world.World, count: int = 60) -> list:
    """Let callers send orders."""
    orders = []
    for _ in range(count):
        orders.append(world.request(tries=1))
        world.run(0.02)
    world.run(0.3)
    return orders


def opened_at(
    world: packet_world.World, centre: str, since: float
) -> list[tuple[float, bytes]]:
    """Return the openings that targets of a data centre accepted."""
    return [
        taken
        for host in CENTRES[centre]
        for taken in world.servers[host].opened
        if taken[0] >= since
    ]


def test_an_evacuated_data_centre_gets_no_new_flows() -> None:
    """New flows don't reach targets in an evacuated data centre.

    The operator's request is published while callers go on. If no process
    reads the request, 1,846 openings a day reach such targets later than five
    seconds after it.
    """
    world = three_centres()
    world.store.evacuate('east')
    world.run(IN_FORCE_S)
    since = world.now
    orders = send(world)
    assert not opened_at(world, 'east', since)
    assert all(order.outcome == 'answered' for order in orders)
    assert all(
        process.node.knowledge.evacuated == {'east'}
        for process in world.processes.values()
    )


def test_a_data_centre_that_is_taken_back_gets_flows_again() -> None:
    """The withdrawal of a request reaches all processes, too."""
    world = three_centres()
    world.store.evacuate('east')
    world.run(IN_FORCE_S)
    world.store.evacuate('east', active=False)
    world.run(IN_FORCE_S)
    since = world.now
    send(world)
    assert opened_at(world, 'east', since)


def test_open_flows_stay_where_they_are() -> None:
    """Feeds at targets of an evacuated data centre stay there."""
    world = three_centres()
    feeds = [world.request(feed=True) for _ in range(30)]
    world.run(1.0)
    there = set(EAST)
    held = [
        feed
        for feed in feeds
        if any(feed.flow in world.servers[host].flows for host in there)
    ]
    assert held
    world.store.evacuate('east')
    world.run(IN_FORCE_S)
    flows = [feed.flow for feed in held]
    for feed in held:
        feed.ask()
    world.run(1.0)
    assert [feed.flow for feed in held] == flows
    assert all(feed.outcome == 'answered' for feed in held)
    assert not world.broken()


def test_all_evacuated_is_refused_at_once() -> None:
    """A caller is refused at once if no target may take its flow."""
    world = three_centres()
    for name in CENTRES:
        world.store.evacuate(name)
    world.run(IN_FORCE_S)
    since = world.now
    orders = send(world, 10)
    assert all(order.outcome == 'failed' for order in orders)
    assert all(order.latency_s < 0.05 for order in orders)
    assert not any(opened_at(world, name, since) for name in CENTRES)
    whys = {fields['why'] for fields in world.events('refused')}
    assert 'data centre evacuated' in whys


def test_the_agent_is_the_last_to_say_no() -> None:
    """Agents refuse new flows from a balancer that lacks an evacuation.

    A balancer is cut off from the store and from all balancers; the agents
    that it sends flows to have the evacuation. If only balancers applied it,
    new flows would reach evacuated targets through this balancer.
    """
    world = three_centres(balancers=3)
    lagging = world.seeds[0]
    others = [p.host for p in world.balancers() if p.host != lagging]
    world.store.refused.add(lagging)
    world.cut.update(frozenset((lagging, host)) for host in others)
    process = world.processes[lagging]
    # The agents have newer changes, but the balancer must not request them.
    process.node._exchange.pull = lambda now: None
    process.node._exchange.pull_alerts = lambda now, source=None: None
    world.store.evacuate('east')
    world.run(IN_FORCE_S)
    assert process.node.knowledge.evacuated == frozenset()
    since = world.now
    orders = send(world)
    assert not opened_at(world, 'east', since)
    assert all(order.outcome == 'answered' for order in orders)
    assert process.node.meters.counters['placed']


def test_a_copy_of_an_accepted_opening_is_not_refused() -> None:
    """A retransmission of an accepted opening is not refused.

    A target accepts an opening, and its answer is late; all data centres are
    evacuated; the caller's retransmission arrives, and no target is available
    for it. If it is refused, the caller gets a reset that its target did not
    send.
    """
    world = three_centres()
    order = world.request(tries=1)
    receive = order.receive
    order.receive = lambda item: None
    world.run(0.05)
    assert any(order.flow in s.flows for s in world.servers.values())
    for name in CENTRES:
        world.store.evacuate(name)
    world.run(0.5)
    order.receive = receive
    world.run(0.3)
    assert not world.events('refused')
    assert order.outcome == 'answered'
    assert not world.resets


@pytest.mark.parametrize('how', ['young', 'history', 'outage', 'unread'])
def test_the_request_reaches_who_was_not_there(how: str) -> None:
    """A process that missed a request or its withdrawal gets it later.

    A process starts after the request (young); the store drops its history
    between request and withdrawal (history); the request is written while the
    store is unreachable (outage); it is withdrawn while no process reads
    (unread). If requests arrived by watches only, the process would send flows
    there.
    """
    world = three_centres()
    if how == 'outage':
        world.store.up = False
        world.store._wake()
        world.run(1.0)
        world.store.evacuate('east')
        world.run(1.0)
        world.store.up = True
    elif how == 'unread':
        world.store.evacuate('south')
        world.run(IN_FORCE_S)
        world.store.up = False
        world.store._wake()
        world.store.evacuate('south', active=False)
        world.store.evacuate('east')
        world.store.forget_history()
        world.run(1.0)
        world.store.up = True
    else:
        world.store.evacuate('east')
    if how == 'history':
        world.store.forget_history()
    if how == 'young':
        world.run(IN_FORCE_S)
        for host in sorted(world.processes):
            world.start(host)
    world.run(2.5)
    assert all(
        process.node.knowledge.evacuated == {'east'}
        for process in world.processes.values()
    )


def evacuation(revision: int, *, active: bool) -> records.Evacuation:
    """Return a request, or its withdrawal."""
    return records.Evacuation('east', revision, active)


def test_an_old_request_does_not_come_back() -> None:
    """A late message does not restore a withdrawn request.

    Request (4) and withdrawal (6) are known; a peer's message from before the
    withdrawal arrives. If the withdrawal is not stored for comparison, a data
    centre that is in use again gets no flows at some balancers.
    """
    known = knowledge.Knowledge()
    request = evacuation(4, active=True)
    known.apply(
        records.Changes(0, 5, [], [], None, evacuations=(request,)), 0.0
    )
    end = evacuation(6, active=False)
    known.apply(records.Changes(5, 6, [], [], None, evacuations=(end,)), 1.0)
    known.apply(
        records.Changes(0, 5, [], [], None, evacuations=(request,)), 2.0
    )
    assert known.evacuated == frozenset()


def test_a_name_without_targets_harms_nobody() -> None:
    """An evacuation of a data centre without targets has no effect."""
    world = three_centres()
    world.store.evacuate('nowhere')
    world.run(IN_FORCE_S)
    orders = send(world, 20)
    assert all(order.outcome == 'answered' for order in orders)


ITEMS = strategies.builds(
    records.Evacuation,
    strategies.sampled_from(['a', 'b', 'c']),
    strategies.integers(1, 20),
    strategies.booleans(),
)


@hypothesis.given(strategies.lists(ITEMS, unique_by=lambda i: i[:2]))
def test_any_order_of_messages_ends_alike(items: list) -> None:
    """The newest word for each data centre wins, whatever came first."""
    forth, back = evacuations.Evacuations(), evacuations.Evacuations()
    for item in items:
        forth.apply([item])
    for item in reversed(items):
        back.apply([item])
    assert forth.active == back.active
    assert sorted(forth.since(0)) == sorted(back.since(0))
