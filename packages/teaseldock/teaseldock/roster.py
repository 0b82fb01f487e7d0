"""Keep what is believed of the processes of a region, and its rumours."""

from __future__ import annotations

import math
import typing

from teaseldock import messages

#: Seconds a suspect has for denying.
SUSPICION_TIMEOUT_S = 1.5
#: Rumours in one message, which bounds its size.
MAX_RUMOURS_PER_MESSAGE = 6
#: Unusual members told to one that joins.
MAX_JOIN_RUMOURS = 40
#: Each rumour is sent this often times the logarithm of the members.
RUMOUR_RETRANSMIT_FACTOR = 3
#: Seconds for which a dead member is remembered, beyond any lagging list.
DEAD_RETENTION_S = 120.0

ROLE_AGENT = 'agent'
ROLE_BALANCER = 'balancer'


class ListedInstance(typing.NamedTuple):
    """An entry of the platform's lagging list, or of the register.

    :ivar leaving_since: milliseconds since 1970, or 0 if not leaving.
    """

    name: str
    role: str
    data_centre: str
    host: str
    port: int
    leaving_since: int


class _Entry:
    """Hold one member, when its state changed, and when it last spoke."""

    __slots__ = ('member', 'changed_at', 'heard_at')

    def __init__(self, member: messages.Member, changed_at: float) -> None:
        self.member = member
        self.changed_at = changed_at
        self.heard_at = -math.inf


def _precedence(member: messages.Member) -> tuple[int, int, int, bool]:
    return (
        member.incarnation,
        member.counter,
        member.health,
        member.leaving,
    )


