"""See a backend server's flows and load in the packets that pass."""

from __future__ import annotations

import collections
import itertools
import typing

from teaseldock import flow as flows
from teaseldock import load

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet

#: Flows tracked; a backend server holds 2,000 on the users' sheets. A flow
#: beyond is carried as well, it is only missing in the load.
FLOWS_TRACKED = 8_000
#: Seconds without packets, beyond the configured idle timeout, after which a
#: flow counts as ended: callers repeat a request for some seconds.
IDLE_MARGIN_S = 5.0
#: Seconds for which a flow stays known after the server has ended it, or has
#: shown that it isn't its own: it
#: repeats its last packet eight times, for 9.4 s, and answers what its caller
#: sends meanwhile.
ENDED_S = 10.0
#: Seconds for which a flow that is opening counts as a request: its first
#: request is one round trip to the caller behind, 2 to 6 ms.
OPENING_S = 0.1
#: Time constant of the mean load, seconds: two to four requests of a feed.
MEAN_S = 2.0
#: Openings without an answer after which a server counts as silent, and the
#: seconds that the oldest must have waited: a server answers in under 1 ms.
SILENT_OPENINGS = 2
SILENT_S = 0.15
#: Seconds after which a caller gives an opening up.
ATTEMPT_S = 1.4


#: Seconds after which callers repeat an opening, by the count that the copy
#: carries.
COPY_DELAYS_S = (0.0, 0.2, 0.6)
#: Bytes that a server sends over one flow at most: a minute of its answers.
#: The numbers of two servers that accepted one opening differ by more, but for
#: one pair in 256.
FLOW_BYTES = 1 << 24
_HALF = 1 << 31
_WHOLE = 1 << 32


class _Flow:
    """One flow as its packets show it."""

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
        # How long the caller had waited when the flow opened.
        self.delay_s = delay_s
        # Number with which the server accepted it, if that was seen.
        self.start: int | None = None
        # Whether the server has shown that the caller took its answer.
        self.confirmed = False
        self.asked_at: float | None = None
        # Number after the last byte that the caller has sent.
        self.received: int | None = None
        # The same of the server.
        self.sent: int | None = None
        self.seen_at = now


class _Opening(typing.NamedTuple):
    """An opening that the server has not answered."""

    at: float
    copy: int


class NewRequest(typing.NamedTuple):
    """A new request.

    :ivar since: when its caller began, as far as packets show.
    """

    since: float


