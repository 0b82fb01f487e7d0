"""Test how the state of the store spreads and never goes back."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bench import packet_world
from teaseldock.packets import control
from teaseldock.packets import knowledge
from teaseldock.packets import records


def target(name: str, revision: int, **fields: object) -> records.Target:
    """Return an entry."""
    entry = records.Target(
        name, 'dispatch', '10.0.0.9', 8080, 'dc', 2, False, 0, revision
    )
    return entry._replace(**fields)


def config(version: int, revision: int) -> records.Configuration:
    """Return a configuration without routes."""
    return records.Configuration(version, revision, 15000, [], ['dispatch'])


def test_an_old_entry_does_not_come_back() -> None:
    """An old entry from a lagging peer does not undo a drain.

    If entries are applied without a comparison of their revisions, a target
    that announced its departure gets new flows again.
    """
    known = knowledge.Knowledge()
    known.apply(records.Changes(0, 5, [target('a', 5)], [], None), 0.0)
    drained = target('a', 8, draining=True)
    known.apply(records.Changes(5, 8, [drained], [], None), 1.0)
    known.apply(records.Changes(0, 5, [target('a', 5)], [], None), 2.0)
    assert known.targets['a'].draining


def test_a_removed_entry_does_not_come_back() -> None:
    """A known removal outlasts a late message with the entry."""
    known = knowledge.Knowledge()
    known.apply(records.Changes(0, 5, [target('a', 5)], [], None), 0.0)
    gone = records.Removal('a', 7)
    known.apply(records.Changes(5, 7, [], [gone], None), 1.0)
    known.apply(records.Changes(4, 6, [target('a', 5)], [], None), 2.0)
    assert 'a' not in known.targets
    assert [
        item.target.identifier for item in known.recently_removed(2.0)
    ] == ['a']


def test_a_version_does_not_go_back() -> None:
    """A late message with an older version does not restore dropped routes.

    Version 9 is in force; a stale read or a peer brings version 7. If the
    later message wins, not the higher version, requests use a route that is
    gone.
    """
    known = knowledge.Knowledge()
    known.apply(records.Changes(0, 5, [], [], config(9, 5)), 0.0)
    known.apply(records.Changes(0, 6, [], [], config(7, 6)), 1.0)
    assert known.version == 9


def test_a_gap_is_not_jumped() -> None:
    """Changes are not applied while earlier ones are missing."""
    known = knowledge.Knowledge()
    known.apply(records.Changes(0, 5, [target('a', 5)], [], None), 0.0)
    gap = records.Changes(8, 9, [target('b', 9)], [], None)
    assert not known.apply(gap, 1.0)
    assert known.revision == 5


def test_what_a_read_in_pages_missed_reaches_peers() -> None:
    """A target that registers during a paged read becomes known to peers.

    The first page is read at revision 5; target a registers at 6, b at 7; the
    second page shows b. The reader forwards both pages, then its watch brings
    a. If the pages were forwarded as complete up to 7, the peer would never be
    sent a, and a restarted balancer would reset open flows of a live target.
    """
    reader, peer = knowledge.Knowledge(), knowledge.Knowledge()
    reader.apply(records.Changes(0, 5, [target('b', 7)], [], None), 0.0)
    peer.apply(reader.changes_since(0), 0.1)
    assert 'b' in peer.targets
    watched = [target('a', 6), target('b', 7)]
    reader.apply(records.Changes(5, 7, watched, [], None), 0.2)
    assert peer.content_revision < reader.content_revision
    peer.apply(reader.changes_since(peer.content_revision), 0.3)
    assert sorted(peer.targets) == ['a', 'b']


def test_a_peer_without_history_gets_everything() -> None:
    """A peer with an older state learns of removals from a younger process.

    A process starts after a removal and sends its changes to a peer that still
    has the entry. The changes hold no removal; unless they are marked as the
    full state, the removed target stays at the peer.
    """
    young = knowledge.Knowledge()
    young.apply(records.Changes(0, 9, [target('b', 8)], [], None), 0.0)
    old = knowledge.Knowledge()
    old.apply(records.Changes(0, 5, [target('a', 5)], [], None), 0.0)
    old.apply(young.changes_since(old.content_revision), 1.0)
    assert set(old.targets) == {'b'}


def test_a_newcomer_lacks_nothing_after_one_answer() -> None:
    """A started process does not request the same changes repeatedly.

    A target is removed at revision 20; a process starts, and reads the store
    at revision 25, without that target. Its newest entry is of 18. If it
    counts the removal as missing, which changes nothing for it, it repeats the
    request five times a second: 1 KB/s for each process when nothing happens.
    """
    old, young = knowledge.Knowledge(), knowledge.Knowledge()
    first = [target('a', 5), target('b', 18)]
    old.apply(records.Changes(0, 18, first, [], None), 0.0)
    gone = records.Removal('a', 20)
    old.apply(records.Changes(18, 20, [], [gone], None), 1.0)
    young.apply(records.Changes(0, 25, [target('b', 18)], [], None), 2.0)
    assert young.content_revision < old.content_revision
    young.apply(old.changes_since(young.content_revision), 2.1)
    assert young.content_revision >= old.content_revision


def test_a_warm_up_is_told_once() -> None:
    """Entries that only report warm-up progress are not forwarded.

    A release replaces 64 servers; each new one repeatedly writes how much of
    its warm-up is left. When every process requested all of these entries,
    departures arrived late: servers got new flows 6.1 s after they had
    announced theirs, which neither the balancer nor the agent had received.
    """
    known = knowledge.Knowledge()
    cold = target('a', 5, warmup_ms=4000)
    known.apply(records.Changes(0, 5, [cold], [], None), 0.0)
    for revision, left_ms in ((6, 3000), (7, 1000), (8, 0)):
        later = target('a', revision, warmup_ms=left_ms)
        news = records.Changes(revision - 1, revision, [later], [], None)
        assert not known.apply(news, 1.0)
        assert known.content_revision == 5
    leaving = target('a', 9, draining=True)
    assert known.apply(records.Changes(8, 9, [leaving], [], None), 2.0)
    assert known.targets['a'].draining
    again = target('a', 11, warmup_ms=4000)
    assert known.apply(records.Changes(9, 11, [again], [], None), 3.0)
    gone = records.Changes(11, 12, [], [records.Removal('a', 12)], None)
    assert known.apply(gone, 4.0)
    assert 'a' not in known.targets


class Spreading(stateful.RuleBasedStateMachine):
    """One store, three processes, messages in any order."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self.revision = 0
        self.version = 0
        self.entries: dict[str, records.Target] = {}
        self.removals: list[records.Removal] = []
        self.config: records.Configuration | None = None
        self.processes = [knowledge.Knowledge() for _ in range(3)]
        self.versions = [0, 0, 0]
        self.late: list[records.Changes] = []
        self.now = 0.0

    names = strategies.sampled_from('abcd')
    numbers = strategies.integers(0, 2)

    def _store_changes(self, since: int) -> records.Changes:
        return records.Changes(
            since,
            self.revision,
            [e for e in self.entries.values() if e.revision > since],
            [r for r in self.removals if r.revision > since] if since else [],
            self.config,
        )

    @stateful.rule(name=names, draining=strategies.booleans())
    def write(self, name: str, draining: bool) -> None:
        """Write an entry."""
        self.revision += 1
        self.entries[name] = target(name, self.revision, draining=draining)

    @stateful.rule(name=names)
    def remove(self, name: str) -> None:
        """Remove an entry."""
        if self.entries.pop(name, None):
            self.revision += 1
            self.removals.append(records.Removal(name, self.revision))

    @stateful.rule(ports=strategies.sets(strategies.integers(1, 4)))
    def configure(self, ports: set[int]) -> None:
        """Publish a version with some routes."""
        self.revision += 1
        self.version += 3
        self.config = config(self.version, self.revision)._replace(
            routes=[
                packet_world.route('dispatch', port=port, aim_ms=self.version)
                for port in ports
            ]
        )

    @stateful.rule(number=numbers, whole=strategies.booleans())
    def read(self, number: int, whole: bool) -> None:
        """Let a process read or watch the store."""
        known = self.processes[number]
        since = 0 if whole else known.revision
        self._apply(number, self._store_changes(since))

    @stateful.rule(source=numbers, number=numbers)
    def spread(self, source: int, number: int) -> None:
        """Let one process send another what it lacks."""
        since = self.processes[number].content_revision
        changes = self.processes[source].changes_since(since)
        self.late.append(changes)
        assembler = control.Assembler()
        for datagram in control.pack_changes(changes):
            body = control.unpack(datagram).body
            received = assembler.add(body)
        assert received == changes
        told = self.processes[source].content_revision
        self._apply(number, changes)
        assert self.processes[number].content_revision >= told

    @stateful.rule(number=numbers, pick=strategies.integers(0, 50))
    def deliver_late(self, number: int, pick: int) -> None:
        """Deliver an old message again."""
        if self.late:
            self._apply(number, self.late[pick % len(self.late)])

    @stateful.rule(number=numbers)
    def restart(self, number: int) -> None:
        """Lose what a process knew."""
        self.processes[number] = knowledge.Knowledge()
        self.versions[number] = 0

    def _apply(self, number: int, changes: records.Changes) -> None:
        self.now += 0.01
        self.processes[number].apply(changes, self.now)

    @stateful.invariant()
    def versions_rise(self) -> None:
        """No process goes back to an older version."""
        for number, known in enumerate(self.processes):
            assert known.version >= self.versions[number]
            self.versions[number] = known.version

    @stateful.invariant()
    def complete_means_equal(self) -> None:
        """Who knows the store's revision holds what the store holds."""
        for known in self.processes:
            if known.revision == self.revision and self.revision:
                assert known.targets == self.entries
                if self.config:
                    assert known.version == self.config.version
                    assert sorted(known.configuration.routes) == sorted(
                        self.config.routes
                    )


