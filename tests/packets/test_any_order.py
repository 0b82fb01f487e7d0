"""Test that any order of messages leads all processes to the same state."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from teaseldock.packets import knowledge
from teaseldock.packets import records

#: Milliseconds of warm-up that a server has left at first; each entry has
#: less, so that one that follows another may count as redundant.
WARMUP_MS = 10_000
READERS = 2
PROCESSES = 4


def _configuration() -> records.Configuration:
    return records.Configuration(1, 1, 15000, [], ['dispatch'])


class _History:
    """The store's content at each revision."""

    def __init__(self) -> None:
        """Create a history that holds only a configuration."""
        self.events: list[records.Target | records.Removal] = []
        self.held: list[dict[str, records.Target]] = [{}, {}]

    @property
    def revision(self) -> int:
        """Return the newest revision."""
        return len(self.held) - 1

    @property
    def newest(self) -> dict[str, records.Target]:
        """Return the current entries."""
        return self.held[-1]

    def write(self, name: str, *, leaving: bool) -> None:
        """Write an entry."""
        revision = self.revision + 1
        entry = records.Target(
            name,
            'dispatch',
            '10.0.0.9',
            8080,
            'dc',
            2,
            leaving,
            WARMUP_MS - revision,
            revision,
        )
        self.events.append(entry)
        self.held.append({**self.newest, name: entry})

    def remove(self, name: str) -> None:
        """Remove an entry."""
        left = {n: item for n, item in self.newest.items() if n != name}
        self.events.append(records.Removal(name, self.revision + 1))
        self.held.append(left)

    def since(self, revision: int) -> records.Changes:
        """Return the answer to a watch."""
        news = [item for item in self.events if item.revision > revision]
        return records.Changes(
            revision,
            self.revision,
            [item for item in news if isinstance(item, records.Target)],
            [item for item in news if isinstance(item, records.Removal)],
            None,
            alerts_since=revision,
        )

    def whole(
        self, entries: dict[str, records.Target], upto: int
    ) -> records.Changes:
        """Return the answer to a full read."""
        return records.Changes(
            0, upto, list(entries.values()), [], _configuration()
        )


class Fleet(stateful.RuleBasedStateMachine):
    """Two readers of the store and two others; any message may come late."""

    names = strategies.sampled_from('aab')
    numbers = strategies.integers(0, PROCESSES - 1)
    readers = strategies.integers(0, READERS - 1)

    def __init__(self) -> None:
        """Start with processes that know the configuration."""
        super().__init__()
        self.history = _History()
        self.processes = [knowledge.Knowledge() for _ in range(PROCESSES)]
        for known in self.processes:
            known.apply(self.history.whole({}, 1), 0.0)
        self.late: list[tuple[int, records.Changes | records.Alerts]] = []
        self.pages: dict[int, tuple[int, dict[str, records.Target]]] = {}

    @stateful.rule(name=names, leaving=strategies.booleans())
    def write(self, name: str, leaving: bool) -> None:
        """Let a server write its entry."""
        self.history.write(name, leaving=leaving)

    @stateful.rule(name=names)
    def remove(self, name: str) -> None:
        """Let an entry go."""
        if name in self.history.newest:
            self.history.remove(name)

    @stateful.rule(number=readers, at_once=strategies.booleans())
    def watch(self, number: int, at_once: bool) -> None:
        """Let a reader hear of what came since."""
        since = self.processes[number].revision
        if since:
            self._send(number, self.history.since(since), at_once)

    @stateful.rule(number=readers)
    def read_first_page(self, number: int) -> None:
        """Let a reader begin to read all entries."""
        newest = self.history.newest
        page = {name: newest[name] for name in newest.keys() & {'a'}}
        self.pages[number] = self.history.revision, page

    @stateful.rule(number=readers, at_once=strategies.booleans())
    def read_last_page(self, number: int, at_once: bool) -> None:
        """Let a reader end, and know what the first page covers."""
        if number not in self.pages:
            return
        upto, page = self.pages.pop(number)
        newest = self.history.newest
        page.update({name: newest[name] for name in newest.keys() - {'a'}})
        self._send(number, self.history.whole(page, upto), at_once)

    @stateful.rule(
        number=numbers, teller=numbers, at_once=strategies.booleans()
    )
    def ask(self, number: int, teller: int, at_once: bool) -> None:
        """Let one process ask another for changes."""
        since = self.processes[number].wanted_since
        changes = self.processes[teller].changes_since(since)
        self._send(number, changes, at_once)

    @stateful.rule(
        number=numbers, teller=numbers, at_once=strategies.booleans()
    )
    def ask_for_alerts(self, number: int, teller: int, at_once: bool) -> None:
        """Let one process ask another for alerts."""
        upto = self.processes[number].alerts_upto
        alerts = self.processes[teller].alerts_after(upto)
        if alerts is not None:
            self._send(number, alerts, at_once)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(pick=strategies.integers(0, 7), again=strategies.booleans())
    def deliver(self, pick: int, again: bool) -> None:
        """Deliver a message that is late, perhaps not for the last time."""
        index = pick % len(self.late)
        number, message = self.late[index]
        if not again:
            del self.late[index]
        self._take(number, message)

    @stateful.rule(number=numbers)
    def restart(self, number: int) -> None:
        """Lose what a process knew, and what it was reading."""
        self.processes[number] = knowledge.Knowledge()
        self.pages.pop(number, None)

    def _send(
        self,
        number: int,
        message: records.Changes | records.Alerts,
        at_once: bool,
    ) -> None:
        if at_once:
            self._take(number, message)
        else:
            self.late.append((number, message))

    def _take(
        self, number: int, message: records.Changes | records.Alerts
    ) -> None:
        known = self.processes[number]
        now = float(self.history.revision)
        if isinstance(message, records.Alerts):
            known.apply_alerts(message, now)
        else:
            known.apply(message, now)

    @stateful.invariant()
    def proof_is_true(self) -> None:
        """Nobody uses a server that had left by what it has proof of."""
        for known in self.processes:
            held = self.history.held[known.alerts_upto]
            for entry in known.placeable('dispatch'):
                if entry.revision <= known.alerts_upto:
                    assert entry.identifier in held
                    assert not held[entry.identifier].draining

    def teardown(self) -> None:
        """Check that all end alike once they have been told all."""
        first, *others = self.processes
        if not first.revision:
            first.apply(self.history.whole({}, 1), 0.0)
        first.apply(self.history.since(first.revision), 1e6)
        truth = {n: t.draining for n, t in self.history.newest.items()}
        for known in (first, *others):
            known.apply(first.changes_since(known.wanted_since), 1e6)
            got = {n: t.draining for n, t in known.targets.items()}
            assert got == truth


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40
)


