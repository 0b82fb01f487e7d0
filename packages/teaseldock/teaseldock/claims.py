"""Claim forwarded guarded requests from their senders before running them.

A sender that gets no answer to a forwarded request can't determine whether it
ran: the receiver may have died before it arrived, some seconds before its
death was detected. The caller would get "outcome unknown" for a request that
never started. The receiver therefore sends a claim when a slot of its server
is free, and starts the request only with the sender's consent. A sender that
has not consented can forward the request to another target or answer "not
run".
"""

from __future__ import annotations

import typing

from teaseldock import messages
from teaseldock import remote

if typing.TYPE_CHECKING:
    from teaseldock import context

#: Seconds until a claim is first repeated: ten round trips between data
#: centres, so that a lost datagram keeps a slot idle no longer. The interval
#: doubles with each repeat, since the sender may be dead.
CLAIM_REPEAT_S = 0.03
#: Seconds after which an unanswered claim releases the slot: the sender is
#: dead or partitioned, and its caller resends the request to another target.
CLAIM_TIMEOUT_S = 0.5


class _HeldStart:
    """A request that occupies a slot and waits for consent."""

    __slots__ = ('start', 'began', 'repeat_at', 'interval_s')

    def __init__(self, start: messages.ToServer, now: float) -> None:
        self.start = start
        self.began = now
        self.interval_s = CLAIM_REPEAT_S
        self.repeat_at = now + self.interval_s

    def back_off(self, now: float) -> None:
        self.interval_s *= 2
        self.repeat_at = now + self.interval_s


class Claims:
    """Requests of one service that wait for consent."""

    def __init__(self, shared: context.Context, number: int) -> None:
        """Create an empty collection.

        :param number: number of the service.
        """
        self._shared = shared
        self._number = number
        self._held: dict[remote.RemoteCall, _HeldStart] = {}

    def hold(
        self, call: remote.RemoteCall, start: messages.ToServer, now: float
    ) -> list[messages.Action]:
        """Hold a request back and send a claim to its sender."""
        self._held[call] = _HeldStart(start, now)
        return self._send_claim(call)

    def _send_claim(self, call: remote.RemoteCall) -> list[messages.Action]:
        claim = messages.Claim(
            self._shared.name, self._number, call.call, call.incarnation
        )
        return self._shared.view.to_peer(call.sender, claim)

    def pop_start(self, call: remote.RemoteCall) -> messages.ToServer | None:
        """Remove and return a held start, or None."""
        held = self._held.pop(call, None)
        return held.start if held else None

    def due(
        self, now: float
    ) -> tuple[list[messages.Action], list[remote.RemoteCall]]:
        """Repeat due claims.

        :returns: messages to send, and requests whose claim has timed out.
        """
        actions: list[messages.Action] = []
        silent = []
        for call, held in self._held.items():
            if now - held.began > CLAIM_TIMEOUT_S:
                silent.append(call)
            elif now >= held.repeat_at:
                held.back_off(now)
                actions += self._send_claim(call)
        return actions, silent
