"""Decide, as the owner of buckets, which target holds a flow."""

from __future__ import annotations

import typing

from teaseldock import flow_store
from teaseldock import proxy_header

#: Longest time after gaining a bucket in which unknown flows are searched
#: for, should a peer never say that it has announced all of its flows.
SEARCH_WINDOW_S = 10.0
#: Seconds for which a peer's word about a bucket that is not yet owned here
#: is kept; its view may be ahead of this agent's.
EARLY_CONFIRMATION_S = 5.0
#: Seconds between two rounds of asking.
SEARCH_REPEAT_S = 0.15
#: Rounds of asking before the silent ones are taken as not holding.
SEARCH_ROUNDS = 4
#: Packets of one flow kept while it is searched for.
MAX_PACKETS_PER_SEARCH = 4
#: Flows searched for at once; beyond it packets are dropped and counted.
MAX_SEARCHES = 4096


class Search:
    """Hold the packets of a flow while its holder is asked for."""

    __slots__ = ('bucket', 'packets', 'unanswered', 'rounds', 'repeat_at')

    def __init__(
        self, bucket: int, unanswered: set[str], repeat_at: float
    ) -> None:
        """Begin with no packet.

        :param unanswered: instances that have yet to answer.
        """
        self.bucket = bucket
        self.packets: list[proxy_header.Packet] = []
        self.unanswered = unanswered
        self.rounds = 0
        self.repeat_at = repeat_at


class SearchWindow(typing.NamedTuple):
    """Time in which the flows of a gained bucket are not all known.

    :ivar unconfirmed: peers that may still hold unannounced flows.
    """

    until: float
    unconfirmed: set[str]


class Directory:
    """Know the holders of the flows whose buckets this agent owns.

    Only flows that another target holds have an entry: most flows are held
    by the owner itself, whose own flow store answers for them.
    """

    def __init__(self, now: float) -> None:
        """Start with all buckets unowned."""
        self._holders = flow_store.FlowStore(now)
        self._windows: dict[int, SearchWindow] = {}
        self._early_confirmations: dict[tuple[str, int], float] = {}
        self._owned: set[int] = set()
        self._searches: dict[bytes, Search] = {}

    def __len__(self) -> int:
        return len(self._holders)

    @property
    def searches(self) -> dict[bytes, Search]:
        """Return the searches under way, by flow."""
        return self._searches

    def set_owned(
        self, buckets: set[int], peers: typing.Iterable[str], now: float
    ) -> None:
        """Take over the set of owned buckets.

        A bucket that is new to this agent may have flows that others hold
        and that this agent has never heard of. Placing these anew would break
        them, which a caller would notice as a feed that goes silent; so
        unknown flows of the bucket are searched for, until each peer has said
        that it announced all that it holds.

        :param peers: living instances of the service.
        """
        for bucket in self._owned - buckets:
            self._windows.pop(bucket, None)
        for bucket in buckets - self._owned:
            unconfirmed = {
                name
                for name in peers
                if now
                - self._early_confirmations.get(
                    (name, bucket), -EARLY_CONFIRMATION_S
                )
                >= EARLY_CONFIRMATION_S
            }
            self._windows[bucket] = SearchWindow(
                now + SEARCH_WINDOW_S, unconfirmed
            )
        self._owned = buckets

    def confirm(
        self, name: str, buckets: typing.Iterable[int], now: float
    ) -> None:
        """Note that a peer has announced all it holds in some buckets."""
        for bucket in buckets:
            window = self._windows.get(bucket)
            if window is not None:
                window.unconfirmed.discard(name)
            elif bucket not in self._owned:
                self._early_confirmations[name, bucket] = now

    def peers_to_ask(
        self, bucket: int, peers: typing.Iterable[str], now: float
    ) -> set[str]:
        """Return the peers that may hold an unknown flow of a bucket.

        :param peers: living instances of the service.
        """
        if bucket not in self._owned:
            return set(peers)
        window = self._windows.get(bucket)
        if window is None:
            return set()
        unconfirmed = window.unconfirmed.intersection(peers)
        if unconfirmed and now < window.until:
            return unconfirmed
        del self._windows[bucket]
        return set()

    def holder_of(self, flow: bytes) -> str | None:
        """Return the instance that holds a flow, as far as is known."""
        return self._holders.get(flow)

    def set_holder(self, flow: bytes, holder: str) -> None:
        """Note the holder of a flow."""
        self._holders.put(flow, holder)

    def remove_holder(self, flow: bytes) -> None:
        """Remove the entry of a flow."""
        self._holders.pop(flow)

    def search(
        self,
        packet: proxy_header.Packet,
        bucket: int,
        peers: typing.Iterable[str],
        now: float,
    ) -> Search | None:
        """Keep a packet until its flow is found.

        :returns: the search if it has just begun and others must be asked.
        """
        known = self._searches.get(packet.flow)
        if known is not None:
            if len(known.packets) < MAX_PACKETS_PER_SEARCH:
                known.packets.append(packet)
            return None
        if len(self._searches) >= MAX_SEARCHES:
            return None
        begun = Search(bucket, set(peers), now + SEARCH_REPEAT_S)
        begun.packets.append(packet)
        self._searches[packet.flow] = begun
        return begun

    def due_searches(self, now: float) -> list[tuple[bytes, Search]]:
        """Return the searches whose silent peers must be asked again."""
        found = []
        for flow, search in self._searches.items():
            if now >= search.repeat_at:
                search.repeat_at = now + SEARCH_REPEAT_S
                found.append((flow, search))
        return found

    def finish_search(self, flow: bytes) -> list[proxy_header.Packet]:
        """End a search and return the packets it held back."""
        search = self._searches.pop(flow, None)
        return search.packets if search else []

    def expire(self, now: float) -> None:
        """Forget idle entries and words that came too early."""
        self._holders.expire(now, lambda flow, holder: False)
        if not self._early_confirmations:
            return
        self._early_confirmations = {
            key: heard_at
            for key, heard_at in self._early_confirmations.items()
            if now - heard_at < EARLY_CONFIRMATION_S
        }
