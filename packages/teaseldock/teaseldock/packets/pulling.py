"""Decide whom to ask for changes that this process lacks.

The load it answers: a change that hundreds of processes need at one moment.
Whoever knew it sent it to everybody who had not yet said that they had it, and
again until they had: 8 KB to 195 processes over links of 2 Mbit/s took longer
than the pause before the next copy, so that the sending never ended. A process
that asks gets one copy, from whoever has it and has bytes to spare; and each
process that has got it can give it on, so that the time grows with the
logarithm of the fleet.
"""

from __future__ import annotations

import collections
import random
import typing

from teaseldock.packets import control

if typing.TYPE_CHECKING:
    from teaseldock.packets import peer as peers
    from teaseldock.packets import records

#: Seconds until somebody else is asked: 8 KB take 0.03 s over 2 Mbit/s, and
#: twice that again while the link is in use.
ASK_AGAIN_S = 0.2
#: Processes whose changes are taken: those asked last. Changes that nobody
#: asked for are not.
SENDERS_KEPT = 4
#: Processes remembered that were sent changes, so that others can be referred
#: to them.
SENT_KEPT = 8


class PullState:
    """One question for changes at a time, and whom to refer others to."""

    def __init__(self, randomness: random.Random) -> None:
        """Start without a question."""
        self._random = randomness
        self._asked_at: float | None = None
        self._asked_host = ''
        self._assemblers: dict[str, control.Assembler] = {}
        self._sent: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=SENT_KEPT
        )

    def due(self, now: float) -> bool:
        """Tell whether no question waits for its answer."""
        return self._asked_at is None or now - self._asked_at >= ASK_AGAIN_S

    def choose(self, ahead: list[peers.Peer]) -> peers.Peer | None:
        """Return whom to ask, or None.

        :param ahead: processes that know more.
        """
        others = [peer for peer in ahead if peer.host != self._asked_host]
        if not others:
            others = ahead
        if not others:
            return None
        # The one that knows most is mostly who reads the store. Asked by all,
        # it would be out of bytes all the time.
        return self._random.choice(others)

    def record_request(self, host: str, now: float) -> None:
        """Note a question."""
        self._asked_host = host
        self._asked_at = now
        assembler = self._assemblers.pop(host, None) or control.Assembler()
        self._assemblers[host] = assembler
        while len(self._assemblers) > SENDERS_KEPT:
            del self._assemblers[next(iter(self._assemblers))]

    def expects(self, host: str) -> bool:
        """Tell whether a process was asked."""
        return host in self._assemblers

    def add(self, body: bytes, host: str) -> records.Changes | None:
        """Take a part of what a process sent; return all with the last one.

        :raises MessageError: if the parts hold no changes.
        """
        return self._assemblers[host].add(body)

    def allow_next_request(self) -> None:
        """Note an answer that taught something; the rest may be asked for."""
        self._asked_at = None

    def record_sent(self, host: str, revision: int) -> None:
        """Note that a process was sent all changes up to a revision."""
        self._sent.append((host, revision))

    def referral(self, revision: int, asker: str) -> str | None:
        """Return who else has the changes up to a revision, or None.

        So the processes on slim links send one or two copies of what is large,
        and those on wide links the rest.
        """
        others = [
            host
            for host, upto in self._sent
            if upto >= revision and host != asker
        ]
        return self._random.choice(others) if others else None
