"""Make the decisions of the agent beside a backend server."""

from __future__ import annotations

import typing

from teaseldock import flow as flows
from teaseldock.packets import admission
from teaseldock.packets import control
from teaseldock.packets import control_budget
from teaseldock.packets import handing_on
from teaseldock.packets import holdings
from teaseldock.packets import locate_responder
from teaseldock.packets import node
from teaseldock.packets import relaying
from teaseldock.packets import reporting
from teaseldock.packets import searching
from teaseldock.packets import tracking
from teaseldock.packets import warming

if typing.TYPE_CHECKING:
    from teaseldock import load
    from teaseldock.packets import dispatching
    from teaseldock.packets import packet
    from teaseldock.packets import records

#: Seconds between two searches for tracked flows that have expired.
SWEEP_INTERVAL_S = 1.0
#: Minimum idle timeout of an open flow, in seconds: the users' requirements
#: state 15. An agent that has run for longer has seen a packet of every flow.
MIN_IDLE_TIMEOUT_S = 15.0
#: If the store still returns the previous run of the server this many seconds
#: after the agent's start, the next run started after the agent: a server
#: writes its first entry within one heartbeat of 1.2 s, and a change reaches
#: all processes in 1.3 s, including one retransmission.
RUN_CONFIRMATION_S = 3.0
_NO_TOKEN = bytes(4)


