"""Decide which processes read the store for all.

The load it answers: hundreds of processes that need each change within
seconds, before a store that bears a few thousand calls a second and charges
each; readers that die, are cut off from the store or sit behind slim links;
and a start of all at one moment, when nobody knows anything.
"""

from __future__ import annotations

import enum
import typing

from teaseldock.packets import mesh
from teaseldock.packets import peer as peers

if typing.TYPE_CHECKING:
    from teaseldock.packets import freshness
    from teaseldock.packets import store_state

#: Processes that read the store at a time. Two, so that the death of one
#: delays nothing; each costs one call a change and one a WATCH_S.
READERS = 2
#: Processes that go on trying often while the store answers nobody: those
#: first in rank, whether their calls fail or not.
PROBERS = 4
#: Age of the newest confirmation by the store, seconds, beyond which others
#: begin to read too: a watch is answered each 1.5 s at the latest, so an age
#: of 2 s means that both readers are gone. With the 0.3 s that a read takes on
#: a slow store it keeps the 3 s that changes may take.
TAKEOVER_S = 2.0
#: Rounds that a confirmation takes to be known everywhere where not all hear
#: each other in one round; added to the age above.
RELAY_ROUNDS = 2
#: Seconds between two of those that take over, in order of rank.
TAKEOVER_STEP_S = 0.25
#: Seconds over which agents that take over are spread by rank: they know the
#: balancers but not each other.
AGENT_SPREAD_S = 1.5
#: Seconds that a started balancer waits for a peer's word before it reads: a
#: round trip to another data centre takes 3 ms, a full read costs two calls.
START_WAIT_S = 0.04
#: Seconds over which agents that hear of no answer of the store after their
#: start are spread by rank; of 136, some 15 begin before the first is done.
COLD_SPREAD_S = 0.5


#: Age of own proof, seconds, beyond which a process reads the store itself. A
#: pause after changes and a watch take 1.65 s and the answer's way up to 0.9;
#: with the spread below and a read it keeps the 3 s that changes may take.
PROOF_MAX_AGE_S = 2.6
#: Seconds over which processes whose proof is old are spread by rank: those
#: that are being told at that moment don't read.
PROOF_SPREAD_S = 0.15


#: Seconds within which each change must be in force where the operator does
#: not say: the shortest that users ask for.
IN_FORCE_S = 3.0
#: Seconds that reading the store for one's own proof takes at the most, of
#: those above: the spread, a tick, a call to a store that is 60 times slower
#: than usual, and a request's own way.
READ_MARGIN_S = 0.5


class ReadReason(enum.Enum):
    """Why a process reads the store."""

    COLD_START = 'nobody has read yet'
    FIRST_IN_RANK = 'first in rank'
    OLD_PROOF = 'own knowledge may be old'
    NOBODY_READS = 'nobody had an answer for long'


