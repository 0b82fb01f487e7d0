"""Choose the peer to request missing changes from.

Hundreds of processes need a change at one moment. When each process with the
change pushed it to all that had not acknowledged it, and repeated that until
they had, 8 KB to 195 processes over links of 2 Mbit/s took longer than the
pause before the next copy, so that the sending never ended. A process that
requests changes gets one copy, from any process that has them and has bytes
left in its budget. Each process that has received them can forward them, so
that the time grows with the logarithm of the number of processes.
"""

from __future__ import annotations

import collections
import random
import typing

from teaseldock.packets import control

if typing.TYPE_CHECKING:
    from teaseldock.packets import peer as peers
    from teaseldock.packets import records

#: Seconds until another process is asked: 8 KB take 0.03 s over 2 Mbit/s, and
#: twice that again while the link is in use.
ASK_AGAIN_S = 0.2
#: Processes whose changes are accepted: those asked last. Changes that were
#: not requested are dropped.
SENDERS_KEPT = 4
#: Processes kept that were sent changes, so that others can be referred to
#: them.
SENT_KEPT = 8


class PullState:
    """The open request for changes, and peers for referrals."""

    def __init__(self, randomness: random.Random) -> None:
        """Create a state without an open request."""
        self._random = randomness
        self._asked_at: float | None = None
        self._asked_host = ''
        self._assemblers: dict[str, control.Assembler] = {}
        self._sent: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=SENT_KEPT
        )

    def due(self, now: float) -> bool:
        """Return whether no request is waiting for its answer."""
        return self._asked_at is None or now - self._asked_at >= ASK_AGAIN_S

    def choose(self, ahead: list[peers.Peer]) -> peers.Peer | None:
        """Return the process to ask, or None.

        :param ahead: processes that have newer changes.
        """
        others = [peer for peer in ahead if peer.host != self._asked_host]
        if not others:
            others = ahead
        if not others:
            return None
        # The process with the newest changes is usually a reader of the store.
        # If all asked it, its byte budget would always be used up.
        return self._random.choice(others)

    def record_request(self, host: str, now: float) -> None:
        """Record a request that was sent to a process."""
        self._asked_host = host
        self._asked_at = now
        assembler = self._assemblers.pop(host, None) or control.Assembler()
        self._assemblers[host] = assembler
        while len(self._assemblers) > SENDERS_KEPT:
            del self._assemblers[next(iter(self._assemblers))]

    def expects(self, host: str) -> bool:
        """Return whether changes were requested from a process."""
        return host in self._assemblers

    def add(self, body: bytes, host: str) -> records.Changes | None:
        """Add a part of an answer; return the changes with the last part.

        :raises MessageError: if the parts hold no changes.
        """
        return self._assemblers[host].add(body)

    def allow_next_request(self) -> None:
        """Close the request after an answer that brought new changes."""
        self._asked_at = None

    def record_sent(self, host: str, revision: int) -> None:
        """Note that a process was sent all changes up to a revision."""
        self._sent.append((host, revision))

    def referral(self, revision: int, asker: str) -> str | None:
        """Return another process that has changes up to a revision, or None.

        With referrals, processes on slow links send one or two copies of large
        changes, and those on fast links send the rest.
        """
        others = [
            host
            for host, upto in self._sent
            if upto >= revision and host != asker
        ]
        return self._random.choice(others) if others else None
