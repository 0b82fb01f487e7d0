"""Choose the target of a new flow.

Flows of few requests share targets with flows that last for minutes, and each
target runs a few requests at once. A request waits as soon as all slots of its
target are busy, while another target may be idle. A cold or slow target takes
1.6 to 5 times as long for each request. So the decision is based on the time
until a new request would be answered, as recently as it is known.
"""

from __future__ import annotations

import functools
import heapq
import typing

import siphash24

from teaseldock import flow as flows
from teaseldock.packets import dispatching
from teaseldock.packets import expected_wait

if typing.TYPE_CHECKING:
    from teaseldock import load
    from teaseldock.packets import records

#: Number of candidates of a flow: the best of this many, first in its rank,
#: gets it. A flow whose balancer is gone is found by querying the first in its
#: rank. More candidates concentrate the flows of all balancers on the few
#: targets that were idle a moment ago: reports are 0.2 to 0.4 s old, ten times
#: a service time. In a simulation of 24 targets of one slot at 70 % of the
#: capacity, 1.3, 1.1 and 1.8 % of the orders were late with 2, 3 and 4
#: candidates.
CANDIDATES = 3
#: Share of the latency objective that the expected completion of a request may
#: take before the best of the candidates counts as loaded and the next ones in
#: the rank are considered. The rest of the objective is for what the report
#: does not show: the ways between caller and server, and requests that other
#: balancers place at the same moment. A target that fails its requests also
#: counts as loaded.
LOADED_SHARE = 0.5
#: Latency objective of a flow without a known route, seconds. It is that of
#: the shortest requests of the users.
DEFAULT_AIM_S = 0.15
#: Weight of the mean load of the last seconds against the present load. Feeds
#: send requests repeatedly; the present load misses them between two requests.
MEAN_WEIGHT = 0.5
#: Seconds that a flow to another data centre must save. Placing it in its own
#: data centre saves 1 to 3 ms of each request and traffic between data
#: centres.
DISTANCE_S = 0.003
#: Service times that a held flow counts as: a feed sends a request about every
#: six seconds, which takes some 70 ms. The flows decide between equally busy
#: targets, but not whether a target counts as loaded: with 100 feeds each, all
#: targets counted as loaded, and every new flow went to the target that had
#: started last.
FLOW_WEIGHT = 0.01
#: Share of its speed that a target counts with while it warms up and its agent
#: has not measured its service time; requests then take 1.6 times as long.
WARMING_SHARE = 0.6
#: Ratio to the shortest service time among the candidates up to which service
#: times count as equal. The measured means of equal servers differ by some
#: 10 % by chance, and flows would gather at those measured as fastest; a cold
#: server takes 1.6 times as long.
EQUAL_SERVICE_RATIO = 1.3
#: Seconds added for a server that fails all requests; proportionally less for
#: one that fails some. A failed request costs its caller at least another
#: attempt, and a request that cannot be repeated is lost; 0.3 s are about the
#: latency objective of the users' feeds and orders. So such a server still
#: gets new flows when all others are worse.
FAILING_S = 0.3
#: Seconds for which a placement counts in addition to the report: the way to
#: the agent, the wait for its next report, and the way back.
UNREPORTED_PLACEMENT_S = 0.01
#: Number of addresses whose text is cached, so that it is not built for each
#: flow.
MAX_CACHED_ADDRESSES = 4096
_RANK_KEY = b'teaseldock-rank1'
_BUCKET_KEY = b'teaseldock-bucke'


class Candidate(typing.NamedTuple):
    """A target as a balancer sees it at one moment.

    :ivar target: its registered entry.
    :ivar reported: the load that its agent reported last, or None.
    :ivar age_s: age of the report, seconds.
    :ivar unreported: placements that the report does not include yet: own ones
        and an estimate of those of other balancers.
    :ivar warming: whether it is warming up.
    :ivar failing: share of its recent requests that failed.
    :ivar wait: expected wait of a new request that its agent reported last, or
        None.
    """

    target: records.Target
    reported: load.Load | None
    age_s: float
    unreported: float
    warming: bool
    failing: float = 0.0
    wait: expected_wait.ExpectedWait | None = None


def bucket(flow: bytes) -> int:
    """Return the bucket of a flow; all flows of a bucket share their ranks."""
    return flows.bucket_of(flow, key=_BUCKET_KEY)


def rank(flow: bytes, target: records.Target) -> bytes:
    """Return the sort key of a target in the rank order of a flow."""
    return _rank_in(bucket(flow), target)


def _rank_in(number: int, target: records.Target) -> bytes:
    text = bytes((number,)) + _address_text(target.host, target.port)
    return siphash24.siphash24(text, key=_RANK_KEY).digest()


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _address_text(host: str, port: int) -> bytes:
    return f'{host}:{port}'.encode()