class Roster:
    """Hold each member's newest state, by whoever brought it."""

    def __init__(self, own: messages.Member) -> None:
        """Start knowing only oneself.

        :param own: this process as others shall know it.
        """
        self._own = own
        self._own_incarnations = {own.incarnation}
        self._entries: dict[str, _Entry] = {}
        self._rumours: dict[str, int] = {}
        self._suspects: set[str] = set()
        self._disputed: set[str] = set()
        self._version = 0
        self._changes: list[messages.Member] = []

    def __iter__(self) -> typing.Iterator[str]:
        yield from self._entries

    @property
    def own(self) -> messages.Member:
        """Return this process as others shall know it."""
        return self._own

    @property
    def own_incarnations(self) -> set[int]:
        """Return every incarnation this process has used since its start."""
        return self._own_incarnations

    @property
    def version(self) -> int:
        """Return a number that rises when routing could be affected."""
        return self._version

    def members(self) -> list[messages.Member]:
        """Return all members known but oneself."""
        return [entry.member for entry in self._entries.values()]

    def get(self, name: str) -> messages.Member | None:
        """Return a member by name, oneself included."""
        if name == self._own.name:
            return self._own
        entry = self._entries.get(name)
        return entry.member if entry else None

    @property
    def dead(self) -> set[str]:
        """Return the names of members believed dead."""
        return {
            name
            for name, entry in self._entries.items()
            if entry.member.health == messages.Health.DEAD
        }

    @property
    def leaving(self) -> set[str]:
        """Return the names of members that are leaving, oneself included."""
        names = {
            name
            for name, entry in self._entries.items()
            if entry.member.leaving
        }
        if self._own.leaving:
            names.add(self._own.name)
        return names

    def alive(self) -> list[messages.Member]:
        """Return the members that nobody suspects."""
        return [
            entry.member
            for entry in self._entries.values()
            if entry.member.health == messages.Health.ALIVE
        ]

    def drain_changes(self) -> list[messages.Member]:
        """Return members whose state changed since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def leave(self) -> None:
        """Tell the others that this process is leaving."""
        if self._own.leaving:
            return
        self._own = self._own._replace(
            leaving=True, counter=self._own.counter + 1
        )
        self._version += 1
        self._queue_rumour(self._own.name)

    def seed(
        self, listed: typing.Iterable[ListedInstance], now: float
    ) -> None:
        """Take instances from the register or the platform's list.

        The list lags and may name the dead or miss the living. It can add
        names and mark them leaving; it can neither revive nor remove anyone
        whom the probes have judged.
        """
        for item in listed:
            if item.name == self._own.name:
                if item.leaving_since > self._own.incarnation:
                    self.leave()
                continue
            entry = self._entries.get(item.name)
            if entry is None:
                self._entries[item.name] = _Entry(_listed_member(item), now)
                self._version += 1
                continue
            if entry.member.incarnation == 0:
                entry.member = entry.member._replace(
                    host=item.host, port=item.port
                )
            # A process that started after the entry was made is a new one
            # under an old name; the lagging entry doesn't speak of it.
            if item.leaving_since > entry.member.incarnation:
                self._update_entry(
                    entry, entry.member._replace(leaving=True), now
                )

    def prune_dead(self, names: typing.Container[str], now: float) -> None:
        """Forget dead members that no list names any more."""
        for name, entry in list(self._entries.items()):
            if name in names or entry.member.health != messages.Health.DEAD:
                continue
            if now - entry.changed_at > DEAD_RETENTION_S:
                del self._entries[name]
                self._rumours.pop(name, None)

    def suspect(self, name: str, now: float) -> None:
        """Note that a member did not answer."""
        entry = self._entries.get(name)
        if entry is None or entry.member.health != messages.Health.ALIVE:
            return
        self._update_entry(
            entry, entry.member._replace(health=messages.Health.SUSPECT), now
        )

    def restart_suspicion_timers(self, now: float) -> None:
        """Give all suspects their whole time again."""
        for name in self._suspects:
            if name in self._entries:
                self._entries[name].changed_at = now

    def expire_suspicions(self, now: float) -> None:
        """Take suspects for dead whose time is up."""
        for name in sorted(self._suspects):
            entry = self._entries.get(name)
            if entry is None or entry.member.health != messages.Health.SUSPECT:
                self._suspects.discard(name)
                continue
            if now - entry.changed_at < SUSPICION_TIMEOUT_S:
                continue
            self._update_entry(
                entry, entry.member._replace(health=messages.Health.DEAD), now
            )

    def _update_entry(
        self, entry: _Entry, member: messages.Member, now: float
    ) -> None:
        before = entry.member
        entry.member = member
        entry.changed_at = now
        if member.health == messages.Health.SUSPECT:
            self._suspects.add(member.name)
        if _precedence(before) == _precedence(member):
            return
        if self._needs_spreading(before, member):
            self._queue_rumour(member.name)
        if (before.health, before.leaving, before.incarnation) != (
            member.health,
            member.leaving,
            member.incarnation,
        ):
            self._version += 1
            self._changes.append(member)

    def _needs_spreading(
        self, before: messages.Member | None, member: messages.Member
    ) -> bool:
        """Tell whether others may not know yet.

        A newcomer hears of each member for the first time. Spreading all of
        that in a region of a thousand would fill its heartbeats for half an
        hour, and real news would wait behind it.
        """
        if member.health != messages.Health.ALIVE or member.leaving:
            return True
        if before is not None and before.incarnation:
            return True
        return member.incarnation > self._own.incarnation

    def mark_heard(self, name: str, now: float) -> None:
        """Note that a member itself has just sent something."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.heard_at = now

    def drain_disputed(self) -> set[str]:
        """Return members that shall hear at once that others bury them."""
        accused = self._disputed
        self._disputed = set()
        return accused

    def update_incarnation(
        self, name: str, incarnation: int, now: float
    ) -> None:
        """Take a member's incarnation from a message that isn't a heartbeat.

        Peers of one service hear each other's loads long before a heartbeat
        comes their way.
        """
        entry = self._entries.get(name)
        if entry is None or entry.member.incarnation >= incarnation:
            return
        reborn = entry.member._replace(
            incarnation=incarnation,
            counter=0,
            health=messages.Health.ALIVE,
            leaving=False,
        )
        self._update_entry(entry, reborn, now)

    def _queue_rumour(self, name: str) -> None:
        count = max(2, len(self._entries) + 1)
        self._rumours[name] = math.ceil(
            RUMOUR_RETRANSMIT_FACTOR * math.log2(count)
        )

    def pick_rumours(self, receiver: str) -> list[messages.Member]:
        """Return the newest news for a member, and count them as sent."""
        picked = []
        first = sorted(
            self._rumours, key=self._rumours.__getitem__, reverse=True
        )
        # The accused is always told, so that it can deny in time.
        accused = self._entries.get(receiver)
        if accused and accused.member.health != messages.Health.ALIVE:
            picked.append(accused.member)
        for name in first[: MAX_RUMOURS_PER_MESSAGE - len(picked)]:
            member = self.get(name)
            self._rumours[name] -= 1
            if self._rumours[name] <= 0:
                del self._rumours[name]
            if member is not None and name != receiver:
                picked.append(member)
        return picked

    def leaving_or_dead(self) -> list[messages.Member]:
        """Return what a newcomer can't guess: who is leaving or dead."""
        found = [
            entry.member
            for entry in self._entries.values()
            if entry.member.leaving
            or entry.member.health == messages.Health.DEAD
        ]
        return found[:MAX_JOIN_RUMOURS]

    def merge_rumours(
        self, rumours: list[messages.Member], now: float
    ) -> None:
        """Take news of others, and deny what is untrue of oneself."""
        for member in rumours:
            if member.name == self._own.name:
                self._refute(member)
            else:
                self.merge_member(member, now)

    def merge_member(self, member: messages.Member, now: float) -> None:
        """Take a member's state if it is newer than what is held."""
        if member.name == self._own.name:
            return
        entry = self._entries.get(member.name)
        if entry is None:
            self._entries[member.name] = _Entry(member, now)
            if member.health == messages.Health.SUSPECT:
                self._suspects.add(member.name)
            self._version += 1
            if self._needs_spreading(None, member):
                self._queue_rumour(member.name)
            self._changes.append(member)
            return
        if self._is_disputed(entry, member, now):
            self._disputed.add(member.name)
            member = member._replace(health=messages.Health.SUSPECT)
        if _precedence(member) > _precedence(entry.member):
            self._update_entry(entry, member, now)

    def _is_disputed(
        self, entry: _Entry, member: messages.Member, now: float
    ) -> bool:
        """Tell whether a member may be alive that others hold for dead.

        Whoever comes back from a cut holds all for dead that were on the
        other side. Taken at their word, they would make living members drop
        each other, and with them the requests that they run for each other.
        """
        return (
            member.health == messages.Health.DEAD
            and member.incarnation == entry.member.incarnation
            and entry.member.health != messages.Health.DEAD
            and now - entry.heard_at < SUSPICION_TIMEOUT_S
        )

    def _refute(self, rumour: messages.Member) -> None:
        """Answer a rumour about oneself with a higher counter."""
        if rumour.incarnation > self._own.incarnation:
            # The clock went back over a restart; others would ignore this
            # process as its own past.
            self._own = self._own._replace(incarnation=rumour.incarnation + 1)
            self._own_incarnations.add(self._own.incarnation)
            self._queue_rumour(self._own.name)
            return
        if rumour.incarnation < self._own.incarnation:
            return
        if rumour.leaving:
            # Another process read it in the platform's list.
            self.leave()
        if (
            rumour.health == messages.Health.ALIVE
            or rumour.counter < self._own.counter
        ):
            return
        self._own = self._own._replace(counter=rumour.counter + 1)
        self._queue_rumour(self._own.name)


def _listed_member(item: ListedInstance) -> messages.Member:
    return new_member(
        item.name,
        role=item.role,
        data_centre=item.data_centre,
        host=item.host,
        port=item.port,
        leaving=item.leaving_since > 0,
    )


def new_member(
    name: str,
    *,
    role: str,
    data_centre: str,
    host: str,
    port: int,
    incarnation: int = 0,
    leaving: bool = False,
) -> messages.Member:
    """Return a member as it is before anything is heard of it.

    :param incarnation: 0 for members known from a list only.
    """
    return messages.Member(
        name,
        role,
        data_centre,
        host,
        port,
        incarnation,
        0,
        messages.Health.ALIVE,
        leaving,
    )
