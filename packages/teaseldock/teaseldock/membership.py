"""Tell which processes of a region are alive, leaving or dead.

The protocol is SWIM (Das, Gupta, Motivala, DSN 2002) with two ideas of
Lifeguard (Dadgar, Phillips, Currey, 2017): an observer that was itself paused
suspects nobody, and a suspect hears of the suspicion and can deny it.
"""

from __future__ import annotations

import math
import random
import typing

from teaseldock import messages

if typing.TYPE_CHECKING:
    from teaseldock import flow

#: Seconds between two probes by one member.
PROBE_INTERVAL_S = 0.5
#: Seconds without an answer until others are asked to probe.
PROBE_TIMEOUT_S = 0.2
#: Members asked to probe for another.
INDIRECT_PROBES = 2
#: Seconds a suspect has for denying.
SUSPICION_S = 1.5
#: A gap between ticks beyond this is a pause of this process.
PAUSE_S = 1.0
#: Rumours in one message, which bounds its size.
RUMOURS_PER_MESSAGE = 6
#: Unusual members told to one that joins.
JOIN_RUMOURS = 40
#: Each rumour is sent this often times the logarithm of the members.
RUMOUR_FACTOR = 3
#: Seconds for which a dead member is remembered, beyond any lagging list.
DEAD_KEPT_S = 120.0

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


class Heartbeat(typing.NamedTuple):
    """What the owner of the membership adds to each heartbeat."""

    generation: int
    checksum: int


class _Entry:
    """Hold one member and when its state was last changed."""

    __slots__ = ('member', 'changed_at')

    def __init__(self, member: messages.Member, changed_at: float) -> None:
        self.member = member
        self.changed_at = changed_at


def _precedence(member: messages.Member) -> tuple[int, int, int, bool]:
    return (
        member.incarnation,
        member.counter,
        member.health,
        member.leaving,
    )


