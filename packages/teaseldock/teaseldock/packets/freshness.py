"""Measure how old a process's knowledge of alerts may be at the most.

It rests on an answer of the store, its own or one that came on from process to
process; each hands on only what it has proof of. A process that hears others
but can't get what they know sees its own age grow, and reads the store itself
(see :mod:`teaseldock.packets.readers`): what others have confirmed is no proof
of what is known here.
"""

from __future__ import annotations

import typing

from teaseldock.packets import store_state

if typing.TYPE_CHECKING:
    from teaseldock.packets import control

#: Seconds beyond which a line tells that alerts may be missing. A watch takes
#: 1.5 s and the way of its answer some rounds of heartbeats: proof is up to
#: 2.4 s old among 40 processes that are well, and 3.2 s among 195 (played in
#: virtual time).
OLD_S = 4.0
#: Newest alerts for which it is kept until when others know all.
CLAIMS_KEPT = 16


class Freshness:
    """Until when a process surely knows all alerts."""

    def __init__(self, now: float) -> None:
        """Start with nothing known.

        :param now: when the process started.
        """
        self._known_at: float | None = None
        # Until when others know all alerts, by the newest that they know,
        # where that isn't known here yet.
        self._claims: dict[int, float] = {}
        self._started = now
        self._old = False

    def age_s(self, now: float) -> float:
        """Return the greatest age of an alert that isn't known here."""
        since = self._started if self._known_at is None else self._known_at
        return max(0.0, now - since)

    def age_ms(self, now: float) -> int:
        """Return the age to tell others, -1 if nothing is known."""
        if self._known_at is None:
            return -1
        return round(1000 * self.age_s(now))

    def answered(self, now: float) -> None:
        """Note an answer of the store that was taken over."""
        self._know(now)

    def hear(
        self, heartbeat: control.Heartbeat, now: float, *, alerts_upto: int
    ) -> float | None:
        """Take over how far another process knows all alerts.

        :param alerts_upto: revision up to which they are known here.
        :returns: until when it knows them, if that holds here too.
        """
        if heartbeat.alerts_age_ms < 0:
            return None
        age_s = heartbeat.alerts_age_ms / 1000 + store_state.PASSED_ON_S
        at = now - age_s
        if heartbeat.alerted <= alerts_upto:
            self._know(at)
            return at
        claimed = self._claims.get(heartbeat.alerted)
        if claimed is None and len(self._claims) == CLAIMS_KEPT:
            del self._claims[min(self._claims)]
        self._claims[heartbeat.alerted] = max(at, claimed or at)
        return None

    def caught_up(self, alerts_upto: int) -> None:
        """Take over what others had proof of, now that it is known here.

        Until their next word, a process that has just been told would take
        itself for one that lags, and read the store: hundreds at once when
        the store comes back.
        """
        for alerted in [item for item in self._claims if item <= alerts_upto]:
            self._know(self._claims.pop(alerted))

    def _know(self, at: float) -> None:
        if self._known_at is None or at > self._known_at:
            self._known_at = at

    def turned(self, now: float) -> bool | None:
        """Tell once that alerts got old (True) or current again (False)."""
        old = self.age_s(now) > OLD_S
        if old == self._old:
            return None
        self._old = old
        return old
