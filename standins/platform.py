"""Stand in for the configuration service and the live list.

Values have revisions, a watch is one long poll and counts as one read. The
operators' side (publishing) is here too; the system itself never writes.
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
    """Hold documents and instances; can be down or stale."""

    def __init__(self) -> None:
        """Start empty and up."""
        self.revision = 0
        self.documents: dict[str, dict[str, typing.Any]] = {}
        self.instances: dict[str, dict[str, typing.Any]] = {}
        self.listed: list[tuple[float, list[dict[str, typing.Any]]]] = []
        self.list_lag_s = 0.5
        self.mode = 'up'
        self.frozen: dict[str, typing.Any] = {}
        self.reads = 0
        self.changed = asyncio.Event()

    def publish(self, key: str, publisher: str, content: str) -> int:
        """Store a value under the next revision."""
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
        """Return the documents newer than a revision, or None."""
        documents = self.documents
        if self.mode == 'stale':
            documents = self.frozen
        fresh = [
            item for item in documents.values() if item['revision'] > since
        ]
        return {'documents': fresh} if fresh else None

    def set_mode(self, mode: str) -> None:
        """Go up, down or stale; stale serves what stood until now."""
        if mode == 'stale':
            self.frozen = dict(self.documents)
        self.mode = mode
        self.changed.set()
        self.changed = asyncio.Event()

    def set_instance(self, entry: dict[str, typing.Any]) -> None:
        """Change an entry of the live list."""
        self.instances[entry['name']] = entry
        self._remember()

    def remove_instance(self, name: str) -> None:
        """Remove an entry of the live list."""
        self.instances.pop(name, None)
        self._remember()

    def _remember(self) -> None:
        current = [dict(item) for item in self.instances.values()]
        self.listed.append((time.monotonic(), current))
        del self.listed[:-200]

    def list_instances(self) -> list[dict[str, typing.Any]]:
        """Return the list as it was some time ago."""
        then = time.monotonic() - self.list_lag_s
        seen = self.listed[0][1] if self.listed else []
        for at, entries in self.listed:
            if at <= then:
                seen = entries
        return seen


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
        """Return news since a revision, waiting for it if asked."""
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
    """Take what operators publish."""

    def put(self, key: str) -> None:
        """Store one document."""
        publisher = self.get_argument('publisher', 'operator')
        content = self.request.body.decode()
        revision = self.platform.publish(key, publisher, content)
        self.write({'revision': revision})


class InstancesHandler(_Handler):
    """Answer the live list, and take changes of the deployment tool."""

    def get(self) -> None:
        """Return the lagging list, or its part about one data centre.

        Tornado adds an Etag and answers 304 to who has it.
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
        """Change one entry."""
        self.platform.set_instance(json.loads(self.request.body))

    def delete(self) -> None:
        """Remove one entry."""
        self.platform.remove_instance(self.get_argument('name'))


class ControlHandler(_Handler):
    """Let the demo and tests make the platform fail."""

    def get(self) -> None:
        """Return the number of reads."""
        self.write({'reads': self.platform.reads})

    def put(self) -> None:
        """Change mode or lag."""
        order = json.loads(self.request.body)
        if 'mode' in order:
            self.platform.set_mode(order['mode'])
        if 'list_lag_s' in order:
            self.platform.list_lag_s = order['list_lag_s']


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
