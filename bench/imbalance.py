"""Measure how evenly load is spread over the eligible targets."""

from __future__ import annotations

import collections
import math
import typing

if typing.TYPE_CHECKING:
    from bench import fakes


class DisabledIntervals:
    """Intervals in which targets of the first service get no new work."""

    def __init__(self) -> None:
        """Create an empty set of intervals."""
        self._since: dict[str, float] = {}
        self._spans: list[tuple[str, float, float]] = []

    def begin(self, name: str, at: float) -> None:
        """Record that a target stops accepting requests."""
        self._since.setdefault(name, at)

    def end(self, name: str, at: float) -> None:
        """Record that a target accepts requests again.

        The interval ends 3 s later, as it may take that long until the
        target is used.
        """
        since = self._since.pop(name, None)
        if since is not None:
            self._spans.append((name, since, at + 3.0))

    def eligible(
        self, names: list[str], start: float, end: float
    ) -> list[str]:
        """Return the targets that were eligible throughout a window."""
        excluded = {name for name, since in self._since.items() if since < end}
        for name, since, until in self._spans:
            if since < end and until > start:
                excluded.add(name)
        return [name for name in names if name not in excluded]


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that a share of all values doesn't exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def window_ratios(
    ran: list[fakes.RequestRun],
    names: list[str],
    disabled: DisabledIntervals,
    *,
    seconds: range,
) -> list[float]:
    """Return the ratio of the largest to the mean load for each second.

    This ratio is the only definition of imbalance: the load of each target
    over its paid share, which is the same for all targets here. The load of a
    target is the sum of the weights of the requests that started in a window
    of one second. Targets that may not accept new requests are left out of
    the window. Seconds without load give no ratio.

    :param seconds: the windows that are measured.
    """
    windows: dict[int, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    wanted = set(names)
    for item in ran:
        if item.instance in wanted:
            windows[int(item.at)][item.instance] += item.weight
    ratios = []
    for second in seconds:
        eligible = disabled.eligible(names, second, second + 1)
        loads = [windows[second][name] for name in eligible]
        if loads and sum(loads):
            ratios.append(max(loads) * len(loads) / sum(loads))
    return ratios
