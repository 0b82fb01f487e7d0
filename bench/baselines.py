"""Run the same scenarios with simple policies for comparison.

Each balancer chooses a target for each request by its own state; servers
queue. Only the policy itself can bind a flow or a request to one target.
``bound`` reads the current load of every target without delay.
"""

from __future__ import annotations

import abc
import collections
import heapq
import random
import typing

from bench import fakes
from bench import imbalance
from bench import scenarios
from bench import shapes
from teaseldock import table

#: Seconds between two load reports, which is their greatest age.
REPORT_S = 0.5
#: Seconds until the balancers detect a crash.
DETECTION_S = 3.0
#: Seconds within which rules come into force at the balancers, each at a
#: random time.
SPREAD_S = 1.0
#: Seconds between two packets that the caller of a feed sends.
FEED_PACKET_S = 2.0
BALANCERS = 3


class Policy(abc.ABC):
    """Choose a target for a request."""

    def __init__(self, names: list[str], seed: int) -> None:
        """Create the state that all balancers share."""
        self._names = names
        self._random = random.Random(seed)

    @abc.abstractmethod
    def choose(
        self, balancer: int, flow: int, eligible: list[str], run: BaselineRun
    ) -> str:
        """Return one of the eligible targets."""


class TableHash(Policy):
    """Rendezvous hashing of the flow."""

    def choose(
        self, balancer: int, flow: int, eligible: list[str], run: BaselineRun
    ) -> str:
        """Return the highest-ranked eligible target."""
        ranked = run.table.rank(hash((flow, 77)) % 256)
        return next(name for name in ranked if name in eligible)


class RoundRobin(Policy):
    """Round robin, separately at each balancer."""

    def __init__(self, names: list[str], seed: int) -> None:
        """Start each balancer at a random position."""
        super().__init__(names, seed)
        self._next = [self._random.randrange(99) for _ in range(BALANCERS)]

    def choose(
        self, balancer: int, flow: int, eligible: list[str], run: BaselineRun
    ) -> str:
        """Return the next eligible target in turn."""
        self._next[balancer] += 1
        return eligible[self._next[balancer] % len(eligible)]


class LeastConnections(Policy):
    """The least loaded target by delayed reports."""

    def choose(
        self, balancer: int, flow: int, eligible: list[str], run: BaselineRun
    ) -> str:
        """Return the least loaded by the last report; break ties randomly."""
        return min(
            eligible, key=lambda n: (run.reported[n], self._random.random())
        )


class TwoChoices(Policy):
    """The less loaded of two random targets by delayed reports."""

    def choose(
        self, balancer: int, flow: int, eligible: list[str], run: BaselineRun
    ) -> str:
        """Return the less loaded of two random targets."""
        picked = self._random.sample(eligible, min(2, len(eligible)))
        return min(picked, key=lambda n: run.reported[n])


class Bound(Policy):
    """The least loaded target by its current load; not deployable."""

    def choose(
        self, balancer: int, flow: int, eligible: list[str], run: BaselineRun
    ) -> str:
        """Return the least loaded target; break ties randomly."""
        return min(
            eligible, key=lambda n: (run.busy(n), self._random.random())
        )


POLICIES: dict[str, type[Policy]] = {
    'table-hash': TableHash,
    'round-robin': RoundRobin,
    'least-connections': LeastConnections,
    'two-choices': TwoChoices,
    'bound': Bound,
}


class _Server:
    def __init__(self) -> None:
        self.running = 0
        self.queue: list[tuple] = []
        self.alive = True


