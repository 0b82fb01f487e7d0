"""Export the counters and histograms of a node in the Prometheus format.

prometheus_client is imported at the first scrape: it takes 4 MB, and most
processes are never scraped.
"""

from __future__ import annotations

import typing

from teaseldock.packets import positions
from teaseldock.packets import reporting
from teaseldock_edge import http_exchange

if typing.TYPE_CHECKING:
    from teaseldock.packets import node

_PREFIX = 'teaseldock_'


class _Collector:
    """Read the metrics of a node at each scrape."""

    def __init__(self, packet_node: node.Node, dropped_lines: int) -> None:
        self._node = packet_node
        self._dropped_lines = dropped_lines

    def collect(self) -> typing.Iterator[typing.Any]:
        from prometheus_client import core

        meters = self._node.meters
        events = core.CounterMetricFamily(
            f'{_PREFIX}events', 'Events by kind.', labels=['kind']
        )
        for kind, count in sorted(meters.counters.items()):
            events.add_metric([kind], count)
        events.add_metric(['log_lines_dropped'], self._dropped_lines)
        yield events
        control_bytes = core.CounterMetricFamily(
            f'{_PREFIX}control_bytes',
            'Bytes sent to other processes, headers included, by purpose.',
            labels=['purpose'],
        )
        for purpose, size in sorted(self._node.budget.spent.items()):
            control_bytes.add_metric([purpose], size)
        yield control_bytes
        newest = self._node.knowledge.content_revision
        for name, value in (
            ('revision', positions.revision(newest)),
            ('era', positions.era(newest)),
            ('version', self._node.knowledge.version),
            ('targets', len(self._node.knowledge.targets)),
            ('processes', len(self._node.mesh.peers)),
            ('evacuated', len(self._node.knowledge.evacuated)),
            ('alerts_age_ms', 1000 * self._node.alerts_age_s),
            ('version_age_ms', 1000 * self._node.version_age_s),
        ):
            yield core.GaugeMetricFamily(_PREFIX + name, name, value=value)
        for name, histogram in meters.histograms.items():
            yield _histogram(core, name, histogram)


def _histogram(
    core: typing.Any, name: str, histogram: reporting.Histogram
) -> typing.Any:
    buckets = []
    total = 0
    bounds = [*map(str, reporting.BOUNDS_MS), '+Inf']
    for bound, count in zip(bounds, histogram.counts, strict=True):
        total += count
        buckets.append((bound, total))
    return core.HistogramMetricFamily(
        f'{_PREFIX}{name}_ms',
        f'Time of one {name}, milliseconds.',
        buckets=buckets,
        sum_value=histogram.sum_ms,
    )


def page(packet_node: node.Node, *, dropped_lines: int) -> http_exchange.Page:
    """Return the metrics of a process.

    :param packet_node: node of the process.
    :param dropped_lines: log lines dropped since the start.
    """
    import prometheus_client

    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(packet_node, dropped_lines))
    text = prometheus_client.generate_latest(registry).decode()
    return http_exchange.Page(200, 'text/plain; version=0.0.4', text)
