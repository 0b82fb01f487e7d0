"""Hold flows: pass requests to the server and answers to the callers."""

from __future__ import annotations

import typing

from teaseldock import challenged
from teaseldock import claims
from teaseldock.codecs import base
from teaseldock import coordinator
from teaseldock import exceptions
from teaseldock import executor
from teaseldock import feeds
from teaseldock import flow as flows
from teaseldock import flow_store
from teaseldock import load as load_reports
from teaseldock import messages
from teaseldock import placement
from teaseldock import remote

if typing.TYPE_CHECKING:
    from teaseldock import context
    from teaseldock import inventory
    from teaseldock import proxy_header
    from teaseldock import table

#: Seconds after the last block for which an upload in blocks pins its flow to
#: this server.
UPLOAD_IDLE_S = 5.0


#: Set in a value of the flow store if the caller's address is verified.
_VERIFIED_BIT = 0x100
#: Values of the flow store: the bucket, combined with the bit above. The
#: objects are shared, so that a flow needs no memory for its value.
_FLOW_VALUES = tuple(range(2 * _VERIFIED_BIT))


class Holder:
    """Serve the flows of one service that were placed at this instance."""

    def __init__(
        self,
        shared: context.Context,
        service: table.ServiceTable,
        loads: placement.LoadView,
        *,
        slots: int,
        now: float,
    ) -> None:
        """Create a holder without flows.

        :param slots: requests that the local server runs at once.
        """
        self._shared = shared
        self._service = service
        self._accepting = True
        self._flows = flow_store.FlowStore(now)
        self._feeds = feeds.FeedTable()
        self._uploads: dict[bytes, float] = {}
        self._challenged = challenged.ChallengedMessages()
        self._executor = executor.Executor(
            service=service.name,
            slots=slots,
            randomness=shared.randomness,
            now=now,
        )
        self._coordinator = coordinator.Coordinator(
            shared, service, self._executor, loads, self.load, self._refuse
        )
        self._loads = loads
        self._remote = remote.RemoteCalls(shared, service.number)
        self._claims = claims.Claims(shared, service.number)

    @property
    def flows(self) -> flow_store.FlowStore:
        """Return the flows held."""
        return self._flows

    @property
    def feeds(self) -> feeds.FeedTable:
        """Return the feeds of the flows held."""
        return self._feeds

    @property
    def coordinator(self) -> coordinator.Coordinator:
        """Return the coordinator of the requests of held flows."""
        return self._coordinator

    @property
    def server_up(self) -> bool:
        """Return whether the local server is assumed to be up."""
        return self._executor.server_up

    @property
    def idle(self) -> bool:
        """Return whether no request is in progress."""
        return (
            self._executor.idle
            and not self._coordinator.open
            and not self._remote.open
        )

    def configure(
        self,
        service: table.ServiceTable,
        rules: inventory.Service,
        *,
        slots: int,
    ) -> None:
        """Apply changed rules."""
        self._service = service
        self._executor.set_slots(slots)
        self._coordinator.configure(service, rules['request_classes'])

    def set_accepting(self, accepting: bool) -> None:
        """Set whether this target accepts new work."""
        self._accepting = accepting

    def load(self, now: float) -> load_reports.Load:
        """Return the load of this target."""
        return self._executor.load(
            now, flows=len(self._flows), accepting=self._accepting
        )

    def reports(self, now: float, *, to: str) -> bytes:
        """Return packed load reports to piggyback on a message.

        :param to: name of the peer that receives the message.
        """
        return self._loads.pack_reports(self.load(now), now, to=to)

    def may_move(self, flow: bytes, now: float) -> bool:
        """Return whether a flow can move to another server now.

        A flow with an open request or an upload in progress can't.
        """
        if self._coordinator.has_open_request(flow):
            return False
        last_block_at = self._uploads.get(flow)
        return last_block_at is None or now - last_block_at > UPLOAD_IDLE_S

    def add_flow(self, flow: bytes) -> None:
        """Add a flow to the held flows."""
        if self._flows.get(flow) is None:
            bucket = flows.bucket_of(flow, key=self._shared.keys.flow_hash)
            self._flows.put(flow, _FLOW_VALUES[bucket])

    def bucket_of(self, flow: bytes) -> int | None:
        """Return the bucket of a flow that is held here, or None."""
        value = self._flows.peek(flow)
        return None if value is None else value & (_VERIFIED_BIT - 1)

    def mark_verified(self, flow: bytes) -> None:
        """Mark the caller's address of a held flow as verified."""
        bucket = self.bucket_of(flow)
        if bucket is not None:
            self._flows.put(flow, _FLOW_VALUES[bucket | _VERIFIED_BIT])

    def _is_address_verified(self, flow: bytes, request: base.Request) -> bool:
        """Return whether the source address of a request is verified.

        Source addresses can be spoofed. Without verification a victim would
        receive the answers, and the notifications of a feed for hours.
        """
        value = self._flows.peek(flow)
        if value is None or value & _VERIFIED_BIT:
            # Requests of flows that are not held are routed here by a
            # valid challenge.
            return True
        if not self._coordinator.guard.has_valid_echo(flow, request):
            return False
        self.mark_verified(flow)
        return True

    def release(self, flow: bytes, now: float) -> list[messages.Action]:
        """Remove a flow and cancel its feeds at the server."""
        self._flows.pop(flow)
        self._uploads.pop(flow, None)
        actions: list[messages.Action] = []
        for call, feed in self._feeds.of_flow(flow):
            actions += self._end_feed(call, feed)
        return actions

    def _end_feed(
        self, call: int, feed: feeds.FeedState
    ) -> list[messages.Action]:
        self._feeds.remove(call)
        body = self._shared.codec.cancel_feed(feed.request.body, call=call)
        return [messages.ToServer(self._service.name, call, feed.flow, body)]

    def deliver(
        self, packet: proxy_header.Packet, now: float
    ) -> list[messages.Action]:
        """Handle a datagram that a caller sent to this holder."""
        try:
            request = self._shared.codec.read_caller(packet.payload)
        except exceptions.MessageError:
            self._shared.counters['unreadable_from_caller'] += 1
            return []
        if isinstance(request, base.AckOrReset):
            return self._on_ack_or_reset(packet.flow, request)
        key = packet.flow + request.exchange
        verified = self._is_address_verified(packet.flow, request)
        if not verified or key in self._challenged:
            self._challenged.add(key)
            return self._coordinator.guard.challenge(
                packet.flow, request, now
            ).actions
        if request.observe == 1:
            return self._on_cancel_feed(packet.flow, request, now)
        if request.pinned:
            self._uploads.pop(packet.flow, None)
            self._uploads[packet.flow] = now
        return self._coordinator.on_request(packet.flow, request, now)

    def answers_challenge(self, packet: proxy_header.Packet) -> bool:
        """Return whether a packet is a guarded request with a challenge.

        Such a request runs only at the process that issued the challenge.
        """
        try:
            request = self._shared.codec.read_caller(packet.payload)
        except exceptions.MessageError:
            return False
        return (
            isinstance(request, base.Request)
            and not request.idempotent
            and self._coordinator.guard.has_valid_echo(packet.flow, request)
        )

    def _on_ack_or_reset(
        self, flow: bytes, message: base.AckOrReset
    ) -> list[messages.Action]:
        if not message.reset:
            return []
        for call, feed in self._feeds.of_flow(flow):
            if feed.message_id == message.message_id:
                self._shared.counters['feeds_reset'] += 1
                return self._end_feed(call, feed)
        self._coordinator.cancel(flow)
        return []

    def _on_cancel_feed(
        self, flow: bytes, request: base.Request, now: float
    ) -> list[messages.Action]:
        call = self._feeds.find(flow, request.token)
        actions: list[messages.Action] = []
        if call is not None:
            feed = self._feeds.get(call)
            actions = self._end_feed(call, feed)
        plain = request._replace(observe=None)
        return actions + self._coordinator.on_request(flow, plain, now)

    def on_server_reply(
        self, reply: base.ServerReply, now: float
    ) -> list[messages.Action]:
        """Handle a datagram of the local server."""
        self._executor.server_recovered(now)
        if reply.call is None:
            return []
        feed = self._feeds.get(reply.call)
        if feed is not None:
            return self._on_notification(reply, feed, now)
        job, started, refused = self._executor.on_server_answer(
            reply.call, now, shed=reply.shed
        )
        actions = self._start_or_claim(started, now)
        if job is None:
            # Late answer: the request has timed out. Call numbers are not
            # reused, so this answer can't reach another caller.
            self._shared.counters['late_answers'] += 1
            return actions
        outcome = messages.Outcome.ANSWERED
        if reply.shed:
            self._shared.counters['shed_by_server'] += 1
            outcome = messages.Outcome.NOT_RUN
        actions += self._finish_job(job, outcome, reply, now)
        return actions + self._refuse(refused, now)

    def _on_notification(
        self, reply: base.ServerReply, feed: feeds.FeedState, now: float
    ) -> list[messages.Action]:
        if reply.observe is None:
            # The server ended or refused the feed. Register it again, since
            # only the caller may end its feed.
            feed.confirmed = False
            feed.resume_at = now + feeds.RESUME_REPEAT_S
            return []
        feed.confirmed = True
        feed.message_id = next(self._shared.calls) % 65536
        datagram = self._shared.codec.notification(
            feed.request,
            reply.body,
            sequence=feed.next_sequence(),
            message_id=feed.message_id,
        )
        self._flows.get(feed.flow)
        self._shared.counters['notifications'] += 1
        return [messages.ToCaller(feed.flow, datagram)]

    def _finish_job(
        self,
        job: executor.Job,
        outcome: messages.Outcome,
        reply: base.ServerReply | None,
        now: float,
    ) -> list[messages.Action]:
        body = reply.body if reply else b''
        if isinstance(job.origin, remote.RemoteCall):
            answer = self._remote.finish(
                job.origin,
                outcome,
                body,
                self.reports(now, to=job.origin.sender),
            )
            return self._shared.view.to_peer(job.origin.sender, answer)
        begins_feed = (
            outcome == messages.Outcome.ANSWERED
            and job.origin.request.observe == 0
            and reply is not None
            and reply.observe is not None
        )
        if begins_feed:
            return self._begin_feed(job, reply)
        return self._coordinator.on_local_outcome(job, outcome, body, now)

    def _begin_feed(
        self, job: executor.Job, reply: base.ServerReply
    ) -> list[messages.Action]:
        pending = job.origin
        flow = pending.exchange.flow
        sequence = 0
        actions: list[messages.Action] = []
        former = self._feeds.find(flow, pending.request.token)
        if former is not None:
            old = self._feeds.get(former)
            sequence = old.sequence
            actions = self._end_feed(former, old)
        feed = feeds.FeedState(flow, pending.request, sequence)
        feed.confirmed = True
        self._feeds.add(job.call, feed)
        self.add_flow(flow)
        answer = self._shared.codec.answer(
            pending.request, reply.body, sequence=feed.next_sequence()
        )
        return actions + self._coordinator.settle_local(job, answer)

    def _refuse(
        self, jobs: list[executor.Job], now: float
    ) -> list[messages.Action]:
        actions: list[messages.Action] = []
        for job in jobs:
            if isinstance(job.origin, remote.RemoteCall):
                actions += self._finish_job(
                    job, messages.Outcome.NOT_RUN, None, now
                )
            else:
                actions += self._coordinator.refuse_job(job, now)
        return actions

    def on_execute(
        self, message: messages.Execute, now: float
    ) -> list[messages.Action]:
        """Handle a request that another agent forwards."""
        job, answer = self._remote.admit(
            message, self.reports(now, to=message.sender), now
        )
        if answer is not None:
            return self._shared.view.to_peer(message.sender, answer)
        if job is None:
            return []
        if not self._accepting:
            return self._refuse([job], now)
        result, started, evicted = self._executor.submit(job, now)
        actions = self._start_or_claim(started, now)
        if result is executor.SubmitResult.REFUSED:
            evicted = [job]
        return actions + self._refuse(evicted, now)

    def _start_or_claim(
        self, started: list[messages.ToServer], now: float
    ) -> list[messages.Action]:
        """Start requests, or claim those that need consent."""
        actions: list[messages.Action] = []
        for start in started:
            job = self._executor.running_job(start.call)
            origin = job.origin if job else None
            if isinstance(
                origin, remote.RemoteCall
            ) and self._remote.needs_consent(origin):
                actions += self._claims.hold(origin, start, now)
            else:
                actions.append(start)
        return actions

    def on_consent(
        self, message: messages.Consent, now: float
    ) -> list[messages.Action]:
        """Handle the answer to a claim: start the request or drop it."""
        call = remote.RemoteCall(
            message.sender, message.incarnation, message.call
        )
        start = self._claims.pop_start(call)
        if start is None:
            return []
        if message.granted:
            return [start]
        return self._refuse_claimed(start, now)

    def _refuse_claimed(
        self, start: messages.ToServer, now: float
    ) -> list[messages.Action]:
        """Refuse a request without consent and reuse its slot."""
        job = self._executor.running_job(start.call)
        if job is None:
            return []
        self._shared.counters['claims_refused'] += 1
        started, refused = self._executor.release_slot(start.call, now)
        actions = self._refuse([job], now)
        actions += self._start_or_claim(started, now)
        return actions + self._refuse(refused, now)

    def _repeat_claims(self, now: float) -> list[messages.Action]:
        actions, silent = self._claims.due(now)
        for call in silent:
            start = self._claims.pop_start(call)
            if start is not None:
                actions += self._refuse_claimed(start, now)
        return actions

    def server_lost(self, now: float) -> list[messages.Action]:
        """Mark the local server as down and settle its requests."""
        queued, running = self._executor.server_lost()
        self._feeds.server_lost(now)
        actions: list[messages.Action] = []
        for job in queued:
            actions += self._finish_job(
                job, messages.Outcome.NOT_RUN, None, now
            )
        for job in running:
            outcome = messages.Outcome.UNKNOWN
            if isinstance(job.origin, remote.RemoteCall):
                # A request that waits for consent was not sent to the server.
                if self._claims.pop_start(job.origin) is not None:
                    outcome = messages.Outcome.NOT_RUN
            actions += self._finish_job(job, outcome, None, now)
        return actions

    def resume_feed(
        self, flow: bytes, feed: messages.Feed, now: float
    ) -> list[messages.Action]:
        """Register a feed that the flow's previous holder transferred.

        Its former transfer may have waited here, while the previous holder
        went on sending notifications.
        """
        request = self._shared.codec.read_caller(feed.request)
        known = self._feeds.find(flow, request.token)
        if known is not None:
            self._feeds.get(known).skip_to(feed.sequence)
            return []
        state = feeds.FeedState(flow, request, feed.sequence)
        call = next(self._shared.calls)
        self._feeds.add(call, state)
        return self._register(call, state, now)

    def _register(
        self, call: int, feed: feeds.FeedState, now: float
    ) -> list[messages.Action]:
        feed.resume_at = now + feeds.RESUME_REPEAT_S
        return [
            messages.ToServer(
                self._service.name, call, feed.flow, feed.request.body
            )
        ]

    def tick(self, now: float) -> list[messages.Action]:
        """Handle timeouts, repeat what is due and expire old state."""
        started, refused, timed_out = self._executor.tick(now)
        actions = self._start_or_claim(started, now)
        actions += self._refuse(refused, now)
        actions += self._repeat_claims(now)
        for job in timed_out:
            self._shared.counters['answers_timed_out'] += 1
            actions += self._finish_job(
                job, messages.Outcome.UNKNOWN, None, now
            )
        if self._executor.server_up:
            for call in self._feeds.due_registrations(now):
                actions += self._register(call, self._feeds.get(call), now)
        actions += self._coordinator.tick(now)
        self._remote.expire(now)
        self._flows.expire(now, self._must_keep)
        self._expire_uploads(now)
        return actions

    def _must_keep(self, flow: bytes, bucket: int) -> bool:
        return self._feeds.has(flow) or self._coordinator.has_open_request(
            flow
        )

    def _expire_uploads(self, now: float) -> None:
        while self._uploads:
            flow = next(iter(self._uploads))
            if now - self._uploads[flow] <= UPLOAD_IDLE_S:
                break
            del self._uploads[flow]
