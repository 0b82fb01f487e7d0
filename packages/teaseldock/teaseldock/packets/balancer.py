"""Decide for a balancer where each packet of a caller goes."""

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
from teaseldock.packets import placing
from teaseldock.packets import reporting

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet
    from teaseldock.packets import peer as peers
    from teaseldock.packets import records

#: Openings kept while nothing is known of the store yet, and the seconds that
#: they stay useful: by then the caller has sent a copy. Refusing them would
#: use up the tries of callers that come back at once; after a loss of power
#: 40 did so within the 0.1 s that it takes to hear from the store.
MAX_EARLY_PACKETS = 512
EARLY_PACKET_TTL_S = 0.2
#: Seconds without a word of any agent after which some are asked, and how
#: many: a balancer that no agent reports to must know whether it is cut off.
QUIET_S = 0.5
ASKED_WHEN_QUIET = 3
_SHARE_KEY = b'teaseldock-share'


class Balancer(node.Node):
    """Place new flows, and find flows that another balancer has placed.

    What a balancer remembers of a flow is a hint. A backend server that
    doesn't hold a flow returns its packets; the agents are then asked.
    """

    def __init__(self, **options: typing.Any) -> None:
        """Start without any flow; options as for :class:`node.Node`."""
        super().__init__(is_balancer=True, **options)
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
            inputs=lambda: self._flow_inputs,
            control_bytes=self._budget,
            catch_up=self._exchange.pull,
            io=self._io,
            reporter=self._reporter,
            meters=self._meters,
        )
        self._load_queries = load_query.LoadQueries()
        self._vanished: set[tuple[str, int]] = set()
        self._agent_heard_at = 0.0
        self._asked_quiet_at = 0.0
        self._early: collections.deque[tuple[packet.Packet, float]] = (
            collections.deque(maxlen=MAX_EARLY_PACKETS)
        )

    @property
    def hinted_flows(self) -> int:
        """Return of how many flows the place is remembered."""
        return len(self._hints)

    def ready(self, now: float) -> bool:
        """Tell whether the fabric should send packets here.

        A balancer that is cut off from all agents loses whatever it gets,
        while it looks healthy to the fabric; callers would notice openings
        that time out for as long as the cut lasts.
        """
        if not self._knowledge.usable or self._leaving:
            return False
        if not self._knowledge.targets:
            return True
        return now - self._agent_heard_at <= mesh.HEARTBEAT_TIMEOUT_S

    def _on_heartbeat(self, peer: peers.Peer, now: float) -> None:
        if peer.is_balancer:
            return
        self._agent_heard_at = now
        for waiting in self._load_queries.answered(peer.host):
            self._place_asked(waiting, now)

    def _on_store_change(self, now: float) -> None:
        self._targets.refresh(now)
        self._ask_vanished(now)
        self._serve_early(now)

    def _ask_vanished(self, now: float) -> None:
        """Ask agents whose entries have gone whether they are still there.

        Entries may expire for want of the store; the flows of such a server
        live, and would be reset if its agent counted as gone.
        """
        vanished = {
            item.target.run: item.target.host
            for item in self._knowledge.recently_removed(now)
        }
        for run in vanished.keys() - self._vanished:
            self._ask(vanished[run], now)
        self._vanished = set(vanished)

    def _ask(self, host: str, now: float) -> None:
        """Ask an agent how busy its server is."""
        self._meters.counters['loads_asked'] += 1
        peer = self._mesh.peers.get(host)
        if peer is not None:
            peer.note_question_sent(now)
        self._send(
            host,
            control.pack(control.KIND_GET_LOAD, 0, 0, b''),
            control_budget.Purpose.QUESTION,
        )

    def tick(self, now: float) -> None:
        """Do what is due."""
        super().tick(now)
        self._serve_early(now)
        for waiting in self._load_queries.overdue(now):
            self._meters.counters['placed_without_answers'] += 1
            self._place_asked(waiting, now)
        self._locator.tick(now)
        self._keep_in_touch(now)

    def _keep_in_touch(self, now: float) -> None:
        """Ask some agents if none has been heard for a while.

        Without it a balancer that no agent reports to looks cut off.
        """
        if now - max(self._agent_heard_at, self._asked_quiet_at) < QUIET_S:
            return
        self._asked_quiet_at = now
        hosts = sorted(
            {item.host for item in self._knowledge.targets.values()}
        )
        count = min(ASKED_WHEN_QUIET, len(hosts))
        for host in self._random.sample(hosts, count):
            self._ask(host, now)

    def _serve_early(self, now: float) -> None:
        if not self._early or self.is_resyncing(now):
            return
        if not self._knowledge.usable:
            return
        early = list(self._early)
        self._early.clear()
        for item, at in early:
            if now - at < EARLY_PACKET_TTL_S:
                self.on_packet(item, now)

    def on_packet(self, item: packet.Packet, now: float) -> None:
        """Handle a caller's packet from the fabric."""
        self._meters.counters['packets'] += 1
        if not self._knowledge.usable or self.is_resyncing(now):
            self._early.append((item, now))
            return
        route = self._knowledge.route(flows.packed_service_endpoint(item.flow))
        if item.opening:
            self._open(item, route, now)
            return
        hint = self._hints.get(item.flow)
        if hint is None and route is None:
            self._meters.counters['dropped_no_route'] += 1
            return
        if hint is None:
            service = self._service_of(route, item.flow)
            hint = self._hints.add(
                item.flow, service, hints.HintState.SEARCHED
            )
        if hint.state is hints.HintState.OPENING:
            # It has opened; a copy that still waits must not move it.
            self._load_queries.drop(item.flow)
        if hint.state is hints.HintState.SEARCHED:
            self._locator.search(item, hint, now)
        elif hint.state is hints.HintState.LOST:
            self._locator.reset(item)
        else:
            self._forward(item, hint)

    def _service_of(self, route: records.Route, flow: bytes) -> str:
        """Return the service of a flow; the same at every balancer."""
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
        if hint is None or hint.state is not hints.HintState.OPENING:
            service = self._service_of(route, item.flow)
            hint = self._hints.add(item.flow, service, hints.HintState.OPENING)
        elif item.acknowledged and hint.host is not None:
            # A copy comes when nothing has answered for 200 ms: the server is
            # silent or gone, or a packet was lost. Asking another one costs
            # nothing, since the caller takes one answer; waiting for a silent
            # one costs the whole attempt.
            hint.tried.append(hint.host)
            self._targets.suspect(hint.host, now)
            self._ask(hint.host, now)
        self._place(item, hint, now)

    def _place(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        now: float,
        *,
        group: int = 1,
    ) -> None:
        """Choose the target of a new flow, or ask candidates first.

        :param group: number of the group of candidates to look at.
        """
        usable = self._targets.for_new_flow(item.flow, hint, now)
        if not usable and not hint.denied.issuperset(hint.tried):
            # An earlier copy is still under way to one that has not said no.
            # A refusal now could meet the flow just as it opens there.
            hint.tried.clear()
            usable = self._targets.for_new_flow(item.flow, hint, now)
        if not usable and hint.host and hint.host not in hint.denied:
            # Its target may get no new flows any more, but may have accepted
            # the earlier copy. A reset now would meet the flow as it opens;
            # that agent tells, or its server repeats its acceptance.
            self._meters.counters['copies_followed'] += 1
            self._forward(item, hint)
            return
        if not usable:
            self._refuse(item, self._targets.refusal_reason(hint.service))
            return
        end = group * placing.CANDIDATES
        members = usable[end - placing.CANDIDATES : end]
        asked = load_query.candidates_to_query(members)
        if asked and self._may_ask(now):
            self._inquire(item, hint, members, asked, group, now)
            return
        self._settle(item, hint, usable, group, now)

    def _may_ask(self, now: float) -> bool:
        question = control_budget.Purpose.QUESTION
        return not self._load_queries.full and self._budget.allows(
            question, now
        )

    def _inquire(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        members: list[placing.Candidate],
        asked: list[placing.Candidate],
        group: int,
        now: float,
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
            )
        )
        for host in hosts:
            self._ask(host, now)

    def _place_asked(self, waiting: load_query.LoadQuery, now: float) -> None:
        """Place a flow by the answers of its candidates."""
        hint = waiting.hint
        if self._hints.get(waiting.item.flow) is not hint:
            return
        usable = self._targets.for_new_flow(waiting.item.flow, hint, now)
        if not usable:
            self._place(waiting.item, hint, now)
            return
        self._settle(waiting.item, hint, usable, waiting.group, now)

    def _settle(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        usable: list[placing.Candidate],
        group: int,
        now: float,
    ) -> None:
        """Send a new flow to the best of the candidates looked at so far.

        Those that have just answered come first: who did not may be gone.
        """
        looked = usable[: group * placing.CANDIDATES]
        answered = [one for one in looked if load_query.is_fresh(one)]
        chosen = placing.pick(
            answered or looked, data_centre=self._data_centre
        )
        more = len(usable) > len(looked) and group < load_query.MAX_GROUPS
        if answered and more and placing.is_loaded(chosen):
            self._place(item, hint, now, group=group + 1)
            return
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
            candidates=len(usable),
            answered=len(answered),
            **self._flow_inputs,
        )
        self._forward(item, hint)

    def _refuse(self, item: packet.Packet, why: str) -> None:
        """Reset a flow that is not open: nothing of it has run."""
        self._meters.counters['refused'] += 1
        hint = self._hints.get(item.flow)
        denied = len(hint.denied) if hint else 0
        self._hints.drop(item.flow)
        self._load_queries.drop(item.flow)
        self._reporter.note(
            'refused',
            flow=reporting.flow_text(item.flow),
            why=why,
            denied=denied,
            **self._flow_inputs,
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
            outcome = control.read_relay_result(envelope.body)
            hint = self._hints.get(outcome.flow)
            if hint is not None:
                self._locator.on_relayed(envelope, outcome, hint, now)
            return
        if envelope.kind != control.KIND_RETURNED:
            self._meters.counters['dropped_not_for_balancer'] += 1
            return
        item = self._io.read_packet(envelope.body)
        hint = self._hints.get(item.flow)
        if hint is None:
            self._meters.counters['dropped_returned'] += 1
            return
        self._on_returned(item, hint, host, now)

    def _on_returned(
        self, item: packet.Packet, hint: hints.Hint, host: str, now: float
    ) -> None:
        """Look elsewhere for a flow whose target does not hold it."""
        if hint.state is hints.HintState.LOST:
            self._locator.reset(item)
            return
        hint.denied.add(host)
        moved = hint.host is not None and hint.host != host
        if item.opening:
            # Another copy may be under way to the target chosen since.
            if not moved:
                self._place(item, hint, now)
            return
        if moved:
            self._forward(item, hint)
            return
        self._locator.search(item, hint, now)