TestSpreading = Spreading.TestCase
TestSpreading.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


def test_a_removal_is_passed_on_by_who_never_knew_the_entry() -> None:
    """A process that never had an entry forwards its removal.

    a registers at 6 and is removed at 8. One process receives 6, another goes
    from 5 to 8 at once; the first requests what it lacks from the second. If
    the second stores nothing of the removal, a balancer whose state is
    complete sends new flows to an address whose server is gone.
    """
    lagging, jumped = knowledge.Knowledge(), knowledge.Knowledge()
    for known in (lagging, jumped):
        known.apply(records.Changes(0, 5, [], [], config(1, 1)), 0.0)
    lagging.apply(records.Changes(5, 6, [target('a', 6)], [], None), 1.0)
    gone = records.Removal('a', 8)
    jumped.apply(records.Changes(5, 8, [], [gone], None), 1.0)
    alerts = jumped.alerts_after(lagging.alerts_upto)
    assert [item.subject for item in alerts.items] == ['a']
    lagging.apply(jumped.changes_since(lagging.content_revision), 2.0)
    assert 'a' not in lagging.targets


def test_an_entry_removed_and_written_again_in_one_answer_stays() -> None:
    """Guards against a server that serves and never gets flows again."""
    known = knowledge.Knowledge()
    first = target('a', 5, warmup_ms=2000)
    known.apply(records.Changes(0, 5, [first], [], config(1, 1)), 0.0)
    again = target('a', 9, warmup_ms=1000)
    gone = records.Removal('a', 7)
    known.apply(records.Changes(5, 9, [again], [gone], None), 1.0)
    assert known.targets == {'a': again}
