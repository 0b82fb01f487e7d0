"""A few large entries of another writer stop all reading of the store."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

import standin  # noqa: E402

SERVICES = ['dispatch', 'dispatch', 'dispatch', 'tickets']
#: Entries that can't be read, of the largest size that the store takes
#: (valueBytes), and the seconds between two of them: 100 writes a second, and
#: less than the 1,000 Mbit/s of the store's link.
ENTRIES = 12
VALUE_BYTES = 1_048_576
GAP_S = 0.01
IDLE = [standin.route(f'idle-{n}', 9000 + n, 'dispatch') for n in range(40)]
BASE = [
    standin.route('truck-feed', 443, 'dispatch'),
    standin.route('ticket-scan', 444, 'tickets'),
]
DROPPED = standin.route('old', 445, 'dispatch')
ADDED = standin.route('new', 446, 'dispatch')


async def scenario(world: standin.World) -> list[str]:
    """Return the broken rules."""
    record = world.record
    await world.start([*BASE, DROPPED, *IDLE])
    began = record.now()
    usual: list[standin.Attempt] = []
    dropped: list[standin.Attempt] = []
    added: list[standin.Attempt] = []
    end = began + 24
    streams = [
        asyncio.create_task(world.traffic(443, 20, end, usual)),
        asyncio.create_task(world.traffic(444, 4, end, usual)),
        asyncio.create_task(world.traffic(445, 4, end, dropped)),
    ]
    await world.sleep_until(began + 5)
    # A change as operators make them all the time: other time-outs.
    await world.configure(
        [{**item, 'timeoutMs': 2400} for item in [*BASE, DROPPED, *IDLE]]
    )
    if world.trouble:
        for number in range(ENTRIES):
            await asyncio.sleep(GAP_S)
            await world.store.put(
                f'servers/other-writer-{number}', os.urandom(VALUE_BYTES)
            )
    await world.sleep_until(began + 6)
    configured = await world.configure([*BASE, ADDED, *IDLE])
    leaving = world.busiest('dispatch')
    drained = await leaving.drain()
    streams.append(asyncio.create_task(world.traffic(446, 4, end, added)))
    await asyncio.gather(*streams)
    await asyncio.sleep(3)
    return check(world, configured, leaving, drained, usual, dropped, added)


def check(world, configured, leaving, drained, usual, dropped, added):
    """Return the broken rules, as the pages write them."""
    record, bounds = world.record, standin.BOUNDS
    broken = []
    stale = configured + bounds['propagationMs'] / 1000
    late = [item for item in dropped if item.sent_at > stale]
    ran = [item for item in late if item.outcome == 'served']
    record.note('CONFIG-dropped-route', sent=len(late), ran=len(ran))
    if ran:
        broken.append(
            f'CONFIG: {len(ran)} of {len(late)} requests sent over 3 s after '
            'the acknowledgement were run with a dropped route'
        )
    late = [item for item in added if item.sent_at > stale]
    refused = [item for item in late if item.outcome == 'reset']
    record.note('CONFIG-added-route', sent=len(late), refused=len(refused))
    if refused:
        broken.append(
            f'CONFIG: {len(refused)} of {len(late)} requests sent over 3 s '
            'after the acknowledgement were refused though the route is there'
        )
    limit = drained + bounds['drainMs'] / 1000
    reached = [
        item
        for item in world.openings
        if item.target is leaving and item.at > limit
    ]
    record.note('DRAIN', openings=len(reached))
    if reached:
        broken.append(
            f'DRAIN: {len(reached)} openings reached a target over 3 s after '
            'the acknowledgement that it is draining'
        )
    served = sum(item.outcome == 'served' for item in usual)
    record.note('other-routes', sent=len(usual), served=served)
    return broken


if __name__ == '__main__':
    standin.main(__file__, scenario, services=SERVICES)
