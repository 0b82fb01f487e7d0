"""Announce the flows held here to the owners of their buckets."""

from __future__ import annotations

import collections
import typing

from teaseldock import flow as flows
from teaseldock import messages

if typing.TYPE_CHECKING:
    from teaseldock import context
    from teaseldock import holder
    from teaseldock import table

#: Maximum number of flows per message, which then has about 700 bytes.
FLOWS_PER_BATCH = 40
#: Bytes of a message and its acknowledgement without flows, and of one flow,
#: as counted by the control budget.
MESSAGE_BYTES = 200
FLOW_BYTES = 16
#: Seconds after which a batch without acknowledgement is sent again.
RETRANSMIT_S = 0.6
#: Seconds after a change of owners in which other agents may still have the
#: old view.
STALE_VIEW_S = 5.0


class OwnerId(typing.NamedTuple):
    """Owner of a bucket.

    A restarted process counts as a new owner, because it has lost all
    announcements.
    """

    name: str
    incarnation: int


class _Batch(typing.NamedTuple):
    owner: OwnerId
    flows: list[bytes]
    repeat_at: float


class Announcer:
    """Send announcements of moved buckets within the control budget."""

    def __init__(
        self,
        shared: context.Context,
        service: table.ServiceTable,
        held: holder.Holder,
    ) -> None:
        """Create an announcer without pending announcements."""
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
        """Return the number of flows that wait to be announced."""
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
        # An owner is sent a message even if there is no flow to announce: it
        # searches for unknown flows until every peer has confirmed.
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

        The placing agent may be the bucket's former owner with an outdated
        view. The new owner has then received "complete" too early.
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
        """Announce a flow that its former holder has transferred here.

        The owner's entry still names the former holder and would take
        precedence over a plain announcement.
        """
        self._taken_over.add(flow)
        self.announce(flow)

    def tick(self, now: float) -> list[messages.Action]:
        """Send what the budget allows, retransmissions first."""
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
        """Return the buckets whose flows are all announced to an owner.

        Batches without acknowledgement may be lost. While there are any, the
        result is empty; a later message carries the buckets instead.

        :returns: packed buckets, see :func:`teaseldock.flow.pack_buckets`.
        """
        for batch in self._batches.values():
            if batch.owner == owner and batch.flows:
                return b''
        return flows.pack_buckets(
            bucket
            for bucket, current in enumerate(self._owners)
            if current == owner
        )

    def on_announced(
        self, message: messages.Announced, now: float
    ) -> list[messages.Action]:
        """Process an acknowledgement; release flows held by other targets."""
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
            # The last batch is acknowledged: the buckets are now complete.
            self._queues[batch.owner] = collections.deque()
        return actions
