"""Know the other processes: who is alive, who is ahead, whom to tell.

The load it answers: hundreds of processes, of which each needs to hear that
others live and whether they know something newer. All balancers telling all
processes cost 20 KB/s each at 195 processes, and most of the system's
processor time. So what one process sends depends on fixed fan-outs and not on
the size of the fleet: a balancer tells a dozen others at a time in turn, and
the agents that report to it; an agent reports to four balancers. Who is not
heard is asked when it matters (:mod:`teaseldock.packets.load_query`).

Agents find balancers by the seeds, by what balancers tell of each other, and
by balancers that call on registered instances.
"""

from __future__ import annotations

import heapq
import random
import typing

import siphash24

from teaseldock.packets import peer as peers

if typing.TYPE_CHECKING:
    from teaseldock.packets import control

#: Seconds between two rounds of heartbeats, of a balancer to others and of an
#: agent to those that it reports to. A balancer tells an agent that reports to
#: it in the first round after TO_AGENT_INTERVAL_S, every second one. Three
#: rounds fit into HEARTBEAT_TIMEOUT_S.
ROUND_S = 0.4
TO_AGENT_INTERVAL_S = 0.6
#: Processes that are told in one round at the most: up to 13 balancers hear
#: each other in every round; 59 do so in five rounds, with what they heard in
#: between from others. A round of 12 takes 2.4 KB/s with headers.
FAN_OUT = 12
#: Balancers that an agent reports to. Two may end at once without leaving it
#: without news; each balancer hears four times the agents over the balancers.
BALANCERS_PER_AGENT = 4
#: Registered instances that a balancer calls on in each round though nobody
#: reports from there, so that an agent without a living seed is found: one of
#: 136 by 59 balancers within a second. It answers only if it lacks balancers.
DISCOVERY_PER_ROUND = 1
#: Seconds between two heartbeats that name other balancers to a process that
#: knows some, and how many they name, drawn at random. Naming 24 in each took
#: 56 KB/s at 98 agents, and 2.6 of 5.3 KB/s at 59 balancers every two seconds.
NAMING_INTERVAL_S = 2.0
NAMED_AGAIN = 4
#: Seconds after its start when all that live have heard of a process and
#: have told it of themselves: a naming and a heartbeat.
DISCOVERY_S = NAMING_INTERVAL_S + 0.6
#: Seconds without a heartbeat after which a process counts as silent: three
#: intervals at the longest, so that two lost datagrams don't do it.
HEARTBEAT_TIMEOUT_S = 1.3
#: Seconds for which it is kept who of the balancers lives.
ALIVE_CACHE_S = 0.2
#: Rounds without a heartbeat after which a balancer counts as silent, where
#: there are more than can be told in one round.
HEARTBEAT_TIMEOUT_ROUNDS = 2.5
#: Seconds for which it is trusted what an agent told of the flows it holds.
#: An agent for which that changes tells everybody at once.
REPORT_VALID_S = 3.0
#: Seconds after which a silent process is forgotten.
PEER_EXPIRY_S = 30.0
#: Balancers named to a process that has started; bounds the heartbeat.
NAMED_FIRST = 24
_REPORT_KEY = b'teaseldock-tell1'