class Tracker:
    """Flows and requests of one backend server."""

    def __init__(self, now: float) -> None:
        """Start without flows."""
        self._flows: collections.OrderedDict[bytes, _Flow] = (
            collections.OrderedDict()
        )
        self._ended: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._not_held: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Of the flows here, and some that have ended a moment ago.
        self._addresses: set[bytes] = set()
        self._asked = 0
        self._mean_requests = 0.0
        self._mean_updated_at = now
        self._unanswered_openings: collections.OrderedDict[bytes, _Opening] = (
            collections.OrderedDict()
        )

    @property
    def flows(self) -> int:
        """Return the number of flows held."""
        return len(self._flows)

    @property
    def addresses(self) -> set[bytes]:
        """Return the packed addresses whose flows are here, or just were."""
        return self._addresses

    @property
    def asked(self) -> int:
        """Return the number of flows whose request has no answer yet."""
        return self._asked

    def holds(self, flow: bytes) -> bool:
        """Tell whether packets showed that the server holds a flow.

        One that it has ended counts. Its caller may be sending a request just
        then; denied here, the flow would be reset by the system, or sought at
        other servers, while its own would have ended it properly.
        """
        tracked = self._flows.get(flow)
        return flow in self._ended or (
            tracked is not None and tracked.confirmed
        )

    def half_open(self, flow: bytes) -> bool:
        """Tell whether the server has accepted a flow, and no more is known.

        Copies of an opening go to several servers, and all may accept; the
        caller takes one answer.
        """
        tracked = self._flows.get(flow)
        return tracked is not None and not tracked.confirmed

    def acknowledges_acceptance(self, item: packet.Packet) -> bool:
        """Tell whether a caller's packet takes this server's acceptance.

        Until the server has sent data, the caller acknowledges exactly the
        number with which it accepted. Another server's number is the same in
        one of four billion.
        """
        tracked = self._flows.get(item.flow)
        if tracked is None or tracked.start is None or item.resetting:
            return False
        return (item.acknowledged - tracked.start) % _WHOLE <= 1

    def is_stray_reset(self, item: packet.Packet) -> bool:
        """Tell whether a server resets a flow that it never showed to hold.

        A server that has merely accepted an opening resets the flow when its
        caller acknowledges another server's number, and one that has just
        started resets whatever it doesn't know. Passed on, that reset ends a
        flow that is open at another server; it carries the very numbers that
        the caller expects. What tells it apart is that no packet of the
        server has shown the flow before.
        """
        tracked = self._flows.get(item.flow)
        if item.flow in self._ended:
            return False
        return tracked is None or (
            tracked.start is None and not tracked.confirmed
        )

    def mark_not_held(self, flow: bytes, now: float) -> None:
        """Note that a flow is none of the server's, whatever it answers."""
        self.forget(flow)
        self._not_held[flow] = now
        if len(self._not_held) > FLOWS_TRACKED:
            self._not_held.popitem(last=False)

    def is_marked_not_held(self, flow: bytes) -> bool:
        """Tell whether a flow is known to be none of the server's."""
        return flow in self._not_held

    def has_pending_request(self, flow: bytes) -> bool:
        """Tell whether a request of a flow has no answer yet."""
        tracked = self._flows.get(flow)
        return tracked is not None and tracked.asked_at is not None

    def belongs(self, item: packet.Packet) -> bool:
        """Tell whether a caller's packet is for this server's flow.

        Without this check, packets of a caller that took another server's
        answer end here: a server may swallow them, and the balancer takes
        that for the flow's place.
        """
        if item.flow in self._not_held:
            return False
        tracked = self._flows.get(item.flow)
        if tracked is None or tracked.start is None or item.resetting:
            return True
        return (item.acknowledged - tracked.start) % _WHOLE < FLOW_BYTES

    def responsive(self, now: float) -> bool:
        """Tell whether the server answers openings."""
        if len(self._unanswered_openings) < SILENT_OPENINGS:
            return True
        oldest = next(iter(self._unanswered_openings.values()))
        return now - oldest.at < SILENT_S

    def from_caller(
        self, item: packet.Packet, now: float
    ) -> NewRequest | None:
        """Note a packet of a caller; return a request that begins with it."""
        if item.opening:
            self._unanswered_openings.setdefault(
                item.flow, _Opening(now, item.acknowledged)
            )
            if len(self._unanswered_openings) > FLOWS_TRACKED:
                self._unanswered_openings.popitem(last=False)
            return None
        if item.resetting:
            self.forget(item.flow)
            return None
        tracked = self._flows.get(item.flow)
        if tracked is None:
            if not item.length or item.flow in self._ended:
                return None
            # This process is younger than the flow.
            tracked = self._add_flow(item.flow, 0.0, now)
        tracked.seen_at = now
        if not item.length or not self._is_new(item, tracked.received):
            return None
        tracked.received = (item.sequence + item.length) % _WHOLE
        if tracked.asked_at is not None:
            return None
        self._update_mean(now)
        tracked.asked_at = now
        self._asked += 1
        since = now - tracked.delay_s
        tracked.delay_s = 0.0
        return NewRequest(since)

    @staticmethod
    def _is_new(item: packet.Packet, highest: int | None) -> bool:
        """Tell data that was not sent before from a repetition.

        Both ends repeat what was acknowledged late, also after the other has
        gone on. A repeated request, taken for a new one, would occupy a slot
        until its timeout; a repeated answer would end the next request, whose
        own answer then frees no slot.
        """
        if highest is None:
            return True
        ahead = (item.sequence + item.length - highest) % _WHOLE
        return 0 < ahead < _HALF

    def _add_flow(self, flow: bytes, delay_s: float, now: float) -> _Flow:
        tracked = self._flows[flow] = _Flow(delay_s, now)
        self._addresses.add(flows.packed_service_endpoint(flow))
        if len(self._flows) > FLOWS_TRACKED:
            self.forget(next(iter(self._flows)))
        return tracked

    def from_server(self, item: packet.Packet, now: float) -> float | None:
        """Note a packet of the server; return a request's time in seconds.

        The time runs from the request's first packet to the answer's first.
        """
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
            tracked.sent = (item.sequence + item.length) % _WHOLE
            taken_s = self._finish_request(tracked, now)
        if item.closing:
            self._mark_ended(item.flow, now)
        return taken_s

    def _mark_ended(self, flow: bytes, now: float) -> None:
        """Note that the server has ended a flow."""
        self.forget(flow)
        self._ended[flow] = now
        if len(self._ended) > FLOWS_TRACKED:
            self._ended.popitem(last=False)

    def _finish_request(self, tracked: _Flow, now: float) -> float | None:
        if tracked.asked_at is None:
            return None
        self._update_mean(now)
        taken_s = now - tracked.asked_at
        tracked.asked_at = None
        self._asked -= 1
        return taken_s

    def note_returned(self, flow: bytes) -> None:
        """Note that the server does not hold a flow."""
        self._unanswered_openings.pop(flow, None)
        self._ended.pop(flow, None)
        self.forget(flow)

    def server_restarted(self) -> None:
        """Note that the server has started anew and knows no older flow.

        Its entry shows the start late: some flows here may be younger than
        it. So all are in doubt until the server shows them again; taking them
        for lost would get those reset.
        """
        for tracked in self._flows.values():
            tracked.start = None
            tracked.confirmed = False
            tracked.asked_at = None
            tracked.received = None
            tracked.sent = None
        self._asked = 0
        self._mean_requests = 0.0
        self._unanswered_openings.clear()

    def forget(self, flow: bytes) -> None:
        """Drop a flow that has ended."""
        tracked = self._flows.pop(flow, None)
        if tracked is not None and tracked.asked_at is not None:
            self._asked -= 1

    def sweep(self, now: float, *, idle_s: float) -> None:
        """Drop flows without packets for long.

        :param idle_s: the longest time for which a flow may be idle.
        """
        stale = [
            flow
            for flow, tracked in self._flows.items()
            if now - tracked.seen_at > idle_s + IDLE_MARGIN_S
        ]
        for flow in stale:
            self.forget(flow)
        for remembered in (self._ended, self._not_held):
            while remembered:
                flow, since = next(iter(remembered.items()))
                if now - since < ENDED_S:
                    break
                del remembered[flow]
        held = itertools.chain(self._flows, self._ended)
        self._addresses = {
            flows.packed_service_endpoint(flow) for flow in held
        }
        while self._unanswered_openings:
            flow, opening = next(iter(self._unanswered_openings.items()))
            if now - opening.at < ATTEMPT_S:
                break
            del self._unanswered_openings[flow]

    def _update_mean(self, now: float) -> None:
        """Let the mean follow the present number up to now."""
        share = min(1.0, (now - self._mean_updated_at) / MEAN_S)
        self._mean_requests += (self._asked - self._mean_requests) * share
        self._mean_updated_at = now

    def load(self, slots: int, now: float) -> load.Load:
        """Return the load for a report.

        :param slots: requests that the server runs at once.
        """
        self._update_mean(now)
        opening = sum(
            1
            for item in self._unanswered_openings.values()
            if now - item.at < OPENING_S
        )
        present = self._asked + opening
        running = min(slots, present)
        return load.Load(
            running,
            present - running,
            slots,
            len(self._flows),
            round(self._mean_requests, 3),
            self.responsive(now),
        )
