"""Tell the owners of buckets which flows are held here."""

from __future__ import annotations

import collections
import typing

from teaseldock import flow as flows
from teaseldock import messages

if typing.TYPE_CHECKING:
    from teaseldock import context
    from teaseldock import holder
    from teaseldock import table

#: Flows in one message, about 700 bytes.
FLOWS_PER_BATCH = 40
#: Seconds between two batches; with the above at most 4 KB a second.
BATCH_INTERVAL_S = 0.2
#: Seconds until a batch without acknowledgement is sent again.
REPEAT_S = 0.6


class _Batch(typing.NamedTuple):
    owner: str
    flows: list[bytes]
    repeat_at: float


class Announcer:
    """Spread announcements of moved buckets within the control budget."""

    def __init__(
        self,
        shared: context.Context,
        service: table.ServiceTable,
        held: holder.Holder,
    ) -> None:
        """Start with nothing to tell."""
        self._shared = shared
        self._service = service
        self._holder = held
        self._owners: list[str | None] = [None] * flows.BUCKET_COUNT
        self._queue: collections.deque[bytes] = collections.deque()
        self._batches: dict[int, _Batch] = {}
        self._next_batch_at = 0.0

    @property
    def waiting(self) -> int:
        """Return how many flows have yet to be announced."""
        return len(self._queue)

    def refresh(self, service: table.ServiceTable) -> None:
        """Queue the flows of buckets whose owner changed."""
        self._service = service
        owners = [
            self._shared.view.owner(service, bucket)
            for bucket in range(flows.BUCKET_COUNT)
        ]
        changed = {
            bucket
            for bucket, owner in enumerate(owners)
            if owner != self._owners[bucket] and owner != self._shared.name
        }
        self._owners = owners
        if not changed:
            return
        for flow in self._holder.flows:
            if self._holder.flows.peek(flow) in changed:
                self._queue.append(flow)

    def tick(self, now: float) -> list[messages.Action]:
        """Send the next batch, repeats first."""
        if now < self._next_batch_at:
            return []
        for number, batch in self._batches.items():
            if now >= batch.repeat_at:
                return self._repeat(number, batch, now)
        if not self._queue:
            return []
        return self._send_new(now)

    def _repeat(
        self, number: int, batch: _Batch, now: float
    ) -> list[messages.Action]:
        if self._shared.view.is_dead(batch.owner):
            del self._batches[number]
            self._queue.extend(batch.flows)
            return []
        return self._send(number, batch.owner, batch.flows, now)

    def _send_new(self, now: float) -> list[messages.Action]:
        owner = None
        chosen: list[bytes] = []
        while self._queue and len(chosen) < FLOWS_PER_BATCH:
            flow = self._queue[0]
            bucket = self._holder.flows.peek(flow)
            if bucket is None or self._owners[bucket] == self._shared.name:
                self._queue.popleft()
                continue
            if owner is None:
                owner = self._owners[bucket]
            if self._owners[bucket] != owner:
                self._queue.rotate(-1)
                break
            chosen.append(self._queue.popleft())
        if owner is None:
            return []
        return self._send(next(self._shared.calls), owner, chosen, now)

    def _send(
        self, number: int, owner: str, chosen: list[bytes], now: float
    ) -> list[messages.Action]:
        self._next_batch_at = now + BATCH_INTERVAL_S
        self._batches[number] = _Batch(owner, chosen, now + REPEAT_S)
        message = messages.Announce(
            self._shared.name, self._service.number, number, chosen
        )
        return self._shared.view.to_peer(owner, message)

    def on_announced(
        self, message: messages.Announced, now: float
    ) -> list[messages.Action]:
        """Take an acknowledgement; let go of flows that moved on."""
        batch = self._batches.pop(message.batch, None)
        if batch is None:
            return []
        actions: list[messages.Action] = []
        for flow in message.elsewhere:
            if self._holder.feeds.has(flow):
                continue
            if self._holder.may_move(flow, now):
                actions += self._holder.release(flow, now)
        return actions
