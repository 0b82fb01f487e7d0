"""Fake a caller whose requests are retransmitted and retried."""

from __future__ import annotations

import typing
import zlib

from bench import packet_codec

if typing.TYPE_CHECKING:
    from bench import packet_world
    from teaseldock.packets import packet

#: Seconds after which a caller repeats an opening packet, and after which the
#: opening times out.
OPENING_REPEATS_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
#: Seconds after which a caller repeats a request that is not acknowledged.
DATA_REPEATS_S = (0.2, 0.6, 1.4, 3.0)


class Request:
    """One request of a caller, over all its tries.

    :ivar began: time at which the request began.
    :ivar ended: time of its outcome.
    :ivar outcome: ``''`` while it runs, else ``answered`` or ``failed``.
    :ivar feed: whether the flow stays open after the answer, and a reset of
        the open flow leads to a further try; without it the request fails.
    :ivar tries: number of flows that the caller may still open.
    :ivar port: port of the route that its flows go to.
    :ivar opened: whether the current flow is open.
    :ivar initial_sequence: sequence number of the current flow's opening.
    :ivar sequence: sequence number of the last request on the current flow.
    :ivar server_sequence: initial sequence number of the server.
    :ivar resets: number of resets that the caller has received.
    """

    def __init__(
        self,
        world: packet_world.World,
        *,
        feed: bool,
        tries: int,
        port: int = 443,
    ) -> None:
        """Open the first flow."""
        self.world = world
        self.began = world.now
        self.ended = 0.0
        self.outcome = ''
        self.feed = feed
        self.tries = tries
        self.port = port
        self.flow = b''
        self.opened = False
        self.initial_sequence = 0
        self.sequence = 0
        self.server_sequence = 0
        self.resets = 0
        self._open()

    @property
    def latency_s(self) -> float:
        """Return the seconds from the beginning to the outcome."""
        return self.ended - self.began

    def _open(self) -> None:
        self.tries -= 1
        if self.flow:
            self.world.release_port(self.flow)
        self.flow = self.world.new_flow(self)
        self.opened = False
        flow = self.flow
        # Sequence numbers of two flows from one port are far apart.
        self.initial_sequence = self.sequence = zlib.crc32(
            b'%r %r' % (flow, self.world.now)
        )
        self._send(flow, opening=True, sequence=self.initial_sequence)
        for number, delay in enumerate(OPENING_REPEATS_S, 1):
            self.world.after(
                delay, lambda n=number: self._repeat_opening(flow, n)
            )
        self.world.after(
            OPENING_TIMEOUT_S, lambda: self._time_out_opening(flow)
        )

    def _send(self, flow: bytes, **fields: typing.Any) -> None:
        self.world.from_caller(packet_codec.make_packet(flow, **fields))

    def _repeat_opening(self, flow: bytes, number: int) -> None:
        if flow == self.flow and not self.opened and not self.outcome:
            self._send(
                flow,
                opening=True,
                sequence=self.initial_sequence,
                acknowledged=number,
            )

    def _time_out_opening(self, flow: bytes) -> None:
        if flow == self.flow and not self.opened:
            self._retry()

    def _retry(self) -> None:
        if self.outcome:
            return
        if self.tries <= 0:
            self._finish('failed')
            return
        self._open()

    def _finish(self, outcome: str) -> None:
        self.outcome = outcome
        self.ended = self.world.now
        if not self.feed:
            self.world.release_port(self.flow)

    def ask(self) -> None:
        """Send a request over the open flow; repeat it until its outcome."""
        self.began = self.began if not self.outcome else self.world.now
        self.outcome = ''
        self.sequence = (self.sequence + 1) % packet_codec.MODULUS
        flow, sequence = self.flow, self.sequence
        self.world.asked[flow, sequence] = self
        for delay in (0.0, *DATA_REPEATS_S):
            self.world.after(delay, lambda: self._send_data(flow, sequence))

    def _send_data(self, flow: bytes, sequence: int) -> None:
        if flow == self.flow and sequence == self.sequence:
            if not self.outcome:
                self._send(
                    flow,
                    length=1,
                    sequence=sequence,
                    acknowledged=self.server_sequence,
                )

    def receive(self, item: packet.Packet) -> None:
        """Handle a packet that the caller receives."""
        if item.flow != self.flow or self.outcome:
            return
        if item.resetting:
            self.resets += 1
            if self.opened and not self.feed:
                self._finish('failed')
                return
            self._retry()
            return
        if item.accepting and not self.opened:
            self.opened = True
            self.server_sequence = item.sequence
            self.ask()
        elif item.length and item.closing:
            self._retry()
        elif item.length and item.acknowledged == self.sequence:
            self._finish('answered')
            if not self.feed:
                self._send(
                    self.flow, closing=True, acknowledged=self.server_sequence
                )
