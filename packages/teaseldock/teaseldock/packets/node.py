"""Base class of balancers and agents: store replication and peers."""

from __future__ import annotations

import abc
import random
import typing

from teaseldock import exceptions
from teaseldock.packets import control
from teaseldock.packets import control_budget
from teaseldock.packets import freshness
from teaseldock.packets import holdings
from teaseldock.packets import knowledge
from teaseldock.packets import mesh
from teaseldock.packets import positions
from teaseldock.packets import read_schedule
from teaseldock.packets import readers
from teaseldock.packets import reporting
from teaseldock.packets import store_state
from teaseldock.packets import synchronization

if typing.TYPE_CHECKING:
    from teaseldock.packets import io_interface
    from teaseldock.packets import peer as peers
    from teaseldock.packets import records

#: Number of balancers that a process notifies at once of a change; a process
#: that read the change from the store notifies twice as many. Each of them
#: notifies others: a fan-out of 4 reaches 59 balancers in three generations of
#: 3 ms.
NOTIFY_FAN_OUT = 4
#: Seconds between two ticks beyond which this process counts as paused.
PAUSE_THRESHOLD_S = 1.0
#: Seconds after a pause before the process acts on its stored state again:
#: thirty round trips between data centres, in which peers send what has
#: changed.
RESYNC_S = 0.1
#: Source of changes that were read from the store, not received from a
#: process.
SOURCE_STORE = 'store'

PeriodicTask = typing.Callable[[float], typing.Any]


