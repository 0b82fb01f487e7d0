"""Test the bound on the age of alerts that a process may lack."""

from __future__ import annotations

from bench import packet_world
from teaseldock.packets import control
from teaseldock.packets import freshness

#: Usual age, seconds: a watch of 1.5 s, and for its answer two rounds between
#: balancers and one to agents.
USUAL_S = 1.5 + 2 * 0.4 + 0.6


def heartbeat(alerted: int, age_ms: int) -> control.Heartbeat:
    """Return a heartbeat of another process."""
    first = control.Heartbeat(True, 1, False, 9, 0, False, None, b'')
    return first._replace(alerted=alerted, alerts_age_ms=age_ms)


def test_who_lacks_an_alert_takes_no_proof_from_who_knows_it() -> None:
    """An age counts only if all alerts of its sender are known here."""
    fresh = freshness.Freshness(100.0)
    fresh.merge_claim(8, 0, 110.0, known=7)
    assert fresh.age_s(110.0) == 10.0
    fresh.merge_claim(7, 200, 110.0, known=7)
    assert 0.2 <= fresh.age_s(110.0) < 0.5


def test_who_catches_up_has_the_proof_that_it_was_told_before() -> None:
    """A process that catches up adopts the proof that it received before.

    A process receives the report that another has all alerts, one of which it
    lacks, and gets that one some milliseconds later. If it takes proof from
    heartbeats only, the next of which arrives 0.4 to 0.8 s later, it looks
    stale until then: when the store returned, 183 of 195 processes read it in
    that time.
    """
    fresh = freshness.Freshness(100.0)
    fresh.merge_claim(8, 200, 110.0, known=7)
    fresh.merge_claim(9, 100, 110.1, known=7)
    fresh.adopt_claims(7)
    assert fresh.age_s(110.2) > 10.0
    fresh.adopt_claims(8)
    assert 0.4 <= fresh.age_s(110.2) < 0.6
    fresh.adopt_claims(9)
    assert 0.2 <= fresh.age_s(110.2) < 0.4


def test_the_proofs_kept_are_bounded() -> None:
    """Of claims for many missing alerts, the newest are kept."""
    fresh = freshness.Freshness(100.0)
    for alerted in range(8, 8 + 2 * freshness.CLAIMS_KEPT):
        fresh.merge_claim(alerted, 0, 110.0, known=7)
    fresh.adopt_claims(8 + freshness.CLAIMS_KEPT - 1)
    assert fresh.age_s(110.0) == 10.0
    fresh.adopt_claims(8 + freshness.CLAIMS_KEPT)
    assert fresh.age_s(110.0) < 1.0


def test_who_is_notified_of_a_change_has_proof_with_it() -> None:
    """A process that is notified of a change also gets the proof for it.

    If a reader notifies others before it records its own answer, they have the
    change but the proof from before it, and read the store as above.
    """
    world = packet_world.small_world(balancers=6, servers=12)
    world.store.up = False
    world.store._wake()
    world.run(4.0)
    world.store.up = True
    server = next(iter(world.servers.values()))
    server.draining = True
    world.store.put(server)
    while not world.processes[server.host].node.own_target.draining:
        world.run(0.01)
    world.run(0.05)
    assert world.processes[server.host].node.alerts_age_s < 1.0


def test_a_whole_read_proves_nothing_later_than_its_beginning() -> None:
    """Proof from a full read dates from the start of the read.

    A read of many pages covers what its first page does. If its proof dated
    from the end, a process would count alerts as known that were published
    during the read, which takes more than a second on some links.
    """
    world = packet_world.small_world(balancers=2, servers=2)
    world.store.delay_s = 0.5
    for host in list(world.processes):
        world.kill(host)
    process = world.start('10.0.0.1')
    while not process.node.knowledge.usable:
        world.run(0.01)
    assert process.node.alerts_age_s >= 0.4


def test_an_age_never_gets_younger_on_its_way() -> None:
    """Two processes that only receive each other's ages get older together."""
    one, two = freshness.Freshness(100.0), freshness.Freshness(100.0)
    one.record_answer(100.0)
    for step in range(1, 60):
        now = 100.0 + step * 0.1
        two.merge_claim(0, one.age_ms(now), now, known=5)
        one.merge_claim(0, two.age_ms(now), now, known=5)
        assert one.age_s(now) >= now - 100.0 - 1e-6
        assert two.age_s(now) >= now - 100.0 - 1e-3


