"""Exchange datagrams with the backend server on this instance."""

from __future__ import annotations

import typing

import aiocoap

from teaseldock import flow
from teaseldock import server_probe
from teaseldock_edge import sockets

#: Sockets for one server. A server takes a message identifier that it has
#: seen from one address within 247 s for a repeat; with 16 bits of them, one
#: socket would do for 265 requests a second.
SOCKETS = 8
_IDS_PER_SOCKET = 1 << 16


class ServerLink:
    """Carry requests to one server, and notice when it is gone."""

    def __init__(
        self,
        endpoint: flow.Endpoint,
        *,
        on_datagram: typing.Callable[[bytes], bytes],
        on_lost: typing.Callable[[], None],
        now: float,
    ) -> None:
        """Prepare; nothing is opened before :meth:`start`.

        :param on_datagram: handles a datagram, returns what to send back.
        :param on_lost: called when the server is gone.
        """
        self._endpoint = endpoint
        self._on_datagram = on_datagram
        self._on_lost = on_lost
        self._probe = server_probe.ServerProbe(now)
        self._now = now
        self._sockets = [self._new_socket(index) for index in range(SOCKETS)]

    def _new_socket(self, index: int) -> sockets.DatagramSocket:
        def receive(datagram: bytes, address: tuple[str, int]) -> None:
            self._probe.mark_alive(self._now)
            reply = self._on_datagram(datagram)
            if reply:
                self._sockets[index].send_connected(reply)

        return sockets.DatagramSocket(
            receive, place='server', on_refused=self._on_lost
        )

    @property
    def endpoint(self) -> flow.Endpoint:
        """Return the server's address."""
        return self._endpoint

    def start(self) -> None:
        """Open the sockets."""
        for item in self._sockets:
            item.start(connect=self._endpoint)

    def close(self) -> None:
        """Close the sockets."""
        for item in self._sockets:
            item.close()

    def send(self, datagram: bytes, *, call: int) -> None:
        """Send a request; its call chooses the socket."""
        index = (call // _IDS_PER_SOCKET) % SOCKETS
        self._sockets[index].send_connected(datagram)

    def tick(self, now: float, *, busy: bool) -> None:
        """Probe a silent server with a CoAP ping (RFC 7252 section 4.3).

        :param busy: whether anybody waits for this server.
        """
        self._now = now
        step = self._probe.step(now, busy=busy)
        if step is server_probe.Step.LOST:
            self._on_lost()
        if step is server_probe.Step.NOTHING:
            return
        ping = aiocoap.Message(code=aiocoap.EMPTY)
        ping.mtype = aiocoap.CON
        ping.mid = int(now * 1000) % _IDS_PER_SOCKET
        self._sockets[0].send_connected(ping.encode())
