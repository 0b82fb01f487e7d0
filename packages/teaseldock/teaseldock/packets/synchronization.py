"""Get changes from other processes, and give them on."""

from __future__ import annotations

import collections
import typing

from teaseldock import budget
from teaseldock.packets import control
from teaseldock.packets import control_budget
from teaseldock.packets import pulling

if typing.TYPE_CHECKING:
    import random

    from teaseldock.packets import knowledge
    from teaseldock.packets import mesh
    from teaseldock.packets import peer as peers
    from teaseldock.packets import records
    from teaseldock.packets import reporting

#: Bytes a second, and at once, for telling askers whom to ask instead. Beyond
#: that they get no answer: 194 processes that ask one for the newest changes
#: five times a second would use up with these answers what it may send, so
#: that it never sent the changes themselves, to anybody, for eleven seconds.
REFERRALS_BYTES_PER_S = 2000.0
REFERRALS_BURST_BYTES = 2000.0
#: Seconds until another process is asked for alerts: thirty round trips
#: between data centres. They are one datagram.
ALERTS_AGAIN_S = 0.1

Send = typing.Callable[[str, bytes, control_budget.Purpose], None]
Take = typing.Callable[['records.Changes', str, float], typing.Any]
TakeAlerts = typing.Callable[['records.Alerts', str, float], typing.Any]


