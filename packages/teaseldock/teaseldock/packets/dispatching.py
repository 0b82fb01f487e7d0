"""Order the requests that wait for a slot of one backend server.

The load it answers: more requests at one moment than the server has slots,
for a second or two: after a loss of power, when all callers return together,
or in a burst. A server takes requests in the order of their arrival. When the
queue is longer than the latency objective, every request then misses it, also
those that came last and might have met it. Here, requests that can still meet
their objective go first, by rank and then by the time they have left; the
others fill the slots that remain, and none is lost by that.
"""

from __future__ import annotations

import collections
import typing

#: Requests given to the server beyond its slots: the next one is there when a
#: slot gets free, without a round trip to this process.
AHEAD = 1
#: Mean deviations that a request needs left beyond the mean time from release
#: to answer, to count as in time. At the mean itself nearly half of those that
#: are released end too late; with one more deviation, one in six. More would
#: give up requests that could be served: played at 1.1 times the capacity of
#: two slots, 0, 1, 2 and 3 deviations let 0.62, 0.64, 0.63 and 0.58 of the
#: feeds end in time.
DEVIATIONS = 1.0
#: A late request that nobody would repeat goes first when it has only this
#: many times the mean time from release to answer left until its timeout:
#: it is answered before its caller gives up, although others in the same
#: plight go before it.
LAST_CALL = 3.0
#: Weight of one more observation in the mean service time.
OBSERVED_WEIGHT = 0.1
#: Observations that the times assumed at the start count for: with none, one
#: slow answer would make all that waits seem late.
ASSUMED_OBSERVATIONS = 4
#: Service time assumed before the first observation, and the deviation of the
#: time from release to answer, seconds.
FIRST_SERVICE_S = 0.03
FIRST_DEVIATION_S = 0.01
#: Packets held for one request; a caller has at most 16 under way.
PACKETS_HELD = 16
#: Requests held. At 2 slots and 30 ms, 100 take 1.5 s, most of a deadline.
REQUESTS_HELD = 400


class Terms(typing.NamedTuple):
    """What a route demands for its requests.

    :ivar aim_s: latency objective.
    :ivar timeout_s: time after which the caller gives up.
    :ivar priority: 0 is the highest.
    :ivar guarded: whether it is not idempotent: nobody repeats it.
    """

    aim_s: float
    timeout_s: float
    priority: int
    guarded: bool


class WaitingRequest:
    """A request that waits for a slot."""

    __slots__ = ('flow', 'terms', 'since', 'packets')

    def __init__(self, flow: bytes, terms: Terms, since: float) -> None:
        """Start without packets.

        :param since: when its caller sent it first, as far as known.
        """
        self.flow = flow
        self.terms = terms
        self.since = since
        self.packets: list[typing.Any] = []


class _RunningRequest(typing.NamedTuple):
    """A request at the server.

    :ivar began: when it was given to the server.
    :ivar timed: whether a slot was free, so that its time is the server's.
    :ivar timeout_s: time after which it is taken for lost.
    """

    began: float
    timed: bool
    timeout_s: float


class Expired(typing.NamedTuple):
    """Requests whose callers have given up.

    :ivar waiting: those that never went to the server.
    :ivar running: flows of those that the server never answered.
    """

    waiting: list[WaitingRequest]
    running: list[bytes]


