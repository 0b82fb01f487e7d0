"""Admit requests to the backend server beside this process.

It combines the tracking of flows (:mod:`~teaseldock.packets.tracking`), the
queue of waiting requests (:mod:`~teaseldock.packets.dispatching`) and the
failure rate of requests (:mod:`~teaseldock.packets.outcomes`).
"""

from __future__ import annotations

import typing

from teaseldock import flow as flows
from teaseldock.packets import dispatching
from teaseldock.packets import expected_wait
from teaseldock.packets import outcomes
from teaseldock.packets import records
from teaseldock.packets import reporting

if typing.TYPE_CHECKING:
    from teaseldock.packets import knowledge
    from teaseldock.packets import packet
    from teaseldock.packets import tracking
    from teaseldock.packets import warming

#: Terms of requests without a known route: an agent that has no configuration
#: yet must not delay requests for long.
DEFAULT_TERMS = dispatching.Terms(0.15, 2.5, 0, guarded=False)
#: Service time of a cold server as a multiple of that of a warm one, used
#: until it is measured.
COLD_SERVICE_FACTOR = 1.6
#: Slots assumed before the server's entry is known: every server can run one
#: request at a time.
DEFAULT_SLOTS = 1

ToServer = typing.Callable[['packet.Packet', str], None]
LogFields = typing.Callable[[], dict[str, typing.Any]]


class _Expected(typing.NamedTuple):
    """What was expected of a request at its arrival.

    :ivar at: time of its arrival.
    :ivar start_s: seconds until its expected start.
    """

    at: float
    start_s: float


