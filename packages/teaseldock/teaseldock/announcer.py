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
#: Bytes of a message and its acknowledgement without flows, and of one flow.
MESSAGE_BYTES = 200
FLOW_BYTES = 16
#: Seconds until a batch without acknowledgement is sent again.
RETRANSMIT_S = 0.6
#: Seconds after a change in which other agents may still have the old view.
STALE_VIEW_S = 5.0


class OwnerId(typing.NamedTuple):
    """Who owns a bucket; one that started again knows nothing any more."""

    name: str
    incarnation: int


class _Batch(typing.NamedTuple):
    owner: OwnerId
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
        self._owners: list[OwnerId | None] = [None] * flows.BUCKET_COUNT
        self._queues: dict[OwnerId, collections.deque[bytes]] = {}
        self._batches: dict[int, _Batch] = {}
        self._changed_at = 0.0
        self._taken_over: set[bytes] = set()

    @property
    def waiting(self) -> int:
        """Return how many flows have yet to be announced."""
        return sum(len(queue) for queue in self._queues.values())

    def refresh(self, service: table.ServiceTable, now: float) -> None:
        """Queue the flows of buckets whose owner changed."""
        self._service = service
        owners = [
            self._owner_of(bucket) for bucket in range(flows.BUCKET_COUNT)
        ]
        changed = {
            bucket
            for bucket, owner in enumerate(owners)
            if owner is not None and owner != self._owners[bucket]
        }
        self._owners = owners
        if not changed:
            return
        self._changed_at = now
        # An owner is told even if there is no flow for it: it searches for
        # unknown flows until it hears from every peer.
        for bucket in changed:
            self._queues.setdefault(owners[bucket], collections.deque())
        for flow in self._holder.flows:
            bucket = self._holder.bucket_of(flow)
            if bucket in changed:
                self._queues[owners[bucket]].append(flow)

    def _owner_of(self, bucket: int) -> OwnerId | None:
        name = self._shared.view.owner(self._service, bucket)
        if name is None or name == self._shared.name:
            return None
        return OwnerId(name, self._shared.view.incarnation(name))

    def announce_adopted(self, flow: bytes, now: float) -> None:
        """Announce one flow that another agent has just placed here.

        Its placing agent may be a bucket's former owner whose view is late;
        the new owner has then been told "complete" too early.
        """
        if now - self._changed_at < STALE_VIEW_S:
            self.announce(flow)

    def announce(self, flow: bytes) -> None:
        """Announce one flow to its owner, if that is another agent."""
        owner = self._owners[self._holder.bucket_of(flow)]
        if owner is not None:
            queue = self._queues.setdefault(owner, collections.deque())
            queue.append(flow)

    def announce_taken_over(self, flow: bytes) -> None:
        """Announce a flow that its former holder has given to this one.

        The owner's entry still names the former holder, and would stand
        against a plain announcement.
        """
        self._taken_over.add(flow)
        self.announce(flow)

    def tick(self, now: float) -> list[messages.Action]:
        """Send what the budget allows, repeats first."""
        actions: list[messages.Action] = []
        for number, batch in list(self._batches.items()):
            if now >= batch.repeat_at and self._shared.budget.has_room(now):
                del self._batches[number]
                actions += self._retransmit(batch, now)
        for owner in list(self._queues):
            if not self._shared.budget.has_room(now):
                break
            actions += self._send_next(owner, now)
        return actions

    def _retransmit(self, batch: _Batch, now: float) -> list[messages.Action]:
        if batch.owner not in self._owners:
            return []
        queue = self._queues.setdefault(batch.owner, collections.deque())
        queue.extendleft(batch.flows)
        return self._send_next(batch.owner, now)

    def _send_next(self, owner: OwnerId, now: float) -> list[messages.Action]:
        queue = self._queues[owner]
        chosen: list[bytes] = []
        while queue and len(chosen) < FLOWS_PER_BATCH:
            flow = queue.popleft()
            bucket = self._holder.bucket_of(flow)
            if bucket is None or self._owners[bucket] != owner:
                self._taken_over.discard(flow)
                continue
            taken_over = flow in self._taken_over
            if chosen and taken_over != (chosen[0] in self._taken_over):
                queue.appendleft(flow)
                break
            chosen.append(flow)
        complete = b''
        if not queue:
            del self._queues[owner]
            complete = self._complete_buckets(owner)
        if not chosen and not any(complete):
            return []
        number = next(self._shared.calls)
        self._batches[number] = _Batch(owner, chosen, now + RETRANSMIT_S)
        size = MESSAGE_BYTES + FLOW_BYTES * len(chosen)
        self._shared.budget.spend(size)
        message = messages.Announce(
            self._shared.name,
            self._service.number,
            number,
            chosen,
            complete,
            bool(chosen) and chosen[0] in self._taken_over,
        )
        return self._shared.view.to_peer(owner.name, message)

    def _complete_buckets(self, owner: OwnerId) -> bytes:
        """Return the buckets of which an owner has been told everything.

        Batches on the way may be lost; while there are any, their repeats
        come with the word, computed anew.
        """
        for batch in self._batches.values():
            if batch.owner == owner and batch.flows:
                return b''
        return flows.pack_buckets(
            bucket
            for bucket, known in enumerate(self._owners)
            if known == owner
        )

    def on_announced(
        self, message: messages.Announced, now: float
    ) -> list[messages.Action]:
        """Take an acknowledgement; let go of flows that moved on."""
        batch = self._batches.pop(message.batch, None)
        if batch is None:
            return []
        self._taken_over.difference_update(batch.flows)
        actions: list[messages.Action] = []
        for flow in message.elsewhere:
            if self._holder.feeds.has(flow):
                continue
            if self._holder.may_move(flow, now):
                actions += self._holder.release(flow, now)
        if batch.flows and batch.owner not in self._queues:
            # The last batch on the way is in: the word can follow.
            self._queues[batch.owner] = collections.deque()
        return actions
