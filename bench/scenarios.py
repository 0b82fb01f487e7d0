"""Define the scenarios, run them and measure the results."""

from __future__ import annotations

import collections
import typing

from bench import fakes
from bench import imbalance
from bench import shapes
from bench import world

#: Seconds of warm-up and seconds that are measured. Servers start cold: all of
#: their slots are open after four seconds.
WARM_S = 6.0
MEASURED_S = 12.0
MEASURED_SECONDS = range(int(WARM_S), int(WARM_S + MEASURED_S))
#: Seconds after the last arrival in which answers and retransmissions finish.
TAIL_S = 8.0
#: Number of flows that carry requests, and number of feeds.
CALLERS = 300
FEEDS = 30
#: Fraction of requests that must not run twice.
GUARDED_SHARE = 0.5
#: Offered load of the second service as a fraction of its capacity.
OTHER_LOAD = 0.3
#: Weight of a broken guarded request (orders, hours); others weigh 1.
GUARDED_WEIGHT = 2.0


class Scenario(typing.NamedTuple):
    """Load and events of a simulation.

    :ivar load: offered load as a fraction of the first service's capacity.
    :ivar service_s: mean service time of a request, seconds.
    :ivar events: seconds after the warm-up, name of the event, argument.
    :ivar planned: whether the events leave every holder alive and reachable.
    :ivar hot: fraction of arrivals that come on one flow.
    """

    name: str
    load: float
    service_s: float
    events: tuple[tuple[float, str, typing.Any], ...] = ()
    planned: bool = True
    hot: float = 0.0


def _leaving_events(*steps: tuple[float, tuple[int, ...]]) -> tuple:
    return tuple((at, 'leaving', numbers) for at, numbers in steps)


_TEN_CHANGES = _leaving_events(*((1.1 * n, (n % 4 + 1,)) for n in range(10)))
SCENARIOS = {
    item.name: item
    for item in (
        Scenario('steady-50', 0.5, 0.02),
        Scenario('steady-80', 0.8, 0.02),
        Scenario('steady-95', 0.95, 0.02),
        Scenario('steady-80-slow', 0.8, 0.1),
        Scenario('steady-95-slow', 0.95, 0.1),
        Scenario('double', 2.0, 0.02),
        Scenario('drain', 0.6, 0.02, _leaving_events((2.0, (1,)), (8.0, ()))),
        Scenario('crash', 0.6, 0.02, ((3.0, 'crash', 1),), planned=False),
        Scenario('cold-start', 0.6, 0.02, ((2.0, 'restart', 1),), False),
        Scenario(
            'balancers-rolling',
            0.6,
            0.02,
            (
                (1.0, 'balancer', 1),
                (4.0, 'balancer', 2),
                (7.0, 'balancer', 3),
            ),
        ),
        Scenario(
            'outage',
            0.6,
            0.02,
            ((0.5, 'down', None), (3.0, 'word', 1), (11.0, 'up', None)),
        ),
        Scenario(
            'partition',
            0.6,
            0.02,
            ((1.0, 'part', (1, 2)), (7.0, 'heal', None)),
            planned=False,
        ),
        Scenario('lying-reports', 0.8, 0.02, ((0.0, 'lie', (1, 2)),)),
        Scenario('hot-caller', 0.8, 0.02, hot=0.3),
        Scenario('ten-changes', 0.5, 0.02, _TEN_CHANGES),
        Scenario(
            'changes-and-crashes',
            0.5,
            0.02,
            _TEN_CHANGES + ((2.5, 'crash', 6), (5.0, 'balancer', 1)),
            planned=False,
        ),
    )
}


