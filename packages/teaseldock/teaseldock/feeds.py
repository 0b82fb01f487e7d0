"""Keep the feeds of the flows that this agent holds."""

from __future__ import annotations

import typing

from teaseldock import messages

#: Seconds until a feed that the server didn't take up is tried again.
RESUME_REPEAT_S = 1.0
#: Observe numbers are 24 bits (RFC 7641 section 3.4).
_SEQUENCE_MODULUS = 1 << 24

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base


class FeedState:
    """A feed and the server call that serves it.

    :ivar confirmed: whether the server has answered under this call.
    :ivar message_id: of the last notification sent to the caller.
    """

    __slots__ = (
        'flow',
        'request',
        'sequence',
        'confirmed',
        'message_id',
        'resume_at',
    )

    def __init__(
        self, flow: bytes, request: base.Request, sequence: int
    ) -> None:
        """Begin a feed that the server has yet to confirm.

        :param sequence: last Observe number that the caller has seen.
        """
        self.flow = flow
        self.request = request
        self.sequence = sequence
        self.confirmed = False
        self.message_id = -1
        self.resume_at = 0.0

    def next_sequence(self) -> int:
        """Return the next Observe number."""
        self.sequence = (self.sequence + 1) % _SEQUENCE_MODULUS
        return self.sequence


class FeedTable:
    """Find feeds by server call and by flow."""

    def __init__(self) -> None:
        """Start with no feed."""
        self._by_call: dict[int, FeedState] = {}
        self._by_flow: dict[bytes, set[int]] = {}

    def __len__(self) -> int:
        return len(self._by_call)

    def get(self, call: int) -> FeedState | None:
        """Return the feed that a call serves, or None."""
        return self._by_call.get(call)

    def of_flow(self, flow: bytes) -> list[tuple[int, FeedState]]:
        """Return the calls and feeds of a flow."""
        return [
            (call, self._by_call[call]) for call in self._by_flow.get(flow, ())
        ]

    def has(self, flow: bytes) -> bool:
        """Tell whether a flow has any feed."""
        return flow in self._by_flow

    def flows(self) -> list[bytes]:
        """Return the flows that have feeds."""
        return list(self._by_flow)

    def add(self, call: int, feed: FeedState) -> None:
        """Add a feed under a call."""
        self._by_call[call] = feed
        self._by_flow.setdefault(feed.flow, set()).add(call)

    def remove(self, call: int) -> FeedState | None:
        """Remove the feed of a call and return it, or None."""
        feed = self._by_call.pop(call, None)
        if feed is None:
            return None
        calls = self._by_flow[feed.flow]
        calls.discard(call)
        if not calls:
            del self._by_flow[feed.flow]
        return feed

    def find(self, flow: bytes, token: bytes) -> int | None:
        """Return the call of a flow's feed with a token, or None."""
        for call, feed in self.of_flow(flow):
            if feed.request.token == token:
                return call
        return None

    def export(self, flow: bytes) -> list[messages.Feed]:
        """Return a flow's feeds as another holder needs them."""
        return [
            messages.Feed(feed.request.body, feed.sequence)
            for _, feed in self.of_flow(flow)
        ]

    def due_registrations(self, now: float) -> list[int]:
        """Return calls whose registration is due to be sent again."""
        due = []
        for call, feed in self._by_call.items():
            if not feed.confirmed and now >= feed.resume_at:
                due.append(call)
        return due

    def server_lost(self, now: float) -> None:
        """Mark every feed as unknown to the server."""
        for feed in self._by_call.values():
            feed.confirmed = False
            feed.resume_at = now
