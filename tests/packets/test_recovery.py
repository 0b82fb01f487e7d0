"""Test spreading, readers and recovery of the packet processes."""

from __future__ import annotations

import pytest

from bench import packet_world
from teaseldock.packets import placing


def wide_world(**options: object) -> packet_world.World:
    """Return a world of six balancers and twelve servers."""
    return packet_world.small_world(balancers=6, servers=12, **options)


def in_force(world: packet_world.World, version: int) -> list[bool]:
    """Tell for each process whether a version is in force."""
    return [
        process.node.knowledge.version == version
        for process in world.processes.values()
    ]


def test_a_change_is_in_force_everywhere_at_once() -> None:
    """A change reaches all processes, and few calls are made for it."""
    world = wide_world()
    before = world.store.calls
    world.store.configure(7, [packet_world.route('dispatch')])
    world.run(0.3)
    assert all(in_force(world, 7))
    world.run(10.0)
    # Two readers, a watch of 1.5 s each, and one more for the change.
    assert world.store.calls - before <= 2 * 8 + 2


def test_the_death_of_both_readers_delays_a_change_by_less_than_three_s() -> (
    None
):
    """A change stays unseen after the readers died.

    Symptom: an old configuration in force for long.
    Events: both readers are killed, then a version is published.
    Cause: the others waited for them.
    """
    world = wide_world()
    readers = {
        process.host
        for process in world.balancers()
        if process.node.reads_store(world.now)
    }
    assert len(readers) == 2
    for host in readers:
        world.kill(host)
    world.store.configure(7, [packet_world.route('dispatch')])
    world.run(2.9)
    assert all(in_force(world, 7))


def test_wide_links_read_for_slim_ones() -> None:
    """The store's answers fill the link of a balancer that reads for all.

    Symptom: callers of one balancer wait for a second whenever the operator
    publishes many routes.
    Events: two of six balancers have wide links; a version is published.
    Cause: who reads was chosen by rank alone.
    """
    world = wide_world(link_mbps=2.0)
    hosts = sorted(process.host for process in world.balancers())
    wide = {hosts[1], hosts[4]}
    world.links = dict.fromkeys(wide, 200.0)
    for host in wide:
        world.start(host)
    world.run(2.0)
    readers = {
        process.host
        for process in world.balancers()
        if process.node.reads_store(world.now)
    }
    assert readers == wide
    for host in wide:
        world.kill(host)
    world.store.configure(7, [packet_world.route('dispatch')])
    world.run(2.9)
    assert all(in_force(world, 7))


def test_agents_read_first_after_a_loss_of_power() -> None:
    """Nothing is served while all balancers read over slim links.

    Symptom: after a loss of all power no request is served for three seconds.
    Events: all processes start at once; balancers have links of 2 Mbit/s, on
    which the store's answer takes 1.5 s.
    Cause: only balancers read, each the whole, until the others' answers are
    two seconds old.
    """
    world = wide_world(link_mbps=2.0)
    world.run(2.0)
    slim = {process.host for process in world.balancers()}
    answer = world.store._deliver

    def slowly(process: object, method: str, *values: object) -> None:
        delay_s = 1.5 if process.host in slim else 0.0
        world.after(delay_s, lambda: answer(process, method, *values))

    world.store._deliver = slowly
    calls = world.store.calls
    for host in list(world.processes):
        world.start(host)
    world.run(0.8)
    assert all(in_force(world, 1))
    assert world.store.calls - calls <= 2 * len(slim) + 10


def test_readers_that_are_turned_away_are_replaced() -> None:
    """The store refuses all balancers but one; all hear of a change."""
    world = wide_world()
    hosts = sorted(process.host for process in world.balancers())
    world.store.refused = set(hosts[1:])
    world.store._answer_watches()
    world.run(1.0)
    world.store.configure(7, [packet_world.route('dispatch')])
    world.run(2.0)
    assert all(in_force(world, 7))


def test_agents_read_when_no_balancer_can() -> None:
    """The store refuses all balancers; agents carry the news."""
    world = wide_world()
    world.store.refused = {process.host for process in world.balancers()}
    world.store._answer_watches()
    world.store.configure(7, [packet_world.route('dispatch')])
    world.run(4.5)
    assert all(in_force(world, 7))


def test_a_lost_history_is_read_anew() -> None:
    """A watch whose revision is no longer kept leads to a full read."""
    world = wide_world()
    server = world.servers['10.0.1.5']
    world.store.remove(server.identifier)
    world.store.discard_history()
    world.run(1.0)
    assert all(
        server.identifier not in process.node.knowledge.targets
        for process in world.processes.values()
    )


def test_restarted_processes_learn_from_peers_while_the_store_is_down() -> (
    None
):
    """A balancer that starts during an outage serves by its peers' word."""
    world = wide_world()
    world.store.up = False
    world.store._answer_watches()
    world.run(1.0)
    for host in ('10.0.0.1', '10.0.0.4', '10.0.1.3'):
        world.start(host)
    world.run(1.5)
    assert all(in_force(world, 1))
    requests = [world.request() for _ in range(30)]
    world.run(1.0)
    assert all(item.outcome == 'answered' for item in requests)


def test_a_start_of_all_serves_within_half_a_second() -> None:
    """After a loss of all power, the first answer comes quickly.

    Events: every process starts at one moment, and the store answers.
    """
    world = wide_world()
    for host in list(world.processes):
        world.start(host)
    world.run(0.2)
    requests = [world.request(tries=1) for _ in range(30)]
    world.run(0.3)
    assert all(item.outcome == 'answered' for item in requests)


