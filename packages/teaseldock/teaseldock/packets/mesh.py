"""Know the other processes: who is alive, who reads the store, who lags.

Agents and balancers exchange heartbeats directly. Agents find balancers by
the seeds and by what balancers tell of each other; balancers find agents by
the registered targets, whose agents run on the same instance.
"""

from __future__ import annotations


import siphash24

from teaseldock.packets import control

#: Seconds between two heartbeats of a balancer to another, and to an agent.
#: Three and two fit into SILENT_S. With 98 agents and 26 balancers: 15 KB/s.
BALANCER_INTERVAL_S = 0.4
TO_AGENT_INTERVAL_S = 0.6
#: Seconds between two heartbeats that name other balancers. Naming 24 in each
#: took 56 KB/s at 98 agents.
NAMING_INTERVAL_S = 2.0
#: Seconds after its start when all that live have heard of a process and
#: have told it of themselves: a naming and a heartbeat.
KNOWN_AFTER_S = NAMING_INTERVAL_S + 0.6
#: Seconds between two heartbeats of an agent to each balancer: while its load
#: changes, and otherwise. A placement that is 100 ms old is off by one request
#: at 10 new flows a second and target.
BUSY_INTERVAL_S = 0.1
IDLE_INTERVAL_S = 0.4
#: Bytes a second that a balancer may spend on hearing agents (letter 1); a
#: heartbeat takes 52 and 28 of headers. Beyond 12 agents the interval grows
#: with their number.
HEARING_BYTES_PER_S = 10_000.0
HEARTBEAT_BYTES = 80.0
#: Seconds without a heartbeat after which a process counts as silent: three
#: intervals at the longest, so that two lost datagrams don't do it.
SILENT_S = 1.3
#: Seconds that a process which was never heard has to answer the heartbeat
#: that it gets when it becomes known: ten round trips between data centres.
FIRST_ANSWER_S = 0.05
#: Seconds after which a silent process is forgotten.
FORGET_S = 30.0
#: Processes that read the store at a time. Two, so that the death of one
#: delays nothing; each costs one call a change and one a WATCH_S.
READERS = 2
#: Age of the newest confirmation by the store, seconds, beyond which others
#: begin to read too: a watch is answered each 1.5 s at the latest, so an age
#: of 2 s means that both readers are gone. With the 0.3 s that a read takes on
#: a slow store it keeps the 3 s that changes may take.
TAKEOVER_S = 2.0
#: Seconds between two of those that take over, in order of rank.
TAKEOVER_STEP_S = 0.25
#: Seconds over which agents that take over are spread by rank: they know the
#: balancers but not each other.
AGENT_SPREAD_S = 1.5
#: Seconds that a started balancer waits for a peer's word before it reads: a
#: round trip to another data centre takes 3 ms, a full read costs two calls.
START_WAIT_S = 0.04
#: Seconds until changes are sent again to a process that still lacks them: a
#: heartbeat that tells of the new revision comes within IDLE_INTERVAL_S.
RESEND_S = 0.6
#: Seconds for which an outage of the store is remembered: entries that expire
#: within them may do so for want of the store, three heartbeats after it went.
OUTAGE_MEMORY_S = 10.0
#: Balancers named in a heartbeat; bounds its length.
BALANCERS_NAMED = 24
_RANK_KEY = b'teaseldock-read2'


class Peer:
    """Another process as it last described itself."""

    def __init__(self, host: str, *, is_balancer: bool) -> None:
        """Start with a process that has not been heard."""
        self.host = host
        self.is_balancer = is_balancer
        self.heartbeat: control.Heartbeat | None = None
        self.heard_at: float | None = None
        self.known_at = 0.0
        self.told_at = 0.0
        self.named_at = 0.0
        self.sent_upto = 0
        self.sent_at = 0.0
        self.assembler = control.Assembler()

    @property
    def revision(self) -> int:
        """Return up to which revision the process knows the store."""
        return self.heartbeat.revision if self.heartbeat else 0

    @property
    def leaving(self) -> bool:
        """Tell whether the process is about to stop."""
        return bool(self.heartbeat and self.heartbeat.leaving)

    def silent(self, now: float) -> bool:
        """Tell whether the process has not been heard for too long."""
        if self.heard_at is None:
            return now - self.known_at > FIRST_ANSWER_S
        return now - self.heard_at > SILENT_S


