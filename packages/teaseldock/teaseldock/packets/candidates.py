"""Select the targets that may get a new flow or may hold an existing one."""

from __future__ import annotations

import collections
import typing

from teaseldock import flow as flows
from teaseldock.packets import control
from teaseldock.packets import expected_wait
from teaseldock.packets import holdings
from teaseldock.packets import load_query
from teaseldock.packets import mesh
from teaseldock.packets import peer as peers
from teaseldock.packets import placing
from teaseldock.packets import ranking
from teaseldock.packets import records

if typing.TYPE_CHECKING:
    from teaseldock.packets import hints
    from teaseldock.packets import knowledge
    from teaseldock.packets import store_state

#: Placements kept for each target; more than reports that are 0.4 s apart
#: miss.
MAX_PLACEMENTS = 64
#: Maximum number of targets considered for a new flow, the first in its rank.
MAX_CANDIDATES = placing.CANDIDATES * load_query.MAX_GROUPS
#: Number of agents among which the relays of a search are chosen: one for each
#: 40 targets, and the next ones if those are silent.
MAX_RELAYS = 16
#: Seconds after the removal of an entry for which its server may still be
#: alive. The agent is queried at the removal, and reports to all balancers by
#: itself.
REMOVAL_GRACE_S = 0.5

#: Seconds to wait for the answer of an agent that is queried since its entry
#: has an unknown service. At the address of another writer's entry
#: nobody answers.
UNNAMED_WAIT_S = 0.2
#: Seconds for which an agent may be silent while it restarts.
AGENT_RESTART_S = 10.0

#: See :attr:`teaseldock.packets.records.Target.run`.
Run = tuple[str, int]


class _WarmTime(typing.NamedTuple):
    """When a target is warm, according to one revision of its entry.

    :ivar revision: revision of the entry.
    :ivar at: time from which the target is warm, seconds.
    """

    revision: int
    at: float


