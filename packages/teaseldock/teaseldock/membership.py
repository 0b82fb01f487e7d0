"""Detect which processes of a region are alive, leaving or dead.

The protocol is SWIM (Das, Gupta, Motivala, DSN 2002) with two extensions of
Lifeguard (Dadgar, Phillips, Currey, 2017): a member that was itself paused
suspects no other member, and a suspected member is sent the suspicion, so
that it can refute it.
"""

from __future__ import annotations

import random
import typing

from teaseldock import messages
from teaseldock import roster

if typing.TYPE_CHECKING:
    from teaseldock import flow

#: Seconds between two probes by one member.
PROBE_INTERVAL_S = 0.5
#: Seconds without an answer after which other members are asked to probe.
PROBE_TIMEOUT_S = 0.2
#: Members that are asked to probe a member that does not answer.
INDIRECT_PROBES = 2
#: Maximum number of pending probes on behalf of other members.
MAX_RELAYED_PROBES = 40
#: Probability that a dead member is probed in its turn.
DEAD_PROBE_PROBABILITY = 0.25
#: Dead members probed per tick after one of them was heard from again.
RECOVERY_PROBES_PER_TICK = 2
#: Seconds between two ticks above which this process counts as paused.
PAUSE_THRESHOLD_S = 1.0


class Heartbeat(typing.NamedTuple):
    """Digest of the configuration that each heartbeat carries."""

    generation: int
    checksum: int


