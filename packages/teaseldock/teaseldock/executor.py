"""Admit requests to the local server: slots, priority queue, refusals."""

from __future__ import annotations

import collections
import enum
import random
import typing

import sortedcontainers

from teaseldock import load as loads
from teaseldock import messages

#: Seconds that a request may wait in the queue before it is refused.
MAX_WAIT_S = 1.0
#: Service time assumed before the first answer, seconds.
INITIAL_SERVICE_S = 0.05
#: Weight of a new sample in the moving average of the service time.
SMOOTHING = 0.05
#: Seconds of slow start, over which a cold server's slots are opened.
RAMP_S = 4.0
#: Seconds for which one slot is closed after the server has shed a request.
SHED_PENALTY_S = 1.0
#: Seconds after which a request without an answer times out.
ANSWER_TIMEOUT_S = 20.0
#: Bounds of the retry-after time in refusals, seconds.
RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 30
#: Seconds over which the weight of started requests is summed for a report.
WORK_WINDOW_S = 1.0


class SubmitResult(enum.Enum):
    """Result of submitting a job."""

    STARTED = 'started'
    QUEUED = 'queued'
    REFUSED = 'refused'


class Job(typing.NamedTuple):
    """A request for the local server.

    :ivar call: number, unique within this agent's incarnation.
    :ivar deadline: time after which an answer is useless, or infinity.
    :ivar flow: flow key, or empty for a request forwarded by a peer.
    :ivar origin: opaque state of the submitter.
    """

    call: int
    weight: float
    deadline: float
    flow: bytes
    body: bytes
    origin: typing.Any


