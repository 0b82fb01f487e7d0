"""Watch the platform's configuration and poll its live list."""

from __future__ import annotations

import asyncio
import json
import random
import typing

import logbook
from tornado import httpclient

from teaseldock import configuration
from teaseldock import decoding
from teaseldock import roster

if typing.TYPE_CHECKING:
    from teaseldock import node

LOG = logbook.Logger('platform')

#: Time that the platform may hold one watch open, seconds.
MAX_WATCH_S = 20.0
#: Seconds between two attempts while the platform is down, plus or minus 25 %.
RETRY_S = 0.5
#: Seconds after which a process that is not a reader checks its role again.
ROLE_CHECK_S = 1.0
#: Largest answer, bytes; it holds all parts of register and rules.
MAX_ANSWER_BYTES = 64_000_000
#: HTTP status 304, Not Modified.
_UNCHANGED = 304
#: Used as the entity tag if the platform sends none.
_NO_ETAG = '"none"'

#: What parsing an answer raises if it is not of the expected form.
UNREADABLE = (*decoding.UNDECODABLE, KeyError, TypeError, AttributeError)

Offer = typing.Callable[[list[configuration.Document]], None]
OnLiveList = typing.Callable[[list[roster.ListedInstance]], None]


def parse_documents(body: bytes) -> list[configuration.Document]:
    """Parse the documents in the answer to a watch."""
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
    """Parse the live list."""
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
    """Platform client of a node; reads while the node is a reader."""

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
        """Create a client; :meth:`start` begins to read.

        :param url: base URL of the platform.
        :param local_node: node that the client reads for.
        :param offer: called with the documents of each answer.
        :param on_live_list: called with each live list.
        :param list_interval_s: seconds between two reads of the list.
        :param start_spread_s: longest random delay of the first read, seconds.
            It spreads the load of a fleet that starts at the same time.
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
        """Return the number of requests to the platform."""
        return self._reads

    @property
    def failures(self) -> int:
        """Return the number of failed requests."""
        return self._failures

    def start(self) -> None:
        """Start the tasks that read."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run_forever(self._watch)),
            loop.create_task(self._run_forever(self._read_list)),
        ]

    def close(self) -> None:
        """Cancel the tasks and close the connections."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def _get(
        self, path: str, *, timeout_s: float, etag: str = ''
    ) -> httpclient.HTTPResponse | None:
        """Send one GET request.

        :param etag: entity tag of the last answer; the platform does not send
            unchanged contents again.
        :returns: the response, or None if the request failed.
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
        """Run a reader and restart it after an exception.

        Otherwise an exception would end the reading permanently.
        """
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
                await self._sleep(ROLE_CHECK_S)
                continue
            # The first read returns the current documents without waiting.
            wait_s = 0 if first else MAX_WATCH_S
            since = self._node.config.digest.generation
            path = f'/v1/documents?since={since}&wait_s={wait_s:g}'
            answer = await self._get(path, timeout_s=wait_s + 3)
            first = first and answer is None
            if answer is None or not self._parse_and_deliver(
                parse_documents, answer.body
            ):
                await self._sleep(RETRY_S)

    async def _read_list(self) -> None:
        """Poll the live list of this data centre.

        Members of other data centres arrive by gossip: a list of the whole
        fleet would grow with its size.
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
        except UNREADABLE as error:
            # A truncated answer must not end this task: the process would keep
            # an outdated view without any sign of it.
            self._failures += 1
            self._set_available(False, f'unreadable answer: {error!r}')
            return False
        if parse is parse_documents:
            self._offer(parsed)
        else:
            self._on_live_list(parsed)
        return True
