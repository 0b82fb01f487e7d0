"""Move the flows of a leaving target to their new holders."""

from __future__ import annotations

import typing

from teaseldock import messages

if typing.TYPE_CHECKING:
    from teaseldock import context
    from teaseldock import holder
    from teaseldock import table

#: Transfers awaiting their acknowledgement at once.
TRANSFERS_AT_ONCE = 32
#: Seconds until a transfer without acknowledgement is sent again.
REPEAT_S = 0.3
#: Bytes of answers that one transfer carries; a datagram has room for more.
RESULT_BYTES = 30_000


class Drain:
    """Give flows up one by one, each only when its new holder has it.

    A flow with a request under way, or in the middle of an upload, stays until
    that is over: planned changes cut no request.
    """

    def __init__(
        self,
        shared: context.Context,
        service: table.ServiceTable,
        held: holder.Holder,
    ) -> None:
        """Start with nothing to move."""
        self._shared = shared
        self._service = service
        self._holder = held
        self._sent: dict[bytes, tuple[str, float]] = {}
        self._moved: dict[bytes, str] = {}

    @property
    def moving(self) -> int:
        """Return how many flows are still held."""
        return len(self._holder.flows)

    def set_service(self, service: table.ServiceTable) -> None:
        """Take over changed rules."""
        self._service = service

    def successor_of(self, flow: bytes) -> str | None:
        """Return where a flow went, or None."""
        return self._moved.get(flow)

    def stop(self) -> None:
        """Forget what was moved, after a change was taken back."""
        self._sent.clear()
        self._moved.clear()

    def tick(self, now: float) -> list[messages.Action]:
        """Send transfers, as many at once as the bound allows."""
        actions: list[messages.Action] = []
        for flow, (name, repeat_at) in list(self._sent.items()):
            if self._shared.view.is_dead(name):
                del self._sent[flow]
            elif now >= repeat_at:
                actions += self._transfer(flow, now)
        for flow in list(self._holder.flows):
            if len(self._sent) >= TRANSFERS_AT_ONCE:
                break
            if flow not in self._sent and self._holder.may_move(flow, now):
                actions += self._transfer(flow, now)
        return actions

    def move(self, flow: bytes, now: float) -> list[messages.Action]:
        """Transfer one flow ahead of its turn, because a request came."""
        if flow in self._sent or not self._holder.may_move(flow, now):
            return []
        return self._transfer(flow, now)

    def target_of(self, flow: bytes) -> str | None:
        """Return the instance that a flow would move to, or None."""
        bucket = self._holder.flows.peek(flow)
        if bucket is None:
            return None
        name = self._shared.view.owner(self._service, bucket)
        return None if name == self._shared.name else name

    def _transfer(self, flow: bytes, now: float) -> list[messages.Action]:
        name = self.target_of(flow)
        if name is None:
            return []
        self._sent[flow] = (name, now + REPEAT_S)
        message = messages.Transfer(
            self._shared.name,
            self._service.number,
            flow,
            self._holder.feeds.exported(flow),
            self._results(flow),
        )
        return self._shared.view.to_peer(name, message)

    def _results(self, flow: bytes) -> list[messages.Result]:
        """Return the newest answers that fit a datagram."""
        chosen: list[messages.Result] = []
        room = RESULT_BYTES
        for item in reversed(self._holder.coordinator.export_results(flow)):
            room -= len(item.request) + len(item.answer)
            if room < 0:
                break
            chosen.append(item)
        return chosen

    def on_transferred(
        self, message: messages.Transferred, now: float
    ) -> list[messages.Action]:
        """Give a flow up that its new holder has confirmed."""
        sent = self._sent.pop(message.flow, None)
        if sent is None or sent[0] != message.sender:
            return []
        if not self._holder.may_move(message.flow, now):
            # A request came in between; the flow moves again when it is done.
            return []
        self._moved[message.flow] = message.sender
        self._shared.counters['flows_moved'] += 1
        return self._holder.release(message.flow, now)
