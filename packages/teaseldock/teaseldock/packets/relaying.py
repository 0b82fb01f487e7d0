"""Ask other agents on behalf of a balancer who holds a flow.

A balancer with a slim link sends one datagram for each flow; the many
questions and answers go over the agents' links (see
:mod:`teaseldock.packets.searching`). An agent that is younger than its server
can't tell by itself; it is given the packet, and lets its server show.
"""

from __future__ import annotations

import collections
import typing

from teaseldock.packets import control
from teaseldock.packets import searching

if typing.TYPE_CHECKING:
    from teaseldock.packets import reporting

#: Seconds until a host that has not answered is asked again, doubled each
#: time: more than the time that a busy agent takes for a batch of datagrams.
ASK_AGAIN_S = 0.1
#: Seconds after which the denials so far are told to the balancer, should
#: some hosts be silent: a relay that dies must not take them along.
PARTIAL_S = 0.05
#: Seconds after which an errand is dropped; the balancer has asked another
#: relay long before.
FORGET_S = 2.0
#: Errands at a time; the oldest go first. At 200 flows a second over 40
#: agents, each has 5 a second for some 10 ms.
ERRANDS_KEPT = 500


class _RelayedSearch:
    """One flow that a balancer searches for."""

    def __init__(
        self, errand: control.RelayRequest, requester: str, now: float
    ) -> None:
        self.requester = requester
        self.raw = errand.raw
        self.hosts = errand.hosts
        self.began = now
        self.denied: set[str] = set()
        self.reported: set[str] = set()
        self.layout_revision = 0
        self.asked_at = now
        self.attempts = 1

    @property
    def pending_hosts(self) -> list[str]:
        """Return the hosts that have not said no."""
        return [host for host in self.hosts if host not in self.denied]


class Relay:
    """The errands of one agent."""

    def __init__(
        self,
        send: typing.Callable[[str, bytes], None],
        meters: reporting.Meters,
    ) -> None:
        """Start without an errand.

        :param send: sends a datagram of a search to a process.
        """
        self._send = send
        self._meters = meters
        self._errands: collections.OrderedDict[bytes, _RelayedSearch] = (
            collections.OrderedDict()
        )

    def begin(
        self,
        errand: control.RelayRequest,
        flow: bytes,
        requester: str,
        now: float,
    ) -> None:
        """Ask the hosts of an errand; its answer goes to the asker."""
        self._meters.counters['errands'] += 1
        self._errands[flow] = _RelayedSearch(errand, requester, now)
        self._errands.move_to_end(flow)
        if len(self._errands) > ERRANDS_KEPT:
            self._errands.popitem(last=False)
        for host in errand.hosts:
            self._ask(host, control.KIND_LOCATE, flow)

    def _ask(self, host: str, kind: int, body: bytes) -> None:
        self._meters.counters['asked'] += 1
        self._send(host, control.pack(kind, 0, 0, body))

    def on_located(self, answer: control.Envelope, host: str) -> None:
        """Take another agent's answer."""
        flow, layout_revision = control.read_located(answer.body)
        errand = self._errands.get(flow)
        if errand is None:
            return
        errand.layout_revision = max(errand.layout_revision, layout_revision)
        if answer.detail == searching.LocateResult.UNSURE:
            self._ask(host, control.KIND_PROBE, errand.raw)
            return
        if answer.detail == searching.LocateResult.HELD:
            del self._errands[flow]
            self._report(
                errand,
                flow,
                searching.LocateResult.HELD,
                [host],
                tag=answer.tag,
            )
            return
        errand.denied.add(host)
        if not errand.pending_hosts:
            del self._errands[flow]
            self._report_denials(errand, flow)
        elif errand.reported:
            self._report_denials(errand, flow)

    def _report_denials(self, errand: _RelayedSearch, flow: bytes) -> None:
        news = [
            host
            for host in errand.hosts
            if host in errand.denied and host not in errand.reported
        ]
        errand.reported.update(news)
        if news:
            self._report(errand, flow, searching.LocateResult.NOT_HELD, news)

    def _report(
        self,
        errand: _RelayedSearch,
        flow: bytes,
        result: searching.LocateResult,
        hosts: list[str],
        *,
        tag: int = 0,
    ) -> None:
        outcome = control.RelayResult(flow, errand.layout_revision, hosts)
        self._send(
            errand.requester, control.pack_relay_result(result, tag, outcome)
        )

    def tick(self, now: float) -> None:
        """Ask those again that are silent, and drop old errands."""
        for flow, errand in list(self._errands.items()):
            if now - errand.began > FORGET_S:
                del self._errands[flow]
                continue
            if now - errand.began > PARTIAL_S and not errand.reported:
                self._report_denials(errand, flow)
            wait_s = ASK_AGAIN_S * 2 ** (errand.attempts - 1)
            if now - errand.asked_at < wait_s:
                continue
            errand.asked_at = now
            errand.attempts += 1
            for host in errand.pending_hosts:
                self._ask(host, control.KIND_LOCATE, flow)
