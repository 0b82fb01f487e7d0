"""Answer whether the backend server beside this process holds a flow."""

from __future__ import annotations

import collections
import typing

from teaseldock.packets import control
from teaseldock.packets import searching

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet
    from teaseldock.packets import tracking

Send = typing.Callable[[str, bytes], None]
#: Questions kept until the server has shown whether it holds their flows.
PROBES_KEPT = 1000


class LocateResponder:
    """Questions about flows of one backend server."""

    def __init__(
        self,
        tracker: tracking.Tracker,
        tag: int,
        *,
        layout_revision: typing.Callable[[], int],
        send: Send,
    ) -> None:
        """Start without a question.

        :param tag: of the service whose flows the server holds.
        :param layout_revision: returns the newest that the agent knows.
        :param send: sends a datagram of a search to a process.
        """
        self._tracker = tracker
        self._tag = tag
        self._layout_revision = layout_revision
        self._send = send
        self._probes: collections.OrderedDict[bytes, str] = (
            collections.OrderedDict()
        )

    def on_locate(
        self, question: control.Envelope, host: str, *, all_flows_seen: bool
    ) -> None:
        """Answer by what packets have shown.

        What service the flow's route names is nothing to go by: the operator
        may have moved the route since the flow opened here.

        :param all_flows_seen: whether packets have shown every flow held.
        """
        flow = question.body
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
        """Tell whether the server must show if it holds a packet's flow."""
        if not self._tracker.belongs(item):
            self.answer(item.flow, host, searching.LocateResult.NOT_HELD)
            return False
        if self._tracker.acknowledges_acceptance(item):
            # The server need not be asked, and its request may be waiting
            # for a slot here.
            self.answer(item.flow, host, searching.LocateResult.HELD)
            return False
        self._probes[item.flow] = host
        if len(self._probes) > PROBES_KEPT:
            self._probes.popitem(last=False)
        return True

    def answer_probe(
        self, flow: bytes, result: searching.LocateResult
    ) -> bool:
        """Answer what the server has shown; tell whether anybody had asked."""
        asker = self._probes.pop(flow, None)
        if asker is None:
            return False
        self.answer(flow, asker, result)
        return True

    def answer(
        self, flow: bytes, host: str, result: searching.LocateResult
    ) -> None:
        """Send an answer."""
        located = control.Located(flow, self._layout_revision())
        self._send(host, control.pack_located(result, self._tag, located))
