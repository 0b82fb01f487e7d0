"""Measure how old what a process knows may be at the most.

It rests on an answer of the store, its own or one that came on from process to
process; each hands on only what it has proof of. A process that hears others
but can't get what they know sees its own age grow, and reads the store itself
(see :mod:`teaseldock.packets.readers`): what others have confirmed is no proof
of what is known here, nor is proof of alerts any of the configuration. So each
is measured apart.
"""

from __future__ import annotations

from teaseldock.packets import store_state

#: Seconds beyond which a line tells that alerts may be missing. A watch takes
#: 1.5 s and the way of its answer some rounds of heartbeats: proof is up to
#: 2.4 s old among 40 processes that are well, and 3.2 s among 195 (played in
#: virtual time).
STALE_S = 4.0
#: Newest marks of what is known for which others' proof is kept.
CLAIMS_KEPT = 16


class Freshness:
    """Until when a process surely knows all of one kind.

    What is known is told by one rising number, its mark: of alerts the
    position of the newest, of configurations the version.
    """

    def __init__(self, now: float) -> None:
        """Start with nothing known.

        :param now: when the process started.
        """
        self._known_at: float | None = None
        # Until when others know all, by their marks, where those aren't
        # reached here yet.
        self._claims: dict[int, float] = {}
        self._started = now
        self._stale = False

    def age_s(self, now: float) -> float:
        """Return the greatest age of something that isn't known here."""
        since = self._started if self._known_at is None else self._known_at
        return max(0.0, now - since)

    def age_ms(self, now: float) -> int:
        """Return the age to tell others, -1 if nothing is known."""
        if self._known_at is None:
            return -1
        return round(1000 * self.age_s(now))

    def record_answer(self, now: float) -> None:
        """Note an answer of the store that was taken over."""
        self._extend_proof(now)

    def merge_claim(
        self, mark: int, age_ms: int, now: float, *, known: int
    ) -> float | None:
        """Take over how far another process knows all.

        :param mark: of what it knows.
        :param age_ms: greatest age of what it doesn't know; -1 if it knows
            nothing.
        :param known: mark of what is known here.
        :returns: until when it knows all, if that holds here too.
        """
        if age_ms < 0:
            return None
        at = now - age_ms / 1000 - store_state.RELAY_AGE_S
        if mark <= known:
            self._extend_proof(at)
            return at
        claimed = self._claims.get(mark)
        if claimed is None and len(self._claims) == CLAIMS_KEPT:
            del self._claims[min(self._claims)]
        self._claims[mark] = max(at, claimed or at)
        return None

    def adopt_claims(self, known: int) -> None:
        """Take over what others had proof of, now that it is known here.

        Until their next word, a process that has just been told would take
        itself for one that lags, and read the store: hundreds at once when
        the store comes back.

        :param known: mark of what is known here.
        """
        for mark in [item for item in self._claims if item <= known]:
            self._extend_proof(self._claims.pop(mark))

    def _extend_proof(self, at: float) -> None:
        if self._known_at is None or at > self._known_at:
            self._known_at = at

    def staleness_change(self, now: float) -> bool | None:
        """Tell once that it got old (True) or current again (False)."""
        old = self.age_s(now) > STALE_S
        if old == self._stale:
            return None
        self._stale = old
        return old
