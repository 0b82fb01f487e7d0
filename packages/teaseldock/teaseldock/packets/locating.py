"""Find flows that another balancer has placed, by asking agents."""

from __future__ import annotations

import typing

from teaseldock import budget
from teaseldock.packets import control
from teaseldock.packets import hints
from teaseldock.packets import reporting
from teaseldock.packets import searching

if typing.TYPE_CHECKING:
    from teaseldock.packets import candidates
    from teaseldock.packets import node
    from teaseldock.packets import packet
    from teaseldock.packets import records

Forward = typing.Callable[['packet.Packet', hints.Hint], None]
Inputs = typing.Callable[[], dict[str, typing.Any]]


class Locator:
    """The searches of one balancer."""

    def __init__(
        self,
        targets: candidates.Candidates,
        *,
        forward: Forward,
        inputs: Inputs,
        outlet: node.Outlet,
        reporter: reporting.Reporter,
        meters: reporting.Meters,
    ) -> None:
        """Start without a search.

        :param forward: sends a packet where its hint says.
        :param inputs: returns the versions that decide, for log lines.
        """
        self._targets = targets
        self._forward = forward
        self._inputs = inputs
        self._outlet = outlet
        self._reporter = reporter
        self._meters = meters
        self._searched: dict[bytes, hints.Hint] = {}
        self._budget = budget.Budget(
            bytes_per_s=searching.BYTES_PER_S,
            burst_bytes=searching.BYTES_AT_ONCE,
        )

    def search(
        self, item: packet.Packet, hint: hints.Hint, now: float
    ) -> None:
        """Keep a packet, and ask who holds its flow."""
        hint.place = hints.Place.SEARCHED
        hint.target = None
        holders = self._targets.holders(item.flow, hint, now)
        hosts = list(dict.fromkeys(target.host for target in holders))
        if hint.search is None or hint.search.stale(now):
            self._meters.counters['searches'] += 1
            hint.search = searching.Search(hosts, now)
            self._searched[item.flow] = hint
        hint.search.restrict(hosts)
        hint.search.keep(item)
        self._ask(item.flow, hint, now)

    def tick(self, now: float) -> None:
        """Ask those again that have not answered, and end old searches."""
        for flow, hint in list(self._searched.items()):
            if hint.search is None or hint.search.stale(now):
                del self._searched[flow]
                continue
            self._ask(flow, hint, now)

    def _ask(self, flow: bytes, hint: hints.Hint, now: float) -> None:
        search = hint.search
        if search is None or search.probe is None:
            return
        if search.over:
            self._give_up(flow, hint, search, now)
            return
        for host in search.due(now):
            if not self._budget.has_room(now):
                self._meters.counters['questions_delayed'] += 1
                return
            search.asked(host, now)
            self._ask_host(host, control.KIND_LOCATE, hint, flow)

    def _ask_host(
        self, host: str, kind: int, hint: hints.Hint, body: bytes
    ) -> None:
        self._meters.counters['asked'] += 1
        tag = control.service_tag(hint.service)
        datagram = control.pack(kind, 0, tag, body)
        self._budget.spend(len(datagram) + searching.HEADER_BYTES)
        self._outlet.to_process(host, datagram)

    def on_located(
        self, answer: control.Envelope, hint: hints.Hint, host: str, now: float
    ) -> None:
        """Take an agent's answer."""
        flow, search = answer.body, hint.search
        if search is None:
            return
        if answer.detail == searching.Holding.NOT_HELD:
            search.deny(host)
            self._ask(flow, hint, now)
            return
        if answer.detail == searching.Holding.UNSURE:
            if search.probe is not None:
                self._ask_host(
                    host, control.KIND_PROBE, hint, search.probe.raw
                )
            return
        for target in self._targets.holders(flow, hint, now):
            if target.host == host:
                self._found(flow, hint, search, target, now)
                return

    def _found(
        self,
        flow: bytes,
        hint: hints.Hint,
        search: searching.Search,
        target: records.Target,
        now: float,
    ) -> None:
        hint.target = target
        self._end(flow, hint, hints.Place.HINTED)
        took_ms = (now - search.began) * 1000
        self._meters.time('search_found', took_ms)
        self._reporter.note(
            'flow found',
            flow=reporting.flow_text(flow),
            took_ms=round(took_ms),
            host=target.host,
            target=target.identifier,
            **self._inputs(),
        )
        for item in search.take_packets():
            self._forward(item, hint)

    def _give_up(
        self,
        flow: bytes,
        hint: hints.Hint,
        search: searching.Search,
        now: float,
    ) -> None:
        """Reset a flow that nobody holds, so that its caller comes again."""
        self._end(flow, hint, hints.Place.LOST)
        self._meters.counters['flows_lost'] += 1
        took_ms = (now - search.began) * 1000
        self._meters.time('search_lost', took_ms)
        self._reporter.note(
            'flow lost',
            flow=reporting.flow_text(flow),
            took_ms=round(took_ms),
            asked=len(search.denied),
            denied_before=len(hint.denied),
            **self._inputs(),
        )
        for item in search.take_packets()[-1:]:
            self.reset(item)

    def _end(self, flow: bytes, hint: hints.Hint, place: hints.Place) -> None:
        hint.place = place
        hint.search = None
        self._searched.pop(flow, None)

    def reset(self, item: packet.Packet) -> None:
        """Reset a flow that is lost; a reset needs no answer."""
        if not item.resetting:
            self._outlet.reset_caller(item)
