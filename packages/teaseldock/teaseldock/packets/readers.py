"""Decide which processes read the store for all.

Hundreds of processes need each change within seconds, from a store that
handles a few thousand calls a second and charges for each. Readers die, are
cut off from the store or are behind slow links, and all processes may start at
once, without any state.
"""

from __future__ import annotations

import enum
import typing

from teaseldock.packets import mesh
from teaseldock.packets import peer as peers

if typing.TYPE_CHECKING:
    from teaseldock.packets import freshness
    from teaseldock.packets import store_state

#: Processes that read the store at a time. With two, the death of one delays
#: nothing; each costs one call for each change and one every WATCH_S.
READERS = 2
#: Processes that retry often while the store answers no process: the first in
#: rank, whether their calls fail or not.
PROBERS = 4
#: Age of the newest answer of the store, seconds, above which other processes
#: start to read too. A watch is answered after 1.5 s at the latest, so an age
#: of 2 s means that both readers are gone. With the 0.3 s that a read takes on
#: a slow store, it keeps the 3 s that changes may take.
TAKEOVER_S = 2.0
#: Heartbeat rounds that an answer's age takes to reach all processes where one
#: round doesn't; added to the age above.
RELAY_ROUNDS = 2
#: Seconds between the takeovers of two processes that are consecutive in rank.
TAKEOVER_STEP_S = 0.25
#: Seconds over which takeovers of agents are spread by rank: agents have the
#: balancers as peers, but not each other.
AGENT_SPREAD_S = 1.5
#: Seconds that a started balancer waits for a heartbeat of a peer before it
#: reads: a round trip to another data centre takes 3 ms, a full read costs two
#: calls.
START_WAIT_S = 0.04
#: Seconds over which the first reads of agents are spread by rank if no answer
#: of the store was reported since their start; of 136, about 15 begin before
#: the first is done.
COLD_SPREAD_S = 0.5


#: Age of own proof, seconds, above which a process reads the store itself. A
#: pause after changes and a watch take 1.65 s, and the spread of the answer up
#: to 0.9 s; with the spread below and a read, it keeps the 3 s that changes
#: may take.
PROOF_MAX_AGE_S = 2.6
#: Seconds over which reads of processes with old proof are spread by rank, so
#: that those that receive the changes meanwhile don't read.
PROOF_SPREAD_S = 0.15


#: Seconds within which each change must be in force if the operator sets no
#: limit: the shortest that users ask for.
IN_FORCE_S = 3.0
#: Part of that limit, seconds, kept for a read of the store on old proof: the
#: spread, a tick, a call to a store that is 60 times slower than usual, and
#: the transfer of a request.
READ_MARGIN_S = 0.5


class ReadReason(enum.Enum):
    """Reasons for a process to read the store."""

    COLD_START = 'nobody has read yet'
    FIRST_IN_RANK = 'first in rank'
    OLD_PROOF = 'own knowledge may be old'
    NOBODY_READS = 'nobody had an answer for long'


class ReaderElection:
    """Election of the processes that read, as one process sees it."""

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
        """Create the election state of this process.

        :param proofs: of all kinds of state that must not become stale.
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
        """Return the number of processes before this one when last ranked."""
        return self._rank

    def read_reason(self, now: float, *, leaving: bool) -> ReadReason | None:
        """Return why this process should read the store now, or None.

        The alive balancers that are first in rank read, those on fast links
        before the others. If the newest answer of the store is old, others
        read too, in order of rank. Waiting for a reader that is dead or cut
        off would keep old rules in force, which shows as new flows at a
        drained target; reads by all processes at once would use up the store's
        rate.

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
        """Return the age of the oldest proof, seconds."""
        return max(proof.age_s(now) for proof in self._proofs)

    def _relay_delay_s(self) -> float:
        """Return how long an answer spreads beyond one round, seconds."""
        if len(self._mesh.balancers()) <= mesh.FAN_OUT:
            return 0.0
        return RELAY_ROUNDS * mesh.ROUND_S

    def _has_old_proof(self, now: float) -> bool:
        """Return whether own proof is too old, after a delay spread by rank.

        An answer that others got doesn't help a process to which the changes
        are not sent, or whose peers lack them too. A takeover by rank comes
        later the more peers a process has; until then it would keep a server
        that left in use. New flows then show in that server's log only, and no
        caller notices. So the own proof decides, and the wait doesn't grow
        with the number of processes. While the store answers no process,
        takeover by rank is enough.
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
        """Return whether the store has answered no process for long."""
        return self._state.unreachable(now, TAKEOVER_S + self._relay_delay_s())

    def _needs_cold_start_read(self, now: float) -> bool:
        """Return whether an agent should read because no process has read yet.

        After a total loss of power, all balancers on slow links would read at
        once, each for over a second, and no packet would be served. Agents
        have fast links; those first in rank are done within some ten
        milliseconds.
        """
        if self._is_balancer or self._slim or self._state.failing:
            return False
        if self._state.confirmed_at is not None:
            return False
        wait_s = START_WAIT_S + COLD_SPREAD_S * self._own_rank[0] / 255
        return now - self._started > wait_s

    def is_prober(self, now: float, *, leaving: bool) -> bool:
        """Return whether this process keeps calling an unreachable store."""
        self._rank_among(now, leaving=leaving)
        return self._rank_with_failing < PROBERS

    def _rank_among(self, now: float, *, leaving: bool) -> int:
        """Return the number of alive balancers that rank before this process.

        Those whose calls to the store fail don't count. The result is cached
        for a fraction of a second, because each tick requests it.
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
        self._rank = sum(not item.store_failing for item in before)
        return self._rank
