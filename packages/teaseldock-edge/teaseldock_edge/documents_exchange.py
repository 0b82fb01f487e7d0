"""Serve documents to peers and fetch them from peers, over TCP."""

from __future__ import annotations

import gzip
import typing

from tornado import httpclient
from tornado import httpserver
from tornado import web

from teaseldock import configuration
from teaseldock import exceptions
from teaseldock import flow
from teaseldock import messages
from teaseldock import node
from teaseldock import wire

#: Seconds that a fetch may take.
FETCH_TIMEOUT_S = 2.0
#: Effort of compressing: the least leaves a quarter of a document.
COMPRESSION = 1

Offer = typing.Callable[[list[configuration.Document]], None]
Count = typing.Callable[[str, object, int], None]


class _DocumentsHandler(web.RequestHandler):
    """Answer a sealed list of what is held with what is lacking."""

    def initialize(self, exchange: DocumentsExchange) -> None:
        """Take the exchange that answers."""
        self._exchange = exchange

    def post(self) -> None:
        """Answer those that know the key."""
        try:
            asked = wire.unpack(self.request.body, keys=self._exchange.keys)
        except exceptions.TeaseldockError:
            self.set_status(403)
            return
        if not isinstance(asked, messages.Documents):
            self.set_status(400)
            return
        answer = self._exchange.answer(asked)
        if 'gzip' in self.request.headers.get('Accept-Encoding', ''):
            answer = gzip.compress(answer, COMPRESSION, mtime=0)
            self.set_header('Content-Encoding', 'gzip')
        self._exchange.count_sent(len(answer))
        self.write(answer)


class DocumentsExchange:
    """Pass documents between processes; values may be megabytes."""

    def __init__(
        self,
        decisions: node.Node,
        *,
        keys: tuple[bytes, ...],
        offer: Offer,
        count: Count,
    ) -> None:
        """Prepare; nothing is served before :meth:`start`.

        :param keys: keys between processes, the newest first.
        :param offer: takes documents that were fetched.
        :param count: counts control traffic.
        """
        self._node = decisions
        self._keys = keys
        self._offer = offer
        self._count = count
        self._fetching: set[tuple[str, int]] = set()
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, defaults={'connect_timeout': 1.0}
        )
        application = web.Application(
            [('/documents', _DocumentsHandler, {'exchange': self})]
        )
        self._server = httpserver.HTTPServer(application)

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Return the keys between processes."""
        return self._keys

    def start(self, endpoint: flow.Endpoint) -> None:
        """Serve on the peer address.

        :raises StartError: if the address can't be had.
        """
        try:
            self._server.listen(endpoint.port, endpoint.host)
        except OSError as error:
            raise exceptions.StartError(
                '--peer',
                f'{endpoint}: {error.strerror}',
                remedy='free the address or give another one',
            ) from error

    def close(self) -> None:
        """Stop serving and fetching."""
        self._server.stop()
        self._client.close()

    def answer(self, asked: messages.Documents) -> bytes:
        """Return the documents that an asker lacks, sealed."""
        held = node.documents_from_message(asked.documents)
        return self._pack(self._node.config.documents_missing_from(held))

    def count_sent(self, size: int) -> None:
        """Count bytes as they go out, compressed or not."""
        self._count('sent', messages.Documents([]), size)

    def _pack(self, documents: list[configuration.Document]) -> bytes:
        stored = [messages.StoredDocument(*item) for item in documents]
        message = messages.Documents(stored)
        return wire.pack(message, key=self._keys[0])

    async def fetch(self, host: str, port: int) -> None:
        """Fetch from a peer and offer what comes; failures are harmless.

        The next heartbeat of any peer that is ahead leads to another fetch.
        """
        if (host, port) in self._fetching:
            return
        self._fetching.add((host, port))
        held = self._pack(self._node.config.held())
        self.count_sent(len(held))
        try:
            answer = await self._client.fetch(
                f'http://{host}:{port}/documents',
                method='POST',
                body=held,
                request_timeout=FETCH_TIMEOUT_S,
            )
            message = wire.unpack(answer.body, keys=self._keys)
        except (httpclient.HTTPError, OSError, exceptions.TeaseldockError):
            return
        finally:
            self._fetching.discard((host, port))
        size = int(answer.headers.get('Content-Length', len(answer.body)))
        self._count('received', message, size)
        if isinstance(message, messages.Documents):
            self._offer(node.documents_from_message(message.documents))