class Agent(node.Node):
    """Forward packets between balancers, one backend server and callers."""

    def __init__(
        self, *, service: str, port: int, now: float, **options: typing.Any
    ) -> None:
        """Create an agent without flows.

        Other options are those of :class:`node.Node`.

        :param service: the only service whose packets are accepted.
        :param port: port of the backend server on this instance.
        """
        super().__init__(is_balancer=False, now=now, **options)
        self._service = service
        self._port = port
        self._tag = control.service_tag(service)
        self._tracker = tracking.Tracker(now)
        self._warming = warming.ColdLimiter(now)
        self._was_evacuated = False
        self._admission = admission.Admission(
            self._tracker,
            self._knowledge,
            self._warming,
            to_server=self._to_server,
            log_fields=lambda: self._log_fields,
            reporter=self._reporter,
            meters=self._meters,
            now=now,
        )
        self._server_run: tuple[str, int] | None = None
        self._saw_server_start = False
        self._began = now
        self._responder = locate_responder.LocateResponder(
            self._tracker,
            self._tag,
            layout_revision=lambda: self._knowledge.layout_revision,
            other_hosts=self._knowledge.overwritten_hosts,
            send=self._send_search,
        )
        self._relay = relaying.Relay(self._send_search, self._meters)
        self._hand_off = handing_on.HandOff(
            service,
            self._host,
            known=self._knowledge,
            tracker=self._tracker,
            admitted=self._admission,
            refuses=lambda now: self._refusal_reason(now) is not None,
            is_behind=self._is_behind,
            control_bytes=self._budget,
            log_fields=lambda: self._log_fields,
            io=self._io,
            reporter=self._reporter,
            meters=self._meters,
            randomness=self._random,
            now=now,
        )
        self._sweep_at = now
        self._own_target: records.Target | None = None
        self._accepting = True

    @property
    def tracker(self) -> tracking.Tracker:
        """Return the tracker of the backend server's flows."""
        return self._tracker

    @property
    def has_no_requests(self) -> bool:
        """Return whether every request has been answered."""
        return not self._tracker.asked

    @property
    def own_target(self) -> records.Target | None:
        """Return the entry of the backend server on this instance."""
        return self._own_target

    def _select_own_target(self) -> records.Target | None:
        """Return the newest entry for the server beside this process.

        A restarted server has two entries until the older one expires.
        """
        entries = [
            target
            for target in self._knowledge.of_service(self._service)
            if target.host == self._host and target.port == self._port
        ]
        return max(entries, key=lambda item: item.revision, default=None)

    def _send_search(self, host: str, datagram: bytes) -> None:
        self._send(host, datagram, control_budget.Purpose.SEARCH)

    def _reports_to_all(self, now: float) -> bool:
        """Return whether all balancers must receive the heartbeats.

        Balancers query the servers that have an entry and those that a route
        names. They depend on this agent's heartbeats if the server's entry
        expired during a store outage, if the operator has taken its service
        out, or if the server holds flows of a route that now names another
        service.
        """
        if self._own_target is None and self._knowledge.usable:
            known = self._knowledge.is_configured(self._service)
            if self._server_run is not None or not known:
                return True
        return bool(self._holdings(now).moved)

    def _server_load(self, now: float) -> load.Load:
        server_load = self._tracker.load(self._admission.slots, now)
        if self._refusal_reason(now) is not None:
            server_load = server_load._replace(accepting=False)
        return server_load

    def _failing_percent(self, now: float) -> int:
        return round(100 * self._admission.failing(now))

    def _holdings(self, now: float) -> holdings.Holdings:
        moved = [
            address
            for address in self._tracker.addresses
            if self._is_routed_elsewhere(address)
        ]
        return holdings.make_holdings(
            self._tag, moved, all_flows_seen=self._all_flows_seen(now)
        )

    def _is_routed_elsewhere(self, address: bytes) -> bool:
        return self._service not in self._knowledge.services_of(address)

    @property
    def queue(self) -> dispatching.RequestQueue:
        """Return the queue of running and waiting requests."""
        return self._admission.queue

    def _on_store_change(self, now: float) -> None:
        previous = self._own_target
        target = self._own_target = self._select_own_target()
        self._update_warming(now)
        if target is None:
            # The entry has expired; keep the number of slots.
            if previous is not None:
                self._send_heartbeats(self._mesh.balancers(), now)
            return
        self._admission.set_slots(target.slots)
        if target.run == self._server_run:
            return
        if self._server_run is not None:
            self._on_restart(self._server_run, target)
        self._server_run = target.run

    def _update_warming(self, now: float) -> None:
        configuration = self._knowledge.configuration
        if configuration is not None:
            limit = configuration.cold_limit(self._service)
            self._warming.set_limit(limit)
        if self._own_target is not None:
            self._warming.update_entry(self._own_target, now)
        evacuated = self._is_evacuated()
        if self._was_evacuated and not evacuated:
            self._warming.assume_cold(now)
        self._was_evacuated = evacuated

    def _is_evacuated(self) -> bool:
        target = self._own_target
        data_centre = target.data_centre if target else self._data_centre
        return data_centre in self._knowledge.evacuated

    def _on_restart(
        self, previous: tuple[str, int], target: records.Target
    ) -> None:
        """Drop the requests of the previous run of the server.

        The agent has seen all flows of the new run only if it started before
        that run. An agent that starts shortly after its server may receive
        the entry of the previous run first. Without this check it would
        answer that live flows are not held.
        """
        seen = self._store.confirmed_after(self._began + RUN_CONFIRMATION_S)
        self._saw_server_start = self._saw_server_start or seen
        self._reporter.note(
            'server restarted',
            before=previous,
            target=target.run,
            seen=seen,
            dropped=self.queue.running + self.queue.waiting,
            flows=self._tracker.flows,
            **self._log_fields,
        )
        self._admission.clear()
        self._tracker.server_restarted()

    def _all_flows_seen(self, now: float) -> bool:
        """Return whether the agent has seen a packet of every flow held.

        An agent that started after its server may not have seen flows that
        have been idle since. If it answered that they are not held, they
        would be reset.
        """
        if self._saw_server_start:
            return True
        return now - self._began > self._idle_s()

    def _idle_s(self) -> float:
        """Return the idle timeout of open flows, in seconds.

        An agent that dropped a flow earlier would answer that it is not held,
        and idle flows would be reset. The operator may change the timeout; a
        shorter one ends no flow that the server still holds.
        """
        configuration = self._knowledge.configuration
        if configuration is None:
            return MIN_IDLE_TIMEOUT_S
        return max(MIN_IDLE_TIMEOUT_S, configuration.idle_timeout_ms / 1000)

    def _periodic_tasks(self) -> list[node.PeriodicTask]:
        return [
            *super()._periodic_tasks(),
            self._admission.tick,
            self._relay.tick,
            self._hand_off.tick,
            self._sweep_flows,
        ]

    def _sweep_flows(self, now: float) -> None:
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_INTERVAL_S
            self._tracker.sweep(now, idle_s=self._idle_s())

    def _heartbeat(self, now: float) -> control.Heartbeat:
        heartbeat = super()._heartbeat(now)
        self._report_accepting(heartbeat.server_load, now)
        return heartbeat

    def _report_accepting(self, server_load: load.Load, now: float) -> None:
        if server_load.accepting == self._accepting:
            return
        self._accepting = server_load.accepting
        self._reporter.note(
            'takes new flows' if self._accepting else 'takes no new flows',
            leaving=self._leaving,
            responsive=self._tracker.responsive(now),
            **self._log_fields,
        )

    def _on_envelope(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        if envelope.kind == control.KIND_PACKET:
            self._on_caller_packet(envelope, host, now)
        elif envelope.kind == control.KIND_LOCATE:
            self._responder.on_locate(
                envelope, host, now, all_flows_seen=self._all_flows_seen(now)
            )
        elif envelope.kind == control.KIND_PROBE:
            self._on_probe(envelope, host, now)
        elif envelope.kind == control.KIND_GET_LOAD:
            self._on_get_load(envelope, host, now)
        elif envelope.kind == control.KIND_LOCATED:
            self._relay.on_located(envelope, host)
        elif envelope.kind == control.KIND_RELAY:
            request = control.read_relay_request(envelope)
            item = self._io.read_packet(request.raw)
            self._relay.begin(
                request, item.flow, host, now, acknowledged=item.acknowledged
            )
        elif envelope.kind == control.KIND_AVAILABLE:
            self._hand_off.on_available(envelope, host, now)
        elif envelope.kind == control.KIND_HANDED_ON:
            self._on_handed_on(envelope, host, now)
        elif envelope.kind == control.KIND_MOVED:
            self._hand_off.on_moved(envelope, host)
        else:
            self._meters.counters['dropped_not_for_agent'] += 1

    def _on_get_load(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        """Send the server's load to a balancer that is placing a flow."""
        self._mesh.add_balancer(host, now)
        if envelope.detail == control.SHORT_REPORT:
            answer = control.pack_load_report(self._load_report(now))
        else:
            answer = control.pack_heartbeat(
                self._heartbeat(now), solicited=True
            )
        self._send(host, answer, control_budget.Purpose.QUESTION)

    def _load_report(self, now: float) -> control.LoadReport:
        server_load = self._server_load(now)
        self._report_accepting(server_load, now)
        return control.LoadReport(
            server_load,
            self._admission.expected_wait(now).start_s,
            self._admission.measured_service_s or 0.0,
            self._failing_percent(now),
            self._leaving,
        )

    def _is_behind(self, now: float) -> bool:
        """Tell whether datagrams may have waited while this process paused."""
        paused = now - self._last_tick > handing_on.NOTICE_TTL_S
        return paused or self.is_resyncing(now)

    def _on_handed_on(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        """Handle an opening that another agent has handed to this one.

        The balancer is told before the opening is returned to it: it ignores
        openings that are returned by another agent than it chose.
        """
        opening = control.read_handed_on(envelope.body)
        item = self._io.read_packet(opening.raw)
        if envelope.tag != self._tag or not item.opening:
            self._meters.counters['dropped_handed_on'] += 1
            return
        passed_on = self._hand_off.pass_on(
            item,
            opening.balancer,
            now,
            sender=host,
            hand_offs=opening.hand_offs,
        )
        refused = not passed_on and self._refusal_reason(now) is not None
        refused = refused and not self._tracker.half_open(item.flow)
        self._hand_off.send_receipt(item.flow, host, now, refused=refused)
        if passed_on:
            return
        self._hand_off.announce_moved(item.flow, opening.balancer, now)
        if not refused:
            self._meters.counters['taken_over'] += 1
        self._on_caller_packet(
            envelope._replace(kind=control.KIND_PACKET, body=opening.raw),
            opening.balancer,
            now,
            handed_on=True,
        )

    def _on_caller_packet(
        self,
        envelope: control.Envelope,
        host: str,
        now: float,
        *,
        handed_on: bool = False,
    ) -> None:
        """Handle a caller's packet.

        :param host: the balancer that sent it.
        :param handed_on: whether it is an opening that another agent handed
            off and this one keeps.
        """
        self._meters.counters['packets_in'] += 1
        if envelope.tag != self._tag:
            # The address has been reassigned to another service. Without this
            # check a balancer with the old entry would send callers to the
            # wrong service, visible only in the log of the wrong server.
            self._return_packet(
                envelope.body,
                envelope.tag,
                host,
                control.ReturnReason.OTHER_SERVICE,
            )
            return
        item = self._io.read_packet(envelope.body)
        if item.opening and not handed_on:
            if self._hand_off.pass_on(item, host, now):
                return
        refusal = self._refusal_reason(now) if item.opening else None
        if refusal is not None and not self._tracker.half_open(item.flow):
            # A copy of an opening that the server has accepted is forwarded.
            # If it were returned, a balancer without another target would
            # reset the flow while it opens here.
            self._return_packet(item.raw, self._tag, host, refusal)
            self._log_returned_packet(item, host, refusal)
            return
        if not item.opening and not self._tracker.belongs(item):
            # Keep tracking the flow: without the server's initial sequence
            # number, the agent would forward the flow's next packet, and the
            # server would reset the flow.
            self._log_returned_packet(
                item, host, control.ReturnReason.NOT_HELD
            )
            self._return_packet(
                item.raw, self._tag, host, control.ReturnReason.NOT_HELD
            )
            return
        if item.opening:
            self._warming.note_opening(now)
        if self._admission.hold_if_waiting(item, host, now):
            return
        self._to_server(item, host)

    def _to_server(self, item: packet.Packet, host: str) -> None:
        self._io.to_server(item, bytes(map(int, host.split('.'))))

    def _on_probe(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        """Forward a probe packet, unless tracking already gives the answer.

        The server's reaction shows whether it holds the flow. The packet is
        not queued for a slot.
        """
        item = self._io.read_packet(envelope.body)
        if not self._responder.on_probe(item, host, now):
            return
        self._admission.note_unqueued(item, now)
        self._to_server(item, host)

    def _refusal_reason(self, now: float) -> control.ReturnReason | None:
        """Return why new flows are refused, or None if they are accepted."""
        target = self._own_target
        if self._leaving or (target is not None and target.draining):
            return control.ReturnReason.LEAVING
        if self._is_evacuated():
            return control.ReturnReason.EVACUATED
        if self._warming.openings_left(now) == 0:
            return control.ReturnReason.COLD
        return None

    def _log_returned_packet(
        self, item: packet.Packet, host: str, reason: control.ReturnReason
    ) -> None:
        self._meters.counters[f'given_back_{reason.name.lower()}'] += 1
        self._reporter.note(
            'given back',
            flow=reporting.flow_text(item.flow),
            opening=item.opening,
            to=host,
            why=reason.name.lower(),
            flows=self._tracker.flows,
            **self._log_fields,
        )

    def _return_packet(
        self, raw: bytes, tag: int, host: str, reason: control.ReturnReason
    ) -> None:
        self._io.to_process(
            host, control.pack(control.KIND_RETURNED, reason, tag, raw)
        )

    def on_server_packet(self, item: packet.Packet, now: float) -> None:
        """Handle a packet that the backend server sent."""
        if item.returned:
            self._on_returned(item, now)
            return
        if item.resetting and self._tracker.is_stray_reset(item):
            self._on_stray_reset(item, now)
            return
        self._meters.counters['packets_out'] += 1
        self._io.to_caller(item)
        if not item.accepting:
            # An acceptance repeats what the server said to another packet.
            self._responder.answer_probe(
                item.flow, searching.LocateResult.HELD, now
            )
        address = flows.packed_service_endpoint(item.flow)
        address_known = address in self._tracker.addresses
        asked = self._tracker.asked
        self._admission.from_server(item, now)
        if self._tracker.asked < asked:
            self._hand_off.notify_if_free(now)
        if not address_known and self._is_routed_elsewhere(address):
            # A balancer with an old configuration opened the flow. Others
            # query this agent only after its next heartbeat, so send one now.
            self._send_heartbeats(self._mesh.balancers(), now)

    def _on_stray_reset(self, item: packet.Packet, now: float) -> None:
        self._meters.counters['resets_kept_back'] += 1
        self._reporter.note(
            'reset kept back',
            flow=reporting.flow_text(item.flow),
            why='the server never showed that it holds the flow',
            **self._log_fields,
        )
        self._admission.drop(item.flow, now)
        self._tracker.mark_not_held(item.flow, now)
        self._responder.answer_probe(
            item.flow, searching.LocateResult.NOT_HELD, now
        )

    def _on_returned(self, item: packet.Packet, now: float) -> None:
        self._admission.note_returned(item, now)
        if self._responder.answer_probe(
            item.flow,
            searching.LocateResult.NOT_HELD,
            now,
            acknowledged=item.acknowledged,
        ):
            return
        host = '.'.join(map(str, item.token))
        if item.token == _NO_TOKEN:
            self._meters.counters['dropped_returned'] += 1
            return
        self._log_returned_packet(item, host, control.ReturnReason.NOT_HELD)
        self._return_packet(
            self._io.original(item),
            self._tag,
            host,
            control.ReturnReason.NOT_HELD,
        )
