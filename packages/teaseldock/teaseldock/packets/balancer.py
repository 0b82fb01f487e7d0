"""Choose the destination of each packet that a balancer receives."""

from __future__ import annotations

import collections
import typing

from teaseldock import flow as flows
from teaseldock.packets import candidates
from teaseldock.packets import control
from teaseldock.packets import control_budget
from teaseldock.packets import hints
from teaseldock.packets import load_query
from teaseldock.packets import locating
from teaseldock.packets import mesh
from teaseldock.packets import node
from teaseldock.packets import overflow
from teaseldock.packets import placing
from teaseldock.packets import reporting
from teaseldock.packets import upload_gate

if typing.TYPE_CHECKING:
    from teaseldock.packets import expected_wait
    from teaseldock.packets import packet
    from teaseldock.packets import peer as peers
    from teaseldock.packets import records

#: Packets kept while the balancer holds no store state yet, and the seconds
#: for which they are useful: by then the caller has sent a copy. Refusing them
#: would use up the attempts of callers that reconnect at once; after a loss of
#: power 40 callers did so within the 0.1 s until the store answered.
MAX_EARLY_PACKETS = 512
EARLY_PACKET_TTL_S = 0.2
#: Seconds without a heartbeat of any agent after which some agents are
#: queried, and their number. A balancer that no agent reports to must detect
#: whether it is cut off.
SILENCE_S = 0.5
AGENTS_QUERIED_ON_SILENCE = 3
#: Maximum number of hosts of unknown services that are queried at a change.
MAX_UNNAMED_QUERIED = 100
_SHARE_KEY = b'teaseldock-share'


