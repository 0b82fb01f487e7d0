"""Find flows that another balancer has placed, by querying agents."""

from __future__ import annotations

import typing

from teaseldock.packets import control
from teaseldock.packets import control_budget
from teaseldock.packets import hints
from teaseldock.packets import reporting
from teaseldock.packets import searching

if typing.TYPE_CHECKING:
    from teaseldock.packets import candidates
    from teaseldock.packets import io_interface
    from teaseldock.packets import packet

Forward = typing.Callable[['packet.Packet', hints.Hint], None]
LogFields = typing.Callable[[], dict[str, typing.Any]]
RequestChanges = typing.Callable[[float], None]


class Locator:
    """The active searches of one balancer."""

    def __init__(
        self,
        targets: candidates.Candidates,
        *,
        forward: Forward,
        log_fields: LogFields,
        control_bytes: control_budget.ControlBudget,
        request_changes: RequestChanges,
        io: io_interface.IOInterface,
        reporter: reporting.Reporter,
        meters: reporting.Meters,
    ) -> None:
        """Create a locator without searches.

        :param forward: sends a packet to the host of its hint.
        :param log_fields: returns the configuration version, store revision
            and era in use, for log lines.
        :param control_bytes: budget that searches are charged to.
        :param request_changes: requests changes that other processes have.
        """
        self._targets = targets
        self._forward = forward
        self._log_fields = log_fields
        self._io = io
        self._reporter = reporter
        self._meters = meters
        self._active_searches: dict[bytes, hints.Hint] = {}
        self._budget = control_bytes
        self._request_changes = request_changes

    def search(
        self, item: packet.Packet, hint: hints.Hint, now: float
    ) -> None:
        """Hold a packet, and query agents for the holder of its flow."""
        hint.state = hints.HintState.SEARCHED
        hint.host = None
        search = hint.search
        if search is not None and not search.covers(item):
            self._meters.counters['ports_reused'] += 1
            search = None
        if search is None or search.stale(now):
            self._meters.counters['searches'] += 1
            hint.search = searching.Search(self._holders(item, hint, now), now)
            self._active_searches[item.flow] = hint
        hint.search.add_packet(item)
        self._query(item.flow, hint, now)

    def _holders(
        self, item: packet.Packet, hint: hints.Hint, now: float
    ) -> list[str]:
        """Return the hosts that may hold the flow of a packet."""
        denied = hint.denials(item, now)
        return self._targets.holders(item.flow, hint, now, denied=denied)

    def drop(self, flow: bytes) -> None:
        """End the search for a flow whose port opens a new one.

        Its verdict would reset the new flow.
        """
        self._active_searches.pop(flow, None)

    def tick(self, now: float) -> None:
        """Retry queries without an answer, and drop expired searches."""
        for flow, hint in list(self._active_searches.items()):
            if hint.search is None or hint.search.stale(now):
                del self._active_searches[flow]
                continue
            self._query(flow, hint, now)

    def _query(self, flow: bytes, hint: hints.Hint, now: float) -> None:
        search = hint.search
        if search is None or search.probe is None:
            return
        if search.all_denied:
            self._conclude_not_found(flow, hint, search, now)
            return
        if not self._budget.allows(control_budget.Purpose.SEARCH, now):
            self._meters.counters['questions_delayed'] += 1
            return
        for host in search.hosts_to_query():
            search.asked(host)
            self._send(
                host, control.pack_locate(flow, search.probe.acknowledged)
            )
        if not search.hosts_for_relays(now):
            return
        if search.relay_rounds:
            # The entries of hosts without an answer may have been removed.
            search.set_hosts(self._holders(search.probe, hint, now))
        self._query_relays(flow, search, now)

    def _query_relays(
        self,
        flow: bytes,
        search: searching.Search,
        now: float,
    ) -> None:
        """Delegate the remaining hosts to agents that relay the queries.

        Each round starts with another relay, in case the last one has died.
        """
        hosts = search.hosts_for_relays(now)
        relays = self._targets.relays(flow, now) or hosts
        relay_index = search.relay_rounds
        search.relayed(now)
        raw = search.probe.raw
        for start in range(0, len(hosts), searching.HOSTS_PER_RELAY):
            chunk = hosts[start : start + searching.HOSTS_PER_RELAY]
            request = control.RelayRequest(chunk, raw)
            relay = relays[relay_index % len(relays)]
            self._send(relay, control.pack_relay_request(request))
            relay_index += 1

    def _send(self, host: str, datagram: bytes) -> None:
        self._meters.counters['asked'] += 1
        self._budget.spend(control_budget.Purpose.SEARCH, len(datagram))
        self._io.to_process(host, datagram)

    def on_located(
        self, answer: control.Envelope, hint: hints.Hint, host: str, now: float
    ) -> None:
        """Handle an agent's answer."""
        located = control.read_located(answer.body)
        flow = located.flow
        search = hint.search
        if search is None or not search.is_answered_by(located.acknowledged):
            return
        if answer.detail == searching.LocateResult.HELD:
            self._on_found(flow, hint, host, answer.tag, now)
            return
        self._add_hosts(located.other_hosts, hint, search, now)
        if answer.detail == searching.LocateResult.NOT_HELD:
            search.note_denial(host, located.layout_revision)
        else:
            search.note_unsure(host)
        self._query(flow, hint, now)

    def on_relayed(
        self,
        answer: control.Envelope,
        result: control.RelayResult,
        hint: hints.Hint,
        now: float,
    ) -> None:
        """Handle the result that a relay reports."""
        search = hint.search
        if search is None:
            return
        if answer.detail == searching.LocateResult.HELD:
            self._on_found(result.flow, hint, result.hosts[0], answer.tag, now)
            return
        if not search.is_answered_by(control.relayed_number(answer)):
            return
        if answer.detail == searching.LocateResult.UNSURE:
            self._add_hosts(result.hosts, hint, search, now)
            return
        for host in result.hosts:
            search.note_denial(host, result.layout_revision)
        self._query(result.flow, hint, now)

    @staticmethod
    def _add_hosts(
        hosts: typing.Iterable[str],
        hint: hints.Hint,
        search: searching.Search,
        now: float,
    ) -> None:
        """Ask further hosts that agents have named."""
        denied = hint.denials(search.probe, now)
        search.add_hosts([host for host in hosts if host not in denied])

    def _on_found(
        self,
        flow: bytes,
        hint: hints.Hint,
        host: str,
        tag: int,
        now: float,
    ) -> None:
        search = hint.search
        if host in hint.denials(search.probe, now):
            # The server has returned a packet of the flow since its answer.
            self._meters.counters['found_late'] += 1
            return
        hint.host = host
        hint.tag = tag
        hint.state = hints.HintState.HINTED
        self._end(flow, hint)
        took_ms = (now - search.began) * 1000
        self._meters.time('search_found', took_ms)
        self._reporter.note(
            'flow found',
            flow=reporting.flow_text(flow),
            took_ms=round(took_ms),
            host=host,
            **self._log_fields(),
        )
        for item in search.take_packets():
            self._forward(item, hint)

    def _conclude_not_found(
        self,
        flow: bytes,
        hint: hints.Hint,
        search: searching.Search,
        now: float,
    ) -> None:
        """Declare a flow lost if all hosts that may hold it have denied it.

        A target whose entry this balancer has not received may hold the flow.
        Heartbeats and the denials themselves show that changes are missing.
        If the balancer did not wait for those changes, it would reset the
        flow of a live server.
        """
        if self._targets.is_behind(search.layout_revision, now):
            self._meters.counters['verdicts_delayed'] += 1
            self._request_changes(now)
            return
        if self._targets.awaits_unnamed(now):
            self._meters.counters['verdicts_delayed'] += 1
            return
        search.set_hosts(self._holders(search.probe, hint, now))
        if search.all_denied:
            self._declare_lost(flow, hint, search, now)

    def _declare_lost(
        self,
        flow: bytes,
        hint: hints.Hint,
        search: searching.Search,
        now: float,
    ) -> None:
        """Reset a flow that no server holds, so that its caller reconnects.

        A caller that no longer repeats its data has given the flow up, and may
        have opened another one from its port, which the reset could end.
        """
        item = search.take_packets()[-1]
        denied_before = len(hint.denials(item, now))
        self._end(flow, hint)
        hint.declare_lost(item, now)
        self._meters.counters['flows_lost'] += 1
        took_ms = (now - search.began) * 1000
        self._meters.time('search_lost', took_ms)
        self._reporter.note(
            'flow lost',
            flow=reporting.flow_text(flow),
            took_ms=round(took_ms),
            asked=len(search.denied),
            denied_before=denied_before,
            **self._log_fields(),
        )
        if now - hint.seen_at <= searching.CALLER_REPEAT_S:
            self.reset(item)

    def _end(self, flow: bytes, hint: hints.Hint) -> None:
        hint.search = None
        self._active_searches.pop(flow, None)

    def reset(self, item: packet.Packet) -> None:
        """Reset a lost flow, unless the packet is itself a reset."""
        if not item.resetting:
            self._io.reset_caller(item)
