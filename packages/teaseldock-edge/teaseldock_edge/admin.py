"""Serve metrics, status and the audit trail to operators."""

from __future__ import annotations

import json
import typing

import prometheus_client
from prometheus_client import core
from tornado import httpserver
from tornado import web

from teaseldock import exceptions
from teaseldock import flow

Status = typing.Callable[[], dict[str, typing.Any]]


#: Numeric fields of one target in the status; each is a gauge.
TARGET_FIELDS = (
    'leaving',
    'flows',
    'feeds',
    'running',
    'queued',
    'slots',
    'server_up',
    'directory_entries',
    'searching',
    'announcements_waiting',
)
#: Single numbers of the status that are counters; all others are gauges.
RISING = frozenset(
    {
        'documents_refused',
        'packets_passed',
        'pauses',
        'platform_failures',
        'platform_reads',
        'revision_alarms',
        'tick_faults',
    }
)


class StatusCollector:
    """Export the numbers of the status page as metrics at each scrape."""

    def __init__(self, status: Status, *, program: str) -> None:
        """Create a collector.

        :param status: returns the current status; called at each scrape.
        :param program: ``balancer`` or ``agent``; part of the metric names.
        """
        self._status = status
        self._prefix = f'teaseldock_{program}'

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yield the metrics of the process and of its targets."""
        for key, value in self._status().items():
            name = f'{self._prefix}_{key}'
            if isinstance(value, (int, float)):
                yield _number_metric(name, key, value)
            elif key == 'targets':
                yield from self._target_metrics(value)
            elif isinstance(value, dict) and key != 'members':
                yield _counter_by_kind(name, key, value)

    def _target_metrics(
        self, targets: list[dict[str, typing.Any]]
    ) -> typing.Iterator[core.Metric]:
        for field in TARGET_FIELDS:
            metric = core.GaugeMetricFamily(
                f'{self._prefix}_target_{field}',
                field.replace('_', ' '),
                labels=['service'],
            )
            for target in targets:
                metric.add_metric([target['service']], target[field])
            yield metric


def _number_metric(name: str, key: str, value: float) -> core.Metric:
    text = key.replace('_', ' ')
    if key in RISING:
        return core.CounterMetricFamily(name, text, value=value)
    return core.GaugeMetricFamily(name, text, value=value)


def _counter_by_kind(
    name: str, key: str, values: dict[str, float]
) -> core.Metric:
    metric = core.CounterMetricFamily(
        name, key.replace('_', ' '), labels=['kind']
    )
    for kind, value in values.items():
        metric.add_metric([kind], value)
    return metric


class _PageHandler(web.RequestHandler):
    def initialize(self, page: typing.Callable[..., typing.Any]) -> None:
        self._page = page

    def get(self) -> None:
        arguments = {
            name: self.get_argument(name) for name in self.request.arguments
        }
        try:
            content = self._page(**arguments)
        except (TypeError, ValueError) as error:
            self.set_status(400)
            self.write(f'{error}\n')
            return
        if isinstance(content, bytes):
            self.set_header('Content-Type', 'text/plain; version=0.0.4')
            self.write(content)
            return
        self.set_header('Content-Type', 'application/json')
        self.write(json.dumps(content, indent=1) + '\n')


class _ReadyHandler(web.RequestHandler):
    def initialize(self, ready: typing.Callable[[], bool]) -> None:
        self._ready = ready

    def get(self) -> None:
        if not self._ready():
            self.set_status(503)
        self.write('ready\n' if self._ready() else 'not ready\n')


class AdminServer:
    """HTTP server on the admin address of one process."""

    def __init__(
        self,
        *,
        program: str,
        status: Status,
        audit: typing.Callable[[], list[typing.Any]],
        explain: typing.Callable[..., typing.Any],
        ready: typing.Callable[[], bool],
    ) -> None:
        """Create the pages; :meth:`start` opens the address.

        :param program: ``balancer`` or ``agent``.
        :param status: returns the status of the process.
        :param audit: returns the audit trail.
        :param explain: returns the placement of a flow; takes the arguments
            of the query by name.
        :param ready: returns whether the process is ready.
        """
        registry = prometheus_client.CollectorRegistry()
        registry.register(StatusCollector(status, program=program))

        def metrics() -> bytes:
            return prometheus_client.generate_latest(registry)

        application = web.Application(
            [
                ('/metrics', _PageHandler, {'page': metrics}),
                ('/status', _PageHandler, {'page': status}),
                ('/audit', _PageHandler, {'page': audit}),
                ('/explain', _PageHandler, {'page': explain}),
                ('/ready', _ReadyHandler, {'ready': ready}),
            ],
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(application)

    def start(self, endpoint: flow.Endpoint) -> None:
        """Listen on the admin address.

        :raises StartError: if the address can't be bound.
        """
        try:
            self._server.listen(endpoint.port, endpoint.host)
        except OSError as error:
            raise exceptions.StartError(
                '--admin',
                f'{endpoint}: {error.strerror}',
                remedy='free the address or choose another one',
            ) from error

    def close(self) -> None:
        """Close the listening socket."""
        self._server.stop()
