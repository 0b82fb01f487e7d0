"""Choose the target for a new flow or a request from what is known of load."""

from __future__ import annotations

import random
import typing

from teaseldock import messages

#: Peers compared for one choice; bounds the work in large services.
CANDIDATES = 8
#: Seconds after which a report says nothing any more. Reports come at least
#: twice in this time; a peer that misses them may be dead, and a request that
#: must not run twice would end there as "outcome unknown".
REPORT_LIFETIME_S = 0.8
#: A flow leaves its bucket's owner only for one this much less loaded.
FLOW_MARGIN = 2


class Peer(typing.NamedTuple):
    """What is known of one peer's target.

    :ivar sent: requests handed to it since the report.
    """

    load: messages.Load
    heard_at: float
    sent: int


class LoadView:
    """Remember the last report of each peer in one service.

    Reports travel with every message between agents, so the busier two of
    them are with each other, the fresher they are. What this agent itself
    has sent since the report is added on top.
    """

    def __init__(
        self, *, weights: dict[str, float], randomness: random.Random
    ) -> None:
        """Start knowing nobody.

        :param weights: paid share of each instance.
        """
        self._weights = weights
        self._random = randomness
        self._peers: dict[str, Peer] = {}

    def set_weights(self, weights: dict[str, float]) -> None:
        """Take over changed shares and forget instances that left."""
        self._weights = weights
        self._peers = {
            name: peer for name, peer in self._peers.items() if name in weights
        }

    def heard(self, name: str, load: messages.Load, now: float) -> None:
        """Take a report."""
        if name in self._weights:
            self._peers[name] = Peer(load, now, 0)

    def sent(self, name: str) -> None:
        """Count a request that was handed to a peer."""
        peer = self._peers.get(name)
        if peer is not None:
            self._peers[name] = peer._replace(sent=peer.sent + 1)

    def get(self, name: str) -> Peer | None:
        """Return what is known of a peer."""
        return self._peers.get(name)

    def _able(
        self, usable: typing.Callable[[str], bool], now: float
    ) -> list[tuple[str, Peer]]:
        found = [
            (name, peer)
            for name, peer in self._peers.items()
            if peer.load.accepting
            and now - peer.heard_at < REPORT_LIFETIME_S
            and usable(name)
        ]
        if len(found) > CANDIDATES:
            return self._random.sample(found, CANDIDATES)
        return found

    def for_request(
        self,
        own: messages.Load | None,
        own_name: str,
        usable: typing.Callable[[str], bool],
        now: float,
    ) -> str | None:
        """Return where a request should run.

        The least number of requests for each slot wins; among equals, the one
        that did the least of its paid share in the last second, which
        evens out what chance has made uneven.

        :param own: load of this agent's target, None if it can't take any.
        :param usable: tells whether an instance may get new work.
        :returns: an instance name, or None if nobody is known to take it.
        """
        best = None
        best_score = None
        if own is not None:
            best = own_name
            best_score = self._score(own_name, own, 0)
        for name, peer in self._able(usable, now):
            score = self._score(name, peer.load, peer.sent)
            if best_score is None or score < best_score:
                best = name
                best_score = score
        return best

    def _score(
        self, name: str, load: messages.Load, sent: int
    ) -> tuple[float, float]:
        busy = load.running + load.queued + sent
        # Below its slots a target has no queue: more requests running there
        # cost a caller nothing, and the paid share decides alone.
        waiting = max(0, busy + 1 - load.slots) / load.slots
        share = (load.work / 1000 + sent) / self._weights[name]
        return (waiting, share)

    def for_flow(
        self,
        own: messages.Load,
        own_name: str,
        usable: typing.Callable[[str], bool],
        now: float,
    ) -> str:
        """Return which target should hold a new flow."""
        best = own_name
        best_flows = (own.flows - FLOW_MARGIN) / self._weights[own_name]
        if not own.accepting:
            best_flows = float('inf')
        for name, peer in self._able(usable, now):
            flows = (peer.load.flows + peer.sent) / self._weights[name]
            if flows < best_flows:
                best = name
                best_flows = flows
        return best
