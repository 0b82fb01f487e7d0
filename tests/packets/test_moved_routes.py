"""Test that open flows stay when the operator moves their route."""

from __future__ import annotations

import pytest

from bench import packet_caller
from bench import packet_codec
from bench import packet_world
from teaseldock.packets import records
from tests.packets.feeds import ask_all
from tests.packets.feeds import restart_balancers
from tests.packets.feeds import serve_feeds

SERVICES = ('board', 'printer')


def two_services(
    *choices: tuple[str, int], others: int = 0, seed: int = 1
) -> packet_world.World:
    """Return a world with two services of four servers each, and others.

    :param choices: services and weights of the one busy route.
    :param others: servers of a third service, which gets no requests.
    """
    world = packet_world.World(seed=seed)
    world.store.configure(1, routes(*choices))
    for index, service in enumerate(SERVICES, 1):
        for number in range(1, 5):
            world.add_server(
                f'10.0.{index}.{number}',
                service=service,
                slots=4,
                service_s=0.03,
            )
    for number in range(1, others + 1):
        world.add_server(
            f'10.0.9.{number}', service='idle', slots=1, service_s=0.03
        )
    # After this time the agents have seen every flow of their servers.
    world.run(17.0)
    return world


def routes(*choices: tuple[str, int]) -> list[records.Route]:
    """Return the busy route, and one for each service."""
    return [
        packet_world.route(*choices),
        packet_world.route('board', port=1),
        packet_world.route('printer', port=2),
        packet_world.route('idle', port=3),
    ]


@pytest.mark.parametrize(
    'after',
    [
        (('board', 10), ('printer', 90)),
        (('board', 0), ('printer', 100)),
        (('printer', 100),),
    ],
)
@pytest.mark.parametrize('agents_restart', [False, True])
def test_flows_outlive_moved_weights(
    after: tuple[tuple[str, int], ...], agents_restart: bool
) -> None:
    """A feed is not reset when its route's weights or service change.

    The operator moves a route's weight, or the route itself, to another
    service; balancers that start later get packets of older flows. If they ask
    only servers of the service that the route names now, they log ``flow
    lost`` and reset a flow whose server lives and holds it.
    """
    world = two_services(('board', 90), ('printer', 10))
    feeds = serve_feeds(world, 40)
    world.store.configure(2, routes(*after))
    world.run(1.0)
    if agents_restart:
        for host in list(world.servers):
            world.start(host)
            world.run(0.1)
    restart_balancers(world, pause_s=0.3)
    ask_all(world, feeds, 1.5)
    assert not world.broken()
    assert not any(feed.resets for feed in feeds)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert max(feed.latency_s for feed in feeds) < 0.3


def test_a_flow_that_a_late_balancer_placed_is_found() -> None:
    """A flow that a balancer with an older route has just opened is found.

    A route moves to another service; a balancer without that change opens a
    flow at the former service; its packets reach another balancer. The agent
    reported what it holds before that flow opened; if that report decides, the
    feed is reset as above.
    """
    world = two_services(('board', 1))
    late = world.balancers()[0].host
    cuts = [
        frozenset((late, process.host))
        for process in world.balancers()
        if process.host != late
    ]
    world.store.refused.add(late)
    world.cut.update(cuts)
    for process in world.balancers():
        world._probe_misses[process.host] = 0 if process.host == late else 9
    world.store.configure(2, routes(('printer', 1)))
    world.run(0.3)
    feed = world.request(feed=True)
    world.run(0.05)
    assert feed.opened
    assert any(feed.flow in server.flows for server in world.servers.values())
    world.kill(late)
    for process in world.balancers():
        world._probe_misses[process.host] = 0
    world.run(0.5)
    feed.ask()
    world.run(1.0)
    assert not world.broken()


def test_other_services_cost_a_search_nothing() -> None:
    """A search for a lost flow skips agents that cannot hold it.

    A server loses its flows; balancers search for them. If agents are asked
    that know all their flows and have reported that they hold none of the
    address, each lost flow costs 54,000 questions at as many targets.
    """
    world = two_services(('board', 1), others=40)
    feeds = serve_feeds(world, 20)
    for server in world.servers.values():
        server.flows.clear()
    restart_balancers(world, pause_s=0.3)
    before = [
        process.node.meters.counters['asked']
        for process in world.processes.values()
    ]
    ask_all(world, feeds, 1.5)
    asked = [
        process.node.meters.counters['asked']
        for process in world.processes.values()
    ]
    assert world.events('flow lost')
    # Four servers of the service: the balancer's questions, a relay
    # request, and the relay's questions.
    assert sum(asked) - sum(before) <= 13 * len(feeds)