class Synchronizer:
    """The changes that one process asks for and is asked for."""

    def __init__(
        self,
        known: knowledge.Knowledge,
        processes: mesh.Mesh,
        control_bytes: control_budget.ControlBudget,
        *,
        send: Send,
        take: Take,
        take_alerts: TakeAlerts,
        meters: reporting.Meters,
        randomness: random.Random,
    ) -> None:
        """Start without a question.

        :param send: sends a datagram to a process, for a purpose.
        :param take: takes over changes, with the process that they are from.
        :param take_alerts: the same for alerts.
        """
        self._knowledge = known
        self._mesh = processes
        self._budget = control_bytes
        self._send = send
        self._take = take
        self._take_alerts = take_alerts
        self._random = randomness
        self._alerts_asked_at: float | None = None
        self._alerts_asked: collections.deque[str] = collections.deque(
            maxlen=pulling.SENDERS_KEPT
        )
        # By host, from which alert on a process knows all.
        self._alerts_kept: dict[str, int] = {}
        self._meters = meters
        self._pulling = pulling.PullState(randomness)
        self._referrals = budget.Budget(
            bytes_per_s=REFERRALS_BYTES_PER_S,
            burst_bytes=REFERRALS_BURST_BYTES,
        )

    def pull(self, now: float) -> None:
        """Ask for what others know and this process lacks, if it is time."""
        if not self._pulling.due(now):
            return
        own = self._knowledge.content_revision
        source = self._pulling.choose(self._mesh.peers_ahead(own, now))
        if source is not None:
            self._request_changes(
                source.host, self._knowledge.wanted_since, now
            )
            return
        later = self._mesh.peers_with_newer_version(
            self._knowledge.version, now
        )
        source = self._pulling.choose(later)
        if source is not None:
            self._request_changes(source.host, 0, now)

    def pull_alerts(self, now: float, *, source: str | None = None) -> None:
        """Ask for alerts that others know of, if it is time.

        :param source: a process that has just told that it knows more.
        """
        asked_at = self._alerts_asked_at
        if asked_at is not None and now - asked_at < ALERTS_AGAIN_S:
            return
        own = self._knowledge.alerts_upto
        if source is None:
            ahead = self._mesh.peers_with_newer_alerts(own, now)
            if not ahead:
                return
            source = self._random.choice(
                self._with_all_missing_alerts(ahead) or ahead
            ).host
        self._alerts_asked_at = now
        self._alerts_asked.append(source)
        self._meters.counters['alerts_wanted'] += 1
        self._send(
            source,
            control.pack_get_alerts(own),
            control_budget.Purpose.ALERT,
        )

    def _with_all_missing_alerts(
        self, ahead: list[peers.Peer]
    ) -> list[peers.Peer]:
        """Return processes that may know all alerts that are missing here."""
        own = self._knowledge.alerts_upto
        return [
            peer
            for peer in ahead
            if self._alerts_kept.get(peer.host, 0) <= own
        ]

    def on_alerts_request(self, body: bytes, host: str, now: float) -> None:
        """Send the alerts that a process lacks."""
        since = control.read_revision(body)
        if since >= self._knowledge.alerts_upto:
            return
        if not self._budget.allows(control_budget.Purpose.ALERT, now):
            self._meters.counters['alerts_put_off'] += 1
            return
        alerts = self._knowledge.alerts_after(since)
        if alerts is None:
            return
        if not alerts.complete:
            # It stays behind, and asks others, and for all changes too.
            self._meters.counters['alerts_not_kept'] += 1
        self._meters.counters['alerts_sent'] += 1
        self._send(
            host, control.pack_alerts(alerts), control_budget.Purpose.ALERT
        )

    def on_alerts(self, body: bytes, host: str, now: float) -> None:
        """Take alerts that were asked for."""
        if host not in self._alerts_asked:
            self._meters.counters['dropped_alerts_of_stranger'] += 1
            return
        before = self._knowledge.alerts_upto
        alerts = control.read_alerts(body)
        self._alerts_kept[host] = alerts.kept_since
        self._take_alerts(alerts, host, now)
        ahead = self._mesh.peers_with_newer_alerts(before, now)
        # Each that has begun later than this process is asked but once.
        another = not alerts.complete and self._with_all_missing_alerts(ahead)
        if another or self._knowledge.alerts_upto > before:
            self._alerts_asked_at = None
            self.pull_alerts(now)

    def _request_changes(self, host: str, since: int, now: float) -> None:
        self._pulling.record_request(host, now)
        self._meters.counters['changes_wanted'] += 1
        if self._knowledge.usable and not since:
            self._meters.counters['changes_wanted_whole'] += 1
        self._send(
            host,
            control.pack_get_changes(since),
            control_budget.Purpose.QUESTION,
        )

    def on_changes_request(self, body: bytes, host: str, now: float) -> None:
        """Send what a process lacks, unless too much was sent lately.

        It then asks somebody else, who has it by now: so a change of 8 KB
        doesn't leave one process a hundred times over a slim link.
        """
        since = control.read_revision(body)
        if since >= self._knowledge.content_revision:
            return
        purpose = control_budget.Purpose.CHANGES
        if not self._budget.allows(purpose, now):
            self._refer(host, now)
            return
        self._meters.counters['changes_sent'] += 1
        self._pulling.record_sent(host, self._knowledge.content_revision)
        changes = self._knowledge.changes_since(since)
        for datagram in control.pack_changes(changes):
            self._send(host, datagram, purpose)

    def _refer(self, asker: str, now: float) -> None:
        self._meters.counters['changes_put_off'] += 1
        revision = self._knowledge.content_revision
        other = self._pulling.referral(revision, asker)
        if other is None or not self._referrals.has_room(now):
            return
        datagram = control.pack_referral(other)
        self._referrals.spend(len(datagram) + control_budget.HEADER_BYTES)
        self._send(asker, datagram, control_budget.Purpose.QUESTION)

    def on_referral(self, body: bytes, host: str, now: float) -> None:
        """Ask another process, as one that was asked has advised."""
        if self._pulling.expects(host) and not self._pulling.due(now):
            other = control.read_referral(body)
            self._request_changes(other, self._knowledge.wanted_since, now)

    def on_changes(self, body: bytes, host: str, now: float) -> None:
        """Take a part of the changes that were asked for."""
        if not self._pulling.expects(host):
            self._meters.counters['dropped_changes_of_stranger'] += 1
            return
        changes = self._pulling.add(body, host)
        if changes is None:
            return
        before = self._knowledge.content_revision
        self._take(changes, host, now)
        # Asked again at once, an answer that taught nothing would come back
        # as often as the way there and back takes: 300 times a second.
        if self._knowledge.content_revision > before:
            self._pulling.allow_next_request()
            self.pull(now)
