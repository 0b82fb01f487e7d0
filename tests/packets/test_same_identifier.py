"""Test a server that restarts under the same identifier."""

from __future__ import annotations

from bench import packet_world
from teaseldock.packets import knowledge
from teaseldock.packets import records
from tests.packets.feeds import ask_all
from tests.packets.feeds import restart_balancers


def entry(**fields: object) -> records.Target:
    """Return a server's entry."""
    return records.Target(
        'i-1', 'dispatch', '10.0.1.1', 8080, 'dc', 2, False, 0, 5
    )._replace(**fields)


def crash_and_return(world: packet_world.World, host: str) -> None:
    """Crash a server and restart it at once under its identifier."""
    server = world.servers[host]
    server.crash(keeps_identifier=True)
    server.up = True
    world.store.put(server)


def test_what_the_former_run_had_is_lost() -> None:
    """Flows and requests of the previous run are dropped.

    A server with running and waiting requests crashes and restarts under the
    same identifier. If the agent compared only identifiers, it would keep its
    queue and the lost flows. Slots would stay occupied, and requests would be
    answered only when their callers retry.
    """
    world = packet_world.small_world(servers=1, service_s=0.3, slots=1)
    feeds = [world.request(feed=True, tries=1) for _ in range(6)]
    world.run(0.4)
    host = '10.0.1.1'
    agent = world.processes[host].node
    assert agent.queue.waiting and agent.queue.running
    crash_and_return(world, host)
    world.run(0.3)
    assert world.events('server restarted')
    assert not agent.queue.waiting and not agent.queue.running
    assert not agent.tracker.asked
    assert not any(agent.tracker.holds(feed.flow) for feed in feeds)


def test_a_flow_of_the_new_run_outlives_its_late_entry() -> None:
    """A flow that opens before the new run's entry arrives is not reset.

    A server restarts under its identifier and accepts new flows. Its entry
    arrives shortly after, and then another balancer queries the flows. If all
    flows were assigned to the previous run when the entry arrives, they would
    be reset although the server holds them.
    """
    world = packet_world.small_world(servers=1)
    world.run(17.0)
    host = '10.0.1.1'
    world.servers[host].crash(keeps_identifier=True)
    world.servers[host].up = True
    feeds = [world.request(feed=True) for _ in range(5)]
    world.run(0.5)
    assert all(feed.outcome == 'answered' for feed in feeds)
    world.store.put(world.servers[host])
    world.run(0.5)
    assert world.events('server restarted')[0]['seen']
    restart_balancers(world)
    ask_all(world, feeds, 1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()


def test_an_agent_younger_than_the_new_run_denies_nothing() -> None:
    """An agent that starts after the new run does not deny its flows.

    A server restarts and accepts a flow. Its agent is killed and restarts; it
    receives the entry of the previous run first, then that of the new run. If
    it concluded that it is older than the new run and has seen all its flows,
    it would deny the flow, which would be reset although the server holds it.
    """
    world = packet_world.small_world(servers=1)
    host = '10.0.1.1'
    server = world.servers[host]
    server.crash()
    server.up = True
    feed = world.request(feed=True)
    world.run(0.3)
    assert feed.outcome == 'answered'
    world.start(host)
    world.run(0.5)
    world.store.put(server)
    world.run(0.5)
    assert not world.events('server restarted')[0]['seen']
    restart_balancers(world)
    ask_all(world, [feed], 1.0)
    assert feed.outcome == 'answered'
    assert not world.broken()


def test_the_former_address_may_hold_flows() -> None:
    """The previous address of a moved server is still queried for flows."""
    known = knowledge.Knowledge()
    known.apply(records.Changes(0, 5, [entry()], [], None), 1.0)
    moved = entry(host='10.0.1.2', born_ms=7, revision=8)
    known.apply(records.Changes(5, 8, [moved], [], None), 2.0)
    assert [item.target.host for item in known.recently_removed(2.5)] == [
        '10.0.1.1'
    ]
    assert known.targets['i-1'].host == '10.0.1.2'


def test_the_former_address_of_one_run_may_hold_flows() -> None:
    """An entry changed by another writer hides no flows.

    Another writer puts an unconfigured service into a valid entry, and the
    agent of that instance restarts. The run is the same; if the previous place
    were dropped because of that, a flow would be reset although its server is
    up.
    """
    known = knowledge.Knowledge()
    known.apply(records.Changes(0, 5, [entry()], [], None), 1.0)
    unconfigured = entry(service='elsewhere', revision=8)
    known.apply(records.Changes(5, 8, [unconfigured], [], None), 2.0)
    assert [item.target.service for item in known.recently_removed(2.5)] == [
        'dispatch'
    ]


def test_an_overwritten_entry_has_not_expired() -> None:
    """An entry that was overwritten does not count as expired.

    The store is down, and afterwards its key holds something else. If every
    entry missing after an outage counted as expired, the target would get
    openings although another writer removed it.
    """
    known = knowledge.Knowledge()
    known.apply(records.Changes(0, 5, [entry()], [], None), 1.0)
    removal = records.Removal('i-1', 8, overwritten=True)
    known.apply(records.Changes(5, 8, [], [removal], None), 2.0)
    assert not known.recently_expired('dispatch', 2.1)
    assert known.recently_removed(2.1)


def test_an_unnamed_service_names_no_target() -> None:
    """An entry of an unconfigured service is no target.

    Another writer leaves such an entry. Its host never answers, and a missing
    answer is no denial. If searches queried it, lost flows would never be
    reset, and their callers would wait until their timeout.
    """
    known = knowledge.Knowledge()
    configuration = records.Configuration(1, 4, 15_000, [], ['dispatch'])
    unconfigured = entry(identifier='odd', service='elsewhere')
    known.apply(
        records.Changes(0, 5, [entry(), unconfigured], [], configuration), 1.0
    )
    assert list(known.targets) == ['i-1']
    assert known.entries_of_unknown_services == {'odd'}
    assert len(known.changes_since(0).targets) == 2
    named = configuration._replace(
        version=2, revision=6, services=['dispatch', 'elsewhere']
    )
    known.apply(records.Changes(5, 6, [], [], named), 2.0)
    assert 'odd' in known.targets and not known.entries_of_unknown_services
