"""Derive a backend server's flows and load from the packets forwarded."""

from __future__ import annotations

import collections
import itertools
import typing

from teaseldock import flow as flows
from teaseldock import load
from teaseldock.packets import flow_numbers

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet

#: Maximum number of tracked flows; the users' requirements state 2,000 for a
#: backend server. Packets of further flows are forwarded as well, but those
#: flows are missing in the load.
MAX_FLOWS = 8_000
#: Seconds added to the configured idle timeout before a flow without packets
#: is dropped: callers repeat a request for some seconds.
IDLE_MARGIN_S = 5.0
#: Seconds for which a flow is kept after the server has ended it or is known
#: not to hold it. The server repeats its last packet eight times, for 9.4 s,
#: and answers packets of the caller during that time.
ENDED_FLOW_TTL_S = 10.0
#: Seconds for which an opening flow counts as a request: the first request
#: follows after one round trip to the caller, 2 to 6 ms.
OPENING_LOAD_S = 0.1
#: Time constant of the mean load, in seconds: two to four requests of a feed.
LOAD_TIME_CONSTANT_S = 2.0
#: A server counts as unresponsive if this many openings are unanswered, the
#: oldest of them for UNANSWERED_S seconds; a server answers in under 1 ms.
UNANSWERED_OPENINGS = 2
UNANSWERED_S = 0.15
#: Seconds after which a caller abandons an opening.
OPENING_TIMEOUT_S = 1.4


#: Seconds after the first opening at which the caller sent each copy, indexed
#: by the copy number that the opening carries.
COPY_DELAYS_S = (0.0, 0.2, 0.6)
#: Bytes after a server's initial sequence number that may be acknowledged
#: although this process has not seen them. The initial sequence numbers of two
#: servers that accept the same opening differ by more, except for one pair in
#: 256.
MAX_FLOW_BYTES = 1 << 24
_HALF_MODULUS = flow_numbers.HALF_MODULUS
_MODULUS = flow_numbers.MODULUS


class _Flow:
    """State of one flow, derived from its packets."""

    __slots__ = (
        'delay_s',
        'start',
        'confirmed',
        'asked_at',
        'received',
        'sent',
        'seen_at',
    )

    def __init__(self, delay_s: float, now: float) -> None:
        # Seconds that the caller had waited when the flow opened.
        self.delay_s = delay_s
        # Initial sequence number of the server, if its acceptance was seen.
        self.start: int | None = None
        # Whether a later packet of the server shows that the caller uses
        # its acceptance.
        self.confirmed = False
        self.asked_at: float | None = None
        # Sequence number after the last byte that the caller has sent.
        self.received: int | None = None
        # Sequence number after the last byte that the server has sent.
        self.sent: int | None = None
        self.seen_at = now

    @property
    def server_data(self) -> _Sent:
        return _Sent(self.start, self.sent)


class _Sent(typing.NamedTuple):
    """What a server has sent over one flow.

    :ivar start: its initial sequence number, None if not seen.
    :ivar end: sequence number after its last byte, None if none was seen.
    """

    start: int | None
    end: int | None

    def acknowledged_by(self, number: int) -> bool:
        """Return whether a caller of this flow may acknowledge a number."""
        start, end = self
        if start is None and end is None:
            return True
        if start is None:
            start = end - MAX_FLOW_BYTES
        if end is None:
            end = start
        seen = (end - start) % _MODULUS + flow_numbers.MAX_DISTANCE_BYTES
        return (number - start) % _MODULUS < max(MAX_FLOW_BYTES, seen)


class _EndedFlow(typing.NamedTuple):
    """A flow that the server has ended.

    :ivar at: time of its end, seconds.
    """

    at: float
    server_data: _Sent


class _Opening(typing.NamedTuple):
    """An opening that the server has not answered.

    :ivar at: time at which its first copy was seen, in seconds.
    :ivar copy: number of copies that the caller had sent before that one.
    """

    at: float
    copy: int


class NewRequest(typing.NamedTuple):
    """A new request.

    :ivar since: start of the caller's wait, in seconds; for the first request
        of a flow it includes the wait for the opening.
    """

    since: float


