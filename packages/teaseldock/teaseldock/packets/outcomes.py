"""Compute the recent failure rate of a backend server's requests.

A faulty server may accept new flows at once, but reset or never answer their
requests. It looks idle to a placement by load, since failing takes no time,
and gets most of the new flows: with six such servers out of 45, 3,105 of a
day's 34,859 requests were reset within six seconds. Health checks do not
detect this, since such a server may report itself healthy.
"""

from __future__ import annotations

import math

#: Weight of a new outcome: three consecutive failures give a rate of 0.5. One
#: failure in a hundred, which is normal, never gives more than 0.25.
OUTCOME_WEIGHT = 0.2
#: Time constant in seconds of the decay of the failure rate. A server without
#: requests has no outcomes; without the decay, a recovered server would get no
#: new flows. It is tried again within about three time constants after its
#: last failure, and a single further failure excludes it again.
DECAY_S = 3.0
#: Share of failed requests above which a server counts as failing: two
#: consecutive failures.
FAILING_THRESHOLD = 0.35


class Outcomes:
    """Failure rate of recent requests, as a decaying average."""

    def __init__(self, now: float) -> None:
        """Create a record without failures."""
        self._failed_share = 0.0
        self._updated_at = now

    def note(self, now: float, *, failed: bool) -> None:
        """Record the outcome of one request."""
        share = self.failing(now)
        self._failed_share = share + OUTCOME_WEIGHT * (failed - share)
        self._updated_at = now

    def failing(self, now: float) -> float:
        """Return the failure rate, from 0 to 1."""
        return self._failed_share * math.exp(
            (self._updated_at - now) / DECAY_S
        )

    def clear(self) -> None:
        """Drop all failures, since the server has restarted."""
        self._failed_share = 0.0
