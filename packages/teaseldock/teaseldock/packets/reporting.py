"""Report decisions as events and metrics, independent of their output."""

from __future__ import annotations

import abc
import bisect
import collections
import typing

#: Upper bounds of histogram buckets, milliseconds: from one hop within a data
#: centre to the time after which a caller abandons an opening.
BOUNDS_MS = (1.0, 3.0, 10.0, 30.0, 100.0, 200.0, 300.0, 600.0, 1400.0)


class Reporter(abc.ABC):
    """Receives the events that decisions report."""

    @abc.abstractmethod
    def note(self, event: str, **fields: typing.Any) -> None:
        """Report one decision or change of state.

        :param event: name of the event, a few words.
        :param fields: the inputs of the decision, their age or version, and
            the outcome.
        """


class Histogram:
    """Durations counted by bucket."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._counts = [0] * (len(BOUNDS_MS) + 1)
        self._sum_ms = 0.0

    @property
    def counts(self) -> list[int]:
        """Return the counts by bucket; the last is for longer durations."""
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
    """The counters and histograms of one process."""

    def __init__(self) -> None:
        """Create counters at zero and no histograms."""
        self._counters: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, Histogram] = {}

    @property
    def counters(self) -> collections.Counter[str]:
        """Return event counts by name."""
        return self._counters

    @property
    def histograms(self) -> dict[str, Histogram]:
        """Return histograms by name."""
        return self._histograms

    def time(self, name: str, duration_ms: float) -> None:
        """Add a duration to the histogram of a name."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram()
        histogram.add(duration_ms)


def flow_text(flow: bytes) -> str:
    """Return a flow as ``caller:port>service:port``, as in all log lines."""
    caller = '.'.join(map(str, flow[:4]))
    service = '.'.join(map(str, flow[4:8]))
    caller_port = int.from_bytes(flow[8:10], 'big')
    service_port = int.from_bytes(flow[10:12], 'big')
    return f'{caller}:{caller_port}>{service}:{service_port}'
