"""Store the state of each process of a region, and rumours to spread."""

from __future__ import annotations

import math
import typing

from teaseldock import messages

#: Seconds in which a suspected member can refute the suspicion.
SUSPICION_TIMEOUT_S = 1.5
#: Maximum number of rumours per message; this bounds its size.
MAX_RUMOURS_PER_MESSAGE = 6
#: Maximum number of leaving or dead members reported to a joining member.
MAX_JOIN_RUMOURS = 40
#: Each rumour is sent this factor times the binary logarithm of the number of
#: members.
RUMOUR_RETRANSMIT_FACTOR = 3
#: Seconds for which a dead member is kept; longer than any list lags behind.
DEAD_RETENTION_S = 120.0

ROLE_AGENT = 'agent'
ROLE_BALANCER = 'balancer'


class ListedInstance(typing.NamedTuple):
    """An entry of the platform's list, which lags, or of the register.

    :ivar leaving_since: milliseconds since 1970, or 0 if not leaving.
    """

    name: str
    role: str
    data_centre: str
    host: str
    port: int
    leaving_since: int


class _Entry:
    """A member with the times of its last change and of its last message."""

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
    """Hold the newest state of each member, from any source."""

    def __init__(self, own: messages.Member) -> None:
        """Create a roster of this process only.

        :param own: entry of this process, as sent to other members.
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
        """Return the entry of this process."""
        return self._own

    @property
    def own_incarnations(self) -> set[int]:
        """Return every incarnation this process has used since its start."""
        return self._own_incarnations

    @property
    def version(self) -> int:
        """Return a number that rises with each change relevant to routing."""
        return self._version

    def members(self) -> list[messages.Member]:
        """Return all members except this process."""
        return [entry.member for entry in self._entries.values()]

    def get(self, name: str) -> messages.Member | None:
        """Return a member by name, which may be this process, or None."""
        if name == self._own.name:
            return self._own
        entry = self._entries.get(name)
        return entry.member if entry else None

    @property
    def dead(self) -> set[str]:
        """Return the names of dead members."""
        return {
            name
            for name, entry in self._entries.items()
            if entry.member.health == messages.Health.DEAD
        }

    @property
    def leaving(self) -> set[str]:
        """Return the names of leaving members, including this process."""
        names = {
            name
            for name, entry in self._entries.items()
            if entry.member.leaving
        }
        if self._own.leaving:
            names.add(self._own.name)
        return names

    def alive(self) -> list[messages.Member]:
        """Return the members that are neither suspected nor dead."""
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
        """Mark this process as leaving and queue a rumour of that."""
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
        """Add instances of the register or the platform's list.

        The list lags: it may contain dead members and lack living ones. It
        adds members and marks them as leaving, but it neither revives nor
        removes members whose state was determined by probes.
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
            # under the same name; the lagging entry does not apply to it.
            if item.leaving_since > entry.member.incarnation:
                self._update_entry(
                    entry, entry.member._replace(leaving=True), now
                )

    def prune_dead(self, names: typing.Container[str], now: float) -> None:
        """Remove dead members that are no longer in any list.

        :param names: all names in the lists.
        """
        for name, entry in list(self._entries.items()):
            if name in names or entry.member.health != messages.Health.DEAD:
                continue
            if now - entry.changed_at > DEAD_RETENTION_S:
                del self._entries[name]
                self._rumours.pop(name, None)

    def suspect(self, name: str, now: float) -> None:
        """Mark a member as suspected, because it did not answer."""
        entry = self._entries.get(name)
        if entry is None or entry.member.health != messages.Health.ALIVE:
            return
        self._update_entry(
            entry, entry.member._replace(health=messages.Health.SUSPECT), now
        )

    def restart_suspicion_timers(self, now: float) -> None:
        """Restart the time in which suspected members can refute."""
        for name in self._suspects:
            if name in self._entries:
                self._entries[name].changed_at = now

    def expire_suspicions(self, now: float) -> None:
        """Declare suspected members dead if they did not refute in time."""
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
        """Return whether other members may lack this state.

        A process that joins receives the state of each member for the first
        time. In a region of a thousand members, spreading all of it would
        fill the heartbeats for half an hour and delay actual changes.
        """
        if member.health != messages.Health.ALIVE or member.leaving:
            return True
        if before is not None and before.incarnation:
            return True
        return member.incarnation > self._own.incarnation

    def mark_heard(self, name: str, now: float) -> None:
        """Record that a message was received from the member itself."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.heard_at = now

    def drain_disputed(self) -> set[str]:
        """Return the disputed members added since the last call.

        They are reported dead but were heard from recently. They must be
        pinged at once, so that they can refute the report.
        """
        disputed = self._disputed
        self._disputed = set()
        return disputed

    def update_incarnation(
        self, name: str, incarnation: int, now: float
    ) -> None:
        """Update a member's incarnation from a message that is no heartbeat.

        Peers of one service receive each other's load reports long before
        the first heartbeat.
        """
        entry = self._entries.get(name)
        if entry is None or entry.member.incarnation >= incarnation:
            return
        restarted = entry.member._replace(
            incarnation=incarnation,
            counter=0,
            health=messages.Health.ALIVE,
            leaving=False,
        )
        self._update_entry(entry, restarted, now)

    def _queue_rumour(self, name: str) -> None:
        count = max(2, len(self._entries) + 1)
        self._rumours[name] = math.ceil(
            RUMOUR_RETRANSMIT_FACTOR * math.log2(count)
        )

    def pick_rumours(self, receiver: str) -> list[messages.Member]:
        """Return the newest rumours for a member and count them as sent."""
        picked = []
        newest = sorted(
            self._rumours, key=self._rumours.__getitem__, reverse=True
        )
        # A suspected or dead receiver always gets its own entry, so that it
        # can refute it in time.
        entry = self._entries.get(receiver)
        if entry and entry.member.health != messages.Health.ALIVE:
            picked.append(entry.member)
        for name in newest[: MAX_RUMOURS_PER_MESSAGE - len(picked)]:
            member = self.get(name)
            self._rumours[name] -= 1
            if self._rumours[name] <= 0:
                del self._rumours[name]
            if member is not None and name != receiver:
                picked.append(member)
        return picked

    def leaving_or_dead(self) -> list[messages.Member]:
        """Return the leaving and dead members, for a member that joins."""
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
        """Merge rumours about others; refute false ones about this process."""
        for member in rumours:
            if member.name == self._own.name:
                self._refute(member)
            else:
                self.merge_member(member, now)

    def merge_member(self, member: messages.Member, now: float) -> None:
        """Store a member's state if it is newer than the stored one."""
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
        """Return whether a member that is reported dead may be alive.

        After a partition heals, each side still reports the members of the
        other side as dead. If such reports were accepted, living members
        would drop each other, and with that the requests that they run for
        each other.
        """
        return (
            member.health == messages.Health.DEAD
            and member.incarnation == entry.member.incarnation
            and entry.member.health != messages.Health.DEAD
            and now - entry.heard_at < SUSPICION_TIMEOUT_S
        )

    def _refute(self, rumour: messages.Member) -> None:
        """Refute a rumour about this process by a higher counter."""
        if rumour.incarnation > self._own.incarnation:
            # The clock went back over a restart. Other members would ignore
            # this process as an earlier incarnation of itself.
            self._own = self._own._replace(incarnation=rumour.incarnation + 1)
            self._own_incarnations.add(self._own.incarnation)
            self._queue_rumour(self._own.name)
            return
        if rumour.incarnation < self._own.incarnation:
            return
        if rumour.leaving:
            # Another process has read this in the platform's list.
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
    """Return the initial entry of a member.

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
