"""Estimate when a backend server would start and finish a new request."""

from __future__ import annotations

import typing


class ExpectedWait(typing.NamedTuple):
    """When a request that arrives now would start, and how long it would run.

    :ivar start_s: seconds until the server starts it.
    :ivar service_s: seconds that the server takes for it.
    """

    start_s: float
    service_s: float

    @property
    def total_s(self) -> float:
        """Return the seconds until the request is answered."""
        return self.start_s + self.service_s


def estimate(*, ahead: int, slots: int, service_s: float) -> ExpectedWait:
    """Return the expected wait of a request at one server.

    :param ahead: requests that run or start before it.
    :param slots: number of requests that the server runs at once.
    :param service_s: mean service time, seconds.
    """
    excess = max(0, ahead + 1 - slots)
    return ExpectedWait(excess * service_s / max(1, slots), service_s)
