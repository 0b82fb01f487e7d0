"""Simulate callers that send orders, feeds and scans with a CoAP client.

Each caller is one flow: a client context with a socket of its own. It writes
the outcome of each request to a record file, which is compared with the logs
of the servers.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
import time
import typing

import aiocoap
from aiocoap import error

#: Seconds after which a caller abandons a request.
REQUEST_TIMEOUT_S = 25.0
#: Seconds without a notification after which a feed counts as broken.
FEED_TIMEOUT_S = 4.0
#: Bytes of a scan; more than one CoAP block.
SCAN_BYTES = 3000


class Caller:
    """A caller with one flow."""

    def __init__(
        self, number: int, options: dict[str, typing.Any], record: typing.Any
    ) -> None:
        """Create a caller; :meth:`run` opens the socket.

        :param options: the JSON object that the process was started with.
        :param record: file for the records.
        """
        self.number = number
        self.options = options
        self.record = record
        self.random = random.Random(options['seed'] * 1000 + number)
        self.count = 0
        self.context: aiocoap.Context | None = None
        self.until = 0.0

    def write_record(self, **fields: typing.Any) -> None:
        """Write one line of JSON to the record file."""
        self.record.write(json.dumps({'at': time.time(), **fields}) + '\n')

    async def run(self, until: float) -> None:
        """Send requests until a steady time, then finish the last one."""
        self.until = until
        self.context = await aiocoap.Context.create_client_context()
        kind = self.options['kind']
        if kind == 'feed':
            await self._feed()
        else:
            while time.monotonic() < until:
                await asyncio.sleep(
                    self.random.expovariate(1 / self.options['pause_s'])
                )
                await self._request(kind)
        await self.context.shutdown()

    def _identity(self) -> str:
        self.count += 1
        options = self.options
        return (
            f'{options["service"]}-{options["seed"]}-'
            f'{self.number}-{self.count}'
        )

    async def _request(self, kind: str) -> None:
        identity = self._identity()
        method = aiocoap.PUT
        payload = identity.encode()
        if kind in ('orders', 'hours'):
            method = aiocoap.POST
        else:
            payload += b'|' + b'x' * SCAN_BYTES
        began = time.monotonic()
        outcome, body = await self._exchange(method, kind, payload)
        matches = body.split('|')[0] == identity
        if outcome == 'answered' and not matches:
            outcome = 'crossed'
        self.write_record(
            kind=kind,
            id=identity,
            outcome=outcome,
            seconds=round(time.monotonic() - began, 4),
        )

    async def _exchange(
        self, method: typing.Any, segment: str, payload: bytes
    ) -> tuple[str, str]:
        echo = None
        for _ in range(3):
            message = aiocoap.Message(
                code=method,
                uri=f'coap://{self.options["address"]}/{segment}',
                payload=payload,
            )
            message.opt.echo = echo
            try:
                answer = await asyncio.wait_for(
                    self.context.request(message).response, REQUEST_TIMEOUT_S
                )
            except (error.Error, OSError, TimeoutError) as problem:
                return f'lost: {problem!r}', ''
            if answer.code == aiocoap.UNAUTHORIZED and answer.opt.echo:
                echo = answer.opt.echo
                continue
            return self._classify(answer)
        return 'challenged too often', ''

    def _classify(self, answer: aiocoap.Message) -> tuple[str, str]:
        body = answer.payload.decode()
        if answer.code.is_successful():
            return 'answered', body
        if answer.code == aiocoap.SERVICE_UNAVAILABLE and body == 'not run':
            return 'not run', body
        if answer.code == aiocoap.GATEWAY_TIMEOUT:
            return 'outcome unknown', body
        return f'error {answer.code}', body

    async def _open_feed(self, identity: str) -> typing.Any:
        """Register for the feed; repeat with an Echo if challenged."""
        echo = None
        for _ in range(3):
            message = aiocoap.Message(
                code=aiocoap.GET,
                uri=f'coap://{self.options["address"]}/feed?{identity}',
            )
            message.opt.observe = 0
            message.opt.echo = echo
            request = self.context.request(message)
            answer = await asyncio.wait_for(
                request.response, REQUEST_TIMEOUT_S
            )
            if answer.code != aiocoap.UNAUTHORIZED or not answer.opt.echo:
                return request, answer
            echo = answer.opt.echo
        return request, answer

    async def _feed(self) -> None:
        identity = self._identity()
        notes = 0
        outcome = 'kept'
        try:
            request, answer = await self._open_feed(identity)
            outcome = self._check_feed(answer, identity)
            source = aiter(request.observation)
            while outcome == 'kept' and time.monotonic() < self.until:
                answer = await asyncio.wait_for(anext(source), FEED_TIMEOUT_S)
                outcome = self._check_feed(answer, identity)
                notes += 1
        except (error.Error, OSError, TimeoutError) as problem:
            outcome = f'broken: {problem!r}'
        except StopAsyncIteration:
            outcome = 'broken: ended'
        self.write_record(
            kind='feed', id=identity, outcome=outcome, notes=notes
        )

    def _check_feed(self, answer: aiocoap.Message, identity: str) -> str:
        if not answer.code.is_successful():
            return f'broken: {answer.code}'
        body = json.loads(answer.payload)
        if body['service'] != self.options['service']:
            return 'misrouted'
        return 'kept' if body['id'] == identity else 'crossed'


async def main(options: dict[str, typing.Any]) -> None:
    """Run all callers of one kind."""
    logging.getLogger('coap').setLevel(logging.CRITICAL)
    until = time.monotonic() + options['seconds']
    with open(options['record'], 'a', buffering=1) as record:
        callers = [
            Caller(number, options, record)
            for number in range(options['callers'])
        ]
        await asyncio.gather(*(item.run(until) for item in callers))


if __name__ == '__main__':
    asyncio.run(main(json.loads(sys.argv[1])))
