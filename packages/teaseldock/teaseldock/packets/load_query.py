"""Ask candidates how busy they are, when a new flow is to be placed.

The load it answers: orders of a flow each on targets that run one or two
requests at a time. Reports that are sent all the time are 0.1 to 1.1 s old, up
to thirty service times, so that all balancers choose the target which looked
idle a moment ago; and they cost each balancer a message a second from every
target. An answer that was asked for is 2 ms old, and costs as many messages as
there are new flows, whatever the number of targets. It also tells who lives:
an opening that is sent to a dead instance costs its caller 200 ms.
"""

from __future__ import annotations

import typing

from teaseldock.packets import placing

if typing.TYPE_CHECKING:
    from teaseldock.packets import hints
    from teaseldock.packets import packet

#: Age in seconds up to which a report is as good as a new one: about one
#: service time of the users' shortest requests.
FRESH_S = 0.03
#: Answers with which a flow is placed; the second of two random choices brings
#: most of the gain, and a dead candidate then delays nothing.
ENOUGH_ANSWERS = 2
#: Seconds after which a flow is placed by the answers that are there: five
#: round trips between data centres, a tenth of what a request may take.
ANSWER_WAIT_S = 0.015
#: Groups of candidates that are looked at while all of them are loaded.
MAX_GROUPS = 3
#: Flows that wait for answers at a time; the oldest is placed without.
MAX_WAITING = 1000


def is_fresh(candidate: placing.Candidate) -> bool:
    """Tell whether a report is recent enough to place by."""
    if candidate.reported is None:
        return False
    return candidate.age_s <= FRESH_S + ANSWER_WAIT_S


def candidates_to_query(
    group: list[placing.Candidate],
) -> list[placing.Candidate]:
    """Return the candidates that must be asked before one is chosen.

    :returns: nobody if enough of them have told lately.
    """
    stale = [
        item for item in group if item.reported is None or item.age_s > FRESH_S
    ]
    if len(group) - len(stale) >= min(ENOUGH_ANSWERS, len(group)):
        return []
    return stale


class LoadQuery:
    """One new flow whose candidates were asked.

    :ivar item: the opening packet.
    :ivar hint: what is remembered of the flow.
    :ivar group: number of the group of candidates, from 1.
    :ivar answers_missing: answers without which the flow waits on.
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
    ) -> None:
        """Start with all of the hosts asked."""
        self.item = item
        self.hint = hint
        self.group = group
        self.answers_missing = answers_missing
        self._hosts = set(hosts)
        self._began = now

    def answer(self, host: str) -> bool:
        """Take an answer; tell whether there are enough now."""
        if host not in self._hosts:
            return False
        self._hosts.discard(host)
        self.answers_missing -= 1
        return self.answers_missing <= 0 or not self._hosts

    def overdue(self, now: float) -> bool:
        """Tell whether the flow has waited long enough."""
        return now - self._began >= ANSWER_WAIT_S


class LoadQueries:
    """The new flows of one balancer that wait for answers."""

    def __init__(self) -> None:
        """Start without a flow."""
        self._waiting: dict[bytes, LoadQuery] = {}

    def __len__(self) -> int:
        """Return how many flows wait."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Tell whether no more flows should wait."""
        return len(self._waiting) >= MAX_WAITING

    def add(self, query: LoadQuery) -> None:
        """Let a flow wait; a copy of its opening takes the place of it."""
        self._waiting[query.item.flow] = query

    def drop(self, flow: bytes) -> None:
        """Let a flow wait no longer."""
        self._waiting.pop(flow, None)

    def answered(self, host: str) -> list[LoadQuery]:
        """Take an answer; return the flows that can be placed by it."""
        ready = [
            query for query in self._waiting.values() if query.answer(host)
        ]
        self._take(ready)
        return ready

    def overdue(self, now: float) -> list[LoadQuery]:
        """Return the flows that wait no longer, whoever is silent."""
        late = [
            query for query in self._waiting.values() if query.overdue(now)
        ]
        self._take(late)
        return late

    def _take(self, queries: list[LoadQuery]) -> None:
        for query in queries:
            self._waiting.pop(query.item.flow, None)
