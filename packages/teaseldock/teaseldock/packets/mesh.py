"""Track the other processes: which are alive, ahead, or due a heartbeat.

Each of hundreds of processes must detect that the others are alive and whether
they hold newer data. When all balancers sent heartbeats to all processes, each
spent 20 KB/s at 195 processes, and heartbeats took most of the system's
processor time. So the number of messages that a process sends depends on fixed
fan-outs, not on the size of the fleet: in each round a balancer sends
heartbeats to a dozen others in turn and to the agents that report to it; an
agent reports to four balancers. A process without recent heartbeats is queried
when its state matters (:mod:`teaseldock.packets.load_query`).

Agents discover balancers from the seeds, from the balancers that heartbeats
name, and from balancers that contact registered instances.
"""

from __future__ import annotations

import heapq
import random
import typing

import siphash24

from teaseldock.packets import peer as peers

if typing.TYPE_CHECKING:
    from teaseldock.packets import control

#: Seconds between two rounds of heartbeats, from a balancer to other processes
#: and from an agent to the balancers that it reports to. A balancer sends a
#: heartbeat to an agent that reports to it in the first round after
#: TO_AGENT_INTERVAL_S, which is every second one. Three rounds fit into
#: HEARTBEAT_TIMEOUT_S.
ROUND_S = 0.4
TO_AGENT_INTERVAL_S = 0.6
#: Maximum number of balancers that a process sends heartbeats to in one round.
#: Up to 13 balancers reach each other in every round; 59 do so in five rounds
#: and receive news from others in between. A round of 12 takes 2.4 KB/s with
#: headers.
FAN_OUT = 12
#: Balancers that an agent reports to. If two stop at once, the agent still
#: receives updates. Each balancer receives reports from four times the number
#: of agents divided by the number of balancers.
BALANCERS_PER_AGENT = 4
#: Registered instances without a reporting agent that a balancer contacts in
#: each round, so that an agent without a live seed is discovered: 59 balancers
#: reach one of 136 within a second. The agent replies only if it needs more
#: balancers.
DISCOVERY_PER_ROUND = 1
#: Seconds between two heartbeats that name other balancers to a process that
#: already has some, and the number of balancers that they name, drawn at
#: random. Naming 24 in each took 56 KB/s at 98 agents; every two seconds it
#: took 2.6 of 5.3 KB/s at 59 balancers.
NAMING_INTERVAL_S = 2.0
BALANCERS_NAMED = 4
#: Seconds after the start of a process within which all live processes receive
#: its address and send it a heartbeat: a naming interval and a heartbeat.
DISCOVERY_S = NAMING_INTERVAL_S + 0.6
#: Seconds without a heartbeat after which a process counts as silent: three of
#: the longest intervals, so that two lost datagrams are not enough.
HEARTBEAT_TIMEOUT_S = 1.3
#: Seconds for which the list of live balancers is cached.
ALIVE_CACHE_S = 0.2
#: Rounds without a heartbeat after which a balancer counts as silent, where
#: there are more balancers than one round reaches.
HEARTBEAT_TIMEOUT_ROUNDS = 2.5
#: Seconds for which an agent's report on the flows that it holds is valid. An
#: agent whose report changes sends it to all balancers at once.
REPORT_VALID_S = 3.0
#: Seconds after which a silent process is removed.
PEER_EXPIRY_S = 30.0
#: Balancers named to a process that has just started; bounds the size of the
#: heartbeat.
BALANCERS_NAMED_AT_START = 24
_REPORT_KEY = b'teaseldock-tell1'


