"""Test a store that comes back from a copy some seconds old."""

from __future__ import annotations

import itertools

from bench import packet_world
from teaseldock.packets import records

#: Seconds after the store's return from which changes have their usual time.
STABLE_S = 4.0
#: Seconds in which a change must be in force everywhere.
IN_FORCE_S = 3.0
#: Calls to the store in the seconds until it is stable: a whole read by each
#: of a few readers and one by some that take over, besides their watches.
CALLS = 60

FLEETS = ((4, 10), (8, 18), (20, 53))


def routes(count: int) -> list[records.Route]:
    """Return the route of the service, and others that see no traffic."""
    others = [
        packet_world.route('dispatch', port=1000 + i) for i in range(count)
    ]
    return [packet_world.route('dispatch'), *others]


def write(world: packet_world.World, *, per_s: float, seconds: float) -> None:
    """Let the operator and the servers write in turn."""
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
    """Let the store be away, and come back without its last writes."""
    world.store.go_away()
    world.run(away_s)
    world.store.come_back(lost_s + away_s)


def drain(world: packet_world.World, host: str) -> records.Target:
    """Let a server say that it leaves."""
    server = world.servers[host]
    server.draining = True
    world.store.put(server)
    return server.entry()


def who_lacks_drain(
    world: packet_world.World, target: records.Target
) -> list[str]:
    """Return the processes that would bring flows to a server that leaves."""
    return [
        process.host
        for process in world.processes.values()
        if target.identifier
        in (
            item.identifier
            for item in process.node.knowledge.placeable(target.service)
        )
    ]


def who_lacks_version(world: packet_world.World) -> list[str]:
    """Return the processes where the published configuration isn't used."""
    published = world.store.configuration
    assert published is not None
    return [
        process.host
        for process in world.processes.values()
        if process.node.knowledge.version != published.version
    ]


def complaints(
    balancers: int, servers: int, lost_s: float, per_s: float
) -> list[str]:
    """Play one return; return what was wrong afterwards."""
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
    if lacking := who_lacks_drain(world, leaving):
        found.append(f'{play}: {len(lacking)} lack that a server leaves')
    if lacking := who_lacks_version(world):
        found.append(f'{play}: {len(lacking)} lack the configuration')
    if calls > CALLS:
        found.append(f'{play}: {calls} calls')
    return found


def test_changes_after_a_return_from_an_older_copy_are_in_force_in_time() -> (
    None
):
    """Guards against a fleet that takes revisions given out again for old."""
    plays = itertools.product(FLEETS, (1.0, 3.0, 6.0, 10.0), (2.0, 8.0))
    found = [
        text
        for (balancers, servers), lost_s, per_s in plays
        for text in complaints(balancers, servers, lost_s, per_s)
    ]
    assert found == []