class Node(abc.ABC):
    """A process that replicates the store and detects live peers."""

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        seeds: list[str],
        is_balancer: bool,
        io: io_interface.IOInterface,
        reporter: reporting.Reporter,
        randomness: random.Random,
        now: float,
        link_mbps: float = control_budget.DEFAULT_LINK_MBPS,
        in_force_s: float = readers.IN_FORCE_S,
    ) -> None:
        """Create a node that holds the seeds and no store state.

        :param host: own IPv4 address.
        :param seeds: hosts of balancers.
        :param link_mbps: speed of this instance's link, megabits a second.
        :param in_force_s: seconds within which each change must be in force.
        :param now: monotonic time, seconds.
        """
        self._host = host
        self._data_centre = data_centre
        self._is_balancer = is_balancer
        self._io = io
        self._reporter = reporter
        self._random = randomness
        self._meters = reporting.Meters()
        self._knowledge = knowledge.Knowledge()
        self._budget = control_budget.ControlBudget(link_mbps)
        self._mesh = mesh.Mesh(
            host,
            is_balancer=is_balancer,
            seeds=seeds,
            randomness=randomness,
            now=now,
        )
        self._store = store_state.StoreState()
        self._alerts_freshness = freshness.Freshness(now)
        self._version_freshness = freshness.Freshness(now)
        self._readers = readers.ReaderElection(
            self._mesh,
            self._store,
            (self._alerts_freshness, self._version_freshness),
            host=host,
            is_balancer=is_balancer,
            slim=self._budget.slim,
            in_force_s=in_force_s,
            now=now,
        )
        self._synchronizer = synchronization.Synchronizer(
            self._knowledge,
            self._mesh,
            self._budget,
            send=self._send,
            take=self._apply_changes,
            take_alerts=self._apply_alerts,
            meters=self._meters,
            randomness=randomness,
        )
        self._read_schedule = read_schedule.ReadSchedule(randomness)
        self._read_reason: readers.ReadReason | None = None
        self._call_started_at = now
        # Store position that was held when the pending call began.
        self._position_at_call = 0
        self._full_read_at = now
        self._leaving = False
        self._started = int(now * 1000)
        self._last_tick = now
        self._resync_until = 0.0
        self._unconfigured: set[str] = set()

    @property
    def meters(self) -> reporting.Meters:
        """Return counters and histograms."""
        return self._meters

    @property
    def knowledge(self) -> knowledge.Knowledge:
        """Return the local copy of the store."""
        return self._knowledge

    @property
    def mesh(self) -> mesh.Mesh:
        """Return the state of the other processes."""
        return self._mesh

    @property
    def budget(self) -> control_budget.ControlBudget:
        """Return the bandwidth budget of control messages."""
        return self._budget

    @property
    def alerts_age_s(self) -> float:
        """Return the greatest possible age of a missing alert, seconds."""
        return self._alerts_freshness.age_s(self._last_tick)

    @property
    def version_age_s(self) -> float:
        """Return the greatest possible age of a missing version, seconds."""
        return self._version_freshness.age_s(self._last_tick)

    @property
    def leaving(self) -> bool:
        """Tell whether this process is about to stop."""
        return self._leaving

    @property
    def _log_fields(self) -> dict[str, typing.Any]:
        """Return the versions on which packet decisions are based now."""
        return {
            'version': self._knowledge.version,
            'revision': positions.revision(self._knowledge.content_revision),
            'era': positions.era(self._knowledge.content_revision),
        }

    @property
    def _alert_log_fields(self) -> dict[str, typing.Any]:
        """Return the newest alerts held here and reported by others."""
        newest = self._mesh.newest_alert
        return {
            'alerts_upto': positions.revision(self._knowledge.alerts_upto),
            'newest_heard': positions.revision(newest),
            'newest_era': positions.era(newest),
        }

    @abc.abstractmethod
    def _on_envelope(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        """Handle a datagram that concerns packets of callers."""

    def _on_store_change(self, now: float) -> None:
        """Apply a change of the local copy of the store."""

    def _on_heartbeat(self, peer: peers.Peer, now: float) -> None:
        """React to the heartbeat of a peer."""

    def _on_load_report(self, peer: peers.Peer, now: float) -> None:
        """React to the short report of an agent."""

    def _server_load(self, now: float) -> typing.Any:
        """Return the load of this process's backend server, or None."""
        return None

    def _failing_percent(self, now: float) -> int:
        """Return the percentage of requests that the backend server failed."""
        return 0

    def _holdings(self, now: float) -> holdings.Holdings:
        """Return the summary of held flows that heartbeats carry."""
        return holdings.EMPTY_HOLDINGS

    def _reports_to_all(self, now: float) -> bool:
        """Tell whether this process reports to all balancers."""
        return False

    def leave(self, now: float) -> None:
        """Begin a graceful stop; a second call changes nothing."""
        if self._leaving:
            return
        self._leaving = True
        self._reporter.note('leaving', **self._log_fields)
        self._send_heartbeats(self._mesh.balancers(), now)
        self._send_heartbeats(self._mesh.to_notify(0, now), now)

    def is_resyncing(self, now: float) -> bool:
        """Tell whether the stored state may be older than its recorded age."""
        return now < self._resync_until

    def check_pause(self, now: float) -> None:
        """Detect a pause of this process; to be called before any input."""
        if now - self._last_tick > PAUSE_THRESHOLD_S:
            self._on_pause(now)

    def tick(self, now: float) -> None:
        """Run periodic work; to be called some 20 times a second.

        Each task runs also if an earlier one raises. Otherwise a fault that
        recurs, such as in the heartbeat, would end all reading of the store
        in this process, and all service of an agent.

        :raises Exception: what the first failing task raised.
        """
        self.check_pause(now)
        self._last_tick = now
        errors = []
        for task in self._periodic_tasks():
            try:
                task(now)
            except Exception as error:
                errors.append(error)
        if errors:
            raise errors[0]

    def _periodic_tasks(self) -> list[PeriodicTask]:
        """Return the work of a tick, in order; called with the time."""
        return [
            self._send_due_heartbeats,
            self._expire_evacuations,
            self._synchronizer.pull_alerts,
            self._synchronizer.pull,
            self.read_if_due,
            self._report_budget,
            self._report_age,
        ]

    def _send_due_heartbeats(self, now: float) -> None:
        all_balancers = self._reports_to_all(now)
        self._send_heartbeats(
            self._mesh.heartbeats_due(now, all_balancers=all_balancers), now
        )

    def _expire_evacuations(self, now: float) -> None:
        if self._knowledge.expire_evacuations(now):
            self._on_store_change(now)

    def _report_budget(self, now: float) -> None:
        if self._budget.ran_dry(now):
            self._reporter.note('control budget dry', **self._budget.spent)

    def _report_age(self, now: float) -> None:
        old = self._alerts_freshness.staleness_change(now)
        if old is None:
            return
        self._reporter.note(
            'alerts may be missing' if old else 'alerts current',
            age_s=round(self._alerts_freshness.age_s(now), 2),
            **self._alert_log_fields,
            store_failing=self._store.failing,
            **self._log_fields,
        )

    def _on_pause(self, now: float) -> None:
        # After a pause all peers look silent and all stored state may be old.
        # Acting on it at once would send new flows to servers that have left.
        pause_s = now - self._last_tick
        self._last_tick = now
        self._meters.counters['pauses'] += 1
        self._reporter.note(
            'paused', seconds=round(pause_s, 3), **self._log_fields
        )
        self._resync_until = now + RESYNC_S
        self._mesh.on_resume(pause_s)
        self._send_heartbeats(
            self._mesh.heartbeats_due(now, all_balancers=False), now
        )

    def reads_store(self, now: float) -> bool:
        """Tell whether this process should read the store."""
        return self._reason_to_read(now) is not None

    def _reason_to_read(self, now: float) -> readers.ReadReason | None:
        return self._readers.read_reason(now, leaving=self._leaving)

    def read_if_due(self, now: float) -> None:
        """Call the store if this process should and no call is pending."""
        if self._read_schedule.calling:
            return
        why = self._reason_to_read(now)
        self._report_reading(why, now)
        if why is None:
            return
        step = self._read_schedule.next_step(self._knowledge.revision, now)
        if step is None:
            return
        self._meters.counters['store_calls'] += 1
        self._call_started_at = now
        self._position_at_call = self._knowledge.revision
        try:
            if step is read_schedule.Step.READ_ALL:
                self._io.read_all()
            else:
                self._io.watch(self._knowledge.revision)
        except Exception:
            # No answer follows that would end the call.
            self._read_schedule.failed(now)
            raise

    def _report_reading(
        self, why: readers.ReadReason | None, now: float
    ) -> None:
        if why is self._read_reason:
            return
        self._read_reason = why
        if why is not None:
            self._meters.counters[f'reads_{why.name.lower()}'] += 1
        self._reporter.note(
            'leaves store to others' if why is None else 'reads store',
            why=why and why.value,
            rank=self._readers.rank,
            proof_age_s=round(self._readers.proof_age_s(now), 2),
            confirmed_ms=self._store.confirmed_ms(now),
            **self._alert_log_fields,
            **self._log_fields,
        )

    def store_answered(self, changes: records.Changes, now: float) -> None:
        """Apply the answer to a call to the store."""
        self._read_schedule.end_call(now)
        if changes.upto < self._position_at_call:
            # If it were accepted, it would count as proof of freshness, and
            # the next call would follow at once, without end.
            self._meters.counters['store_answers_behind'] += 1
            upto, known = changes.upto, self._position_at_call
            self.store_failed(
                f'answer ends at revision {positions.revision(upto)} of era'
                f' {positions.era(upto)}, {positions.revision(known)} of era'
                f' {positions.era(known)} is already held',
                now,
            )
            return
        if self._store.record_answer(now):
            self._reporter.note('store regained', **self._log_fields)
        changed = self._apply_changes(changes, SOURCE_STORE, now)
        self._read_schedule.succeeded(now, changed=changed)
        self.read_if_due(now)

    def store_lost_history(
        self, now: float, *, why: str = 'not in the store'
    ) -> None:
        """Record that a watch cannot continue from the current revision.

        :param why: reason for which the changes can't be had, for the log.
        """
        self._read_schedule.end_call(now)
        self._reporter.note('store history lost', why=why, **self._log_fields)
        self._read_schedule.history_lost(now)
        self.read_if_due(now)

    def store_failed(self, problem: str, now: float) -> None:
        """Record a call to the store that got no usable answer."""
        self._read_schedule.end_call(now)
        self._meters.counters['store_failures'] += 1
        first = self._store.record_failure(now)
        if first:
            self._reporter.note(
                'store lost', problem=problem, **self._log_fields
            )
        # A single lost answer must not use up the whole time in which a change
        # must be in force.
        as_prober = first and not self._readers.store_unreachable(now)
        as_prober = as_prober or self._readers.is_prober(
            now, leaving=self._leaving
        )
        self._read_schedule.failed(now, is_prober=as_prober)

    def entry_refused(self, problem: str) -> None:
        """Record an entry of the store that could not be read."""
        self._meters.counters['entries_refused'] += 1
        self._reporter.note('entry refused', problem=problem)

    def _apply_changes(
        self, changes: records.Changes, source: str, now: float
    ) -> bool:
        before = self._knowledge.version
        known = self._knowledge.content_revision
        upto = self._knowledge.revision
        changed = self._knowledge.apply(changes, now)
        self._report_era(upto, source)
        if not changes.since:
            self._full_read_at = now
        # This precedes the notification of others, which carries the new
        # freshness.
        if source == SOURCE_STORE:
            # A full read is as fresh as its first page; later pages do not
            # cover changes that came while they were read.
            full_read = not changes.since
            at = self._call_started_at if full_read else now
            self._alerts_freshness.record_answer(at)
            self._version_freshness.record_answer(at)
        self._update_freshness()
        if not changed:
            return False
        self._reporter.note(
            'changes in force',
            source=source,
            before=positions.revision(known),
            **self._log_fields,
            new_version=self._knowledge.version != before,
            targets=len(self._knowledge.targets),
            entries=len(changes.targets),
            removals=len(changes.removals),
            evacuated=sorted(self._knowledge.evacuated),
        )
        self._report_unconfigured()
        hosts = {item.host for item in self._knowledge.targets.values()}
        if self._is_balancer:
            self._mesh.update_agents(hosts, now)
        self._on_store_change(now)
        from_store = source == SOURCE_STORE
        if self._is_balancer or from_store:
            self._notify(
                2 * NOTIFY_FAN_OUT if from_store else NOTIFY_FAN_OUT, now
            )
        return True

    def _report_era(self, before: int, source: str) -> None:
        """Report that the stored state is of another era of the store.

        :param before: position that was held before, 0 for none.
        """
        known = self._knowledge.revision
        if not before or positions.same_era(before, known):
            return
        self._meters.counters['store_eras_seen'] += 1
        self._reporter.note(
            'store era',
            source=source,
            before=positions.era(before),
            **self._log_fields,
        )

    def _update_freshness(self) -> None:
        """Apply the freshness reported by others up to the state held here."""
        self._alerts_freshness.adopt_claims(self._knowledge.alerts_upto)
        self._version_freshness.adopt_claims(self._knowledge.version)

    def _apply_alerts(
        self, alerts: records.Alerts, source: str, now: float
    ) -> None:
        changed = self._knowledge.apply_alerts(alerts, now)
        self._update_freshness()
        if not changed:
            return
        self._reporter.note(
            'alerts in force',
            source=source,
            alerts=len(alerts.items),
            since=positions.revision(alerts.since),
            upto=positions.revision(alerts.upto),
            evacuated=sorted(self._knowledge.evacuated),
            **self._log_fields,
        )
        self._on_store_change(now)
        if self._is_balancer:
            self._notify(NOTIFY_FAN_OUT, now)

    def _notify(self, balancers: int, now: float) -> None:
        """Notify some processes at once that there are changes to request.

        A notification carries no changes: with them, each process would
        receive the changes as often as it has peers.
        """
        notice = control_budget.Purpose.NOTICE
        if not self._budget.allows(notice, now):
            self._meters.counters['notices_left_out'] += 1
            return
        if self._is_balancer:
            notified = self._mesh.to_notify(balancers, now)
        else:
            notified = self._mesh.reported_to(now)
        self._send_heartbeats(notified, now, purpose=notice)

    def _report_unconfigured(self) -> None:
        unnamed = self._knowledge.entries_of_unknown_services
        for identifier in sorted(unnamed - self._unconfigured):
            self.entry_refused(f'{identifier}: its service is not configured')
        self._unconfigured = unnamed

    def _send(
        self, host: str, datagram: bytes, purpose: control_budget.Purpose
    ) -> None:
        self._budget.spend(purpose, len(datagram))
        self._io.to_process(host, datagram)

    def _heartbeat(self, now: float) -> control.Heartbeat:
        return control.Heartbeat(
            self._is_balancer,
            self._started,
            self._leaving,
            self._knowledge.content_revision,
            self._store.confirmed_ms(now),
            self._store.failing,
            self._server_load(now),
            b'',
            self._failing_percent(now),
            self._knowledge.layout_revision,
            self._holdings(now),
            self._store.outage_ms(now),
            self._budget.slim,
            self._knowledge.alerted,
            self._alerts_freshness.age_ms(now),
            self._knowledge.version,
            self._version_freshness.age_ms(now),
        )

    def _send_heartbeats(
        self,
        peers: list[peers.Peer],
        now: float,
        *,
        purpose: control_budget.Purpose = control_budget.Purpose.HEARTBEAT,
    ) -> None:
        if not peers:
            return
        heartbeat = self._heartbeat(now)
        packed: dict[int, bytes] = {}
        for peer in peers:
            peer.note_heartbeat_sent(now)
            count = self._mesh.names_due(peer, now)
            if count not in packed:
                named = self._mesh.named_balancers(now, count) if count else []
                packed[count] = control.pack_heartbeat(
                    heartbeat._replace(named=control.pack_hosts(named))
                )
            self._send(peer.host, packed[count], purpose)

    def on_datagram(self, datagram: bytes, host: str, now: float) -> None:
        """Handle a datagram at the internal port."""
        try:
            envelope = control.unpack(datagram)
            if envelope.kind == control.KIND_HEARTBEAT:
                self._handle_heartbeat(
                    control.read_heartbeat(envelope.body),
                    host,
                    now,
                    solicited=bool(envelope.detail),
                )
            elif envelope.kind == control.KIND_LOAD and self._is_balancer:
                report = control.read_load_report(envelope.body)
                peer = self._mesh.record_load_report(host, report, now)
                self._on_load_report(peer, now)
            elif envelope.kind == control.KIND_CHANGES:
                self._synchronizer.on_changes(envelope.body, host, now)
            elif envelope.kind == control.KIND_GET_CHANGES:
                self._synchronizer.on_changes_request(envelope.body, host, now)
            elif envelope.kind == control.KIND_GET_ALERTS:
                self._synchronizer.on_alerts_request(envelope.body, host, now)
            elif envelope.kind == control.KIND_ALERTS:
                self._synchronizer.on_alerts(envelope.body, host, now)
            elif envelope.kind == control.KIND_REFERRAL:
                self._synchronizer.on_referral(envelope.body, host, now)
            else:
                self._on_envelope(envelope, host, now)
        except exceptions.TeaseldockError as error:
            self._meters.counters[f'dropped_{error.code}'] += 1
            self._reporter.note('datagram dropped', host=host, why=str(error))

    def _handle_heartbeat(
        self,
        heartbeat: control.Heartbeat,
        host: str,
        now: float,
        *,
        solicited: bool,
    ) -> None:
        new = self._mesh.is_new(host, heartbeat, now)
        peer = self._mesh.record_heartbeat(
            host, heartbeat, now, solicited=solicited
        )
        self._store.merge_heartbeat(heartbeat, now)
        self._merge_freshness(heartbeat, now)
        if new:
            peer.named_at = 0.0
            self._reporter.note(
                'process heard',
                host=host,
                balancer=heartbeat.is_balancer,
                revision=positions.revision(heartbeat.revision),
                era=positions.era(heartbeat.revision),
            )
            if self._replies_to(peer, now) and not solicited:
                self._send_heartbeats([peer], now)
        if heartbeat.alerted > self._knowledge.alerts_upto:
            self._synchronizer.pull_alerts(now, source=host)
        if (
            heartbeat.revision > self._knowledge.content_revision
            or heartbeat.version > self._knowledge.version
        ):
            self._synchronizer.pull(now)
        self._on_heartbeat(peer, now)

    def _merge_freshness(
        self, heartbeat: control.Heartbeat, now: float
    ) -> None:
        """Apply the freshness of alerts and version that a peer reports.

        Heartbeats that waited during a pause of this process are ignored:
        their age counts from the time of sending, so they would make the state
        look fresher than an alert that is missing.
        """
        if self.is_resyncing(now):
            return
        self._version_freshness.merge_claim(
            heartbeat.version,
            heartbeat.version_age_ms,
            now,
            known=self._knowledge.version,
        )
        known_at = self._alerts_freshness.merge_claim(
            heartbeat.alerted,
            heartbeat.alerts_age_ms,
            now,
            known=self._knowledge.alerts_upto,
        )
        if known_at is not None and known_at >= self._full_read_at:
            self._knowledge.lower_newest_alert(heartbeat.alerted)

    def _replies_to(self, peer: peers.Peer, now: float) -> bool:
        """Tell whether a new process gets a heartbeat of this one at once."""
        if self._is_balancer:
            return True
        return peer.is_balancer and self._mesh.should_report_to(peer.host, now)
