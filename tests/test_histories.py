"""Search histories of failures for one that breaks a promise."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bench import world
from teaseldock import agent
from tests import conftest
from tests import promises

DISPATCH = [f'dispatch-{n}' for n in range(1, 5)]
#: Pauses longer than this silence a feed for longer than its caller waits.
LONG_PAUSE_S = 3.0


class Histories(stateful.RuleBasedStateMachine):
    """Mix planned changes, kills, pauses, cuts and requests at random."""

    def __init__(self) -> None:
        """Start a small deployment with feeds."""
        super().__init__()
        self.run = world.World(conftest.SMALL, seed=11, balancers=2)
        self.run.run_until(2.0)
        self.feeds = [self.run.add_caller('dispatch') for _ in range(12)]
        self.others = [self.run.add_caller('dispatch') for _ in range(12)]
        self.tickets = [self.run.add_caller('tickets') for _ in range(6)]
        for feed in self.feeds:
            feed.observe()
        self.run.run_until(4.0)
        self.excused: set[bytes] = set()
        self.generations: dict[world.Process, int] = {}
        self.down: set[str] = set()
        self.balancers = 2

    def _excuse(self, name: str) -> None:
        """Leave out feeds whose holder fails without a plan."""
        for feed in self.feeds:
            if name in self.run.holders(feed):
                self.excused.add(feed.flow)

    @stateful.rule(seconds=strategies.sampled_from([0.02, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.run.run_until(self.run.now + seconds)

    @stateful.rule(count=strategies.integers(1, 12))
    def order(self, count: int) -> None:
        """Let callers order and scan."""
        for caller in (self.others + self.feeds)[:count]:
            caller.ask('POST', 'orders')
        for caller in self.tickets[:count]:
            caller.ask('PUT', 'scans')
        self.run.run_until(self.run.now + 0.05)

    @stateful.rule(names=strategies.sets(strategies.sampled_from(DISPATCH)))
    def publish_leaving(self, names: set[str]) -> None:
        """Let operators drain some targets, or take it back."""
        if len(names) == len(DISPATCH):
            return
        self.run.rules['leaving'] = sorted(names)
        self.run.publish('rules', self.run.rules)

    @stateful.rule(name=strategies.sampled_from(DISPATCH))
    def kill_instance(self, name: str) -> None:
        """Kill agent and server, or start them again."""
        if name not in self.down and len(self.down) >= 2:
            return
        if name not in self.down:
            self._excuse(name)
            self.run.kill_instance(name)
            self.down.add(name)
            return
        self.down.discard(name)
        self.run.servers[name, 'dispatch'].up = True
        entry = next(
            i for i in self.run.register['instances'] if i['name'] == name
        )
        self.run.start_agent(entry)

    @stateful.rule(name=strategies.sampled_from(DISPATCH))
    def restart_agent(self, name: str) -> None:
        """Kill an agent and start it at once, its server living on."""
        if name in self.down:
            return
        self._excuse(name)
        self.run.kill(name)
        entry = next(
            i for i in self.run.register['instances'] if i['name'] == name
        )
        self.run.start_agent(entry)

    @stateful.rule(
        name=strategies.sampled_from(DISPATCH + ['balancer-1']),
        seconds=strategies.sampled_from([0.5, 2.5, 30.0]),
    )
    def pause(self, name: str, seconds: float) -> None:
        """Freeze a process."""
        if seconds > LONG_PAUSE_S:
            self._excuse(name)
        self.run.pause(name, seconds)

    @stateful.rule()
    def replace_balancer(self) -> None:
        """Kill a balancer and start another."""
        living = [
            name
            for name, process in self.run.processes.items()
            if name.startswith('balancer') and process.alive
        ]
        self.balancers += 1
        self.run.start_balancer(f'balancer-{self.balancers}')
        self.run.kill(living[0])
        self.run.listed.pop(living[0], None)

    @stateful.rule(up=strategies.booleans())
    def platform(self, up: bool) -> None:
        """Take the platform down or up."""
        self.run.set_platform(up)

    @stateful.rule(names=strategies.sets(strategies.sampled_from(DISPATCH)))
    def part(self, names: set[str]) -> None:
        """Cut some agents off from all others, or heal with an empty set."""
        for name in names:
            self._excuse(name)
        self.run.part(names)

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.02]),
        duplicate=strategies.sampled_from([0.0, 0.5]),
    )
    def network(self, loss: float, duplicate: float) -> None:
        """Lose and double packets."""
        self.run.loss = loss
        self.run.duplicate = duplicate

    @stateful.invariant()
    def safe(self) -> None:
        """Check what must hold in every history."""
        promises.assert_safe(self.run)

    @stateful.invariant()
    def never_reverts(self) -> None:
        """Check that no process goes back to an older revision."""
        for process in self.run.processes.values():
            generation = process.node.config.generation
            assert generation >= self.generations.get(process, 0)
            self.generations[process] = generation

    def teardown(self) -> None:
        """Heal everything; feeds must live and requests must end."""
        self.run.part([])
        self.run.loss = 0.0
        self.run.duplicate = 0.0
        self.run.set_platform(True)
        self.run.run_until(self.run.now + 75.0)
        promises.assert_safe(self.run)
        views = {
            process.node.config.generation
            for process in self.run.processes.values()
            if process.alive
        }
        assert len(views) == 1
        for process in self.run.processes.values():
            if process.alive and isinstance(process.node, agent.Agent):
                assert all(
                    not t.holder.coordinator.open for t in process.node.targets
                )
        broken = [
            feed.number
            for feed in self.feeds
            if feed.feed_broken() and feed.flow not in self.excused
        ]
        assert broken == []


TestHistories = Histories.TestCase
TestHistories.settings = hypothesis.settings(
    max_examples=12, stateful_step_count=16
)
