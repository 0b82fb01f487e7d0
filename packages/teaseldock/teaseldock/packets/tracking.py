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


class Asked(typing.NamedTuple):
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
        self._denied: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # Of the flows here, and some that have ended a moment ago.
        self._addresses: set[bytes] = set()
        self._asked = 0
        self._mean = 0.0
        self._mean_at = now
        self._unanswered: collections.OrderedDict[bytes, _Opening] = (
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
        known = self._flows.get(flow)
        return flow in self._ended or (known is not None and known.confirmed)

    def half_open(self, flow: bytes) -> bool:
        """Tell whether the server has accepted a flow, and no more is known.

        Copies of an opening go to several servers, and all may accept; the
        caller takes one answer.
        """
        known = self._flows.get(flow)
        return known is not None and not known.confirmed

    def accepted(self, item: packet.Packet) -> bool:
        """Tell whether a caller's packet takes this server's acceptance.

        Until the server has sent data, the caller acknowledges exactly the
        number with which it accepted. Another server's number is the same in
        one of four billion.
        """
        known = self._flows.get(item.flow)
        if known is None or known.start is None or item.resetting:
            return False
        return (item.acknowledged - known.start) % _WHOLE <= 1

    def resets_unseen(self, item: packet.Packet) -> bool:
        """Tell whether a server resets a flow that it never showed to hold.

        A server that has merely accepted an opening resets the flow when its
        caller acknowledges another server's number, and one that has just
        started resets whatever it doesn't know. Passed on, that reset ends a
        flow that is open at another server; it carries the very numbers that
        the caller expects. What tells it apart is that no packet of the
        server has shown the flow before.
        """
        known = self._flows.get(item.flow)
        if item.flow in self._ended:
            return False
        return known is None or (known.start is None and not known.confirmed)

    def deny(self, flow: bytes, now: float) -> None:
        """Note that a flow is none of the server's, whatever it answers."""
        self.forget(flow)
        self._denied[flow] = now
        if len(self._denied) > FLOWS_TRACKED:
            self._denied.popitem(last=False)

    def denies(self, flow: bytes) -> bool:
        """Tell whether a flow is known to be none of the server's."""
        return flow in self._denied

    def awaits(self, flow: bytes) -> bool:
        """Tell whether a request of a flow has no answer yet."""
        known = self._flows.get(flow)
        return known is not None and known.asked_at is not None

    def belongs(self, item: packet.Packet) -> bool:
        """Tell whether a caller's packet is for this server's flow.

        Without this check, packets of a caller that took another server's
        answer end here: a server may swallow them, and the balancer takes
        that for the flow's place.
        """
        if item.flow in self._denied:
            return False
        known = self._flows.get(item.flow)
        if known is None or known.start is None or item.resetting:
            return True
        return (item.acknowledged - known.start) % _WHOLE < FLOW_BYTES

    def responsive(self, now: float) -> bool:
        """Tell whether the server answers openings."""
        if len(self._unanswered) < SILENT_OPENINGS:
            return True
        oldest = next(iter(self._unanswered.values()))
        return now - oldest.at < SILENT_S

    def from_caller(self, item: packet.Packet, now: float) -> Asked | None:
        """Note a packet of a caller; return a request that begins with it."""
        if item.opening:
            self._unanswered.setdefault(
                item.flow, _Opening(now, item.acknowledged)
            )
            if len(self._unanswered) > FLOWS_TRACKED:
                self._unanswered.popitem(last=False)
            return None
        if item.resetting:
            self.forget(item.flow)
            return None
        known = self._flows.get(item.flow)
        if known is None:
            if not item.length or item.flow in self._ended:
                return None
            # This process is younger than the flow.
            known = self._learn(item.flow, 0.0, now)
        known.seen_at = now
        if not item.length or not self._is_new(item, known.received):
            return None
        known.received = (item.sequence + item.length) % _WHOLE
        if known.asked_at is not None:
            return None
        self._settle(now)
        known.asked_at = now
        self._asked += 1
        since = now - known.delay_s
        known.delay_s = 0.0
        return Asked(since)

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

    def _learn(self, flow: bytes, delay_s: float, now: float) -> _Flow:
        known = self._flows[flow] = _Flow(delay_s, now)
        self._addresses.add(flows.packed_service_endpoint(flow))
        if len(self._flows) > FLOWS_TRACKED:
            self.forget(next(iter(self._flows)))
        return known

    def from_server(self, item: packet.Packet, now: float) -> float | None:
        """Note a packet of the server; return a request's time in seconds.

        The time runs from the request's first packet to the answer's first.
        """
        opening = self._unanswered.get(item.flow)
        self._unanswered.clear()
        known = self._flows.get(item.flow)
        if item.resetting:
            self._end(item.flow, now)
            return None
        if item.accepting:
            self._ended.pop(item.flow, None)
            self._denied.pop(item.flow, None)
        elif item.flow in self._ended:
            return None
        if known is None:
            copy = opening.copy if opening else 0
            delay_s = COPY_DELAYS_S[min(copy, len(COPY_DELAYS_S) - 1)]
            known = self._learn(item.flow, delay_s, now)
        known.seen_at = now
        if item.accepting:
            known.start = item.sequence
        else:
            known.confirmed = True
        taken_s = None
        if item.length and self._is_new(item, known.sent):
            known.sent = (item.sequence + item.length) % _WHOLE
            taken_s = self._answered(known, now)
        if item.closing:
            self._end(item.flow, now)
        return taken_s

    def _end(self, flow: bytes, now: float) -> None:
        """Note that the server has ended a flow."""
        self.forget(flow)
        self._ended[flow] = now
        if len(self._ended) > FLOWS_TRACKED:
            self._ended.popitem(last=False)

    def _answered(self, known: _Flow, now: float) -> float | None:
        if known.asked_at is None:
            return None
        self._settle(now)
        taken_s = now - known.asked_at
        known.asked_at = None
        self._asked -= 1
        return taken_s

    def returned(self, flow: bytes) -> None:
        """Note that the server does not hold a flow."""
        self._unanswered.pop(flow, None)
        self._ended.pop(flow, None)
        self.forget(flow)

    def server_restarted(self) -> None:
        """Note that the server has started anew and knows no older flow.

        Its entry shows the start late: some flows here may be younger than
        it. So all are in doubt until the server shows them again; taking them
        for lost would get those reset.
        """
        for known in self._flows.values():
            known.start = None
            known.confirmed = False
            known.asked_at = None
            known.received = None
            known.sent = None
        self._asked = 0
        self._mean = 0.0
        self._unanswered.clear()

    def forget(self, flow: bytes) -> None:
        """Drop a flow that has ended."""
        known = self._flows.pop(flow, None)
        if known is not None and known.asked_at is not None:
            self._asked -= 1

    def sweep(self, now: float, *, idle_s: float) -> None:
        """Drop flows without packets for long.

        :param idle_s: the longest time for which a flow may be idle.
        """
        stale = [
            flow
            for flow, known in self._flows.items()
            if now - known.seen_at > idle_s + IDLE_MARGIN_S
        ]
        for flow in stale:
            self.forget(flow)
        for remembered in (self._ended, self._denied):
            while remembered:
                flow, since = next(iter(remembered.items()))
                if now - since < ENDED_S:
                    break
                del remembered[flow]
        held = itertools.chain(self._flows, self._ended)
        self._addresses = {
            flows.packed_service_endpoint(flow) for flow in held
        }
        while self._unanswered:
            flow, opening = next(iter(self._unanswered.items()))
            if now - opening.at < ATTEMPT_S:
                break
            del self._unanswered[flow]

    def _settle(self, now: float) -> None:
        """Let the mean follow the present number up to now."""
        share = min(1.0, (now - self._mean_at) / MEAN_S)
        self._mean += (self._asked - self._mean) * share
        self._mean_at = now

    def load(self, slots: int, now: float) -> load.Load:
        """Return the load for a report.

        :param slots: requests that the server runs at once.
        """
        self._settle(now)
        opening = sum(
            1
            for item in self._unanswered.values()
            if now - item.at < OPENING_S
        )
        present = self._asked + opening
        running = min(slots, present)
        return load.Load(
            running,
            present - running,
            slots,
            len(self._flows),
            round(self._mean, 3),
            self.responsive(now),
        )
