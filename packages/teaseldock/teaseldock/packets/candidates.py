"""Tell which targets may get a new flow, and which may hold an old one."""

from __future__ import annotations

import collections
import typing

from teaseldock import flow as flows
from teaseldock.packets import control
from teaseldock.packets import holdings
from teaseldock.packets import placing
from teaseldock.packets import records

if typing.TYPE_CHECKING:
    from teaseldock.packets import hints
    from teaseldock.packets import knowledge
    from teaseldock.packets import mesh

#: Placements remembered for each target; more than the reports of 0.4 s miss.
PLACEMENTS_KEPT = 64

#: See :attr:`teaseldock.packets.records.Target.run`.
Run = tuple[str, int]


class Candidates:
    """The targets as one balancer sees them: entries, reports, own acts."""

    def __init__(
        self,
        known: knowledge.Knowledge,
        processes: mesh.Mesh,
        *,
        data_centre: str,
    ) -> None:
        """Start without own acts.

        :param data_centre: of the balancer.
        """
        self._knowledge = known
        self._mesh = processes
        self._data_centre = data_centre
        self._placed: dict[Run, collections.deque[float]] = {}
        self._first_seen: dict[Run, float] = {}
        self._suspected: dict[str, float] = {}

    def refresh(self, now: float) -> None:
        """Take over changed entries."""
        known = {item.run for item in self._knowledge.targets.values()}
        for run in known:
            self._first_seen.setdefault(run, now)
        for run in list(self._first_seen):
            if run not in known:
                del self._first_seen[run]
                self._placed.pop(run, None)

    def note_placed(self, target: records.Target, now: float) -> None:
        """Note an own placement, which no report shows yet."""
        placed = self._placed.setdefault(
            target.run, collections.deque(maxlen=PLACEMENTS_KEPT)
        )
        placed.append(now)

    def suspect(self, host: str, now: float) -> None:
        """Note that an opening at a host had to be repeated.

        It is the first sign of a dead instance, a second before its
        heartbeats are missed; the next heartbeat disproves it.
        """
        self._suspected[host] = now

    def is_silent(self, target: records.Target, now: float) -> bool:
        """Tell whether the agent of a target is away or about to be."""
        peer = self._mesh.peers.get(target.host)
        if peer is None or peer.leaving or peer.silent(now):
            return True
        suspected_at = self._suspected.get(target.host, 0.0)
        return suspected_at > (peer.heard_at or 0.0)

    def near(self, flow: bytes) -> str | None:
        """Return the data centre that a flow should stay in, if any."""
        route = self._knowledge.route(flows.service_of(flow))
        if route is None or route.kind != records.RequestKind.UPLOAD:
            return None
        return self._data_centre

    def for_new_flow(
        self, hint: hints.Hint, now: float
    ) -> list[placing.Candidate]:
        """Return the targets that may get a new flow."""
        usable = [
            self._candidate(target, now)
            for target in self._placeable(hint.service, now)
            if target.host not in hint.tried and target.host not in hint.denied
        ]
        accepting = [
            item
            for item in usable
            if item.reported is None or item.reported.accepting
        ]
        return accepting or usable

    def _placeable(self, service: str, now: float) -> list[records.Target]:
        targets = [
            target
            for target in self._knowledge.of_service(service)
            if not target.draining
        ]
        if self._mesh.recent_outage(now):
            targets += [
                target
                for target in self._knowledge.lapsed_of(service, now)
                if not self.is_silent(target, now)
            ]
        alive = [item for item in targets if not self.is_silent(item, now)]
        return alive or targets

    def _candidate(
        self, target: records.Target, now: float
    ) -> placing.Candidate:
        peer = self._mesh.peers.get(target.host)
        heartbeat = peer.heartbeat if peer else None
        reported_at = now
        if peer is not None and peer.heard_at is not None:
            reported_at = peer.heard_at
        placed = self._placed.get(target.run, ())
        shown = reported_at - placing.UNREPORTED_S
        first_seen = self._first_seen.get(target.run, now)
        # All balancers see the same reports and take the same target for the
        # least loaded. Had each counted its own placements only, a target that
        # has just started would get as many flows from each of 22 balancers
        # as from one: 50 requests waited there for up to 3 s. Reckoning that
        # the others place alike, 9 to 12 are there at the most (test).
        placers = len(self._mesh.balancers()) + 1
        return placing.Candidate(
            target,
            heartbeat.server_load if heartbeat else None,
            now - reported_at,
            placers * sum(1 for at in placed if at > shown),
            (now - first_seen) * 1000 < target.warmup_ms,
            heartbeat.failing_percent / 100 if heartbeat else 0.0,
        )

    def holders(self, flow: bytes, hint: hints.Hint, now: float) -> list[str]:
        """Return the hosts that may hold a flow, the likeliest first.

        Those of the services that its route names come first. Elsewhere,
        agents are asked that may hold it all the same (see
        :mod:`teaseldock.packets.holdings`), and those that are silent: they
        may be restarting while their server lives.
        """
        address = flows.service_of(flow)
        services = [hint.service, *self._knowledge.services_of(address)]
        targets: list[records.Target] = []
        for service in dict.fromkeys(services):
            targets += placing.ranked(
                flow,
                self._knowledge.of_service(service),
                near=self.near(flow),
            )
        targets.sort(key=lambda target: target.host not in hint.tried)
        hosts = dict.fromkeys(target.host for target in targets)
        hosts.update(
            dict.fromkeys(self._outsiders(address, set(services), now))
        )
        return [host for host in hosts if host not in hint.denied]

    def _outsiders(
        self, address: bytes, services: set[str], now: float
    ) -> list[str]:
        """Return hosts beyond a route's services that may hold its flows."""
        configuration = self._knowledge.configuration
        since = configuration.revision if configuration else 0
        tags = {control.service_tag(service) for service in services}
        hosts = []
        for host in self._hosts_with_servers(now):
            peer = self._mesh.peers.get(host)
            if peer is None or peer.silent(now):
                hosts.append(host)
            elif holdings.may_hold(peer.heartbeat, address, tags, since=since):
                hosts.append(host)
        return hosts

    def _hosts_with_servers(self, now: float) -> list[str]:
        """Return all hosts whose servers live, as far as can be known.

        Agents that are heard though no entry names them count: an entry may
        have expired for want of the store while its server lives, and a
        balancer that has started since knows of it by the agent alone.
        Without them it would reset open flows of that server.
        """
        hosts = [item.host for item in self._knowledge.targets.values()]
        # A target without an entry and without an agent is gone for good,
        # unless its entry may have expired for want of the store.
        outage = self._mesh.recent_outage(now)
        hosts += [
            item.target.host
            for item in self._knowledge.vanished(now)
            if outage or not self.is_silent(item.target, now)
        ]
        hosts += [
            peer.host
            for peer in self._mesh.agents()
            if not self._knowledge.is_registered(peer.host)
            and peer.heard_at is not None
            and not peer.silent(now)
        ]
        return hosts

    def lags(self, now: float) -> bool:
        """Tell whether others know of places that this balancer doesn't.

        So does a balancer that has just started while entries expire for want
        of the store: it hears of those targets by their agents alone.
        """
        if self._mesh.young(now) and self._mesh.recent_outage(now):
            return True
        return self._mesh.newest_layout(now) > self._knowledge.revision

    def relays(self, flow: bytes, now: float) -> list[str]:
        """Return the agents that may ask others about a flow, in order.

        Those of the balancer's own data centre come first: the packet that
        goes along is charged when it crosses.
        """
        targets = [
            target
            for target in self._knowledge.targets.values()
            if not self.is_silent(target, now)
        ]
        ordered = placing.ranked(flow, targets, near=self._data_centre)
        return list(dict.fromkeys(target.host for target in ordered))
