"""Coordinate the requests of held flows until their final answers."""

from __future__ import annotations

import collections
import math
import typing

from teaseldock.codecs import base
from teaseldock import exchanges
from teaseldock import executor
from teaseldock import guard
from teaseldock import load
from teaseldock import messages
from teaseldock import pending as pendings
from teaseldock import placement

if typing.TYPE_CHECKING:
    from teaseldock import context
    from teaseldock import table

#: Seconds until a forwarded request without an answer is sent again.
REPEAT_S = 0.25
#: Seconds after which a forwarded request without an answer times out.
FORWARD_TIMEOUT_S = executor.ANSWER_TIMEOUT_S + 1.0
#: Targets that are tried before the caller gets a refusal.
ATTEMPTS = 3
#: Retries earned by each request; bounds the share of requests that run again
#: after an unknown outcome.
RETRY_SHARE = 0.1
#: Retries that can be saved up for a burst.
RETRY_BURST = 10.0
#: Weight of a request that belongs to no class of the rules.
DEFAULT_WEIGHT = 1.0


class Coordinator:
    """Place, forward, retry and answer the requests of held flows.

    A guarded request that may have reached a server is never sent to another
    one. :mod:`teaseldock.guard` enforces the other conditions of at-most-once
    execution.
    """

    def __init__(
        self,
        shared: context.Context,
        service: table.ServiceTable,
        local_executor: executor.Executor,
        loads: placement.LoadView,
        own_load: typing.Callable[[float], load.Load],
        refuse: typing.Callable[[list[executor.Job], float], list],
    ) -> None:
        """Create a coordinator without requests.

        :param local_executor: executor of the local server.
        :param own_load: returns the load of the local target at a time.
        :param refuse: refuses jobs of the local executor, both those of this
            coordinator and those that other agents forwarded.
        """
        self._shared = shared
        self._service = service
        self._executor = local_executor
        self._loads = loads
        self._own_load = own_load
        self._refuse = refuse
        self._exchanges = exchanges.ExchangeTable()
        self._pending: dict[int, pendings.Pending] = {}
        self._open_flows: collections.Counter[bytes] = collections.Counter()
        self._weights: dict[tuple[str, str], float] = {}
        self._guard = guard.Guard(shared, service, self._exchanges)
        self._retry_tokens = RETRY_BURST

    @property
    def exchanges(self) -> exchanges.ExchangeTable:
        """Return the table of known exchanges."""
        return self._exchanges

    @property
    def guard(self) -> guard.Guard:
        """Return the guard that issues and checks challenges."""
        return self._guard

    @property
    def open(self) -> int:
        """Return the number of requests without a final answer."""
        return len(self._pending)

    def has_open_request(self, flow: bytes) -> bool:
        """Return whether a flow has a request without a final answer."""
        return flow in self._open_flows

    def configure(
        self,
        service: table.ServiceTable,
        classes: typing.Iterable[typing.Mapping[str, typing.Any]],
    ) -> None:
        """Apply the table of a service and its request classes."""
        self._service = service
        self._guard.set_service(service)
        self._weights = {
            (item['method'], item['path'].strip('/')): item['weight']
            for item in classes
        }

    def weight_of(self, request: base.Request) -> float:
        """Return the weight of a request's class."""
        return self._weights.get(
            (request.method, request.segment), DEFAULT_WEIGHT
        )

    def on_request(
        self, flow: bytes, request: base.Request, now: float
    ) -> list[messages.Action]:
        """Handle a request of a flow that is held here."""
        key = flow + request.exchange
        known = self._exchanges.get(key)
        if known is not None:
            return self._answer_repeat(known, request)
        if request.idempotent:
            return self._begin(flow, key, request, now)
        return self._on_guarded(flow, key, request, now)

    def _answer_repeat(
        self, exchange: exchanges.Exchange, request: base.Request
    ) -> list[messages.Action]:
        self._shared.counters['repeats'] += 1
        if exchange.answer is not None:
            return [messages.ToCaller(exchange.flow, exchange.answer)]
        if exchange.answer_evicted:
            return self._refuse_unknown(exchange.flow, request)
        return []

    def _on_guarded(
        self, flow: bytes, key: bytes, request: base.Request, now: float
    ) -> list[messages.Action]:
        """Handle a request that must not run twice."""
        decision = self._guard.evaluate(flow, key, request, now)
        if decision.verdict is guard.Verdict.RUN:
            return self._begin(flow, key, request, now)
        if decision.verdict is guard.Verdict.UNKNOWN:
            return self._refuse_unknown(flow, request)
        return decision.actions

    def _begin(
        self, flow: bytes, key: bytes, request: base.Request, now: float
    ) -> list[messages.Action]:
        guarded = not request.idempotent
        exchange = exchanges.Exchange(flow, request.body, now, guarded=guarded)
        self._exchanges.add(key, exchange)
        weight = self.weight_of(request)
        pending = pendings.Pending(key, exchange, request, weight, now)
        self._open_flows[flow] += 1
        self._retry_tokens = min(RETRY_BURST, self._retry_tokens + RETRY_SHARE)
        self._shared.counters['requests'] += 1
        return self._place(pending, now)

    def _must_run_locally(self, request: base.Request) -> bool:
        return request.pinned or request.observe is not None

    def _place(
        self, pending: pendings.Pending, now: float
    ) -> list[messages.Action]:
        """Submit or forward a request to the best target not tried yet."""
        actions: list[messages.Action] = []
        while len(pending.tried) < ATTEMPTS:
            name = self._choose(pending, now)
            if name is None:
                break
            call = next(self._shared.calls)
            if name != self._shared.name:
                return actions + self._forward_request(
                    pending, call, name, now
                )
            job = executor.Job(
                call,
                pending.weight,
                pending.deadline,
                pending.exchange.flow,
                pending.request.body,
                pending,
            )
            pending.assignee = name
            pending.consented = True
            self._pending[call] = pending
            result, started, evicted = self._executor.submit(job, now)
            actions += started
            others = [other for other in evicted if other.call != call]
            actions += self._refuse(others, now)
            stayed = len(others) == len(evicted)
            if result is not executor.SubmitResult.REFUSED and stayed:
                return actions
            del self._pending[call]
            pending.tried.add(name)
        return actions + self._refuse_not_run(pending, now)

    def _choose(self, pending: pendings.Pending, now: float) -> str | None:
        own = self._own_load(now)
        own_name = self._shared.name
        if self._must_run_locally(pending.request):
            # This holds while leaving, too: the flow can't move yet, and a
            # planned change must not fail the request.
            usable = self._executor.server_up and not pending.tried
            return own_name if usable else None
        excluded = self._shared.view.excluded
        if not own.accepting or own_name in pending.tried:
            own = None
        return self._loads.choose_for_request(
            own,
            lambda name: name not in excluded
            and name not in pending.tried
            and self._shared.view.incarnation(name) != 0,
            now,
            guarded=not pending.request.idempotent,
        )

    def _forward_request(
        self, pending: pendings.Pending, call: int, name: str, now: float
    ) -> list[messages.Action]:
        pending.assignee = name
        pending.incarnation = self._shared.view.incarnation(name)
        pending.repeat_at = now + REPEAT_S
        pending.consented = pending.request.idempotent
        self._pending[call] = pending
        self._loads.record_sent(name, now, weight=pending.weight)
        self._shared.counters['handed_on'] += 1
        return self._send_execute(pending, call, now)

    def _send_execute(
        self, pending: pendings.Pending, call: int, now: float
    ) -> list[messages.Action]:
        left_ms = 0
        if pending.deadline != math.inf:
            left_ms = max(1, int((pending.deadline - now) * 1000))
        message = messages.Execute(
            self._shared.name,
            self._service.number,
            call,
            self._shared.view.own_incarnation(),
            pending.incarnation,
            pending.weight,
            pending.request.idempotent,
            left_ms,
            pending.request.body,
            self._loads.pack_reports(
                self._own_load(now), now, to=pending.assignee
            ),
        )
        return self._shared.view.to_peer(pending.assignee, message)

    def on_claim(self, message: messages.Claim) -> list[messages.Action]:
        """Consent to the start of a request that is assigned to the sender.

        The outcome is unknown from then on if the sender fails. Before, the
        request has certainly not run.
        """
        pending = self._pending.get(message.call)
        granted = (
            pending is not None
            and pending.assignee == message.sender
            and message.incarnation in self._shared.view.own_incarnations()
        )
        if granted:
            pending.consented = True
        consent = messages.Consent(
            self._shared.name,
            self._service.number,
            message.call,
            message.incarnation,
            granted,
        )
        return self._shared.view.to_peer(message.sender, consent)

    def on_executed(
        self, message: messages.Executed, now: float
    ) -> list[messages.Action]:
        """Handle a peer's answer to a forwarded request."""
        pending = self._pending.get(message.call)
        if pending is None or pending.assignee != message.sender:
            self._shared.counters['late_answers'] += 1
            return []
        del self._pending[message.call]
        if message.outcome == messages.Outcome.ANSWERED:
            return self._answer(pending, message.body)
        if message.outcome == messages.Outcome.NOT_RUN:
            pending.tried.add(message.sender)
            return self._place(pending, now)
        return self._on_unknown_outcome(pending, now)

    def on_local_outcome(
        self,
        job: executor.Job,
        outcome: messages.Outcome,
        body: bytes,
        now: float,
    ) -> list[messages.Action]:
        """Handle the outcome of a job at the local server."""
        pending = self._pending.pop(job.call, None)
        if pending is None:
            return []
        if outcome == messages.Outcome.ANSWERED:
            return self._answer(pending, body)
        if outcome == messages.Outcome.NOT_RUN:
            pending.tried.add(self._shared.name)
            return self._place(pending, now)
        return self._on_unknown_outcome(pending, now)

    def refuse_job(
        self, job: executor.Job, now: float
    ) -> list[messages.Action]:
        """Refuse a queued local job that will not run."""
        pending = self._pending.pop(job.call, None)
        if pending is None:
            return []
        return self._refuse_not_run(pending, now)

    def _answer(
        self, pending: pendings.Pending, body: bytes
    ) -> list[messages.Action]:
        answer = self._shared.codec.answer(
            pending.request, body, sequence=None
        )
        return self._settle(pending, answer)

    def settle_local(
        self, job: executor.Job, answer: bytes
    ) -> list[messages.Action]:
        """Settle a local job with an encoded answer."""
        pending = self._pending.pop(job.call, None)
        if pending is None:
            return []
        return self._settle(pending, answer)

    def _settle(
        self, pending: pendings.Pending, answer: bytes
    ) -> list[messages.Action]:
        """Send the final answer and store it for retransmissions."""
        self._close(pending)
        self._shared.counters['answered'] += 1
        self._exchanges.store_answer(pending.exchange, answer)
        return [messages.ToCaller(pending.exchange.flow, answer)]

    def _close(self, pending: pendings.Pending) -> None:
        flow = pending.exchange.flow
        self._open_flows[flow] -= 1
        if self._open_flows[flow] <= 0:
            del self._open_flows[flow]

    def _on_unknown_outcome(
        self, pending: pendings.Pending, now: float
    ) -> list[messages.Action]:
        """Retry or refuse a request that may have run without an answer."""
        if not pending.consented:
            pending.tried.add(pending.assignee)
            return self._place(pending, now)
        retry = pending.request.idempotent and self._retry_tokens >= 1
        if retry and pending.deadline > now:
            self._retry_tokens -= 1
            self._shared.counters['retries'] += 1
            pending.tried.add(pending.assignee)
            pending.may_have_run = True
            return self._place(pending, now)
        self._close(pending)
        self._shared.counters['refused_outcome_unknown'] += 1
        answer = self._refusal(pending.request, base.Refusal.OUTCOME_UNKNOWN)
        self._exchanges.store_answer(pending.exchange, answer)
        return [messages.ToCaller(pending.exchange.flow, answer)]

    def _refuse_not_run(
        self, pending: pendings.Pending, now: float
    ) -> list[messages.Action]:
        # A retried idempotent request may have run in an earlier attempt;
        # "not run" would then be false.
        self._close(pending)
        reason = base.Refusal.NOT_RUN
        if pending.may_have_run:
            reason = base.Refusal.OUTCOME_UNKNOWN
        self._shared.counters['refused_not_run'] += 1
        after = self._executor.retry_after(now)
        answer = self._refusal(pending.request, reason, after)
        self._exchanges.store_answer(pending.exchange, answer)
        return [messages.ToCaller(pending.exchange.flow, answer)]

    def _refuse_unknown(
        self, flow: bytes, request: base.Request
    ) -> list[messages.Action]:
        self._shared.counters['refused_outcome_unknown'] += 1
        answer = self._refusal(request, base.Refusal.OUTCOME_UNKNOWN)
        return [messages.ToCaller(flow, answer)]

    def _refusal(
        self,
        request: base.Request,
        reason: base.Refusal,
        after: int = executor.RETRY_AFTER_MIN_S,
    ) -> bytes:
        return self._shared.codec.refusal(request, reason, retry_after_s=after)

    def tick(self, now: float) -> list[messages.Action]:
        """Repeat forwarded requests, and retry or refuse failed ones."""
        actions: list[messages.Action] = []
        for call, pending in list(self._pending.items()):
            if pending.assignee != self._shared.name:
                actions += self._check_forwarded(call, pending, now)
        for handover, decision in self._guard.evaluate_overdue(now):
            actions += decision.actions
            if decision.verdict is guard.Verdict.UNKNOWN:
                actions += self._refuse_unknown(
                    handover.flow, handover.request
                )
        self._exchanges.expire(now)
        return actions

    def _check_forwarded(
        self, call: int, pending: pendings.Pending, now: float
    ) -> list[messages.Action]:
        current = self._shared.view
        restarted = (
            current.incarnation(pending.assignee) != pending.incarnation
        )
        expired = now - pending.began_at > FORWARD_TIMEOUT_S
        if current.is_dead(pending.assignee) or restarted or expired:
            del self._pending[call]
            return self._on_unknown_outcome(pending, now)
        if now < pending.repeat_at:
            return []
        pending.repeat_at = now + REPEAT_S
        self._shared.counters['hand_on_repeats'] += 1
        return self._send_execute(pending, call, now)

    def cancel(self, flow: bytes) -> None:
        """Drop the queued requests of a flow after its caller's reset."""
        for call, pending in list(self._pending.items()):
            if pending.exchange.flow != flow:
                continue
            if self._executor.cancel(call) is None:
                continue
            del self._pending[call]
            self._close(pending)
            self._exchanges.remove(pending.key)
