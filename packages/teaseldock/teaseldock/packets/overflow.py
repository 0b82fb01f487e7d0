"""Place new flows at another service of their route while theirs is overloaded.

The load it answers: a route shares its flows by weight between services of
unequal size. After a loss of power, when all callers return to cold servers,
four targets had 30 to 41 requests waiting each for 1.5 s while the seven of the
route's other service had free slots. The weights are the operator's wish, and
hold while the service can serve what they send it; a caller is served better
by the other service than not in time.
"""

from __future__ import annotations

import typing

from teaseldock.packets import placing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records

#: Part of the latency objective that a new request may be expected to take
#: before its service counts as overloaded: service times spread by half of
#: their mean, and reports are 0.1 to 0.4 s old. Played with 4 and 7 targets of
#: four slots, a service of 160 requests a second that the weights send 187,
#: and 100 callers at once: at 1.0, 0.75 and 0.5 there end 83, 87 and 89 of 100
#: requests in time (70 without), and at six tenths of its capacity 0, 5 and 9
#: of 100 flows move though nothing is late.
OVERLOADED_SHARE = 0.75
#: Part of that time that the other service may be expected to take, at most.
#: A smaller saving isn't worth setting the weights aside: in the same play,
#: 0.35 and 0.75 let 85 and 87 of 100 end in time.
SAVING_SHARE = 0.5


def expected_s(candidate: placing.Candidate) -> float:
    """Return the seconds that a new request would take at a target."""
    slots = max(1, candidate.target.slots)
    requests = placing.occupancy(candidate) + 1 / slots
    return max(1.0, requests) * candidate.service_s


def overloaded(candidate: placing.Candidate, route: records.Route) -> bool:
    """Tell whether a request may be late at the best target of its service."""
    return expected_s(candidate) > OVERLOADED_SHARE * route.aim_ms / 1000


def alternatives(route: records.Route, service: str) -> list[str]:
    """Return the other services that the operator lets a route's flows go to.

    One with no weight is to get none.
    """
    return [
        choice.service
        for choice in route.choices
        if choice.weight > 0 and choice.service != service
    ]


def relieves(
    other: placing.Candidate | None, candidate: placing.Candidate
) -> typing.TypeGuard[placing.Candidate]:
    """Tell whether a target of another service takes clearly less time."""
    if other is None or other.failing > candidate.failing:
        return False
    return expected_s(other) <= SAVING_SHARE * expected_s(candidate)
