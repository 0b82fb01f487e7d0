"""Estimate when a backend server would start and finish a new request.

The number of requests at a server says little about how long a new one takes
there: a server that is cold or slow takes 1.6 to 5 times as long for each. The
agent beside the server knows its service time, how long its requests have been
running, and the limit that applies while it is cold.
"""

from __future__ import annotations

import typing

#: Share of the larger of the mean service time and the elapsed time that a
#: running request is expected to take at least. For the lognormal service
#: times of the users' servers (deviation 0.5), the mean remaining time of a
#: request is 0.53, 0.49 and 0.51 of the mean after two thirds, all and twice
#: of the mean. A request that runs for much longer than the mean shows that
#: the server has become slow before any answer does.
REMAINING_SHARE = 0.5


class ExpectedWait(typing.NamedTuple):
    """When a request that arrives now would start, and how long it would run.

    :ivar start_s: seconds until the server starts it.
    :ivar service_s: seconds that the server takes for it.
    """

    start_s: float
    service_s: float

    @property
    def total_s(self) -> float:
        """Return the seconds until the request is answered."""
        return self.start_s + self.service_s


def estimate(
    *,
    ahead: int,
    slots: int,
    service_s: float,
    elapsed_s: typing.Sequence[float] = (),
) -> ExpectedWait:
    """Return the expected wait of a request at one server.

    :param ahead: requests that run or start before it.
    :param slots: number of requests that the server runs at once.
    :param service_s: mean service time, seconds.
    :param elapsed_s: for how long each of the running requests has been
        running; if not given, the mean over all possible moments is assumed.
    """
    slots = max(1, slots)
    if ahead < slots:
        return ExpectedWait(0.0, service_s)
    by_count_s = (ahead + 1 - slots) * service_s / slots
    if not elapsed_s:
        return ExpectedWait(by_count_s, service_s)
    free_in_s = [0.0] * (slots - len(elapsed_s))
    free_in_s += [remaining_s(item, service_s) for item in elapsed_s]
    free_in_s.sort()
    # Each slot starts one queued request in each service time.
    rounds, index = divmod(max(0, ahead - len(elapsed_s)), slots)
    by_slots_s = free_in_s[index] + rounds * service_s
    # The earliest of several slots becomes free sooner than the smallest of
    # their mean remaining times, which overestimates the wait. So the elapsed
    # times have less weight with more slots.
    start_s = by_count_s + (by_slots_s - by_count_s) / slots
    return ExpectedWait(start_s, service_s)


def remaining_s(elapsed_s: float, service_s: float) -> float:
    """Return the expected remaining seconds of a running request.

    :param elapsed_s: seconds for which it has been running.
    :param service_s: mean service time, seconds.
    """
    longer_s = elapsed_s if elapsed_s > service_s else service_s
    left_s = service_s - elapsed_s
    least_s = REMAINING_SHARE * longer_s
    return left_s if left_s > least_s else least_s
