"""Decide when and how to call the store."""

from __future__ import annotations

import enum
import random

#: Seconds that a reader waits after changes before the next watch. Changes of
#: a release or of an overload come together, and each answer costs a call.
BATCH_S = 0.15
#: Seconds until the retry of a failed call, doubled each time.
RETRY_S = 0.08
#: Longest pause between two retries, seconds: the return of the store is
#: noticed well within the two seconds after which a missing entry counts as
#: gone.
LONGEST_RETRY_S = 0.8
#: Mean seconds between retries of a process that is not one of the probers. It
#: keeps retrying, because it may be the only process that the store doesn't
#: reject.
NON_PROBER_RETRY_S = 4.0
#: Seconds that one watch waits for changes.
WATCH_S = 1.5


class Step(enum.Enum):
    """The next call to the store."""

    READ_ALL = 'read all'
    WATCH = 'watch'


class ReadSchedule:
    """One call at a time, with pauses that depend on the last result."""

    def __init__(self, randomness: random.Random) -> None:
        """Create a schedule whose first call is due at once."""
        self._random = randomness
        self._calling = False
        self._due_at = 0.0
        self._retry_s = RETRY_S
        self._read_all = False

    @property
    def calling(self) -> bool:
        """Return whether a call is in progress."""
        return self._calling

    def next_step(self, revision: int, now: float) -> Step | None:
        """Return the call to make now, or None.

        :param revision: up to which the state is complete; 0 before the first
            read.
        """
        if self._calling or now < self._due_at:
            return None
        self._calling = True
        if self._read_all or not revision:
            return Step.READ_ALL
        return Step.WATCH

    def end_call(self, now: float) -> None:
        """Record the end of a call before its result is handled.

        One of the methods below follows. If a fault in between leaves it out,
        the next call is due after a pause; a call that never ends would be
        the last one of this process.
        """
        self._calling = False
        self._due_at = now + self._retry_s

    def succeeded(self, now: float, *, changed: bool) -> None:
        """Record the end of a call that was answered."""
        self._calling = False
        self._read_all = False
        self._retry_s = RETRY_S
        self._due_at = now + (BATCH_S if changed else 0.0)

    def history_lost(self, now: float) -> None:
        """Record that the store no longer has the changes to watch for."""
        self._calling = False
        self._read_all = True
        self._due_at = now

    def failed(self, now: float, *, is_prober: bool = True) -> None:
        """Record the end of a call without a usable answer.

        The pause is random and doubles each time: processes that lost the
        store at one moment would otherwise all return at one moment,
        repeatedly.

        :param is_prober: whether this process is one of those that retry soon.
            If all did, the calls to an unreachable store would grow with the
            number of processes, and keep it busy when it returns.
        """
        self._calling = False
        retry_s = self._retry_s if is_prober else NON_PROBER_RETRY_S
        self._due_at = now + retry_s * self._random.uniform(0.5, 1.5)
        self._retry_s = min(LONGEST_RETRY_S, 2 * self._retry_s)
