"""Decide for a balancer where each packet of a caller goes."""

from __future__ import annotations

import collections
import enum
import typing

from teaseldock import budget
from teaseldock import flow as flows
from teaseldock.packets import control
from teaseldock.packets import mesh
from teaseldock.packets import node
from teaseldock.packets import placing
from teaseldock.packets import records
from teaseldock.packets import reporting
from teaseldock.packets import searching

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet

#: Flows of which a balancer remembers where they are; about 500 bytes each.
FLOWS_REMEMBERED = 40_000
#: Seconds between two heartbeats of a balancer.
#: Openings kept while nothing is known of the store yet, and the seconds that
#: they stay useful: by then the caller has sent a copy. Refusing them would
#: use up the tries of callers that come back at once; after a loss of power
#: 40 did so within the 0.1 s that it takes to hear from the store.
EARLY_KEPT = 512
EARLY_S = 0.2
HEARTBEAT_INTERVAL_S = mesh.BALANCER_INTERVAL_S
_SHARE_KEY = b'teaseldock-share'


class Place(enum.Enum):
    """What a balancer believes of a flow."""

    OPENING = 'opening'
    HINTED = 'hinted'
    SEARCHED = 'searched'
    LOST = 'lost'


class Entry:
    """Where a balancer sends the packets of one flow."""

    __slots__ = (
        'target',
        'tried',
        'denied',
        'place',
        'service',
        'search',
        'seen_at',
    )

    def __init__(self, service: str, place: Place, now: float) -> None:
        """Start without a target."""
        self.target: records.Target | None = None
        # Hosts that an opening was sent to, in vain so far.
        self.tried: list[str] = []
        # Hosts whose backend server returned a packet of the flow.
        self.denied: set[str] = set()
        self.place = place
        self.service = service
        self.search: searching.Search | None = None
        self.seen_at = now


