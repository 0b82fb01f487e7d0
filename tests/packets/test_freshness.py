"""Test that a process knows how old its knowledge of alerts may be."""

from __future__ import annotations

from bench import packet_world
from teaseldock.packets import control
from teaseldock.packets import freshness

#: Age that is usual: a watch of 1.5 s, and on the way two rounds between
#: balancers and one to agents.
USUAL_S = 1.5 + 2 * 0.4 + 0.6


def heartbeat(alerted: int, age_ms: int) -> control.Heartbeat:
    """Return a word of another process."""
    first = control.Heartbeat(True, 1, False, 9, 0, False, None, b'')
    return first._replace(alerted=alerted, alerts_age_ms=age_ms)


def test_who_lacks_an_alert_takes_no_proof_from_who_knows_it() -> None:
    """An age counts only where all alerts of its teller are known."""
    fresh = freshness.Freshness(100.0)
    fresh.merge_claim(8, 0, 110.0, known=7)
    assert fresh.age_s(110.0) == 10.0
    fresh.merge_claim(7, 200, 110.0, known=7)
    assert 0.2 <= fresh.age_s(110.0) < 0.5


def test_who_catches_up_has_the_proof_that_it_was_told_before() -> None:
    """A process that has just been told takes itself for one that lags.

    Symptom: hundreds of calls at one moment when the store comes back.
    Events: a process hears that another knows all alerts, one of which it
    lacks, and gets that one some milliseconds later.
    Cause: proof was taken from heartbeats only, the next of which comes 0.4 to
    0.8 s later. Evidence: 183 of 195 processes read the store in that time.
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
    """Of many alerts that are missing, the newest are kept."""
    fresh = freshness.Freshness(100.0)
    for alerted in range(8, 8 + 2 * freshness.CLAIMS_KEPT):
        fresh.merge_claim(alerted, 0, 110.0, known=7)
    fresh.adopt_claims(8 + freshness.CLAIMS_KEPT - 1)
    assert fresh.age_s(110.0) == 10.0
    fresh.adopt_claims(8 + freshness.CLAIMS_KEPT)
    assert fresh.age_s(110.0) < 1.0


def test_who_is_notified_of_a_change_has_proof_with_it() -> None:
    """A reader tells of a change before it counts its own answer.

    Symptom and cause as above: those that were notified at once had the
    change, but the proof from before it.
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
    """A read of many pages is older than its last page.

    Symptom: a process counts alerts as known that came while it read, on a
    link where the whole takes more than a second.
    Cause: the proof was dated at the end; what is known is what the first page
    covers.
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
    """Two processes that only hear each other get older together."""
    one, two = freshness.Freshness(100.0), freshness.Freshness(100.0)
    one.record_answer(100.0)
    for step in range(1, 60):
        now = 100.0 + step * 0.1
        two.merge_claim(0, one.age_ms(now), now, known=5)
        one.merge_claim(0, two.age_ms(now), now, known=5)
        assert one.age_s(now) >= now - 100.0 - 1e-6
        assert two.age_s(now) >= now - 100.0 - 1e-3


def test_ages_stay_small_when_nothing_happens() -> None:
    """Every process among 40 has proof that is younger than a watch."""
    world = packet_world.small_world(balancers=12, servers=28, link_mbps=20.0)
    for _ in range(60):
        world.run(0.1)
        ages = [p.node.alerts_age_s for p in world.processes.values()]
        assert max(ages) < USUAL_S
    assert not world.events('alerts may be missing')


def test_who_hears_others_but_gets_nothing_reads_the_store() -> None:
    """A process that can't catch up waits for others for good.

    Symptom: new flows at a server that left long ago, through one balancer
    that hears the others all the time.
    Events: everything that is sent to a balancer arrives, but for alerts and
    changes; a server says that it leaves.
    Cause: what others told of the store's last answer was taken for proof of
    what is known here, so that this balancer never read the store itself.
    """
    world = packet_world.small_world(balancers=6, servers=6)
    process = next(
        item
        for item in world.balancers()
        if not item.node.reads_store(world.now)
    )
    process.node._synchronizer.on_changes = lambda *_: None
    process.node._synchronizer.on_alerts = lambda *_: None
    server = next(iter(world.servers.values()))
    server.draining = True
    world.store.put(server)
    world.run(4.5)
    known = process.node.knowledge.targets[server.identifier]
    assert known.draining


def test_who_cannot_catch_up_at_all_says_so() -> None:
    """A process that can't be told and can't read writes a line, and one more.

    Events: a balancer hears others, but gets no changes and is turned away by
    the store; after six seconds all of that ends.
    """
    world = packet_world.small_world(balancers=6, servers=6)
    process = world.balancers()[0]
    exchange = process.node._synchronizer
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
    """A process that wakes up dates what it reads then as if just sent.

    Symptom: proof that is younger than an alert which the process lacks, in
    the first half second after it stood still.
    Events: a balancer freezes; others tell it that they know all; a server
    says that it leaves; the balancer wakes and reads what waited.
    Cause: the age that a word tells counts from when it is read.
    """
    world = packet_world.small_world(balancers=6, servers=6)
    process = world.balancers()[-1]
    process.paused = True
    world.run(0.6)
    server = next(iter(world.servers.values()))
    server.draining = True
    published = world.now
    world.store.put(server)
    process.node._synchronizer.on_changes = lambda *_: None
    process.node._synchronizer.on_alerts = lambda *_: None
    world.run(1.5)
    process.wake()
    assert world.now - process.node.alerts_age_s <= published


def test_who_has_read_all_proves_nothing_of_what_is_gone() -> None:
    """A process that has just started tells others that they know all.

    Symptom: proof that is younger than a removal which the process lacks, if
    those that read the store have all restarted.
    Events: a server's entry is removed; a balancer starts, reads the whole
    store, in which nothing tells of that, and says that it knows all alerts,
    the newest of them an older one.
    Cause: who knows that one takes over the proof.
    """
    world = packet_world.small_world(balancers=4, servers=6)
    lagging = world.balancers()[-1].node
    lagging._synchronizer.on_changes = lambda *_: None
    lagging._synchronizer.on_alerts = lambda *_: None
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
