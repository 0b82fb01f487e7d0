"""Decide for the agent process beside a backend server."""

from __future__ import annotations

import random
import typing

from teaseldock import context
from teaseldock import messages
from teaseldock import node
from teaseldock import proxy_header
from teaseldock import target

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base
    from teaseldock import inventory

#: Seconds between load reports to the peers of a service.
LOADS_INTERVAL_S = 0.2
#: Limit of peers that get one report; bounds traffic in large services.
LOADS_FANOUT = 6
#: Seconds between ticks while requests run, or flows move or are searched for.
BUSY_TICK_S = 0.1
#: Seconds after which an unchanged report is repeated: while requests run at
#: this agent's targets or their peers, and while none do.
LOADS_REPEAT_S = 0.35
IDLE_REPEAT_S = 1.0
#: Seconds for which a leaving agent stays after its last packet, for callers
#: that hold its challenges and for peers that have not learnt of its leaving.
LINGER_S = 3.0


class Agent(node.Node):
    """Serve the targets of one instance."""

    def __init__(
        self,
        *,
        own: messages.Member,
        codec: base.Codec,
        keys: context.Keys,
        randomness: random.Random,
        now: float,
    ) -> None:
        """Create an agent without configuration.

        :param own: member entry of this agent; named after its instance.
        :param codec: codec of the callers' protocol.
        """
        super().__init__(own=own, randomness=randomness, now=now)
        self._random = randomness
        self._shared = context.new_context(
            name=own.name,
            current=self._view,
            codec=codec,
            keys=keys,
            randomness=randomness,
            incarnation=own.incarnation,
        )
        self._targets: dict[int, target.Target] = {}
        self._scanned_inventory: inventory.Inventory | None = None
        self._own_service_names: list[str] = []
        self._next_loads_at = now
        self._last_loads: list[messages.ServiceLoad] = []
        self._busy_until = now

    @property
    def counters(self) -> typing.Counter[str]:
        """Return the number of events since the start, by name."""
        return self._shared.counters

    @property
    def targets(self) -> list[target.Target]:
        """Return the targets on this instance."""
        return list(self._targets.values())

    def find(self, service: str) -> target.Target | None:
        """Return the target of a service on this instance, or None."""
        for item in self._targets.values():
            if item.service.name == service:
                return item
        return None

    def drained(self, now: float) -> bool:
        """Return whether a leaving agent can stop without breaking a flow."""
        for item in self._targets.values():
            if not item.drained:
                self._busy_until = now + LINGER_S
        return now >= self._busy_until

    def tick_interval(self, now: float) -> float:
        """Return the seconds until the next tick, fewer during work."""
        for item in self._targets.values():
            if item.leaving or item.is_active(now):
                return BUSY_TICK_S
        return node.IDLE_TICK_S

    def on_view_changed(self, now: float) -> list[messages.Action]:
        """Create, refresh and withdraw targets by the rules."""
        contents = self._view.inventory
        slots = self._slots(contents)
        for name in self._own_services(contents):
            service = self._view.table.service(name)
            rules = contents.services[name]
            existing = self._targets.get(service.number)
            if existing is not None:
                existing.refresh(service, rules, slots=slots, now=now)
                continue
            self._targets[service.number] = target.Target(
                self._shared, service, rules, slots=slots, now=now
            )
        for item in self._targets.values():
            if item.service.name not in contents.services:
                item.withdraw()
        return []

    def _own_services(self, contents: inventory.Inventory) -> list[str]:
        """Return the services that this instance serves or is leaving."""
        if contents is self._scanned_inventory:
            return self._own_service_names
        own = self._shared.name
        names = {
            name
            for name, service in contents.services.items()
            if any(item['instance'] == own for item in service['targets'])
        }
        for item in self._targets.values():
            if item.service.name in contents.services:
                names.add(item.service.name)
        self._scanned_inventory = contents
        self._own_service_names = sorted(names)
        return self._own_service_names

    def _slots(self, contents: inventory.Inventory) -> int:
        instance = contents.instances.get(self._shared.name)
        return instance['slots'] if instance else 1

    def on_packet(
        self, packet: proxy_header.Packet, now: float
    ) -> list[messages.Action]:
        """Handle a caller's packet from a balancer or another agent.

        The service of the packet's header and the service that this agent's
        table has for the address must match. If an address was reassigned to
        another service, a process with the old table would otherwise route
        callers to the wrong server.
        """
        item = self._targets.get(packet.service)
        if item is None:
            self._shared.counters['dropped_no_such_target'] += 1
            return []
        named = self._view.table.service_at(
            packet.flow[4:8] + packet.flow[10:12]
        )
        if named is None or named.name != item.service.name:
            self._shared.counters['dropped_wrong_service'] += 1
            return []
        self._busy_until = now + LINGER_S
        return item.on_packet(packet, now)

    def on_message(
        self, message: typing.NamedTuple, now: float
    ) -> list[messages.Action]:
        """Handle a message of another process."""
        sender = getattr(message, 'sender', None)
        if isinstance(sender, str):
            self._members.roster.mark_heard(sender, now)
        if isinstance(message, messages.Loads):
            self._members.roster.update_incarnation(
                message.sender, message.incarnation, now
            )
            self._take_loads(message, now)
            return self._refresh(now)
        number = getattr(message, 'service_number', None)
        if number is None:
            return super().on_message(message, now)
        item = self._targets.get(number)
        if item is None:
            return self._answer_without_target(message)
        return item.on_message(message, now)

    def _answer_without_target(
        self, message: typing.NamedTuple
    ) -> list[messages.Action]:
        """Answer a search for a service that this instance doesn't serve yet.

        The sender may have newer rules. Without an answer it would hold the
        caller's first packet until all rounds of its search have passed.
        """
        self._shared.counters['messages_no_such_target'] += 1
        if not isinstance(message, messages.Locate):
            return []
        answer = messages.Located(
            self._shared.name, message.service_number, message.flow, False
        )
        return self._view.to_peer(message.sender, answer)

    def on_server_reply(
        self, service: str, reply: base.ServerReply, now: float
    ) -> list[messages.Action]:
        """Handle a datagram of the server of a service."""
        item = self.find(service)
        if item is None:
            return []
        return item.on_server_reply(reply, now)

    def needs_server(self, service: str) -> bool:
        """Return whether requests or feeds depend on a service's server."""
        item = self.find(service)
        if item is None:
            return False
        return not item.holder.idle or len(item.holder.feeds) > 0

    def server_lost(self, service: str, now: float) -> list[messages.Action]:
        """Mark the server of a service as down."""
        item = self.find(service)
        if item is None or not item.holder.server_up:
            return []
        self._shared.counters['server_lost'] += 1
        return item.server_lost(now)

    def tick(self, now: float) -> list[messages.Action]:
        """Run periodic work; to be called several times a second."""
        actions = super().tick(now)
        for item in self._targets.values():
            actions += item.tick(now)
        return actions + self._report_loads(now)

    def _take_loads(self, message: messages.Loads, now: float) -> None:
        for part in message.services:
            item = self._targets.get(part.service_number)
            if item is not None:
                item.on_load_report(message.sender, part.reports, now)

    def _report_loads(self, now: float) -> list[messages.Action]:
        """Send the load to peers that were sent no report recently."""
        if now < self._next_loads_at:
            return []
        self._next_loads_at = now + LOADS_INTERVAL_S
        parts = [item.own_report(now) for item in self._targets.values()]
        since_s = IDLE_REPEAT_S
        if any(item.is_active(now) for item in self._targets.values()):
            since_s = LOADS_REPEAT_S
        if parts != self._last_loads:
            since_s = LOADS_INTERVAL_S
        self._last_loads = parts
        message = messages.Loads(
            self._shared.name, self._view.own_incarnation(), parts
        )
        actions: list[messages.Action] = []
        for name in self._pick_peers(now, since_s):
            for item in self._targets.values():
                item.mark_reported(name, now)
            actions += self._view.to_peer(name, message)
        return actions

    def _pick_peers(self, now: float, since_s: float) -> list[str]:
        names: set[str] = set()
        for item in self._targets.values():
            names.update(item.peers_to_report(now, since_s))
        ordered = sorted(names)
        if len(ordered) <= LOADS_FANOUT:
            return ordered
        return self._random.sample(ordered, LOADS_FANOUT)

    def status(self, now: float) -> dict[str, typing.Any]:
        """Return figures for the status page."""
        return {
            'counters': dict(sorted(self._shared.counters.items())),
            'targets': [item.status(now) for item in self._targets.values()],
        }
