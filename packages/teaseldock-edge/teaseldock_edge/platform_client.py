"""Read the platform: watch the configuration, read the live list."""

from __future__ import annotations

import asyncio
import json
import random
import typing

import logbook
from tornado import httpclient

from teaseldock import configuration
from teaseldock import roster

if typing.TYPE_CHECKING:
    from teaseldock import node

LOG = logbook.Logger('platform')

#: Seconds that one watch waits for news.
WATCH_S = 20.0
#: Seconds between two tries while the platform is down, spread by half.
RETRY_S = 0.5
#: Seconds until a process that is no reader looks again whether it is one.
IDLE_S = 0.5
#: Largest answer: every part of register and rules.
MAX_ANSWER_BYTES = 64_000_000

Offer = typing.Callable[[list[configuration.Document]], None]
List = typing.Callable[[list[roster.ListedInstance]], None]


def parse_documents(body: bytes) -> list[configuration.Document]:
    """Read the answer of a watch."""
    return [
        configuration.Document(
            item['key'],
            item['revision'],
            item['publisher'],
            item['content'].encode(),
        )
        for item in json.loads(body)['documents']
    ]


def parse_instances(body: bytes) -> list[roster.ListedInstance]:
    """Read the live list."""
    return [
        roster.ListedInstance(
            item['name'],
            item['role'],
            item['data_centre'],
            item['address'],
            item['port'],
            item['leaving_since'],
        )
        for item in json.loads(body)['instances']
    ]


class PlatformClient:
    """Read on behalf of a node, for as long as it is a reader."""

    def __init__(
        self,
        url: str,
        decisions: node.Node,
        *,
        offer: Offer,
        take_list: List,
        list_interval_s: float,
        start_spread_s: float,
    ) -> None:
        """Prepare; nothing is read before :meth:`start`.

        :param offer: takes documents.
        :param take_list: takes the live list.
        :param list_interval_s: seconds between two reads of the list.
        :param start_spread_s: seconds over which starts are spread, so that a
            fleet which starts as one doesn't read as one.
        """
        self._url = url
        self._node = decisions
        self._offer = offer
        self._take_list = take_list
        self._list_interval_s = list_interval_s
        self._start_spread_s = start_spread_s
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True,
            defaults={'connect_timeout': 2.0},
            max_body_size=MAX_ANSWER_BYTES,
        )
        self._tasks: list[asyncio.Task] = []
        self._reads = 0
        self._failures = 0
        self._up = True

    @property
    def reads(self) -> int:
        """Return how many calls were made."""
        return self._reads

    @property
    def failures(self) -> int:
        """Return how many calls failed."""
        return self._failures

    def start(self) -> None:
        """Begin to read."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._watch()),
            loop.create_task(self._read_list()),
        ]

    def close(self) -> None:
        """Stop reading."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def _get(self, path: str, *, timeout_s: float) -> bytes | None:
        self._reads += 1
        try:
            answer = await self._client.fetch(
                f'{self._url}{path}', request_timeout=timeout_s
            )
        except (httpclient.HTTPError, OSError) as error:
            self._failures += 1
            self._note(False, str(error))
            return None
        self._note(True, '')
        return answer.body

    def _note(self, up: bool, problem: str) -> None:
        if up == self._up:
            return
        self._up = up
        if up:
            LOG.info('platform answers again')
        else:
            LOG.warning('platform does not answer', problem=problem)

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds * random.uniform(0.75, 1.25))

    async def _watch(self) -> None:
        await asyncio.sleep(random.uniform(0, self._start_spread_s))
        first = True
        while True:
            if not first and not self._node.is_reader:
                await self._pause(IDLE_S)
                continue
            # The first read takes whatever there is; a watch would wait.
            wait_s = 0 if first else WATCH_S
            since = self._node.config.digest.generation
            path = f'/v1/documents?since={since}&wait_s={wait_s:g}'
            body = await self._get(path, timeout_s=wait_s + 3)
            first = first and body is None
            if body is None or not self._take(parse_documents, body):
                await self._pause(RETRY_S)

    async def _read_list(self) -> None:
        await asyncio.sleep(random.uniform(0, self._start_spread_s))
        first = True
        while True:
            if first or self._node.is_reader:
                body = await self._get('/v1/instances', timeout_s=3.0)
                if body is not None and self._take(parse_instances, body):
                    first = False
            await self._pause(self._list_interval_s)

    def _take(
        self, parse: typing.Callable[[bytes], list], body: bytes
    ) -> bool:
        try:
            parsed = parse(body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            # A truncated answer must not end the reader: the process would
            # stay with its view for good, and nothing would show it.
            self._failures += 1
            self._note(False, f'unreadable answer: {error!r}')
            return False
        if parse is parse_documents:
            self._offer(parsed)
        else:
            self._take_list(parsed)
        return True
