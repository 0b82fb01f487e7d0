"""Schedule the requests that wait for a slot of one backend server.

Under a burst, or after a power loss when all callers reconnect at once, a
server gets more requests than it has slots for a second or two. In first-in,
first-out order, once the queue takes longer than the latency objective, every
request misses it, including late arrivals that could have met it. This queue
releases requests that can still meet their objective first, by priority and
then by remaining time. The others fill the remaining slots; none is lost by
this order.
"""

from __future__ import annotations

import collections
import operator
import typing

#: Requests sent to the server beyond its slots: it can start the next one as
#: soon as a slot is free, without a round trip to this process.
EXTRA_REQUESTS = 1
#: A request can meet its objective if its remaining time is at least the mean
#: time from release to answer plus this many mean deviations. With the mean
#: alone nearly half of the released requests end too late; with one deviation,
#: one in six. More deviations rank requests as late that could be in time: in
#: a simulation at 1.1 times the capacity of two slots, with 0, 1, 2 and 3
#: deviations, 0.62, 0.64, 0.63 and 0.58 of the feeds end in time.
DEVIATION_FACTOR = 1.0
#: A late non-idempotent request goes first when the time left until its
#: timeout is less than this many times the mean time from release to answer.
#: It is then answered before the timeout even if other such requests go
#: before it.
URGENT_TIME_FACTOR = 3.0
#: Weight of a new observation in the moving averages.
SAMPLE_WEIGHT = 0.1
#: Number of observations that the initial times count for: with none, one
#: slow answer would make all waiting requests rank as late.
ASSUMED_OBSERVATIONS = 4
#: Initial service time, and initial deviation of the time from release to
#: answer, both in seconds.
INITIAL_SERVICE_S = 0.03
INITIAL_DEVIATION_S = 0.01
#: Answers after which the service time counts as measured. The mean of fewer
#: may be half or twice the service time: the deviation of one is half of it.
MEASURED_ANSWERS = 4
#: Packets held for one request; a caller has at most 16 in flight.
MAX_PACKETS_PER_REQUEST = 16
#: Requests held. At 2 slots and 30 ms each, 100 requests take 1.5 s, most of
#: a deadline.
MAX_REQUESTS = 400
#: Of the requests released while others wait, at least one in this many goes
#: to the lowest priority that can still meet its objective. Without a minimum
#: share, orders at the capacity of the server stop all feeds.
RELEASES_PER_SHARE = 8
#: Seconds over which arriving requests are counted: the shortest bursts of the
#: users last about as long. In a shorter window, the callers that come back at
#: once after a loss of power would look like a lasting overload.
ARRIVAL_WINDOW_S = 3.0
#: Arriving requests counted for each priority; more than a server can serve.
MAX_ARRIVALS = 4000
#: Ranks of waiting requests: late ones that go first since their timeout is
#: near, those that can meet their objective, and those that can't.
_URGENT, _IN_TIME, _LATE = range(3)


class Terms(typing.NamedTuple):
    """What a route requires for its requests.

    :ivar aim_s: latency objective, in seconds.
    :ivar timeout_s: seconds after which the caller gives up.
    :ivar priority: 0 is the highest.
    :ivar guarded: whether the request is non-idempotent, so that its caller
        doesn't retry it.
    """

    aim_s: float
    timeout_s: float
    priority: int
    guarded: bool


class WaitingRequest:
    """A request that waits for a slot."""

    __slots__ = ('flow', 'terms', 'since', 'packets')

    def __init__(self, flow: bytes, terms: Terms, since: float) -> None:
        """Create a waiting request without packets.

        :param since: time at which the caller first sent it, if known; else
            the time at which it was first seen.
        """
        self.flow = flow
        self.terms = terms
        self.since = since
        self.packets: list[typing.Any] = []


class _RunningRequest(typing.NamedTuple):
    """A request that was sent to the server and has no answer yet.

    :ivar began: time at which it was sent to the server.
    :ivar started: time at which a slot was free for it; None while it waits in
        the server.
    :ivar timeout_s: seconds after which it counts as lost.
    """

    began: float
    started: float | None
    timeout_s: float


class Expired(typing.NamedTuple):
    """Requests whose timeout has passed.

    :ivar waiting: requests that were never sent to the server.
    :ivar running: flows of requests that the server never answered.
    """

    waiting: list[WaitingRequest]
    running: list[bytes]


class Backlog(typing.NamedTuple):
    """The waiting requests, as a new one of some priority sees them.

    :ivar late: requests of its or a higher priority that can't meet their
        objective any more.
    :ivar in_time: requests of its own priority that can.
    :ivar lower: requests of a lower priority that can.
    """

    late: int
    in_time: int
    lower: int