class Mesh:
    """All processes that this one talks with."""

    def __init__(
        self,
        host: str,
        *,
        is_balancer: bool,
        seeds: list[str],
        randomness: random.Random,
        now: float,
    ) -> None:
        """Start with the seeds as balancers that were not heard.

        :param host: own IPv4 address.
        :param seeds: hosts of balancers; may be out of date.
        """
        self._random = randomness
        self._host = host
        self._is_balancer = is_balancer
        self._peers: dict[str, peers.Peer] = {}
        self._seeds: list[str] = []
        self._registered: set[str] = set()
        self._started = now
        self._round_at = 0.0
        self._newest_revision = 0
        self._newest_version = 0
        self._newest_alert = 0
        # Kept until a process joins, goes or changes its role: ticks look at
        # them 20 times a second.
        self._balancers: list[peers.Peer] | None = None
        self._living: list[peers.Peer] = []
        self._living_at = 0.0
        self.set_seeds(seeds, now)

    @property
    def peers(self) -> dict[str, peers.Peer]:
        """Return all known processes by host."""
        return self._peers

    def recently_started(self, now: float) -> bool:
        """Tell whether some processes may not have heard of this one yet."""
        return now - self._started < DISCOVERY_S

    def balancers(self) -> list[peers.Peer]:
        """Return the known balancers."""
        if self._balancers is None:
            self._balancers = [
                peer for peer in self._peers.values() if peer.is_balancer
            ]
        return self._balancers

    def _forget_lists(self) -> None:
        self._balancers = None
        self._living_at = 0.0

    def agents(self) -> list[peers.Peer]:
        """Return the known agents."""
        return [peer for peer in self._peers.values() if not peer.is_balancer]

    def _learn(
        self, host: str, *, is_balancer: bool, now: float
    ) -> peers.Peer:
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = peers.Peer(
                host, is_balancer=is_balancer
            )
            peer.added_at = now
            self._forget_lists()
        return peer

    def set_seeds(self, hosts: list[str], now: float) -> None:
        """Take over changed seeds."""
        self._seeds = [host for host in hosts if host != self._host]
        for host in self._seeds:
            self._learn(host, is_balancer=True, now=now)

    def update_agents(self, hosts: set[str], now: float) -> None:
        """Take the instances of registered targets as agents to talk with."""
        self._registered = hosts
        for host in hosts:
            if host != self._host:
                self._learn(host, is_balancer=False, now=now)

    def add_balancer(self, host: str, now: float) -> None:
        """Take the sender of a balancer's message as one."""
        self._learn(host, is_balancer=True, now=now)

    def record_heartbeat(
        self,
        host: str,
        heartbeat: control.Heartbeat,
        now: float,
        *,
        solicited: bool = False,
    ) -> peers.Peer:
        """Take over the heartbeat of a process on an instance.

        :param solicited: whether it answers a question.
        """
        peer = self._learn(host, is_balancer=heartbeat.is_balancer, now=now)
        if peer.is_balancer != heartbeat.is_balancer or not peer.heartbeat:
            self._forget_lists()
        peer.record_heartbeat(heartbeat, now, solicited=solicited)
        self._newest_revision = max(self._newest_revision, heartbeat.revision)
        self._newest_alert = max(self._newest_alert, heartbeat.alerted)
        self._newest_version = max(self._newest_version, heartbeat.version)
        for named in heartbeat.balancers:
            if named != self._host:
                self._learn(named, is_balancer=True, now=now)
        return peer

    def _silent_s(self, balancers: int) -> float:
        """Return seconds after which one of some balancers is silent."""
        rounds = -(-balancers // FAN_OUT)
        if rounds <= 1:
            return HEARTBEAT_TIMEOUT_S
        return max(
            HEARTBEAT_TIMEOUT_S, HEARTBEAT_TIMEOUT_ROUNDS * rounds * ROUND_S
        )

    def is_new(
        self, host: str, heartbeat: control.Heartbeat, now: float
    ) -> bool:
        """Tell whether a process has started, or was away, until now.

        It waits for a word of this one then: the heartbeat that is due next
        would leave it with an old view for half a second.
        """
        peer = self._peers.get(host)
        if peer is None or peer.heartbeat is None:
            return True
        if peer.heartbeat.started != heartbeat.started:
            return True
        if heartbeat.is_balancer and not self._is_balancer:
            # Balancers that an agent doesn't report to call now and then.
            return False
        after_s = HEARTBEAT_TIMEOUT_S
        if heartbeat.is_balancer:
            after_s = self._silent_s(len(self.balancers()))
        return not peer.heard_within(after_s, now)

    def should_report_to(self, host: str, now: float) -> bool:
        """Tell whether an agent should report to a balancer."""
        living = self.alive_balancers(now)
        if len(living) < BALANCERS_PER_AGENT:
            return True
        return any(peer.host == host for peer in self.reported_to(now))

    def alive_balancers(self, now: float) -> list[peers.Peer]:
        """Return the balancers that have been heard lately."""
        if 0 <= now - self._living_at < ALIVE_CACHE_S:
            return self._living
        known = self.balancers()
        after_s = HEARTBEAT_TIMEOUT_S
        if self._is_balancer:
            after_s = self._silent_s(len(known))
        self._living_at = now
        self._living = [p for p in known if p.heard_within(after_s, now)]
        return self._living

    def names_due(self, peer: peers.Peer, now: float) -> int:
        """Return how many balancers the next heartbeat to a process names."""
        if not peer.named_at:
            count = NAMED_FIRST
        elif now - peer.named_at < NAMING_INTERVAL_S:
            return 0
        else:
            count = NAMED_AGAIN
        peer.named_at = now
        return count

    def named_balancers(self, now: float, count: int) -> list[str]:
        """Return some balancers to tell others of, and this one."""
        heard = self.alive_balancers(now)
        named = self._random.sample(heard, min(count, len(heard)))
        hosts = [peer.host for peer in named]
        if self._is_balancer:
            hosts.append(self._host)
        return hosts

    def heartbeats_due(
        self, now: float, *, all_balancers: bool
    ) -> list[peers.Peer]:
        """Return the processes that a heartbeat is due to.

        Silent ones are still told in their turn, so that both halves of a
        healed partition meet again.

        :param all_balancers: whether an agent has something to tell to all
            balancers, not only to those that it reports to.
        """
        if now - self._round_at < ROUND_S:
            return self._new(now)
        self._round_at = now
        self._forget(now)
        if self._is_balancer:
            return self._next_balancers() + self._next_agents(now)
        reported_to = self.reported_to(now)
        if not all_balancers:
            return reported_to
        others = [
            peer for peer in self._next_balancers() if peer not in reported_to
        ]
        return reported_to + others

    def _new(self, now: float) -> list[peers.Peer]:
        """Return balancers that became known since the last round."""
        count = FAN_OUT
        if not self._is_balancer:
            # An agent that reports to enough of them doesn't look for more.
            count = BALANCERS_PER_AGENT - len(self.alive_balancers(now))
        if count <= 0:
            return []
        new = [peer for peer in self.balancers() if not peer.sent_at]
        return new[:count]

    def _next_balancers(self) -> list[peers.Peer]:
        turn = sorted(self.balancers(), key=lambda peer: peer.sent_at)
        return turn[:FAN_OUT]

    def _next_agents(self, now: float) -> list[peers.Peer]:
        """Return the agents that report here, and some that don't."""
        reporting = []
        others = []
        for peer in self._peers.values():
            if peer.is_balancer:
                continue
            if not peer.is_reporting(now):
                others.append(peer)
            elif now - peer.sent_at >= TO_AGENT_INTERVAL_S:
                reporting.append(peer)
        called = min(DISCOVERY_PER_ROUND, len(others))
        return reporting + self._random.sample(others, called)

    def reported_to(self, now: float) -> list[peers.Peer]:
        """Return the balancers that an agent reports to.

        Each agent has an order of its own, so that all balancers hear about
        as many. Those that don't answer are replaced, and those that
        have just started and know nothing yet: an agent whose four balancers
        restarted at one moment heard 2.6 s late that a server leaves. If all
        are gone, others are tried in turn.
        """
        answering = [
            peer
            for peer in self.balancers()
            if not peer.leaving(now)
            and not peer.reports_unanswered(now)
            and not peer.has_no_state
        ]
        if len(answering) <= BALANCERS_PER_AGENT:
            return answering or self._next_balancers()
        return heapq.nsmallest(
            BALANCERS_PER_AGENT, answering, key=self._report_rank
        )

    def _report_rank(self, peer: peers.Peer) -> bytes:
        if not peer.report_rank:
            text = f'{self._host}>{peer.host}'.encode()
            digest = siphash24.siphash24(text, key=_REPORT_KEY).digest()
            peer.report_rank = digest
        return peer.report_rank

    def to_notify(self, count: int, now: float) -> list[peers.Peer]:
        """Return whom to tell at once that something is new.

        Some balancers that are behind, drawn at random, who tell others in
        turn; and the agents that report here.
        """
        agents = [
            peer for peer in self._peers.values() if peer.is_reporting(now)
        ]
        living = self.alive_balancers(now)
        return agents + self._random.sample(living, min(count, len(living)))

    def _forget(self, now: float) -> None:
        stale = [
            peer.host
            for peer in self._peers.values()
            if now - (peer.heard_at or peer.added_at) > PEER_EXPIRY_S
            and peer.host not in self._seeds
            and peer.host not in self._registered
        ]
        for host in stale:
            del self._peers[host]
        if stale:
            self._forget_lists()

    def peers_ahead(self, revision: int, now: float) -> list[peers.Peer]:
        """Return heard processes that know more than a revision."""
        if self._newest_revision <= revision:
            return []
        return [
            peer
            for peer in self._peers.values()
            if peer.revision > revision
            and peer.heard_within(REPORT_VALID_S, now)
        ]

    def peers_with_newer_version(
        self, version: int, now: float
    ) -> list[peers.Peer]:
        """Return heard processes that use a later configuration.

        Their position may be no higher: a process that began with the older
        configuration of a copy is at the position of those that kept theirs.
        """
        if self._newest_version <= version:
            return []
        return [
            peer
            for peer in self._peers.values()
            if peer.version > version
            and peer.heard_within(REPORT_VALID_S, now)
        ]

    @property
    def newest_alert(self) -> int:
        """Return the revision of the newest alert that anybody told of."""
        return self._newest_alert

    def peers_with_newer_alerts(
        self, revision: int, now: float
    ) -> list[peers.Peer]:
        """Return heard processes that know of alerts beyond a revision."""
        if self._newest_alert <= revision:
            return []
        return [
            peer
            for peer in self._peers.values()
            if peer.alerted > revision
            and peer.heard_within(REPORT_VALID_S, now)
        ]

    def on_resume(self, pause_s: float) -> None:
        """Put off judgements on others: this process has stood still.

        What was old before the pause stays old: an agent's word on its flows,
        taken for new, would get a flow reset that it holds by now.
        """
        self._round_at = 0.0
        for peer in self._peers.values():
            peer.asked_at = None
            peer.unheard_since = None
            if peer.heard_at is not None:
                peer.heard_at += pause_s

    def newest_layout(self, now: float) -> int:
        """Return the newest layout revision of all living processes."""
        return max(
            (
                peer.heartbeat.layout_revision
                for peer in self._peers.values()
                if peer.heartbeat is not None
                and peer.heard_within(REPORT_VALID_S, now)
            ),
            default=0,
        )