def _left_twice(fleet: Fleet, *, by_alerts: bool) -> None:
    for leaving, asker in ((True, 1), (False, 2), (True, 1)):
        fleet.write('a', leaving)
        fleet.watch(0, True)
        fleet.ask(asker, 0, True)
    if by_alerts:
        fleet.ask_for_alerts(2, 1, True)
    else:
        fleet.ask(2, 1, True)


def test_who_missed_that_a_server_was_ready_tells_that_it_left_again() -> None:
    """Guards against flows to a leaving server, with proof of all alerts."""
    fleet = Fleet()
    _left_twice(fleet, by_alerts=False)
    fleet.proof_is_true()
    assert not fleet.processes[2].placeable('dispatch')


def test_alerts_tell_that_a_server_left_again() -> None:
    """Guards against complete alerts without the second departure."""
    fleet = Fleet()
    _left_twice(fleet, by_alerts=True)
    fleet.proof_is_true()
    assert not fleet.processes[2].placeable('dispatch')


def test_who_missed_that_a_server_left_tells_that_it_is_ready() -> None:
    """Guards against a server that serves and never gets flows again."""
    fleet = Fleet()
    fleet.write('a', False)
    fleet.watch(0, True)
    fleet.ask(1, 0, True)
    fleet.write('a', True)
    fleet.watch(0, True)
    fleet.ask(2, 0, True)
    fleet.write('a', False)
    fleet.watch(0, True)
    fleet.ask(1, 0, True)
    fleet.ask(2, 1, True)
    assert fleet.processes[2].placeable('dispatch')
    fleet.teardown()


def test_an_entry_written_again_during_a_read_replaces_the_former() -> None:
    """Guards against use of an entry that the read shows to be gone."""
    fleet = Fleet()
    fleet.write('b', False)
    fleet.watch(0, True)
    fleet.remove('b')
    fleet.read_first_page(0)
    fleet.write('b', False)
    fleet.read_last_page(0, True)
    fleet.proof_is_true()
    fleet.teardown()


def test_a_server_that_left_and_went_in_one_answer_has_not_lapsed() -> None:
    """Guards against flows to a server that left during a store outage."""
    fleet = Fleet()
    fleet.write('a', False)
    fleet.watch(0, True)
    fleet.write('a', True)
    fleet.remove('a')
    fleet.watch(0, True)
    assert not fleet.processes[0].recently_expired('dispatch', 4.0)
