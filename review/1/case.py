"""An entry of another writer that can't be read stops all reading."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standin  # noqa: E402

SERVICES = ['dispatch', 'dispatch', 'dispatch', 'tickets']
#: Bytes that can't be read: lists in lists, which end in the middle.
UNREADABLE = b'{"service":"dispatch","labels":' + b'[' * 1200
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
    end = began + 55
    streams = [
        asyncio.create_task(world.traffic(443, 20, end, usual)),
        asyncio.create_task(world.traffic(444, 4, end, usual)),
        asyncio.create_task(world.traffic(445, 4, began + 22, dropped)),
    ]
    await world.sleep_until(began + 3)
    if world.trouble:
        await world.store.put('servers/other-writer-1', UNREADABLE)
    await world.sleep_until(began + 6)
    configured = await world.configure([*BASE, ADDED, *IDLE])
    leaving = world.busiest('dispatch')
    drained = await leaving.drain()
    streams.append(
        asyncio.create_task(world.traffic(446, 4, began + 22, added))
    )
    await world.sleep_until(began + 25)
    for daemon in world.daemons:
        daemon.send(signal.SIGKILL)
    back = record.note('all-processes-killed') + 1
    await asyncio.gather(*streams)
    await asyncio.sleep(3)
    return check(world, configured, leaving, drained, back, usual, dropped, added)


def check(world, configured, leaving, drained, back, usual, dropped, added):
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
        if item.target is leaving and limit < item.at < back - 1
    ]
    record.note('DRAIN', openings=len(reached))
    if reached:
        broken.append(
            f'DRAIN: {len(reached)} openings reached a target over 3 s after '
            'the acknowledgement that it is draining'
        )
    before = [item for item in usual if item.sent_at < back - 1]
    after = [
        item for item in usual if item.sent_at > back + bounds['recoveryS']
    ]
    shares = [
        sum(item.outcome == 'served' for item in part) / len(part)
        for part in (before, after)
    ]
    record.note(
        'RECOVER', before=f'{shares[0]:.3f}', after=f'{shares[1]:.3f}'
    )
    if shares[0] >= 0.25 > shares[1]:
        broken.append(
            f'RECOVER: {shares[1]:.0%} of the requests sent over 12 s after '
            f'the machines are back are served, {shares[0]:.0%} were before'
        )
    return broken


if __name__ == '__main__':
    standin.main(__file__, scenario, services=SERVICES)