def reader_rank(host: str) -> bytes:
    """Return the order in which processes read the store."""
    return siphash24.siphash24(host.encode(), key=_RANK_KEY).digest()


class Mesh:
    """All processes that this one talks with."""

    def __init__(
        self, host: str, *, is_balancer: bool, seeds: list[str], now: float
    ) -> None:
        """Start with the seeds as balancers that were not heard.

        :param host: own IPv4 address.
        :param seeds: hosts of balancers; may be out of date.
        """
        self._host = host
        self._is_balancer = is_balancer
        self._peers: dict[str, Peer] = {}
        self._seeds: list[str] = []
        self._started = now
        self._confirmed_at: float | None = None
        self._store_failing = False
        self._outage_at: float | None = None
        self.learn_seeds(seeds, now)

    @property
    def peers(self) -> dict[str, Peer]:
        """Return all known processes by host."""
        return self._peers

    @property
    def store_failing(self) -> bool:
        """Tell whether this process's calls to the store fail."""
        return self._store_failing

    def young(self, now: float) -> bool:
        """Tell whether some processes may not have heard of this one yet."""
        return now - self._started < KNOWN_AFTER_S

    def confirmed_after(self, moment: float) -> bool:
        """Tell whether the store has answered anybody after a moment."""
        return self._confirmed_at is not None and self._confirmed_at > moment

    def recent_outage(self, now: float) -> bool:
        """Tell whether calls to the store failed lately, anybody's."""
        if self._outage_at is None:
            return False
        return now - self._outage_at < OUTAGE_MEMORY_S

    def balancers(self) -> list[Peer]:
        """Return the known balancers."""
        return [peer for peer in self._peers.values() if peer.is_balancer]

    def agents(self) -> list[Peer]:
        """Return the known agents."""
        return [peer for peer in self._peers.values() if not peer.is_balancer]

    def _learn(self, host: str, *, is_balancer: bool, now: float) -> Peer:
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = Peer(host, is_balancer=is_balancer)
            peer.known_at = now
        return peer

    def learn_seeds(self, hosts: list[str], now: float) -> None:
        """Take over changed seeds."""
        self._seeds = [host for host in hosts if host != self._host]
        for host in self._seeds:
            self._learn(host, is_balancer=True, now=now)

    def learn_agents(self, hosts: set[str], now: float) -> None:
        """Take the instances of registered targets as agents to talk with."""
        for host in hosts:
            if host != self._host:
                self._learn(host, is_balancer=False, now=now)

    def hear(
        self, host: str, heartbeat: control.Heartbeat, now: float
    ) -> Peer:
        """Take over the heartbeat of a process on an instance."""
        peer = self._learn(host, is_balancer=heartbeat.is_balancer, now=now)
        peer.heartbeat = heartbeat
        peer.is_balancer = heartbeat.is_balancer
        peer.heard_at = now
        if heartbeat.store_failing:
            self._outage_at = now
        for named in heartbeat.balancers:
            if named != self._host:
                self._learn(named, is_balancer=True, now=now)
        if heartbeat.confirmed_ms >= 0:
            self._confirm(now - heartbeat.confirmed_ms / 1000)
        return peer

    def _confirm(self, at: float) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def store_answered(self, now: float) -> bool:
        """Note an answer of the store; tell whether calls failed before."""
        self._confirm(now)
        regained = self._store_failing
        self._store_failing = False
        return regained

    def store_failed(self, now: float) -> bool:
        """Note a failed call; tell whether it is the first in a row."""
        self._outage_at = now
        lost = not self._store_failing
        self._store_failing = True
        return lost

    def confirmed_ms(self, now: float) -> int:
        """Return the age of the newest confirmation, -1 if there is none."""
        if self._confirmed_at is None:
            return -1
        return max(0, round((now - self._confirmed_at) * 1000))

    def named_balancers(self, now: float) -> list[str]:
        """Return balancers to tell others of, those heard last first."""
        heard = [
            peer
            for peer in self._peers.values()
            if peer.is_balancer and not peer.silent(now) and peer.heartbeat
        ]
        heard.sort(key=lambda peer: -(peer.heard_at or 0.0))
        hosts = [peer.host for peer in heard[:BALANCERS_NAMED]]
        if self._is_balancer:
            hosts.append(self._host)
        return hosts

    def due(self, now: float, *, interval_s: float) -> list[Peer]:
        """Return the processes that a heartbeat is due to.

        A balancer tells everybody, an agent the balancers. Silent ones are
        still told, so that both halves of a healed partition meet again.

        :param interval_s: seconds between two heartbeats to a balancer.
        """
        self._forget(now)
        return [
            peer
            for peer in self._peers.values()
            if (self._is_balancer or peer.is_balancer)
            and now - peer.told_at
            >= (interval_s if peer.is_balancer else TO_AGENT_INTERVAL_S)
        ]

    def _forget(self, now: float) -> None:
        stale = [
            peer.host
            for peer in self._peers.values()
            if now - (peer.heard_at or peer.known_at) > FORGET_S
            and peer.host not in self._seeds
        ]
        for host in stale:
            del self._peers[host]

    def hearing_interval(self, agents: int) -> float:
        """Return how often each of some agents may report to a balancer."""
        return max(
            BUSY_INTERVAL_S, agents * HEARTBEAT_BYTES / HEARING_BYTES_PER_S
        )

    def lagging(self, revision: int, now: float) -> list[Peer]:
        """Return heard processes that know less than a revision.

        Those to which all of it was sent a moment ago are left out.
        """
        return [
            peer
            for peer in self._peers.values()
            if peer.heartbeat is not None
            and peer.revision < revision
            and not peer.silent(now)
            and (peer.sent_upto < revision or now - peer.sent_at > RESEND_S)
        ]

    def newest_layout(self, now: float) -> int:
        """Return the newest layout revision of all living processes."""
        return max(
            (
                peer.heartbeat.layout_revision
                for peer in self._peers.values()
                if peer.heartbeat is not None and not peer.silent(now)
            ),
            default=0,
        )

    def reads(self, now: float, *, leaving: bool) -> bool:
        """Tell whether this process should read the store now.

        The living balancers first in rank do. Whoever hears that nobody had
        an answer for long reads too, in order of rank: waiting for a dead or
        cut-off reader would keep old rules in force, which shows as new flows
        at a drained target; everybody reading at once would use up the
        store's rate.
        """
        rank = self._rank(now, leaving=leaving)
        if self._is_balancer and rank < READERS:
            return now - self._started > START_WAIT_S
        age_s = now - (self._confirmed_at or self._started)
        wait_s = TAKEOVER_S + TAKEOVER_STEP_S * rank
        if not self._is_balancer:
            wait_s += AGENT_SPREAD_S * reader_rank(self._host)[0] / 255
        return age_s > wait_s

    def _rank(self, now: float, *, leaving: bool) -> int:
        own = (not self._is_balancer, leaving, reader_rank(self._host))
        ahead = 0
        for peer in self._peers.values():
            if peer.heartbeat is None or peer.silent(now):
                continue
            if peer.heartbeat.store_failing:
                continue
            order = (
                not peer.is_balancer,
                peer.leaving,
                reader_rank(peer.host),
            )
            ahead += order < own
        return ahead
