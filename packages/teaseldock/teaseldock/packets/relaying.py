"""Query other agents on behalf of a balancer for the holder of a flow.

A balancer with a slow link sends one datagram for each flow. The many queries
and answers use the agents' links (see :mod:`teaseldock.packets.searching`). An
agent that started after its server may not have seen all flows. It receives
the packet and forwards it to its server, whose reaction gives the answer.
"""

from __future__ import annotations

import collections
import typing

from teaseldock.packets import control
from teaseldock.packets import searching

if typing.TYPE_CHECKING:
    from teaseldock.packets import reporting

#: Initial retry interval for hosts that have not answered, in seconds, doubled
#: after each retry: longer than a busy agent takes for a batch of datagrams.
RETRY_INTERVAL_S = 0.1
#: Seconds after which the denials so far are reported to the balancer if some
#: hosts have not answered: they must not be lost if the relay dies.
PARTIAL_REPORT_S = 0.05
#: Seconds after which a relayed search is dropped; by then the balancer has
#: asked another relay.
SEARCH_TTL_S = 2.0
#: Maximum number of concurrent relayed searches; the oldest is evicted first.
#: At 200 flows a second over 40 agents, each agent gets 5 searches a second
#: of some 10 ms each.
MAX_SEARCHES = 500


class _RelayedSearch:
    """One search that a balancer has delegated to this agent."""

    def __init__(
        self,
        request: control.RelayRequest,
        requester: str,
        now: float,
        *,
        acknowledged: int,
    ) -> None:
        self.acknowledged = acknowledged
        self.requester = requester
        self.raw = request.raw
        self.hosts = request.hosts
        self.began = now
        self.denied: set[str] = set()
        self.reported: set[str] = set()
        self.others: set[str] = set()
        self.layout_revision = 0
        self.asked_at = now
        self.attempts = 1

    @property
    def pending_hosts(self) -> list[str]:
        """Return the hosts that have not denied holding the flow."""
        return [host for host in self.hosts if host not in self.denied]


class Relay:
    """The relayed searches of one agent."""

    def __init__(
        self,
        send: typing.Callable[[str, bytes], None],
        meters: reporting.Meters,
    ) -> None:
        """Create a relay without searches.

        :param send: sends a datagram of a search to a host.
        """
        self._send = send
        self._meters = meters
        self._searches: collections.OrderedDict[bytes, _RelayedSearch] = (
            collections.OrderedDict()
        )

    def begin(
        self,
        request: control.RelayRequest,
        flow: bytes,
        requester: str,
        now: float,
        *,
        acknowledged: int,
    ) -> None:
        """Query the hosts of a search; the result goes to the requester.

        :param acknowledged: number that the caller's packets acknowledge.
        """
        self._meters.counters['errands'] += 1
        self._searches[flow] = _RelayedSearch(
            request, requester, now, acknowledged=acknowledged
        )
        self._searches.move_to_end(flow)
        if len(self._searches) > MAX_SEARCHES:
            self._searches.popitem(last=False)
        for host in request.hosts:
            self._query(host, control.pack_locate(flow, acknowledged))

    def _query(self, host: str, datagram: bytes) -> None:
        self._meters.counters['asked'] += 1
        self._send(host, datagram)

    def on_located(self, answer: control.Envelope, host: str) -> None:
        """Handle another agent's answer."""
        located = control.read_located(answer.body)
        flow = located.flow
        search = self._searches.get(flow)
        if search is None:
            return
        if located.acknowledged not in (None, search.acknowledged):
            return
        search.layout_revision = max(
            search.layout_revision, located.layout_revision
        )
        self._report_others(search, located)
        if answer.detail == searching.LocateResult.UNSURE:
            self._query(
                host, control.pack(control.KIND_PROBE, 0, 0, search.raw)
            )
            return
        if answer.detail == searching.LocateResult.HELD:
            del self._searches[flow]
            self._report(
                search,
                flow,
                searching.LocateResult.HELD,
                [host],
                tag=answer.tag,
            )
            return
        search.denied.add(host)
        if not search.pending_hosts:
            del self._searches[flow]
            self._report_denials(search, flow)
        elif search.reported:
            self._report_denials(search, flow)

    def _report_others(
        self, search: _RelayedSearch, located: control.Located
    ) -> None:
        """Tell the requester of hosts to ask that it may not know."""
        others = [
            host for host in located.other_hosts if host not in search.others
        ]
        if not others:
            return
        search.others.update(others)
        self._report(
            search,
            located.flow,
            searching.LocateResult.UNSURE,
            others,
            tag=search.acknowledged,
        )

    def _report_denials(self, search: _RelayedSearch, flow: bytes) -> None:
        new_denials = [
            host
            for host in search.hosts
            if host in search.denied and host not in search.reported
        ]
        search.reported.update(new_denials)
        if new_denials:
            self._report(
                search,
                flow,
                searching.LocateResult.NOT_HELD,
                new_denials,
                tag=search.acknowledged,
            )

    def _report(
        self,
        search: _RelayedSearch,
        flow: bytes,
        result: searching.LocateResult,
        hosts: list[str],
        *,
        tag: int,
    ) -> None:
        relay_result = control.RelayResult(flow, search.layout_revision, hosts)
        self._send(
            search.requester,
            control.pack_relay_result(result, tag, relay_result),
        )

    def tick(self, now: float) -> None:
        """Retry hosts without an answer, and drop expired searches."""
        for flow, search in list(self._searches.items()):
            if now - search.began > SEARCH_TTL_S:
                del self._searches[flow]
                continue
            if now - search.began > PARTIAL_REPORT_S and not search.reported:
                self._report_denials(search, flow)
            wait_s = RETRY_INTERVAL_S * 2 ** (search.attempts - 1)
            if now - search.asked_at < wait_s:
                continue
            search.asked_at = now
            search.attempts += 1
            for host in search.pending_hosts:
                self._query(
                    host, control.pack_locate(flow, search.acknowledged)
                )
