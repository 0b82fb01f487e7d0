"""Answer queries whether this instance's backend server holds a flow."""

from __future__ import annotations

import collections
import typing

from teaseldock.packets import control
from teaseldock.packets import searching

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet
    from teaseldock.packets import tracking

Send = typing.Callable[[str, bytes], None]
#: Maximum number of probes that wait for a packet of the server.
PROBES_KEPT = 1000


class LocateResponder:
    """Queries about flows of one backend server, and pending probes."""

    def __init__(
        self,
        tracker: tracking.Tracker,
        tag: int,
        *,
        layout_revision: typing.Callable[[], int],
        send: Send,
    ) -> None:
        """Create a responder without pending probes.

        :param tag: tag of the service that the server provides.
        :param layout_revision: returns the newest layout revision that the
            agent has received.
        :param send: sends a datagram of a search to a host.
        """
        self._tracker = tracker
        self._tag = tag
        self._layout_revision = layout_revision
        self._send = send
        self._probes: collections.OrderedDict[bytes, str] = (
            collections.OrderedDict()
        )

    def on_locate(
        self, query: control.Envelope, host: str, *, all_flows_seen: bool
    ) -> None:
        """Answer from the tracked flows.

        The service of the flow's route is not considered: the operator may
        have moved the route since the flow opened here.

        :param all_flows_seen: whether packets have shown every flow held.
        """
        flow = query.body
        self.answer(flow, host, self._lookup(flow, all_flows_seen))

    def _lookup(
        self, flow: bytes, all_flows_seen: bool
    ) -> searching.LocateResult:
        if self._tracker.is_marked_not_held(flow):
            return searching.LocateResult.NOT_HELD
        if self._tracker.holds(flow):
            return searching.LocateResult.HELD
        if self._tracker.half_open(flow) or not all_flows_seen:
            return searching.LocateResult.UNSURE
        return searching.LocateResult.NOT_HELD

    def on_probe(self, item: packet.Packet, host: str) -> bool:
        """Handle a query that carries a packet of the flow.

        :returns: whether the packet must be sent to the server, whose next
            packet of the flow then gives the answer.
        """
        if not self._tracker.belongs(item):
            self.answer(item.flow, host, searching.LocateResult.NOT_HELD)
            return False
        if self._tracker.acknowledges_acceptance(item):
            # The server need not be probed, and the request may be waiting
            # for a slot in the queue.
            self.answer(item.flow, host, searching.LocateResult.HELD)
            return False
        self._probes[item.flow] = host
        if len(self._probes) > PROBES_KEPT:
            self._probes.popitem(last=False)
        return True

    def answer_probe(
        self, flow: bytes, result: searching.LocateResult
    ) -> bool:
        """Answer a pending probe; return False if there is none."""
        requester = self._probes.pop(flow, None)
        if requester is None:
            return False
        self.answer(flow, requester, result)
        return True

    def answer(
        self, flow: bytes, host: str, result: searching.LocateResult
    ) -> None:
        """Send an answer to the host that asked."""
        located = control.Located(flow, self._layout_revision())
        self._send(host, control.pack_located(result, self._tag, located))
