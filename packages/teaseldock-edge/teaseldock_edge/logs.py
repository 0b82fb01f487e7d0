"""Write structured log lines, one JSON object each."""

from __future__ import annotations

import json
import sys

import logbook


def _format(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields = {
        'time': record.time.isoformat(),
        'level': record.level_name.lower(),
        'part': record.channel,
        'event': record.message,
    }
    fields.update(record.kwargs)
    return json.dumps(fields, default=str)


def start(level: str) -> logbook.Handler:
    """Send log lines to standard error.

    :param level: lowest level that is written.
    :returns: the handler; the caller removes it with ``pop_application``.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = _format
    handler.push_application()
    return handler
