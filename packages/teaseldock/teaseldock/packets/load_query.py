"""Query candidates for their load when a new flow is placed.

Most flows carry one order, and targets run one or two requests at a time.
Periodic reports are 0.1 to 1.1 s old, up to thirty service times, so that all
balancers choose the target that was idle a moment ago; they also cost each
balancer a message a second from every target. The answer to a query is 2 ms
old, and the number of queries grows with the new flows, not with the targets.
A query also detects dead instances: an opening that is sent to one costs its
caller 200 ms.
"""

from __future__ import annotations

import typing

from teaseldock.packets import placing

if typing.TYPE_CHECKING:
    from teaseldock.packets import hints
    from teaseldock.packets import packet

#: Age in seconds up to which a report is as good as a new one: about one
#: service time of the shortest requests.
FRESH_S = 0.03
#: Number of answers with which a flow is placed. The second of two random
#: choices brings most of the gain, and with two a dead candidate causes no
#: delay.
ENOUGH_ANSWERS = 2
#: Minimum and maximum number of seconds after which a flow is placed with the
#: answers received so far. Within a data centre answers take 2 ms; 15 ms is a
#: tenth of the time that a request may take. Between data centres that are 5.4
#: ms apart, answers take 11 ms or more. A flow that waits for longer than 50
#: ms loses more than a good placement gains.
ANSWER_WAIT_S = 0.015
MAX_ANSWER_WAIT_S = 0.05
#: Seconds without an answer after which a query or its answer counts as lost.
#: A later answer would belong to another query.
LOST_S = 0.1
#: Weights of a new round-trip time in its mean and its mean deviation, and the
#: deviations beyond the mean that a flow waits: those of RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS_WAITED = 4
#: Maximum number of groups of candidates considered while all are loaded.
MAX_GROUPS = 3
#: Maximum number of flows that wait for answers. Further flows are placed
#: without a query.
MAX_WAITING_FLOWS = 1000


def is_fresh(
    candidate: placing.Candidate, wait_s: float = ANSWER_WAIT_S
) -> bool:
    """Tell whether a report is recent enough to place a flow.

    :param wait_s: seconds that the flow may have waited for other reports.
    """
    if candidate.reported is None:
        return False
    return candidate.age_s <= FRESH_S + wait_s


def candidates_to_query(
    group: list[placing.Candidate],
) -> list[placing.Candidate]:
    """Return the candidates to query before one is chosen.

    :returns: an empty list if enough of them have reported recently.
    """
    stale = [
        item for item in group if item.reported is None or item.age_s > FRESH_S
    ]
    if len(group) - len(stale) >= min(ENOUGH_ANSWERS, len(group)):
        return []
    return stale


class RoundTrips:
    """The round-trip time of load queries, and how long to wait for answers.

    Answers that arrive after their flow was placed are measured too. Otherwise
    no time longer than the present wait would ever be seen.
    """

    def __init__(self) -> None:
        """Create an estimate without measurements."""
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        # Times of the oldest unanswered queries, by host.
        self._queried_at: dict[str, float] = {}

    @property
    def wait_s(self) -> float:
        """Return the seconds that a flow waits for answers."""
        if self._mean_s is None:
            return ANSWER_WAIT_S
        wait_s = self._mean_s + DEVIATIONS_WAITED * self._deviation_s
        return min(MAX_ANSWER_WAIT_S, max(ANSWER_WAIT_S, wait_s))

    def note_query(self, host: str, now: float) -> None:
        """Record a query; keep the time of an older unanswered one."""
        queried_at = self._queried_at.get(host)
        if queried_at is None or now - queried_at > LOST_S:
            self._queried_at[host] = now

    def note_answer(self, host: str, now: float) -> float | None:
        """Record an answer; return the measured time, None if there is none.

        Only the first answer since a query is measured, since an answer does
        not tell which query it belongs to.
        """
        queried_at = self._queried_at.pop(host, None)
        if queried_at is None or now - queried_at > LOST_S:
            return None
        taken_s = now - queried_at
        if self._mean_s is None:
            self._mean_s = taken_s
            self._deviation_s = taken_s / 2
            return taken_s
        error_s = taken_s - self._mean_s
        self._mean_s += MEAN_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (
            abs(error_s) - self._deviation_s
        )
        return taken_s


class LoadQuery:
    """One new flow whose candidates are being queried.

    :ivar item: the opening packet.
    :ivar hint: hint of the flow.
    :ivar group: number of the group of candidates, from 1.
    :ivar answers_missing: number of answers that the flow still waits for.
    :ivar other_services: whether candidates of the route's other services are
        queried, see :mod:`teaseldock.packets.overflow`.
    """

    def __init__(
        self,
        item: packet.Packet,
        hint: hints.Hint,
        *,
        hosts: list[str],
        group: int,
        answers_missing: int,
        now: float,
        other_services: bool = False,
    ) -> None:
        """Create a query that none of the hosts has answered."""
        self.item = item
        self.hint = hint
        self.group = group
        self.answers_missing = answers_missing
        self.other_services = other_services
        self._unanswered = set(hosts)
        self._started_at = now

    def answer(self, host: str) -> bool:
        """Record an answer; tell whether the flow can be placed."""
        if host not in self._unanswered:
            return False
        self._unanswered.discard(host)
        self.answers_missing -= 1
        return self.answers_missing <= 0 or not self._unanswered

    def overdue(self, now: float, wait_s: float) -> bool:
        """Tell whether the time to wait for answers is over.

        :param wait_s: seconds to wait.
        """
        return now - self._started_at >= wait_s


class LoadQueries:
    """The new flows of one balancer that wait for answers."""

    def __init__(self) -> None:
        """Create an empty set of queries."""
        self._waiting: dict[bytes, LoadQuery] = {}
        self._round_trips = RoundTrips()

    @property
    def round_trips(self) -> RoundTrips:
        """Return the round-trip time of the queries."""
        return self._round_trips

    def __len__(self) -> int:
        """Return the number of flows that wait."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Tell whether the maximum number of flows is waiting."""
        return len(self._waiting) >= MAX_WAITING_FLOWS

    def add(self, query: LoadQuery) -> None:
        """Add a waiting flow; replace the query for its earlier copy."""
        self._waiting[query.item.flow] = query

    def drop(self, flow: bytes) -> None:
        """Remove a flow without placing it."""
        self._waiting.pop(flow, None)

    def answered(self, host: str) -> list[LoadQuery]:
        """Record an answer; remove and return the flows that can be placed."""
        ready = [
            query for query in self._waiting.values() if query.answer(host)
        ]
        self._remove(ready)
        return ready

    def overdue(self, now: float) -> list[LoadQuery]:
        """Remove and return the flows whose time to wait is over."""
        wait_s = self._round_trips.wait_s
        late = [
            query
            for query in self._waiting.values()
            if query.overdue(now, wait_s)
        ]
        self._remove(late)
        return late

    def _remove(self, queries: list[LoadQuery]) -> None:
        for query in queries:
            self._waiting.pop(query.item.flow, None)
