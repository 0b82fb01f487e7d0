"""Cache the first targets in each rank order, so that no flow sorts all.

There may be thousands of new flows a second and thousands of targets. Ranking
109 targets for each flow took 160 us, two thirds of the time to place it, and
the time grows with the number of targets. The first targets of a bucket of
flows change only when a target is added or removed.
"""

from __future__ import annotations

import typing

from teaseldock.packets import placing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records

#: Targets cached of each rank order: enough to find placing.CANDIDATES among
#: them while three quarters are draining, silent or tried.
CACHED_TARGETS = 16


class RankingCache:
    """The first targets of each service in rank order, by bucket of flows."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._orders: dict[
            tuple[str, str | None, int], list[records.Target]
        ] = {}

    def clear(self) -> None:
        """Drop all orders, since the targets have changed."""
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

        :param targets: all targets of the service; the same until
            :meth:`clear`.
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
