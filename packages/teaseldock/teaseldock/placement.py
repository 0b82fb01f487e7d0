"""Choose targets for new flows and requests by reported load."""

from __future__ import annotations

import bisect
import math
import random
import typing

from teaseldock import load as loads

#: Peers compared for one choice; bounds the cost in large services.
CANDIDATES = 8
#: Load reports piggybacked on one message.
REPORTS_PER_MESSAGE = 8
#: Seconds after which a report is stale. Reports arrive at least twice in this
#: time. A peer that misses them may be dead, and a guarded request that is
#: forwarded to it would end as "outcome unknown".
REPORT_LIFETIME_S = 1.2
#: Seconds of silence after which a peer gets no guarded request that could run
#: here at once. Peers of a busy service exchange many messages in this time.
GUARDED_SILENCE_S = 0.3
#: Share of the local work below which a peer's work must be to get a guarded
#: request that could run here at once.
GUARDED_WORK_RATIO = 0.9
#: Queued requests per slot up to which a guarded request waits here: a slot
#: becomes free about as soon as a peer would get consent.
GUARDED_QUEUE_PER_SLOT = 0.5
#: Seconds added to a report's age for each relay, more than any network delay:
#: a report that seemed younger with each relay would circulate for ever, and a
#: dead peer would still look idle.
RELAY_DELAY_S = 0.005
#: Flows by which a peer must be less loaded than a bucket's owner to get a new
#: flow.
FLOW_MARGIN = 2


class PeerLoad:
    """Last reported load of one peer's target.

    :ivar last_seen_at: time of the last message from the peer itself.
    :ivar measured_at: time of the load's measurement, by the report's age.
    :ivar report_sent_at: time of the last report sent to the peer.
    :ivar sent: times and weights of requests sent to the peer that the load
        does not include yet.
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
        """Create an entry without a report.

        :param number: number of the instance.
        """
        self.number = number
        self.load = loads.Load(0, 0, 1, 0, 0.0, False)
        self.last_seen_at = float('-inf')
        self.measured_at = float('-inf')
        self.sent: list[tuple[float, float]] = []
        self.report_sent_at = float('-inf')

    def update(self, load: loads.Load, measured_at: float) -> None:
        """Store a newer load and drop the sent requests that it includes."""
        self.load = load
        self.measured_at = measured_at
        included = bisect.bisect_right(self.sent, (measured_at, math.inf))
        del self.sent[:included]


class LoadView:
    """Newest load report of each peer of one service.

    Reports of several peers are piggybacked on each forwarded request and its
    answer, so that a busier service has fresher reports. Requests that this
    agent has sent to a peer since its report was measured are added to it.
    """

    def __init__(
        self,
        *,
        own: str,
        weights: dict[str, float],
        randomness: random.Random,
    ) -> None:
        """Create a view without reports.

        :param own: name of this agent's instance.
        :param weights: weight of each instance of the service.
        """
        self._own = own
        self._own_number = loads.instance_number(own)
        self._random = randomness
        self._weights: dict[str, float] = {}
        self._peers: dict[str, PeerLoad] = {}
        self._by_number: dict[int, PeerLoad] = {}
        self.set_weights(weights)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Apply changed weights and drop instances that left."""
        self._weights = weights
        self._peers = {
            name: self._peers.get(name)
            or PeerLoad(loads.instance_number(name))
            for name in weights
            if name != self._own
        }
        self._by_number = {peer.number: peer for peer in self._peers.values()}

    def on_reports(self, sender: str, packed: bytes, now: float) -> None:
        """Store the load reports of a message.

        :param sender: name of the peer that sent the message.
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
        """Return the local and the newest other reports for a message.

        :param to: name of the peer that receives the message.
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
        """Record that a peer was sent this agent's load."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.report_sent_at = now

    def peers_to_report(self, now: float, since_s: float) -> list[str]:
        """Return the peers that were sent no report for some seconds."""
        return [
            name
            for name, peer in self._peers.items()
            if now - peer.report_sent_at >= since_s
        ]

    def is_active(self, now: float) -> bool:
        """Return whether a peer with a fresh report has work."""
        return any(
            (peer.load.running or peer.load.work)
            and now - peer.measured_at < REPORT_LIFETIME_S
            for peer in self._peers.values()
        )

    def record_sent(self, name: str, now: float, *, weight: float) -> None:
        """Add a request or flow that was sent to a peer to its load."""
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
        """Return the instance that should run a request.

        The target with the shortest queue per slot wins. Ties go to the one
        with the least work in the last second relative to its weight, which
        corrects random imbalance.

        :param own: load of this agent's target, None if it accepts no work.
        :param usable: returns whether an instance may get new work.
        :param guarded: whether the request must not run twice.
        :returns: an instance name, or None if no instance is usable.
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
                # The peer is full, too: one of its slots would stay idle
                # while it waits for consent. At twice the capacity that
                # lowered goodput from 0.997 to 0.897 of the capacity.
                continue
            if best_score is None or score < best_score:
                best = name
                best_score = score
        return best or self._choose_unreported(usable, now)

    def _choose_unreported(
        self, usable: typing.Callable[[str], bool], now: float
    ) -> str | None:
        """Return a random usable peer without a fresh report, or None.

        A target that leaves after an idle time accepts no requests and has no
        reports. Refusing its requests would make a planned change visible to
        callers.
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
        # A target with free slots has no queue: a further request there waits
        # for nothing, and only the work relative to the weight counts.
        waiting = max(0, busy + 1 - load.slots) / load.slots
        work = load.work + sum(weight for _, weight in sent)
        return (waiting, work / self._weights[name])

    def choose_for_flow(
        self,
        own: loads.Load,
        usable: typing.Callable[[str], bool],
        now: float,
    ) -> str:
        """Return the instance that should hold a new flow.

        :param own: load of this agent's target.
        :param usable: returns whether an instance may get new work.
        """
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
