"""Move new flows to another service of their route while the first is late.

A route may name several services with weights. A service that gets most of
the weight may have too few servers for it: feeds whose route was moved to a
small service were lost there while the large one was idle. The weights
therefore apply only while the service chosen by weight can serve in time. The
conditions bound the harm to the other service's own callers, and all of them
are checked for each flow, so that the shares return to the weights by
themselves.
"""

from __future__ import annotations

import collections
import typing

from teaseldock import flow as flows
from teaseldock.packets import dispatching
from teaseldock.packets import expected_wait
from teaseldock.packets import hints
from teaseldock.packets import load_query
from teaseldock.packets import outcomes
from teaseldock.packets import placing
from teaseldock.packets import reporting

if typing.TYPE_CHECKING:
    from teaseldock.packets import candidates
    from teaseldock.packets import knowledge
    from teaseldock.packets import packet
    from teaseldock.packets import records

#: Share of a route's objective from which the expected completion at the
#: first service counts as late. The other half covers the way of the packets
#: and the deviation of the service times.
LATE_SHARE = 0.5
#: Largest expected completion elsewhere, as a share of that at the first
#: service. A smaller gain would not outweigh the error of the estimates, and
#: flows would alternate between equally busy services.
GAIN_SHARE = 0.5
#: Largest wait to begin elsewhere, as a share of the route's objective. The
#: other service's own callers then wait for at most this long behind flows
#: that came by overflow.
MAX_TARGET_WAIT_SHARE = 0.25
#: Seconds over which the flows sent to a service are counted, and the largest
#: share of them that may come by overflow. Balancers don't know each other's
#: placements; without the bound all of them would send their flows to the
#: same idle servers until the next reports.
WINDOW_S = 1.0
OVERFLOW_SHARE = 0.5
#: Flows counted for each service within WINDOW_S, which bounds the memory; a
#: balancer places some 25 new flows a second.
MAX_COUNTED = 1000
#: Services queried for one flow besides the first, those with the largest
#: weights, which bounds the queries of routes with many services.
MAX_OTHER_SERVICES = 2


class _Placement(typing.NamedTuple):
    """A new flow that this balancer sent to a service.

    :ivar at: time, seconds.
    :ivar overflowed: whether it came by overflow.
    """

    at: float
    overflowed: bool


def completion(candidate: placing.Candidate) -> expected_wait.ExpectedWait:
    """Return when a new flow's request would begin, and its length.

    An agent that reports no service time is compared by its requests and the
    initial service time.
    """
    slots = max(1, candidate.target.slots)
    reported = candidate.reported
    present = reported.running + reported.queued if reported else 0
    # A report without a service time carries 0.
    service_s = placing.service_s(candidate) or dispatching.INITIAL_SERVICE_S
    if candidate.wait is None:
        start_s = expected_wait.estimate(
            ahead=present, slots=slots, service_s=service_s
        ).start_s
    else:
        start_s = candidate.wait.start_s
    # Placements since the report fill its free slots first.
    unreported = candidate.unreported
    if reported is not None:
        unreported -= max(0, slots - 1 - present)
    start_s += max(0.0, unreported) * service_s / slots
    return expected_wait.ExpectedWait(start_s, service_s)


def _completion_s(candidate: placing.Candidate) -> float:
    return completion(candidate).total_s


def _may_take(candidate: placing.Candidate, wait_s: float) -> bool:
    """Tell whether a candidate may get a flow by overflow, by its report.

    A server that fails its requests looks idle, so it gets none.

    :param wait_s: seconds that the flow may have waited for reports.
    """
    reported = candidate.reported
    return (
        reported is not None
        and reported.accepting
        and load_query.is_fresh(candidate, wait_s)
        and candidate.failing <= outcomes.FAILING_THRESHOLD
    )