class Admission:
    """The running and waiting requests of one backend server."""

    def __init__(
        self,
        tracker: tracking.Tracker,
        known: knowledge.Knowledge,
        warming_state: warming.ColdLimiter,
        *,
        to_server: ToServer,
        log_fields: LogFields,
        reporter: reporting.Reporter,
        meters: reporting.Meters,
        now: float,
    ) -> None:
        """Create an admission control without requests.

        :param to_server: sends a packet to the server; its second argument is
            the host of the balancer that sent the packet.
        :param log_fields: returns the configuration version, store revision
            and era in use, for log lines.
        """
        self._tracker = tracker
        self._knowledge = known
        self._warming = warming_state
        self._to_server = to_server
        self._log_fields = log_fields
        self._reporter = reporter
        self._meters = meters
        self._queue = dispatching.RequestQueue()
        self._outcomes = outcomes.Outcomes(now)
        self._reported_failing = False
        self._slots = DEFAULT_SLOTS
        # Time and expected start of each request in the queue.
        self._expected: dict[bytes, _Expected] = {}

    @property
    def queue(self) -> dispatching.RequestQueue:
        """Return the queue of running and waiting requests."""
        return self._queue

    @property
    def slots(self) -> int:
        """Return the number of requests that the server runs at once."""
        return self._slots

    @property
    def measured_service_s(self) -> float | None:
        """Return the mean service time, None until it is measured."""
        if not self._queue.service_measured:
            return None
        return self._queue.service_s

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the server runs at once."""
        self._slots = slots
        self._queue.set_server_slots(slots)

    def failing(self, now: float) -> float:
        """Return the share of recent requests that failed, from 0 to 1."""
        return round(self._outcomes.failing(now), 2)

    def expected_wait(
        self, now: float, priority: int | None = None
    ) -> expected_wait.ExpectedWait:
        """Return when a request that arrives now would start, and its length.

        :param priority: priority of the request; requests of lower priority
            don't delay it. None counts all requests.
        """
        ahead = self._queue.ahead_of(priority, now)
        if priority is None:
            # Uploads run without being queued.
            ahead = max(ahead, self._tracker.asked)
        # The first requests of flows that have just opened arrive within a
        # round trip. Without them, all flows of a burst would expect an idle
        # server.
        ahead += self._openings_ahead(priority, now)
        wait = expected_wait.estimate(
            ahead=ahead,
            slots=self._slots,
            service_s=self._expected_service_s(now),
            elapsed_s=self._queue.elapsed_s(now),
        )
        delay_s = self._warming.request_delay_s(
            max(0, ahead - self._queue.running), now
        )
        if delay_s > wait.start_s:
            return expected_wait.ExpectedWait(delay_s, wait.service_s)
        return wait

    def _expected_service_s(self, now: float) -> float:
        measured = self.measured_service_s
        if measured is not None:
            return measured
        if self._warming.is_cold(now):
            return dispatching.INITIAL_SERVICE_S * COLD_SERVICE_FACTOR
        return dispatching.INITIAL_SERVICE_S

    def _openings_ahead(self, priority: int | None, now: float) -> int:
        openings = self._tracker.fresh_openings(now)
        if priority is None:
            return len(openings)
        terms = map(self._terms, openings)
        return sum(
            item is not None and item.priority <= priority for item in terms
        )

    def clear(self) -> None:
        """Drop all requests and outcomes of the server's previous run."""
        self._queue.clear()
        self._expected.clear()
        self._outcomes.clear()

    def hold_if_waiting(
        self, item: packet.Packet, host: str, now: float
    ) -> bool:
        """Record a caller's packet; hold it if its request must wait.

        :returns: whether the packet is held until its request gets a slot.
        """
        request = self._tracker.from_caller(item, now)
        if item.resetting and self._queue.is_running(item.flow):
            self._note_failure(item.flow, 'caller gave up', now)
        if item.resetting or item.closing:
            self.drop(item.flow, now)
            return False
        if not item.length:
            return False
        if request is not None and not self._queue.is_waiting(item.flow):
            self._offer(item, request, now)
        if not self._queue.is_waiting(item.flow):
            return False
        if not self._queue.add_packet(item.flow, (item, host)):
            self._meters.counters['dropped_waiting_packet'] += 1
        return True

    def _offer(
        self, item: packet.Packet, request: tracking.NewRequest, now: float
    ) -> None:
        terms = self._terms(item.flow)
        if terms is None:
            return
        expected = self.expected_wait(now, terms.priority)
        self._expected[item.flow] = _Expected(now, expected.start_s)
        self._meters.time('expected_wait', expected.start_s * 1000)
        waiting = self._queue.offer(
            item.flow,
            terms,
            slots=self._usable_slots(now),
            since=request.since,
            now=now,
        )
        if waiting is not None:
            self._meters.counters['requests_waited'] += 1
        else:
            self._warming.note_requests(1, now)

    def _usable_slots(self, now: float) -> int:
        """Return the slots that may be used, fewer while the server is cold.

        Requests of open flows can't be sent to another server. Those beyond
        the cold server's limit wait in the queue.
        """
        left = self._warming.requests_left(now)
        if left is None:
            return self._slots
        return min(
            self._slots,
            self._queue.running + left - dispatching.EXTRA_REQUESTS,
        )

    def _terms(self, flow: bytes) -> dispatching.Terms | None:
        """Return the terms of a flow's requests; None for uploads.

        An upload takes longer to arrive than to process. Uploads that counted
        as running would leave slots idle.
        """
        route = self._knowledge.route(flows.packed_service_endpoint(flow))
        if route is None:
            return DEFAULT_TERMS
        if route.kind == records.RequestKind.UPLOAD:
            return None
        return dispatching.Terms(
            route.aim_ms / 1000,
            route.timeout_ms / 1000,
            route.priority,
            route.kind == records.RequestKind.NON_IDEMPOTENT,
        )

    def note_unqueued(self, item: packet.Packet, now: float) -> None:
        """Record a packet that is forwarded without queueing.

        A request that begins with it is recorded as well: the flow's packets
        are sent again, and a repetition must not count as another request.
        """
        if self._tracker.from_caller(item, now) is None:
            return
        terms = self._terms(item.flow)
        if terms is not None:
            self._queue.begin(item.flow, terms, slots=self._slots, now=now)
            self._warming.note_requests(1, now)

    def from_server(self, item: packet.Packet, now: float) -> None:
        """Handle a server's packet: an answer, or the end of a flow."""
        if item.resetting and self._tracker.has_pending_request(item.flow):
            self._note_failure(item.flow, 'server reset it', now)
        if self._tracker.begins_flow(item):
            # The former flow's request gets no answer any more.
            self.drop(item.flow, now)
        taken_s = self._tracker.from_server(item, now)
        if taken_s is not None:
            self._meters.time('request', taken_s * 1000)
            self._outcomes.note(now, failed=False)
            self._note_failing_change(now)
            self._note_wait_error(item.flow)
            self._queue.finish(item.flow, now)
            self.release(now)
        if item.resetting or item.closing:
            self.drop(item.flow, now)

    def _note_wait_error(self, flow: bytes) -> None:
        expected = self._expected.pop(flow, None)
        started_at = self._queue.started_at(flow)
        if expected is not None and started_at is not None:
            error_s = started_at - expected.at - expected.start_s
            self._meters.time('wait_error', abs(error_s) * 1000)

    def note_returned(self, item: packet.Packet, now: float) -> None:
        """Record that the server doesn't hold the flow of a packet."""
        if self._tracker.note_returned(item):
            self.drop(item.flow, now)

    def drop(self, flow: bytes, now: float) -> None:
        """Drop the request of a flow that has ended."""
        self._queue.drop(flow, now)
        self._expected.pop(flow, None)
        self.release(now)

    def release(self, now: float) -> None:
        """Send the waiting requests that get a slot to the server."""
        released = self._queue.release(slots=self._usable_slots(now), now=now)
        self._warming.note_requests(len(released), now)
        for item in released:
            waited_ms = (now - item.since) * 1000
            self._meters.time('wait', waited_ms)
            self._reporter.note(
                'released',
                flow=reporting.flow_text(item.flow),
                waited_ms=round(waited_ms),
                aim_ms=round(item.terms.aim_s * 1000),
                priority=item.terms.priority,
                waiting=self._queue.waiting,
                service_ms=round(self._queue.service_s * 1000, 1),
                needed_ms=round(self._queue.needed_s * 1000, 1),
            )
            for held, host in item.packets:
                self._to_server(held, host)

    def tick(self, now: float) -> None:
        """Drop requests past their timeout, and fill the free slots."""
        expired = self._queue.expire(now)
        for flow in expired.running:
            self._expected.pop(flow, None)
            self._note_failure(flow, 'no answer', now)
        for item in expired.waiting:
            self._expected.pop(item.flow, None)
            self._meters.counters['waited_in_vain'] += 1
            self._reporter.note(
                'request given up',
                flow=reporting.flow_text(item.flow),
                waited_ms=round((now - item.since) * 1000),
                running=self._queue.running,
                waiting=self._queue.waiting,
                service_ms=round(self._queue.service_s * 1000, 1),
                **self._log_fields(),
            )
        self.release(now)

    def _note_failure(self, flow: bytes, why: str, now: float) -> None:
        self._outcomes.note(now, failed=True)
        self._meters.counters['requests_failed'] += 1
        self._reporter.note(
            'request failed',
            flow=reporting.flow_text(flow),
            why=why,
            failing=self.failing(now),
            running=self._queue.running,
            waiting=self._queue.waiting,
            **self._log_fields(),
        )
        self._note_failing_change(now)

    def _note_failing_change(self, now: float) -> None:
        failing = self.failing(now)
        if (failing > outcomes.FAILING_THRESHOLD) == self._reported_failing:
            return
        self._reported_failing = failing > outcomes.FAILING_THRESHOLD
        self._reporter.note(
            (
                'server fails requests'
                if self._reported_failing
                else 'server well'
            ),
            failing=failing,
            running=self._queue.running,
            **self._log_fields(),
        )
