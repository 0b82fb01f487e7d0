"""Bound the age of changes that a process may lack.

The bound rests on an answer of the store, received by the process itself or
relayed from process to process; each relays only what it has proof of. A
process that receives heartbeats but not the changes sees its own age grow, and
reads the store itself (see :mod:`teaseldock.packets.readers`). What other
processes have confirmed is no proof of the state here, and proof for alerts is
no proof for the configuration, so each is measured separately.
"""

from __future__ import annotations

from teaseldock.packets import store_state

#: Age, seconds, above which a log line reports that alerts may be missing. A
#: watch takes 1.5 s, and its answer some rounds of heartbeats to spread: in
#: simulations, proof is up to 2.4 s old among 40 healthy processes, and up to
#: 3.2 s among 195.
STALE_S = 4.0
#: Number of marks, the newest, for which claims of other processes are kept.
CLAIMS_KEPT = 16


class Freshness:
    """Time up to which a process has proof that its state is complete.

    There is one instance for each kind of state. A rising number, the mark,
    identifies what is known: for alerts the position of the newest one, for
    configurations the version.
    """

    def __init__(self, now: float) -> None:
        """Create a state without proof.

        :param now: when the process started.
        """
        self._known_at: float | None = None
        # Times up to which other processes have proof, by their marks, for
        # marks that are not reached here yet.
        self._claims: dict[int, float] = {}
        self._started = now
        self._stale = False

    def age_s(self, now: float) -> float:
        """Return the greatest age of a change that may be missing, seconds."""
        since = self._started if self._known_at is None else self._known_at
        return max(0.0, now - since)

    def age_ms(self, now: float) -> int:
        """Return the age to report to peers, ms; -1 without proof."""
        if self._known_at is None:
            return -1
        return round(1000 * self.age_s(now))

    def record_answer(self, now: float) -> None:
        """Record an answer of the store that was applied."""
        self._extend_proof(now)

    def merge_claim(
        self, mark: int, age_ms: int, now: float, *, known: int
    ) -> float | None:
        """Merge another process's claim that its state is complete.

        :param mark: of the other process's state.
        :param age_ms: greatest age of a change that it may lack; -1 if it has
            no proof.
        :param known: mark of the state here.
        :returns: time up to which its state is complete, if that holds here
            too; otherwise None.
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
        """Adopt claims of other processes whose marks are now reached here.

        Otherwise a process that has just received changes would look stale
        until the next heartbeat, and read the store: hundreds at once when the
        store returns.

        :param known: mark of the state here.
        """
        for mark in [item for item in self._claims if item <= known]:
            self._extend_proof(self._claims.pop(mark))

    def _extend_proof(self, at: float) -> None:
        if self._known_at is None or at > self._known_at:
            self._known_at = at

    def staleness_change(self, now: float) -> bool | None:
        """Return True on turning stale, False on recovery, otherwise None."""
        old = self.age_s(now) > STALE_S
        if old == self._stale:
            return None
        self._stale = old
        return old
