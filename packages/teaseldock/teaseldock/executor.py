"""Run requests at the local server: slots, queue, priorities, refusals."""

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
#: Weight of one new observation in the mean service time.
SMOOTHING = 0.05
#: Seconds over which a cold server's slots are opened.
RAMP_S = 4.0
#: Seconds that a server's own refusal takes one slot away.
SHED_PENALTY_S = 1.0
#: Seconds without an answer after which an answer is given up.
ANSWER_TIMEOUT_S = 20.0
#: Shortest and longest time to come back told to a caller, seconds.
RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 30
#: Seconds over which work is summed for a report.
WORK_WINDOW_S = 1.0


class SubmitResult(enum.Enum):
    """What became of a job that was submitted."""

    STARTED = 'started'
    QUEUED = 'queued'
    REFUSED = 'refused'


class Job(typing.NamedTuple):
    """A request on its way to the local server.

    :ivar call: number within this agent's incarnation.
    :ivar deadline: time by which an answer is of use, or infinity.
    :ivar flow: flow key, or empty for a request handed on to here.
    :ivar origin: what the submitter needs to find its state again.
    """

    call: int
    weight: float
    deadline: float
    flow: bytes
    body: bytes
    origin: typing.Any


class Executor:
    """Hold back what the server can't run at once, and refuse the rest.

    Nothing that is refused here was given to the server, so that a refusal
    may truly say "not run".
    """

    def __init__(
        self,
        *,
        service: str,
        slots: int,
        randomness: random.Random,
        now: float,
    ) -> None:
        """Start with an idle, cold server.

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
        """Tell whether the server is believed to answer."""
        return self._server_up

    @property
    def idle(self) -> bool:
        """Tell whether nothing runs and nothing waits."""
        return not self._running and not self._queue

    def set_slots(self, slots: int) -> None:
        """Take over a changed number of slots."""
        self._slots = slots

    def load(self, now: float, *, flows: int, accepting: bool) -> loads.Load:
        """Return the report that travels to peers."""
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
        """Return the seconds that a request of a weight would wait."""
        free = self._usable_slots(now) - len(self._running)
        if free > 0:
            return 0.0
        ahead = self._queue.bisect_key_right((-weight, float('inf')))
        return (ahead + 1) * self._service_s / self._usable_slots(now)

    def retry_after(self, now: float) -> int:
        """Return seconds after which a refused caller should come back.

        Twice the time in which the present queue is worked off, spread at
        random over its own length, so that callers refused together don't
        return together.
        """
        wait = self.expected_wait(0.0, now) + MAX_WAIT_S
        spread = self._random.uniform(wait, 3 * wait)
        return max(RETRY_AFTER_MIN_S, min(RETRY_AFTER_MAX_S, round(spread)))

    def submit(
        self, job: Job, now: float
    ) -> tuple[SubmitResult, list[messages.ToServer], list[Job]]:
        """Start, queue or refuse a job.

        :returns: the verdict, requests for the server, and jobs that were
            queued before and are refused now to make room.
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
        """Refuse at once what the newest job pushed beyond the bound."""
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
        """Take an answer of the server.

        :param shed: whether the server refused to run the request.
        :returns: the job it belongs to (None for late answers), requests
            for the server, and jobs whose deadline is out of reach.
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
        """Return a job that has a slot, or None."""
        entry = self._running.get(call)
        return entry[0] if entry else None

    def release_slot(
        self, call: int, now: float
    ) -> tuple[list[messages.ToServer], list[Job]]:
        """Give the slot of a job that was never started to others.

        :returns: requests for the server, and jobs refused.
        """
        self._running.pop(call, None)
        return self._fill_slots(now)

    def cancel(self, call: int) -> Job | None:
        """Take a job out of the queue; None if it runs or is unknown."""
        for job in self._queue:
            if job.call == call:
                self._queue.remove(job)
                return job
        return None

    def tick(
        self, now: float
    ) -> tuple[list[messages.ToServer], list[Job], list[Job]]:
        """Give up on answers that don't come and fill free slots.

        :returns: requests for the server, jobs refused, jobs whose outcome
            is unknown.
        """
        lost = [
            job
            for job, started_at in self._running.values()
            if now - started_at > ANSWER_TIMEOUT_S
            or now > job.deadline + ANSWER_TIMEOUT_S
        ]
        for job in lost:
            del self._running[job.call]
        expired = [
            job for job in self._queue if job.deadline < now + self._service_s
        ]
        for job in expired:
            self._queue.remove(job)
        started, refused = self._fill_slots(now)
        return started, refused + expired, lost

    def server_lost(self) -> tuple[list[Job], list[Job]]:
        """Note that the server is gone.

        :returns: jobs that never ran, and jobs whose outcome is unknown.
        """
        self._server_up = False
        queued = list(self._queue)
        running = [job for job, _ in self._running.values()]
        self._queue.clear()
        self._running.clear()
        return queued, running

    def server_recovered(self, now: float) -> None:
        """Note that the server answers again, and is cold."""
        if self._server_up:
            return
        self._server_up = True
        self._started_at = now