class RequestQueue:
    """The running and waiting requests of one server, by flow."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: collections.OrderedDict[bytes, WaitingRequest] = (
            collections.OrderedDict()
        )
        self._running: dict[bytes, _RunningRequest] = {}
        # Slots of the server, which may exceed those that may be used; None if
        # not known.
        self._server_slots: int | None = None
        self._service_s = INITIAL_SERVICE_S
        self._service_answers = 0
        # Mean time from release to answer, and its mean deviation. The mean
        # exceeds the service time, since EXTRA_REQUESTS wait in the server.
        self._answer_s = INITIAL_SERVICE_S
        self._deviation_s = INITIAL_DEVIATION_S
        self._observations = ASSUMED_OBSERVATIONS
        # Requests released since the lowest priority had its share.
        self._passed_over = 0
        self._arrivals: dict[int, collections.deque[float]] = {}

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    @property
    def service_s(self) -> float:
        """Return the mean service time, in seconds."""
        return self._service_s

    @property
    def service_measured(self) -> bool:
        """Return whether the service time is known from enough answers."""
        return self._service_answers >= MEASURED_ANSWERS

    def set_server_slots(self, slots: int) -> None:
        """Set the number of requests that the server runs at once."""
        self._server_slots = slots

    def is_waiting(self, flow: bytes) -> bool:
        """Return whether a request of a flow is waiting."""
        return flow in self._waiting

    def is_running(self, flow: bytes) -> bool:
        """Return whether a request of a flow is running."""
        return flow in self._running

    def started_at(self, flow: bytes) -> float | None:
        """Return when the running request of a flow got a slot, if it did."""
        running = self._running.get(flow)
        return None if running is None else running.started

    def elapsed_s(self, now: float) -> list[float]:
        """Return for how long the requests in the server's slots have run."""
        return [
            now - item.started
            for item in self._running.values()
            if item.started is not None
        ]

    def offer(
        self,
        flow: bytes,
        terms: Terms,
        *,
        slots: int,
        since: float,
        now: float,
    ) -> WaitingRequest | None:
        """Add a new request.

        :param slots: number of requests that the server runs at once.
        :param since: time at which the caller first sent it, if known.
        :returns: the request if it must wait, else None.
        """
        arrivals = self._arrivals.setdefault(
            terms.priority, collections.deque(maxlen=MAX_ARRIVALS)
        )
        arrivals.append(now)
        full = len(self._running) >= slots + EXTRA_REQUESTS
        if (full or self._waiting) and len(self._waiting) < MAX_REQUESTS:
            item = WaitingRequest(flow, terms, since)
            self._waiting[flow] = item
            return item
        self.begin(flow, terms, slots=slots, now=now)
        return None

    def add_packet(self, flow: bytes, packet: typing.Any) -> bool:
        """Hold a packet of a waiting request; return whether it was held."""
        item = self._waiting[flow]
        if len(item.packets) >= MAX_PACKETS_PER_REQUEST:
            return False
        item.packets.append(packet)
        return True

    def begin(
        self, flow: bytes, terms: Terms, *, slots: int, now: float
    ) -> None:
        """Record a request that is sent to the server now."""
        if self._server_slots is None:
            self._server_slots = slots
        self._running[flow] = _RunningRequest(now, None, terms.timeout_s)
        self._start_next(now)

    def _start_next(self, now: float) -> None:
        """Record which requests at the server have a slot from now on.

        Queueing in the server must not count as service time. Without the time
        at which a queued request got its slot, a server that always has one
        queued would never be measured, so that the service time of a server
        that became slow under load would stay as it was.
        """
        free = (self._server_slots or 0) - sum(
            item.started is not None for item in self._running.values()
        )
        for flow, item in self._running.items():
            if free <= 0:
                return
            if item.started is None:
                self._running[flow] = item._replace(started=now)
                free -= 1

    def finish(self, flow: bytes, now: float) -> float | None:
        """Record the answer to a request; return its duration in seconds.

        A request that is still waiting may be answered: the server received
        it with a probe packet. If it were released later, it would get no
        second answer and occupy its slot until its timeout. After a power
        loss this stopped nearly all servers for 3.4 s.

        :returns: None if the request was not running.
        """
        self._waiting.pop(flow, None)
        ended = self._running.pop(flow, None)
        if ended is None:
            return None
        taken_s = now - ended.began
        self._update_answer_time(taken_s)
        if ended.started is not None:
            self._update_service_time(now - ended.started)
        self._start_next(now)
        return taken_s

    def _update_service_time(self, service_s: float) -> None:
        self._service_answers += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._service_answers)
        self._service_s += weight * (service_s - self._service_s)

    def _update_answer_time(self, taken_s: float) -> None:
        # The first answers have a higher weight: with SAMPLE_WEIGHT alone,
        # a new agent beside a cold server would need ten of them to adapt.
        self._observations += 1
        weight = max(SAMPLE_WEIGHT, 1 / self._observations)
        error_s = taken_s - self._answer_s
        self._answer_s += weight * error_s
        self._deviation_s += weight * (abs(error_s) - self._deviation_s)

    @property
    def needed_s(self) -> float:
        """Return the remaining time that a request needs to end in time."""
        return self._answer_s + DEVIATION_FACTOR * self._deviation_s

    def ahead_of(self, priority: int | None, now: float) -> int:
        """Return the requests that run or start before a new one.

        Waiting requests that can no longer meet their objective start after a
        new one, which still can, unless they are urgent.

        :param priority: priority of the new request; None counts all requests.
        """
        if priority is None:
            return len(self._running) + len(self._waiting)
        return len(self._running) + sum(
            self._sort_key(item, now)[0] < _LATE
            and item.terms.priority <= priority
            for item in self._waiting.values()
        )

    def backlog(self, priority: int, now: float) -> Backlog:
        """Return the waiting requests as a new one of a priority sees them."""
        late = in_time = lower = 0
        for item in self._waiting.values():
            rank = self._sort_key(item, now)[0]
            if rank == _LATE:
                late += item.terms.priority <= priority
            elif rank == _IN_TIME:
                in_time += item.terms.priority == priority
                lower += item.terms.priority > priority
        return Backlog(late, in_time, lower)

    def arrival_rate(self, priority: int, now: float) -> float:
        """Return the requests a second of a priority and all higher ones."""
        count = 0
        for of_priority, arrivals in self._arrivals.items():
            while arrivals and now - arrivals[0] >= ARRIVAL_WINDOW_S:
                arrivals.popleft()
            if of_priority <= priority:
                count += len(arrivals)
        return count / ARRIVAL_WINDOW_S

    def drop(self, flow: bytes, now: float) -> None:
        """Drop the request of a flow that has ended."""
        self._waiting.pop(flow, None)
        if self._running.pop(flow, None) is not None:
            self._start_next(now)

    def clear(self) -> None:
        """Drop all requests and the service time of a restarted server."""
        self._waiting.clear()
        self._running.clear()
        self._service_s = INITIAL_SERVICE_S
        self._service_answers = 0

    def release(self, *, slots: int, now: float) -> list[WaitingRequest]:
        """Remove and return the requests to send to the server now."""
        released = []
        while self._waiting and len(self._running) < slots + EXTRA_REQUESTS:
            item = self._next(slots, now)
            del self._waiting[item.flow]
            self.begin(item.flow, item.terms, slots=slots, now=now)
            released.append(item)
        return released

    def _next(self, slots: int, now: float) -> WaitingRequest:
        """Return the waiting request that goes to the server next."""

        keyed = [
            (self._sort_key(item, now), item)
            for item in self._waiting.values()
        ]
        _, first = min(keyed, key=operator.itemgetter(0))
        lower = [
            (key, item)
            for key, item in keyed
            if item.terms.priority > first.terms.priority
            and key[0] == _IN_TIME
        ]
        if not lower:
            self._passed_over = 0
            return first
        self._passed_over += 1
        if self._passed_over < RELEASES_PER_SHARE:
            return first
        if self._is_urgent(slots, now):
            return first
        self._passed_over = 0
        lowest = max(item.terms.priority for _, item in lower)
        _, chosen = min(
            (pair for pair in lower if pair[1].terms.priority == lowest),
            key=operator.itemgetter(0),
        )
        return chosen

    def _is_urgent(self, slots: int, now: float) -> bool:
        """Tell whether a delay could cost a non-idempotent request its answer.

        One that can't meet its objective goes first only shortly before its
        timeout. If many of them do at once, they need the slots for longer.
        """
        timeouts = [
            item.since + item.terms.timeout_s
            for item in self._waiting.values()
            if item.terms.guarded and self._sort_key(item, now)[0] != _IN_TIME
        ]
        if not timeouts:
            return False
        needed_s = URGENT_TIME_FACTOR * self._answer_s
        needed_s += len(timeouts) * self._service_s / max(1, slots)
        return min(timeouts) - now < needed_s

    def _sort_key(
        self, item: WaitingRequest, now: float
    ) -> tuple[int, float, float]:
        left_s = item.since + item.terms.aim_s - now
        if left_s >= self.needed_s:
            return (_IN_TIME, item.terms.priority, left_s)
        timeout_at = item.since + item.terms.timeout_s
        if item.terms.guarded:
            if timeout_at - now < URGENT_TIME_FACTOR * self._answer_s:
                return (_URGENT, item.terms.priority, timeout_at)
        return (_LATE, item.terms.priority, timeout_at)

    def expire(self, now: float) -> Expired:
        """Remove and return the requests whose timeout has passed.

        A server never answers a request that it has lost. Without this, the
        request would occupy its slot forever, and after a few of them nothing
        would be sent to an idle server.
        """
        lost = [
            flow
            for flow, item in self._running.items()
            if now - item.began > item.timeout_s
        ]
        for flow in lost:
            del self._running[flow]
        if lost:
            self._start_next(now)
        given_up = [
            item
            for item in self._waiting.values()
            if now - item.since > item.terms.timeout_s
        ]
        for item in given_up:
            del self._waiting[item.flow]
        return Expired(given_up, lost)
