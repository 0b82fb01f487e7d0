"""Transfer the flows of a leaving target to their new holders."""

from __future__ import annotations

import typing

from teaseldock import messages

if typing.TYPE_CHECKING:
    from teaseldock import context
    from teaseldock import holder
    from teaseldock import placement
    from teaseldock import table

#: Limit of unacknowledged transfers.
TRANSFERS_AT_ONCE = 32
#: Seconds until a transfer without acknowledgement is sent again.
REPEAT_S = 0.3
#: Limit of flows without state that are released in one tick.
RELEASES_PER_TICK = 200
#: Limit of answer bytes in one transfer; it fits into one datagram.
RESULT_BYTES = 8_000
#: Maximum age of a transferred answer, seconds: a caller retransmits a message
#: after 2 to 3 s, and again after another 4 to 6 s.
RESULT_AGE_S = 10.0
#: Bytes of an empty transfer and its acknowledgement.
MESSAGE_BYTES = 250


class Drain:
    """Transfer flows; each is released when its new holder has confirmed it.

    A flow with an open request or an upload in progress stays until that has
    finished: a planned change interrupts no request.
    """

    def __init__(
        self,
        shared: context.Context,
        service: table.ServiceTable,
        held: holder.Holder,
        loads: placement.LoadView,
    ) -> None:
        """Create a drain without transfers."""
        self._loads = loads
        self._shared = shared
        self._service = service
        self._holder = held
        self._transfers: dict[bytes, tuple[str, float]] = {}
        self._moved: dict[bytes, str] = {}

    @property
    def flows_left(self) -> int:
        """Return the number of flows that are still held."""
        return len(self._holder.flows)

    def set_service(self, service: table.ServiceTable) -> None:
        """Apply the changed table of the service."""
        self._service = service

    def successor_of(self, flow: bytes) -> str | None:
        """Return the instance that a flow moved to, or None."""
        return self._moved.get(flow)

    def stop(self) -> None:
        """Stop draining after the change was reverted.

        Unacknowledged transfers are still repeated: their receivers may
        already hold the flows, and two holders would both send notifications
        to the caller.
        """
        self._moved.clear()

    def tick(self, now: float) -> list[messages.Action]:
        """Move flows within the limits."""
        actions = self.repeat_transfers(now)
        releases = 0
        for flow in list(self._holder.flows):
            if releases >= RELEASES_PER_TICK:
                break
            if flow in self._transfers or not self._holder.may_move(flow, now):
                continue
            if not self._has_state(flow, now):
                actions += self._release_flow(flow, now)
                releases += 1
            elif len(self._transfers) < TRANSFERS_AT_ONCE:
                if self._shared.budget.has_room(now):
                    actions += self._transfer(flow, now)
        return actions

    def repeat_transfers(self, now: float) -> list[messages.Action]:
        """Repeat unacknowledged transfers; drop those to dead instances."""
        actions: list[messages.Action] = []
        for flow, (name, repeat_at) in list(self._transfers.items()):
            if self._shared.view.is_dead(name):
                del self._transfers[flow]
            elif now >= repeat_at:
                actions += self._transfer(flow, now, to=name)
        return actions

    def move_feeds(self, now: float) -> list[messages.Action]:
        """Move the flows that have feeds while the server is down.

        Single requests can be forwarded. A feed would be silent until the
        server is back, and its caller would take its last state as current.
        """
        actions = self.repeat_transfers(now)
        for flow in self._holder.feeds.flows():
            if flow in self._transfers:
                continue
            if not self._shared.budget.has_room(now):
                break
            if self._holder.may_move(flow, now):
                actions += self._transfer(flow, now)
        return actions

    def move_flow(
        self, flow: bytes, now: float
    ) -> tuple[str | None, list[messages.Action]]:
        """Move one flow at once because a request arrived.

        :returns: the new holder and the messages to send; the holder is None
            if the flow must stay for now. The request is then forwarded.
        """
        name = self.destination_of(flow, now)
        if name is None or not self._holder.may_move(flow, now):
            return None, []
        if flow in self._transfers:
            return name, []
        if not self._has_state(flow, now):
            return name, self._release_flow(flow, now)
        if not self._shared.budget.has_room(now):
            return None, []
        return name, self._transfer(flow, now)

    def destination_of(self, flow: bytes, now: float) -> str | None:
        """Return the instance that a flow would move to, or None."""
        bucket = self._holder.bucket_of(flow)
        if bucket is None:
            return None
        own = self._shared.name
        name = self._shared.view.owner(self._service, bucket)
        if name == own and not self._holder.server_up:
            name = self._least_loaded(now)
        return None if name == own else name

    def _least_loaded(self, now: float) -> str:
        """Return the instance with the fewest flows for its weight."""
        if self._shared.name not in self._service.weights:
            return self._shared.name
        excluded = self._shared.view.excluded
        return self._loads.choose_for_flow(
            self._holder.load(now), lambda name: name not in excluded, now
        )

    def _has_state(self, flow: bytes, now: float) -> bool:
        """Return whether a flow has state that its new holder needs."""
        return self._holder.feeds.has(flow) or bool(self._results(flow, now))

    def _release_flow(self, flow: bytes, now: float) -> list[messages.Action]:
        name = self.destination_of(flow, now)
        if name is None:
            return []
        self._moved[flow] = name
        self._shared.counters['flows_moved'] += 1
        return self._holder.release(flow, now)

    def _transfer(
        self, flow: bytes, now: float, *, to: str | None = None
    ) -> list[messages.Action]:
        """Send a transfer, or repeat it to the same receiver."""
        name = to or self.destination_of(flow, now)
        if name is None:
            return []
        self._transfers[flow] = (name, now + REPEAT_S)
        feeds = self._holder.feeds.export(flow)
        results = self._results(flow, now)
        size = sum(len(item.request) for item in feeds)
        size += sum(len(i.request) + len(i.answer) for i in results)
        self._shared.budget.spend(MESSAGE_BYTES + size)
        message = messages.Transfer(
            self._shared.name, self._service.number, flow, feeds, results
        )
        return self._shared.view.to_peer(name, message)

    def _results(self, flow: bytes, now: float) -> list[messages.Result]:
        """Return the answers that the new holder needs, newest first.

        While this process runs, retransmissions reach it by their challenge.
        Requests without a challenge are idempotent and may run again.
        """
        if not self._shared.view.is_leaving:
            return []
        chosen: list[messages.Result] = []
        room = RESULT_BYTES
        since = now - RESULT_AGE_S
        known = self._holder.coordinator.exchanges
        results = known.results(flow, since=since)
        for item in reversed(results):
            room -= len(item.request) + len(item.answer)
            if room < 0:
                break
            chosen.append(item)
        return chosen

    def on_transferred(
        self, message: messages.Transferred, now: float
    ) -> list[messages.Action]:
        """Release a flow that its new holder has confirmed."""
        sent = self._transfers.pop(message.flow, None)
        if sent is None or sent[0] != message.sender:
            return []
        if not self._holder.may_move(message.flow, now):
            # A request arrived in the meantime. The transfer is repeated to
            # the same receiver, which already holds the flow.
            self._transfers[message.flow] = (message.sender, now + REPEAT_S)
            return []
        self._moved[message.flow] = message.sender
        self._shared.counters['flows_moved'] += 1
        return self._holder.release(message.flow, now)