class Membership:
    """Probe members in turn and send them the rumours of the roster."""

    def __init__(
        self, *, own: messages.Member, randomness: random.Random, now: float
    ) -> None:
        """Create a membership of this process only.

        :param own: entry of this process, as sent to other members.
        :param randomness: source of the probe order and of other choices.
        :param now: monotonic time in seconds.
        """
        self._roster = roster.Roster(own)
        self._random = randomness
        self._probe_order: list[str] = []
        self._sequence = 0
        self._probe: tuple[int, str, float] | None = None
        self._indirect_probe_sent = False
        self._relayed: dict[int, tuple[int, messages.Member]] = {}
        self._next_probe_at = now
        self._last_tick = now
        # An empty roster does not prove that there are no peers: a process
        # that has not read the list yet would serve rules that its peers
        # have replaced.
        self._assume_synchronised_at = now + 2 * PROBE_INTERVAL_S
        self._synchronised = False
        self._pauses = 0
        self._recovery_queue: list[str] = []
        self._next_recovery_at = now

    @property
    def roster(self) -> roster.Roster:
        """Return the state of all members."""
        return self._roster

    @property
    def own(self) -> messages.Member:
        """Return the entry of this process."""
        return self._roster.own

    @property
    def pauses(self) -> int:
        """Return the number of detected pauses of this process."""
        return self._pauses

    @property
    def synchronised(self) -> bool:
        """Return whether a peer has answered since the start or last pause.

        This is also true if no peer has answered in time.
        """
        return self._synchronised

    def tick(self, now: float, heartbeat: Heartbeat) -> list[messages.ToPeer]:
        """Send and expire probes; must be called several times a second."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap > PAUSE_THRESHOLD_S:
            self._on_pause(now)
        if not self._synchronised and now > self._assume_synchronised_at:
            # No peer has answered: for a process that is partitioned off,
            # the old view is the best one available.
            self._synchronised = True
        actions = self._expire_probe(now, heartbeat)
        actions += self._send_recovery_probes(heartbeat)
        actions += self._ping_disputed(heartbeat)
        self._roster.expire_suspicions(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_S
            actions += self._begin_probe(now, heartbeat)
        return actions

    def on_message(
        self, message: typing.NamedTuple, now: float, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        """Handle Ping, Ack, PingRequest or Vouch."""
        self._queue_recovery_probes(message.sender.name, now)
        self._roster.merge_member(message.sender, now)
        self._roster.mark_heard(message.sender.name, now)
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

    def _queue_recovery_probes(self, name: str, now: float) -> None:
        """Queue probes to all dead members if one of them is heard from.

        After a partition heals, other members of the same side are back as
        well. If they were probed only in their turn, some would count as dead
        for seconds, in which requests that only they may run would end as
        "outcome unknown".
        """
        member = self._roster.get(name)
        if member is None or member.health != messages.Health.DEAD:
            return
        if now < self._next_recovery_at:
            return
        self._next_recovery_at = now + PROBE_INTERVAL_S
        self._recovery_queue = sorted(self._roster.dead)
        self._random.shuffle(self._recovery_queue)

    def _send_recovery_probes(
        self, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        names = self._recovery_queue[:RECOVERY_PROBES_PER_TICK]
        del self._recovery_queue[:RECOVERY_PROBES_PER_TICK]
        members = [self._roster.get(name) for name in names]
        return [
            self._ping(0, member, heartbeat)
            for member in members
            if member and member.health == messages.Health.DEAD
        ]

    def _ping_disputed(self, heartbeat: Heartbeat) -> list[messages.ToPeer]:
        """Ping members reported dead, so that they can refute it in time."""
        members = map(self._roster.get, sorted(self._roster.drain_disputed()))
        return [self._ping(0, member, heartbeat) for member in members]

    def _on_pause(self, now: float) -> None:
        # After a pause, all answers seem to be missing. Without this guard
        # the resumed process would declare the whole region dead, which shows
        # as a burst of suspicions from one member.
        self._pauses += 1
        self._synchronised = False
        self._assume_synchronised_at = now + 2 * PROBE_INTERVAL_S
        self._probe = None
        self._next_probe_at = now
        self._roster.restart_suspicion_timers(now)

    def _begin_probe(
        self, now: float, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        subject = self._next_subject()
        if subject is None:
            return []
        self._sequence += 1
        self._probe = (self._sequence, subject.name, now)
        self._indirect_probe_sent = False
        return [self._ping(self._sequence, subject, heartbeat)]

    def _ping(
        self, sequence: int, subject: messages.Member, heartbeat: Heartbeat
    ) -> messages.ToPeer:
        ping = messages.Ping(
            sequence,
            self._roster.own,
            not self._synchronised,
            heartbeat.generation,
            heartbeat.checksum,
            self._roster.pick_rumours(subject.name),
        )
        return messages.ToPeer(subject.host, subject.port, ping)

    def ping_address(
        self, address: flow.Endpoint, heartbeat: Heartbeat
    ) -> messages.ToPeer:
        """Return a heartbeat to a process whose name is not known yet."""
        ping = messages.Ping(
            0,
            self._roster.own,
            True,
            heartbeat.generation,
            heartbeat.checksum,
            [],
        )
        return messages.ToPeer(address.host, address.port, ping)

    def _next_subject(self) -> messages.Member | None:
        for _ in range(2):
            while self._probe_order:
                member = self._roster.get(self._probe_order.pop())
                if member is not None and self._should_probe(member):
                    return member
            self._probe_order = list(self._roster)
            self._random.shuffle(self._probe_order)
        return None

    def _should_probe(self, member: messages.Member) -> bool:
        if member.health != messages.Health.DEAD:
            return True
        # Dead members are still probed occasionally, so that both sides of a
        # partition find each other after it has healed.
        return self._random.random() < DEAD_PROBE_PROBABILITY

    def _expire_probe(
        self, now: float, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        if self._probe is None:
            return []
        sequence, name, sent_at = self._probe
        if now - sent_at >= PROBE_INTERVAL_S:
            self._probe = None
            self._roster.suspect(name, now)
            return []
        if now - sent_at < PROBE_TIMEOUT_S or self._indirect_probe_sent:
            return []
        self._indirect_probe_sent = True
        request = messages.PingRequest(sequence, self._roster.own, name)
        return [
            messages.ToPeer(relay.host, relay.port, request)
            for relay in self._pick_relays(name)
        ]

    def push(
        self, heartbeat: Heartbeat, *, fanout: int
    ) -> list[messages.ToPeer]:
        """Return heartbeats to random members, outside the probe order.

        :param fanout: number of members.
        """
        alive = self._roster.alive()
        chosen = self._random.sample(alive, min(fanout, len(alive)))
        return [self._ping(0, member, heartbeat) for member in chosen]

    def _pick_relays(self, subject: str) -> list[messages.Member]:
        alive = [m for m in self._roster.alive() if m.name != subject]
        return self._random.sample(alive, min(INDIRECT_PROBES, len(alive)))

    def _on_ping(
        self, ping: messages.Ping, now: float, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        self._roster.merge_rumours(ping.rumours, now)
        rumours = self._roster.pick_rumours(ping.sender.name)
        if ping.joining:
            rumours = self._roster.leaving_or_dead()
        ack = messages.Ack(
            ping.sequence,
            self._roster.own,
            heartbeat.generation,
            heartbeat.checksum,
            rumours,
        )
        return [messages.ToPeer(ping.sender.host, ping.sender.port, ack)]

    def _on_ack(self, ack: messages.Ack, now: float) -> list[messages.ToPeer]:
        self._roster.merge_rumours(ack.rumours, now)
        self._synchronised = True
        if self._probe and self._probe[0] == ack.sequence:
            self._probe = None
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is None:
            return []
        sequence, requester = relayed
        vouch = messages.Vouch(sequence, self._roster.own, ack.sender.name)
        return [messages.ToPeer(requester.host, requester.port, vouch)]

    def _on_request(
        self, request: messages.PingRequest, heartbeat: Heartbeat
    ) -> list[messages.ToPeer]:
        subject = self._roster.get(request.subject)
        if subject is None or subject.name == self._roster.own.name:
            return []
        self._sequence += 1
        if len(self._relayed) > MAX_RELAYED_PROBES:
            self._relayed.pop(next(iter(self._relayed)))
        self._relayed[self._sequence] = (request.sequence, request.sender)
        return [self._ping(self._sequence, subject, heartbeat)]

    def _on_vouch(self, vouch: messages.Vouch, now: float) -> None:
        if self._probe and self._probe[0] == vouch.sequence:
            self._probe = None
