"""Move the flows of a leaving target to their new holders."""

from __future__ import annotations

import typing

from teaseldock import messages

if typing.TYPE_CHECKING:
    from teaseldock import context
    from teaseldock import holder
    from teaseldock import placement
    from teaseldock import table

#: Transfers awaiting their acknowledgement at once.
TRANSFERS_AT_ONCE = 32
#: Seconds until a transfer without acknowledgement is sent again.
REPEAT_S = 0.3
#: Flows without any state that are let go of in one tick.
RELEASES_PER_TICK = 200
#: Bytes of answers that one transfer carries; a datagram has room for more.
RESULT_BYTES = 8_000
#: Seconds for which an answer may still be asked for again after this process
#: has ended: a caller repeats a message after 2 to 3 s, then after 4 to 6.
RESULT_AGE_S = 10.0
#: Bytes of a transfer and its acknowledgement, without its contents.
MESSAGE_BYTES = 250


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
        loads: placement.LoadView,
    ) -> None:
        """Start with nothing to move."""
        self._loads = loads
        self._shared = shared
        self._service = service
        self._holder = held
        self._transfers: dict[bytes, tuple[str, float]] = {}
        self._moved: dict[bytes, str] = {}

    @property
    def flows_left(self) -> int:
        """Return how many flows are still held."""
        return len(self._holder.flows)

    def set_service(self, service: table.ServiceTable) -> None:
        """Take over changed rules."""
        self._service = service

    def successor_of(self, flow: bytes) -> str | None:
        """Return where a flow went, or None."""
        return self._moved.get(flow)

    def stop(self) -> None:
        """Start no more transfers, after a change was taken back.

        Those on their way are seen through: their receivers may hold the
        flows already, and two holders would both feed the caller.
        """
        self._moved.clear()

    def tick(self, now: float) -> list[messages.Action]:
        """Move flows, as many at once as the bounds allow."""
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
        """Repeat the transfers that were not acknowledged."""
        actions: list[messages.Action] = []
        for flow, (name, repeat_at) in list(self._transfers.items()):
            if self._shared.view.is_dead(name):
                del self._transfers[flow]
            elif now >= repeat_at:
                actions += self._transfer(flow, now, to=name)
        return actions

    def move_feeds(self, now: float) -> list[messages.Action]:
        """Move the flows that have feeds, because the server is gone.

        Requests can be handed on one by one; a feed would stay silent until
        the server comes back, while its caller takes the last state for true.
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
        """Move one flow ahead of its turn, because a request came.

        :returns: the new holder, or None if the flow must stay for now; its
            request is then handed on to run elsewhere.
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
        """Return the peer that holds the fewest flows, or oneself."""
        if self._shared.name not in self._service.weights:
            return self._shared.name
        excluded = self._shared.view.excluded
        return self._loads.choose_for_flow(
            self._holder.load(now), lambda name: name not in excluded, now
        )

    def _has_state(self, flow: bytes, now: float) -> bool:
        """Tell whether a new holder must be told anything of a flow."""
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
        """Return the answers that must outlive this process.

        While the process stays, repeats are sent to it by their challenge.
        Requests without a challenge may run again.
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
        """Give a flow up that its new holder has confirmed."""
        sent = self._transfers.pop(message.flow, None)
        if sent is None or sent[0] != message.sender:
            return []
        if not self._holder.may_move(message.flow, now):
            # A request came in between; the transfer is sent once more when
            # it is done, as the receiver holds the flow already.
            self._transfers[message.flow] = (message.sender, now + REPEAT_S)
            return []
        self._moved[message.flow] = message.sender
        self._shared.counters['flows_moved'] += 1
        return self._holder.release(message.flow, now)
