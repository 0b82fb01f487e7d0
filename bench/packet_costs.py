"""Measure CPU time, memory and message sizes of the packet family.

``python -m bench.packet_costs``
"""

from __future__ import annotations

import json
import random
import time
import tracemalloc
import typing

from bench import packet_codec
from bench import packet_world
from teaseldock import load
from teaseldock.packets import candidates
from teaseldock.packets import control
from teaseldock.packets import hints
from teaseldock.packets import holdings
from teaseldock.packets import knowledge
from teaseldock.packets import mesh
from teaseldock.packets import placing
from teaseldock.packets import records
from teaseldock.packets import store_state
from teaseldock.packets import tracking

#: Calls per measured time, and flows per measured size.
ROUNDS = 2000
FLOWS = 20_000


def mean_call_s(call: typing.Callable[[int], object], rounds: int) -> float:
    """Return the mean time of a call, in seconds."""
    began = time.perf_counter()
    for number in range(rounds):
        call(number)
    return (time.perf_counter() - began) / rounds


def mean_kept_bytes(make: typing.Callable[[int], object], count: int) -> float:
    """Return the mean memory that stays allocated after a call, in bytes."""
    tracemalloc.start()
    for number in range(count):
        make(number)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / count


def target(number: int) -> records.Target:
    """Return the target with a number."""
    return records.Target(
        f'i-{number:010x}',
        'dispatch',
        f'10.0.{number // 250}.{number % 250 + 1}',
        8080,
        f'dc-{number % 4}',
        2,
        False,
        0,
        number + 1,
    )


def placement_us(targets: int) -> float:
    """Return microseconds to place a flow on one of a service's targets."""
    known = knowledge.Knowledge()
    entries = [target(number) for number in range(targets)]
    configuration = records.Configuration(1, 1, 15_000, [], ['dispatch'])
    known.apply(
        records.Changes(0, targets, entries, [], configuration), now=0.0
    )
    usable = candidates.Candidates(
        known, new_mesh(), store_state.StoreState(), data_centre='dc-0'
    )
    hint = hints.Hint('dispatch', hints.HintState.OPENING)

    def place(number: int) -> None:
        choices = usable.for_new_flow(number.to_bytes(12, 'big'), hint, 0.1)
        placing.pick(choices, data_centre='dc-0')

    for number in range(ROUNDS):
        place(number)
    return 1e6 * mean_call_s(place, ROUNDS)


def new_mesh() -> mesh.Mesh:
    """Return the mesh of a balancer that has received no heartbeats."""
    return mesh.Mesh(
        '10.9.0.1',
        is_balancer=True,
        seeds=[],
        randomness=random.Random(1),
        now=0.0,
    )


def changes_bytes(targets: int, routes: int) -> int:
    """Return the bytes of a full set of changes as sent to a peer."""
    configuration = records.Configuration(
        7,
        9,
        15_000,
        [
            packet_world.route('dispatch', port=1000 + number)
            for number in range(routes)
        ],
        ['dispatch'],
    )
    changes = records.Changes(
        0, 99, [target(number) for number in range(targets)], [], configuration
    )
    return sum(map(len, control.pack_changes(changes)))


def forwarding_us() -> float:
    """Return microseconds to forward a packet of a known flow."""
    world = packet_world.small_world()
    feed = world.request(feed=True)
    world.run(1.0)
    process = next(p for p in world.balancers() if p.node.hinted_flows)
    item = packet_codec.make_packet(feed.flow, length=1, sequence=1)
    process.to_process = lambda host, datagram: None
    return 1e6 * mean_call_s(
        lambda _: process.node.on_packet(item, world.now), ROUNDS
    )


def flow(number: int) -> bytes:
    """Return the key of a flow; all keys have the same service address."""
    return number.to_bytes(4, 'big') + bytes(8)


def holder_lookup_us(targets: int) -> float:
    """Return microseconds to list the hosts that may hold a lost flow.

    :param targets: number of targets; the flow's service has one in fifty.
    """
    known = knowledge.Knowledge()
    processes = new_mesh()
    entries = [
        target(n)._replace(service=f'service-{n % 50}') for n in range(targets)
    ]
    services = sorted({item.service for item in entries})
    configuration = records.Configuration(1, 1, 15_000, [], services)
    known.apply(
        records.Changes(0, targets, entries, [], configuration), now=0.0
    )
    for item in entries:
        held = holdings.make_holdings(
            control.service_tag(item.service), [], all_flows_seen=True
        )
        heartbeat = control.Heartbeat(
            False, 1, False, targets, 10, False, None, b'', holdings=held
        )
        processes.record_heartbeat(item.host, heartbeat, 0.0)
    usable = candidates.Candidates(
        known, processes, store_state.StoreState(), data_centre='dc-0'
    )
    hint = hints.Hint('service-0', hints.HintState.SEARCHED)
    hosts = usable.holders(flow(1), hint, 0.1)
    assert len(hosts) == -(-targets // 50)
    return 1e6 * mean_call_s(
        lambda number: usable.holders(flow(number), hint, 0.1), 200
    )


def main() -> None:
    """Print all figures as a JSON object."""
    hint_table = hints.Hints()
    tracker = tracking.Tracker(0.0)
    heartbeat = control.Heartbeat(
        False,
        55_550_979,
        False,
        99,
        10,
        False,
        load.Load(1, 0, 2, 10, 1.0, True),
        b'',
        holdings=holdings.make_holdings(
            control.service_tag('dispatch'), [], all_flows_seen=True
        ),
    )
    figures = {
        'placement_us': {
            n: round(placement_us(n), 1) for n in (10, 100, 1000)
        },
        'forwarding_us': round(forwarding_us(), 1),
        'bytes_a_hint': round(
            mean_kept_bytes(
                lambda n: hint_table.add(
                    n.to_bytes(12, 'big'),
                    'dispatch',
                    hints.HintState.HINTED,
                    now=0.0,
                ),
                FLOWS,
            )
        ),
        'bytes_a_tracked_flow': round(
            mean_kept_bytes(
                lambda n: tracker._add_flow(flow(n), 0.0, 0.0),
                tracking.MAX_FLOWS,
            )
        ),
        'asked_whom_us': {
            n: round(holder_lookup_us(n)) for n in (50, 200, 1000)
        },
        'heartbeat_bytes': len(control.pack_heartbeat(heartbeat)),
        'changes_bytes': {
            f'{targets} targets, {routes} routes': changes_bytes(
                targets, routes
            )
            for targets, routes in ((10, 110), (56, 240), (56, 1640))
        },
    }
    print(json.dumps(figures, indent=1))


if __name__ == '__main__':
    main()