class ReaderElection:
    """Who reads, as one process sees it."""

    def __init__(
        self,
        processes: mesh.Mesh,
        state: store_state.StoreState,
        proofs: tuple[freshness.Freshness, ...],
        *,
        host: str,
        is_balancer: bool,
        slim: bool,
        now: float,
        in_force_s: float = IN_FORCE_S,
    ) -> None:
        """Start with this process among the others.

        :param proofs: of all kinds of knowledge that must not get old.
        :param host: own IPv4 address.
        :param slim: whether the own link is too slow to read for others.
        :param in_force_s: seconds within which each change must be in force.
        """
        self._mesh = processes
        self._state = state
        self._proofs = proofs
        self._is_balancer = is_balancer
        self._slim = slim
        self._max_proof_age_s = in_force_s - READ_MARGIN_S
        self._own_rank = peers.reader_rank(host)
        self._started = now
        self._rank = 0
        self._rank_with_failing = 0
        self._ranked_at: tuple[float, bool] | None = None
        self._proof_old_since: float | None = None

    @property
    def rank(self) -> int:
        """Return how many processes came before this one, when reckoned."""
        return self._rank

    def read_reason(self, now: float, *, leaving: bool) -> ReadReason | None:
        """Return why this process should read the store now, or None.

        The living balancers first in rank do, those on wide links before
        the others. Whoever hears that nobody had an answer for long reads
        too, in order of rank: waiting for a dead or cut-off reader would keep
        old rules in force, which shows as new flows at a drained target;
        everybody reading at once would use up the store's rate.

        :param leaving: whether this process is about to stop.
        """
        if self._needs_cold_start_read(now):
            return ReadReason.COLD_START
        if self._has_old_proof(now):
            return ReadReason.OLD_PROOF
        age_s = now - (self._state.confirmed_at or self._started)
        if not self._is_balancer and age_s <= TAKEOVER_S:
            return None
        rank = self._rank_among(now, leaving=leaving)
        if self._is_balancer and rank < READERS:
            ready = now - self._started > START_WAIT_S
            return ReadReason.FIRST_IN_RANK if ready else None
        wait_s = TAKEOVER_S + TAKEOVER_STEP_S * rank + self._relay_delay_s()
        if not self._is_balancer:
            wait_s += AGENT_SPREAD_S * self._own_rank[0] / 255
        return ReadReason.NOBODY_READS if age_s > wait_s else None

    def proof_age_s(self, now: float) -> float:
        """Return the age of the oldest proof."""
        return max(proof.age_s(now) for proof in self._proofs)

    def _relay_delay_s(self) -> float:
        """Return the seconds that a confirmation takes beyond one round."""
        if len(self._mesh.balancers()) <= mesh.FAN_OUT:
            return 0.0
        return RELAY_ROUNDS * mesh.ROUND_S

    def _has_old_proof(self, now: float) -> bool:
        """Tell whether what is known here is older than may be.

        That others had an answer of the store is no help to a process that
        isn't told what it said, or hears only some that aren't told either.
        Waiting for its turn, which comes later the more others it hears, or
        for others, it would keep a server that left in use: new flows show
        in that server's log, and no caller sees anything. So its own proof
        decides, and the wait doesn't grow with the fleet. While the store
        answers nobody, taking over by rank is enough.
        """
        usual_s = PROOF_MAX_AGE_S + self._relay_delay_s()
        limit_s = min(usual_s, self._max_proof_age_s)
        old = self.proof_age_s(now) > limit_s
        if not old or self.store_unreachable(now):
            self._proof_old_since = None
            return False
        if self._proof_old_since is None:
            self._proof_old_since = now
        wait_s = PROOF_SPREAD_S * self._own_rank[0] / 255
        return now - self._proof_old_since >= wait_s

    def store_unreachable(self, now: float) -> bool:
        """Tell whether the store has answered nobody for long."""
        return self._state.unreachable(now, TAKEOVER_S + self._relay_delay_s())

    def _needs_cold_start_read(self, now: float) -> bool:
        """Tell whether an agent should read because nobody has read yet.

        After a loss of all power the balancers on slim links all read at one
        moment, each for over a second, and nothing is served. Agents have
        wide links; those first in rank are done within some ten milliseconds.
        """
        if self._is_balancer or self._slim or self._state.failing:
            return False
        if self._state.confirmed_at is not None:
            return False
        wait_s = START_WAIT_S + COLD_SPREAD_S * self._own_rank[0] / 255
        return now - self._started > wait_s

    def is_prober(self, now: float, *, leaving: bool) -> bool:
        """Tell whether this process goes on calling a store that is away."""
        self._rank_among(now, leaving=leaving)
        return self._rank_with_failing < PROBERS

    def _rank_among(self, now: float, *, leaving: bool) -> int:
        """Return how many living balancers come before this process.

        Those whose calls to the store fail don't count. It is reckoned anew a
        few times a second only: ticks ask for it.
        """
        if self._ranked_at is not None:
            at, as_leaving = self._ranked_at
            if as_leaving == leaving and 0 <= now - at < mesh.ALIVE_CACHE_S:
                return self._rank
        own = (not self._is_balancer, leaving, self._slim, self._own_rank)
        self._ranked_at = (now, leaving)
        before = [
            peer.heartbeat
            for peer in self._mesh.alive_balancers(now)
            if peer.heartbeat
            and (False, peer.leaving(now), peer.heartbeat.slim, peer.rank)
            < own
        ]
        self._rank_with_failing = len(before)
        self._rank = sum(not heard.store_failing for heard in before)
        return self._rank
