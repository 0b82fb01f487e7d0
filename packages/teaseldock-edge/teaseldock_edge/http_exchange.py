"""HTTP/1.1 client and page server on the reactor."""

from __future__ import annotations

import socket
import typing

import httptools

if typing.TYPE_CHECKING:
    from teaseldock import flow
    from teaseldock_edge import reactor

#: Bytes read by one system call.
READ_BYTES = 65536
#: Largest body of an answer, bytes: a megabyte of items, encoded.
MAX_BODY_BYTES = 8_000_000
#: Largest total of an answer's header names and values, bytes.
MAX_HEADER_BYTES = 65536
#: Listen backlog of a page server.
BACKLOG = 64
#: Seconds without a request after which a page server closes a connection.
#: A client that sends two requests a second keeps its connection.
IDLE_TIMEOUT_S = 10.0
#: Time limits of an answer that has begun to arrive, seconds: longest gap
#: between two parts once the request has timed out, and longest total time.
#: 300 KB take 1.2 s on an otherwise idle link of 2 Mbit/s; with a fixed
#: timeout of 1.5 s the client restarted such a read again and again.
MAX_GAP_S = 0.5
MAX_ANSWER_S = 10.0
#: Largest request that a page server reads.
MAX_REQUEST_BYTES = 8192

#: What a parser raises for bytes that are not HTTP, or that ask for another
#: protocol.
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)

OnFailure = typing.Callable[[str], None]


class Answer(typing.NamedTuple):
    """The response of a server.

    :ivar status: HTTP status.
    :ivar headers: values by lower-case name; of a repeated header, the last.
    :ivar body: body without decoding.
    """

    status: int
    headers: dict[str, str]
    body: bytes


OnAnswer = typing.Callable[[Answer], None]


class Page(typing.NamedTuple):
    """A response of the page server.

    :ivar status: HTTP status.
    :ivar content_type: value of the header ``Content-Type``.
    :ivar body: text of the body.
    """

    status: int
    content_type: str
    body: str


class _Collector:
    """Parser callbacks that collect the headers and body of one answer."""

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.header_bytes = 0
        self.expected_bytes = 0
        self.body = bytearray()
        self.complete = False

    @property
    def too_large(self) -> bool:
        """Return whether the answer exceeds what is kept of one."""
        return (
            max(self.expected_bytes, len(self.body)) > MAX_BODY_BYTES
            or self.header_bytes > MAX_HEADER_BYTES
        )

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_bytes += len(name) + len(value)
        if self.too_large:
            return
        if name.lower() == b'content-length' and value.isdigit():
            self.expected_bytes = int(value)
        self.headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        self.complete = True


