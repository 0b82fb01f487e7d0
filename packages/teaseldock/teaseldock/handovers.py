"""Keep requests that were handed over to their challenger.

Only the process that challenged a request may run it. A challenger that is
considered dead may be behind a network partition, or have just rejoined, so
that requests are handed over to it in any case. The caller's retransmission
may also reach the other side directly. If the challenger has died, this
process answers the request after a wait.
"""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base

#: Seconds until a request is answered "outcome unknown" if its challenger is
#: considered dead then: callers retransmit a message after 2 to 3 s
#: (RFC 7252), and the copy may reach the challenger.
ANSWER_WAIT_S = 3.2
#: Limit of requests kept, about 1.5 KB each; the oldest are evicted first, and
#: their callers' next retransmissions count as first handovers.
MAX_HANDOVERS = 4096


class Handover(typing.NamedTuple):
    """A request that was handed over to its challenger.

    :ivar holder: number of the instance that issued the challenge.
    :ivar incarnation: incarnation of that instance's agent at the issue.
    :ivar handed_over_at: time of the first handover, seconds.
    """

    flow: bytes
    request: base.Request
    holder: int
    incarnation: int
    handed_over_at: float


class Handovers:
    """Recent handovers, oldest first."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._handovers: collections.OrderedDict[bytes, Handover] = (
            collections.OrderedDict()
        )

    def add(self, key: bytes, handover: Handover) -> None:
        """Add a handover; further copies of its message are ignored.

        :param key: key of its exchange.
        """
        if key in self._handovers:
            return
        self._handovers[key] = handover
        if len(self._handovers) > MAX_HANDOVERS:
            self._handovers.popitem(last=False)

    def pop_due(self, now: float) -> list[Handover]:
        """Remove and return the handovers whose wait is over."""
        due = []
        while self._handovers:
            key, handover = next(iter(self._handovers.items()))
            if now - handover.handed_over_at <= ANSWER_WAIT_S:
                break
            del self._handovers[key]
            due.append(handover)
        return due
