"""Keep the first targets in each rank, so that no flow sorts all of them.

The load it answers: thousands of new flows a second before thousands of
targets. Ranking 109 targets anew for each flow took 160 us, two thirds of
placing it, and grows with the targets; which targets come first in a bucket of
flows changes only when a target comes or goes.
"""

from __future__ import annotations

import typing

from teaseldock.packets import placing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records

#: Targets kept of each order: enough to find placing.CANDIDATES among them
#: while three quarters are draining, silent or tried.
CACHED_TARGETS = 16


class RankingCache:
    """The first targets of each service, by bucket of flows."""

    def __init__(self) -> None:
        """Start without an order."""
        self._orders: dict[
            tuple[str, str | None, int], list[records.Target]
        ] = {}

    def clear(self) -> None:
        """Forget all orders, since the targets have changed."""
        self._orders.clear()

    def first(
        self,
        flow: bytes,
        service: str,
        targets: list[records.Target],
        *,
        near: str | None,
    ) -> list[records.Target]:
        """Return the first targets of a service for a flow.

        :param targets: all of the service; the same until :meth:`clear`.
        :param near: see :func:`teaseldock.packets.placing.ranked`.
        """
        key = (service, near, placing.bucket(flow))
        order = self._orders.get(key)
        if order is None:
            order = placing.ranked(
                flow, targets, near=near, count=CACHED_TARGETS
            )
            self._orders[key] = order
        return order