def test_ages_stay_small_when_nothing_happens() -> None:
    """Without changes, proof of each of 40 processes stays recent."""
    world = packet_world.small_world(balancers=12, servers=28, link_mbps=20.0)
    for _ in range(60):
        world.run(0.1)
        ages = [p.node.alerts_age_s for p in world.processes.values()]
        assert max(ages) < USUAL_S
    assert not world.events('alerts may be missing')


def test_who_hears_others_but_gets_nothing_reads_the_store() -> None:
    """A process that receives heartbeats but no changes reads the store.

    A balancer receives everything but alerts and changes; a server announces
    its departure. If the last answer of the store that others report counts as
    proof of its own state, the balancer never reads the store, and sends new
    flows to a server that left long ago.
    """
    world = packet_world.small_world(balancers=6, servers=6)
    process = next(
        item
        for item in world.balancers()
        if not item.node.reads_store(world.now)
    )
    process.node._exchange.on_changes = lambda *_: None
    process.node._exchange.on_alerts = lambda *_: None
    server = next(iter(world.servers.values()))
    server.draining = True
    world.store.put(server)
    world.run(4.5)
    known = process.node.knowledge.targets[server.identifier]
    assert known.draining


def test_who_cannot_catch_up_at_all_says_so() -> None:
    """A process that can neither catch up nor read logs that, and its end.

    A balancer receives heartbeats but no changes, and the store rejects its
    calls; after six seconds both end.
    """
    world = packet_world.small_world(balancers=6, servers=6)
    process = world.balancers()[0]
    exchange = process.node._exchange
    handlers = exchange.on_changes, exchange.on_alerts
    exchange.on_changes = exchange.on_alerts = lambda *_: None
    world.store.refused.add(process.host)
    world.store._wake()
    server = next(iter(world.servers.values()))
    server.draining = True
    world.store.put(server)
    world.run(6.0)
    old = [line for line in world.lines if line[2] == 'alerts may be missing']
    assert [line[1] for line in old] == [process.host]
    assert process.node.alerts_age_s > freshness.STALE_S
    exchange.on_changes, exchange.on_alerts = handlers
    world.store.refused.clear()
    world.run(2.0)
    assert world.events('alerts current')


def test_words_that_waited_during_a_pause_prove_nothing_new() -> None:
    """Heartbeats that queued during a pause give no proof of a later time.

    A balancer freezes; others report that they have all alerts; a server
    announces its departure; the balancer resumes and reads the queue. If the
    reported age counts from the time of reading, the proof is newer than an
    alert that the process lacks, in the first half second after the pause.
    """
    world = packet_world.small_world(balancers=6, servers=6)
    process = world.balancers()[-1]
    process.paused = True
    world.run(0.6)
    server = next(iter(world.servers.values()))
    server.draining = True
    published = world.now
    world.store.put(server)
    process.node._exchange.on_changes = lambda *_: None
    process.node._exchange.on_alerts = lambda *_: None
    world.run(1.5)
    process.wake()
    assert world.now - process.node.alerts_age_s <= published


def test_who_has_read_all_proves_nothing_of_what_is_gone() -> None:
    """A full read gives other processes no proof of earlier removals.

    A server's entry is removed; a balancer starts, reads the whole store,
    which doesn't show that, and reports that it has all alerts, the newest of
    them an older one. A process that has that one adopts the proof. If all
    readers have restarted, its proof is newer than a removal that it lacks.
    """
    world = packet_world.small_world(balancers=4, servers=6)
    lagging = world.balancers()[-1].node
    lagging._exchange.on_changes = lambda *_: None
    lagging._exchange.on_alerts = lambda *_: None
    lagging.read_if_due = lambda now: None
    others = [
        process.host
        for process in world.processes.values()
        if process.node is not lagging
    ]
    for host in others:
        world.kill(host)
    gone = next(iter(world.servers.values()))
    world.store.remove(gone.identifier)
    removed_at = world.now
    for host in others:
        world.start(host)
    world.run(2.5)
    assert gone.identifier in lagging.knowledge.targets
    assert world.now - lagging.alerts_age_s <= removed_at