class Executor:
    """Limit the concurrency of the server, queue and refuse requests.

    A refused request was never sent to the server, so that its caller can be
    answered "not run".
    """

    def __init__(
        self,
        *,
        service: str,
        slots: int,
        randomness: random.Random,
        now: float,
    ) -> None:
        """Create an executor for an idle, cold server.

        :param slots: requests that the server runs at once.
        """
        self._service = service
        self._slots = slots
        self._random = randomness
        self._started_at = now
        self._running: dict[int, tuple[Job, float]] = {}
        self._queue = sortedcontainers.SortedKeyList(
            key=lambda job: (-job.weight, job.call)
        )
        self._service_s = INITIAL_SERVICE_S
        self._shed_until = 0.0
        self._server_up = True
        self._work: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._work_sum = 0.0

    @property
    def server_up(self) -> bool:
        """Return whether the server is assumed to be up."""
        return self._server_up

    @property
    def idle(self) -> bool:
        """Return whether no job is running or queued."""
        return not self._running and not self._queue

    def set_slots(self, slots: int) -> None:
        """Set the number of slots."""
        self._slots = slots

    def load(self, now: float, *, flows: int, accepting: bool) -> loads.Load:
        """Return the load to report to peers."""
        self._expire_work(now)
        return loads.Load(
            len(self._running),
            len(self._queue),
            self._usable_slots(now),
            flows,
            self._work_sum,
            accepting and self._server_up,
        )

    def _usable_slots(self, now: float) -> int:
        warm = min(1.0, (now - self._started_at) / RAMP_S)
        usable = max(1, round(self._slots * warm))
        if now < self._shed_until:
            usable = max(1, usable - 1)
        return usable

    def expected_wait(self, weight: float, now: float) -> float:
        """Return the expected queueing time of a request, seconds."""
        free = self._usable_slots(now) - len(self._running)
        if free > 0:
            return 0.0
        ahead = self._queue.bisect_key_right((-weight, float('inf')))
        return (ahead + 1) * self._service_s / self._usable_slots(now)

    def retry_after(self, now: float) -> int:
        """Return the seconds after which a refused caller should retry.

        The value is random between one and three times the time in which the
        present queue drains, so that callers refused together don't retry
        together.
        """
        wait = self.expected_wait(0.0, now) + MAX_WAIT_S
        spread = self._random.uniform(wait, 3 * wait)
        return max(RETRY_AFTER_MIN_S, min(RETRY_AFTER_MAX_S, round(spread)))

    def submit(
        self, job: Job, now: float
    ) -> tuple[SubmitResult, list[messages.ToServer], list[Job]]:
        """Start, queue or refuse a job.

        :returns: the result, requests for the server, and jobs that are
            evicted from the queue and must be refused.
        """
        if not self._server_up:
            return SubmitResult.REFUSED, [], []
        if len(self._running) < self._usable_slots(now):
            return SubmitResult.STARTED, [self._start(job, now)], []
        latest = min(job.deadline - self._service_s, now + MAX_WAIT_S)
        if now + self.expected_wait(job.weight, now) > latest:
            return SubmitResult.REFUSED, [], []
        self._queue.add(job)
        return SubmitResult.QUEUED, [], self._evict(now)

    def _evict(self, now: float) -> list[Job]:
        """Evict the last jobs of a queue that exceeds its bound."""
        room = int(
            MAX_WAIT_S * self._usable_slots(now) / max(self._service_s, 1e-4)
        )
        evicted = []
        while len(self._queue) > max(1, room):
            evicted.append(self._queue.pop())
        return evicted

    def _start(self, job: Job, now: float) -> messages.ToServer:
        self._running[job.call] = (job, now)
        self._work.append((now, job.weight))
        self._work_sum += job.weight
        return messages.ToServer(self._service, job.call, job.flow, job.body)

    def _expire_work(self, now: float) -> None:
        while self._work and self._work[0][0] < now - WORK_WINDOW_S:
            self._work_sum -= self._work.popleft()[1]

    def on_server_answer(
        self, call: int, now: float, *, shed: bool
    ) -> tuple[Job | None, list[messages.ToServer], list[Job]]:
        """Handle an answer of the server.

        :param shed: whether the server refused to run the request.
        :returns: the answered job (None for late answers), requests for the
            server, and refused jobs that can't meet their deadline.
        """
        entry = self._running.pop(call, None)
        if entry is None:
            return None, [], []
        job, started_at = entry
        if shed:
            self._shed_until = now + SHED_PENALTY_S
        else:
            elapsed = now - started_at
            self._service_s += SMOOTHING * (elapsed - self._service_s)
        started, refused = self._fill_slots(now)
        return job, started, refused

    def _fill_slots(
        self, now: float
    ) -> tuple[list[messages.ToServer], list[Job]]:
        started = []
        refused = []
        while self._queue and len(self._running) < self._usable_slots(now):
            job = self._queue.pop(0)
            if job.deadline < now + self._service_s:
                refused.append(job)
                continue
            started.append(self._start(job, now))
        return started, refused

    def running_job(self, call: int) -> Job | None:
        """Return a job that occupies a slot, or None."""
        entry = self._running.get(call)
        return entry[0] if entry else None

    def release_slot(
        self, call: int, now: float
    ) -> tuple[list[messages.ToServer], list[Job]]:
        """Release the slot of a job that was not sent to the server.

        :returns: requests for the server, and refused jobs.
        """
        self._running.pop(call, None)
        return self._fill_slots(now)

    def cancel(self, call: int) -> Job | None:
        """Remove a queued job and return it; None if it is not queued."""
        for job in self._queue:
            if job.call == call:
                self._queue.remove(job)
                return job
        return None

    def tick(
        self, now: float
    ) -> tuple[list[messages.ToServer], list[Job], list[Job]]:
        """Time out unanswered jobs and fill free slots.

        :returns: requests for the server, refused jobs, and jobs whose
            outcome is unknown.
        """
        timed_out = [
            job
            for job, started_at in self._running.values()
            if now - started_at > ANSWER_TIMEOUT_S
            or now > job.deadline + ANSWER_TIMEOUT_S
        ]
        for job in timed_out:
            del self._running[job.call]
        expired = [
            job for job in self._queue if job.deadline < now + self._service_s
        ]
        for job in expired:
            self._queue.remove(job)
        started, refused = self._fill_slots(now)
        return started, refused + expired, timed_out

    def server_lost(self) -> tuple[list[Job], list[Job]]:
        """Mark the server as down and drop all jobs.

        :returns: jobs that have not run, and jobs whose outcome is unknown.
        """
        self._server_up = False
        queued = list(self._queue)
        running = [job for job, _ in self._running.values()]
        self._queue.clear()
        self._running.clear()
        return queued, running

    def server_recovered(self, now: float) -> None:
        """Mark a server that was down as up and cold."""
        if self._server_up:
            return
        self._server_up = True
        self._started_at = now
