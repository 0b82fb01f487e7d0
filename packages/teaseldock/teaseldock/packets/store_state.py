"""Know when the store has answered anybody, and when it has not.

Few processes read the store. All others know its state by their words: each
heartbeat tells how old the newest answer is that its sender knows of.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import control

#: Seconds for which an outage of the store is remembered: entries that expire
#: within them may do so for want of the store, three heartbeats after it went.
OUTAGE_MEMORY_S = 10.0
#: Seconds by which an age that another process tells is taken for older. Each
#: word was on its way for some milliseconds, and waited in a queue; were it
#: taken as it is, an answer would get younger with each process that passes
#: it on. Among hundreds that tell each other all the time it would never look
#: old, and nobody would take over from readers that are gone.
RELAY_AGE_S = 0.1


def _age_ms(moment: float | None, now: float) -> int:
    """Return the age of a moment, -1 if there is none."""
    if moment is None:
        return -1
    return max(0, round((now - moment) * 1000))


class StoreState:
    """Answers and failures of the store, own and of others."""

    def __init__(self) -> None:
        """Start without an answer."""
        self._confirmed_at: float | None = None
        self._outage_at: float | None = None
        self._failing = False

    @property
    def failing(self) -> bool:
        """Tell whether this process's own calls fail."""
        return self._failing

    @property
    def confirmed_at(self) -> float | None:
        """Return the time of the newest answer that is known of."""
        return self._confirmed_at

    def confirmed_after(self, moment: float) -> bool:
        """Tell whether the store has answered anybody after a moment."""
        return self._confirmed_at is not None and self._confirmed_at > moment

    def recent_outage(self, now: float) -> bool:
        """Tell whether calls to the store failed lately, anybody's."""
        if self._outage_at is None:
            return False
        return now - self._outage_at < OUTAGE_MEMORY_S

    def unreachable(self, now: float, seconds: float) -> bool:
        """Tell whether the store has answered nobody for some seconds.

        Not so if nobody has asked it in vain: then its readers may be gone.
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
        """Take over what another process knows."""
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
        """Note an answer; tell whether own calls failed before."""
        self._confirm(now)
        regained = self._failing
        self._failing = False
        return regained

    def record_failure(self, now: float) -> bool:
        """Note a failed call; tell whether it is the first in a row."""
        self._outage_at = now
        lost = not self._failing
        self._failing = True
        return lost

    def confirmed_ms(self, now: float) -> int:
        """Return the age of the newest answer, -1 if there is none."""
        return _age_ms(self._confirmed_at, now)

    def outage_ms(self, now: float) -> int:
        """Return the age of the last failed call, -1 if there is none."""
        return _age_ms(self._outage_at, now)