@pytest.mark.parametrize(('after_s', 'sequence'), [(3.0, 77), (12.0, 0)])
def test_a_port_used_again_goes_to_the_service_of_its_route(
    after_s: float, sequence: int
) -> None:
    """Guards against openings that count as copies of a former flow's.

    :param after_s: seconds from the change of the route to the new opening.
    :param sequence: sequence number of the new opening; the former has 0.
    """
    world = packet_world.small_world(servers=3)
    world.add_server('10.0.2.1', service='tickets', slots=2, service_s=0.03)
    world.store.configure(
        2,
        [
            packet_world.route('dispatch'),
            packet_world.route('tickets', port=9),
        ],
    )
    world.run(1.0)
    requests = [world.request() for _ in range(10)]
    used = [request.flow for request in requests]
    world.run(1.0)
    assert all(request.outcome == 'answered' for request in requests)
    world.store.configure(3, [packet_world.route('tickets')])
    world.run(after_s)
    for flow in used:
        world.from_caller(
            packet_codec.make_packet(flow, opening=True, sequence=sequence)
        )
    world.run(0.3)
    opened = [flow for _, flow in world.servers['10.0.2.1'].opened]
    assert sorted(opened) == sorted(used)


def test_a_copy_of_an_opening_stays_with_its_flow() -> None:
    """Guards against copies that begin a second flow at another service."""
    world = packet_world.small_world(servers=3)
    world.add_server('10.0.2.1', service='tickets', slots=2, service_s=0.03)
    for host in ('10.0.1.1', '10.0.1.2', '10.0.1.3'):
        world.servers[host].silent = True
    requests = [world.request(tries=1) for _ in range(10)]
    world.run(0.1)
    world.store.configure(2, [packet_world.route('tickets')])
    world.run(2.0)
    assert not world.servers['10.0.2.1'].opened
    assert all(request.outcome == 'failed' for request in requests)
    assert not any(
        process.node.meters.counters['ports_reused']
        for process in world.balancers()
    )


def ask_often(
    world: packet_world.World,
    feeds: list[packet_caller.Request],
    seconds: float,
) -> None:
    """Let the feeds go on sending requests, four each second."""
    for _ in range(round(4 * seconds)):
        for feed in feeds:
            if feed.outcome:
                feed.ask()
        world.run(0.25)


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('all_agents', [False, True])
def test_flows_outlive_a_service_that_is_no_longer_configured(
    seed: int, all_agents: bool
) -> None:
    """Guards against resets of flows at servers that no service names.

    Their agents restart after the change, then each balancer does.
    """
    world = two_services(('board', 100), seed=seed)
    feeds = serve_feeds(world, 40)
    world.store.configure(
        2,
        [
            packet_world.route('printer'),
            packet_world.route('printer', port=2),
        ],
    )
    ask_often(world, feeds, 3.0)
    agents = [
        host
        for host, server in world.servers.items()
        if all_agents or server.service == 'board'
    ]
    for host in [*agents, *(item.host for item in world.balancers())]:
        world.processes[host].node.leave(world.now)
        ask_often(world, feeds, 1.25)
        world.kill(host)
        ask_often(world, feeds, 0.75)
        world.start(host)
        ask_often(world, feeds, 0.5)
    world.run(2.0)
    assert not world.broken()
    assert not any(feed.resets for feed in feeds)
    assert all(feed.outcome == 'answered' for feed in feeds)


def test_entries_of_unknown_services_delay_no_reset() -> None:
    """Guards against searches that wait for hosts which never answer."""
    world = two_services(('board', 100))
    feeds = serve_feeds(world, 20)
    restart_balancers(world)
    assert world.balancers()[0].node.knowledge.entries_of_unknown_services
    for server in world.servers.values():
        for feed in feeds:
            server.discard(feed.flow)
    ask_all(world, feeds, 0.5)
    took_ms = [line['took_ms'] for line in world.events('flow lost')]
    assert len(took_ms) == 20
    assert max(took_ms) < 60