class OverflowPolicy:
    """Decides which new flows of one balancer leave their first service."""

    def __init__(
        self,
        targets: candidates.Candidates,
        known: knowledge.Knowledge,
        *,
        log_fields: typing.Callable[[], dict[str, typing.Any]],
        reporter: reporting.Reporter,
        meters: reporting.Meters,
    ) -> None:
        """Create a policy of a balancer that has not placed any flow.

        :param log_fields: returns the configuration version, store revision
            and era in use, for log lines.
        """
        self._targets = targets
        self._knowledge = known
        self._log_fields = log_fields
        self._reporter = reporter
        self._meters = meters
        self._placed: dict[str, collections.deque[_Placement]] = {}

    def note_placed(self, hint: hints.Hint, now: float) -> None:
        """Count a flow that is sent to its first target by weight."""
        if hint.host is None and not hint.overflowed:
            self._count(hint.service, now, overflowed=False)

    def _count(self, service: str, now: float, *, overflowed: bool) -> None:
        self._recent(service, now).append(_Placement(now, overflowed))

    def _recent(
        self, service: str, now: float
    ) -> collections.deque[_Placement]:
        placed = self._placed.setdefault(
            service, collections.deque(maxlen=MAX_COUNTED)
        )
        while placed and now - placed[0].at >= WINDOW_S:
            placed.popleft()
        return placed

    def has_room(self, service: str, now: float) -> bool:
        """Tell whether one more flow may go to a service by overflow.

        A service that gets no flows by weight gets none by overflow.
        """
        placed = self._recent(service, now)
        overflowed = sum(item.overflowed for item in placed)
        return overflowed + 1 <= OVERFLOW_SHARE * (len(placed) + 1)

    def others(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        first: list[placing.Candidate],
        now: float,
    ) -> list[list[placing.Candidate]]:
        """Return the candidates of each other service that may get a flow.

        :param first: candidates of the flow's service with fresh loads.
        :returns: an empty list if the weights apply.
        """
        route = self._knowledge.route(flows.packed_service_endpoint(item.flow))
        if route is None or not first or not hint.may_overflow:
            return []
        services = self._other_services(route, hint.service)
        if not services:
            return []
        best = min(first, key=_completion_s)
        if _completion_s(best) < LATE_SHARE * route.aim_ms / 1000:
            return []
        services = [name for name in services if self.has_room(name, now)]
        if not services:
            self._note_refused(item, hint, best, 'share')
            return []
        groups = []
        for service in services:
            usable = self._targets.for_new_flow(
                item.flow, hint.at_service(service), now
            )
            groups.append(usable[: placing.CANDIDATES])
        return groups

    def _other_services(self, route: records.Route, service: str) -> list[str]:
        """Return the other services with a weight, the largest first."""
        weights = {
            choice.service: choice.weight
            for choice in route.choices
            if choice.weight > 0
        }
        if service not in weights:
            # The route has moved since the flow's service was chosen.
            return []
        del weights[service]
        ordered = sorted(weights, key=lambda name: -weights[name])
        return ordered[:MAX_OTHER_SERVICES]

    def choose(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        first: list[placing.Candidate],
        others: list[list[placing.Candidate]],
        now: float,
        *,
        wait_s: float = load_query.ANSWER_WAIT_S,
    ) -> placing.Candidate | None:
        """Return the target of a flow at another service.

        The hint then names that service.

        :param others: the result of :meth:`others`.
        :param wait_s: seconds that the flow may have waited for reports.
        :returns: None if the weights apply.
        """
        route = self._knowledge.route(flows.packed_service_endpoint(item.flow))
        if route is None or not others:
            return None
        best = min(first, key=_completion_s)
        usable = [
            one for group in others for one in group if _may_take(one, wait_s)
        ]
        if not usable:
            self._note_refused(item, hint, best, 'no fresh load')
            return None
        chosen = min(usable, key=_completion_s)
        wait = completion(chosen)
        if wait.total_s >= GAIN_SHARE * _completion_s(best):
            self._note_refused(item, hint, best, 'not sooner', chosen)
            return None
        if wait.start_s >= MAX_TARGET_WAIT_SHARE * route.aim_ms / 1000:
            self._note_refused(item, hint, best, 'busy', chosen)
            return None
        self._meters.counters['overflowed'] += 1
        self._note('overflow', item, hint, best, chosen)
        service = chosen.target.service
        self._count(service, now, overflowed=True)
        hint.move_to(service, overflowed=True)
        return chosen

    def _note_refused(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        best: placing.Candidate,
        why: str,
        other: placing.Candidate | None = None,
    ) -> None:
        self._meters.counters['overflow_refused'] += 1
        self._note('overflow refused', item, hint, best, other, why=why)

    def _note(
        self,
        event: str,
        item: packet.Packet,
        hint: hints.Hint,
        best: placing.Candidate,
        other: placing.Candidate | None,
        **fields: str,
    ) -> None:
        values: dict[str, typing.Any] = {
            'from_service': hint.service,
            'from_ms': round(_completion_s(best) * 1000),
            'from_age_ms': round(best.age_s * 1000),
        }
        if other is not None:
            wait = completion(other)
            values['to_service'] = other.target.service
            values['to_ms'] = round(wait.total_s * 1000)
            values['to_start_ms'] = round(wait.start_s * 1000)
            values['to_age_ms'] = round(other.age_s * 1000)
            values['host'] = other.target.host
        self._reporter.note(
            event,
            flow=reporting.flow_text(item.flow),
            **values,
            **fields,
            **self._log_fields(),
        )