def test_a_store_that_returns_is_not_met_by_all_at_once() -> None:
    """Calls while the store is away stay few, and differ in time."""
    world = wide_world()
    for host in list(world.processes):
        world.start(host)
    world.store.up = False
    before = world.store.calls
    world.run(8.0)
    # 6 balancers at a call each 0.8 s, 12 agents likewise after their wait.
    assert world.store.calls - before < 18 * 8 / 0.6
    world.store.up = True
    world.run(1.5)
    assert all(in_force(world, 1))


def test_a_paused_balancer_does_not_act_on_its_old_view() -> None:
    """A woken balancer sends a new flow to a target that left meanwhile.

    Symptom: an opening at a target long after it said that it leaves.
    Events: a balancer stands still for a second; a target drains meanwhile;
    the balancer wakes, and packets are waiting.
    Cause: it used its table before it had heard from anybody.
    """
    world = wide_world()
    paused = world.processes['10.0.0.6']
    paused.paused = True
    server = world.servers['10.0.1.1']
    server.draining = True
    world.store.put(server)
    world.run(0.3)
    seen = len(server.opened)
    for _ in range(100):
        world.request()
        world.run(0.003)
    world.run(1.0)
    assert len(server.opened) == seen
    # No agent may stand in for the balancer's check here.
    world.kill(server.host)
    world.start(server.host).node._refuses_openings = lambda: False
    paused.resume()
    world.run(1.5)
    assert paused.node.meters.counters['pauses'] == 1
    assert len(server.opened) == seen
    assert all(item.outcome == 'answered' for item in world.requests)


def test_lossy_links_delay_but_break_nothing() -> None:
    """With 5 % of all datagrams lost, changes arrive and flows stay."""
    world = wide_world(seed=5)
    world.loss = 0.05
    feeds = [world.request(feed=True) for _ in range(40)]
    world.run(2.0)
    world.store.configure(7, [packet_world.route('dispatch')])
    world.run(2.0)
    assert all(in_force(world, 7))
    for feed in feeds:
        feed.ask()
    world.run(3.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()


def test_expired_entries_stop_no_service() -> None:
    """All targets are gone for two seconds after the store returns.

    Symptom: openings are refused for lack of a target, though all serve.
    Events: entries expire while the store is away, which is seen when it
    returns; 1.5 s later the servers have written them again.
    Cause: an expired entry was taken for a target that is gone.
    """
    world = wide_world()
    world.store.up = False
    world.store._answer_watches()
    world.run(4.0)
    for server in world.servers.values():
        world.store.remove(server.identifier)
    world.store.up = True
    world.run(0.5)
    assert not world.processes['10.0.0.1'].node.knowledge.targets
    requests = []
    for _ in range(120):
        requests.append(world.request(tries=1))
        world.run(0.01)
    for server in world.servers.values():
        world.store.put(server)
    world.run(1.0)
    assert all(item.outcome == 'answered' for item in requests)
    assert not world.resets


def test_an_entry_that_stays_missing_is_gone() -> None:
    """An expired entry gets no new flow after its two seconds."""
    world = wide_world()
    server = world.servers['10.0.1.1']
    world.store.up = False
    world.store._answer_watches()
    world.run(1.0)
    world.store.remove(server.identifier)
    world.store.up = True
    world.run(3.3)
    seen = len(server.opened)
    for _ in range(100):
        world.request()
        world.run(0.01)
    assert len(server.opened) == seen


def test_flows_are_found_soon_after_all_processes_were_killed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Feeds stall for many seconds after every process was killed.

    Symptom: 12 s after a kill of all processes, most feeds have no answer.
    Events: 1,200 feeds at 40 servers, placed anywhere, as under load; all
    agents and balancers are killed and start again, so that no agent knows its
    server's flows; callers ask.
    Cause: the budget of questions was for agents that know.
    """
    monkeypatch.setattr(placing, 'LOADED', -1.0)
    world = packet_world.small_world(balancers=8, servers=40)
    feeds = []
    for _ in range(1200):
        feeds.append(world.request(feed=True))
        world.run(0.002)
    world.run(0.5)
    for host in list(world.processes):
        world.start(host)
    world.run(0.1)
    for feed in feeds:
        feed.ask()
        world.run(0.001)
    world.run(2.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()
    late = [feed for feed in feeds if feed.latency_s > 1.0]
    assert len(late) < 60


def test_a_request_that_asked_takes_one_slot() -> None:
    """Servers look busy for seconds after every process was killed.

    Symptom: requests are given up in the queue of an idle server.
    Events: all processes are killed; a caller's request asks who holds its
    flow; the server runs it and answers; the balancer then sends the packets
    that it kept, the same request among them.
    Cause: the agent had not noted the request that asked, took the repetition
    for a new one, and kept a slot for it until its timeout.
    """
    world = packet_world.small_world(servers=2)
    feeds = [world.request(feed=True) for _ in range(12)]
    world.run(1.0)
    for host in list(world.processes):
        world.start(host)
    world.run(0.3)
    for feed in feeds:
        feed.ask()
        world.run(0.05)
    world.run(0.5)
    assert all(feed.outcome == 'answered' for feed in feeds)
    for host in world.servers:
        agent = world.processes[host].node
        assert agent.queue.running == 0
        assert agent.tracker.asked == 0