class Client:
    """Client with one connection to one server; one request at a time."""

    def __init__(self, loop: reactor.Reactor, address: flow.Endpoint) -> None:
        """Create a client; the first request opens the connection."""
        self._loop = loop
        self._address = address
        self._socket: socket.socket | None = None
        self._connected = False
        self._unsent = b''
        self._collector: _Collector | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._on_answer: OnAnswer | None = None
        self._on_failure: OnFailure | None = None
        self._on_too_large: OnFailure | None = None
        self._timer: reactor.Timer | None = None
        self._started_at = 0.0
        self._timeout_s = 0.0

    def get(
        self,
        path: str,
        *,
        timeout_s: float,
        on_answer: OnAnswer,
        on_failure: OnFailure,
        on_too_large: OnFailure | None = None,
    ) -> None:
        """Send a GET request; exactly one of the callbacks is called.

        A connection may stop delivering data without a reset. Every request
        therefore has a timeout, after which the client also closes the
        connection. The timeout is extended while parts of the answer arrive.

        :param timeout_s: time limit until the answer, seconds.
        :param on_answer: called with the complete answer.
        :param on_failure: called with a description of the failure.
        :param on_too_large: called in place of it if the answer exceeds the
            limits of size or of total time, so that a repetition would fail
            too.
        """
        if self._timer is not None:
            # Of a request that a fault ended before it was sent.
            self._timer.cancel()
        self._started_at = self._loop.now()
        self._timeout_s = timeout_s
        self._on_answer = on_answer
        self._on_failure = on_failure
        self._on_too_large = on_too_large or on_failure
        self._collector = _Collector()
        self._parser = httptools.HttpResponseParser(self._collector)
        host = f'{self._address.host}:{self._address.port}'
        self._unsent = f'GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode()
        self._timer = self._loop.after(timeout_s, self._time_out)
        try:
            if self._socket is None:
                self._connect()
        except OSError as error:
            self._fail(f'connect: {error.strerror}')
            return
        self._loop.watch(self._socket, self._on_ready, writable=True)

    def _connect(self) -> None:
        self._connected = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self._socket.connect(tuple(self._address))
        except BlockingIOError:
            pass

    def close(self) -> None:
        """Close the connection without calling a callback."""
        if self._timer is not None:
            self._timer.cancel()
        self._on_answer = self._on_failure = self._on_too_large = None
        self._disconnect()

    def _disconnect(self) -> None:
        if self._socket is None:
            return
        self._loop.unwatch(self._socket)
        self._socket.close()
        self._socket = None

    def _fail(self, problem: str) -> None:
        self._end_with(self._on_failure, problem)

    def _end_with(self, callback: OnFailure | None, problem: str) -> None:
        self.close()
        if callback is not None:
            callback(problem)

    def _time_out(self) -> None:
        waited_s = self._loop.now() - self._started_at
        if self._collector.body and waited_s >= MAX_ANSWER_S:
            size = len(self._collector.body)
            self._end_with(
                self._on_too_large,
                f'answer too large: {size} bytes within {waited_s:.1f} s',
            )
            return
        self._fail(f'no answer within {waited_s:.1f} s')

    def _extend_timeout(self) -> None:
        """Extend the time limit of an answer that has begun to arrive."""
        now = self._loop.now()
        until = max(self._started_at + self._timeout_s, now + MAX_GAP_S)
        until = min(until, self._started_at + MAX_ANSWER_S)
        self._timer.cancel()
        self._timer = self._loop.after(max(0.0, until - now), self._time_out)

    def _on_ready(self, events: int) -> None:
        if self._socket is None:
            # Closed by a callback of the same round of the loop.
            return
        try:
            self._write()
            self._read()
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(f'connection: {error.strerror}')
            return
        except _PARSER_ERRORS as error:
            self._fail(f'unreadable answer: {error!r}')
            return
        if self._collector is not None and self._collector.complete:
            # Not above: an error that the handler of the answer raises is not
            # an error of the connection.
            self._finish()

    def _write(self) -> None:
        if not self._connected:
            problem = self._socket.getsockopt(
                socket.SOL_SOCKET, socket.SO_ERROR
            )
            if problem:
                raise OSError(problem, 'not connected')
            self._connected = True
        if not self._unsent:
            return
        sent = self._socket.send(self._unsent)
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._loop.watch(self._socket, self._on_ready)

    def _read(self) -> None:
        while self._socket is not None:
            part = self._socket.recv(READ_BYTES)
            if not part:
                self._fail('connection closed')
                return
            if self._parser is None:
                # Data without a request: the connection is unusable.
                self._disconnect()
                return
            self._parser.feed_data(part)
            if self._collector.too_large:
                self._end_with(self._on_too_large, 'answer too large')
                return
            if self._collector.complete:
                return
            self._extend_timeout()

    def _finish(self) -> None:
        self._timer.cancel()
        on_answer = self._on_answer
        answer = Answer(
            self._parser.get_status_code(),
            self._collector.headers,
            bytes(self._collector.body),
        )
        if not self._parser.should_keep_alive():
            self._disconnect()
        self._parser = self._collector = None
        self._on_answer = self._on_failure = self._on_too_large = None
        on_answer(answer)


