"""Decide when and how to call the store."""

from __future__ import annotations

import enum
import random

#: Seconds that a reader waits after changes before it watches again. Changes
#: of a release or a storm come together, and each answer costs a call.
BATCH_S = 0.15
#: Seconds until the next try after a failed call, doubled each time.
RETRY_S = 0.08
#: Longest pause between two tries, seconds: a store that returns is noticed
#: well within the two seconds after which a missing entry counts as gone.
LONGEST_RETRY_S = 0.8
#: Mean seconds until the next try of a process that leaves it to others to
#: notice that the store is back. It may be the only one that isn't turned
#: away, so that it goes on trying.
NON_PROBER_RETRY_S = 4.0
#: Seconds that one watch waits for changes.
WATCH_S = 1.5


class Step(enum.Enum):
    """The next call to make."""

    READ_ALL = 'read all'
    WATCH = 'watch'


class ReadSchedule:
    """One call at a time, with pauses that depend on how the last ended."""

    def __init__(self, randomness: random.Random) -> None:
        """Start with nothing read."""
        self._random = randomness
        self._calling = False
        self._due_at = 0.0
        self._retry_s = RETRY_S
        self._read_all = False

    @property
    def calling(self) -> bool:
        """Tell whether a call is under way."""
        return self._calling

    def next_step(self, revision: int, now: float) -> Step | None:
        """Return the call to make now, or None.

        :param revision: up to which the store is known.
        """
        if self._calling or now < self._due_at:
            return None
        self._calling = True
        if self._read_all or not revision:
            return Step.READ_ALL
        return Step.WATCH

    def succeeded(self, now: float, *, changed: bool) -> None:
        """Note the end of a call that was answered."""
        self._calling = False
        self._read_all = False
        self._retry_s = RETRY_S
        self._due_at = now + (BATCH_S if changed else 0.0)

    def history_lost(self, now: float) -> None:
        """Note that the store no longer tells what changed since."""
        self._calling = False
        self._read_all = True
        self._due_at = now

    def failed(self, now: float, *, is_prober: bool = True) -> None:
        """Note the end of a call without a usable answer.

        The pause is random and doubles: processes that lost the store at one
        moment would otherwise all come back at one moment, and again.

        :param is_prober: whether this process is one of those that try again
            soon. If all did, the calls to a store that is away would grow with
            the fleet, and keep it busy when it comes back.
        """
        self._calling = False
        retry_s = self._retry_s if is_prober else NON_PROBER_RETRY_S
        self._due_at = now + retry_s * self._random.uniform(0.5, 1.5)
        self._retry_s = min(LONGEST_RETRY_S, 2 * self._retry_s)
