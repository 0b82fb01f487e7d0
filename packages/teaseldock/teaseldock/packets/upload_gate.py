"""Decide whether a new upload is refused because the link is full.

The caller of a refused upload opens a new flow from another port, which most
likely reaches another balancer. An upload that is accepted on a full link
would miss its objective and delay the uploads behind it.
"""

from __future__ import annotations

import typing

from teaseldock.packets import records

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet

#: Share of a route's objective that the datagrams which wait already may take.
#: The rest is left to the upload's own packets and the backend server.
MAX_OBJECTIVE_SHARE = 0.5


class LinkFull(typing.NamedTuple):
    """Inputs of the decision to refuse an upload.

    :ivar delay_ms: time that it takes to send what waits.
    :ivar aim_ms: latency objective of the route.
    """

    delay_ms: int
    aim_ms: int


class UploadGate:
    """Refuses new uploads while the link is full."""

    def __init__(
        self, link_delay_s: typing.Callable[[float], float] | None
    ) -> None:
        """Create a gate.

        :param link_delay_s: returns the seconds that it takes to send what
            waits for the link at a given time; None if nothing ever waits.
        """
        self._link_delay_s = link_delay_s

    def refuse(
        self, item: packet.Packet, route: records.Route, now: float
    ) -> LinkFull | None:
        """Return why the opening of a new flow is refused, None if it isn't.

        A later copy of an opening is never refused: a server may have accepted
        an earlier one that another balancer forwarded.

        :param item: an opening of which no copy was forwarded here.
        """
        if self._link_delay_s is None or item.acknowledged:
            return None
        if route.kind != records.RequestKind.UPLOAD:
            return None
        delay_ms = 1000 * self._link_delay_s(now)
        if delay_ms <= MAX_OBJECTIVE_SHARE * route.aim_ms:
            return None
        return LinkFull(round(delay_ms), route.aim_ms)
