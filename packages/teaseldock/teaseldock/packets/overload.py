"""Refuse new flows whose first request would end after its timeout.

Only the agent beside a server knows the server's queue, so the agent decides:
it returns the opening to the balancer with the reason OVERLOADED. The balancer
asks other agents, and resets the flow once enough of them have given this
answer. No server ever received the opening, so that no request has run.

The first request of a flow follows its opening by one round trip. It can't be
refused any more, since a reset would then hit an open flow.
"""

from __future__ import annotations

import collections
import typing

from teaseldock.packets import dispatching

if typing.TYPE_CHECKING:
    from teaseldock.packets import admission as admissions
    from teaseldock.packets import packet
    from teaseldock.packets import reporting

#: Detail of a returned packet: the reason OVERLOADED of the agent.
REASON_OVERLOADED = 5
#: Detail of a forwarded opening that must not be refused, because a copy that
#: the balancer doesn't know of may have been accepted. Agents of the previous
#: version ignore the detail, and never refuse.
DETAIL_KEEP = 1
#: Share of the limits below which an agent that refuses accepts again.
ACCEPT_SHARE = 0.75
#: Seconds without a refusal after which the overload has ended. Balancers
#: don't ask an agent for EXCLUSION_S after its answer. With 0.5 s, overloads
#: of rare feeds ended and began again during one burst.
QUIET_S = 1.0
#: Seconds for which the openings of a flow are remembered. Its caller abandons
#: it after 1.4 s; the rest is for copies that are queued at a link.
OPENING_MEMORY_S = 2.0
#: Maximum number of openings remembered; 2,000 flows a second.
MAX_OPENINGS = 4000
#: Smallest share of the capacity assumed to be left for a request. It bounds
#: the expected end, which would be infinite under permanent overload.
MIN_FREE_SHARE = 0.02
#: The same for late non-idempotent requests: the queue runs them shortly
#: before their timeout, also when others could still be in time. With a larger
#: share, too many of them are accepted and wait in vain.
MIN_GUARDED_SHARE = 0.5
#: Waiting requests per slot below which no opening is refused: the server
#: must not become idle while refused callers come back.
MIN_QUEUE = 2
#: Agents that must have answered OVERLOADED before a flow is refused.
ANSWERS_TO_REFUSE = 3
#: Seconds for which a balancer doesn't ask an agent again for new flows of a
#: priority that it has refused: callers come back at once, and an agent of one
#: slot has ended two to four requests by then.
EXCLUSION_S = 0.1
#: Seconds after the arrival of an opening within which the flow may be
#: refused. Callers repeat it after 200 ms, perhaps at another balancer, where
#: a server may accept it; the rest is for the way of the reset.
REFUSAL_WINDOW_S = 0.15
#: Seconds between two ticks of a balancer that count as a pause. It ticks each
#: 50 ms. What arrived during a pause may be old: later copies may have gone to
#: another balancer.
PAUSE_S = 0.15
#: Seconds after a pause in which arriving flows aren't refused: packets that
#: came during a pause are handled up to 0.2 s later.
PAUSE_SETTLES_S = 0.25
#: Number of the last copy of an opening.
LAST_COPY = 2


class Forecast(typing.NamedTuple):
    """What would delay a new request at one server.

    :ivar start_s: seconds until it starts, by the present order of the queue.
    :ivar late_s: seconds of work for waiting requests that can't meet their
        objective any more; they precede the request once it can't either.
    :ivar share_s: seconds until it starts by the minimum share of the lowest
        priority; None if a lower priority waits.
    :ivar service_s: service time.
    :ivar higher: share of the capacity that requests of higher priorities
        take.
    :ivar arriving: the same, with requests of its own priority.
    """

    start_s: float
    late_s: float
    share_s: float | None
    service_s: float
    higher: float
    arriving: float

    @property
    def undelayed_s(self) -> float:
        """Return the seconds until it ends if it stays in time."""
        start_s = self.start_s / _free(self.higher)
        if self.share_s is not None:
            start_s = min(start_s, self.share_s)
        return start_s + self.service_s

    def expected_end_s(
        self, aim_s: float, *, least_free: float = MIN_FREE_SHARE
    ) -> float:
        """Return the seconds until the request is answered.

        A request that can't meet its objective runs after all requests that
        still can, including those that arrive later. It gets what they leave
        of the capacity.

        :param aim_s: latency objective.
        :param least_free: share of the capacity that it gets in any case.
        """
        if self.undelayed_s <= aim_s:
            return self.undelayed_s
        left_s = max(0.0, self.start_s + self.late_s + self.service_s - aim_s)
        late_end_s = aim_s + left_s / max(least_free, 1 - self.arriving)
        return max(self.undelayed_s, late_end_s)


