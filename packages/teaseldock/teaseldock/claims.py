"""Ask before running a request that must not run twice and was handed on.

A sender that has handed such a request on and hears nothing can't tell whether
it ran: the receiver may have been dead before it arrived, for some seconds
before anybody noticed. The caller then hears "outcome unknown" of an order
that nobody ever started. So the receiver asks when a slot of its server is
free, and starts only with the sender's consent; a sender that has not
consented gives the request to another target, or says truly that it has not
run.
"""

from __future__ import annotations

import typing

from teaseldock import messages
from teaseldock import remote

if typing.TYPE_CHECKING:
    from teaseldock import context

#: Seconds until consent is asked for again: ten round trips between data
#: centres; a lost datagram must not keep a slot idle for longer. Doubled each
#: time, since the sender may be dead.
CLAIM_REPEAT_S = 0.03
#: Seconds without an answer after which the slot is given to others: the
#: sender has died or is cut off, and its caller asks somebody else.
CLAIM_TIMEOUT_S = 0.5


class _HeldStart:
    """A request that has a slot and waits for consent."""

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
    """The requests of one service that wait for consent."""

    def __init__(self, shared: context.Context, number: int) -> None:
        """Start with none.

        :param number: of the service.
        """
        self._shared = shared
        self._number = number
        self._held: dict[remote.RemoteCall, _HeldStart] = {}

    def hold(
        self, call: remote.RemoteCall, start: messages.ToServer, now: float
    ) -> list[messages.Action]:
        """Keep a request from the server, and ask its sender."""
        self._held[call] = _HeldStart(start, now)
        return self._send_claim(call)

    def _send_claim(self, call: remote.RemoteCall) -> list[messages.Action]:
        claim = messages.Claim(
            self._shared.name, self._number, call.call, call.incarnation
        )
        return self._shared.view.to_peer(call.sender, claim)

    def pop_start(self, call: remote.RemoteCall) -> messages.ToServer | None:
        """Return the start that was held back, and hold it no longer."""
        held = self._held.pop(call, None)
        return held.start if held else None

    def due(
        self, now: float
    ) -> tuple[list[messages.Action], list[remote.RemoteCall]]:
        """Ask again; return messages, and requests whose sender is silent."""
        actions: list[messages.Action] = []
        silent = []
        for call, held in self._held.items():
            if now - held.began > CLAIM_TIMEOUT_S:
                silent.append(call)
            elif now >= held.repeat_at:
                held.back_off(now)
                actions += self._send_claim(call)
        return actions, silent
