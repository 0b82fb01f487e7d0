"""Test detection, denial, pauses, partitions and joining."""

from __future__ import annotations

from bench import world
from teaseldock import messages


def believed(run: world.World, name: str) -> set[int]:
    """Return what living processes believe of a member's health."""
    return {
        process.node.members.roster.get(name).health
        for other, process in run.processes.items()
        if process.alive and other != name
    }


def test_a_dead_agent_is_known_everywhere_soon(small: world.World) -> None:
    """All members hold a killed one for dead within six seconds."""
    small.kill_instance('dispatch-3')
    small.run_until(small.now + 6.0)
    assert believed(small, 'dispatch-3') == {messages.Health.DEAD}


def test_the_living_are_never_declared_dead(small: world.World) -> None:
    """Without faults nobody is even suspected."""
    small.run_until(small.now + 30.0)
    for name in small.processes:
        assert believed(small, name) == {messages.Health.ALIVE}


def test_a_paused_observer_suspects_nobody(small: world.World) -> None:
    """A process that slept for 30 s wakes without accusing the fleet."""
    small.pause('balancer-1', 30.0)
    small.run_until(small.now + 30.5)
    woken = small.processes['balancer-1'].node
    assert woken.members.pauses == 1
    alive = messages.Health.ALIVE
    assert {m.health for m in woken.members.roster.members()} == {alive}
    small.run_until(small.now + 8.0)
    assert believed(small, 'balancer-1') == {alive}


def test_a_paused_agent_is_taken_back(small: world.World) -> None:
    """An agent that others held for dead denies it when it wakes."""
    small.pause('dispatch-2', 12.0)
    small.run_until(small.now + 10.0)
    assert believed(small, 'dispatch-2') == {messages.Health.DEAD}
    small.run_until(small.now + 12.0)
    assert believed(small, 'dispatch-2') == {messages.Health.ALIVE}


def test_partition_heals_without_help(small: world.World) -> None:
    """Two halves that held each other for dead find each other again."""
    small.part(['dispatch-1', 'dispatch-2', 'balancer-1'])
    small.run_until(small.now + 15.0)
    assert messages.Health.DEAD in believed(small, 'dispatch-1')
    small.part([])
    small.run_until(small.now + 25.0)
    for name in small.processes:
        assert believed(small, name) == {messages.Health.ALIVE}


def test_all_are_taken_back_soon_after_a_cut(small: world.World) -> None:
    """Guards against members that count as dead for seconds after a cut."""
    small.part(['dispatch-1', 'dispatch-2', 'balancer-1'])
    small.run_until(small.now + 15.0)
    small.part([])
    small.run_until(small.now + 2.0)
    for name in small.processes:
        assert believed(small, name) == {messages.Health.ALIVE}


def test_a_restart_under_an_old_clock_is_heard(small: world.World) -> None:
    """A process whose clock went back over a restart is not its own past."""
    entry = small.register['instances'][0]
    small.kill(entry['name'])
    small.run_until(small.now + 8.0)
    world_start = world.WALL_START_S
    world.WALL_START_S = world_start - 3600.0
    try:
        small.start_agent(entry)
    finally:
        world.WALL_START_S = world_start
    small.run_until(small.now + 10.0)
    assert believed(small, entry['name']) == {messages.Health.ALIVE}


def test_lagging_list_does_not_drain_a_replacement(
    small: world.World,
) -> None:
    """An old entry "leaving" doesn't speak of a newer process.

    Symptom: a replaced target gets no work for half a minute. Sequence: the
    old process is marked leaving and stops; its replacement starts under the
    same name while the list still shows the old entry. Cause to guard
    against: taking the entry for the new process.
    """
    entry = small.register['instances'][0]
    before = int((world.WALL_START_S + small.now) * 1000)
    small.kill(entry['name'])
    small.run_until(small.now + 1.0)
    small.start_agent(entry)
    small.listed[entry['name']] = small.listed[entry['name']]._replace(
        leaving_since=before
    )
    small.run_until(small.now + 20.0)
    node = small.processes['dispatch-2'].node
    assert entry['name'] not in node.view.excluded