class RequestQueue:
    """Requests of all flows of one server, those at it and those waiting."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: collections.OrderedDict[bytes, WaitingRequest] = (
            collections.OrderedDict()
        )
        self._running: dict[bytes, _RunningRequest] = {}
        self._service_s = FIRST_SERVICE_S
        # Mean time from release to answer, and its mean deviation. It is
        # longer than the service time: one request waits in the server.
        self._answer_s = FIRST_SERVICE_S
        self._deviation_s = FIRST_DEVIATION_S
        self._observations = ASSUMED_OBSERVATIONS

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait here."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of requests at the server."""
        return len(self._running)

    @property
    def service_s(self) -> float:
        """Return the mean time that the server takes, seconds."""
        return self._service_s

    def is_waiting(self, flow: bytes) -> bool:
        """Tell whether a request of a flow waits here."""
        return flow in self._waiting

    def is_running(self, flow: bytes) -> bool:
        """Tell whether a request of a flow is at the server."""
        return flow in self._running

    def offer(
        self,
        flow: bytes,
        terms: Terms,
        *,
        slots: int,
        since: float,
        now: float,
    ) -> WaitingRequest | None:
        """Take a new request; return it if it must wait.

        :param slots: requests that the server runs at once.
        :param since: when its caller sent it first, as far as known.
        """
        full = len(self._running) >= slots + AHEAD
        if (full or self._waiting) and len(self._waiting) < REQUESTS_HELD:
            item = WaitingRequest(flow, terms, since)
            self._waiting[flow] = item
            return item
        self.begin(flow, terms, slots=slots, now=now)
        return None

    def add_packet(self, flow: bytes, packet: typing.Any) -> bool:
        """Keep a packet of a waiting request; tell whether it was kept."""
        item = self._waiting[flow]
        if len(item.packets) >= PACKETS_HELD:
            return False
        item.packets.append(packet)
        return True

    def begin(
        self, flow: bytes, terms: Terms, *, slots: int, now: float
    ) -> None:
        """Note a request that is given to the server at once."""
        # One that queues in the server would make it look slow.
        timed = len(self._running) < slots
        self._running[flow] = _RunningRequest(now, timed, terms.timeout_s)

    def finish(self, flow: bytes, now: float) -> float | None:
        """Note the answer to a request; return how long it ran.

        One that still waits here was run all the same: the server had it with
        a packet that asked who holds the flow. Released later it would get no
        second answer and keep its slot until its timeout; after a loss of
        power nearly all servers stood still so for 3.4 s.
        """
        self._waiting.pop(flow, None)
        ended = self._running.pop(flow, None)
        if ended is None:
            return None
        taken_s = now - ended.began
        self._update_answer_time(taken_s)
        if ended.timed:
            self._service_s += OBSERVED_WEIGHT * (taken_s - self._service_s)
        return taken_s

    def _update_answer_time(self, taken_s: float) -> None:
        # The first answers count for more: an agent that has just started
        # beside a cold server would take ten of them to believe it.
        self._observations += 1
        weight = max(OBSERVED_WEIGHT, 1 / self._observations)
        error_s = taken_s - self._answer_s
        self._answer_s += weight * error_s
        self._deviation_s += weight * (abs(error_s) - self._deviation_s)

    @property
    def needed_s(self) -> float:
        """Return the time that a request needs left to end in time."""
        return self._answer_s + DEVIATIONS * self._deviation_s

    def drop(self, flow: bytes) -> None:
        """Forget a request whose flow has ended."""
        self._waiting.pop(flow, None)
        self._running.pop(flow, None)

    def clear(self) -> None:
        """Forget all requests: the server that had them is gone."""
        self._waiting.clear()
        self._running.clear()

    def release(self, *, slots: int, now: float) -> list[WaitingRequest]:
        """Return the requests that go to the server now."""
        released = []
        while self._waiting and len(self._running) < slots + AHEAD:
            item = min(
                self._waiting.values(),
                key=lambda item: self._sort_key(item, now),
            )
            del self._waiting[item.flow]
            self.begin(item.flow, item.terms, slots=slots, now=now)
            released.append(item)
        return released

    def _sort_key(
        self, item: WaitingRequest, now: float
    ) -> tuple[int, float, float]:
        left_s = item.since + item.terms.aim_s - now
        if left_s >= self.needed_s:
            return (1, item.terms.priority, left_s)
        timeout_at = item.since + item.terms.timeout_s
        if item.terms.guarded:
            if timeout_at - now < LAST_CALL * self._answer_s:
                return (0, item.terms.priority, timeout_at)
        return (2, item.terms.priority, timeout_at)

    def expire(self, now: float) -> Expired:
        """Drop and return what callers have given up.

        A server that lost a request never answers it. Without this its slot
        would stay taken for good, and after a few such requests nothing would
        be sent to a server that is idle.
        """
        lost = [
            flow
            for flow, item in self._running.items()
            if now - item.began > item.timeout_s
        ]
        for flow in lost:
            del self._running[flow]
        given_up = [
            item
            for item in self._waiting.values()
            if now - item.since > item.terms.timeout_s
        ]
        for item in given_up:
            del self._waiting[item.flow]
        return Expired(given_up, lost)