def _free(taken: float) -> float:
    return max(MIN_FREE_SHARE, 1.0 - taken)


class _Overload:
    """The overload of one priority at one agent.

    :ivar since: time of the first refusal.
    :ivar refused_at: time of the last refusal.
    :ivar refused: number of refusals.
    """

    __slots__ = ('since', 'refused_at', 'refused')

    def __init__(self, now: float) -> None:
        self.since = now
        self.refused_at = now
        self.refused = 0


class _Opening(typing.NamedTuple):
    """What an agent did with the opening of a flow.

    :ivar at: time of the decision.
    :ivar refused: whether it was returned; else the server may have it.
    """

    at: float
    refused: bool


class OverloadGate:
    """Decides at an agent which openings its server can still serve."""

    def __init__(
        self,
        admission: admissions.Admission,
        *,
        log_fields: admissions.LogFields,
        reporter: reporting.Reporter,
        now: float,
    ) -> None:
        """Create a gate that accepts all openings.

        :param admission: the running and waiting requests of the server.
        """
        self._admission = admission
        self._log_fields = log_fields
        self._reporter = reporter
        self._started_at = now
        self._overloads: dict[int, _Overload] = {}
        self._openings: collections.OrderedDict[bytes, _Opening] = (
            collections.OrderedDict()
        )

    @property
    def overloaded_priorities(self) -> list[int]:
        """Return the priorities of which openings are refused."""
        return sorted(self._overloads)

    def note_accepted(self, flow: bytes, now: float) -> None:
        """Record an opening that the server, or another one, may accept."""
        if self._admission.route_terms(flow) is not None:
            self._remember(flow, _Opening(now, refused=False))

    def refuses(self, item: packet.Packet, now: float) -> bool:
        """Decide whether to return an opening to its balancer.

        :param item: an opening of a flow that the server doesn't hold.
        """
        terms = self._admission.route_terms(item.flow)
        if terms is None:
            return False
        earlier = self._openings.get(item.flow)
        if earlier is not None and now - earlier.at < OPENING_MEMORY_S:
            # All copies get the same answer. If one were returned and another
            # accepted, the balancer could reset the flow as it opens.
            return earlier.refused
        if item.acknowledged and now - self._started_at < OPENING_MEMORY_S:
            # The previous process may have forwarded an earlier copy.
            return False
        if not self._is_beyond_limits(terms, now):
            return False
        self._remember(item.flow, _Opening(now, refused=True))
        return True

    def _remember(self, flow: bytes, opening: _Opening) -> None:
        self._openings[flow] = opening
        self._openings.move_to_end(flow)
        if len(self._openings) > MAX_OPENINGS:
            self._openings.popitem(last=False)

    def _is_beyond_limits(self, terms: dispatching.Terms, now: float) -> bool:
        forecast = self.forecast(terms.priority, now)
        overload = self._overloads.get(terms.priority)
        if overload is None:
            guarded = terms.guarded
            end_s = forecast.expected_end_s(
                terms.aim_s,
                least_free=MIN_GUARDED_SHARE if guarded else MIN_FREE_SHARE,
            )
            refused = end_s > terms.timeout_s
        else:
            # More requests arrive than the server can serve, so that nothing
            # is left for one that is late.
            forecast = forecast._replace(
                start_s=forecast.start_s + forecast.late_s,
                late_s=0.0,
                arriving=1.0,
            )
            end_s = forecast.expected_end_s(ACCEPT_SHARE * terms.aim_s)
            refused = end_s > ACCEPT_SHARE * terms.timeout_s
        if forecast.start_s <= MIN_QUEUE * forecast.service_s:
            return False
        if not refused:
            return False
        if overload is None:
            overload = self._overloads[terms.priority] = _Overload(now)
            self._log('overload begins', terms.priority, end_s, terms)
        overload.refused_at = now
        overload.refused += 1
        return True

    def forecast(self, priority: int, now: float) -> Forecast:
        """Return what would delay a new request of a priority now."""
        admission = self._admission
        wait = admission.expected_wait(now, priority)
        slots = max(1, admission.slots)
        each_s = wait.service_s / slots
        backlog = admission.queue.backlog(priority, now)
        opening = admission.opening_priorities(now)
        own = backlog.in_time + opening.count(priority)
        share_s = None
        if not backlog.lower and max(opening, default=priority) <= priority:
            turns = dispatching.RELEASES_PER_SHARE * (own + 1)
            share_s = (turns + dispatching.EXTRA_REQUESTS) * each_s
        return Forecast(
            wait.start_s,
            backlog.late * each_s,
            share_s,
            wait.service_s,
            admission.queue.arrival_rate(priority - 1, now) * each_s,
            admission.queue.arrival_rate(priority, now) * each_s,
        )

    def tick(self, now: float) -> None:
        """End overloads without recent refusals, forget old openings."""
        while self._openings:
            flow, opening = next(iter(self._openings.items()))
            if now - opening.at < OPENING_MEMORY_S:
                break
            del self._openings[flow]
        for priority, overload in list(self._overloads.items()):
            if now - overload.refused_at >= QUIET_S:
                del self._overloads[priority]
                end_s = self.forecast(priority, now).undelayed_s
                self._log(
                    'overload ends',
                    priority,
                    end_s,
                    None,
                    refused=overload.refused,
                    lasted_ms=round((now - overload.since) * 1000),
                )

    def _log(
        self,
        event: str,
        priority: int,
        end_s: float,
        terms: dispatching.Terms | None,
        **fields: typing.Any,
    ) -> None:
        if terms is not None:
            fields['timeout_ms'] = round(terms.timeout_s * 1000)
        self._reporter.note(
            event,
            priority=priority,
            expected_end_ms=round(end_s * 1000),
            waiting=self._admission.queue.waiting,
            running=self._admission.queue.running,
            **fields,
            **self._log_fields(),
        )


