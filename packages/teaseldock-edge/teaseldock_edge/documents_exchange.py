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

#: Time limit of one fetch, seconds.
FETCH_TIMEOUT_S = 2.0
#: gzip level; the lowest already reduces a document to a quarter.
COMPRESSION_LEVEL = 1

Offer = typing.Callable[[list[configuration.Document]], None]
Count = typing.Callable[[str, object, int], None]


class _DocumentsHandler(web.RequestHandler):
    """Return the documents that a peer lacks.

    The request is a sealed list of the documents that the peer holds.
    """

    def initialize(self, exchange: DocumentsExchange) -> None:
        """Set the exchange that creates the responses."""
        self._exchange = exchange

    def post(self) -> None:
        """Answer a request that is sealed with a valid key."""
        try:
            message = wire.unpack(self.request.body, keys=self._exchange.keys)
        except exceptions.TeaseldockError:
            self.set_status(403)
            return
        if not isinstance(message, messages.Documents):
            self.set_status(400)
            return
        answer = self._exchange.answer(message)
        if 'gzip' in self.request.headers.get('Accept-Encoding', ''):
            answer = gzip.compress(answer, COMPRESSION_LEVEL, mtime=0)
            self.set_header('Content-Encoding', 'gzip')
        self._exchange.count_sent(len(answer))
        self.write(answer)


class DocumentsExchange:
    """Transfer documents between processes; one may have megabytes."""

    def __init__(
        self,
        local_node: node.Node,
        *,
        keys: tuple[bytes, ...],
        offer: Offer,
        count: Count,
    ) -> None:
        """Create the server and the client; :meth:`start` opens the address.

        :param local_node: node whose documents are served and updated.
        :param keys: keys that seal messages between processes, newest first.
        :param offer: called with fetched documents.
        :param count: called with direction, message and size in bytes of
            each message, to count control traffic.
        """
        self._node = local_node
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
        """Return the keys that seal messages between processes."""
        return self._keys

    def start(self, endpoint: flow.Endpoint) -> None:
        """Listen on the peer address.

        :raises StartError: if the address can't be bound.
        """
        try:
            self._server.listen(endpoint.port, endpoint.host)
        except OSError as error:
            raise exceptions.StartError(
                '--peer',
                f'{endpoint}: {error.strerror}',
                remedy='free the address or choose another one',
            ) from error

    def close(self) -> None:
        """Stop serving and fetching."""
        self._server.stop()
        self._client.close()

    def answer(self, message: messages.Documents) -> bytes:
        """Return the documents that a peer lacks, as a sealed message.

        :param message: lists the documents that the peer holds.
        """
        held = node.documents_from_message(message.documents)
        return self._pack(self._node.config.documents_missing_from(held))

    def count_sent(self, size: int) -> None:
        """Count bytes on the wire, after compression if there is any."""
        self._count('sent', messages.Documents([]), size)

    def _pack(self, documents: list[configuration.Document]) -> bytes:
        stored = [messages.StoredDocument(*item) for item in documents]
        message = messages.Documents(stored)
        return wire.pack(message, key=self._keys[0])

    async def fetch(self, host: str, port: int) -> None:
        """Fetch documents from a peer and offer them to the node.

        Failures are ignored: the next heartbeat of any peer with newer
        documents starts another fetch.
        """
        if (host, port) in self._fetching:
            return
        self._fetching.add((host, port))
        try:
            held = self._pack(self._node.config.held())
            self.count_sent(len(held))
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
