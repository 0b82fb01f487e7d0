"""Combine owner, holder and drain of one service at one instance."""

from __future__ import annotations

import typing

from teaseldock import announcer
from teaseldock import drain
from teaseldock import holder
from teaseldock import load as loads
from teaseldock import messages
from teaseldock import owner
from teaseldock import placement
from teaseldock import proxy_header

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base
    from teaseldock import context
    from teaseldock import inventory
    from teaseldock import table


class Target:
    """One instance that serves one service."""

    def __init__(
        self,
        shared: context.Context,
        service: table.ServiceTable,
        rules: inventory.Service,
        *,
        slots: int,
        now: float,
    ) -> None:
        """Create a target without flows.

        :param rules: the service's entry in the rules.
        :param slots: requests that the local server runs at once.
        """
        self._shared = shared
        self._service = service
        self._leaving = False
        self._loads = placement.LoadView(
            own=shared.name,
            weights=service.weights,
            randomness=shared.randomness,
        )
        self._holder = holder.Holder(
            shared, service, self._loads, slots=slots, now=now
        )
        self._owner = owner.Owner(
            shared, service, self._holder, self._loads, now=now
        )
        self._drain = drain.Drain(shared, service, self._holder, self._loads)
        self._announcer = announcer.Announcer(shared, service, self._holder)
        self.refresh(service, rules, slots=slots, now=now)

    @property
    def service(self) -> table.ServiceTable:
        """Return the service's table."""
        return self._service

    @property
    def holder(self) -> holder.Holder:
        """Return the holder of flows."""
        return self._holder

    @property
    def leaving(self) -> bool:
        """Return whether this target refuses new work."""
        return self._leaving

    @property
    def drained(self) -> bool:
        """Return whether this target can stop without breaking a flow."""
        alone = not self._shared.view.peers(self._service)
        return self._holder.idle and (alone or not self._drain.flows_left)

    def status(self, now: float) -> dict[str, typing.Any]:
        """Return figures for the status page."""
        current = self._holder.load(now)
        return {
            'service': self._service.name,
            'leaving': self._leaving,
            'flows': current.flows,
            'feeds': len(self._holder.feeds),
            'running': current.running,
            'queued': current.queued,
            'slots': current.slots,
            'server_up': self._holder.server_up,
            'directory_entries': self._owner.entries,
            'searching': self._owner.searching,
            'announcements_waiting': self._announcer.waiting,
        }

    def refresh(
        self,
        service: table.ServiceTable,
        rules: inventory.Service,
        *,
        slots: int,
        now: float,
    ) -> None:
        """Apply changed rules or membership."""
        self._service = service
        self._loads.set_weights(service.weights)
        self._holder.configure(service, rules, slots=slots)
        self._drain.set_service(service)
        self._owner.refresh(service, now)
        self._announcer.refresh(service, now)
        own = self._shared.name
        leaving = (
            own in self._shared.view.excluded or own not in service.weights
        )
        self._set_leaving(leaving)

    def _set_leaving(self, leaving: bool) -> None:
        if self._leaving and not leaving:
            self._drain.stop()
        self._leaving = leaving
        self._holder.set_accepting(not leaving)

    def withdraw(self) -> None:
        """Start leaving because the rules no longer list this target."""
        self._set_leaving(True)

    def on_packet(
        self, packet: proxy_header.Packet, now: float
    ) -> list[messages.Action]:
        """Handle a caller's packet."""
        if packet.role == proxy_header.Role.CHALLENGER:
            return self._holder.deliver(packet, now)
        if packet.flow in self._holder.flows:
            return self._on_held(packet, now)
        moved_to = self._drain.successor_of(packet.flow)
        if moved_to is not None:
            role = proxy_header.Role.HOLDER
            return self._owner.forward_packet(packet, moved_to, role)
        asks_owner = packet.role in (
            proxy_header.Role.OWNER,
            proxy_header.Role.RETURNED,
        )
        if asks_owner or self._leaving:
            return self._owner.on_packet(packet, now)
        self._holder.add_flow(packet.flow)
        self._owner.remove_entry(packet.flow)
        self._announcer.announce_adopted(packet.flow, now)
        return self._holder.deliver(packet, now)

    def _on_held(
        self, packet: proxy_header.Packet, now: float
    ) -> list[messages.Action]:
        if not self._leaving:
            return self._holder.deliver(packet, now)
        successor, actions = self._drain.move_flow(packet.flow, now)
        if successor is None:
            return self._holder.deliver(packet, now)
        role = proxy_header.Role.HOLDER
        return actions + self._owner.forward_packet(packet, successor, role)

    def on_message(
        self, message: typing.NamedTuple, now: float
    ) -> list[messages.Action]:
        """Handle a message of another agent of the service."""
        match message:
            case messages.Execute():
                self._loads.on_reports(message.sender, message.reports, now)
                return self._holder.on_execute(message, now)
            case messages.Executed():
                self._loads.on_reports(message.sender, message.reports, now)
                return self._holder.coordinator.on_executed(message, now)
            case messages.Claim():
                return self._holder.coordinator.on_claim(message)
            case messages.Consent():
                return self._holder.on_consent(message, now)
            case messages.Locate():
                return self._on_locate(message)
            case messages.Located():
                return self._owner.on_located(message, now)
            case messages.Announce():
                return self._owner.on_announce(message, now)
            case messages.Announced():
                return self._announcer.on_announced(message, now)
            case messages.Transfer():
                return self._on_transfer(message, now)
            case messages.Transferred():
                return self._on_transferred(message, now)
        self._shared.counters['messages_unexpected'] += 1
        return []

    def on_load_report(self, sender: str, reports: bytes, now: float) -> None:
        """Store load reports of a peer."""
        self._loads.on_reports(sender, reports, now)

    def is_active(self, now: float) -> bool:
        """Return whether requests run here or, by its reports, at a peer."""
        return (
            not self._holder.idle
            or self._owner.searching > 0
            or self._announcer.waiting > 0
            or self._loads.is_active(now)
        )

    def peers_to_report(self, now: float, since_s: float) -> list[str]:
        """Return the live peers without a report for some seconds."""
        alive = set(self._shared.view.peers(self._service))
        return [
            n for n in self._loads.peers_to_report(now, since_s) if n in alive
        ]

    def mark_reported(self, name: str, now: float) -> None:
        """Record that a report was sent to a peer."""
        self._loads.mark_reported(name, now)

    def own_report(self, now: float) -> messages.ServiceLoad:
        """Return this target's report for its peers."""
        packed = loads.pack_report(
            loads.instance_number(self._shared.name),
            0.0,
            self._holder.load(now),
        )
        return messages.ServiceLoad(self._service.number, packed)

    def _on_locate(self, message: messages.Locate) -> list[messages.Action]:
        answer = messages.Located(
            self._shared.name,
            self._service.number,
            message.flow,
            message.flow in self._holder.flows,
        )
        return self._shared.view.to_peer(message.sender, answer)

    def _on_transfer(
        self, message: messages.Transfer, now: float
    ) -> list[messages.Action]:
        self._holder.add_flow(message.flow)
        self._holder.mark_verified(message.flow)
        self._owner.remove_entry(message.flow)
        self._announcer.announce_taken_over(message.flow)
        self._holder.coordinator.exchanges.import_results(
            message.flow, message.results, now, codec=self._shared.codec
        )
        actions: list[messages.Action] = []
        for feed in message.feeds:
            actions += self._holder.resume_feed(message.flow, feed, now)
        answer = messages.Transferred(
            self._shared.name, self._service.number, message.flow
        )
        return actions + self._shared.view.to_peer(message.sender, answer)

    def _on_transferred(
        self, message: messages.Transferred, now: float
    ) -> list[messages.Action]:
        actions = self._drain.on_transferred(message, now)
        if message.flow not in self._holder.flows:
            self._owner.record_move(message.flow, message.sender)
        return actions

    def on_server_reply(
        self, reply: base.ServerReply, now: float
    ) -> list[messages.Action]:
        """Handle a datagram of the local server."""
        return self._holder.on_server_reply(reply, now)

    def server_lost(self, now: float) -> list[messages.Action]:
        """Mark the local server as down."""
        return self._holder.server_lost(now)

    def tick(self, now: float) -> list[messages.Action]:
        """Run periodic work; to be called several times a second."""
        actions = self._holder.tick(now)
        actions += self._owner.tick(now)
        actions += self._announcer.tick(now)
        if self._leaving:
            actions += self._drain.tick(now)
        elif not self._holder.server_up:
            actions += self._drain.move_feeds(now)
        else:
            actions += self._drain.repeat_transfers(now)
        return actions
