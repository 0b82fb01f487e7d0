"""Detect the failure of a backend server."""

from __future__ import annotations

import enum

#: Seconds between probes of a silent server: while it has requests or feeds,
#: and while it has none.
BUSY_INTERVAL_S = 0.5
IDLE_INTERVAL_S = 2.0
#: Unanswered probes after which the server counts as down.
PROBES_UNANSWERED = 3


class Step(enum.Enum):
    """Action due at the edge."""

    NOTHING = 'nothing'
    PROBE = 'probe'
    LOST = 'lost'


class ServerProbe:
    """Count unanswered probes.

    The server's own health endpoint is not used: it may report success while
    requests fail. Any datagram from the protocol's port shows that the server
    is alive.
    """

    def __init__(self, now: float) -> None:
        """Create a probe for a server that is assumed to be up."""
        self._last_at = now
        self._unanswered = 0

    def mark_alive(self, now: float) -> None:
        """Record a datagram from the server."""
        self._unanswered = 0
        self._last_at = now

    def step(self, now: float, *, busy: bool) -> Step:
        """Return the action that is due.

        :param busy: whether requests or feeds depend on the server.
        """
        interval = BUSY_INTERVAL_S if busy else IDLE_INTERVAL_S
        if now - self._last_at < interval:
            return Step.NOTHING
        self._last_at = now
        self._unanswered += 1
        if self._unanswered == PROBES_UNANSWERED + 1:
            return Step.LOST
        return Step.PROBE
