"""Let decisions tell what they decided, without knowing where lines go."""

from __future__ import annotations

import abc
import bisect
import collections
import typing

#: Upper bounds of histogram buckets, milliseconds: from one hop within a data
#: centre to the time after which a caller gives an opening up.
BOUNDS_MS = (1.0, 3.0, 10.0, 30.0, 100.0, 200.0, 300.0, 600.0, 1400.0)


class Reporter(abc.ABC):
    """Where decisions leave their lines."""

    @abc.abstractmethod
    def note(self, event: str, **fields: typing.Any) -> None:
        """Record one decision or change of belief.

        :param event: what was decided, a few words.
        :param fields: the inputs that decided it, their age or version, and
            the outcome.
        """


class Histogram:
    """Count durations by bucket."""

    def __init__(self) -> None:
        """Start empty."""
        self._counts = [0] * (len(BOUNDS_MS) + 1)
        self._sum_ms = 0.0

    @property
    def counts(self) -> list[int]:
        """Return counts by bucket, the last for all above."""
        return self._counts

    @property
    def sum_ms(self) -> float:
        """Return the sum of all durations."""
        return self._sum_ms

    def add(self, duration_ms: float) -> None:
        """Count one duration."""
        self._counts[bisect.bisect_left(BOUNDS_MS, duration_ms)] += 1
        self._sum_ms += duration_ms


class Meters:
    """Counters and histograms of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        self._counters: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, Histogram] = {}

    @property
    def counters(self) -> collections.Counter[str]:
        """Return events by name."""
        return self._counters

    @property
    def histograms(self) -> dict[str, Histogram]:
        """Return histograms by name."""
        return self._histograms

    def time(self, name: str, duration_ms: float) -> None:
        """Count a duration in the histogram of a name."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram()
        histogram.add(duration_ms)


def flow_text(flow: bytes) -> str:
    """Return a flow as ``caller:port>service:port``, its id in all lines."""
    caller = '.'.join(map(str, flow[:4]))
    service = '.'.join(map(str, flow[4:8]))
    caller_port = int.from_bytes(flow[8:10], 'big')
    service_port = int.from_bytes(flow[10:12], 'big')
    return f'{caller}:{caller_port}>{service}:{service_port}'
