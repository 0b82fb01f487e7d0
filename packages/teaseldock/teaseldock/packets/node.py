"""Do what balancers and agents share: know the store and each other."""

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

#: Balancers that are told at once of something new, and twice as many by who
#: read it from the store. Each of them tells others: 4 reach 59 balancers in
#: three generations of 3 ms.
NOTIFY_FAN_OUT = 4
#: A gap between two ticks beyond this is a pause of this process, seconds.
PAUSE_S = 1.0
#: Seconds after a pause before the process acts on what it knew: thirty round
#: trips between data centres, in which peers send what changed meanwhile.
RESYNC_S = 0.1
#: Where changes came from, if not from a process.
SOURCE_STORE = 'store'


class Node(abc.ABC):
    """Spread knowledge, and see who is alive."""

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
        link_mbps: float = control_budget.UNKNOWN_LINK_MBPS,
        in_force_s: float = readers.IN_FORCE_S,
    ) -> None:
        """Start knowing the seeds.

        :param host: own IPv4 address.
        :param seeds: hosts of balancers.
        :param link_mbps: speed of this instance's link, megabits a second.
        :param in_force_s: seconds within which each change must be in force.
        :param now: seconds on a clock that never goes back.
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
        self._alerts_proof = freshness.Freshness(now)
        self._version_proof = freshness.Freshness(now)
        self._readers = readers.ReaderElection(
            self._mesh,
            self._store,
            (self._alerts_proof, self._version_proof),
            host=host,
            is_balancer=is_balancer,
            slim=self._budget.slim,
            in_force_s=in_force_s,
            now=now,
        )
        self._exchange = synchronization.Synchronizer(
            self._knowledge,
            self._mesh,
            self._budget,
            send=self._send,
            take=self._take,
            take_alerts=self._take_alerts,
            meters=self._meters,
            randomness=randomness,
        )
        self._reading = read_schedule.ReadSchedule(randomness)
        self._reads_because: readers.ReadReason | None = None
        self._called_at = now
        # Position that was known when the call under way began.
        self._called_knowing = 0
        self._whole_at = now
        self._leaving = False
        self._started = int(now * 1000)
        self._last_tick = now
        self._distrust_until = 0.0
        self._unnamed: set[str] = set()

    @property
    def meters(self) -> reporting.Meters:
        """Return counters and histograms."""
        return self._meters

    @property
    def knowledge(self) -> knowledge.Knowledge:
        """Return what is known of the store."""
        return self._knowledge

    @property
    def mesh(self) -> mesh.Mesh:
        """Return what is known of other processes."""
        return self._mesh

    @property
    def budget(self) -> control_budget.ControlBudget:
        """Return what may be spent on control."""
        return self._budget

    @property
    def alerts_age_s(self) -> float:
        """Return the greatest age of an alert that isn't known, seconds."""
        return self._alerts_proof.age_s(self._last_tick)

    @property
    def version_age_s(self) -> float:
        """Return the greatest age of a version that isn't known, seconds."""
        return self._version_proof.age_s(self._last_tick)

    @property
    def leaving(self) -> bool:
        """Tell whether this process is about to stop."""
        return self._leaving

    @property
    def _flow_inputs(self) -> dict[str, typing.Any]:
        """Return the versions by which packets are decided now."""
        return {
            'version': self._knowledge.version,
            'revision': positions.revision(self._knowledge.content_revision),
            'era': positions.era(self._knowledge.content_revision),
        }

    @property
    def _alert_inputs(self) -> dict[str, typing.Any]:
        """Return which alerts are known, and which are heard of."""
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
        """Handle a datagram with a caller's packet."""

    def _on_store_change(self, now: float) -> None:
        """Take over changed knowledge."""

    def _on_heartbeat(self, peer: peers.Peer, now: float) -> None:
        """Take over a heartbeat."""

    def _server_load(self, now: float) -> typing.Any:
        """Return the load of this process's backend server, if it has one."""
        return None

    def _failing_percent(self, now: float) -> int:
        """Return the part of requests that its backend server failed."""
        return 0

    def _holdings(self, now: float) -> holdings.Holdings:
        """Return what is to be told of the flows held here."""
        return holdings.NOTHING_KNOWN

    def _reports_to_all(self, now: float) -> bool:
        """Tell whether all balancers have to hear this process."""
        return False

    def leave(self, now: float) -> None:
        """Begin a graceful stop; a second call changes nothing."""
        if self._leaving:
            return
        self._leaving = True
        self._reporter.note('leaving', **self._flow_inputs)
        self._send_heartbeats(self._mesh.balancers(), now)
        self._send_heartbeats(self._mesh.to_notify(0, now), now)

    def is_resyncing(self, now: float) -> bool:
        """Tell whether what is known may be older than it looks."""
        return now < self._distrust_until

    def check_pause(self, now: float) -> None:
        """Notice a pause of this process; to be called before any input."""
        if now - self._last_tick > PAUSE_S:
            self._on_pause(now)

    def tick(self, now: float) -> None:
        """Do what is due; to be called some 20 times a second."""
        self.check_pause(now)
        self._last_tick = now
        all_balancers = self._reports_to_all(now)
        self._send_heartbeats(
            self._mesh.heartbeats_due(now, all_balancers=all_balancers), now
        )
        if self._knowledge.expire_evacuations(now):
            self._on_store_change(now)
        self._exchange.pull_alerts(now)
        self._exchange.pull(now)
        self.read_if_due(now)
        if self._budget.ran_dry(now):
            self._reporter.note('control budget dry', **self._budget.spent)
        self._note_age(now)

    def _note_age(self, now: float) -> None:
        old = self._alerts_proof.staleness_change(now)
        if old is None:
            return
        self._reporter.note(
            'alerts may be missing' if old else 'alerts current',
            age_s=round(self._alerts_proof.age_s(now), 2),
            **self._alert_inputs,
            store_failing=self._store.failing,
            **self._flow_inputs,
        )

    def _on_pause(self, now: float) -> None:
        # After a pause everybody looks silent and all knowledge may be old.
        # Acting on it at once would send new flows to servers that left.
        pause_s = now - self._last_tick
        self._last_tick = now
        self._meters.counters['pauses'] += 1
        self._reporter.note(
            'paused', seconds=round(pause_s, 3), **self._flow_inputs
        )
        self._distrust_until = now + RESYNC_S
        self._mesh.on_resume(pause_s)
        self._send_heartbeats(
            self._mesh.heartbeats_due(now, all_balancers=False), now
        )

    def reads_store(self, now: float) -> bool:
        """Tell whether this process should read the store."""
        return self._why_read(now) is not None

    def _why_read(self, now: float) -> readers.ReadReason | None:
        return self._readers.read_reason(now, leaving=self._leaving)

    def read_if_due(self, now: float) -> None:
        """Call the store if this process should and no call is under way."""
        if self._reading.calling:
            return
        why = self._why_read(now)
        self._note_reading(why, now)
        if why is None:
            return
        step = self._reading.next_step(self._knowledge.revision, now)
        if step is None:
            return
        self._meters.counters['store_calls'] += 1
        self._called_at = now
        self._called_knowing = self._knowledge.revision
        if step is read_schedule.Step.READ_ALL:
            self._io.read_all()
        else:
            self._io.watch(self._knowledge.revision)

    def _note_reading(
        self, why: readers.ReadReason | None, now: float
    ) -> None:
        if why is self._reads_because:
            return
        self._reads_because = why
        if why is not None:
            self._meters.counters[f'reads_{why.name.lower()}'] += 1
        self._reporter.note(
            'leaves store to others' if why is None else 'reads store',
            why=why and why.value,
            rank=self._readers.rank,
            proof_age_s=round(self._readers.proof_age_s(now), 2),
            confirmed_ms=self._store.confirmed_ms(now),
            **self._alert_inputs,
            **self._flow_inputs,
        )

    def store_answered(self, changes: records.Changes, now: float) -> None:
        """Take the answer of a call to the store."""
        if changes.upto < self._called_knowing:
            # Taken for an answer, it would count as proof, and the next call
            # would follow at once, again and again.
            self._meters.counters['store_answers_behind'] += 1
            upto, known = changes.upto, self._called_knowing
            self.store_failed(
                f'covers revision {positions.revision(upto)} of era'
                f' {positions.era(upto)}, {positions.revision(known)} of era'
                f' {positions.era(known)} was known',
                now,
            )
            return
        if self._store.record_answer(now):
            self._reporter.note('store regained', **self._flow_inputs)
        changed = self._take(changes, SOURCE_STORE, now)
        self._reading.succeeded(now, changed=changed)
        self.read_if_due(now)

    def store_lost_history(self, now: float) -> None:
        """Note that a watch can't go on from our revision."""
        self._reporter.note('store history lost', **self._flow_inputs)
        self._reading.history_lost(now)
        self.read_if_due(now)

    def store_failed(self, problem: str, now: float) -> None:
        """Note a call to the store without a usable answer."""
        self._meters.counters['store_failures'] += 1
        first = self._store.record_failure(now)
        if first:
            self._reporter.note(
                'store lost', problem=problem, **self._flow_inputs
            )
        # A single lost answer must not cost the whole time that a change has.
        probes = first and not self._readers.store_unreachable(now)
        probes = probes or self._readers.is_prober(now, leaving=self._leaving)
        self._reading.failed(now, is_prober=probes)

    def entry_refused(self, problem: str) -> None:
        """Note an entry of the store that could not be read."""
        self._meters.counters['entries_refused'] += 1
        self._reporter.note('entry refused', problem=problem)

    def _take(self, changes: records.Changes, source: str, now: float) -> bool:
        before = self._knowledge.version
        known = self._knowledge.content_revision
        upto = self._knowledge.revision
        fresh = self._knowledge.apply(changes, now)
        self._note_era(upto, source)
        if not changes.since:
            self._whole_at = now
        # Before others are notified: they take the proof along.
        if source == SOURCE_STORE:
            # A whole read covers what its first page does, not what came
            # while the others were on their way.
            whole = not changes.since
            at = self._called_at if whole else now
            self._alerts_proof.record_answer(at)
            self._version_proof.record_answer(at)
        self._catch_up()
        if not fresh:
            return False
        self._reporter.note(
            'changes in force',
            source=source,
            before=positions.revision(known),
            **self._flow_inputs,
            new_version=self._knowledge.version != before,
            targets=len(self._knowledge.targets),
            entries=len(changes.targets),
            removals=len(changes.removals),
            evacuated=sorted(self._knowledge.evacuated),
        )
        self._note_unnamed()
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

    def _note_era(self, before: int, source: str) -> None:
        """Tell that what is known is of another era of the store.

        :param before: position that was known, 0 for nothing.
        """
        known = self._knowledge.revision
        if not before or positions.same_era(before, known):
            return
        self._meters.counters['store_eras_seen'] += 1
        self._reporter.note(
            'store era',
            source=source,
            before=positions.era(before),
            **self._flow_inputs,
        )

    def _catch_up(self) -> None:
        """Take over the proof that others have of what is known here."""
        self._alerts_proof.adopt_claims(self._knowledge.alerts_upto)
        self._version_proof.adopt_claims(self._knowledge.version)

    def _take_alerts(
        self, alerts: records.Alerts, source: str, now: float
    ) -> None:
        fresh = self._knowledge.apply_alerts(alerts, now)
        self._catch_up()
        if not fresh:
            return
        self._reporter.note(
            'alerts in force',
            source=source,
            alerts=len(alerts.items),
            since=positions.revision(alerts.since),
            upto=positions.revision(alerts.upto),
            evacuated=sorted(self._knowledge.evacuated),
            **self._flow_inputs,
        )
        self._on_store_change(now)
        if self._is_balancer:
            self._notify(NOTIFY_FAN_OUT, now)

    def _notify(self, balancers: int, now: float) -> None:
        """Tell some at once that there is something new for them to ask for.

        Sending it along would bring it to a process as often as it has peers.
        """
        notice = control_budget.Purpose.NOTICE
        if not self._budget.allows(notice, now):
            self._meters.counters['notices_left_out'] += 1
            return
        if self._is_balancer:
            told = self._mesh.to_notify(balancers, now)
        else:
            told = self._mesh.reported_to(now)
        self._send_heartbeats(told, now, purpose=notice)

    def _note_unnamed(self) -> None:
        unnamed = self._knowledge.entries_of_unknown_services
        for identifier in sorted(unnamed - self._unnamed):
            self.entry_refused(f'{identifier}: no such service is configured')
        self._unnamed = unnamed

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
            self._alerts_proof.age_ms(now),
            self._knowledge.version,
            self._version_proof.age_ms(now),
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
            elif envelope.kind == control.KIND_CHANGES:
                self._exchange.on_changes(envelope.body, host, now)
            elif envelope.kind == control.KIND_GET_CHANGES:
                self._exchange.on_changes_request(envelope.body, host, now)
            elif envelope.kind == control.KIND_GET_ALERTS:
                self._exchange.on_alerts_request(envelope.body, host, now)
            elif envelope.kind == control.KIND_ALERTS:
                self._exchange.on_alerts(envelope.body, host, now)
            elif envelope.kind == control.KIND_REFERRAL:
                self._exchange.on_referral(envelope.body, host, now)
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
        self._hear_proof(heartbeat, now)
        if new:
            peer.named_at = 0.0
            self._reporter.note(
                'process heard',
                host=host,
                balancer=heartbeat.is_balancer,
                revision=positions.revision(heartbeat.revision),
                era=positions.era(heartbeat.revision),
            )
            if self._greets(peer, now) and not solicited:
                self._send_heartbeats([peer], now)
        if heartbeat.alerted > self._knowledge.alerts_upto:
            self._exchange.pull_alerts(now, source=host)
        if (
            heartbeat.revision > self._knowledge.content_revision
            or heartbeat.version > self._knowledge.version
        ):
            self._exchange.pull(now)
        self._on_heartbeat(peer, now)

    def _hear_proof(self, heartbeat: control.Heartbeat, now: float) -> None:
        """Take over until when another process knows all of each kind.

        Not of what waited while this process stood still: its age counts from
        when it was sent, and would look younger than an alert that is missing.
        """
        if self.is_resyncing(now):
            return
        self._version_proof.merge_claim(
            heartbeat.version,
            heartbeat.version_age_ms,
            now,
            known=self._knowledge.version,
        )
        known_at = self._alerts_proof.merge_claim(
            heartbeat.alerted,
            heartbeat.alerts_age_ms,
            now,
            known=self._knowledge.alerts_upto,
        )
        if known_at is not None and known_at >= self._whole_at:
            self._knowledge.lower_newest_alert(heartbeat.alerted)

    def _greets(self, peer: peers.Peer, now: float) -> bool:
        """Tell whether a process that is new hears of this one at once."""
        if self._is_balancer:
            return True
        return peer.is_balancer and self._mesh.should_report_to(peer.host, now)
