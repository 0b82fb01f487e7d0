"""Measure how a fleet recovers when the store restarts from an older copy.

The load: the operator and the servers write continuously, with 1,600 routes
published. The store stops for a second and restarts without its last writes.

``python -m bench.packet_copies [BALANCERS SERVERS MBPS]``
"""

from __future__ import annotations

import sys
import time
import typing

from bench import packet_world
from teaseldock.packets import positions
from teaseldock.packets import records

#: Fleets by balancers, servers and speed of the balancers' links, Mbit/s.
FLEETS = ((8, 18, 20.0), (20, 53, 20.0), (59, 136, 20.0), (59, 136, 200.0))
ROUTES = 1600
#: Writes per second, and seconds of writes before the outage; the store loses
#: the second half of them.
WRITES_PER_S = 4.0
LOST_S = 4.0
#: Seconds for which the store is down.
OUTAGE_S = 1.0
#: Seconds simulated after the restart, and between two checks.
OBSERVED_S = 8.0
CHECK_INTERVAL_S = 0.05


class Recovery(typing.NamedTuple):
    """Figures of one simulation, from the restart of the store.

    :ivar read_s: seconds until all processes have read the new era.
    :ivar converged_s: seconds until all processes match the store.
    :ivar calls: calls to the store in :data:`OBSERVED_S`.
    :ivar mean_bytes: mean control bytes per second and process.
    :ivar most_bytes: control bytes of the busiest second of any process.
    """

    read_s: float
    converged_s: float
    calls: int
    mean_bytes: float
    most_bytes: int


def routes(step: int) -> list[records.Route]:
    """Return many routes, one of which differs in each step."""
    ports = [1000 + index for index in range(ROUTES)] + [5000 + step]
    return [
        packet_world.route('dispatch'),
        *(packet_world.route('dispatch', port=port) for port in ports),
    ]


def matches_store(process: packet_world.Process) -> bool:
    """Return whether a process has exactly the state of the store."""
    store = process.world.store
    known = process.node.knowledge
    published = store.configuration
    if published is None or known.version != published.version:
        return False
    if known.targets.keys() != store.targets.keys():
        return False
    return all(
        target.slots == store.targets[name].slots
        and target.draining == store.targets[name].draining
        for name, target in known.targets.items()
    )


def _write(world: packet_world.World) -> None:
    hosts = sorted(world.servers)
    steps = round(WRITES_PER_S * LOST_S)
    for step in range(steps):
        if step % 4 == 0:
            world.store.configure(2 + step, routes(step))
        else:
            server = world.servers[hosts[step]]
            server.slots += 1
            world.store.put(server)
        world.run(LOST_S / steps)


def simulate(
    balancers: int, servers: int, link_mbps: float, *, seed: int = 1
) -> Recovery:
    """Simulate one restart of the store from an older copy."""
    world = packet_world.small_world(
        balancers=balancers,
        servers=servers,
        slots=1,
        link_mbps=link_mbps,
        seed=seed,
    )
    world.store.configure(1 + 1, routes(0))
    world.run(6.0)
    _write(world)
    world.store.stop()
    world.run(OUTAGE_S)
    world.store.restore_older_copy(LOST_S / 2 + OUTAGE_S)
    since, calls = world.now, world.store.calls
    era = positions.era(world.store.revision)
    read_s = converged_s = OBSERVED_S
    while world.now - since < OBSERVED_S:
        world.run(CHECK_INTERVAL_S)
        processes = list(world.processes.values())
        eras = {positions.era(p.node.knowledge.revision) for p in processes}
        after_s = world.now - since
        if eras == {era}:
            read_s = min(read_s, after_s)
        if not all(map(matches_store, processes)):
            converged_s = OBSERVED_S
        elif converged_s == OBSERVED_S:
            converged_s = after_s
    spent = {
        key: size
        for key, size in world.control_bytes.items()
        if key[1] >= int(since)
    }
    mean = sum(spent.values()) / OBSERVED_S / len(world.processes)
    return Recovery(
        read_s,
        converged_s,
        world.store.calls - calls,
        mean,
        max(spent.values()),
    )


def main() -> None:
    """Print a table of the figures of each fleet."""
    fleets: typing.Iterable[tuple[int, int, float]] = FLEETS
    if len(sys.argv) > 3:
        fleets = ((int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])),)
    print(
        'processes  Mbit/s  read s  alike s  calls  bytes/s  busiest  took s'
    )
    for balancers, servers, link_mbps in fleets:
        began = time.perf_counter()
        found = simulate(balancers, servers, link_mbps)
        took_s = time.perf_counter() - began
        print(
            f'{balancers + servers:9d} {link_mbps:7.0f} {found.read_s:7.2f}'
            f' {found.converged_s:8.2f} {found.calls:6d}'
            f' {found.mean_bytes:8.0f}'
            f' {found.most_bytes:8d} {took_s:7.1f}',
            flush=True,
        )


if __name__ == '__main__':
    main()
