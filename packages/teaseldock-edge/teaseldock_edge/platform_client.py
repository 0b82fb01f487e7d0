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
IDLE_S = 1.0
#: Largest answer: every part of register and rules.
MAX_ANSWER_BYTES = 64_000_000
#: HTTP status of contents that did not change.
_UNCHANGED = 304
#: Stands for the tag of a platform that gives none.
_NO_ETAG = '"none"'

Offer = typing.Callable[[list[configuration.Document]], None]
OnLiveList = typing.Callable[[list[roster.ListedInstance]], None]


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
        local_node: node.Node,
        *,
        offer: Offer,
        on_live_list: OnLiveList,
        list_interval_s: float,
        start_spread_s: float,
    ) -> None:
        """Prepare; nothing is read before :meth:`start`.

        :param offer: takes documents.
        :param on_live_list: called with each live list that was read.
        :param list_interval_s: seconds between two reads of the list.
        :param start_spread_s: seconds over which starts are spread, so that a
            fleet which starts as one doesn't read as one.
        """
        self._url = url
        self._node = local_node
        self._offer = offer
        self._on_live_list = on_live_list
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
        self._available = True

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
            loop.create_task(self._run_forever(self._watch)),
            loop.create_task(self._run_forever(self._read_list)),
        ]

    def close(self) -> None:
        """Stop reading."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def _get(
        self, path: str, *, timeout_s: float, etag: str = ''
    ) -> httpclient.HTTPResponse | None:
        """Read once; None if there is no answer.

        :param etag: of the last answer; unchanged contents are not sent again.
        """
        self._reads += 1
        headers = {'If-None-Match': etag} if etag else {}
        try:
            answer = await self._client.fetch(
                f'{self._url}{path}',
                request_timeout=timeout_s,
                headers=headers,
                raise_error=False,
            )
            if answer.code != _UNCHANGED:
                answer.rethrow()
        except (httpclient.HTTPError, OSError) as error:
            self._failures += 1
            self._set_available(False, str(error))
            return None
        self._set_available(True, '')
        return answer

    def _set_available(self, available: bool, problem: str) -> None:
        if available == self._available:
            return
        self._available = available
        if available:
            LOG.info('platform answers again')
        else:
            LOG.warning('platform does not answer', problem=problem)

    async def _sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds * random.uniform(0.75, 1.25))

    async def _run_forever(
        self, work: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Begin again after a fault, which would end the reading for good."""
        while True:
            try:
                await work()
            except Exception as error:
                self._failures += 1
                self._set_available(False, f'fault while reading: {error!r}')
            await self._sleep(RETRY_S)

    async def _watch(self) -> None:
        await asyncio.sleep(random.uniform(0, self._start_spread_s))
        first = True
        while True:
            if not first and not self._node.is_reader:
                await self._sleep(IDLE_S)
                continue
            # The first read takes whatever there is; a watch would wait.
            wait_s = 0 if first else WATCH_S
            since = self._node.config.digest.generation
            path = f'/v1/documents?since={since}&wait_s={wait_s:g}'
            answer = await self._get(path, timeout_s=wait_s + 3)
            first = first and answer is None
            if answer is None or not self._parse_and_deliver(
                parse_documents, answer.body
            ):
                await self._sleep(RETRY_S)

    async def _read_list(self) -> None:
        """Read the part of the list about this data centre.

        Other data centres' members come by rumour; their lists would grow
        with the whole fleet.
        """
        await asyncio.sleep(random.uniform(0, self._start_spread_s))
        data_centre = self._node.members.own.data_centre
        path = f'/v1/instances?data_centre={data_centre}'
        etag = ''
        while True:
            if not etag or self._node.is_reader:
                answer = await self._get(path, timeout_s=3.0, etag=etag)
                if answer is not None and answer.code != _UNCHANGED:
                    if self._parse_and_deliver(parse_instances, answer.body):
                        etag = answer.headers.get('Etag', _NO_ETAG)
            await self._sleep(self._list_interval_s)

    def _parse_and_deliver(
        self, parse: typing.Callable[[bytes], list], body: bytes
    ) -> bool:
        try:
            parsed = parse(body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            # A truncated answer must not end the reader: the process would
            # stay with its view for good, and nothing would show it.
            self._failures += 1
            self._set_available(False, f'unreadable answer: {error!r}')
            return False
        if parse is parse_documents:
            self._offer(parsed)
        else:
            self._on_live_list(parsed)
        return True