class _Connection:
    """One client connection of a page server."""

    def __init__(
        self, server: PageServer, loop: reactor.Reactor, sock: socket.socket
    ) -> None:
        self._server = server
        self._loop = loop
        self._socket = sock
        self._parser = httptools.HttpRequestParser(self)
        self._path = b''
        # Paths of complete requests without a response.
        self._requested: list[bytes] = []
        self._request_bytes = 0
        self._last_read_at = loop.now()
        loop.watch(sock, self._on_ready)
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        if self._socket is None:
            return
        if self._loop.now() - self._last_read_at > IDLE_TIMEOUT_S:
            self.close()
            return
        self._loop.after(IDLE_TIMEOUT_S, self._close_if_idle)

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_message_complete(self) -> None:
        self._requested.append(self._path)
        self._path = b''
        self._request_bytes = 0

    def _respond(self, path: bytes) -> None:
        page = self._server.page(path.decode('latin-1'))
        body = page.body.encode()
        head = (
            f'HTTP/1.1 {page.status} {_PHRASES.get(page.status, "Status")}\r\n'
            f'Content-Type: {page.content_type}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        # A short response fits into the send buffer of the socket. A client
        # that does not read gets a truncated response and is disconnected.
        sent = self._socket.send(head.encode() + body)
        if sent < len(head) + len(body):
            raise OSError('the client does not read')

    def _on_ready(self, _: int) -> None:
        if self._socket is None:
            # Closed by a callback of the same round of the loop.
            return
        try:
            part = self._socket.recv(READ_BYTES)
            self._last_read_at = self._loop.now()
            self._request_bytes += len(part)
            if not part or self._request_bytes > MAX_REQUEST_BYTES:
                self.close()
                return
            self._parser.feed_data(part)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        except _PARSER_ERRORS:
            # Requests before the bytes that are not understood get responses.
            self._respond_to_all()
            self.close()
            return
        self._respond_to_all()

    def _respond_to_all(self) -> None:
        requested, self._requested = self._requested, []
        try:
            for path in requested:
                self._respond(path)
        except OSError:
            self.close()
        except Exception:
            # The loop reports the fault; the client must not wait for a page
            # that never comes.
            self.close()
            raise

    def close(self) -> None:
        if self._socket is None:
            return
        self._loop.unwatch(self._socket)
        self._socket.close()
        self._socket = None
        self._server.remove_connection(self)


class PageServer:
    """Serve pages that are created at each request."""

    def __init__(
        self,
        loop: reactor.Reactor,
        pages: dict[str, typing.Callable[[], Page]],
    ) -> None:
        """Create a server; :meth:`start` opens the address.

        :param pages: functions that create the pages, by path.
        """
        self._loop = loop
        self._pages = pages
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._connections: set[_Connection] = set()

    def start(self, address: flow.Endpoint) -> None:
        """Listen on an address.

        :raises OSError: if the address can't be bound.
        """
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(tuple(address))
        self._socket.listen(BACKLOG)
        self._loop.watch(self._socket, self._on_connection)

    def close(self) -> None:
        """Close the listening socket and all connections."""
        for connection in list(self._connections):
            connection.close()
        self._loop.unwatch(self._socket)
        self._socket.close()

    def page(self, path: str) -> Page:
        """Create the page of a path; the query is ignored."""
        make = self._pages.get(path.partition('?')[0])
        if make is None:
            return Page(404, 'text/plain', 'no such page\n')
        return make()

    def remove_connection(self, connection: _Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def _on_connection(self, _: int) -> None:
        try:
            sock, _address = self._socket.accept()
        except OSError:
            # The client closed the connection before it was accepted.
            return
        sock.setblocking(False)
        self._connections.add(_Connection(self, self._loop, sock))


_PHRASES = {200: 'OK', 404: 'Not Found', 503: 'Service Unavailable'}
