"""Exchange changes and alerts with other processes."""

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

#: Bytes a second, and burst, for referrals to other processes. Requests beyond
#: that get no answer. Without the limit, referrals for 194 processes that each
#: ask one process for the newest changes five times a second used up its byte
#: budget, and it sent no changes to any of them for eleven seconds.
REFERRALS_BYTES_PER_S = 2000.0
REFERRALS_BURST_BYTES = 2000.0
#: Seconds until another process is asked for alerts: thirty round trips
#: between data centres. Alerts fit into one datagram.
ALERTS_AGAIN_S = 0.1

Send = typing.Callable[[str, bytes, control_budget.Purpose], None]
Take = typing.Callable[['records.Changes', str, float], typing.Any]
TakeAlerts = typing.Callable[['records.Alerts', str, float], typing.Any]


class Synchronizer:
    """Requests changes and alerts from peers, and answers their requests."""

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
        """Create a synchronizer without open requests.

        :param send: sends a datagram to a process, for a purpose.
        :param take: applies changes that a process sent.
        :param take_alerts: applies alerts that a process sent.
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
        # By host, the revision after which a process has all alerts.
        self._alerts_kept: dict[str, int] = {}
        self._meters = meters
        self._pulling = pulling.PullState(randomness)
        self._referrals = budget.Budget(
            bytes_per_s=REFERRALS_BYTES_PER_S,
            burst_bytes=REFERRALS_BURST_BYTES,
        )

    def pull(self, now: float) -> None:
        """Request changes that peers have and this process lacks, if due."""
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
        """Request alerts that peers have and this process lacks, if due.

        :param source: a process that has just reported newer alerts.
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
        """Return the processes that may have all alerts missing here."""
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
            # The receiver's alerts stay incomplete; it asks other processes,
            # and also requests all changes.
            self._meters.counters['alerts_not_kept'] += 1
        self._meters.counters['alerts_sent'] += 1
        self._send(
            host, control.pack_alerts(alerts), control_budget.Purpose.ALERT
        )

    def on_alerts(self, body: bytes, host: str, now: float) -> None:
        """Apply alerts that were requested."""
        if host not in self._alerts_asked:
            self._meters.counters['dropped_alerts_of_stranger'] += 1
            return
        before = self._knowledge.alerts_upto
        alerts = control.read_alerts(body)
        self._alerts_kept[host] = alerts.kept_since
        self._take_alerts(alerts, host, now)
        ahead = self._mesh.peers_with_newer_alerts(before, now)
        # Each process whose log starts after the alerts known here is asked
        # only once.
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
        """Send the changes that a process lacks, within the byte budget.

        Beyond it, the process is referred to one that has them by now, so that
        a change of 8 KB is not sent a hundred times over one slow link.
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
        """Request changes from the process that an asked process refers to."""
        if self._pulling.expects(host) and not self._pulling.due(now):
            other = control.read_referral(body)
            self._request_changes(other, self._knowledge.wanted_since, now)

    def on_changes(self, body: bytes, host: str, now: float) -> None:
        """Add a part of requested changes; apply them when complete."""
        if not self._pulling.expects(host):
            self._meters.counters['dropped_changes_of_stranger'] += 1
            return
        changes = self._pulling.add(body, host)
        if changes is None:
            return
        before = self._knowledge.content_revision
        self._take(changes, host, now)
        # If requested again at once, an answer without new changes would come
        # back once per round trip: 300 times a second.
        if self._knowledge.content_revision > before:
            self._pulling.allow_next_request()
            self.pull(now)
