"""Stand in for a backend server: slots, cold start, shedding, feeds, a log.

The log names each request that truly ran; promises are judged by it.
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

#: Requests beyond the slots that the server holds before it sheds.
BACKLOG = 4
#: Seconds for which a new server is slow, and how much slower it is.
COLD_S = 2.0
COLD_FACTOR = 2.0
#: Seconds between two notifications of a feed.
FEED_S = 0.5


class Server:
    """What all resources of one server share."""

    def __init__(self, options: dict[str, typing.Any]) -> None:
        """Open the log."""
        self.name = options['name']
        self.service = options['service']
        self.slots = options['slots']
        self.service_s = options['service_s']
        self.random = random.Random(options['seed'])
        self.log = open(options['log'], 'a', buffering=1)
        self.waiting = 0
        self.semaphore = asyncio.Semaphore(self.slots)
        self.started_at = time.monotonic()

    def note(self, kind: str, identity: str) -> None:
        """Write what runs, before it runs."""
        line = {
            'at': time.time(),
            'server': self.name,
            'service': self.service,
            'kind': kind,
            'id': identity,
        }
        self.log.write(json.dumps(line) + '\n')

    async def work(self, kind: str, identity: str) -> bool:
        """Run one request, or shed it."""
        if self.waiting >= self.slots + BACKLOG:
            return False
        self.waiting += 1
        try:
            async with self.semaphore:
                self.note(kind, identity)
                factor = 1.0
                if time.monotonic() - self.started_at < COLD_S:
                    factor = COLD_FACTOR
                await asyncio.sleep(
                    factor * self.random.expovariate(1 / self.service_s)
                )
        finally:
            self.waiting -= 1
        return True


def _shed() -> aiocoap.Message:
    message = aiocoap.Message(code=aiocoap.SERVICE_UNAVAILABLE)
    message.opt.max_age = 1
    return message


class Entry(resource.Resource):
    """A request that must not run twice: a pour order, an hours entry."""

    def __init__(self, server: Server, kind: str) -> None:
        """Take the shared state."""
        super().__init__()
        self.server = server
        self.kind = kind

    async def render_post(self, request: aiocoap.Message) -> aiocoap.Message:
        """Run the request and name it in the answer."""
        identity = request.payload.decode()
        if not await self.server.work(self.kind, identity):
            return _shed()
        return aiocoap.Message(code=aiocoap.CREATED, payload=identity.encode())


class Upload(resource.Resource):
    """A scan, sent in blocks."""

    def __init__(self, server: Server, kind: str) -> None:
        """Take the shared state."""
        super().__init__()
        self.server = server
        self.kind = kind

    async def render_put(self, request: aiocoap.Message) -> aiocoap.Message:
        """Run the request and name it in the answer."""
        identity = request.payload[:64].decode().split('|')[0]
        if not await self.server.work(self.kind, identity):
            return _shed()
        body = f'{identity}|{len(request.payload)}'
        return aiocoap.Message(code=aiocoap.CHANGED, payload=body.encode())


class Feed(resource.ObservableResource):
    """A status or payslip feed."""

    def __init__(self, server: Server) -> None:
        """Take the shared state."""
        super().__init__()
        self.server = server

    def notify(self) -> None:
        """Tell all observers."""
        self.updated_state()

    async def render_get(self, request: aiocoap.Message) -> aiocoap.Message:
        """Return the state, with the server's name."""
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
    """A health endpoint that always says well."""

    async def render_get(self, request: aiocoap.Message) -> aiocoap.Message:
        """Say well, whatever is true."""
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
        await asyncio.sleep(FEED_S)
        feed.notify()


if __name__ == '__main__':
    asyncio.run(main(json.loads(sys.argv[1])))
