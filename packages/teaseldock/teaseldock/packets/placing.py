"""Choose the target of a new flow.

Flows of few requests share targets with flows that last for minutes, and each
target runs a few requests at once. A request waits as soon as all slots of its
target are busy, while another target may be idle. So the decision is based on
the number of requests per slot, as recently as it is known.
"""

from __future__ import annotations

import functools
import heapq
import typing

import siphash24

from teaseldock import flow as flows

if typing.TYPE_CHECKING:
    from teaseldock import load
    from teaseldock.packets import expected_wait
    from teaseldock.packets import records

#: Number of candidates of a flow: the best of this many, first in its rank,
#: gets it. A flow whose balancer is gone is found by querying the first in its
#: rank. More candidates concentrate the flows of all balancers on the few
#: targets that were idle a moment ago: reports are 0.2 to 0.4 s old, ten times
#: a service time. In a simulation of 24 targets of one slot at 70 % of the
#: capacity, 1.3, 1.1 and 1.8 % of the orders were late with 2, 3 and 4
#: candidates.
CANDIDATES = 3
#: Requests per slot at which the best of the candidates counts as loaded and
#: the next ones in the rank are considered. More requests would take longer
#: than the latency objective, which is 4 to 10 times the service time
#: according to the users. With 1 instead of 6, 7.8 % of the orders were late
#: in the same simulation, since most flows went to the target that looked
#: idle. A target that fails its requests also counts as loaded.
HIGH_LOAD = 6.0
#: Weight of the mean load of the last seconds against the present load. Feeds
#: send requests repeatedly; the present load misses them between two requests.
MEAN_WEIGHT = 0.5
#: Requests per slot that a flow to another data centre must save. Placing it
#: in its own data centre saves 1 to 3 ms of a request's 30 to 80 ms and
#: traffic between data centres.
DISTANCE_COST = 0.1
#: Requests that a held flow counts as: a feed sends one about every six
#: seconds, which takes some 70 ms. The flows decide between equally busy
#: targets, but not whether a target counts as loaded: with 100 feeds each, all
#: targets counted as loaded, and every new flow went to the target that had
#: started last.
FLOW_WEIGHT = 0.01
#: Share of its slots that a target counts with while it warms up; requests
#: then take 1.6 times as long.
WARMING_SHARE = 0.6
#: Requests per slot added for a server that fails all requests; proportionally
#: less for one that fails some. A failed request costs its caller at least
#: another attempt, and a request that cannot be repeated is lost; ten waiting
#: requests of 30 to 70 ms cost no more than the latency objective. So such a
#: server still gets new flows when all others are worse.
FAILING_COST = 10.0
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


def _slots(candidate: Candidate) -> float:
    share = WARMING_SHARE if candidate.warming else 1.0
    return max(1, candidate.target.slots) * share


def occupancy(candidate: Candidate) -> float:
    """Return the requests per slot at a target now."""
    waiting = candidate.unreported
    reported = candidate.reported
    if reported is not None:
        present = reported.running + reported.queued
        waiting += (1 - MEAN_WEIGHT) * present + MEAN_WEIGHT * reported.work
    return waiting / _slots(candidate)


def placement_cost(candidate: Candidate, *, data_centre: str) -> float:
    """Return the cost of a new flow at a target, in requests per slot.

    :param data_centre: data centre of the balancer that places it.
    """
    reported = candidate.reported
    flows = FLOW_WEIGHT * reported.flows if reported is not None else 0.0
    away = candidate.target.data_centre != data_centre
    return (
        occupancy(candidate)
        + flows / _slots(candidate)
        + (DISTANCE_COST if away else 0.0)
        + FAILING_COST * candidate.failing
    )


def choose(
    flow: bytes,
    candidates: list[Candidate],
    *,
    data_centre: str,
    bulky: bool,
) -> Candidate | None:
    """Return the target of a new flow, or None if there are no candidates.

    :param candidates: targets that may get new flows.
    :param data_centre: data centre of the balancer that places it.
    :param bulky: whether the flow carries many bytes.
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
    return pick(ordered, data_centre=data_centre)


def is_loaded(candidate: Candidate) -> bool:
    """Tell whether a flow should go to another target if possible."""
    return occupancy(candidate) + FAILING_COST * candidate.failing >= HIGH_LOAD


def pick(ordered: list[Candidate], *, data_centre: str) -> Candidate:
    """Return the target of a new flow among candidates in its rank order.

    :param ordered: at least one candidate.
    :param data_centre: data centre of the balancer that places it.
    """

    def cost(item: Candidate) -> float:
        return placement_cost(item, data_centre=data_centre)

    for start in range(0, len(ordered), CANDIDATES):
        best = min(ordered[start : start + CANDIDATES], key=cost)
        if not is_loaded(best):
            return best
    return min(ordered[:CANDIDATES], key=cost)
