"""Decide whether a backend server answers at all."""

from __future__ import annotations

import enum

#: Seconds between two probes of a silent server: while requests run there or
#: feeds depend on it, and otherwise.
BUSY_INTERVAL_S = 0.5
IDLE_INTERVAL_S = 2.0
#: Probes without any sign of life after which the server is lost.
PROBES_UNANSWERED = 3


class Step(enum.Enum):
    """What the edge must do now."""

    NOTHING = 'nothing'
    PROBE = 'probe'
    LOST = 'lost'


class ServerProbe:
    """Count probes that nothing answered.

    The server's own health endpoint is not asked: it may say well while
    requests fail. Any datagram of the protocol's port is a sign of life.
    """

    def __init__(self, now: float) -> None:
        """Start believing that the server is well."""
        self._last_at = now
        self._unanswered = 0

    def mark_alive(self, now: float) -> None:
        """Note a datagram of the server."""
        self._unanswered = 0
        self._last_at = now

    def step(self, now: float, *, busy: bool) -> Step:
        """Return what is due.

        :param busy: whether anybody waits for this server.
        """
        interval = BUSY_INTERVAL_S if busy else IDLE_INTERVAL_S
        if now - self._last_at < interval:
            return Step.NOTHING
        self._last_at = now
        self._unanswered += 1
        if self._unanswered == PROBES_UNANSWERED + 1:
            return Step.LOST
        return Step.PROBE
