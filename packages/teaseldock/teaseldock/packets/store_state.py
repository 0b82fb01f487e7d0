"""Track when the store last answered any process, and when calls failed.

Few processes read the store. All others derive its state from heartbeats: each
carries the age of the newest answer that its sender knows of.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import control

#: Seconds for which an outage of the store is kept. Entries expire three
#: heartbeats after the store fails; those that expire within this time may
#: have done so because the store was unreachable.
OUTAGE_MEMORY_S = 10.0
#: Seconds added to an age that another process reports, for the milliseconds
#: of its transfer and its time in a queue. Without this, an answer would get
#: younger with each process that relays its age. Among hundreds of processes
#: that exchange ages all the time, it would never look old, and no process
#: would take over from failed readers.
RELAY_AGE_S = 0.1


def _age_ms(moment: float | None, now: float) -> int:
    """Return the age of a moment in milliseconds, -1 if there is none."""
    if moment is None:
        return -1
    return max(0, round((now - moment) * 1000))


class StoreState:
    """Answers and failures of the store, from own calls and from peers."""

    def __init__(self) -> None:
        """Create a state without answers or failures."""
        self._confirmed_at: float | None = None
        self._outage_at: float | None = None
        self._failing = False

    @property
    def failing(self) -> bool:
        """Return whether this process's own calls fail."""
        return self._failing

    @property
    def confirmed_at(self) -> float | None:
        """Return the time of the newest known answer, None without one."""
        return self._confirmed_at

    def confirmed_after(self, moment: float) -> bool:
        """Return whether the store answered any process after a moment."""
        return self._confirmed_at is not None and self._confirmed_at > moment

    def recent_outage(self, now: float) -> bool:
        """Return whether any process's call to the store failed recently."""
        if self._outage_at is None:
            return False
        return now - self._outage_at < OUTAGE_MEMORY_S

    def unreachable(self, now: float, seconds: float) -> bool:
        """Return whether the store has answered no process for some seconds.

        False if no call failed since the last answer: the readers may be gone.
        """
        if self._outage_at is None:
            return False
        if self._confirmed_at is None:
            return True
        if now - self._confirmed_at <= seconds:
            return False
        return self._outage_at > self._confirmed_at

    def merge_heartbeat(
        self, heartbeat: control.Heartbeat, now: float
    ) -> None:
        """Merge the store's state as another process reports it."""
        if heartbeat.outage_ms >= 0:
            outage_at = now - heartbeat.outage_ms / 1000 - RELAY_AGE_S
            self._outage_at = max(self._outage_at or outage_at, outage_at)
        if heartbeat.confirmed_ms >= 0:
            age_s = heartbeat.confirmed_ms / 1000 + RELAY_AGE_S
            self._confirm(now - age_s)

    def _confirm(self, at: float) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def record_answer(self, now: float) -> bool:
        """Record an answer; return whether own calls failed before."""
        self._confirm(now)
        regained = self._failing
        self._failing = False
        return regained

    def record_failure(self, now: float) -> bool:
        """Record a failed call; return whether it is the first in a row."""
        self._outage_at = now
        lost = not self._failing
        self._failing = True
        return lost

    def confirmed_ms(self, now: float) -> int:
        """Return the age of the newest answer, ms; -1 for none."""
        return _age_ms(self._confirmed_at, now)

    def outage_ms(self, now: float) -> int:
        """Return the age of the last failed call, ms; -1 for none."""
        return _age_ms(self._outage_at, now)
