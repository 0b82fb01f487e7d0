"""UDP sockets on the tornado loop."""

from __future__ import annotations

import collections
import errno
import socket
import typing

from tornado import ioloop

from teaseldock import exceptions
from teaseldock import flow

#: Largest UDP datagram over IPv4.
MAX_DATAGRAM_BYTES = 65535
#: Datagrams received in one callback before timers can run.
BATCH = 128
#: Size of each kernel buffer, bytes; it absorbs bursts.
BUFFER_BYTES = 4_000_000

Handler = typing.Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """UDP socket that passes received datagrams to a handler."""

    def __init__(
        self,
        handler: Handler,
        *,
        place: str,
        on_refused: typing.Callable[[], None] | None = None,
    ) -> None:
        """Create a socket; :meth:`start` binds or connects it.

        :param handler: called with each datagram and its source address.
        :param place: name of the setting with the address, for errors.
        :param on_refused: called when the connected peer refuses datagrams
            (ICMP port unreachable).
        """
        self._handler = handler
        self._place = place
        self._on_refused = on_refused
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        self._counters: collections.Counter[str] = collections.Counter()

    @property
    def counters(self) -> collections.Counter[str]:
        """Return counts of received datagrams and of errors by code."""
        return self._counters

    @property
    def raw(self) -> socket.socket:
        """Return the underlying socket."""
        return self._socket

    def start(
        self,
        *,
        bind: flow.Endpoint | None = None,
        connect: flow.Endpoint | None = None,
    ) -> None:
        """Bind or connect, and start to receive.

        :raises StartError: if the address can't be bound or connected.
        """
        try:
            if bind is not None:
                self._socket.bind(tuple(bind))
            if connect is not None:
                self._socket.connect(tuple(connect))
        except OSError as error:
            raise exceptions.StartError(
                self._place,
                f'{bind or connect}: {error.strerror}',
                remedy='free the address or choose another one',
            ) from error
        ioloop.IOLoop.current().add_handler(
            self._socket, self._on_readable, ioloop.IOLoop.READ
        )

    def close(self) -> None:
        """Stop receiving and close the socket."""
        ioloop.IOLoop.current().remove_handler(self._socket)
        self._socket.close()

    def _on_readable(self, _: typing.Any, events: int) -> None:
        for _ in range(BATCH):
            try:
                datagram, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._handle_error(error)
                return
            self._counters['received'] += 1
            self._handler(datagram, address)

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send to an address; a full send buffer drops the datagram."""
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            self._handle_error(error)

    def send_connected(self, datagram: bytes) -> None:
        """Send to the connected peer; a full buffer drops the datagram."""
        try:
            self._socket.send(datagram)
        except OSError as error:
            self._handle_error(error)

    def _handle_error(self, error: OSError) -> None:
        name = errno.errorcode.get(error.errno or 0, 'unknown')
        self._counters[f'error_{name.lower()}'] += 1
        if error.errno == errno.ECONNREFUSED and self._on_refused:
            self._on_refused()
