"""Simulate a backend server with slots, cold start, shedding and feeds.

Its log lists each request that ran; the guarantees are checked against it.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
import typing

import aiocoap
from aiocoap import resource

#: Requests that the server queues beyond its slots before it sheds.
BACKLOG = 4
#: Seconds after the start in which the server is slow, and the factor on its
#: service time.
WARMUP_S = 2.0
WARMUP_FACTOR = 2.0
#: Seconds between two notifications of a feed.
FEED_INTERVAL_S = 0.5


class Server:
    """State that all resources of one server share.

    :ivar pending: number of requests that run or wait for a slot.
    """

    def __init__(self, options: dict[str, typing.Any]) -> None:
        """Open the log."""
        self.name = options['name']
        self.service = options['service']
        self.slots = options['slots']
        self.service_s = options['service_s']
        self.random = random.Random(options['seed'])
        self.log = open(options['log'], 'a', buffering=1)
        self.pending = 0
        self.semaphore = asyncio.Semaphore(self.slots)
        self.started_at = time.monotonic()

    def log_run(self, kind: str, identity: str) -> None:
        """Log a request before it runs."""
        line = {
            'at': time.time(),
            'server': self.name,
            'service': self.service,
            'kind': kind,
            'id': identity,
        }
        self.log.write(json.dumps(line) + '\n')

    async def execute(self, kind: str, identity: str) -> bool:
        """Run a request, or return False to shed it."""
        if self.pending >= self.slots + BACKLOG:
            return False
        self.pending += 1
        try:
            async with self.semaphore:
                self.log_run(kind, identity)
                factor = 1.0
                if time.monotonic() - self.started_at < WARMUP_S:
                    factor = WARMUP_FACTOR
                await asyncio.sleep(
                    factor * self.random.expovariate(1 / self.service_s)
                )
        finally:
            self.pending -= 1
        return True


def _shed() -> aiocoap.Message:
    message = aiocoap.Message(code=aiocoap.SERVICE_UNAVAILABLE)
    message.opt.max_age = 1
    return message


class Entry(resource.Resource):
    """Run requests that must not run twice: pour orders, hours entries."""

    def __init__(self, server: Server, kind: str) -> None:
        """Store the shared state."""
        super().__init__()
        self.server = server
        self.kind = kind

    async def render_post(self, request: aiocoap.Message) -> aiocoap.Message:
        """Run the request and return its id."""
        identity = request.payload.decode()
        if not await self.server.execute(self.kind, identity):
            return _shed()
        return aiocoap.Message(code=aiocoap.CREATED, payload=identity.encode())


class Upload(resource.Resource):
    """Run uploads of several CoAP blocks: scans, contracts."""

    def __init__(self, server: Server, kind: str) -> None:
        """Store the shared state."""
        super().__init__()
        self.server = server
        self.kind = kind

    async def render_put(self, request: aiocoap.Message) -> aiocoap.Message:
        """Run the request and return its id."""
        identity = request.payload[:64].decode().split('|')[0]
        if not await self.server.execute(self.kind, identity):
            return _shed()
        body = f'{identity}|{len(request.payload)}'
        return aiocoap.Message(code=aiocoap.CHANGED, payload=body.encode())


class Feed(resource.ObservableResource):
    """Serve a status or payslip feed."""

    def __init__(self, server: Server) -> None:
        """Store the shared state."""
        super().__init__()
        self.server = server

    def notify(self) -> None:
        """Send a notification to all observers."""
        self.updated_state()

    async def render_get(self, request: aiocoap.Message) -> aiocoap.Message:
        """Return the time, with the names of server and service."""
        identity = ''.join(request.opt.uri_query)
        body = json.dumps(
            {
                'id': identity,
                'at': time.time(),
                'server': self.server.name,
                'service': self.server.service,
            }
        )
        return aiocoap.Message(payload=body.encode())


class Health(resource.Resource):
    """Serve a health endpoint that always reports success."""

    async def render_get(self, request: aiocoap.Message) -> aiocoap.Message:
        """Return ``well``, whatever the state of the server."""
        return aiocoap.Message(payload=b'well')


async def main(options: dict[str, typing.Any]) -> None:
    """Serve until killed."""
    server = Server(options)
    site = resource.Site()
    site.add_resource(['health'], Health())
    for segment in ('orders', 'hours'):
        site.add_resource([segment], Entry(server, segment))
    for segment in ('scans', 'contracts'):
        site.add_resource([segment], Upload(server, segment))
    feed = Feed(server)
    site.add_resource(['feed'], feed)
    await aiocoap.Context.create_server_context(
        site, bind=(options['host'], options['port'])
    )
    while True:
        await asyncio.sleep(FEED_INTERVAL_S)
        feed.notify()


if __name__ == '__main__':
    asyncio.run(main(json.loads(sys.argv[1])))
