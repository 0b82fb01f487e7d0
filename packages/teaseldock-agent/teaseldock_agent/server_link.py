"""Exchange datagrams with the backend server on this instance."""

from __future__ import annotations

import typing

import aiocoap

from teaseldock import flow
from teaseldock import server_probe
from teaseldock_edge import sockets

#: Sockets for one server. A server treats a message identifier that it
#: received from the same address within 247 s as a retransmission. Identifiers
#: have 16 bits, so one socket allows only 265 requests per second.
SOCKETS = 8
_IDS_PER_SOCKET = 1 << 16


class ServerLink:
    """Send requests to one server, and detect when it fails."""

    def __init__(
        self,
        endpoint: flow.Endpoint,
        *,
        on_datagram: typing.Callable[[bytes], bytes],
        on_lost: typing.Callable[[], None],
        now: float,
    ) -> None:
        """Create the sockets; :meth:`start` connects them.

        :param endpoint: address of the server.
        :param on_datagram: handles a datagram of the server and returns the
            datagram to send back, empty for none.
        :param on_lost: called when the server refuses datagrams or does not
            answer probes.
        :param now: monotonic time, seconds.
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
        """Return the address of the server."""
        return self._endpoint

    def start(self) -> None:
        """Connect the sockets to the server."""
        for sock in self._sockets:
            sock.start(connect=self._endpoint)

    def close(self) -> None:
        """Close the sockets."""
        for sock in self._sockets:
            sock.close()

    def send(self, datagram: bytes, *, call: int) -> None:
        """Send a request; the call number selects the socket."""
        index = (call // _IDS_PER_SOCKET) % SOCKETS
        self._sockets[index].send_connected(datagram)

    def tick(self, now: float, *, busy: bool) -> None:
        """Send a CoAP ping (RFC 7252 section 4.3) if the server is silent.

        :param busy: whether a request or feed waits for this server.
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
