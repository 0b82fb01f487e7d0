"""A balancer resets open flows whose port an earlier, discarded flow had.

See claim.txt. The flows are open at targets that live; one balancer of two is
stopped as in a rolling restart, so that the other one gets their packets.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / '4'))

import standins  # noqa: E402

#: Local ports of each client, and seconds for which a port rests after use.
PORTS = 40
REST_S = 60.0
FLOWS = 20
IDLE_S = 15.0
STABLE_S = 4.0
FLOW_TTL_S = 60.0


class Ports:
    """Hands out the port that has been unused longest, never too soon."""

    def __init__(self):
        self.free = [(0.0, 20000 + number) for number in range(PORTS)]

    def take(self):
        at, port = self.free.pop(0)
        if at and time.monotonic() - at < REST_S:
            raise RuntimeError('no port has rested for long enough')
        return port

    def release(self, port):
        self.free.append((time.monotonic(), port))


class World(standins.World):
    def __init__(self, folder):
        super().__init__(folder)
        self.allowed_resets = 0

    def on_reset(self, flow, item):
        """Judge a reset by FLOW (a)."""
        target, since = self.holder(flow.key)
        now = self.record.now()
        own = item.sum == bytes(4)
        self.record.note(
            'reset',
            port=flow.sport,
            system=own,
            open=flow.open,
            holder=target and target.id,
            via=flow.last_host,
        )
        if not own or target is None:
            self.allowed_resets += 1
            return
        if now - target.disturbed_at < STABLE_S:
            return
        if time.monotonic() - flow.began > FLOW_TTL_S:
            return
        self.broken(
            'FLOW',
            f'port {flow.sport} reset while open at {target.id}'
            f' for {now - since:.1f} s',
        )


async def requests(world, flows, name):
    """Send one request over each flow at the same time."""

    async def one(flow):
        attempt = f'{name}-{next(world.numbers)}'
        served = await flow.request(attempt)
        world.record.note(
            'request', attempt=attempt, port=flow.sport, served=served
        )
        return served

    return await asyncio.gather(*(one(flow) for flow in flows))


async def open_flows(world, clients, pools):
    flows = [
        standins.Flow(client, pool.take(), 443)
        for client, pool in zip(clients, pools, strict=True)
        for _ in range(FLOWS)
    ]
    opened = await asyncio.gather(*(flow.connect() for flow in flows))
    world.record.note('opened', flows=sum(opened), of=len(flows))
    return flows


def close_flows(flows, pools):
    for flow in flows:
        flow.finish()
        pools[flow.client].release(flow.sport)


async def case(world, trouble):
    await world.store.start()
    world.router = standins.Router(world)
    world.seeds = [world.host(1, 1), world.host(1, 2)]
    await world.configure([world.route(443, 'dispatch')], ['dispatch'])
    agents = [world.agent(number, 'dispatch') for number in (1, 2, 3, 4)]
    for _, target in agents:
        target.idle_s = IDLE_S
        await target.start()
    first = world.balancer(1)
    for program in [first] + [program for program, _ in agents]:
        program.start()
    world.router.add(first.host)
    clients = [await world.client(number) for number in (1, 2)]
    pools = {client: Ports() for client in clients}

    await asyncio.sleep(5.0)
    flows = await open_flows(world, clients, pools.values())
    served = await requests(world, flows, 'early')
    if not all(served):
        raise RuntimeError('the system does not serve')
    # The clients pause for longer than idleTimeoutMs; the targets discard the
    # flows, and the next request of each is tried again on a new flow.
    await asyncio.sleep(IDLE_S + 1.0)
    await requests(world, flows, 'late')
    close_flows(flows, pools)
    flows = await open_flows(world, clients, pools.values())
    await requests(world, flows, 'again')
    close_flows(flows, pools)

    # A second balancer is added.
    second = world.balancer(2)
    second.start()
    world.router.add(second.host)
    # Until the first ports have rested.
    await asyncio.sleep(REST_S)
    flows = await open_flows(world, clients, pools.values())
    for number in range(3):
        await requests(world, flows, f'new{number}')
        await asyncio.sleep(0.5)
    moved = [flow for flow in flows if flow.last_host == second.host]
    world.record.note('at the second balancer', flows=len(moved))
    stop = None
    if trouble:
        stop = asyncio.create_task(second.stop())
    for number in range(8):
        await requests(
            world, [f for f in flows if f.reset_at is None], f'roll{number}'
        )
        await asyncio.sleep(1.0)
    if stop is not None:
        await stop
    for flow in flows:
        flow.finish()
    world.record.note('allowed resets', count=world.allowed_resets)


if __name__ == '__main__':
    standins.World = World
    standins.main(case, FOLDER)