class _FlowRecord:
    """What a balancer knows of the opening of one flow.

    :ivar priority: priority of its route.
    :ivar arrived_at: time at which the last copy arrived.
    :ivar may_refuse: whether all copies are known, so that the answers of the
        agents show whether a server has accepted one.
    :ivar pending: copies that were forwarded and not returned, by host.
    :ivar overloaded: hosts that answered OVERLOADED.
    :ivar refused: whether the flow was refused.
    """

    __slots__ = (
        'priority',
        'arrived_at',
        'may_refuse',
        'pending',
        'overloaded',
        'refused',
    )

    def __init__(self, priority: int, now: float, *, may_refuse: bool) -> None:
        self.priority = priority
        self.arrived_at = now
        self.may_refuse = may_refuse
        self.pending: dict[str, int] = {}
        self.overloaded: list[str] = []
        self.refused = False


class OverloadRecord:
    """The answers OVERLOADED that a balancer got, by flow and by agent."""

    def __init__(self) -> None:
        """Create a record without answers."""
        self._flows: collections.OrderedDict[bytes, _FlowRecord] = (
            collections.OrderedDict()
        )
        self._answered: dict[int, collections.OrderedDict[str, float]] = {}
        self._ticked_at: float | None = None
        self._paused_at = float('-inf')

    def tick(self, now: float) -> None:
        """Notice pauses of this process; to be called every 50 ms."""
        self._check_pause(now)
        self._ticked_at = now

    def _check_pause(self, now: float) -> None:
        if self._ticked_at is not None and now - self._ticked_at > PAUSE_S:
            self._paused_at = now

    def note_opening(
        self, item: packet.Packet, priority: int, now: float
    ) -> None:
        """Record a copy of an opening that arrives from the fabric.

        A flow is refused only if its first copy arrived here, since another
        balancer may have forwarded copies that this one doesn't know of.
        """
        self._forget(now)
        self._check_pause(now)
        known = self._flows.get(item.flow)
        if known is None or not item.acknowledged:
            recent = now - self._paused_at >= PAUSE_SETTLES_S
            known = _FlowRecord(
                priority, now, may_refuse=recent and not item.acknowledged
            )
            self._flows[item.flow] = known
            if len(self._flows) > MAX_OPENINGS:
                self._flows.popitem(last=False)
        elif item.acknowledged >= LAST_COPY and known.pending:
            # Some agent doesn't answer. The caller is served late rather than
            # never, since its flow can't be refused.
            known.may_refuse = False
        known.arrived_at = now
        self._flows.move_to_end(item.flow)

    def _forget(self, now: float) -> None:
        while self._flows:
            flow, known = next(iter(self._flows.items()))
            if now - known.arrived_at < OPENING_MEMORY_S:
                return
            del self._flows[flow]

    def note_forwarded(self, flow: bytes, host: str) -> int:
        """Record that an opening is forwarded; return the packet's detail."""
        known = self._flows.get(flow)
        if known is None:
            return DETAIL_KEEP
        known.pending[host] = known.pending.get(host, 0) + 1
        return 0 if known.may_refuse else DETAIL_KEEP

    def note_moved(self, flow: bytes, host: str, new_host: str) -> None:
        """Record that an agent has handed an opening to another one."""
        known = self._flows.get(flow)
        if known is None or host not in known.pending:
            return
        known.pending[host] -= 1
        if known.pending[host] <= 0:
            del known.pending[host]
        known.pending[new_host] = known.pending.get(new_host, 0) + 1

    def note_returned(
        self, flow: bytes, host: str, reason: int, now: float
    ) -> None:
        """Record that an agent has returned a copy of an opening.

        OVERLOADED is an agent's answer to all copies, also to those that are
        still on the way to it.
        """
        known = self._flows.get(flow)
        if known is None:
            return
        pending = known.pending.pop(host, 0) - 1
        if reason != REASON_OVERLOADED:
            if pending > 0:
                known.pending[host] = pending
            return
        if host not in known.overloaded:
            known.overloaded.append(host)
        answered = self._answered.setdefault(
            known.priority, collections.OrderedDict()
        )
        answered[host] = now
        answered.move_to_end(host)

    def excluded_hosts(self, flow: bytes, now: float) -> set[str]:
        """Return the hosts that have just refused flows of this priority.

        They would most likely refuse again. Flows that must not be refused
        exclude none.
        """
        known = self._flows.get(flow)
        if known is None or not known.may_refuse:
            return set()
        answered = self._answered.get(known.priority)
        while answered:
            host, at = next(iter(answered.items()))
            if now - at < EXCLUSION_S:
                break
            del answered[host]
        return set(answered or ())

    def enough_answers(self, flow: bytes) -> bool:
        """Tell whether enough agents have refused a flow."""
        known = self._flows.get(flow)
        if known is None or not known.may_refuse:
            return False
        return len(known.overloaded) >= ANSWERS_TO_REFUSE

    def is_overloaded(self, flow: bytes, hosts: set[str], now: float) -> bool:
        """Tell whether overload is why a flow has no target left.

        :param hosts: hosts of the targets of its service.
        """
        known = self._flows.get(flow)
        if known is None or not known.may_refuse:
            return False
        if known.overloaded:
            return True
        return not hosts.isdisjoint(self.excluded_hosts(flow, now))

    def unanswered(self, flow: bytes) -> str | None:
        """Return a host whose server may have accepted the opening."""
        known = self._flows.get(flow)
        return next(iter(known.pending), None) if known else None

    def is_recent(self, flow: bytes, now: float) -> bool:
        """Tell whether no later copy of an opening can be under way."""
        known = self._flows.get(flow)
        if known is None:
            return False
        return now - known.arrived_at < REFUSAL_WINDOW_S

    def note_refused(self, flow: bytes) -> None:
        """Record that a flow was refused."""
        known = self._flows.get(flow)
        if known is not None:
            known.refused = True

    def was_refused(self, item: packet.Packet) -> bool:
        """Tell whether a copy of the opening of a refused flow has arrived.

        It was sent before the reset arrived. If a server accepted it, the
        reset would have been wrong.
        """
        known = self._flows.get(item.flow)
        return known is not None and known.refused and item.acknowledged > 0