class Mesh:
    """The other processes that this one exchanges messages with."""

    def __init__(
        self,
        host: str,
        *,
        is_balancer: bool,
        seeds: list[str],
        randomness: random.Random,
        now: float,
    ) -> None:
        """Create a mesh that holds the seeds, without heartbeats yet.

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
        # Cached until a process joins, leaves or changes its role, since ticks
        # read them 20 times a second.
        self._balancers: list[peers.Peer] | None = None
        self._alive: list[peers.Peer] = []
        self._alive_at = 0.0
        self.set_seeds(seeds, now)

    @property
    def peers(self) -> dict[str, peers.Peer]:
        """Return all known processes by host."""
        return self._peers

    def recently_started(self, now: float) -> bool:
        """Tell whether some processes may not have discovered this one yet."""
        return now - self._started < DISCOVERY_S

    def balancers(self) -> list[peers.Peer]:
        """Return the known balancers."""
        if self._balancers is None:
            self._balancers = [
                peer for peer in self._peers.values() if peer.is_balancer
            ]
        return self._balancers

    def _clear_caches(self) -> None:
        self._balancers = None
        self._alive_at = 0.0

    def agents(self) -> list[peers.Peer]:
        """Return the known agents."""
        return [peer for peer in self._peers.values() if not peer.is_balancer]

    def _get_or_add(
        self, host: str, *, is_balancer: bool, now: float
    ) -> peers.Peer:
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = peers.Peer(
                host, is_balancer=is_balancer
            )
            peer.added_at = now
            self._clear_caches()
        return peer

    def set_seeds(self, hosts: list[str], now: float) -> None:
        """Replace the seeds."""
        self._seeds = [host for host in hosts if host != self._host]
        for host in self._seeds:
            self._get_or_add(host, is_balancer=True, now=now)

    def update_agents(self, hosts: set[str], now: float) -> None:
        """Add an agent for the instance of each registered target."""
        self._registered = hosts
        for host in hosts:
            if host != self._host:
                self._get_or_add(host, is_balancer=False, now=now)

    def add_balancer(self, host: str, now: float) -> None:
        """Add the sender of a balancer's message as a balancer."""
        self._get_or_add(host, is_balancer=True, now=now)

    def record_heartbeat(
        self,
        host: str,
        heartbeat: control.Heartbeat,
        now: float,
        *,
        solicited: bool = False,
    ) -> peers.Peer:
        """Record the heartbeat of the process on an instance.

        :param solicited: whether it answers a question.
        """
        peer = self._get_or_add(
            host, is_balancer=heartbeat.is_balancer, now=now
        )
        if peer.is_balancer != heartbeat.is_balancer or not peer.heartbeat:
            self._clear_caches()
        peer.record_heartbeat(heartbeat, now, solicited=solicited)
        self._newest_revision = max(self._newest_revision, heartbeat.revision)
        self._newest_alert = max(self._newest_alert, heartbeat.alerted)
        self._newest_version = max(self._newest_version, heartbeat.version)
        for named in heartbeat.balancers:
            if named != self._host:
                self._get_or_add(named, is_balancer=True, now=now)
        return peer

    def record_load_report(
        self, host: str, report: control.LoadReport, now: float
    ) -> peers.Peer:
        """Record the short report of the agent on an instance.

        The report carries no state of the store. What the agent's last
        heartbeat said of that keeps its age.
        """
        peer = self._get_or_add(host, is_balancer=False, now=now)
        if peer.is_balancer:
            self._clear_caches()
        peer.record_load_report(report, now)
        return peer

    def _timeout_s(self, balancers: int) -> float:
        """Return the seconds after which one of some balancers is silent."""
        rounds = -(-balancers // FAN_OUT)
        if rounds <= 1:
            return HEARTBEAT_TIMEOUT_S
        return max(
            HEARTBEAT_TIMEOUT_S, HEARTBEAT_TIMEOUT_ROUNDS * rounds * ROUND_S
        )

    def is_new(
        self, host: str, heartbeat: control.Heartbeat, now: float
    ) -> bool:
        """Tell whether a process has just started or has just returned.

        Such a process needs a heartbeat at once: until the next regular one it
        would use an outdated view for half a second.
        """
        peer = self._peers.get(host)
        if peer is None or peer.heartbeat is None:
            return True
        if peer.heartbeat.started != heartbeat.started:
            return True
        if heartbeat.is_balancer and not self._is_balancer:
            # A balancer that the agent does not report to contacts it only
            # occasionally.
            return False
        after_s = HEARTBEAT_TIMEOUT_S
        if heartbeat.is_balancer:
            after_s = self._timeout_s(len(self.balancers()))
        return not peer.heard_within(after_s, now)

    def should_report_to(self, host: str, now: float) -> bool:
        """Tell whether an agent should report to a balancer."""
        alive = self.alive_balancers(now)
        if len(alive) < BALANCERS_PER_AGENT:
            return True
        return any(peer.host == host for peer in self.reported_to(now))

    def alive_balancers(self, now: float) -> list[peers.Peer]:
        """Return the balancers with a recent heartbeat."""
        if 0 <= now - self._alive_at < ALIVE_CACHE_S:
            return self._alive
        known = self.balancers()
        after_s = HEARTBEAT_TIMEOUT_S
        if self._is_balancer:
            after_s = self._timeout_s(len(known))
        self._alive_at = now
        self._alive = [p for p in known if p.heard_within(after_s, now)]
        return self._alive

    def names_due(self, peer: peers.Peer, now: float) -> int:
        """Return how many balancers the next heartbeat to a process names."""
        if not peer.named_at:
            count = BALANCERS_NAMED_AT_START
        elif now - peer.named_at < NAMING_INTERVAL_S:
            return 0
        else:
            count = BALANCERS_NAMED
        peer.named_at = now
        return count

    def named_balancers(self, now: float, count: int) -> list[str]:
        """Return some live balancers to name to others, and this one."""
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

        Silent ones still get one in their turn, so that both halves of a
        healed partition find each other again.

        :param all_balancers: whether an agent reports to all balancers, not
            only to those of :meth:`reported_to`.
        """
        if now - self._round_at < ROUND_S:
            return self._new_balancers(now)
        self._round_at = now
        self._remove_expired(now)
        if self._is_balancer:
            return self._next_balancers() + self._next_agents(now)
        reported_to = self.reported_to(now)
        if not all_balancers:
            return reported_to
        others = [
            peer for peer in self._next_balancers() if peer not in reported_to
        ]
        return reported_to + others

    def _new_balancers(self, now: float) -> list[peers.Peer]:
        """Return balancers that were added since the last round."""
        count = FAN_OUT
        if not self._is_balancer:
            # An agent that reports to enough balancers does not look for more.
            count = BALANCERS_PER_AGENT - len(self.alive_balancers(now))
        if count <= 0:
            return []
        new = [peer for peer in self.balancers() if not peer.sent_at]
        return new[:count]

    def _next_balancers(self) -> list[peers.Peer]:
        turn = sorted(self.balancers(), key=lambda peer: peer.sent_at)
        return turn[:FAN_OUT]

    def _next_agents(self, now: float) -> list[peers.Peer]:
        """Return the agents that report here, and some that do not."""
        reporting = []
        others = []
        for peer in self._peers.values():
            if peer.is_balancer:
                continue
            if not peer.is_reporting(now):
                others.append(peer)
            elif now - peer.sent_at >= TO_AGENT_INTERVAL_S:
                reporting.append(peer)
        contacted = min(DISCOVERY_PER_ROUND, len(others))
        return reporting + self._random.sample(others, contacted)

    def reported_to(self, now: float) -> list[peers.Peer]:
        """Return the balancers that an agent reports to.

        Each agent ranks them differently, so that all balancers have about the
        same number of agents. Balancers that do not answer are replaced, and
        so are those that have just started and hold no store state yet: an
        agent whose four balancers restarted at once learned 2.6 s late that a
        server was leaving. If none is left, the others are tried in turn.
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
        """Return the processes to notify at once of a change.

        These are the agents that report here and some live balancers, drawn at
        random, which notify others in turn.
        """
        agents = [
            peer for peer in self._peers.values() if peer.is_reporting(now)
        ]
        alive = self.alive_balancers(now)
        return agents + self._random.sample(alive, min(count, len(alive)))

    def _remove_expired(self, now: float) -> None:
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
            self._clear_caches()

    def peers_ahead(self, revision: int, now: float) -> list[peers.Peer]:
        """Return live processes whose position is beyond a revision."""
        if self._newest_revision <= revision:
            return []
        return [
            peer
            for peer in self._peers.values()
            if peer.revision > revision
            and peer.reported_state_within(REPORT_VALID_S, now)
        ]

    def peers_with_newer_version(
        self, version: int, now: float
    ) -> list[peers.Peer]:
        """Return live processes that use a later configuration.

        Their position may be no higher: a process that started with the older
        configuration of a copy is at the same position as those that kept
        theirs.
        """
        if self._newest_version <= version:
            return []
        return [
            peer
            for peer in self._peers.values()
            if peer.version > version
            and peer.reported_state_within(REPORT_VALID_S, now)
        ]

    @property
    def newest_alert(self) -> int:
        """Return the revision of the newest alert in any heartbeat."""
        return self._newest_alert

    def peers_with_newer_alerts(
        self, revision: int, now: float
    ) -> list[peers.Peer]:
        """Return live processes that hold alerts beyond a revision."""
        if self._newest_alert <= revision:
            return []
        return [
            peer
            for peer in self._peers.values()
            if peer.alerted > revision
            and peer.reported_state_within(REPORT_VALID_S, now)
        ]

    def on_resume(self, pause_s: float) -> None:
        """Postpone failure detection after a pause of this process.

        What was old before the pause stays old. If an agent's old report on
        its flows counted as new, a flow that it has accepted since would be
        reset.
        """
        self._round_at = 0.0
        for peer in self._peers.values():
            peer.asked_at = None
            peer.unanswered_since = None
            peer.postpone(pause_s)

    def newest_layout(self, now: float) -> int:
        """Return the newest layout revision that live processes report."""
        return max(
            (
                peer.heartbeat.layout_revision
                for peer in self._peers.values()
                if peer.heartbeat is not None
                and peer.reported_state_within(REPORT_VALID_S, now)
            ),
            default=0,
        )
