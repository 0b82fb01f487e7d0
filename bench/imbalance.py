"""Measure how evenly targets that can take work are loaded."""

from __future__ import annotations

import collections
import math
import typing

if typing.TYPE_CHECKING:
    from bench import fakes


class DisabledIntervals:
    """When each target of the first service could not take new work."""

    def __init__(self) -> None:
        """Start with all able."""
        self._since: dict[str, float] = {}
        self._spans: list[tuple[str, float, float]] = []

    def begin(self, name: str, at: float) -> None:
        """Note that a target is out."""
        self._since.setdefault(name, at)

    def end(self, name: str, at: float) -> None:
        """Note that a target is in again; it may take 3 s until it's used."""
        since = self._since.pop(name, None)
        if since is not None:
            self._spans.append((name, since, at + 3.0))

    def eligible(
        self, names: list[str], start: float, end: float
    ) -> list[str]:
        """Return the targets that were able throughout a window."""
        excluded = {name for name, since in self._since.items() if since < end}
        for name, since, until in self._spans:
            if since < end and until > start:
                excluded.add(name)
        return [name for name in names if name not in excluded]


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of all values lies."""
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
    """Return, for each second, the most loaded target over the mean.

    Imbalance is defined here, once: load over paid share, for each target, in
    windows of one second. Load is the weight of the requests that began to
    run; a target that may take no new work is left out of its windows.

    :param seconds: those that are measured.
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
