"""Limit how often callers resend a request during a network partition.

Callers can reach both sides of a partition between processes. Only the process
that challenged a request may run it. A request that arrives on the other side
can't be handed over, but its caller can resend it, and each message may arrive
on either side.
"""

from __future__ import annotations

import collections

#: Limit of resends that one process asks for per request: 998 of 1,000
#: requests reach a challenger behind one of three balancers, within 0.2 s.
MAX_RESENDS = 16
#: Limit of requests with a count, about 150 bytes each; the oldest are evicted
#: first.
MAX_REQUESTS_KEPT = 4096


class ResendLimit:
    """Number of resends asked for, by challenge."""

    def __init__(self) -> None:
        """Create a limit without counts."""
        self._counts: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def try_acquire(self, challenge: bytes) -> bool:
        """Count a resend, and return whether it is within the limit.

        :param challenge: Echo value of the request.
        """
        count = self._counts.get(challenge, 0)
        if count == MAX_RESENDS:
            return False
        self._counts[challenge] = count + 1
        if len(self._counts) > MAX_REQUESTS_KEPT:
            self._counts.popitem(last=False)
        return True
