"""Test failure detection, refutation, pauses, partitions and restarts."""

from __future__ import annotations

from bench import world
from teaseldock import messages


def reported_health(run: world.World, name: str) -> set[int]:
    """Return the health of a member according to the living processes."""
    return {
        process.node.members.roster.get(name).health
        for other, process in run.processes.items()
        if process.alive and other != name
    }


def test_a_dead_agent_is_known_everywhere_soon(small: world.World) -> None:
    """All members consider a killed one dead within six seconds."""
    small.kill_instance('dispatch-3')
    small.run_until(small.now + 6.0)
    assert reported_health(small, 'dispatch-3') == {messages.Health.DEAD}


def test_the_living_are_never_declared_dead(small: world.World) -> None:
    """Without faults no member is suspected."""
    small.run_until(small.now + 30.0)
    for name in small.processes:
        assert reported_health(small, name) == {messages.Health.ALIVE}


def test_a_paused_observer_suspects_nobody(small: world.World) -> None:
    """A process that was paused for 30 s suspects no other member."""
    small.pause('balancer-1', 30.0)
    small.run_until(small.now + 30.5)
    resumed = small.processes['balancer-1'].node
    assert resumed.members.pauses == 1
    alive = messages.Health.ALIVE
    assert {m.health for m in resumed.members.roster.members()} == {alive}
    small.run_until(small.now + 8.0)
    assert reported_health(small, 'balancer-1') == {alive}


def test_a_paused_agent_is_taken_back(small: world.World) -> None:
    """An agent that was considered dead refutes it after its pause."""
    small.pause('dispatch-2', 12.0)
    small.run_until(small.now + 10.0)
    assert reported_health(small, 'dispatch-2') == {messages.Health.DEAD}
    small.run_until(small.now + 12.0)
    assert reported_health(small, 'dispatch-2') == {messages.Health.ALIVE}


def test_partition_heals_without_help(small: world.World) -> None:
    """Two sides that consider each other dead find each other again."""
    small.part(['dispatch-1', 'dispatch-2', 'balancer-1'])
    small.run_until(small.now + 15.0)
    assert messages.Health.DEAD in reported_health(small, 'dispatch-1')
    small.part([])
    small.run_until(small.now + 25.0)
    for name in small.processes:
        assert reported_health(small, name) == {messages.Health.ALIVE}


def test_all_are_taken_back_soon_after_a_cut(small: world.World) -> None:
    """Guards against members considered dead for seconds after a partition."""
    small.part(['dispatch-1', 'dispatch-2', 'balancer-1'])
    small.run_until(small.now + 15.0)
    small.part([])
    small.run_until(small.now + 2.0)
    for name in small.processes:
        assert reported_health(small, name) == {messages.Health.ALIVE}


def test_a_restart_under_an_old_clock_is_heard(small: world.World) -> None:
    """A process whose clock went back over a restart is not ignored."""
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
    assert reported_health(small, entry['name']) == {messages.Health.ALIVE}


def test_lagging_list_does_not_drain_a_replacement(
    small: world.World,
) -> None:
    """An old "leaving" entry of the list does not apply to a newer process.

    Guards against a replacement that gets no new flows for half a minute. The
    old process is marked as leaving and stops; its replacement starts under
    the same name while the list still has the old entry. It happens if this
    entry is applied to the new process.
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