class Tracker:
    """The flows and pending requests of one backend server."""

    def __init__(self, now: float) -> None:
        """Create a tracker without flows."""
        self._flows: collections.OrderedDict[bytes, _Flow] = (
            collections.OrderedDict()
        )
        self._ended: collections.OrderedDict[bytes, _EndedFlow] = (
            collections.OrderedDict()
        )
        self._not_held: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Of the tracked flows and those that have recently ended.
        self._addresses: set[bytes] = set()
        self._pending_requests = 0
        self._mean_requests = 0.0
        self._mean_updated_at = now
        self._unanswered_openings: collections.OrderedDict[bytes, _Opening] = (
            collections.OrderedDict()
        )

    @property
    def flows(self) -> int:
        """Return the number of tracked flows."""
        return len(self._flows)

    @property
    def addresses(self) -> set[bytes]:
        """Return the packed service addresses of current and recent flows."""
        return self._addresses

    @property
    def asked(self) -> int:
        """Return the number of flows with an unanswered request."""
        return self._pending_requests

    def holds(self, flow: bytes) -> bool:
        """Return whether packets have shown that the server holds a flow.

        A flow that the server has recently ended counts as held. Its caller
        may be sending a request at that moment. If the agent answered that
        the flow is not held, balancers would reset it or search for it at
        other servers, although its server would close it properly.
        """
        tracked = self._flows.get(flow)
        return flow in self._ended or (
            tracked is not None and tracked.confirmed
        )

    def half_open(self, flow: bytes) -> bool:
        """Return whether a flow is tracked but not confirmed.

        The server may only have accepted it: copies of an opening may be sent
        to several servers. All of them may accept, and the caller uses one
        acceptance.
        """
        tracked = self._flows.get(flow)
        return tracked is not None and not tracked.confirmed

    def knows(self, flow: bytes) -> bool:
        """Return whether any packet of a flow may have reached the server."""
        return (
            flow in self._flows
            or flow in self._ended
            or flow in self._unanswered_openings
        )

    def acknowledges_acceptance(self, item: packet.Packet) -> bool:
        """Return whether a caller's packet acknowledges the acceptance.

        Until the server has sent data, the caller acknowledges exactly the
        server's initial sequence number. Another server has the same number
        in one of four billion cases.
        """
        tracked = self._flows.get(item.flow)
        if tracked is None or tracked.start is None or item.resetting:
            return False
        return (item.acknowledged - tracked.start) % _MODULUS <= 1

    def is_stray_reset(self, item: packet.Packet) -> bool:
        """Return whether a server's reset is for a flow that it never held.

        A server that has only accepted an opening resets the flow when the
        caller acknowledges another server's number, and a server that has
        just started resets every unknown flow. Such a reset carries the
        sequence numbers that the caller expects, so forwarding it would end a
        flow that is open at another server. It is recognised by the lack of
        an earlier packet of the server for this flow.
        """
        tracked = self._flows.get(item.flow)
        if item.flow in self._ended:
            return False
        return tracked is None or (
            tracked.start is None and not tracked.confirmed
        )

    def mark_not_held(self, flow: bytes, now: float) -> None:
        """Record that the server does not hold a flow."""
        self.stop_tracking(flow)
        self._not_held[flow] = now
        if len(self._not_held) > MAX_FLOWS:
            self._not_held.popitem(last=False)

    def is_marked_not_held(self, flow: bytes) -> bool:
        """Return whether the server is known not to hold a flow."""
        return flow in self._not_held

    def has_pending_request(self, flow: bytes) -> bool:
        """Return whether a flow has an unanswered request."""
        tracked = self._flows.get(flow)
        return tracked is not None and tracked.asked_at is not None

    def belongs(self, item: packet.Packet) -> bool:
        """Return whether a caller's packet may belong to a flow held here.

        It does not if the caller uses another server's acceptance. Without
        this check, this server may silently drop such packets, and the
        balancer would go on sending them here.
        """
        if item.flow in self._not_held:
            return False
        return item.resetting or self.may_include(item.flow, item.acknowledged)

    def may_include(self, flow: bytes, acknowledged: int) -> bool:
        """Return whether the server may have sent what a caller acknowledges.

        If not, the caller's packet is of another flow from the same port, held
        elsewhere: of its last flow here the server would reset it.

        :param acknowledged: sequence number in the caller's packet.
        """
        last = self._flows.get(flow) or self._ended.get(flow)
        return last is None or last.server_data.acknowledged_by(acknowledged)

    def responsive(self, now: float) -> bool:
        """Return whether the server answers openings."""
        if len(self._unanswered_openings) < UNANSWERED_OPENINGS:
            return True
        oldest = next(iter(self._unanswered_openings.values()))
        return now - oldest.at < UNANSWERED_S

    def from_caller(
        self, item: packet.Packet, now: float
    ) -> NewRequest | None:
        """Record a caller's packet; return the request that it starts."""
        if item.opening:
            self._unanswered_openings.setdefault(
                item.flow, _Opening(now, item.acknowledged)
            )
            if len(self._unanswered_openings) > MAX_FLOWS:
                self._unanswered_openings.popitem(last=False)
            return None
        if item.resetting:
            if self.may_include(item.flow, item.acknowledged):
                self.stop_tracking(item.flow)
            else:
                self._drop_request(item.flow)
            return None
        tracked = self._flows.get(item.flow)
        if tracked is None:
            if not item.length or item.flow in self._ended:
                return None
            # The flow was opened before this process started.
            tracked = self._add_flow(item.flow, 0.0, now)
        tracked.seen_at = now
        if not item.length or not self._is_new(item, tracked.received):
            return None
        tracked.received = (item.sequence + item.length) % _MODULUS
        if tracked.asked_at is not None:
            return None
        self._update_mean(now)
        tracked.asked_at = now
        self._pending_requests += 1
        since = now - tracked.delay_s
        tracked.delay_s = 0.0
        return NewRequest(since)

    @staticmethod
    def _is_new(item: packet.Packet, highest: int | None) -> bool:
        """Return whether a packet carries data that was not sent before.

        Both ends retransmit data that is acknowledged late, even after the
        other end has sent more. A retransmitted request that counted as new
        would occupy a slot until its timeout. A retransmitted answer that
        counted as new would end the next request, whose own answer would then
        free no slot.

        :param highest: sequence number after the last byte seen so far, or
            None if there is none.
        """
        if highest is None:
            return True
        ahead = (item.sequence + item.length - highest) % _MODULUS
        return 0 < ahead < _HALF_MODULUS

    def _add_flow(self, flow: bytes, delay_s: float, now: float) -> _Flow:
        tracked = self._flows[flow] = _Flow(delay_s, now)
        self._addresses.add(flows.packed_service_endpoint(flow))
        if len(self._flows) > MAX_FLOWS:
            self.stop_tracking(next(iter(self._flows)))
        return tracked

    def begins_flow(self, item: packet.Packet) -> bool:
        """Return whether a server's packet accepts another flow.

        Its caller uses the port of the tracked flow again, whose numbers would
        make the new flow's requests look like retransmissions.
        """
        tracked = self._flows.get(item.flow)
        if tracked is None or not item.accepting:
            return False
        if tracked.start is not None:
            return tracked.start != item.sequence
        if tracked.sent is not None:
            return (tracked.sent - item.sequence) % _MODULUS >= MAX_FLOW_BYTES
        return item.flow in self._unanswered_openings

    def from_server(self, item: packet.Packet, now: float) -> float | None:
        """Record a server's packet; return a request's duration in seconds.

        The duration is the time from the first packet of the request to the
        first packet of its answer.

        :returns: None if the packet does not start an answer.
        """
        if self.begins_flow(item):
            self.stop_tracking(item.flow)
        opening = self._unanswered_openings.get(item.flow)
        self._unanswered_openings.clear()
        tracked = self._flows.get(item.flow)
        if item.resetting:
            self._mark_ended(item.flow, now)
            return None
        if item.accepting:
            self._ended.pop(item.flow, None)
            self._not_held.pop(item.flow, None)
        elif item.flow in self._ended:
            return None
        if tracked is None:
            copy = opening.copy if opening else 0
            delay_s = COPY_DELAYS_S[min(copy, len(COPY_DELAYS_S) - 1)]
            tracked = self._add_flow(item.flow, delay_s, now)
        tracked.seen_at = now
        if item.accepting:
            tracked.start = item.sequence
        else:
            tracked.confirmed = True
        taken_s = None
        if item.length and self._is_new(item, tracked.sent):
            tracked.sent = (item.sequence + item.length) % _MODULUS
            self._limit_span(tracked)
            taken_s = self._finish_request(tracked, now)
        if item.closing:
            self._mark_ended(item.flow, now)
        return taken_s

    @staticmethod
    def _limit_span(tracked: _Flow) -> None:
        """Forget the initial number before the numbers begin anew."""
        if tracked.start is None or tracked.sent is None:
            return
        if (tracked.sent - tracked.start) % _MODULUS >= _HALF_MODULUS:
            tracked.start = None

    def _mark_ended(self, flow: bytes, now: float) -> None:
        """Record that the server has ended a flow."""
        last = self._flows.get(flow) or self._ended.get(flow)
        server_data = last.server_data if last else _Sent(None, None)
        self.stop_tracking(flow)
        self._ended[flow] = _EndedFlow(now, server_data)
        if len(self._ended) > MAX_FLOWS:
            self._ended.popitem(last=False)

    def _finish_request(self, tracked: _Flow, now: float) -> float | None:
        if tracked.asked_at is None:
            return None
        self._update_mean(now)
        taken_s = now - tracked.asked_at
        tracked.asked_at = None
        self._pending_requests -= 1
        return taken_s

    def note_returned(self, item: packet.Packet) -> bool:
        """Drop a flow whose packet the server has returned.

        :returns: False if the packet is of another flow from the same port.
        """
        self._unanswered_openings.pop(item.flow, None)
        if not item.opening and not self.may_include(
            item.flow, item.acknowledged
        ):
            return False
        self._ended.pop(item.flow, None)
        self.stop_tracking(item.flow)
        return True

    def server_restarted(self) -> None:
        """Mark all flows as unconfirmed, since the server has restarted.

        The server's entry arrives after the restart, so some tracked flows
        may belong to the new run. All flows stay unconfirmed until the server
        sends packets for them again. If they were dropped as lost, the flows
        of the new run would be reset.
        """
        for tracked in self._flows.values():
            tracked.start = None
            tracked.confirmed = False
            tracked.asked_at = None
            tracked.received = None
            tracked.sent = None
        self._pending_requests = 0
        self._mean_requests = 0.0
        self._unanswered_openings.clear()

    def stop_tracking(self, flow: bytes) -> None:
        """Stop tracking a flow."""
        self._drop_request(flow)
        self._flows.pop(flow, None)

    def _drop_request(self, flow: bytes) -> None:
        tracked = self._flows.get(flow)
        if tracked is not None and tracked.asked_at is not None:
            tracked.asked_at = None
            self._pending_requests -= 1

    def sweep(self, now: float, *, idle_s: float) -> None:
        """Drop expired flows and openings.

        :param idle_s: idle timeout of an open flow, in seconds.
        """
        stale = [
            flow
            for flow, tracked in self._flows.items()
            if now - tracked.seen_at > idle_s + IDLE_MARGIN_S
        ]
        for flow in stale:
            self.stop_tracking(flow)
        while self._ended:
            flow, ended = next(iter(self._ended.items()))
            if now - ended.at < ENDED_FLOW_TTL_S:
                break
            del self._ended[flow]
        while self._not_held:
            flow, since = next(iter(self._not_held.items()))
            if now - since < ENDED_FLOW_TTL_S:
                break
            del self._not_held[flow]
        held = itertools.chain(self._flows, self._ended)
        self._addresses = {
            flows.packed_service_endpoint(flow) for flow in held
        }
        while self._unanswered_openings:
            flow, opening = next(iter(self._unanswered_openings.items()))
            if now - opening.at < OPENING_TIMEOUT_S:
                break
            del self._unanswered_openings[flow]

    def _update_mean(self, now: float) -> None:
        """Update the moving average of the pending requests up to now."""
        share = min(1.0, (now - self._mean_updated_at) / LOAD_TIME_CONSTANT_S)
        self._mean_requests += (
            self._pending_requests - self._mean_requests
        ) * share
        self._mean_updated_at = now

    def fresh_openings(self, now: float) -> list[bytes]:
        """Return the flows whose first request is about to arrive."""
        if not self._unanswered_openings:
            return []
        return [
            flow
            for flow, item in self._unanswered_openings.items()
            if now - item.at < OPENING_LOAD_S
        ]

    def load(self, slots: int, now: float) -> load.Load:
        """Return the server's load.

        :param slots: number of requests that the server runs at once.
        """
        self._update_mean(now)
        present = self._pending_requests + len(self.fresh_openings(now))
        running = min(slots, present)
        return load.Load(
            running,
            present - running,
            slots,
            len(self._flows),
            round(self._mean_requests, 3),
            self.responsive(now),
        )
