"""Test that no event lets processes flood each other with control traffic."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from bench import packet_world
from teaseldock.packets import control_budget

ROUTES = 1600
#: Seconds after the end of a fault until all is as before.
CALM_S = 3.0
#: Bytes a second of datagrams that the budget doesn't limit: a balancer sends
#: heartbeats to 12 others, to the processes that report to it and to started
#: ones.
HEARTBEATS_SLACK = 12_000


def many_routes(version: int) -> list:
    """Return routes that all differ between versions, and the busy one."""
    return [
        packet_world.route('dispatch', port=1000 + number, aim_ms=version)
        for number in range(ROUTES)
    ] + [packet_world.route('dispatch')]


def fleet(
    *, balancers: int = 8, servers: int = 18, link_mbps: float = 2.0
) -> packet_world.World:
    """Return a world behind slow links that has just started."""
    return packet_world.small_world(
        balancers=balancers, servers=servers, link_mbps=link_mbps
    )


def in_force(world: packet_world.World, version: int) -> int:
    """Return the number of processes in which a version is in force."""
    return sum(
        process.node.knowledge.version == version
        for process in world.processes.values()
    )


def most_bytes(world: packet_world.World, since: float) -> int:
    """Return the control bytes of a balancer's busiest second."""
    return max(
        (
            size
            for (host, second), size in world.control_bytes.items()
            if second >= int(since) and host not in world.servers
        ),
        default=0,
    )


def late_orders(world: packet_world.World, count: int = 40) -> int:
    """Let callers send orders; return how many got no answer in time."""
    orders = []
    for _ in range(count):
        orders.append(world.request(tries=1))
        world.run(0.02)
    world.run(0.3)
    return sum(item.outcome != 'answered' for item in orders)


@pytest.mark.parametrize(
    ('balancers', 'servers', 'link_mbps'),
    [(8, 18, 2.0), (8, 18, 20.0), (8, 18, 200.0), (59, 136, 2.0)],
)
def test_many_new_routes_do_not_fill_the_links(
    balancers: int, servers: int, link_mbps: float
) -> None:
    """A published configuration does not fill the links of balancers.

    A configuration with 1,600 routes is published; balancers have links of 2
    Mbit/s, 250 KB/s. When each balancer that had it sent it to all that had
    not acknowledged it, and again each 0.6 s, 215 to 466 KB/s left each
    balancer, and the acknowledgements waited behind that. Callers were
    affected for ten seconds: after 1,160 routes were added, openings got no
    answer, the store looked lost, and 355 of 2,322 requests of a day ended at
    their deadline.
    """
    world = fleet(balancers=balancers, servers=servers, link_mbps=link_mbps)
    began = world.now
    world.store.configure(9, many_routes(9))
    world.run(1.5)
    assert in_force(world, 9) == balancers + servers
    assert not late_orders(world)
    burst = control_budget.BURST_BYTES + control_budget.BYTES_PER_S
    assert most_bytes(world, began) <= burst + HEARTBEATS_SLACK
    assert not world.link_losses
    began = world.now
    world.run(5.0)
    assert most_bytes(world, began + 1) < control_budget.BYTES_PER_S


def test_control_does_not_grow_with_the_fleet() -> None:
    """A process sends as little control traffic among 200 as among 30.

    When every balancer sent heartbeats to every process, and every agent to
    every balancer, a balancer among 195 processes sent 20 KB/s while nothing
    happened, and most processor time of the system went into heartbeats.
    """
    spent = {}
    for balancers, servers in ((12, 28), (59, 136)):
        world = fleet(balancers=balancers, servers=servers, link_mbps=20.0)
        world.run(4.0)
        world.control_bytes.clear()
        world.run(6.0)
        total = sum(world.control_bytes.values())
        spent[balancers] = total / 6.0 / (balancers + servers)
        assert most_bytes(world, 0.0) < 8000
    assert spent[59] < 1.2 * spent[12]
    assert spent[59] < 2000


TRIGGERS = strategies.lists(
    strategies.sampled_from(
        ['routes', 'restart', 'cut', 'store', 'lapse', 'loss']
    ),
    min_size=1,
    max_size=3,
)


def pull(world: packet_world.World, trigger: str, version: int) -> None:
    """Start one fault."""
    hosts = sorted(world.processes)
    if trigger == 'routes':
        world.store.configure(version, many_routes(version))
    elif trigger == 'restart':
        for host in hosts[::2]:
            world.start(host)
    elif trigger == 'cut':
        for host in hosts[::3]:
            world.cut.update(
                frozenset((host, other)) for other in hosts if other != host
            )
    elif trigger == 'store':
        world.store.up = False
        world.store._wake()
    elif trigger == 'lapse':
        for host in list(world.servers)[::3]:
            world.store.remove(world.servers[host].identifier)
    else:
        world.loss = 0.05


def heal(world: packet_world.World) -> None:
    """End all faults."""
    world.cut.clear()
    world.store.up = True
    world.loss = 0.0
    registered = {item.host for item in world.store._targets.values()}
    for host, server in world.servers.items():
        if host not in registered:
            world.store.put(server)


@hypothesis.settings(max_examples=12, deadline=None, derandomize=True)
@hypothesis.given(TRIGGERS, strategies.sampled_from([2.0, 20.0]))
def test_all_is_as_before_soon_after_a_trigger(
    triggers: list[str], link_mbps: float
) -> None:
    """Trouble that has ended goes on feeding itself.

    Events: up to three troubles at once on a fleet of 26 for two seconds: all
    routes change, half of the processes restart, a third is cut off, the store
    is away, entries lapse, datagrams are lost. Then all of them end.
    """
    world = fleet(link_mbps=link_mbps)
    version = 1
    for trigger in triggers:
        version += 1
        pull(world, trigger, version)
        world.run(2.0 / len(triggers))
    heal(world)
    version += 1
    world.store.configure(version, [packet_world.route('dispatch')])
    world.run(CALM_S)
    assert in_force(world, version) == len(world.processes)
    world.control_bytes.clear()
    assert not late_orders(world)
    assert most_bytes(world, 0.0) < control_budget.BYTES_PER_S
    assert not world.broken()


def test_new_flows_are_placed_by_answers_when_nothing_happens() -> None:
    """New flows are placed by the load that candidates report.

    200 new flows a second arrive at four balancers with ten servers. If the
    budget's shares for occasional messages leave less than heartbeats need,
    "control budget dry" is logged on a normal day, and one flow in eight is
    placed without asking how busy its candidates are.
    """
    world = packet_world.small_world(balancers=4, servers=10, service_s=0.04)
    for _ in range(2000):
        world.request(tries=1)
        world.run(0.005)
    placed = asked = 0
    for process in world.balancers():
        placed += process.node.meters.counters['placed']
        asked += process.node.meters.counters['loads_asked']
    assert asked > 1.85 * placed
    assert not world.events('control budget dry')
