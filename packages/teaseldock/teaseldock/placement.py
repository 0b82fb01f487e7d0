"""Choose the target for a new flow or a request from what is known of load."""

from __future__ import annotations

import bisect
import math
import random
import typing

from teaseldock import load as loads

#: Peers compared for one choice; bounds the work in large services.
CANDIDATES = 8
#: Peers whose reports travel with one message.
REPORTS_PER_MESSAGE = 8
#: Seconds after which a report says nothing any more. Reports come at least
#: twice in this time; a peer that misses them may be dead, and a request that
#: must not run twice would end there as "outcome unknown".
REPORT_LIFETIME_S = 1.2
#: Silence after which no request that must not run twice goes to a peer while
#: it could run here at once. Two peers of a busy service hear each other many
#: times in it.
GUARDED_SILENCE_S = 0.3
#: Share of this target's own work below which a peer's must be to get a
#: guarded request that could run here at once.
GUARDED_WORK_RATIO = 0.9
#: Requests for each slot that may wait here before a guarded one: a slot is
#: free again about as soon as a peer would have its consent.
GUARDED_QUEUE_PER_SLOT = 0.5
#: Seconds added to a report's age for its way. More than any way takes: a
#: report that seemed younger with each relay would go round for ever, and a
#: dead peer would go on looking idle.
RELAY_DELAY_S = 0.005
#: A flow leaves its bucket's owner only for one this much less loaded.
FLOW_MARGIN = 2


class PeerLoad:
    """What is known of one peer's target.

    :ivar last_seen_at: when the peer itself was last heard.
    :ivar measured_at: when the load was measured, by the reports' ages.
    :ivar report_sent_at: when this agent last sent it reports.
    :ivar sent: times and weights of requests handed to it since then.
    """

    __slots__ = (
        'number',
        'load',
        'last_seen_at',
        'measured_at',
        'sent',
        'report_sent_at',
    )

    def __init__(self, number: int) -> None:
        """Know nothing yet."""
        self.number = number
        self.load = loads.Load(0, 0, 1, 0, 0.0, False)
        self.last_seen_at = float('-inf')
        self.measured_at = float('-inf')
        self.sent: list[tuple[float, float]] = []
        self.report_sent_at = float('-inf')

    def update(self, load: loads.Load, measured_at: float) -> None:
        """Take a newer load, and forget requests that it includes."""
        self.load = load
        self.measured_at = measured_at
        included = bisect.bisect_right(self.sent, (measured_at, math.inf))
        del self.sent[:included]


