"""Choose the target of a new flow.

The load it answers: flows of few requests beside flows that last for minutes,
on targets that run a few requests at once. A request waits as soon as all
slots of its target are busy, while another target may be idle; so what counts
is the number of requests per slot, as fresh as it can be had.
"""

from __future__ import annotations

import functools
import heapq
import typing

import siphash24

from teaseldock import flow as flows

if typing.TYPE_CHECKING:
    from teaseldock import load
    from teaseldock.packets import records

#: Candidates of a flow: the best of this many, first in its rank, gets it. A
#: flow whose balancer is gone is found by asking the first in its rank, and
#: more candidates gather the flows of all balancers at the few targets that
#: looked idle a moment ago: reports are 0.2 to 0.4 s old, ten times a service
#: time. Played with 24 targets of one slot at 70 % of the capacity, 2, 3 and 4
#: let 1.3, 1.1 and 1.8 % of the orders end late.
CANDIDATES = 3
#: Requests per slot at which the best of the candidates counts as loaded, and
#: the next ones in the rank are looked at: more take longer than the latency
#: objective, which is 4 to 10 times the service time on the users' sheets. At
#: 1 in place of 6, 7.8 % of the orders end late in the same play, for then
#: most flows go to whoever looked idle. A target that fails its requests
#: counts as loaded too.
LOADED = 6.0
#: Weight of the mean load of the last seconds against the present one. Feeds
#: ask again and again; the present number misses those between two requests.
MEAN_WEIGHT = 0.5
#: Requests per slot that a flow to another data centre must save: placing it
#: at home saves 1 to 3 ms of a request's 30 to 80 ms and traffic between data
#: centres.
DISTANCE_COST = 0.1
#: Requests that a held flow adds: a feed asks about once in six seconds for
#: some 70 ms. It decides between targets that are equally busy, but not
#: whether a target counts as loaded: with 100 feeds at each, all always were,
#: so that every new flow went to the target that had started last.
FLOW_WEIGHT = 0.01
#: Share of its slots that a target is worth while it warms up; it then takes
#: 1.6 times as long.
WARMING_SHARE = 0.6
#: Requests per slot that a server which fails everything is charged, less in
#: proportion. A failed request costs its caller at least another attempt, and
#: a request that can't be repeated is lost; ten waiting requests of 30 to 70
#: ms cost no more than the latency objective. So such a server still gets new
#: flows when all others are worse.
FAILING_COST = 10.0
#: Seconds for which a placement counts that no report can show yet: the way
#: to the agent, its wait for the next report, and the way back.
UNREPORTED_S = 0.01
#: Addresses whose text is kept, so that each is not made anew for each flow.
ADDRESSES_KEPT = 4096
_RANK_KEY = b'teaseldock-rank1'
_BUCKET_KEY = b'teaseldock-bucke'


class Candidate(typing.NamedTuple):
    """A target as a balancer sees it at one moment.

    :ivar target: its registered entry.
    :ivar reported: what its agent reported last, or None.
    :ivar age_s: age of the report, seconds.
    :ivar unreported: placements that the report can't show yet, own ones and
        an estimate of those of other balancers.
    :ivar warming: whether it has just started.
    :ivar failing: share of its requests that failed lately.
    """

    target: records.Target
    reported: load.Load | None
    age_s: float
    unreported: float
    warming: bool
    failing: float = 0.0


def bucket(flow: bytes) -> int:
    """Return the bucket of a flow: flows of one have the same ranks."""
    return flows.bucket_of(flow, key=_BUCKET_KEY)


def rank(flow: bytes, target: records.Target) -> bytes:
    """Return the order of a target among those that a flow may be at."""
    return _rank_in(bucket(flow), target)


def _rank_in(number: int, target: records.Target) -> bytes:
    text = bytes((number,)) + _address_text(target.host, target.port)
    return siphash24.siphash24(text, key=_RANK_KEY).digest()


@functools.lru_cache(maxsize=ADDRESSES_KEPT)
def _address_text(host: str, port: int) -> bytes:
    return f'{host}:{port}'.encode()


def ranked(
    flow: bytes,
    targets: list[records.Target],
    *,
    near: str | None,
    count: int | None = None,
) -> list[records.Target]:
    """Return targets in the order in which a flow may be at them.

    :param near: data centre whose targets come first, for flows that carry
        many bytes; those that cross are charged.
    :param count: how many are wanted; all if it is not given.
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
    """Return requests per slot that are at a target now."""
    waiting = candidate.unreported
    reported = candidate.reported
    if reported is not None:
        present = reported.running + reported.queued
        waiting += (1 - MEAN_WEIGHT) * present + MEAN_WEIGHT * reported.work
    return waiting / _slots(candidate)


def placement_cost(candidate: Candidate, *, data_centre: str) -> float:
    """Return requests per slot that a new flow would meet.

    :param data_centre: of the balancer that places it.
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
    """Return where a new flow goes, or None if there is no target.

    :param candidates: targets that may get new flows.
    :param data_centre: of the balancer that places it.
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
    """Tell whether a flow should rather go to somebody else."""
    return occupancy(candidate) + FAILING_COST * candidate.failing >= LOADED


def pick(ordered: list[Candidate], *, data_centre: str) -> Candidate:
    """Return where a new flow goes among candidates in its order.

    :param ordered: at least one.
    :param data_centre: of the balancer that places it.
    """

    def cost(item: Candidate) -> float:
        return placement_cost(item, data_centre=data_centre)

    for start in range(0, len(ordered), CANDIDATES):
        best = min(ordered[start : start + CANDIDATES], key=cost)
        if not is_loaded(best):
            return best
    return min(ordered[:CANDIDATES], key=cost)