class Balancer(node.Node):
    """Places new flows, and finds flows that another balancer has placed.

    The location that a balancer stores for a flow is only a hint. A backend
    server that does not hold a flow returns its packets; the balancer then
    queries the agents.
    """

    def __init__(
        self,
        *,
        link_delay_s: typing.Callable[[float], float] | None = None,
        **options: typing.Any,
    ) -> None:
        """Create a balancer; other options as for :class:`node.Node`.

        :param link_delay_s: see :class:`upload_gate.UploadGate`.
        """
        super().__init__(is_balancer=True, **options)
        self._upload_gate = upload_gate.UploadGate(link_delay_s)
        self._hints = hints.Hints()
        self._targets = candidates.Candidates(
            self._knowledge,
            self._mesh,
            self._store,
            data_centre=self._data_centre,
        )
        self._locator = locating.Locator(
            self._targets,
            forward=self._forward,
            log_fields=lambda: self._log_fields,
            control_bytes=self._budget,
            request_changes=self._synchronizer.pull,
            io=self._io,
            reporter=self._reporter,
            meters=self._meters,
        )
        self._load_queries = load_query.LoadQueries()
        self._overflow = overflow.OverflowPolicy(
            self._targets,
            self._knowledge,
            log_fields=lambda: self._log_fields,
            reporter=self._reporter,
            meters=self._meters,
        )
        self._removed: set[tuple[str, int]] = set()
        self._unnamed: set[str] = set()
        self._agent_heard_at = 0.0
        self._silence_query_at = 0.0
        self._early_packets: collections.deque[tuple[packet.Packet, float]] = (
            collections.deque(maxlen=MAX_EARLY_PACKETS)
        )

    @property
    def hinted_flows(self) -> int:
        """Return the number of flows that have a hint."""
        return len(self._hints)

    def ready(self, now: float) -> bool:
        """Tell whether the fabric should send packets here.

        A balancer that is cut off from all agents loses all packets that it
        receives, although the fabric sees it as healthy. Callers' openings
        would time out for as long as the partition lasts.
        """
        if not self._knowledge.usable or self._leaving:
            return False
        if not self._knowledge.targets:
            return True
        return now - self._agent_heard_at <= mesh.HEARTBEAT_TIMEOUT_S

    def _on_heartbeat(self, peer: peers.Peer, now: float) -> None:
        if peer.is_balancer:
            return
        self._on_load_report(peer, now)

    def _on_load_report(self, peer: peers.Peer, now: float) -> None:
        self._agent_heard_at = now
        if peer.reported_at != now:
            # The heartbeat answers a query.
            self._note_answer(peer.host, now)
        for waiting in self._load_queries.answered(peer.host):
            self._place_after_query(waiting, now)

    def _note_answer(self, host: str, now: float) -> None:
        taken_s = self._load_queries.round_trips.note_answer(host, now)
        if taken_s is not None:
            self._meters.time('load_answer', 1000 * taken_s)

    def _on_store_change(self, now: float) -> None:
        self._targets.refresh(now)
        self._query_removed_targets(now)
        self._query_unnamed_hosts(now)
        self._process_early(now)

    def _query_removed_targets(self, now: float) -> None:
        """Query the agents whose entries have just been removed.

        Entries may expire because the store is unreachable. The flows of such
        a server are still open, and would be reset if its agent counted as
        gone.
        """
        removed = {
            item.target.run: item.target.host
            for item in self._knowledge.recently_removed(now)
        }
        for run in removed.keys() - self._removed:
            self._query_load(removed[run], now, detail=0)
        self._removed = set(removed)

    def _query_unnamed_hosts(self, now: float) -> None:
        """Query the hosts whose service has just become unknown.

        Flows may be open at a server whose service the operator has taken out.
        Its agent answers, unlike the address of another writer's entry.
        """
        unnamed = self._knowledge.unnamed_hosts
        new = sorted(unnamed - self._unnamed)
        for host in new[:MAX_UNNAMED_QUERIED]:
            self._meters.counters['unnamed_asked'] += 1
            self._send_query(host, detail=0)
        self._unnamed = set(unnamed)

    def _query_load(
        self, host: str, now: float, *, detail: int = control.SHORT_REPORT
    ) -> None:
        """Query an agent for the load of its server.

        :param detail: 0 for a heartbeat, which also tells the agent's store
            state and holdings.
        """
        self._meters.counters['loads_asked'] += 1
        peer = self._mesh.peers.get(host)
        if peer is not None:
            peer.note_question_sent(now)
            if peer.needs_heartbeat(now):
                detail = 0
        self._load_queries.round_trips.note_query(host, now)
        self._send_query(host, detail)

    def _send_query(self, host: str, detail: int) -> None:
        self._send(
            host,
            control.pack(control.KIND_GET_LOAD, detail, 0, b''),
            control_budget.Purpose.QUESTION,
        )

    def _periodic_tasks(self) -> list[node.PeriodicTask]:
        return [
            *super()._periodic_tasks(),
            self._process_early,
            self._place_overdue,
            self._locator.tick,
            self._query_if_silent,
        ]

    def _place_overdue(self, now: float) -> None:
        """Place the flows whose load queries were not answered in time."""
        for waiting in self._load_queries.overdue(now):
            self._meters.counters['placed_without_answers'] += 1
            self._place_after_query(waiting, now)

    def _query_if_silent(self, now: float) -> None:
        """Query some agents if no heartbeat has arrived for a while.

        Otherwise a balancer that no agent reports to looks cut off.
        """
        if now - max(self._agent_heard_at, self._silence_query_at) < SILENCE_S:
            return
        self._silence_query_at = now
        hosts = sorted(
            {item.host for item in self._knowledge.targets.values()}
        )
        count = min(AGENTS_QUERIED_ON_SILENCE, len(hosts))
        for host in self._random.sample(hosts, count):
            self._query_load(host, now, detail=0)

    def _process_early(self, now: float) -> None:
        if not self._early_packets or self.is_resyncing(now):
            return
        if not self._knowledge.usable:
            return
        for _ in range(len(self._early_packets)):
            item, at = self._early_packets.popleft()
            if now - at < EARLY_PACKET_TTL_S:
                self.on_packet(item, now)

    def on_packet(self, item: packet.Packet, now: float) -> None:
        """Handle a caller's packet from the fabric."""
        self._meters.counters['packets'] += 1
        if not self._knowledge.usable or self.is_resyncing(now):
            self._early_packets.append((item, now))
            return
        route = self._knowledge.route(flows.packed_service_endpoint(item.flow))
        if item.opening:
            self._open(item, route, now)
            return
        hint = self._hints.get(item.flow)
        if hint is not None and hint.expired(now):
            self._drop_hint(item.flow)
            hint = None
        if hint is None and route is None:
            self._meters.counters['dropped_no_route'] += 1
            return
        if hint is None:
            service = self._service_of(route, item.flow)
            hint = self._hints.add(
                item.flow, service, hints.HintState.SEARCHED, now=now
            )
        hint.seen_at = now
        if hint.state is hints.HintState.OPENING:
            # The flow is open; a copy of its opening that still waits must not
            # move it.
            self._load_queries.drop(item.flow)
        if hint.state in (hints.HintState.SEARCHED, hints.HintState.LOST):
            self._search(item, hint, now)
        else:
            self._forward(item, hint)

    def _search(
        self, item: packet.Packet, hint: hints.Hint, now: float
    ) -> None:
        """Search for the flow of a packet, or reset it if it is lost."""
        if hint.is_lost(item, now):
            self._meters.counters['lost_flows_reset'] += 1
            self._locator.reset(item)
            return
        if hint.state is hints.HintState.LOST:
            self._meters.counters['verdicts_expired'] += 1
        self._locator.search(item, hint, now)

    def _drop_hint(self, flow: bytes) -> None:
        """Remove what is assumed of a flow, and its search."""
        self._locator.drop(flow)
        self._hints.drop(flow)

    def _service_of(self, route: records.Route, flow: bytes) -> str:
        """Return the service of a flow; it is the same at every balancer."""
        if len(route.choices) == 1:
            return route.choices[0].service
        total = sum(choice.weight for choice in route.choices)
        point = flows.bucket_of(flow, key=_SHARE_KEY) * total / 256
        for choice in route.choices:
            point -= choice.weight
            if point < 0:
                return choice.service
        return route.choices[-1].service

    def _open(
        self, item: packet.Packet, route: records.Route | None, now: float
    ) -> None:
        if route is None:
            self._refuse(item, 'no route')
            return
        hint = self._hints.get(item.flow)
        if hint is not None and hint.precedes(item, now):
            self._meters.counters['ports_reused'] += 1
            hint = None
        if hint is None:
            link_full = self._upload_gate.refuse(item, route, now)
            if link_full is not None:
                self._meters.counters['refused_link_full'] += 1
                self._refuse(item, 'link full', **link_full._asdict())
                return
        if hint is None or hint.state is not hints.HintState.OPENING:
            service = self._service_of(route, item.flow)
            self._locator.drop(item.flow)
            hint = self._hints.add_opening(item, service, now)
        elif item.acknowledged and hint.host is not None:
            # A copy arrives when nothing has answered for 200 ms: the server
            # is silent or gone, or a packet was lost. Trying another target
            # costs nothing, since the caller accepts one answer only; waiting
            # for a silent target costs the whole attempt.
            hint.tried.append(hint.host)
            self._targets.suspect(hint.host, now)
            self._query_load(hint.host, now)
        hint.seen_at = now
        if item.acknowledged:
            hint.overflow_forbidden = True
        self._place(item, hint, now)

    def _place(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        now: float,
        *,
        group: int = 1,
    ) -> None:
        """Choose the target of a new flow, or query candidates first.

        :param group: number of the group of candidates to consider.
        """
        usable = self._targets.for_new_flow(item.flow, hint, now)
        if not usable and not hint.denied.issuperset(hint.tried):
            # An earlier copy is still on its way to a target that has not
            # denied it. A refusal now could reset the flow just as it opens
            # there.
            hint.tried.clear()
            usable = self._targets.for_new_flow(item.flow, hint, now)
        if not usable and hint.host and hint.host not in hint.denied:
            # Its target may get no more new flows, but may have accepted the
            # earlier copy. A reset now could hit the flow as it opens. The
            # target's agent returns the packet, or its server repeats its
            # acceptance.
            self._meters.counters['copies_followed'] += 1
            self._forward(item, hint)
            return
        if not usable and self._undo_overflow(item, hint):
            self._place(item, hint, now)
            return
        if not usable:
            self._refuse(item, self._targets.refusal_reason(hint.service))
            return
        end = group * placing.CANDIDATES
        members = usable[end - placing.CANDIDATES : end]
        asked = load_query.candidates_to_query(members)
        if asked and self._may_query(now):
            self._query_candidates(item, hint, members, asked, group, now)
            return
        self._place_on_best(item, hint, usable, group, now)

    def _undo_overflow(self, item: packet.Packet, hint: hints.Hint) -> bool:
        """Undo an overflow: use the service that the weights choose.

        :returns: whether the opening's service has changed.
        """
        route = self._knowledge.route(flows.packed_service_endpoint(item.flow))
        if route is None or not hint.overflowed:
            return False
        service = self._service_of(route, item.flow)
        changed = service != hint.service
        hint.move_to(service, overflowed=False)
        return changed

    def _may_query(self, now: float) -> bool:
        question = control_budget.Purpose.QUESTION
        return not self._load_queries.full and self._budget.allows(
            question, now
        )

    def _query_candidates(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        members: list[placing.Candidate],
        asked: list[placing.Candidate],
        group: int,
        now: float,
        *,
        other_services: bool = False,
    ) -> None:
        enough = min(load_query.ENOUGH_ANSWERS, len(members))
        hosts = [member.target.host for member in asked]
        self._load_queries.add(
            load_query.LoadQuery(
                item,
                hint,
                hosts=hosts,
                group=group,
                answers_missing=enough - (len(members) - len(asked)),
                now=now,
                other_services=other_services,
            )
        )
        for host in hosts:
            self._query_load(host, now)

    def _place_after_query(
        self, waiting: load_query.LoadQuery, now: float
    ) -> None:
        """Place a flow after a load query."""
        hint = waiting.hint
        if self._hints.get(waiting.item.flow) is not hint:
            return
        usable = self._targets.for_new_flow(waiting.item.flow, hint, now)
        if not usable:
            self._place(waiting.item, hint, now)
            return
        self._place_on_best(
            waiting.item,
            hint,
            usable,
            waiting.group,
            now,
            other_services_queried=waiting.other_services,
        )

    def _place_on_best(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        usable: list[placing.Candidate],
        group: int,
        now: float,
        *,
        other_services_queried: bool = False,
    ) -> None:
        """Send a new flow to the best of the candidates considered so far.

        Candidates that have just answered take precedence, since the others
        may be gone.

        :param other_services_queried: whether the candidates of the route's
            other services have been queried.
        """
        considered = usable[: group * placing.CANDIDATES]
        wait_s = self._load_queries.round_trips.wait_s
        answered = [
            one for one in considered if load_query.is_fresh(one, wait_s)
        ]
        aim_s = self._targets.aim_s(item.flow)
        chosen = placing.pick(
            answered or considered, data_centre=self._data_centre, aim_s=aim_s
        )
        more = len(usable) > len(considered) and group < load_query.MAX_GROUPS
        more = more and not other_services_queried
        if answered and more and placing.is_loaded(chosen, aim_s=aim_s):
            self._place(item, hint, now, group=group + 1)
            return
        others = self._overflow.others(item, hint, answered, now)
        if not other_services_queried and self._query_other_services(
            item, hint, others, group, now
        ):
            return
        chosen = (
            self._overflow.choose(
                item, hint, answered, others, now, wait_s=wait_s
            )
            or chosen
        )
        self._overflow.note_placed(hint, now)
        self._send_to_target(
            item,
            hint,
            chosen,
            candidate_count=len(usable),
            answer_count=len(answered),
            now=now,
        )

    def _send_to_target(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        chosen: placing.Candidate,
        *,
        candidate_count: int,
        answer_count: int,
        now: float,
    ) -> None:
        """Record the placement of a new flow, and forward its opening."""
        hint.host = chosen.target.host
        self._targets.note_placed(chosen.target, now)
        self._meters.counters['placed'] += 1
        self._reporter.note(
            'placed',
            flow=reporting.flow_text(item.flow),
            copy=item.acknowledged,
            target=chosen.target.identifier,
            host=chosen.target.host,
            load=chosen.reported,
            load_age_ms=round(chosen.age_s * 1000),
            **self._note_expected_wait(chosen.wait),
            candidates=candidate_count,
            answered=answer_count,
            **self._log_fields,
        )
        self._forward(item, hint)

    def _note_expected_wait(
        self, wait: expected_wait.ExpectedWait | None
    ) -> dict[str, typing.Any]:
        """Record the expected wait of a flow; return its log fields."""
        if wait is None:
            return {'expected_wait_ms': None, 'service_ms': None}
        self._meters.time('expected_wait', wait.start_s * 1000)
        return {
            'expected_wait_ms': round(wait.start_s * 1000),
            'service_ms': round(wait.service_s * 1000),
        }

    def _query_other_services(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        others: list[list[placing.Candidate]],
        group: int,
        now: float,
    ) -> bool:
        """Query candidates of other services; tell whether any was."""
        members: list[placing.Candidate] = []
        asked: list[placing.Candidate] = []
        for one in others:
            stale = load_query.candidates_to_query(one)
            if stale:
                members += one
                asked += stale
        if not asked or not self._may_query(now):
            return False
        self._query_candidates(
            item, hint, members, asked, group, now, other_services=True
        )
        return True

    def _refuse(
        self, item: packet.Packet, why: str, **inputs: typing.Any
    ) -> None:
        """Reset a flow that is not open; none of its requests has run.

        :param inputs: further inputs of the decision, for the log line.
        """
        self._meters.counters['refused'] += 1
        hint = self._hints.get(item.flow)
        denied = len(hint.denied) if hint else 0
        self._drop_hint(item.flow)
        self._load_queries.drop(item.flow)
        self._reporter.note(
            'refused',
            flow=reporting.flow_text(item.flow),
            why=why,
            denied=denied,
            **inputs,
            **self._log_fields,
        )
        self._io.reset_caller(item)

    def _forward(self, item: packet.Packet, hint: hints.Hint) -> None:
        if hint.host is None:
            self._meters.counters['dropped_no_target'] += 1
            return
        self._io.to_process(
            hint.host,
            control.pack(control.KIND_PACKET, 0, hint.tag, item.raw),
        )

    def _on_envelope(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        if envelope.kind == control.KIND_LOCATED:
            flow = control.read_located(envelope.body).flow
            hint = self._hints.get(flow)
            if hint is not None:
                self._locator.on_located(envelope, hint, host, now)
            return
        if envelope.kind == control.KIND_RELAYED:
            result = control.read_relay_result(envelope.body)
            hint = self._hints.get(result.flow)
            if hint is not None:
                self._locator.on_relayed(envelope, result, hint, now)
            return
        if envelope.kind == control.KIND_MOVED:
            self._on_moved(envelope, host)
            return
        if envelope.kind != control.KIND_RETURNED:
            self._meters.counters['dropped_not_for_balancer'] += 1
            return
        item = self._io.read_packet(envelope.body)
        hint = self._hints.get(item.flow)
        if hint is None:
            self._meters.counters['dropped_returned'] += 1
            return
        if item.opening:
            self._on_returned_opening(item, hint, host, now)
            return
        if envelope.detail != control.ReturnReason.OTHER_SERVICE:
            # An agent of another service has not looked for the flow.
            hint.note_denial(item, host, now)
        self._on_returned(item, hint, host, now)

    def _on_moved(self, envelope: control.Envelope, host: str) -> None:
        """Follow an opening that its target has handed off to another.

        A message that comes late is harmless: an agent that doesn't hold the
        flow returns its next packet, and a search follows.
        """
        hint = self._hints.get(control.read_moved(envelope.body))
        if (
            hint is None
            or hint.state is not hints.HintState.OPENING
            or hint.tag != envelope.tag
            or host in hint.denied
        ):
            self._meters.counters['moves_ignored'] += 1
            return
        self._meters.counters['moves_followed'] += 1
        hint.host = host

    def _on_returned_opening(
        self, item: packet.Packet, hint: hints.Hint, host: str, now: float
    ) -> None:
        """Place a new flow elsewhere that its target has refused."""
        opens = hint.state is hints.HintState.OPENING
        if not opens or hint.precedes(item, now):
            # The flow has opened since, or the port opens another one.
            self._meters.counters['dropped_returned'] += 1
            return
        hint.denied.add(host)
        if hint.host is not None and hint.host != host:
            # Another copy may be on its way to the target chosen since.
            return
        if not hint.overflow_forbidden:
            self._undo_overflow(item, hint)
        self._place(item, hint, now)

    def _on_returned(
        self, item: packet.Packet, hint: hints.Hint, host: str, now: float
    ) -> None:
        """Search for a flow that its target does not hold."""
        if hint.host is not None and hint.host != host:
            self._forward(item, hint)
            return
        self._search(item, hint, now)
