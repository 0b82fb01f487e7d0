"""Keep the feeds of held flows (CoAP Observe, RFC 7641)."""

from __future__ import annotations

import typing

from teaseldock import messages

#: Seconds until an unconfirmed registration of a feed is repeated.
RESUME_REPEAT_S = 1.0
#: Observe numbers are 24 bits (RFC 7641 section 3.4).
_SEQUENCE_MODULUS = 1 << 24

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base


class FeedState:
    """A feed and the state of its registration at the server.

    :ivar sequence: Observe number of the last notification.
    :ivar confirmed: whether the server has confirmed the registration.
    :ivar message_id: identifier of the last notification sent to the caller.
    :ivar resume_at: time at which an unconfirmed registration is repeated.
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
        """Create a feed without a confirmed registration.

        :param sequence: last Observe number sent to the caller.
        """
        self.flow = flow
        self.request = request
        self.sequence = sequence
        self.confirmed = False
        self.message_id = -1
        self.resume_at = 0.0

    def skip_to(self, sequence: int) -> None:
        """Raise the last Observe number, unless it is higher already.

        Callers ignore notifications that are not newer than the last one they
        got (RFC 7641 section 3.4, numbers wrap).
        """
        ahead = (sequence - self.sequence) % _SEQUENCE_MODULUS
        if ahead < _SEQUENCE_MODULUS // 2:
            self.sequence = sequence

    def next_sequence(self) -> int:
        """Return the next Observe number."""
        self.sequence = (self.sequence + 1) % _SEQUENCE_MODULUS
        return self.sequence


class FeedTable:
    """Feeds by server call and by flow."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_call: dict[int, FeedState] = {}
        self._by_flow: dict[bytes, set[int]] = {}

    def __len__(self) -> int:
        return len(self._by_call)

    def get(self, call: int) -> FeedState | None:
        """Return the feed of a call, or None."""
        return self._by_call.get(call)

    def of_flow(self, flow: bytes) -> list[tuple[int, FeedState]]:
        """Return the feeds of a flow with their calls."""
        return [
            (call, self._by_call[call]) for call in self._by_flow.get(flow, ())
        ]

    def has(self, flow: bytes) -> bool:
        """Return whether a flow has a feed."""
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
        """Return a flow's feeds for a transfer."""
        return [
            messages.Feed(feed.request.body, feed.sequence)
            for _, feed in self.of_flow(flow)
        ]

    def due_registrations(self, now: float) -> list[int]:
        """Return the calls whose registration must be repeated now."""
        due = []
        for call, feed in self._by_call.items():
            if not feed.confirmed and now >= feed.resume_at:
                due.append(call)
        return due

    def server_lost(self, now: float) -> None:
        """Mark all registrations as unconfirmed and due."""
        for feed in self._by_call.values():
            feed.confirmed = False
            feed.resume_at = now
