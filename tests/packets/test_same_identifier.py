"""Test a server that starts again under the identifier that it had."""

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
    """Let a server crash and be back at once under its identifier."""
    server = world.servers[host]
    server.crash(keep_identifier=True)
    server.up = True
    world.store.put(server)


def test_what_the_former_run_had_is_lost() -> None:
    """Flows of a server that crashed stay where nobody answers them.

    Symptom: requests are answered only by their callers' next try, and slots
    stay taken by requests that are gone.
    Events: a server with requests at it and waiting crashes, and starts again
    under the same identifier.
    Cause: the identifier was the same, so nothing seemed to have changed: the
    agent kept its queue and held flows that are gone.
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
    """A flow is reset that opened before the new run's entry was known.

    Symptom: a reset that the server didn't send, on a flow that it holds.
    Events: a server starts again under its identifier, and takes new flows; a
    moment later its entry comes, and then another balancer asks for them.
    Cause: with the entry all flows were taken for those of the former run.
    """
    world = packet_world.small_world(servers=1)
    world.run(17.0)
    host = '10.0.1.1'
    world.servers[host].crash(keep_identifier=True)
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
    """A flow is reset whose agent began after the server's last start.

    Symptom: a reset that the server didn't send, on a flow that it holds.
    Events: a server starts anew and takes a flow; its agent is killed and
    starts again; it hears of the former run first, then of the new one.
    Cause: having heard of both, it took itself for older than the new run,
    and so for knowing all its flows.
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
    """A server that moved keeps being asked for flows where it was."""
    known = knowledge.Knowledge()
    known.apply(records.Changes(0, 5, [entry()], [], None), 1.0)
    moved = entry(host='10.0.1.2', born_ms=7, revision=8)
    known.apply(records.Changes(5, 8, [moved], [], None), 2.0)
    assert [item.target.host for item in known.recently_removed(2.5)] == [
        '10.0.1.1'
    ]
    assert known.targets['i-1'].host == '10.0.1.2'


def test_the_former_address_of_one_run_may_hold_flows() -> None:
    """An entry that another writer changes hides no flows.

    Symptom: a flow is reset though its server lives, while the process beside
    that server restarts.
    Events: something else writes a service that isn't configured into a good
    entry; its instance is silent for a moment.
    Cause: the entry's run was the same, so its former place was forgotten.
    """
    known = knowledge.Knowledge()
    known.apply(records.Changes(0, 5, [entry()], [], None), 1.0)
    odd = entry(service='elsewhere', revision=8)
    known.apply(records.Changes(5, 8, [odd], [], None), 2.0)
    assert [item.target.service for item in known.recently_removed(2.5)] == [
        'dispatch'
    ]


def test_an_overwritten_entry_has_not_expired() -> None:
    """After an outage an entry that names no target gets new flows.

    Symptom: openings at a server whose entry another writer took away.
    Events: the store was away; then something else stands under its key.
    Cause: whatever is missing after an outage was taken for expired.
    """
    known = knowledge.Knowledge()
    known.apply(records.Changes(0, 5, [entry()], [], None), 1.0)
    removal = records.Removal('i-1', 8, overwritten=True)
    known.apply(records.Changes(5, 8, [], [removal], None), 2.0)
    assert not known.recently_expired('dispatch', 2.1)
    assert known.recently_removed(2.1)


def test_an_unnamed_service_names_no_target() -> None:
    """A search waits for an address that nobody has.

    Symptom: lost flows are never reset, their callers wait in vain.
    Events: another writer leaves an entry of a service that isn't configured.
    Cause: its host never answers, and silence is no answer.
    """
    known = knowledge.Knowledge()
    configuration = records.Configuration(1, 4, 15_000, [], ['dispatch'])
    odd = entry(identifier='odd', service='elsewhere')
    known.apply(records.Changes(0, 5, [entry(), odd], [], configuration), 1.0)
    assert list(known.targets) == ['i-1']
    assert known.entries_of_unknown_services == {'odd'}
    assert len(known.changes_since(0).targets) == 2
    named = configuration._replace(
        version=2, revision=6, services=['dispatch', 'elsewhere']
    )
    known.apply(records.Changes(5, 6, [], [], named), 2.0)
    assert 'odd' in known.targets and not known.entries_of_unknown_services