class BaselineRun:
    """One scenario under one policy.

    :ivar reported: load that each target reported last.
    :ivar excluded: targets that each balancer does not use.
    """

    def __init__(
        self,
        scenario: scenarios.Scenario,
        shape: shapes.Shape,
        seed: int,
        policy: str,
    ) -> None:
        """Create servers and balancers."""
        self.scenario = scenario
        self.shape = shape
        self.policy_name = policy
        self.service, count = shape.services[0]
        self.names = [f'{self.service}-{n}' for n in range(1, count + 1)]
        self.random = random.Random(seed)
        self.policy = POLICIES[policy](self.names, seed)
        self.table = table.ServiceTable(
            {
                'name': self.service,
                'address': '10.0.0.1',
                'port': 1,
                'targets': [
                    {'instance': n, 'port': 1, 'weight': 1.0}
                    for n in self.names
                ],
                'request_classes': [],
            }
        )
        self.servers = {name: _Server() for name in self.names}
        self.reported = dict.fromkeys(self.names, 0)
        self.lying: set[str] = set()
        self.excluded = [set() for _ in range(BALANCERS)]
        self.disabled = imbalance.DisabledIntervals()
        self.capacity = count * shape.slots / scenario.service_s
        self.now = 0.0
        self.ran: list[fakes.RequestRun] = []
        self.asked: list[fakes.RequestOutcome] = []
        self.feed_targets: dict[int, str] = {}
        self.broken_feeds: set[int] = set()
        self._events: list = []
        self._count = 0
        self._arrived = 0

    def schedule(self, delay: float, action: typing.Callable, *args) -> None:
        """Schedule a call after a delay, in seconds."""
        self._count += 1
        heapq.heappush(
            self._events, (self.now + delay, self._count, action, args)
        )

    def busy(self, name: str) -> int:
        """Return the number of requests that run or wait at a target."""
        server = self.servers[name]
        return server.running + len(server.queue)

    def run(self) -> dict[str, typing.Any]:
        """Run the scenario and return its measures."""
        self.schedule(0.0, self._report)
        self.schedule(scenarios.WARM_S - 1.0, self._arrive)
        for feed in range(scenarios.FEEDS):
            at = scenarios.WARM_S - 1.0 + self.random.random()
            self.schedule(at, self._feed_packet, feed)
        for at, name, argument in self.scenario.events:
            self.schedule(
                scenarios.WARM_S + at, self._run_event, name, argument
            )
        end = scenarios.WARM_S + scenarios.MEASURED_S + scenarios.TAIL_S
        while self._events and self._events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self._measure()

    def _eligible(self, balancer: int) -> list[str]:
        excluded = self.excluded[balancer]
        return [
            name for name in self.names if name not in excluded
        ] or self.names

    def _report(self) -> None:
        self.schedule(REPORT_S, self._report)
        for name in self.names:
            self.reported[name] = self.busy(name)
            if name in self.lying:
                self.reported[name] = 0

    def _arrive(self) -> None:
        if self.now > scenarios.WARM_S + scenarios.MEASURED_S:
            return
        rate = self.scenario.load * self.capacity
        self.schedule(self.random.expovariate(rate), self._arrive)
        flow = self.random.randrange(scenarios.CALLERS)
        if self.random.random() < self.scenario.hot:
            flow = 0
        self._count += 1
        self._arrived += 1
        guarded = self.random.random() < scenarios.GUARDED_SHARE
        self._send(flow, f'{self.service}-{self._count}', guarded, self.now, 0)

    def _send(
        self, flow: int, identity: str, guarded: bool, began: float, tries: int
    ) -> None:
        balancer = self.random.randrange(BALANCERS)
        name = self.policy.choose(
            balancer, flow, self._eligible(balancer), self
        )
        server = self.servers[name]
        request = (flow, identity, guarded, began)
        if not server.alive:
            self._repeat(request, tries)
            return
        waiting = len(server.queue) * self.scenario.service_s
        if waiting / self.shape.slots > 1.0:
            self._finish(request, 'not run')
            return
        server.queue.append((request, tries))
        self._start_waiting(name)

    def _repeat(self, request: tuple, tries: int) -> None:
        """Schedule the next retransmission, or give the request up."""
        if tries >= fakes.CALLER_REPEATS:
            self._finish(request, 'lost')
            return
        delay = fakes.CALLER_REPEAT_S * 2**tries
        self.schedule(delay, self._send, *request, tries + 1)

    def _start_waiting(self, name: str) -> None:
        server = self.servers[name]
        while server.queue and server.running < self.shape.slots:
            request, tries = server.queue.pop(0)
            server.running += 1
            weight = 2.0 if request[2] else 1.0
            self.ran.append(
                fakes.RequestRun(
                    self.now,
                    name,
                    self.service,
                    request[1],
                    request[2],
                    weight,
                )
            )
            seconds = self.random.expovariate(1 / self.scenario.service_s)
            self.schedule(seconds, self._done, name, request, tries)

    def _done(self, name: str, request: tuple, tries: int) -> None:
        server = self.servers[name]
        if not server.alive:
            self._repeat(request, tries)
            return
        server.running -= 1
        self._finish(request, 'answer')
        self._start_waiting(name)

    def _finish(self, request: tuple, outcome: str) -> None:
        _, identity, guarded, began = request
        kind = self.shape.guarded if guarded else 'status'
        self.asked.append(
            fakes.RequestOutcome(
                began, identity, kind, outcome, self.now - began
            )
        )

    def _feed_packet(self, feed: int) -> None:
        """Route a packet of a feed.

        The feed breaks if the target changes or is down.
        """
        balancer = self.random.randrange(BALANCERS)
        eligible = self._eligible(balancer)
        target = self.policy.choose(balancer, 10_000 + feed, eligible, self)
        first = self.feed_targets.setdefault(feed, target)
        if target != first or not self.servers[first].alive:
            self.broken_feeds.add(feed)
        if self.now < scenarios.WARM_S + scenarios.MEASURED_S:
            self.schedule(FEED_PACKET_S, self._feed_packet, feed)

    def _run_event(self, name: str, argument: typing.Any) -> None:
        handler = getattr(self, f'_on_{name}', None)
        if handler is not None:
            handler(argument)

    def _announce(self, name: str, exclude: bool, delay: float) -> None:
        for balancer in range(BALANCERS):
            spread = self.random.random() * SPREAD_S
            if self.policy_name == 'bound':
                delay = spread = 0.0
            self.schedule(
                delay + spread, self._set_excluded, balancer, name, exclude
            )

    def _set_excluded(self, balancer: int, name: str, exclude: bool) -> None:
        if exclude or not self.servers[name].alive:
            self.excluded[balancer].add(name)
        else:
            self.excluded[balancer].discard(name)

    def _on_leaving(self, numbers: tuple[int, ...]) -> None:
        leaving = {self.names[n - 1] for n in numbers}
        for name in self.names:
            self._announce(name, name in leaving, 0.0)
            if name in leaving:
                self.disabled.begin(name, self.now)
            else:
                self.disabled.end(name, self.now)

    def _on_word(self, number: int) -> None:
        self._announce(self.names[number - 1], True, 0.0)
        self.disabled.begin(self.names[number - 1], self.now)

    def _on_crash(self, number: int) -> None:
        name = self.names[number - 1]
        self.disabled.begin(name, self.now)
        server = self.servers[name]
        server.alive = False
        for request, tries in server.queue:
            self._repeat(request, tries)
        server.queue.clear()
        server.running = 0
        self._announce(name, True, DETECTION_S)

    def _on_restart(self, number: int) -> None:
        self._on_crash(number)
        self.schedule(3.0, self._start_again, number)

    def _start_again(self, number: int) -> None:
        name = self.names[number - 1]
        self.servers[name] = _Server()
        self._announce(name, False, 0.0)
        self.disabled.end(name, self.now + 4.0)

    def _on_lie(self, numbers: tuple[int, ...]) -> None:
        self.lying = {self.names[n - 1] for n in numbers}

    def _measure(self) -> dict[str, typing.Any]:
        ratios = imbalance.window_ratios(
            self.ran,
            self.names,
            self.disabled,
            seconds=scenarios.MEASURED_SECONDS,
        )
        counts = collections.Counter(item.identity for item in self.ran)
        lost = [item for item in self.asked if item.outcome == 'lost']
        broken = float(len(self.broken_feeds))
        for item in lost:
            guarded = item.kind == self.shape.guarded
            broken += scenarios.GUARDED_WEIGHT if guarded else 1.0
        answered = [i for i in self.asked if i.outcome == 'answer']
        start = scenarios.WARM_S
        done = sum(
            start <= i.at + i.seconds < start + scenarios.MEASURED_S
            for i in answered
        )
        guarded_requests = [
            i for i in self.asked if i.kind == self.shape.guarded
        ]
        good = sum(i.outcome == 'answer' for i in guarded_requests)
        latency = [item.seconds for item in answered]
        return {
            'broken_flows_weighted': broken,
            'broken_unexcused_weighted': broken,
            'imbalance_p50': imbalance.percentile(ratios, 0.5),
            'imbalance_p99': imbalance.percentile(ratios, 0.99),
            'lost': len(lost),
            'unfinished': self._arrived - len(self.asked),
            'outcome_unknown': 0,
            'refused_not_run': sum(i.outcome == 'not run' for i in self.asked),
            'ran_twice': len(
                {r.identity for r in self.ran if r.guarded}
                & {identity for identity, n in counts.items() if n > 1}
            ),
            'misrouted': 0,
            'untrue_refusals': 0,
            'goodput': done / scenarios.MEASURED_S / self.capacity,
            'goodput_guarded': (
                good / len(guarded_requests) if guarded_requests else 1.0
            ),
            'p99_latency_ms': 1000 * imbalance.percentile(latency, 0.99),
            'control_bytes_per_s_max': 0.0,
            'config_in_force_s_max': 0.0,
            'ratios': ratios,
        }