class Membership:
    """Probe members in turn, spread rumours and keep what is believed."""

    def __init__(
        self, *, own: messages.Member, randomness: random.Random, now: float
    ) -> None:
        """Start knowing only oneself.

        :param own: this process as others shall know it.
        :param now: seconds on a clock that never goes back.
        """
        self._own = own
        self._random = randomness
        self._entries: dict[str, _Entry] = {}
        self._rumours: dict[str, int] = {}
        self._suspects: set[str] = set()
        self._round: list[str] = []
        self._sequence = 0
        self._probe: tuple[int, str, float] | None = None
        self._asked_others = False
        self._relayed: dict[int, tuple[int, messages.Member]] = {}
        self._next_probe = now
        self._last_tick = now
        # Knowing nobody is no proof of being alone: a newcomer that has not
        # read the list yet would serve rules its peers have replaced.
        self._fresh_after = now + 2 * PROBE_INTERVAL_S
        self._fresh = False
        self._version = 0
        self._pauses = 0
        self._own_incarnations = {own.incarnation}
        self._changes: list[messages.Member] = []

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

    @property
    def pauses(self) -> int:
        """Return how often this process found that it had been paused."""
        return self._pauses

    @property
    def fresh(self) -> bool:
        """Tell whether the view was refreshed since start or last pause."""
        return self._fresh

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
        self._spread(self._own.name)

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
                self._change(entry, entry.member._replace(leaving=True), now)

    def retain(self, names: typing.Container[str], now: float) -> None:
        """Forget dead members that no list names any more."""
        for name, entry in list(self._entries.items()):
            if name in names or entry.member.health != messages.Health.DEAD:
                continue
            if now - entry.changed_at > DEAD_KEPT_S:
                del self._entries[name]
                self._rumours.pop(name, None)

    def tick(self, now: float, heartbeat: Heartbeat) -> list[messages.ToPeer]:
        """Probe and time out; to be called several times a second."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > PAUSE_S:
            self._on_pause(now)
        if not self._fresh and now > self._fresh_after:
            # Nobody answered: alone after a cut, the old view is the best.
            self._fresh = True
        actions = self._expire_probe(now, heartbeat)
        self._expire_suspicions(now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_INTERVAL_S
            actions += self._begin_probe(now, heartbeat)
        return actions

    def on_message(
        self, message: typing.NamedTuple, now: float, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        """Handle Ping, Ack, PingRequest or Vouch."""
        self._hear_from(message.sender, now)
        match message:
            case messages.Ping():
                return self._on_ping(message, now, heartbeat)
            case messages.Ack():
                return self._on_ack(message, now)
            case messages.PingRequest():
                return self._on_request(message, heartbeat)
            case messages.Vouch():
                self._on_vouch(message, now)
        return []

    def _on_pause(self, now: float) -> None:
        # A paused process finds all answers missing at once. Without this
        # guard it would declare the whole region dead on waking, which shows
        # as a burst of suspicions from one member.
        self._pauses += 1
        self._fresh = False
        self._fresh_after = now + 2 * PROBE_INTERVAL_S
        self._probe = None
        self._next_probe = now
        for name in self._suspects:
            if name in self._entries:
                self._entries[name].changed_at = now

    def _begin_probe(
        self, now: float, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        subject = self._next_subject()
        if subject is None:
            return []
        self._sequence += 1
        self._probe = (self._sequence, subject.name, now)
        self._asked_others = False
        return [self._ping(self._sequence, subject, heartbeat)]

    def _ping(
        self, sequence: int, subject: messages.Member, heartbeat: Heartbeat
    ) -> messages.ToPeer:
        ping = messages.Ping(
            sequence,
            self._own,
            not self._fresh,
            heartbeat.generation,
            heartbeat.checksum,
            self._pick_rumours(subject.name),
        )
        return messages.ToPeer(subject.host, subject.port, ping)

    def greet(
        self, address: flow.Endpoint, heartbeat: Heartbeat
    ) -> messages.ToPeer:
        """Return a heartbeat to a process whose name is not known."""
        ping = messages.Ping(
            0,
            self._own,
            True,
            heartbeat.generation,
            heartbeat.checksum,
            [],
        )
        return messages.ToPeer(address.host, address.port, ping)

    def _next_subject(self) -> messages.Member | None:
        for _ in range(2):
            while self._round:
                entry = self._entries.get(self._round.pop())
                if entry is not None and self._worth_probing(entry):
                    return entry.member
            self._round = list(self._entries)
            self._random.shuffle(self._round)
        return None

    def _worth_probing(self, entry: _Entry) -> bool:
        if entry.member.health != messages.Health.DEAD:
            return True
        # A dead member is still probed now and then, so that two halves of a
        # region find each other again after a partition.
        return self._random.random() < 0.25

    def _expire_probe(
        self, now: float, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        if self._probe is None:
            return []
        sequence, name, sent_at = self._probe
        if now - sent_at >= PROBE_INTERVAL_S:
            self._probe = None
            self._suspect(name, now)
            return []
        if now - sent_at < PROBE_TIMEOUT_S or self._asked_others:
            return []
        self._asked_others = True
        request = messages.PingRequest(sequence, self._own, name)
        return [
            messages.ToPeer(helper.host, helper.port, request)
            for helper in self._pick_helpers(name)
        ]

    def push(
        self, heartbeat: Heartbeat, *, fanout: int
    ) -> list[messages.ToPeer]:
        """Return heartbeats to a few members, ahead of their turn."""
        able = [
            entry.member
            for entry in self._entries.values()
            if entry.member.health == messages.Health.ALIVE
        ]
        chosen = self._random.sample(able, min(fanout, len(able)))
        return [self._ping(0, member, heartbeat) for member in chosen]

    def _pick_helpers(self, subject: str) -> list[messages.Member]:
        able = [
            entry.member
            for name, entry in self._entries.items()
            if name != subject and entry.member.health == messages.Health.ALIVE
        ]
        return self._random.sample(able, min(INDIRECT_PROBES, len(able)))

    def _suspect(self, name: str, now: float) -> None:
        entry = self._entries.get(name)
        if entry is None or entry.member.health != messages.Health.ALIVE:
            return
        self._change(
            entry, entry.member._replace(health=messages.Health.SUSPECT), now
        )

    def _expire_suspicions(self, now: float) -> None:
        for name in sorted(self._suspects):
            entry = self._entries.get(name)
            if entry is None or entry.member.health != messages.Health.SUSPECT:
                self._suspects.discard(name)
                continue
            if now - entry.changed_at < SUSPICION_S:
                continue
            self._change(
                entry, entry.member._replace(health=messages.Health.DEAD), now
            )

    def _change(
        self, entry: _Entry, member: messages.Member, now: float
    ) -> None:
        before = entry.member
        entry.member = member
        entry.changed_at = now
        if member.health == messages.Health.SUSPECT:
            self._suspects.add(member.name)
        if _precedence(before) == _precedence(member):
            return
        if self._is_news(before, member):
            self._spread(member.name)
        if (before.health, before.leaving, before.incarnation) != (
            member.health,
            member.leaving,
            member.incarnation,
        ):
            self._version += 1
            self._changes.append(member)

    def _is_news(
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

    def heard_alive(self, name: str, incarnation: int, now: float) -> None:
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
        self._change(entry, reborn, now)

    def _spread(self, name: str) -> None:
        count = max(2, len(self._entries) + 1)
        self._rumours[name] = math.ceil(RUMOUR_FACTOR * math.log2(count))

    def _pick_rumours(self, receiver: str) -> list[messages.Member]:
        picked = []
        first = sorted(
            self._rumours, key=self._rumours.__getitem__, reverse=True
        )
        # The accused is always told, so that it can deny in time.
        accused = self._entries.get(receiver)
        if accused and accused.member.health != messages.Health.ALIVE:
            picked.append(accused.member)
        for name in first[: RUMOURS_PER_MESSAGE - len(picked)]:
            member = self.get(name)
            self._rumours[name] -= 1
            if self._rumours[name] <= 0:
                del self._rumours[name]
            if member is not None and name != receiver:
                picked.append(member)
        return picked

    def _unusual(self) -> list[messages.Member]:
        found = [
            entry.member
            for entry in self._entries.values()
            if entry.member.leaving
            or entry.member.health == messages.Health.DEAD
        ]
        return found[:JOIN_RUMOURS]

    def _on_ping(
        self, ping: messages.Ping, now: float, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        self._hear_rumours(ping.rumours, now)
        rumours = self._pick_rumours(ping.sender.name)
        if ping.joining:
            rumours = self._unusual()
        ack = messages.Ack(
            ping.sequence,
            self._own,
            heartbeat.generation,
            heartbeat.checksum,
            rumours,
        )
        return [messages.ToPeer(ping.sender.host, ping.sender.port, ack)]

    def _on_ack(self, ack: messages.Ack, now: float) -> list[messages.ToPeer]:
        self._hear_rumours(ack.rumours, now)
        self._fresh = True
        if self._probe and self._probe[0] == ack.sequence:
            self._probe = None
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is None:
            return []
        sequence, asker = relayed
        vouch = messages.Vouch(sequence, self._own, ack.sender.name)
        return [messages.ToPeer(asker.host, asker.port, vouch)]

    def _on_request(
        self, request: messages.PingRequest, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        entry = self._entries.get(request.subject)
        if entry is None:
            return []
        self._sequence += 1
        if len(self._relayed) > JOIN_RUMOURS:
            self._relayed.pop(next(iter(self._relayed)))
        self._relayed[self._sequence] = (request.sequence, request.sender)
        return [self._ping(self._sequence, entry.member, heartbeat)]

    def _on_vouch(self, vouch: messages.Vouch, now: float) -> None:
        if self._probe and self._probe[0] == vouch.sequence:
            self._probe = None

    def _hear_from(self, sender: messages.Member, now: float) -> None:
        """Take the sender's word about itself."""
        self._hear(sender, now)

    def _hear_rumours(
        self, rumours: list[messages.Member], now: float
    ) -> None:
        for member in rumours:
            if member.name == self._own.name:
                self._deny(member)
            else:
                self._hear(member, now)

    def _hear(self, member: messages.Member, now: float) -> None:
        if member.name == self._own.name:
            return
        entry = self._entries.get(member.name)
        if entry is None:
            self._entries[member.name] = _Entry(member, now)
            if member.health == messages.Health.SUSPECT:
                self._suspects.add(member.name)
            self._version += 1
            if self._is_news(None, member):
                self._spread(member.name)
            self._changes.append(member)
            return
        if _precedence(member) > _precedence(entry.member):
            self._change(entry, member, now)

    def _deny(self, rumour: messages.Member) -> None:
        """Answer a rumour about oneself with a higher counter."""
        if rumour.incarnation > self._own.incarnation:
            # The clock went back over a restart; others would ignore this
            # process as its own past.
            self._own = self._own._replace(incarnation=rumour.incarnation + 1)
            self._own_incarnations.add(self._own.incarnation)
            self._spread(self._own.name)
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
        self._spread(self._own.name)


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
