"""Simulate the configuration service and the live list.

Documents have revisions. A watch is one long poll and counts as one read.
Operators publish documents here; the system itself only reads.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
import typing

from tornado import httpserver
from tornado import web


class Platform:
    """Store documents and instances.

    :ivar mode: ``up``, ``down`` (answers 503) or ``stale`` (returns the
        documents as they were when the mode was set).
    :ivar list_lag_s: age of the live list in answers.
    :ivar reads: number of read requests.
    """

    def __init__(self) -> None:
        """Create an empty platform in mode ``up``."""
        self.revision = 0
        self.documents: dict[str, dict[str, typing.Any]] = {}
        self.instances: dict[str, dict[str, typing.Any]] = {}
        self.list_snapshots: list[
            tuple[float, list[dict[str, typing.Any]]]
        ] = []
        self.list_lag_s = 0.5
        self.mode = 'up'
        self.stale_documents: dict[str, typing.Any] = {}
        self.reads = 0
        self.changed = asyncio.Event()

    def publish(self, key: str, publisher: str, content: str) -> int:
        """Store a document under the next revision and return that."""
        self.revision += 1
        self.documents[key] = {
            'key': key,
            'revision': self.revision,
            'publisher': publisher,
            'content': content,
        }
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def answer(self, since: int) -> dict[str, typing.Any] | None:
        """Return the documents newer than a revision, or None if none is."""
        documents = self.documents
        if self.mode == 'stale':
            documents = self.stale_documents
        fresh = [
            item for item in documents.values() if item['revision'] > since
        ]
        return {'documents': fresh} if fresh else None

    def set_mode(self, mode: str) -> None:
        """Set the mode and wake all watches."""
        if mode == 'stale':
            self.stale_documents = dict(self.documents)
        self.mode = mode
        self.changed.set()
        self.changed = asyncio.Event()

    def set_instance(self, entry: dict[str, typing.Any]) -> None:
        """Add or replace an entry of the live list."""
        self.instances[entry['name']] = entry
        self._append_snapshot()

    def remove_instance(self, name: str) -> None:
        """Remove an entry of the live list."""
        self.instances.pop(name, None)
        self._append_snapshot()

    def _append_snapshot(self) -> None:
        current = [dict(item) for item in self.instances.values()]
        self.list_snapshots.append((time.monotonic(), current))
        del self.list_snapshots[:-200]

    def list_instances(self) -> list[dict[str, typing.Any]]:
        """Return the live list as it was ``list_lag_s`` ago."""
        as_of = time.monotonic() - self.list_lag_s
        visible = self.list_snapshots[0][1] if self.list_snapshots else []
        for at, entries in self.list_snapshots:
            if at <= as_of:
                visible = entries
        return visible


class _Handler(web.RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def _refuse_if_down(self) -> bool:
        if self.platform.mode != 'down':
            return False
        self.set_status(503)
        return True


class DocumentsHandler(_Handler):
    """Answer reads and watches."""

    async def get(self) -> None:
        """Return documents newer than a revision; wait up to ``wait_s``."""
        self.platform.reads += 1
        if self._refuse_if_down():
            return
        since = int(self.get_argument('since', '0'))
        until = time.monotonic() + float(self.get_argument('wait_s', '0'))
        while True:
            answer = self.platform.answer(since)
            left = until - time.monotonic()
            if answer or left <= 0 or self.platform.mode == 'down':
                break
            try:
                await asyncio.wait_for(self.platform.changed.wait(), left)
            except TimeoutError:
                pass
        if self._refuse_if_down():
            return
        self.write(answer or {'documents': []})


class PublishHandler(_Handler):
    """Store documents that operators publish."""

    def put(self, key: str) -> None:
        """Store one document."""
        publisher = self.get_argument('publisher', 'operator')
        content = self.request.body.decode()
        revision = self.platform.publish(key, publisher, content)
        self.write({'revision': revision})


class InstancesHandler(_Handler):
    """Return the live list, and apply changes of the deployment tool."""

    def get(self) -> None:
        """Return the delayed list, or its entries of one data centre.

        Tornado adds an Etag and answers 304 if the reader sends it back.
        """
        self.platform.reads += 1
        if self._refuse_if_down():
            return
        centre = self.get_argument('data_centre', '')
        entries = [
            item
            for item in self.platform.list_instances()
            if centre in ('', item['data_centre'])
        ]
        self.write({'instances': entries})

    def put(self) -> None:
        """Add or replace one entry."""
        self.platform.set_instance(json.loads(self.request.body))

    def delete(self) -> None:
        """Remove one entry."""
        self.platform.remove_instance(self.get_argument('name'))


class ControlHandler(_Handler):
    """Set faults of the platform for the demo and tests."""

    def get(self) -> None:
        """Return the number of reads."""
        self.write({'reads': self.platform.reads})

    def put(self) -> None:
        """Set the mode or the list lag."""
        settings = json.loads(self.request.body)
        if 'mode' in settings:
            self.platform.set_mode(settings['mode'])
        if 'list_lag_s' in settings:
            self.platform.list_lag_s = settings['list_lag_s']


def build(platform: Platform) -> web.Application:
    """Return the application that serves a platform."""
    arguments = {'platform': platform}
    return web.Application(
        [
            ('/v1/documents', DocumentsHandler, arguments),
            ('/v1/documents/(.+)', PublishHandler, arguments),
            ('/v1/instances', InstancesHandler, arguments),
            ('/control', ControlHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


async def main(port: int) -> None:
    """Serve until killed."""
    server = httpserver.HTTPServer(build(Platform()))
    server.listen(port, '127.0.0.1')
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1])))
