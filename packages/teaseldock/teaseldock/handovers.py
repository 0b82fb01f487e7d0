"""Remember orders that were handed to their challenger, until it is over.

Only the process that challenged an order may run it. One that is believed dead
may be behind a cut, or just back from one, so that an order goes there all the
same; the caller's next copy may reach the other side by itself. Who has really
died answers nothing: then this process does, in the end.
"""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base

#: Seconds until the outcome of an order is told as unknown if its challenger
#: is believed dead then: callers repeat a message after 2 to 3 s (RFC 7252),
#: and the copy may find the challenger.
ANSWER_WAIT_S = 3.2
#: Orders remembered, some 1.5 KB each; the oldest are forgotten first, and
#: their callers' next copies begin anew.
MAX_HANDOVERS = 4096


class Handover(typing.NamedTuple):
    """An order that only its challenger may run.

    :ivar holder: number of the instance that issued the challenge.
    :ivar incarnation: of that instance's agent then.
    :ivar handed_over_at: when it was handed over first, seconds.
    """

    flow: bytes
    request: base.Request
    holder: int
    incarnation: int
    handed_over_at: float


class Handovers:
    """Orders handed over lately, oldest first."""

    def __init__(self) -> None:
        """Start with none."""
        self._handovers: collections.OrderedDict[bytes, Handover] = (
            collections.OrderedDict()
        )

    def add(self, key: bytes, handover: Handover) -> None:
        """Remember an order; a further copy changes nothing.

        :param key: of its exchange.
        """
        if key in self._handovers:
            return
        self._handovers[key] = handover
        if len(self._handovers) > MAX_HANDOVERS:
            self._handovers.popitem(last=False)

    def pop_due(self, now: float) -> list[Handover]:
        """Return the orders whose wait is over, and forget them."""
        due = []
        while self._handovers:
            key, handover = next(iter(self._handovers.items()))
            if now - handover.handed_over_at <= ANSWER_WAIT_S:
                break
            del self._handovers[key]
            due.append(handover)
        return due
