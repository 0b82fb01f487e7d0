"""Test a store that is restored from a copy some seconds old."""

from __future__ import annotations

import itertools
import random

import pytest

from bench import packet_copies
from bench import packet_world
from teaseldock.packets import records

#: Seconds after the store's return until changes spread in the usual time.
STABLE_S = 4.0
#: Seconds within which a change must be in force everywhere.
IN_FORCE_S = 3.0
#: Calls to the store in the seconds until it is stable: a full read by each of
#: a few readers and one by some that take over, besides their watches.
CALLS = 60

FLEETS = ((4, 10), (8, 18), (20, 53))


def routes(count: int) -> list[records.Route]:
    """Return the route of the service, and others without traffic."""
    others = [
        packet_world.route('dispatch', port=1000 + i) for i in range(count)
    ]
    return [packet_world.route('dispatch'), *others]


def write(world: packet_world.World, *, per_s: float, seconds: float) -> None:
    """Let the operator and the servers write alternately."""
    hosts = sorted(world.servers)
    steps = max(1, round(per_s * seconds))
    for step in range(steps):
        if step % 4 == 0:
            published = world.store.configuration
            assert published is not None
            world.store.configure(published.version + 1, routes(5 + step))
        else:
            server = world.servers[hosts[step % len(hosts)]]
            server.slots += 1
            world.store.put(server)
        world.run(seconds / steps)


def lose(
    world: packet_world.World, lost_s: float, *, away_s: float = 1.0
) -> None:
    """Make the store unreachable, then restore it without its last writes."""
    world.store.go_away()
    world.run(away_s)
    world.store.come_back(lost_s + away_s)


def drain(world: packet_world.World, host: str) -> records.Target:
    """Let a server announce its departure."""
    server = world.servers[host]
    server.draining = True
    world.store.put(server)
    return server.entry()


def processes_lacking_drain(
    world: packet_world.World, target: records.Target
) -> list[str]:
    """Return the processes that would send flows to a leaving server."""
    return [
        process.host
        for process in world.processes.values()
        if target.identifier
        in (
            item.identifier
            for item in process.node.knowledge.placeable(target.service)
        )
    ]


def processes_lacking_version(world: packet_world.World) -> list[str]:
    """Return the processes that don't use the published configuration."""
    published = world.store.configuration
    assert published is not None
    return [
        process.host
        for process in world.processes.values()
        if process.node.knowledge.version != published.version
    ]


def violations(
    balancers: int, servers: int, lost_s: float, per_s: float
) -> list[str]:
    """Simulate one restore; return which limits were exceeded after it."""
    world = packet_world.small_world(
        balancers=balancers, servers=servers, link_mbps=100.0
    )
    world.run(3.0)
    write(world, per_s=per_s, seconds=lost_s)
    lose(world, lost_s)
    calls = world.store.calls
    world.run(STABLE_S)
    calls = world.store.calls - calls
    leaving = drain(world, sorted(world.servers)[3])
    published = world.store.configuration
    assert published is not None
    world.store.configure(published.version + 1, routes(2))
    world.run(IN_FORCE_S)
    play = f'{balancers + servers} processes, {lost_s} s at {per_s}/s'
    found = []
    if lacking := processes_lacking_drain(world, leaving):
        found.append(f'{play}: {len(lacking)} lack that a server leaves')
    if lacking := processes_lacking_version(world):
        found.append(f'{play}: {len(lacking)} lack the configuration')
    if calls > CALLS:
        found.append(f'{play}: {calls} calls')
    return found


def test_changes_after_a_return_from_an_older_copy_are_in_force_in_time() -> (
    None
):
    """Guards against processes that take reassigned revisions for old."""
    plays = itertools.product(FLEETS, (1.0, 3.0, 6.0, 10.0), (2.0, 8.0))
    found = [
        text
        for (balancers, servers), lost_s, per_s in plays
        for text in violations(balancers, servers, lost_s, per_s)
    ]
    assert found == []


@pytest.mark.parametrize('lost_s', [1.0, 3.0])
def test_a_counter_that_has_passed_what_was_known_hides_no_lost_write(
    lost_s: float,
) -> None:
    """Guards against equal revisions being taken for equal content."""
    world = packet_world.small_world(balancers=4, servers=10)
    world.run(3.0)
    write(world, per_s=2.0, seconds=lost_s)
    world.store.go_away()
    world.run(1.0)
    world.store.come_back(lost_s + 1.0)
    # More writes than were lost follow before any process calls again.
    for host in sorted(world.servers):
        world.servers[host].slots += 100
        world.store.put(world.servers[host])
    published = world.store.configuration
    assert published is not None
    world.store.configure(published.version + 50, routes(1))
    world.run(STABLE_S + IN_FORCE_S)
    assert processes_lacking_version(world) == []
    for process in world.processes.values():
        known = process.node.knowledge.targets.values()
        assert {item.slots > 100 for item in known} == {True}


