"""Answer queries whether this instance's backend server holds a flow."""

from __future__ import annotations

import collections
import typing

from teaseldock.packets import control
from teaseldock.packets import flow_numbers
from teaseldock.packets import searching

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet
    from teaseldock.packets import tracking

Send = typing.Callable[[str, bytes], None]
#: Maximum number of probes that wait for a packet of the server, and seconds
#: that they wait: until the search is dropped.
MAX_PROBES = 1000
PROBE_TTL_S = 2.0


class _Probe(typing.NamedTuple):
    """A query that waits for the server's reaction to its packet.

    :ivar requester: host that asked.
    :ivar acknowledged: number that the caller acknowledges.
    :ivar at: time at which the packet was forwarded, seconds.
    """

    requester: str
    acknowledged: int
    at: float


class LocateResponder:
    """Queries about flows of one backend server, and pending probes."""

    def __init__(
        self,
        tracker: tracking.Tracker,
        tag: int,
        *,
        layout_revision: typing.Callable[[], int],
        other_hosts: typing.Callable[[float], list[str]],
        send: Send,
    ) -> None:
        """Create a responder without pending probes.

        :param tag: tag of the service that the server provides.
        :param layout_revision: returns the newest layout revision that the
            agent has received.
        :param other_hosts: returns the hosts that may hold a flow although
            the asking balancer may not know them.
        :param send: sends a datagram of a search to a host.
        """
        self._tracker = tracker
        self._tag = tag
        self._layout_revision = layout_revision
        self._other_hosts = other_hosts
        self._send = send
        self._probes: collections.OrderedDict[bytes, _Probe] = (
            collections.OrderedDict()
        )

    def on_locate(
        self,
        query: control.Envelope,
        host: str,
        now: float,
        *,
        all_flows_seen: bool,
    ) -> None:
        """Answer from the tracked flows.

        The service of the flow's route is not considered: the operator may
        have moved the route since the flow opened here.

        :param all_flows_seen: whether packets have shown every flow held.
        """
        flow = query.body
        number = control.read_locate_number(query)
        result = self._lookup(flow, number, all_flows_seen)
        self.answer(flow, host, result, number, now)

    def _lookup(
        self, flow: bytes, number: int | None, all_flows_seen: bool
    ) -> searching.LocateResult:
        if self._tracker.is_marked_not_held(flow):
            return searching.LocateResult.NOT_HELD
        if number is not None and not self._tracker.may_include(flow, number):
            # The server holds or held another flow from the same port.
            return searching.LocateResult.NOT_HELD
        if self._tracker.holds(flow):
            return searching.LocateResult.HELD
        if self._tracker.half_open(flow) or not all_flows_seen:
            return searching.LocateResult.UNSURE
        return searching.LocateResult.NOT_HELD

    def on_probe(self, item: packet.Packet, host: str, now: float) -> bool:
        """Handle a query that carries a packet of the flow.

        :returns: whether the packet must be sent to the server, whose next
            packet of the flow then gives the answer.
        """
        number = item.acknowledged
        if not self._tracker.belongs(item):
            result = searching.LocateResult.NOT_HELD
            self.answer(item.flow, host, result, number, now)
            return False
        if self._tracker.acknowledges_acceptance(item):
            # The server need not be probed, and the request may be waiting
            # for a slot in the queue.
            result = searching.LocateResult.HELD
            self.answer(item.flow, host, result, number, now)
            return False
        self._probes[item.flow] = _Probe(host, number, now)
        self._probes.move_to_end(item.flow)
        if len(self._probes) > MAX_PROBES:
            self._probes.popitem(last=False)
        return True

    def answer_probe(
        self,
        flow: bytes,
        result: searching.LocateResult,
        now: float,
        *,
        acknowledged: int | None = None,
    ) -> bool:
        """Answer a pending probe; return False if there is none.

        :param acknowledged: number in the packet that the server returned, if
            it did. Another flow's packet answers nothing.
        """
        probe = self._probes.get(flow)
        if probe is None:
            return False
        returned = probe.acknowledged if acknowledged is None else acknowledged
        if not flow_numbers.are_near(returned, probe.acknowledged):
            return False
        del self._probes[flow]
        if now - probe.at > PROBE_TTL_S:
            return False
        self.answer(flow, probe.requester, result, probe.acknowledged, now)
        return True

    def answer(
        self,
        flow: bytes,
        host: str,
        result: searching.LocateResult,
        number: int | None,
        now: float,
    ) -> None:
        """Send an answer to the host that asked.

        :param number: number in the query, None if there was none.
        """
        others: list[str] = []
        if result != searching.LocateResult.HELD:
            others = self._other_hosts(now)
        located = control.Located(
            flow, self._layout_revision(), number, tuple(others)
        )
        self._send(host, control.pack_located(result, self._tag, located))
