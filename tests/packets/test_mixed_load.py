"""Test what callers get when all kinds of load on the page come at once."""

from __future__ import annotations

import collections
import heapq
import math
import random
import typing

import pytest

from bench import packet_world
from teaseldock.packets import records

if typing.TYPE_CHECKING:
    from bench import packet_caller

ORDER_PORT, FEED_PORT = 443, 444
AIM_S = 0.25
SERVERS, SLOTS, SERVICE_S = 12, 2, 0.03
#: Factors of the service time at the slow and at the cold server.
SLOW, COLD = 5.0, 1.6
SLOW_HOST, COLD_HOST = '10.0.1.1', '10.0.1.2'
#: The wave around its mean, the burst of orders, and their times, seconds.
WAVE, WAVE_S = 0.55, 16.0
BURST, BURST_FROM_S, BURST_UNTIL_S = 2.0, 3.0, 6.0
PLAY_S = 10.0
#: Share of the work that orders make, each on a flow of its own.
ORDER_SHARE = 0.25
#: Seconds between two requests of a feed.
FEED_INTERVAL_S = 6.0
#: Share of the capacity that the load takes at the peak of the wave, during
#: the burst.
PEAK_LOAD = 0.9


def capacity_per_s() -> float:
    """Return the requests a second that all servers can run."""
    full = SLOTS / SERVICE_S
    return full * (SERVERS - 2 + 1 / SLOW + 1 / COLD)


def rates(at: float) -> tuple[float, float]:
    """Return the orders and the requests of feeds a second at a time."""
    peak_work = ORDER_SHARE * BURST + 1 - ORDER_SHARE
    peak = PEAK_LOAD * capacity_per_s() / peak_work
    wave = 1 + WAVE * math.sin(2 * math.pi * at / WAVE_S)
    total = peak * wave / (1 + WAVE)
    burst = BURST if BURST_FROM_S <= at < BURST_UNTIL_S else 1.0
    return total * ORDER_SHARE * burst, total * (1 - ORDER_SHARE)


def arrivals(chance: random.Random, index: int) -> list[float]:
    """Return the times of all orders (0) or requests of feeds (1)."""
    at, times = 0.0, []
    most = 2 * capacity_per_s()
    while at < PLAY_S:
        at += chance.expovariate(most)
        if chance.random() < rates(at)[index] / most:
            times.append(at)
    return times


def pooled(seed: int) -> tuple[float, float]:
    """Return the shares of orders and feeds in time at one pooled queue.

    All servers but the slow one take the next request from one queue, orders
    first.
    """
    chance = random.Random(seed)
    requests = sorted(
        (at, index) for index in (0, 1) for at in arrivals(chance, index)
    )
    factors = [1.0] * (SERVERS - 2) + [COLD]
    free = [(0.0, factor) for factor in factors for _ in range(SLOTS)]
    heapq.heapify(free)
    waiting: list[tuple[int, float]] = []
    in_time: collections.Counter[int] = collections.Counter()
    number = 0
    while number < len(requests) or waiting:
        began, factor = heapq.heappop(free)
        if not waiting:
            began = max(began, requests[number][0])
        while number < len(requests) and requests[number][0] <= began:
            at, index = requests[number]
            heapq.heappush(waiting, (index, at))
            number += 1
        index, at = heapq.heappop(waiting)
        ended = began + SERVICE_S * factor * chance.uniform(0.6, 1.4)
        in_time[index] += ended - at <= AIM_S
        heapq.heappush(free, (ended, factor))
    counts = collections.Counter(index for _, index in requests)
    return in_time[0] / counts[0], in_time[1] / counts[1]


class Play:
    """One play in virtual time.

    :ivar orders: the orders.
    :ivar feeds: seconds that each request of a feed took, by host; infinite
        if it has no answer.
    """

    def __init__(self, seed: int) -> None:
        """Open the feeds, and play."""
        self.world = packet_world.World(balancers=16, seed=seed)
        self.world.store.configure(
            1,
            [
                packet_world.route(
                    'dispatch',
                    port=ORDER_PORT,
                    kind=records.RequestKind.NON_IDEMPOTENT,
                    aim_ms=round(AIM_S * 1000),
                    priority=0,
                ),
                packet_world.route(
                    'dispatch', port=FEED_PORT, aim_ms=round(AIM_S * 1000)
                ),
            ],
        )
        for number in range(1, SERVERS + 1):
            self.world.add_server(
                f'10.0.1.{number}',
                service='dispatch',
                slots=SLOTS,
                service_s=SERVICE_S,
            )
        self.world.run(2.0)
        self.orders: list[packet_caller.Request] = []
        self.feeds: collections.defaultdict[str, list[float]] = (
            collections.defaultdict(list)
        )
        self._chance = random.Random(seed)
        mean_feeds = rates(0.0)[1]
        self._idle = self._open_feeds(round(mean_feeds * FEED_INTERVAL_S))
        self.world.servers[SLOW_HOST].service_s *= SLOW
        self.world.servers[COLD_HOST].service_s *= COLD
        for at in arrivals(self._chance, 0):
            self.world.after(at, self._order)
        for at in arrivals(self._chance, 1):
            self.world.after(at, self._ask)
        self.world.run(PLAY_S + 4.0)

    def _open_feeds(
        self, count: int
    ) -> collections.deque[packet_caller.Request]:
        feeds = []
        for _ in range(count):
            feeds.append(self.world.request(feed=True, port=FEED_PORT))
            self.world.run(2 / capacity_per_s())
        self.world.run(1.0)
        assert all(feed.outcome == 'answered' for feed in feeds)
        self._chance.shuffle(feeds)
        return collections.deque(feeds)

    def _order(self) -> None:
        self.orders.append(self.world.request(tries=1, port=ORDER_PORT))

    def _ask(self) -> None:
        """Let the feed ask that has been idle for longest."""
        feed = self._idle.popleft()
        host = next(
            (
                server.host
                for server in self.world.servers.values()
                if feed.flow in server.flows
            ),
            '',
        )
        feed.ask()
        self.world.after(3.0, lambda: self._collect(feed, host))

    def _collect(self, feed: packet_caller.Request, host: str) -> None:
        answered = feed.outcome == 'answered'
        self.feeds[host].append(feed.latency_s if answered else math.inf)
        self._idle.append(feed)


@pytest.mark.parametrize('seed', [1, 2])
def test_all_loads_at_once(seed: int) -> None:
    """Guards against lost orders and feeds while there is capacity.

    A wave, a burst of orders, a server that is five times slower and a cold
    one come together; at the peak 0.9 of the capacity is used. Orders may go
    to any server and come first, so that nearly as many as at one pooled
    queue must be in time, and none may be lost. Feeds stay with their
    servers: at all but the slow one, whose feeds alone take more than it can
    run, nearly as many as at the pooled queue must be in time.
    """
    orders_pooled, feeds_pooled = pooled(seed)
    play = Play(seed)
    assert not play.world.broken()
    assert all(item.outcome == 'answered' for item in play.orders)
    orders = sum(item.latency_s <= AIM_S for item in play.orders)
    served = [
        taken
        for host, times in play.feeds.items()
        if host != SLOW_HOST
        for taken in times
    ]
    feeds = sum(taken <= AIM_S for taken in served)
    assert orders >= 0.97 * orders_pooled * len(play.orders)
    assert feeds >= 0.95 * feeds_pooled * len(served)