class Balancer(node.Node):
    """Place new flows, and find flows that another balancer has placed.

    What a balancer remembers of a flow is a hint. The truth lies with the
    backend servers: one that doesn't hold a flow returns its packets, and the
    balancer then tries the next in the flow's rank.
    """

    def __init__(self, **options: typing.Any) -> None:
        """Start without any flow; options as for :class:`node.Node`."""
        super().__init__(is_balancer=True, **options)
        self._flows: collections.OrderedDict[bytes, Entry] = (
            collections.OrderedDict()
        )
        self._placed: dict[str, collections.deque[float]] = {}
        self._first_seen: dict[str, float] = {}
        self._early: collections.deque[tuple[packet.Packet, float]] = (
            collections.deque(maxlen=EARLY_KEPT)
        )
        self._suspected: dict[str, float] = {}
        self._searched: dict[bytes, Entry] = {}
        self._ask_budget = budget.Budget(
            bytes_per_s=searching.BYTES_PER_S,
            burst_bytes=searching.BYTES_AT_ONCE,
        )

    def ready(self, now: float) -> bool:
        """Tell whether the fabric should send packets here.

        A balancer that is cut off from all agents loses whatever it gets,
        while it looks healthy to the fabric; callers would notice openings
        that time out for as long as the cut lasts.
        """
        if not self._knowledge.usable or self._leaving:
            return False
        agents = self._mesh.agents()
        return not agents or any(not agent.silent(now) for agent in agents)

    @property
    def flows_remembered(self) -> int:
        """Return of how many flows the place is remembered."""
        return len(self._flows)

    def _heartbeat_interval(self) -> float:
        return HEARTBEAT_INTERVAL_S

    def _on_knowledge(self, now: float) -> None:
        known = self._knowledge.targets
        for identifier in known:
            self._first_seen.setdefault(identifier, now)
        for identifier in list(self._first_seen):
            if identifier not in known:
                del self._first_seen[identifier]
                self._placed.pop(identifier, None)
        self._serve_early(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        super().tick(now)
        self._serve_early(now)
        self._search_on(now)

    def _serve_early(self, now: float) -> None:
        if not self._early or self.distrusts(now):
            return
        if not self._knowledge.usable:
            return
        early = list(self._early)
        self._early.clear()
        for item, at in early:
            if now - at < EARLY_S:
                self.on_packet(item, now)

    def on_packet(self, item: packet.Packet, now: float) -> None:
        """Handle a caller's packet from the fabric."""
        self._meters.counters['packets'] += 1
        if not self._knowledge.usable or self.distrusts(now):
            self._early.append((item, now))
            return
        route = self._knowledge.route(flows.service_of(item.flow))
        if item.opening:
            self._open(item, route, now)
            return
        entry = self._flows.get(item.flow)
        if entry is None:
            if route is None:
                self._meters.counters['dropped_no_route'] += 1
                return
            entry = self._remember(
                item.flow, self._service_of(route, item.flow), now
            )
            entry.place = Place.SEARCHED
        entry.seen_at = now
        if entry.place is Place.SEARCHED:
            self._search(item, entry, now)
        elif entry.place is Place.LOST:
            self._reset(item)
        else:
            self._forward(item, entry, now)

    def _remember(self, flow: bytes, service: str, now: float) -> Entry:
        entry = Entry(service, Place.OPENING, now)
        self._flows[flow] = entry
        self._flows.move_to_end(flow)
        if len(self._flows) > FLOWS_REMEMBERED:
            self._flows.popitem(last=False)
        return entry

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
            self._refuse(item, 'no route', now)
            return
        entry = self._flows.get(item.flow)
        if entry is None or entry.place is not Place.OPENING:
            service = self._service_of(route, item.flow)
            entry = self._remember(item.flow, service, now)
        elif item.acknowledged and entry.target is not None:
            # A copy comes when nothing has answered for 200 ms: the server is
            # silent or gone, or a packet was lost. Asking another one costs
            # nothing, since the caller takes one answer; waiting for a silent
            # one costs the whole attempt.
            entry.tried.append(entry.target.host)
            self._suspected[entry.target.host] = now
        self._place(item, entry, now)

    def _place(self, item: packet.Packet, entry: Entry, now: float) -> None:
        candidates = self._candidates(entry, now)
        if not candidates and not entry.denied.issuperset(entry.tried):
            # An earlier copy is still under way to one that has not said no.
            # A refusal now could meet the flow just as it opens there.
            entry.tried.clear()
            candidates = self._candidates(entry, now)
        chosen = placing.choose(
            item.flow,
            candidates,
            data_centre=self._data_centre,
            bulky=self._near(item.flow) is not None,
        )
        if chosen is None:
            self._refuse(item, 'no target', now)
            return
        entry.target = chosen.target
        placed = self._placed.setdefault(
            chosen.target.identifier, collections.deque(maxlen=64)
        )
        placed.append(now)
        self._meters.counters['placed'] += 1
        self._reporter.note(
            'placed',
            flow=reporting.flow_text(item.flow),
            copy=item.acknowledged,
            target=chosen.target.identifier,
            host=chosen.target.host,
            load=chosen.reported,
            load_age_ms=round(chosen.age_s * 1000),
            candidates=len(candidates),
            **self._flow_inputs,
        )
        self._forward(item, entry, now)

    def _refuse(self, item: packet.Packet, why: str, now: float) -> None:
        self._meters.counters['refused'] += 1
        self._flows.pop(item.flow, None)
        self._reporter.note(
            'refused',
            flow=reporting.flow_text(item.flow),
            why=why,
            **self._flow_inputs,
        )
        self._outlet.reset_caller(item)

    def _candidates(self, entry: Entry, now: float) -> list[placing.Candidate]:
        """Return the targets that may get a new flow."""
        usable = [
            self._candidate(target, now)
            for target in self._placeable(entry.service, now)
            if target.host not in entry.tried
            and target.host not in entry.denied
        ]
        heard = [
            item
            for item in usable
            if item.reported is None or item.reported.accepting
        ]
        return heard or usable

    def _placeable(self, service: str, now: float) -> list[records.Target]:
        targets = [
            target
            for target in self._knowledge.of_service(service)
            if not target.draining
        ]
        if self._mesh.recent_outage(now):
            targets += [
                target
                for target in self._knowledge.lapsed_of(service, now)
                if not self._is_silent(target, now)
            ]
        alive = [
            target for target in targets if not self._is_silent(target, now)
        ]
        return alive or targets

    def _is_silent(self, target: records.Target, now: float) -> bool:
        peer = self._mesh.peers.get(target.host)
        if peer is None or peer.leaving or peer.silent(now):
            return True
        # An opening that had to be repeated is the first sign of a dead
        # instance; it is believed until the next heartbeat disproves it.
        suspected_at = self._suspected.get(target.host, 0.0)
        return suspected_at > (peer.heard_at or 0.0)

    def _candidate(
        self, target: records.Target, now: float
    ) -> placing.Candidate:
        peer = self._mesh.peers.get(target.host)
        heartbeat = peer.heartbeat if peer else None
        reported_at = now
        if peer is not None and peer.heard_at is not None:
            reported_at = peer.heard_at
        placed = self._placed.get(target.identifier, ())
        shown = reported_at - placing.UNREPORTED_S
        first_seen = self._first_seen.get(target.identifier, now)
        return placing.Candidate(
            target,
            heartbeat.server_load if heartbeat else None,
            now - reported_at,
            sum(1 for at in placed if at > shown),
            (now - first_seen) * 1000 < target.warmup_ms,
        )

    def _forward(self, item: packet.Packet, entry: Entry, now: float) -> None:
        if entry.target is None:
            self._meters.counters['dropped_no_target'] += 1
            return
        self._outlet.to_process(
            entry.target.host,
            control.pack(
                control.KIND_PACKET,
                0,
                control.service_tag(entry.service),
                item.raw,
            ),
        )

    def _near(self, flow: bytes) -> str | None:
        """Return the data centre that a flow should stay in, if any."""
        route = self._knowledge.route(flows.service_of(flow))
        if route is None or route.kind != records.RequestKind.UPLOAD:
            return None
        return self._data_centre

    def _holders(
        self, flow: bytes, entry: Entry, now: float
    ) -> list[records.Target]:
        """Return the targets that may hold a flow, the likeliest first."""
        targets = placing.ranked(
            flow,
            self._knowledge.of_service(entry.service),
            near=self._near(flow),
        )
        targets.sort(key=lambda target: target.host not in entry.tried)
        # A target without an entry and without an agent is gone for good.
        targets += [
            item.target
            for item in self._knowledge.vanished_of(entry.service, now)
            if not self._is_silent(item.target, now)
        ]
        return [item for item in targets if item.host not in entry.denied]

    def _search(self, item: packet.Packet, entry: Entry, now: float) -> None:
        """Keep a packet, and ask who holds its flow."""
        holders = self._holders(item.flow, entry, now)
        hosts = list(dict.fromkeys(target.host for target in holders))
        if entry.search is None or entry.search.stale(now):
            self._meters.counters['searches'] += 1
            entry.search = searching.Search(hosts, now)
            self._searched[item.flow] = entry
        entry.search.restrict(hosts)
        entry.search.keep(item)
        self._ask(item.flow, entry, now)

    def _ask(self, flow: bytes, entry: Entry, now: float) -> None:
        search = entry.search
        if search is None or search.probe is None:
            return
        if search.over:
            self._give_up(flow, entry, search)
            return
        for host in search.due(now):
            if not self._ask_budget.has_room(now):
                self._meters.counters['questions_delayed'] += 1
                return
            search.asked(host, now)
            self._ask_host(host, control.KIND_LOCATE, entry, flow)

    def _ask_host(
        self, host: str, kind: int, entry: Entry, body: bytes
    ) -> None:
        self._meters.counters['asked'] += 1
        datagram = control.pack(
            kind, 0, control.service_tag(entry.service), body
        )
        self._ask_budget.spend(len(datagram) + searching.HEADER_BYTES)
        self._outlet.to_process(host, datagram)

    def _give_up(
        self, flow: bytes, entry: Entry, search: searching.Search
    ) -> None:
        """Reset a flow that nobody holds, so that its caller comes again."""
        entry.place = Place.LOST
        entry.search = None
        self._searched.pop(flow, None)
        self._meters.counters['flows_lost'] += 1
        self._reporter.note(
            'flow lost',
            flow=reporting.flow_text(flow),
            asked=len(search.denied),
            denied_before=len(entry.denied),
            **self._flow_inputs,
        )
        for item in search.take_packets()[-1:]:
            self._reset(item)

    def _reset(self, item: packet.Packet) -> None:
        if not item.resetting:
            self._outlet.reset_caller(item)

    def _on_located(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        """Take an agent's answer to a search."""
        flow = envelope.body
        entry = self._flows.get(flow)
        if entry is None or entry.search is None:
            return
        if envelope.detail == searching.Holding.NOT_HELD:
            entry.search.deny(host)
            self._ask(flow, entry, now)
            return
        if envelope.detail == searching.Holding.UNSURE:
            probe = entry.search.probe
            if probe is not None:
                self._ask_host(host, control.KIND_PROBE, entry, probe.raw)
            return
        for target in self._holders(flow, entry, now):
            if target.host == host:
                self._found(flow, entry, target, now)
                return

    def _found(
        self, flow: bytes, entry: Entry, target: records.Target, now: float
    ) -> None:
        search = entry.search
        entry.target = target
        entry.place = Place.HINTED
        entry.search = None
        self._searched.pop(flow, None)
        self._reporter.note(
            'flow found',
            flow=reporting.flow_text(flow),
            host=target.host,
            target=target.identifier,
            **self._flow_inputs,
        )
        for item in search.take_packets() if search else []:
            self._forward(item, entry, now)

    def _search_on(self, now: float) -> None:
        """Ask those again that have not answered, and end old searches."""
        for flow, entry in list(self._searched.items()):
            if entry.search is None or entry.search.stale(now):
                del self._searched[flow]
                continue
            self._ask(flow, entry, now)

    def _on_envelope(
        self, envelope: control.Envelope, host: str, now: float
    ) -> None:
        if envelope.kind == control.KIND_LOCATED:
            self._on_located(envelope, host, now)
            return
        if envelope.kind != control.KIND_RETURNED:
            self._meters.counters['dropped_not_for_balancer'] += 1
            return
        item = self._outlet.read_packet(envelope.body)
        entry = self._flows.get(item.flow)
        if entry is None:
            self._meters.counters['dropped_returned'] += 1
            return
        if item.opening:
            self._reopen(item, entry, host, now)
            return
        self._on_returned(item, entry, host, now)

    def _on_returned(
        self, item: packet.Packet, entry: Entry, host: str, now: float
    ) -> None:
        """Look elsewhere for a flow whose target doesn't hold it."""
        if entry.place is Place.LOST:
            self._reset(item)
            return
        entry.denied.add(host)
        if entry.target is not None and entry.target.host == host:
            entry.target = None
            entry.place = Place.SEARCHED
        if entry.place is Place.SEARCHED:
            self._search(item, entry, now)
            return
        self._forward(item, entry, now)

    def _reopen(
        self, item: packet.Packet, entry: Entry, host: str, now: float
    ) -> None:
        """Place a flow anew whose target did not take it."""
        entry.denied.add(host)
        if entry.target is None or entry.target.host == host:
            self._place(item, entry, now)