@pytest.mark.parametrize('balancers', [4, 12])
def test_a_copy_brings_no_older_version_back(balancers: int) -> None:
    """Guards against a dropped route that works again after a restore."""
    world = packet_world.small_world(balancers=balancers, servers=10)
    world.run(3.0)
    for version in (2, 3, 4):
        world.store.configure(version, routes(version))
        world.run(0.5)
    lose(world, 1.2)
    for _ in range(60):
        world.run(0.05)
        versions = {p.node.knowledge.version for p in world.processes.values()}
        assert versions == {4}


def test_a_server_whose_leaving_a_copy_lacks_gets_no_flows() -> None:
    """Guards against new flows at a server that announced its departure."""
    world = packet_world.small_world(balancers=4, servers=10)
    world.run(3.0)
    leaving = drain(world, sorted(world.servers)[3])
    world.run(1.0)
    lose(world, 1.5)
    for _ in range(100):
        world.run(0.05)
        assert processes_lacking_drain(world, leaving) == []


def test_a_server_that_a_copy_lacks_serves_on() -> None:
    """Guards against a service without servers after a restore."""
    world = packet_world.World(balancers=3)
    world.store.configure(1, [packet_world.route('dispatch')])
    world.run(2.0)
    for index in range(2):
        world.add_server(
            f'10.0.1.{index + 1}', service='dispatch', slots=2, service_s=0.03
        )
    world.run(2.0)
    lose(world, 2.5)
    requests = []
    for _ in range(60):
        world.run(0.05)
        requests.append(world.request())
    world.run(5.0)
    assert {r.outcome for r in requests} == {'answered'}
    assert world.broken() == []


def test_an_evacuation_that_a_copy_lacks_stands_until_it_is_written() -> None:
    """Guards against flows that return to a data centre being emptied."""
    world = packet_world.small_world(balancers=4, servers=10)
    world.run(3.0)
    world.store.evacuate('elsewhere')
    world.run(1.0)
    lose(world, 1.5)
    for _ in range(60):
        world.run(0.05)
        for process in world.processes.values():
            assert process.node.knowledge.evacuated == {'elsewhere'}


def test_an_evacuation_that_nobody_writes_again_ends() -> None:
    """Guards against a data centre that never gets flows again."""
    world = packet_world.small_world(balancers=4, servers=10)
    world.run(3.0)
    world.store.evacuate('elsewhere')
    world.run(1.0)
    world.store.go_away()
    world.run(0.5)
    world.store._operator_writes = lambda *_: None
    world.store.come_back(2.0)
    world.run(6.0)
    for process in world.processes.values():
        assert process.node.knowledge.evacuated == frozenset()


@pytest.mark.parametrize('seed', range(6))
def test_returns_under_other_troubles_leave_all_processes_alike(
    seed: int,
) -> None:
    """Guards against processes that mix two histories of the store."""
    world = packet_world.small_world(balancers=6, servers=14, seed=seed)
    draw = random.Random(seed)
    world.run(3.0)
    for _ in range(3):
        write(world, per_s=draw.choice([2.0, 6.0]), seconds=2.0)
        hosts = sorted(world.processes)
        trouble = draw.choice(['readers', 'third', 'refused', 'none'])
        if trouble == 'refused':
            world.store.refused.update(hosts[::3])
        lose(world, draw.uniform(0.5, 4.0), away_s=draw.uniform(0.1, 2.0))
        world.run(draw.uniform(0.0, 0.3))
        if trouble == 'readers':
            hosts = [
                process.host
                for process in world.balancers()
                if process.node.reads_store(world.now)
            ]
        if trouble in ('readers', 'third'):
            for host in hosts[::3] if trouble == 'third' else hosts:
                world.start(host)
        world.run(draw.uniform(0.0, 2.0))
        world.store.refused.clear()
    world.run(STABLE_S + IN_FORCE_S)
    assert processes_lacking_version(world) == []
    for process in world.processes.values():
        assert packet_copies.is_alike(process), process.host


def test_each_process_tells_a_return_once() -> None:
    """Guards against logs in which a start looks like a restore."""
    world = packet_world.small_world(balancers=3, servers=4)
    world.run(2.0)
    assert world.events('store era') == []
    lose(world, 1.0)
    world.run(STABLE_S)
    lines = world.events('store era')
    assert len(lines) == len(world.processes)
    assert {(line['before'], line['era']) for line in lines} == {(0, 1)}