class Candidates:
    """The targets by their entries, their reports and own placements."""

    def __init__(
        self,
        known: knowledge.Knowledge,
        processes: mesh.Mesh,
        state: store_state.StoreState,
        *,
        data_centre: str,
    ) -> None:
        """Create a view without own placements.

        :param data_centre: data centre of the balancer.
        """
        self._knowledge = known
        self._mesh = processes
        self._store = state
        self._data_centre = data_centre
        self._placed: dict[Run, collections.deque[float]] = {}
        self._warm_at: dict[Run, _WarmTime] = {}
        self._suspected: dict[str, float] = {}
        # Times at which the hosts of entries of unknown services were first
        # seen.
        self._unnamed_since: dict[str, float] = {}
        # The targets that may get new flows, and all that may hold existing
        # ones.
        self._placeable_orders = ranking.RankingCache()
        self._holder_orders = ranking.RankingCache()

    def refresh(self, now: float) -> None:
        """Apply changed entries."""
        self._placeable_orders.clear()
        self._holder_orders.clear()
        self._unnamed_since = {
            host: self._unnamed_since.get(host, now)
            for host in self._knowledge.unnamed_hosts
        }
        targets = {item.run: item for item in self._knowledge.targets.values()}
        for run, target in targets.items():
            known = self._warm_at.get(run)
            if known is None or known.revision != target.revision:
                # A server may become cold again when its data centre is
                # evacuated.
                self._warm_at[run] = _WarmTime(
                    target.revision, now + target.warmup_ms / 1000
                )
        for run in list(self._warm_at):
            if run not in targets:
                del self._warm_at[run]
                self._placed.pop(run, None)

    def note_placed(self, target: records.Target, now: float) -> None:
        """Record an own placement that no report includes yet."""
        placed = self._placed.setdefault(
            target.run, collections.deque(maxlen=MAX_PLACEMENTS)
        )
        placed.append(now)

    def suspect(self, host: str, now: float) -> None:
        """Record that an opening at a host had to be repeated.

        This is the first sign of a dead instance, a second before its
        heartbeats time out. The next heartbeat clears the suspicion.
        """
        self._suspected[host] = now

    def is_silent(self, target: records.Target, now: float) -> bool:
        """Tell whether the agent of a target does not answer.

        Most agents do not report to this balancer and count as alive; they are
        queried before they get a flow.
        """
        peer = self._mesh.peers.get(target.host)
        if peer is None:
            return False
        if peer.leaving(now) or peer.answer_overdue(now):
            return True
        suspected_at = self._suspected.get(target.host)
        if (
            suspected_at is None
            or now - suspected_at > peers.NEGATIVE_STATE_TTL_S
        ):
            return False
        return suspected_at > (peer.heard_at or 0.0)

    def preferred_data_centre(self, flow: bytes) -> str | None:
        """Return the data centre that a flow should stay in, or None."""
        route = self._knowledge.route(flows.packed_service_endpoint(flow))
        if route is None or route.kind != records.RequestKind.UPLOAD:
            return None
        return self._data_centre

    def aim_s(self, flow: bytes) -> float:
        """Return the latency objective of a flow's requests, seconds."""
        route = self._knowledge.route(flows.packed_service_endpoint(flow))
        return route.aim_ms / 1000 if route else placing.DEFAULT_AIM_S

    def for_new_flow(
        self, flow: bytes, hint: hints.Hint, now: float
    ) -> list[placing.Candidate]:
        """Return the first targets for a new flow in its rank order."""
        first = self._candidates(
            self._first_in_rank(flow, hint.service, now), hint, now
        )
        accepting = [item for item in first if _accepts(item)]
        if accepting:
            return accepting[:MAX_CANDIDATES]
        # The first in rank are silent, tried, denied or not accepting.
        targets = self._placeable(hint.service, now)
        order = placing.ranked(
            flow, targets, near=self.preferred_data_centre(flow)
        )
        others = self._candidates(order, hint, now)
        accepting = [item for item in others if _accepts(item)]
        return (accepting or others)[:MAX_CANDIDATES]

    def _candidates(
        self, targets: list[records.Target], hint: hints.Hint, now: float
    ) -> list[placing.Candidate]:
        return [
            self._candidate(target, now)
            for target in targets
            if target.host not in hint.tried and target.host not in hint.denied
        ]

    def _first_in_rank(
        self, flow: bytes, service: str, now: float
    ) -> list[records.Target]:
        near = self.preferred_data_centre(flow)
        targets = self._knowledge.placeable(service)
        first = self._placeable_orders.first(flow, service, targets, near=near)
        expired = self._recently_expired(service, now)
        if expired:
            first = placing.ranked(
                flow, first + expired, near=near, count=ranking.CACHED_TARGETS
            )
        return [item for item in first if not self.is_silent(item, now)]

    def _recently_expired(
        self, service: str, now: float
    ) -> list[records.Target]:
        if not self._store.recent_outage(now):
            return []
        return self._knowledge.recently_expired(service, now)

    def _placeable(self, service: str, now: float) -> list[records.Target]:
        targets = self._knowledge.placeable(service)
        targets = targets + self._recently_expired(service, now)
        alive = [item for item in targets if not self.is_silent(item, now)]
        return alive or targets

    def refusal_reason(self, service: str) -> str:
        """Return the reason why no target of a service may get a new flow."""
        evacuated = self._knowledge.evacuated
        for target in self._knowledge.of_service(service):
            if not target.draining and target.data_centre in evacuated:
                return 'data centre evacuated'
        return 'no target'

    def _candidate(
        self, target: records.Target, now: float
    ) -> placing.Candidate:
        peer = self._mesh.peers.get(target.host)
        reported_at = now
        if peer is not None and peer.heard_at is not None:
            reported_at = peer.heard_at
        placed = self._placed.get(target.run, ())
        reported_until = reported_at - placing.UNREPORTED_PLACEMENT_S
        warm_time = self._warm_at.get(target.run)
        warming = warm_time is not None and now < warm_time.at
        age_s = now - reported_at
        unreported = sum(1 for at in placed if at > reported_until)
        if age_s > load_query.FRESH_S:
            # All balancers see the same old reports and choose the same least
            # loaded target. When each counted its own placements only, each of
            # 22 balancers sent a target that had just started as many flows as
            # if it were the only balancer: 50 requests waited there for up to
            # 3 s. With the assumption that the others place as many flows, 9
            # to 12 requests are there at most.
            unreported *= len(self._mesh.balancers()) + 1
        return placing.Candidate(
            target,
            peer.server_load if peer else None,
            age_s,
            unreported,
            warming,
            peer.failing_percent / 100 if peer else 0.0,
            _expected_wait(peer, target, now, warming=warming),
        )

    def holders(
        self,
        flow: bytes,
        hint: hints.Hint,
        now: float,
        *,
        denied: typing.Container[str] = (),
    ) -> list[str]:
        """Return the hosts that may hold a flow, the most likely first.

        The targets of the services that its route names come first. Then come
        other agents that may hold the flow (see
        :mod:`teaseldock.packets.holdings`) and silent ones, which may be
        restarting while their server is alive.

        :param denied: hosts that don't hold it.
        """
        address = flows.packed_service_endpoint(flow)
        services = [hint.service, *self._knowledge.services_of(address)]
        targets: list[records.Target] = []
        for service in dict.fromkeys(services):
            of_service = self._knowledge.of_service(service)
            targets += self._holder_orders.first(
                flow,
                service,
                of_service,
                near=self.preferred_data_centre(flow),
            )
            targets += of_service
        targets.sort(key=lambda target: target.host not in hint.tried)
        hosts = dict.fromkeys(target.host for target in targets)
        hosts.update(
            dict.fromkeys(self._other_holders(address, set(services), now))
        )
        return [host for host in hosts if host not in denied]

    def _other_holders(
        self, address: bytes, services: set[str], now: float
    ) -> list[str]:
        """Return hosts outside a route's services that may hold its flows."""
        version = self._knowledge.version
        tags = {control.service_tag(service) for service in services}
        hosts = []
        for host in self._hosts_with_servers(now):
            peer = self._mesh.peers.get(host)
            if peer is None or not peer.reported_state_within(
                mesh.REPORT_VALID_S, now
            ):
                hosts.append(host)
            elif holdings.may_hold(
                peer.heartbeat, address, tags, version=version
            ):
                hosts.append(host)
        return hosts

    def _hosts_with_servers(self, now: float) -> list[str]:
        """Return all hosts whose backend server may be alive.

        They include agents that send heartbeats but have no entry. An entry
        may have expired because the store is unreachable, while its server is
        alive; a balancer that has started since then sees only the agent.
        Without these hosts it would reset open flows of that server.
        """
        hosts = [item.host for item in self._knowledge.targets.values()]
        # A target without an entry and without an agent is permanently gone,
        # unless its entry may have expired because the store was unreachable,
        # or holds what another writer left there: no server has removed it.
        outage = self._store.recent_outage(now)
        removed = self._knowledge.recently_removed(now)
        hosts += [
            item.target.host
            for item in removed
            if outage or not item.expired or now - item.at < REMOVAL_GRACE_S
        ]
        # An agent may stop without its server. Only a server that announced
        # its own departure stops too.
        departed = {item.target.host for item in removed if item.departed}
        hosts += [
            peer.host
            for peer in self._mesh.agents()
            if not self._knowledge.has_target_on(peer.host)
            and peer.heard_within(mesh.REPORT_VALID_S, now)
            and not (peer.leaving(now) and peer.host in departed)
        ]
        hosts += [
            host
            for host in self._unnamed_since
            if host not in departed
            and self._is_heard(host, now, AGENT_RESTART_S)
        ]
        return hosts

    def awaits_unnamed(self, now: float) -> bool:
        """Tell whether an agent of an unknown service may still answer."""
        return any(
            now - since < UNNAMED_WAIT_S
            and not self._is_heard(host, now, now - since)
            for host, since in self._unnamed_since.items()
        )

    def is_behind(self, reported: int, now: float) -> bool:
        """Tell whether others hold targets that this balancer lacks.

        A balancer that has just started while entries expire during an outage
        of the store counts as behind: it discovers those targets only by their
        agents.

        :param reported: newest layout revision in the answers of agents.
        """
        if self._mesh.recently_started(now) and self._store.recent_outage(now):
            return True
        newest = max(reported, self._mesh.newest_layout(now))
        return newest > self._knowledge.revision

    def relays(self, flow: bytes, now: float) -> list[str]:
        """Return the agents that may query others about a flow, in order.

        Those of the balancer's own data centre come first, since traffic
        between data centres is charged and a relay request carries a packet.
        """
        targets = self._knowledge.targets.values()
        usable = [item for item in targets if not self.is_silent(item, now)]
        heard = [
            item
            for item in usable
            if self._is_heard(item.host, now, mesh.HEARTBEAT_TIMEOUT_S)
        ]
        ordered = placing.ranked(
            flow, heard or usable, near=self._data_centre, count=MAX_RELAYS
        )
        return list(dict.fromkeys(target.host for target in ordered))

    def _is_heard(self, host: str, now: float, seconds: float) -> bool:
        peer = self._mesh.peers.get(host)
        return peer is not None and peer.heard_within(seconds, now)


def _expected_wait(
    peer: peers.Peer | None,
    target: records.Target,
    now: float,
    *,
    warming: bool,
) -> expected_wait.ExpectedWait | None:
    """Return the expected wait by an agent's last report, None if unknown.

    :param warming: whether the server is warming up by its entry.
    """
    if peer is None or peer.server_load is None:
        return None
    service_s = peer.service_s(now)
    report = peer.load_report
    if report is not None:
        if service_s is None:
            service_s = placing.initial_service_s(warming=warming)
        return expected_wait.ExpectedWait(report.start_s, service_s)
    if service_s is None:
        return None
    return expected_wait.estimate(
        ahead=peer.server_load.running + peer.server_load.queued,
        slots=target.slots,
        service_s=service_s,
    )


def _accepts(candidate: placing.Candidate) -> bool:
    """Tell whether a target may take new flows, by its last report."""
    if candidate.reported is None or candidate.reported.accepting:
        return True
    return candidate.age_s > peers.NEGATIVE_STATE_TTL_S
