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
WAIT_S = 3.2
#: Orders remembered, some 1.5 KB each; the oldest are forgotten first, and
#: their callers' next copies begin anew.
ORDERS_KEPT = 4096


class HandedOver(typing.NamedTuple):
    """An order that only its challenger may run.

    :ivar holder: number of the instance that issued the challenge.
    :ivar incarnation: of that instance's agent then.
    :ivar at: when it was handed over first, seconds.
    """

    flow: bytes
    request: base.Request
    holder: int
    incarnation: int
    at: float


class Handovers:
    """Orders handed over lately, oldest first."""

    def __init__(self) -> None:
        """Start with none."""
        self._orders: collections.OrderedDict[bytes, HandedOver] = (
            collections.OrderedDict()
        )

    def add(self, key: bytes, order: HandedOver) -> None:
        """Remember an order; a further copy changes nothing.

        :param key: of its exchange.
        """
        if key in self._orders:
            return
        self._orders[key] = order
        if len(self._orders) > ORDERS_KEPT:
            self._orders.popitem(last=False)

    def take_due(self, now: float) -> list[HandedOver]:
        """Return the orders whose wait is over, and forget them."""
        due = []
        while self._orders:
            key, order = next(iter(self._orders.items()))
            if now - order.at <= WAIT_S:
                break
            del self._orders[key]
            due.append(order)
        return due
