"""Find or place the flows of owned buckets and forward their packets."""

from __future__ import annotations

import typing

from teaseldock import directory
from teaseldock import flow as flows
from teaseldock import messages
from teaseldock import placement
from teaseldock import proxy_header

if typing.TYPE_CHECKING:
    from teaseldock import context
    from teaseldock import holder
    from teaseldock import table

#: Times that agents forward a packet before it is dropped as looping.
MAX_HOPS = 4
#: Bytes of a ``Locate`` message and its answer.
LOCATE_BYTES = 150


class Owner:
    """Route the flows of the buckets of one service that this agent owns."""

    def __init__(
        self,
        shared: context.Context,
        service: table.ServiceTable,
        held: holder.Holder,
        loads: placement.LoadView,
        *,
        now: float,
    ) -> None:
        """Create an owner without buckets."""
        self._shared = shared
        self._service = service
        self._holder = held
        self._loads = loads
        self._directory = directory.Directory(now)

    @property
    def entries(self) -> int:
        """Return the number of flows of owned buckets that others hold."""
        return len(self._directory)

    @property
    def searching(self) -> int:
        """Return the number of searches in progress."""
        return len(self._directory.searches)

    def refresh(self, service: table.ServiceTable, now: float) -> None:
        """Apply a changed view."""
        self._service = service
        own = self._shared.name
        owned = {
            bucket
            for bucket in range(flows.BUCKET_COUNT)
            if self._shared.view.owner(service, bucket) == own
        }
        peers = self._shared.view.peers(service)
        self._directory.set_owned(owned, peers, now)

    def forward_packet(
        self, packet: proxy_header.Packet, name: str, role: proxy_header.Role
    ) -> list[messages.Action]:
        """Send a packet to another agent of the service."""
        if packet.hops >= MAX_HOPS:
            # Agents with different views would forward a packet in a loop.
            self._shared.counters['dropped_hops'] += 1
            return []
        endpoint = self._shared.view.endpoint(name)
        if endpoint is None:
            self._shared.counters['dropped_no_endpoint'] += 1
            return []
        sent = packet._replace(
            role=role,
            hops=packet.hops + 1,
            generation=self._shared.view.generation,
        )
        return [messages.ToAgent(endpoint.host, endpoint.port, sent)]

    def on_packet(
        self, packet: proxy_header.Packet, now: float
    ) -> list[messages.Action]:
        """Handle a packet of a flow that is not held here."""
        bucket = flows.bucket_of(packet.flow, key=self._shared.keys.flow_hash)
        owner = self._shared.view.owner(self._service, bucket)
        newer = packet.generation > self._shared.view.generation
        if owner not in (None, self._shared.name) and not newer:
            return self.forward_packet(packet, owner, _role_to_owner(packet))
        if packet.role == proxy_header.Role.RETURNED:
            # The entry may name a target that was leaving before it took the
            # flow. Each packet would loop until the hop limit drops it.
            self._directory.remove_holder(packet.flow)
        known = self._directory.holder_of(packet.flow)
        if known is not None and not self._shared.view.is_dead(known):
            return self.forward_packet(packet, known, proxy_header.Role.HOLDER)
        if known is not None:
            self._directory.remove_holder(packet.flow)
        peers = self._shared.view.peers(self._service)
        to_ask = self._directory.peers_to_ask(bucket, peers, now)
        if to_ask and self._holder.answers_challenge(packet):
            # The flow's holder would forward the request to its challenger,
            # too. Waiting here for silent peers would last until the caller
            # retransmits.
            return self._holder.deliver(packet, now)
        if to_ask:
            return self._search(packet, bucket, to_ask, now)
        return self._place(packet, now)

    def _search(
        self,
        packet: proxy_header.Packet,
        bucket: int,
        peers: set[str],
        now: float,
    ) -> list[messages.Action]:
        begun = self._directory.search(packet, bucket, peers, now)
        if begun is None:
            return []
        self._shared.counters['searches'] += 1
        return self._send_locate(packet.flow, begun, now)

    def _send_locate(
        self, flow: bytes, search: directory.Search, now: float
    ) -> list[messages.Action]:
        """Query the peers that have not answered, if the budget has room.

        In a partition peers are silent for seconds, and every flow from the
        other side needs a search.
        """
        if not self._shared.budget.has_room(now):
            return []
        search.rounds += 1
        self._shared.budget.spend(LOCATE_BYTES * len(search.unanswered))
        message = messages.Locate(
            self._shared.name, self._service.number, flow
        )
        actions: list[messages.Action] = []
        for name in sorted(search.unanswered):
            actions += self._shared.view.to_peer(name, message)
        return actions

    def on_located(
        self, message: messages.Located, now: float
    ) -> list[messages.Action]:
        """Handle a peer's answer to a search."""
        search = self._directory.searches.get(message.flow)
        if search is None:
            return []
        if message.held:
            return self._on_found(message.flow, message.sender)
        search.unanswered.discard(message.sender)
        if search.unanswered:
            return []
        return self._place_packets(message.flow, now)

    def _on_found(self, flow: bytes, name: str) -> list[messages.Action]:
        self._directory.set_holder(flow, name)
        actions: list[messages.Action] = []
        for packet in self._directory.finish_search(flow):
            actions += self.forward_packet(
                packet, name, proxy_header.Role.HOLDER
            )
        return actions

    def _place_packets(self, flow: bytes, now: float) -> list[messages.Action]:
        actions: list[messages.Action] = []
        for packet in self._directory.finish_search(flow):
            if flow in self._holder.flows:
                actions += self._holder.deliver(packet, now)
                continue
            known = self._directory.holder_of(flow)
            if known is not None:
                role = proxy_header.Role.HOLDER
                actions += self.forward_packet(packet, known, role)
                continue
            actions += self._place(packet, now)
        return actions

    def _place(
        self, packet: proxy_header.Packet, now: float
    ) -> list[messages.Action]:
        """Choose the holder of a new flow."""
        excluded = self._shared.view.excluded
        name = self._shared.name
        if name in self._service.weights:
            name = self._loads.choose_for_flow(
                self._holder.load(now),
                lambda other: other not in excluded,
                now,
            )
        self._shared.counters['flows_placed'] += 1
        if name == self._shared.name:
            self._holder.add_flow(packet.flow)
            return self._holder.deliver(packet, now)
        self._loads.record_sent(name, now, weight=0.0)
        self._directory.set_holder(packet.flow, name)
        return self.forward_packet(packet, name, proxy_header.Role.PLACED)

    def on_announce(
        self, message: messages.Announce, now: float
    ) -> list[messages.Action]:
        """Record the flows that a peer holds."""
        buckets = set(flows.unpack_buckets(message.complete))
        self._directory.confirm(message.sender, buckets, now)
        elsewhere = [
            flow
            for flow in message.flows
            if not self._record_holder(
                flow, message.sender, message.taken_over
            )
        ]
        answer = messages.Announced(
            self._shared.name, self._service.number, message.batch, elsewhere
        )
        return [
            *self._shared.view.to_peer(message.sender, answer),
            *self._end_searches(message.sender, buckets, now),
        ]

    def _end_searches(
        self, name: str, buckets: set[int], now: float
    ) -> list[messages.Action]:
        """Use a peer's complete announcement as its answer to searches.

        The peer has announced all its flows of these buckets. Separate
        queries would delay callers for seconds while the control budget is
        spent.
        """
        actions: list[messages.Action] = []
        for flow, search in list(self._directory.searches.items()):
            if search.bucket not in buckets:
                continue
            search.unanswered.discard(name)
            known = self._directory.holder_of(flow)
            if known is not None:
                actions += self._on_found(flow, known)
            elif not search.unanswered:
                actions += self._place_packets(flow, now)
        return actions

    def _record_holder(self, flow: bytes, name: str, taken_over: bool) -> bool:
        """Record a holder unless another live target holds the flow.

        :returns: whether the given instance is now the recorded holder.
        """
        if flow in self._holder.flows:
            return False
        known = self._directory.holder_of(flow)
        if known not in (None, name) and not taken_over:
            if known not in self._shared.view.excluded:
                return False
        self._directory.set_holder(flow, name)
        return True

    def record_move(self, flow: bytes, name: str) -> None:
        """Record the new holder of a flow that was held here."""
        bucket = flows.bucket_of(flow, key=self._shared.keys.flow_hash)
        owner = self._shared.view.owner(self._service, bucket)
        if owner == self._shared.name:
            self._directory.set_holder(flow, name)

    def remove_entry(self, flow: bytes) -> None:
        """Remove the entry of a flow that is now held here."""
        self._directory.remove_holder(flow)

    def tick(self, now: float) -> list[messages.Action]:
        """Query silent peers again and place flows that are not found."""
        actions: list[messages.Action] = []
        for flow, search in self._directory.due_searches(now):
            alive = set(self._shared.view.peers(self._service))
            search.unanswered &= alive
            if search.rounds >= directory.SEARCH_ROUNDS:
                search.unanswered.clear()
            if search.unanswered:
                actions += self._send_locate(flow, search, now)
            else:
                actions += self._place_packets(flow, now)
        self._directory.expire(now)
        return actions


def _role_to_owner(packet: proxy_header.Packet) -> proxy_header.Role:
    """Return the role of a packet that is forwarded to the owner.

    ``RETURNED`` marks the owner's entry as wrong.
    """
    if packet.role == proxy_header.Role.OWNER:
        return proxy_header.Role.OWNER
    return proxy_header.Role.RETURNED
