"""Receive and send datagrams on the loop's thread."""

from __future__ import annotations

import collections
import errno
import socket
import typing

from tornado import ioloop

from teaseldock import exceptions
from teaseldock import flow

#: Largest datagram of UDP over IPv4.
MAX_DATAGRAM_BYTES = 65535
#: Datagrams taken in one go before timers get their turn.
BATCH = 128
#: Bytes of the kernel's buffers, so that a burst isn't lost at once.
BUFFER_BYTES = 4_000_000

Handler = typing.Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """A UDP socket whose datagrams go to one handler."""

    def __init__(
        self,
        handler: Handler,
        *,
        place: str,
        on_refused: typing.Callable[[], None] | None = None,
    ) -> None:
        """Prepare a socket; nothing is bound before :meth:`start`.

        :param place: setting that names the address, for messages.
        :param on_refused: called when a connected peer has no such port.
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
        """Return counts of datagrams, bytes and errors."""
        return self._counters

    @property
    def raw(self) -> socket.socket:
        """Return the socket itself."""
        return self._socket

    def start(
        self,
        *,
        bind: flow.Endpoint | None = None,
        connect: flow.Endpoint | None = None,
    ) -> None:
        """Bind or connect, and begin to receive.

        :raises StartError: if the address can't be had.
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
                remedy='free the address or give another one',
            ) from error
        ioloop.IOLoop.current().add_handler(
            self._socket, self._on_readable, ioloop.IOLoop.READ
        )

    def close(self) -> None:
        """Stop receiving and free the address."""
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
        """Send to an address; a full buffer drops, as the network would."""
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            self._handle_error(error)

    def send_connected(self, datagram: bytes) -> None:
        """Send to the connected peer."""
        try:
            self._socket.send(datagram)
        except OSError as error:
            self._handle_error(error)

    def _handle_error(self, error: OSError) -> None:
        name = errno.errorcode.get(error.errno or 0, 'unknown')
        self._counters[f'error_{name.lower()}'] += 1
        if error.errno == errno.ECONNREFUSED and self._on_refused:
            self._on_refused()