def ranked(
    flow: bytes,
    targets: list[records.Target],
    *,
    near: str | None,
    count: int | None = None,
) -> list[records.Target]:
    """Return targets in the rank order of a flow.

    :param near: data centre whose targets come first, for flows that carry
        many bytes, since traffic between data centres is charged.
    :param count: maximum number of targets to return; all if not given.
    """
    number = bucket(flow)
    return heapq.nsmallest(
        len(targets) if count is None else count,
        targets,
        key=lambda item: (
            near is not None and item.data_centre != near,
            _rank_in(number, item),
        ),
    )


def initial_service_s(*, warming: bool) -> float:
    """Return the service time assumed for a target that reported none.

    :param warming: whether the target is warming up.
    """
    if warming:
        return dispatching.INITIAL_SERVICE_S / WARMING_SHARE
    return dispatching.INITIAL_SERVICE_S


def service_s(candidate: Candidate) -> float:
    """Return the expected service time of a request at a target, seconds."""
    if candidate.wait is not None:
        return candidate.wait.service_s
    return initial_service_s(warming=candidate.warming)


def _comparable_service_s(
    candidate: Candidate, shortest_s: float | None
) -> float:
    """Return the service time, or the shortest if they are about equal."""
    taken_s = service_s(candidate)
    if shortest_s and taken_s <= EQUAL_SERVICE_RATIO * shortest_s:
        return shortest_s
    return taken_s


def completion_s(
    candidate: Candidate, *, shortest_s: float | None = None
) -> float:
    """Return the seconds until a request of a new flow would be answered.

    The requests per slot count as service times, also while a slot is free:
    others may take it before the request arrives. The reported wait replaces
    what they say of the wait to begin, since the agent also knows how long
    requests have been running and the limit of a cold server.

    :param shortest_s: shortest service time among the candidates. A service
        time that is about the same counts as equal.
    """
    slots = candidate.target.slots or 1
    wait = candidate.wait
    taken_s = _comparable_service_s(candidate, shortest_s)
    requests = candidate.unreported
    reported = candidate.reported
    if reported is None:
        return taken_s * (1 + requests / slots)
    present = reported.running + reported.queued
    requests += (1 - MEAN_WEIGHT) * present + MEAN_WEIGHT * reported.work
    result_s = taken_s * (1 + requests / slots)
    if wait is None:
        return result_s
    by_count = expected_wait.estimate(
        ahead=present, slots=slots, service_s=taken_s
    )
    start_s = wait.start_s * taken_s / wait.service_s
    difference_s = start_s - by_count.start_s
    return result_s + (1 - MEAN_WEIGHT) * difference_s


def placement_cost(
    candidate: Candidate,
    *,
    data_centre: str,
    shortest_s: float | None = None,
) -> float:
    """Return the cost of a new flow at a target, in seconds.

    :param data_centre: data centre of the balancer that places it.
    :param shortest_s: see :func:`completion_s`.
    """
    cost_s = completion_s(candidate, shortest_s=shortest_s)
    reported = candidate.reported
    if reported is not None:
        slots = candidate.target.slots or 1
        taken_s = _comparable_service_s(candidate, shortest_s)
        cost_s += FLOW_WEIGHT * reported.flows * taken_s / slots
    if candidate.target.data_centre != data_centre:
        cost_s += DISTANCE_S
    return cost_s + FAILING_S * candidate.failing


def choose(
    flow: bytes,
    candidates: list[Candidate],
    *,
    data_centre: str,
    bulky: bool,
    aim_s: float = DEFAULT_AIM_S,
) -> Candidate | None:
    """Return the target of a new flow, or None if there are no candidates.

    :param candidates: targets that may get new flows.
    :param data_centre: data centre of the balancer that places it.
    :param bulky: whether the flow carries many bytes.
    :param aim_s: latency objective of its requests, seconds.
    """
    if not candidates:
        return None
    known = {item.target.identifier: item for item in candidates}
    order = ranked(
        flow,
        [item.target for item in candidates],
        near=data_centre if bulky else None,
    )
    ordered = [known[target.identifier] for target in order]
    return pick(ordered, data_centre=data_centre, aim_s=aim_s)


def is_loaded(candidate: Candidate, *, aim_s: float = DEFAULT_AIM_S) -> bool:
    """Tell whether a flow should go to another target if possible.

    :param aim_s: latency objective of the flow's requests, seconds.
    """
    cost_s = completion_s(candidate) + FAILING_S * candidate.failing
    return cost_s > LOADED_SHARE * aim_s


def pick(
    ordered: list[Candidate],
    *,
    data_centre: str,
    aim_s: float = DEFAULT_AIM_S,
) -> Candidate:
    """Return the target of a new flow among candidates in its rank order.

    :param ordered: at least one candidate.
    :param data_centre: data centre of the balancer that places it.
    :param aim_s: latency objective of the flow's requests, seconds.
    """
    shortest_s = min(service_s(item) for item in ordered)

    def cost(item: Candidate) -> float:
        return placement_cost(
            item, data_centre=data_centre, shortest_s=shortest_s
        )

    for start in range(0, len(ordered), CANDIDATES):
        best = min(ordered[start : start + CANDIDATES], key=cost)
        if not is_loaded(best, aim_s=aim_s):
            return best
    return min(ordered[:CANDIDATES], key=cost)
