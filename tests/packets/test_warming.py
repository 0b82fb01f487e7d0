"""Test that a cold server gets no more than the operator's limit."""

from __future__ import annotations

import itertools

import hypothesis
from hypothesis import strategies

from bench import packet_world
from teaseldock.packets import records
from teaseldock.packets import warming

#: Excess over the limit that operators tolerate: a factor and a number.
OVERSHOOT = 1.5
SLACK = 5
WARMUP_MS = 2000
#: Orders per second that the tests send.
RATE = 60.0


def limits(requests_per_s: float) -> tuple[records.ColdLimit, ...]:
    """Return the limit of the service that the tests use."""
    return (records.ColdLimit('dispatch', WARMUP_MS, requests_per_s),)


def cold_world(
    requests_per_s: float, *, servers: int = 8, balancers: int = 3
) -> packet_world.World:
    """Return a simulation whose servers have all just started, cold."""
    world = packet_world.World(balancers=balancers)
    world.store.configure(
        1,
        [packet_world.route('dispatch')],
        cold_limits=limits(requests_per_s),
    )
    for index in range(servers):
        world.add_server(
            f'10.0.1.{index + 1}', service='dispatch', slots=2, service_s=0.03
        )
    world.run(2.0)
    for server in world.servers.values():
        make_cold(world, server)
    world.run(1.0)
    return world


def make_cold(world: packet_world.World, server: object) -> None:
    """Write an entry that says that the server is cold."""
    server.warmup_ms = WARMUP_MS
    world.store.put(server)


def send(
    world: packet_world.World, seconds: float, rate: float = RATE
) -> list:
    """Send orders for some seconds."""
    orders = []
    for _ in range(int(seconds * rate)):
        orders.append(world.request(tries=1))
        world.run(1 / rate)
    return orders


def most_in_a_second(
    world: packet_world.World, since: float, until: float
) -> int:
    """Return the most flows that opened at any server within a second."""
    most = 0
    for server in world.servers.values():
        first: dict[bytes, float] = {}
        for at, flow in server.opened:
            if since <= at <= until:
                first.setdefault(flow, at)
        moments = sorted(first.values())
        for index, at in enumerate(moments):
            count = sum(1 for other in moments[index:] if other - at < 1.0)
            most = max(most, count)
    return most


def test_cold_servers_of_a_release_are_spared() -> None:
    """Guards against a cold server that many balancers overload.

    All servers of a service are replaced at once, and three balancers without
    contact to each other place 60 orders a second. When each balancer by
    itself only counted a cold server as partly busy, the server got more
    requests in a second than its operator allows, and answered all of them
    late.
    """
    world = cold_world(8.0)
    hosts = [process.host for process in world.balancers()]
    world.cut.update(map(frozenset, itertools.combinations(hosts, 2)))
    since = world.now
    orders = send(world, 0.9)
    assert most_in_a_second(world, since, world.now) <= OVERSHOOT * 8 + SLACK
    world.run(0.3)
    assert all(order.outcome == 'answered' for order in orders)


def test_orders_beyond_all_limits_are_refused_at_once() -> None:
    """Orders beyond the limits of all servers are refused at once.

    All servers are cold and allow 16 orders a second together; 60 arrive.
    Callers must not wait for the rest, and none of the refused orders may run.
    """
    world = cold_world(2.0)
    since = world.now
    orders = send(world, 0.9)
    assert most_in_a_second(world, since, world.now) <= 2
    world.run(0.2)
    refused = [order for order in orders if order.outcome == 'failed']
    assert 10 < len(refused) < len(orders)
    assert all(order.latency_s < 0.1 for order in refused)
    ran = {item[1] for s in world.servers.values() for item in s.ran}
    assert not ran & {order.flow for order in refused}


def test_a_restarted_agent_keeps_to_the_limit() -> None:
    """Guards against an agent whose restart allows the whole limit again.

    A cold server gets its share; its agent is killed and restarts within the
    second, without a record of what it has let through.
    """
    world = cold_world(40.0, servers=1)
    since = world.now
    send(world, 0.4, 200.0)
    host = next(iter(world.servers))
    world.start(host)
    world.run(0.1)
    send(world, 0.45, 200.0)
    allowed = OVERSHOOT * 40 + SLACK
    assert most_in_a_second(world, since, world.now) <= allowed


def test_a_data_centre_comes_back_cold() -> None:
    """Guards against a burst to a data centre that returns to service.

    The only data centre is evacuated and returns. Its servers are cold, but
    their old entries say that they are warm until the next heartbeat. The
    limit was exceeded in the first second.
    """
    world = packet_world.World(balancers=3)
    world.store.configure(
        1, [packet_world.route('dispatch')], cold_limits=limits(8.0)
    )
    for index in range(3):
        world.add_server(
            f'10.0.1.{index + 1}',
            service='dispatch',
            slots=2,
            service_s=0.03,
            data_centre='east',
        )
    world.run(2.0)
    world.store.evacuate('east')
    world.run(1.0)
    world.store.evacuate('east', active=False)
    since = world.now
    send(world, 1.2)
    assert 0 < most_in_a_second(world, since, world.now) <= 8


def test_requests_of_open_flows_wait_for_a_cold_server() -> None:
    """Requests of open feeds that exceed the limit wait for their turn.

    30 feeds are open at a server that becomes cold, with a limit of 8 a
    second; all send a request at once.
    """
    world = packet_world.World(balancers=2)
    world.store.configure(
        1, [packet_world.route('dispatch')], cold_limits=limits(8.0)
    )
    server = world.add_server(
        '10.0.1.1', service='dispatch', slots=2, service_s=0.01
    )
    world.run(2.0)
    feeds = [world.request(feed=True) for _ in range(30)]
    world.run(1.5)
    make_cold(world, server)
    world.run(1.2)
    before = len(server.ran)
    for feed in feeds:
        feed.ask()
    world.run(0.5)
    assert len(server.ran) - before <= 8
    world.run(2.5)
    assert len(server.ran) - before == 30


def test_no_limit_is_no_limit() -> None:
    """A service without a limit receives all orders, cold or not."""
    world = cold_world(0.0)
    world.store.configure(2, [packet_world.route('dispatch')])
    world.run(0.5)
    orders = send(world, 0.9)
    world.run(0.3)
    assert all(order.outcome == 'answered' for order in orders)


PAUSES = strategies.lists(strategies.floats(0.0, 0.4), max_size=60)


@hypothesis.given(PAUSES, strategies.floats(0.2, 12.0))
def test_any_second_keeps_to_the_limit(
    pauses: list[float], allowed: float
) -> None:
    """Whatever the times, no interval of a second exceeds the limit."""
    state = warming.ColdLimiter(0.0)
    state.set_limit(records.ColdLimit('dispatch', 60_000, allowed))
    state.assume_cold(0.0)
    now, taken = 5.0, []
    for pause in pauses:
        now += pause
        if state.openings_left(now):
            state.note_opening(now)
            taken.append(now)
    for index, at in enumerate(taken):
        within = sum(1 for other in taken[index:] if other - at < 1.0)
        assert within <= max(1, int(allowed))
