"""Decide for the process beside a backend server."""

from __future__ import annotations

import enum
import typing

from teaseldock import flow as flows
from teaseldock.packets import admission
from teaseldock.packets import control
from teaseldock.packets import control_budget
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

#: Seconds between two looks for flows that have ended unseen.
SWEEP_S = 1.0
#: Seconds for which an open flow may be idle, at the least: the users' sheets
#: name 15. Once an agent is older, it has seen a packet of every flow.
FLOW_IDLE_S = 15.0
#: Seconds between an agent's start and an answer of the store that still names
#: the former run of its server, so that the next run began after the agent:
#: a server writes its first entry within a heartbeat of 1.2 s, and changes
#: reach everybody in 1.3 s with one repetition.
RUN_CONFIRMED_S = 3.0
_NO_TOKEN = bytes(4)


class Reason(enum.IntEnum):
    """Why a packet went back to the balancer."""

    NOT_HELD = 0
    OTHER_SERVICE = 1
    LEAVING = 2
    EVACUATED = 3
    COLD = 4


class Agent(node.Node):
    """Pass packets between balancers, one backend server and callers."""

    def __init__(
        self, *, service: str, port: int, now: float, **options: typing.Any
    ) -> None:
        """Start without flows; other options as for :class:`node.Node`.

        :param service: the only service whose packets are taken.
        :param port: of the backend server on this instance.
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
            inputs=lambda: self._flow_inputs,
            reporter=self._reporter,
            meters=self._meters,
            now=now,
        )
        self._served_run: tuple[str, int] | None = None
        self._saw_server_start = False
        self._began = now
        self._responder = locate_responder.LocateResponder(
            self._tracker,
            self._tag,
            layout_revision=lambda: self._knowledge.layout_revision,
            send=self._send_search,
        )
        self._relay = relaying.Relay(self._send_search, self._meters)
        self._sweep_at = now
        self._own_target: records.Target | None = None
        self._accepting = True

    @property
    def tracker(self) -> tracking.Tracker:
        """Return what packets show of the backend server."""
        return self._tracker

    @property
    def has_no_requests(self) -> bool:
        """Tell whether no request waits for its answer."""
        return not self._tracker.asked

    @property
    def own_target(self) -> records.Target | None:
        """Return the entry of the backend server on this instance."""
        return self._own_target

    def _find_own_target(self) -> records.Target | None:
        """Return the newest entry for the server beside this process.

        A server that has restarted stands there twice until its former entry
        expires; the newer one counts.
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
        """Tell whether all balancers must know of the flows held here.

        They ask the servers that have an entry, and those that a route names.
        A server whose entry has expired for want of the store, or that holds
        flows of a route that now goes elsewhere, is known by its agent alone.
        """
        if self._served_run is not None and self._own_target is None:
            return True
        return bool(self._holdings(now).moved)

    def _server_load(self, now: float) -> load.Load:
        current = self._tracker.load(self._admission.slots, now)
        if self._refusal_reason(now) is not None:
            current = current._replace(accepting=False)
        return current

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
        """Return the requests at the backend server and those that wait."""
        return self._admission.queue

    def _on_store_change(self, now: float) -> None:
        before = self._own_target
        target = self._own_target = self._find_own_target()
        self._update_warming(now)
        if target is None:
            # Its entry expired; the slots stay what they were.
            if before is not None:
                self._send_heartbeats(self._mesh.balancers(), now)
            return
        self._admission.set_slots(target.slots)
        if target.run == self._served_run:
            return
        if self._served_run is not None:
            self._on_restart(self._served_run, target)
        self._served_run = target.run

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
        self, before: tuple[str, int], target: records.Target
    ) -> None:
        """Start anew with another run of the server: it has nothing of before.

        The agent knows all flows of the new run only if it began before it.
        An agent that started a moment after its server, and heard of the
        former run first, would deny flows that live.
        """
        seen = self._store.confirmed_after(self._began + RUN_CONFIRMED_S)
        self._saw_server_start = self._saw_server_start or seen
        self._reporter.note(
            'server restarted',
            before=before,
            target=target.run,
            seen=seen,
            dropped=self.queue.running + self.queue.waiting,
            flows=self._tracker.flows,
            **self._flow_inputs,
        )
        self._admission.clear()
        self._tracker.server_restarted()

    def _all_flows_seen(self, now: float) -> bool:
        """Tell whether every flow of the server has shown itself here.

        An agent that is younger than its server may hold flows that were
        silent since; denying them would get them reset.
        """
        if self._saw_server_start:
            return True
        return now - self._began > self._idle_s()

    def _idle_s(self) -> float:
        """Return the longest time for which an open flow may be idle.

        An agent that forgot a flow sooner would deny it, and callers would
        see flows reset that were merely quiet. The operator may change the
        timeout; a shorter one ends no flow that its server still keeps.
        """
        configuration = self._knowledge.configuration
        if configuration is None:
            return FLOW_IDLE_S
        return max(FLOW_IDLE_S, configuration.idle_timeout_ms / 1000)

    def tick(self, now: float) -> None:
        """Do what is due."""
        super().tick(now)
        self._admission.tick(now)
        self._relay.tick(now)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_S
            self._tracker.sweep(now, idle_s=self._idle_s())

    def _heartbeat(self, now: float) -> control.Heartbeat:
        heartbeat = super()._heartbeat(now)
        if heartbeat.server_load.accepting != self._accepting:
            self._accepting = heartbeat.server_load.accepting
            self._reporter.note(
                'takes new flows' if self._accepting else 'takes no new flows',
                leaving=self._leaving,
                responsive=self._tracker.responsive(now),
                **self._flow_inputs,
            )
        return heartbeat

    def _on_envelope(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        if envelope.kind == control.KIND_PACKET:
            self._on_caller_packet(envelope, host, now)
        elif envelope.kind == control.KIND_LOCATE:
            self._responder.on_locate(
                envelope, host, all_flows_seen=self._all_flows_seen(now)
            )
        elif envelope.kind == control.KIND_PROBE:
            self._on_probe(envelope, host, now)
        elif envelope.kind == control.KIND_GET_LOAD:
            self._on_ask(host, now)
        elif envelope.kind == control.KIND_LOCATED:
            self._relay.on_located(envelope, host)
        elif envelope.kind == control.KIND_RELAY:
            errand = control.read_relay_request(envelope)
            flow = self._io.read_packet(errand.raw).flow
            self._relay.begin(errand, flow, host, now)
        else:
            self._meters.counters['dropped_not_for_agent'] += 1

    def _on_ask(self, host: str, now: float) -> None:
        """Tell a balancer that is about to place a flow how busy it is."""
        self._mesh.add_balancer(host, now)
        self._send(
            host,
            control.pack_heartbeat(self._heartbeat(now), solicited=True),
            control_budget.Purpose.QUESTION,
        )

    def _on_caller_packet(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        self._meters.counters['packets_in'] += 1
        if envelope.tag != self._tag:
            # The address was given to another service. Without this check a
            # balancer with the old entry would bring callers to the wrong
            # service; it would show in the wrong server's log.
            self._give_back(
                envelope.body, envelope.tag, host, Reason.OTHER_SERVICE
            )
            return
        item = self._io.read_packet(envelope.body)
        refusal = self._refusal_reason(now) if item.opening else None
        if refusal is not None and not self._tracker.half_open(item.flow):
            # A copy of an opening that the server has accepted goes on to it.
            # Given back, the balancer that finds no other target would reset
            # the flow, which opens here at that moment.
            self._give_back(item.raw, self._tag, host, refusal)
            self._note_given_back(item, host, refusal)
            return
        if not item.opening and not self._tracker.belongs(item):
            # The flow stays known: an agent that forgot its server's number
            # would let the server judge the next packet of it, by a reset.
            self._note_given_back(item, host, Reason.NOT_HELD)
            self._give_back(item.raw, self._tag, host, Reason.NOT_HELD)
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
        """Let the server show whether it holds the flow of a packet.

        The packet doesn't wait for a slot.
        """
        item = self._io.read_packet(envelope.body)
        if not self._responder.on_probe(item, host):
            return
        self._admission.note_unqueued(item, now)
        self._to_server(item, host)

    def _refusal_reason(self, now: float) -> Reason | None:
        """Return why the server gets no new flows, or None."""
        target = self._own_target
        if self._leaving or (target is not None and target.draining):
            return Reason.LEAVING
        if self._is_evacuated():
            return Reason.EVACUATED
        if self._warming.openings_left(now) == 0:
            return Reason.COLD
        return None

    def _note_given_back(
        self, item: packet.Packet, host: str, reason: Reason
    ) -> None:
        self._meters.counters[f'given_back_{reason.name.lower()}'] += 1
        self._reporter.note(
            'given back',
            flow=reporting.flow_text(item.flow),
            opening=item.opening,
            to=host,
            why=reason.name.lower(),
            flows=self._tracker.flows,
            **self._flow_inputs,
        )

    def _give_back(
        self, raw: bytes, tag: int, host: str, reason: Reason
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
        self._responder.answer_probe(item.flow, searching.LocateResult.HELD)
        address = flows.packed_service_endpoint(item.flow)
        known = address in self._tracker.addresses
        self._admission.from_server(item, now)
        if not known and self._is_routed_elsewhere(address):
            # Opened by a balancer that lags. Others ask here only if they
            # hear of it, which must not wait for the next heartbeat.
            self._send_heartbeats(self._mesh.balancers(), now)

    def _on_stray_reset(self, item: packet.Packet, now: float) -> None:
        self._meters.counters['resets_kept_back'] += 1
        self._reporter.note(
            'reset kept back',
            flow=reporting.flow_text(item.flow),
            why='the server never showed that it holds the flow',
            **self._flow_inputs,
        )
        self._admission.drop(item.flow, now)
        self._tracker.mark_not_held(item.flow, now)
        self._responder.answer_probe(
            item.flow, searching.LocateResult.NOT_HELD
        )

    def _on_returned(self, item: packet.Packet, now: float) -> None:
        self._admission.note_returned(item.flow, now)
        if self._responder.answer_probe(
            item.flow, searching.LocateResult.NOT_HELD
        ):
            return
        host = '.'.join(map(str, item.token))
        if item.token == _NO_TOKEN:
            self._meters.counters['dropped_returned'] += 1
            return
        self._note_given_back(item, host, Reason.NOT_HELD)
        self._give_back(
            self._io.original(item), self._tag, host, Reason.NOT_HELD
        )