class Run:
    """One scenario with the real agents and balancers.

    :ivar excused: requests that a crash or a partition may break.
    :ivar excused_flows: flows that a crash or a partition may break.
    """

    def __init__(
        self, scenario: Scenario, shape: shapes.Shape, seed: int
    ) -> None:
        """Create the simulated deployment."""
        self.scenario = scenario
        self.shape = shape
        self.world = world.World(
            shape, seed=seed, service_s=scenario.service_s
        )
        self.service, count = shape.services[0]
        self.names = [f'{self.service}-{n}' for n in range(1, count + 1)]
        self.capacity = count * shape.slots / scenario.service_s
        self.disabled = imbalance.DisabledIntervals()
        self.excused_flows: set[bytes] = set()
        self.excused: set[str] = set()
        self.balancers = 3

    def run(self) -> dict[str, typing.Any]:
        """Run the scenario and return its measures."""
        simulation = self.world
        simulation.run_until(WARM_S - 1.0)
        self.callers = [
            simulation.add_caller(self.service) for _ in range(CALLERS)
        ]
        self.other_callers = [
            simulation.add_caller(self.shape.services[1][0]) for _ in range(40)
        ]
        self.feeds = [
            simulation.add_caller(self.service) for _ in range(FEEDS)
        ]
        for feed in self.feeds:
            feed.observe()
        self._arrive()
        self._arrive_other()
        for at, name, argument in self.scenario.events:
            simulation.schedule(
                WARM_S + at - simulation.now, self._run_event, name, argument
            )
        simulation.run_until(WARM_S + MEASURED_S + TAIL_S)
        return self._measure()

    def _arrive(self) -> None:
        simulation = self.world
        if simulation.now > WARM_S + MEASURED_S:
            return
        rate = self.scenario.load * self.capacity
        simulation.schedule(simulation.random.expovariate(rate), self._arrive)
        caller = simulation.random.choice(self.callers)
        if (
            self.scenario.hot
            and simulation.random.random() < self.scenario.hot
        ):
            caller = self.callers[0]
        if simulation.random.random() < GUARDED_SHARE:
            caller.ask('POST', self.shape.guarded)
        else:
            caller.ask('GET', 'status')

    def _arrive_other(self) -> None:
        simulation = self.world
        if simulation.now > WARM_S + MEASURED_S:
            return
        count = self.shape.services[1][1]
        capacity = count * self.shape.slots / self.scenario.service_s
        wait = simulation.random.expovariate(OTHER_LOAD * capacity)
        simulation.schedule(wait, self._arrive_other)
        simulation.random.choice(self.other_callers).ask('PUT', 'scans')

    def _run_event(self, name: str, argument: typing.Any) -> None:
        getattr(self, f'_on_{name}')(argument)

    def _on_leaving(self, numbers: tuple[int, ...]) -> None:
        simulation = self.world
        leaving = [self.names[n - 1] for n in numbers]
        for name in self.names:
            if name in leaving:
                self.disabled.begin(name, simulation.now)
            else:
                self.disabled.end(name, simulation.now)
        simulation.rules['leaving'] = leaving
        simulation.publish('rules', simulation.rules)

    def _on_word(self, number: int) -> None:
        self.disabled.begin(self.names[number - 1], self.world.now)
        self.world.leave(self.names[number - 1])

    def _excuse(self, name: str) -> None:
        """Excuse the flows that an instance holds and the requests it runs.

        Requests that it may be running are excused as well: a consent that
        is in flight to an instance when that dies can't be revoked.
        """
        node = self.world.processes[name].node
        for item in node.targets:
            self.excused_flows.update(item.holder.flows)
        answered = {item.identity for item in self.world.asked}
        for item in self.world.ran:
            if item.instance == name and item.identity not in answered:
                self.excused.add(item.identity)
        simulation = self.world
        self.excused |= simulation.consents.in_flight(
            name, simulation.now, hop_s=simulation.shape.hop_s
        )

    def _on_crash(self, number: int) -> None:
        name = self.names[number - 1]
        self._excuse(name)
        self.disabled.begin(name, self.world.now)
        self.world.kill_instance(name)

    def _on_restart(self, number: int) -> None:
        self._on_crash(number)
        self.world.schedule(3.0, self._start_again, number)

    def _start_again(self, number: int) -> None:
        simulation = self.world
        server = simulation.servers[self.names[number - 1], self.service]
        server.up = True
        server.cold_until = simulation.now + 3.0
        simulation.start_agent(simulation.register['instances'][number - 1])
        self.disabled.end(self.names[number - 1], simulation.now + 4.0)

    def _on_balancer(self, number: int) -> None:
        simulation = self.world
        self.balancers += 1
        simulation.start_balancer(f'balancer-{self.balancers}')
        simulation.list_leaving(f'balancer-{number}')
        simulation.leave(f'balancer-{number}')

    def _on_down(self, _: None) -> None:
        self.world.set_platform(False)

    def _on_up(self, _: None) -> None:
        self.world.set_platform(True)

    def _on_part(self, numbers: tuple[int, ...]) -> None:
        cut = [self.names[n - 1] for n in numbers]
        for name in cut:
            self._excuse(name)
            self.disabled.begin(name, self.world.now)
        self.world.part([*cut, 'balancer-1'])

    def _on_heal(self, _: None) -> None:
        self.world.part([])
        for name in self.names:
            self.disabled.end(name, self.world.now)

    def _on_lie(self, numbers: tuple[int, ...]) -> None:
        """Do nothing: the decisions use no load figures of servers."""

    def _measure(self) -> dict[str, typing.Any]:
        simulation = self.world
        asked = [item for item in simulation.asked if item.kind != 'feed']
        runs = collections.Counter(item.identity for item in simulation.ran)
        broken, unexcused = self._broken_flows(asked)
        ratios = imbalance.window_ratios(
            simulation.ran, self.names, self.disabled, seconds=MEASURED_SECONDS
        )
        answered = [item for item in asked if item.outcome == 'answer']
        return {
            'broken_flows_weighted': broken,
            'broken_unexcused_weighted': unexcused,
            'imbalance_p50': imbalance.percentile(ratios, 0.5),
            'imbalance_p99': imbalance.percentile(ratios, 0.99),
            'lost': sum(item.outcome == 'lost' for item in asked),
            'unfinished': sum(
                c.unfinished for c in simulation.callers.values()
            ),
            'outcome_unknown': sum(
                item.outcome == 'outcome unknown' for item in asked
            ),
            'refused_not_run': sum(
                item.outcome == 'not run' for item in asked
            ),
            'ran_twice': len(
                {r.identity for r in simulation.ran if r.guarded}
                & {identity for identity, n in runs.items() if n > 1}
            ),
            'misrouted': sum(
                not r.identity.startswith(f'{r.service}-')
                for r in simulation.ran
            )
            + sum(item.outcome == 'crossed' for item in asked),
            'untrue_refusals': sum(
                item.outcome == 'not run' and runs[item.identity] > 0
                for item in asked
            ),
            'goodput': self._goodput(answered),
            'goodput_guarded': self._guarded_goodput(asked),
            'p99_latency_ms': 1000
            * imbalance.percentile([item.seconds for item in answered], 0.99),
            'control_bytes_per_s_max': max(
                rate
                for process in simulation.processes.values()
                for rate in process.control.values()
            )
            / world.CONTROL_WINDOW_S,
            'config_in_force_s_max': self._longest_in_force_s(),
            'ratios': ratios,
        }

    def _broken_flows(
        self, asked: list[fakes.RequestOutcome]
    ) -> tuple[float, float]:
        guarded = self.shape.guarded
        total = 0.0
        unexcused = 0.0
        flows = {f'{c.number}': c.flow for c in all_callers(self.world)}
        for item in asked:
            if item.outcome not in ('lost', 'outcome unknown'):
                continue
            weight = GUARDED_WEIGHT if item.kind == guarded else 1.0
            total += weight
            flow = flows[item.identity.rsplit('-', 2)[1]]
            if item.identity in self.excused or flow in self.excused_flows:
                continue
            unexcused += weight
        for feed in self.feeds:
            if not feed.feed_broken():
                continue
            total += 1.0
            if feed.flow not in self.excused_flows:
                unexcused += 1.0
        return total, unexcused

    def _goodput(self, answered: list[fakes.RequestOutcome]) -> float:
        """Return the answer rate of the first service over its capacity."""
        done = sum(
            item.identity.startswith(f'{self.service}-')
            and WARM_S <= item.at + item.seconds < WARM_S + MEASURED_S
            for item in answered
        )
        return done / MEASURED_S / self.capacity

    def _guarded_goodput(self, asked: list[fakes.RequestOutcome]) -> float:
        """Return the fraction of guarded requests that were answered."""
        guarded_requests = [i for i in asked if i.kind == self.shape.guarded]
        good = sum(item.outcome == 'answer' for item in guarded_requests)
        return good / len(guarded_requests) if guarded_requests else 1.0

    def _longest_in_force_s(self) -> float:
        longest = 0.0
        for process in self.world.processes.values():
            for revision, at in process.in_force.items():
                published = self.world.published.get(revision)
                if published and published > WARM_S - 1.0:
                    longest = max(longest, at - published)
        return longest


def all_callers(simulation: world.World) -> list[fakes.FakeCaller]:
    """Return all callers of a simulation."""
    return list(simulation.callers.values())
