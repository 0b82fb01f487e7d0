"""Stand in for the platform's store, behind proxies that misbehave."""

from __future__ import annotations

import asyncio
import base64
import json
import time
import typing

from tornado import httpserver
from tornado import web

#: Seconds between two looks of a waiting watch.
_LOOK_S = 0.01


class Store:
    """Items under one revision counter, with a history."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self.items: dict[str, dict[str, typing.Any]] = {}
        self.events: list[dict[str, typing.Any]] = []
        self.history_from = 0
        self.calls = 0
        self._server: httpserver.HTTPServer | None = None

    def put(self, key: str, value: typing.Any) -> float:
        """Write a value; return when it was accepted."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self.events.append(item)
        return time.monotonic()

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append(
            {'key': key, 'revision': self.revision, 'tombstone': True}
        )

    def compact(self) -> None:
        """Drop the history."""
        self.history_from = self.revision
        self.events.clear()

    def start(self, address: tuple[str, int]) -> None:
        """Serve."""
        application = web.Application(
            [
                ('/api/kv-range', _Range, {'store': self}),
                ('/api/kv-watch', _Watch, {'store': self}),
            ],
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(application)
        self._server.listen(address[1], address[0])

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()


class _Handler(web.RequestHandler):
    def initialize(self, store: Store) -> None:
        self._store = store
        store.calls += 1


class _Range(_Handler):
    def get(self) -> None:
        items = [self._store.items[key] for key in sorted(self._store.items)]
        self.write(
            {
                'items': items,
                'truncated': False,
                'currentRev': self._store.revision,
            }
        )


class _Watch(_Handler):
    async def get(self) -> None:
        after = int(self.get_argument('after'))
        until = time.monotonic() + int(self.get_argument('waitMs')) / 1000
        store = self._store
        while time.monotonic() < until and after >= store.revision:
            await asyncio.sleep(_LOOK_S)
        if after < store.history_from:
            self.set_status(410)
            return
        events = [item for item in store.events if item['revision'] > after]
        self.write({'events': events, 'currentRev': store.revision})


class Proxy:
    """Pass TCP connections on to the store, as its mode says.

    :ivar mode: ``pass``; ``slow``; ``refuse`` (accepted and reset);
        ``silent`` (nothing passes); ``deaf`` (no answer comes back).
    """

    def __init__(self, target: tuple[str, int]) -> None:
        """Prepare."""
        self.mode = 'pass'
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: tuple[str, int]) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self) -> None:
        """Stop, and cut what is open."""
        self.cut()
        if self._server is not None:
            self._server.close()

    def cut(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        upstream = None
        try:
            if self.mode == 'refuse':
                writer.transport.abort()
                return
            back, upstream = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._pump(reader, upstream, answers=False),
                self._pump(back, writer, answers=True),
            )
        except OSError:
            # Either end is gone; the other is closed below.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
            if upstream is not None:
                upstream.transport.abort()

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        while part := await source.read(65536):
            if self.mode == 'slow':
                await asyncio.sleep(0.3)
            if self.mode == 'refuse':
                break
            if self.mode == 'silent' or (self.mode == 'deaf' and answers):
                continue
            sink.write(part)
        sink.transport.abort()