class LoadView:
    """Remember the newest report of each peer in one service.

    Reports travel with every request handed on and every answer to one, and
    not only the sender's own: the busier a service is, the fresher are its
    targets' views of each other. What this agent itself has sent since a
    report was measured is added on top.
    """

    def __init__(
        self,
        *,
        own: str,
        weights: dict[str, float],
        randomness: random.Random,
    ) -> None:
        """Start knowing nobody.

        :param own: name of this agent's instance.
        :param weights: paid share of each instance.
        """
        self._own = own
        self._own_number = loads.instance_number(own)
        self._random = randomness
        self._weights: dict[str, float] = {}
        self._peers: dict[str, PeerLoad] = {}
        self._by_number: dict[int, PeerLoad] = {}
        self.set_weights(weights)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Take over changed shares and forget instances that left."""
        self._weights = weights
        self._peers = {
            name: self._peers.get(name)
            or PeerLoad(loads.instance_number(name))
            for name in weights
            if name != self._own
        }
        self._by_number = {peer.number: peer for peer in self._peers.values()}

    def on_reports(self, sender: str, packed: bytes, now: float) -> None:
        """Take the reports that came with a message.

        :param sender: the peer that sent them; it is alive.
        """
        peer = self._peers.get(sender)
        if peer is not None:
            peer.last_seen_at = now
        for report in loads.read_reports(packed):
            known = self._by_number.get(report.number)
            measured_at = now - report.age_s - RELAY_DELAY_S
            if known is not None and measured_at > known.measured_at:
                known.update(report.load, measured_at)

    def pack_reports(self, own: loads.Load, now: float, *, to: str) -> bytes:
        """Return own and the newest other reports, for a message.

        :param to: the peer that the message goes to.
        """
        self.mark_reported(to, now)
        parts = [loads.pack_report(self._own_number, 0.0, own)]
        fresh = [
            peer
            for peer in self._peers.values()
            if now - peer.measured_at < REPORT_LIFETIME_S
        ]
        if len(fresh) >= REPORTS_PER_MESSAGE:
            fresh.sort(key=lambda peer: -peer.measured_at)
        for peer in fresh[: REPORTS_PER_MESSAGE - 1]:
            age = max(0.0, now - peer.measured_at)
            parts.append(loads.pack_report(peer.number, age, peer.load))
        return b''.join(parts)

    def mark_reported(self, name: str, now: float) -> None:
        """Note that a peer was sent this agent's load."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.report_sent_at = now

    def peers_to_report(self, now: float, since_s: float) -> list[str]:
        """Return the peers that have had no report for some seconds."""
        return [
            name
            for name, peer in self._peers.items()
            if now - peer.report_sent_at >= since_s
        ]

    def is_active(self, now: float) -> bool:
        """Tell whether a peer that was heard lately has work."""
        return any(
            (peer.load.running or peer.load.work)
            and now - peer.measured_at < REPORT_LIFETIME_S
            for peer in self._peers.values()
        )

    def record_sent(self, name: str, now: float, *, weight: float) -> None:
        """Count a request or a flow that was handed to a peer."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.sent.append((now, weight))

    def _sample_candidates(
        self,
        usable: typing.Callable[[str], bool],
        now: float,
        silence_s: float = REPORT_LIFETIME_S,
    ) -> list[tuple[str, PeerLoad]]:
        found = [
            (name, peer)
            for name, peer in self._peers.items()
            if peer.load.accepting
            and now - peer.last_seen_at < silence_s
            and usable(name)
        ]
        if len(found) > CANDIDATES:
            return self._random.sample(found, CANDIDATES)
        return found

    def choose_for_request(
        self,
        own: loads.Load | None,
        usable: typing.Callable[[str], bool],
        now: float,
        *,
        guarded: bool,
    ) -> str | None:
        """Return where a request should run.

        The least number of requests for each slot wins; among equals, the one
        that did the least of its paid share in the last second, which
        evens out what chance has made uneven.

        :param own: load of this agent's target, None if it can't take any.
        :param usable: tells whether an instance may get new work.
        :param guarded: whether the request must not run twice.
        :returns: an instance name, or None if nobody is known to take it.
        """
        best = None
        best_score = None
        if own is not None:
            best = self._own
            best_score = self._score(self._own, own, [])
        silence_s = REPORT_LIFETIME_S
        stays = (
            best_score is not None and best_score[0] <= GUARDED_QUEUE_PER_SLOT
        )
        if guarded and stays:
            silence_s = GUARDED_SILENCE_S
            best_score = (0.0, best_score[1] * GUARDED_WORK_RATIO)
        for name, peer in self._sample_candidates(usable, now, silence_s):
            score = self._score(name, peer.load, peer.sent)
            if guarded and own is not None and score[0] > 0:
                # Full there, too: a slot would stand idle there while the
                # sender is asked for its consent. At twice the capacity that
                # took goodput from 0.997 to 0.897 of it.
                continue
            if best_score is None or score < best_score:
                best = name
                best_score = score
        return best or self._choose_unreported(usable, now)

    def _choose_unreported(
        self, usable: typing.Callable[[str], bool], now: float
    ) -> str | None:
        """Return a peer of which nothing is known, for want of a better one.

        A target that leaves just after a quiet time can't run requests itself
        and has no reports; refusing them would cost callers a planned change.
        """
        names = [
            name
            for name, peer in self._peers.items()
            if now - peer.last_seen_at >= REPORT_LIFETIME_S and usable(name)
        ]
        return self._random.choice(names) if names else None

    def _score(
        self,
        name: str,
        load: loads.Load,
        sent: list[tuple[float, float]],
    ) -> tuple[float, float]:
        busy = load.running + load.queued + len(sent)
        # Below its slots a target has no queue: more requests running there
        # cost a caller nothing, and the paid share decides alone.
        waiting = max(0, busy + 1 - load.slots) / load.slots
        work = load.work + sum(weight for _, weight in sent)
        return (waiting, work / self._weights[name])

    def choose_for_flow(
        self,
        own: loads.Load,
        usable: typing.Callable[[str], bool],
        now: float,
    ) -> str:
        """Return which target should hold a new flow."""
        best = self._own
        best_flows = (own.flows - FLOW_MARGIN) / self._weights[self._own]
        if not own.accepting:
            best_flows = float('inf')
        for name, peer in self._sample_candidates(usable, now):
            flows = (peer.load.flows + len(peer.sent)) / self._weights[name]
            if flows < best_flows:
                best = name
                best_flows = flows
        return best
