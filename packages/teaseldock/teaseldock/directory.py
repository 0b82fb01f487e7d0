"""Record which target holds each flow of the buckets owned by this agent."""

from __future__ import annotations

import typing

from teaseldock import flow_store
from teaseldock import proxy_header

#: Maximum seconds after gaining a bucket in which unknown flows are searched
#: for, if a peer never confirms that it has announced all of its flows.
SEARCH_WINDOW_S = 10.0
#: Seconds for which a peer's confirmation of a bucket that is not yet owned
#: here is kept; its view may be ahead of this agent's.
EARLY_CONFIRMATION_S = 5.0
#: Seconds between two rounds of a search.
SEARCH_REPEAT_S = 0.15
#: Rounds after which peers without an answer count as not holding the flow.
SEARCH_ROUNDS = 4
#: Maximum number of packets of one flow queued during its search.
MAX_PACKETS_PER_SEARCH = 4
#: Maximum number of searches; packets beyond them are dropped and counted.
MAX_SEARCHES = 4096


class Search:
    """Queue the packets of a flow while its holder is searched for."""

    __slots__ = ('bucket', 'packets', 'unanswered', 'rounds', 'repeat_at')

    def __init__(
        self, bucket: int, unanswered: set[str], repeat_at: float
    ) -> None:
        """Create a search without packets.

        :param unanswered: instances that have not answered yet.
        :param repeat_at: monotonic time of the next round, in seconds.
        """
        self.bucket = bucket
        self.packets: list[proxy_header.Packet] = []
        self.unanswered = unanswered
        self.rounds = 0
        self.repeat_at = repeat_at


class SearchWindow(typing.NamedTuple):
    """Period in which a gained bucket may have unknown flows.

    :ivar until: monotonic time of its end, in seconds.
    :ivar unconfirmed: peers that may still hold unannounced flows.
    """

    until: float
    unconfirmed: set[str]


class Directory:
    """Map the flows of the buckets owned by this agent to their holders.

    Only flows that another target holds have an entry. Most flows are held
    by the owner itself and are found in its own flow store.
    """

    def __init__(self, now: float) -> None:
        """Create a directory that owns no bucket."""
        self._holders = flow_store.FlowStore(now)
        self._windows: dict[int, SearchWindow] = {}
        self._early_confirmations: dict[tuple[str, int], float] = {}
        self._owned: set[int] = set()
        self._searches: dict[bytes, Search] = {}

    def __len__(self) -> int:
        return len(self._holders)

    @property
    def searches(self) -> dict[bytes, Search]:
        """Return the running searches, by flow."""
        return self._searches

    def set_owned(
        self, buckets: set[int], peers: typing.Iterable[str], now: float
    ) -> None:
        """Replace the set of owned buckets.

        A newly owned bucket may have flows that other targets hold and that
        have no entry here. Placing such a flow again would break it, which
        shows at the caller as a feed without further notifications. Unknown
        flows of the bucket are therefore searched for until each peer has
        confirmed that it has announced all flows that it holds.

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
        """Record that a peer has announced all its flows of some buckets."""
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
        """Return the recorded holder of a flow, or None."""
        return self._holders.get(flow)

    def set_holder(self, flow: bytes, holder: str) -> None:
        """Record the holder of a flow."""
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
        """Queue a packet until the holder of its flow is found.

        :returns: the search if it is new and its peers must be asked; None
            if one is already running or there are too many.
        """
        running = self._searches.get(packet.flow)
        if running is not None:
            if len(running.packets) < MAX_PACKETS_PER_SEARCH:
                running.packets.append(packet)
            return None
        if len(self._searches) >= MAX_SEARCHES:
            return None
        started = Search(bucket, set(peers), now + SEARCH_REPEAT_S)
        started.packets.append(packet)
        self._searches[packet.flow] = started
        return started

    def due_searches(self, now: float) -> list[tuple[bytes, Search]]:
        """Return the searches whose remaining peers must be asked again."""
        due = []
        for flow, search in self._searches.items():
            if now >= search.repeat_at:
                search.repeat_at = now + SEARCH_REPEAT_S
                due.append((flow, search))
        return due

    def finish_search(self, flow: bytes) -> list[proxy_header.Packet]:
        """End a search and return its queued packets."""
        search = self._searches.pop(flow, None)
        return search.packets if search else []

    def expire(self, now: float) -> None:
        """Evict idle entries and outdated early confirmations."""
        self._holders.expire(now, lambda flow, holder: False)
        if not self._early_confirmations:
            return
        self._early_confirmations = {
            key: received_at
            for key, received_at in self._early_confirmations.items()
            if now - received_at < EARLY_CONFIRMATION_S
        }
