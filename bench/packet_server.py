"""Fake a backend server: it takes flows and runs requests in order."""

from __future__ import annotations

import typing

from bench import packet_codec
from teaseldock.packets import records

if typing.TYPE_CHECKING:
    from bench import packet_world
    from teaseldock.packets import packet


class Server:
    """A backend server: it takes flows and runs requests in order."""

    def __init__(
        self,
        world: packet_world.World,
        host: str,
        *,
        service: str,
        slots: int,
        service_s: float,
        queue: int = 16,
        data_centre: str = 'dc',
    ) -> None:
        """Start ready and empty."""
        self.world = world
        self.host = host
        self.service = service
        self.slots = slots
        self.service_s = service_s
        self.queue_limit = queue
        self.data_centre = data_centre
        self.warmup_ms = 0
        self.run = 0
        self.born_ms = 1
        self.up = True
        self.silent = False
        self.fails = False
        self.resets_unknown_flows = False
        self.draining = False
        self.flows: set[bytes] = set()
        self.ended: set[bytes] = set()
        self.ran: list[tuple[float, bytes, int]] = []
        self.opened: list[tuple[float, bytes]] = []
        self._busy = 0
        self._queue: list[tuple[bytes, int]] = []
        self._next_sequences: dict[bytes, int] = {}
        self._initial_sequences: dict[bytes, int] = {}

    @property
    def identifier(self) -> str:
        """Return the id of the present run."""
        return f'i-{self.host}-{self.run}'

    def entry(self) -> records.Target:
        """Return what it registers."""
        return records.Target(
            self.identifier,
            self.service,
            self.host,
            8080,
            self.data_centre,
            self.slots,
            self.draining,
            self.warmup_ms,
            0,
            self.born_ms,
        )

    def crash(self, *, keep_identifier: bool = False) -> None:
        """Lose everything; the next run begins when it is up again."""
        self.up = False
        self.born_ms += 1000
        if not keep_identifier:
            self.run += 1
        self.flows.clear()
        self._queue.clear()
        self._busy = 0

    def close_idle(self, flow: bytes) -> None:
        """Close a flow that has been idle; its caller does not know yet."""
        self.ended.add(flow)
        self._send(flow, refused=True)

    def receive(self, item: packet.Packet, token: bytes) -> None:
        """Handle a packet that its agent gives it."""
        if not self.up or self.silent:
            return
        if item.opening:
            self.opened.append((self.world.now, item.flow))
            if item.flow not in self.flows:
                self.flows.add(item.flow)
                start = self.world.random.randrange(1 << 32)
                self._initial_sequences[item.flow] = self._next_sequences[
                    item.flow
                ] = start
            self._send(item.flow, opening=True, accepting=True)
            return
        if item.flow in self.ended:
            if item.length:
                self.flows.discard(item.flow)
                self._send(item.flow, resetting=True)
            return
        if item.flow not in self.flows and self.resets_unknown_flows:
            self._next_sequences[item.flow] = item.acknowledged
            self._send(item.flow, resetting=True)
            return
        if item.flow not in self.flows:
            self.world.from_server(
                self.host, item._replace(returned=True, token=token)
            )
            return
        if item.resetting or item.closing:
            self.flows.discard(item.flow)
            return
        if item.acknowledged != self._initial_sequences[item.flow]:
            # The caller took another server's answer.
            self.flows.discard(item.flow)
            self._send(item.flow, resetting=True)
            return
        if item.length:
            self._accept_request(item.flow, item.sequence)

    def _accept_request(self, flow: bytes, sequence: int) -> None:
        if self.fails:
            self.flows.discard(flow)
            self._send(flow, resetting=True)
            return
        if any(done[1:] == (flow, sequence) for done in self.ran):
            return
        if (flow, sequence) in self._queue:
            return
        if self._busy < self.slots:
            self._start_request(flow, sequence)
        elif len(self._queue) < self.queue_limit:
            self._queue.append((flow, sequence))
        else:
            self._send(flow, length=1, acknowledged=sequence, refused=True)

    def _start_request(self, flow: bytes, sequence: int) -> None:
        self._busy += 1
        self.ran.append((self.world.now, flow, sequence))
        born_ms = self.born_ms
        spread = self.world.random.uniform(0.6, 1.4)
        self.world.after(
            self.service_s * spread,
            lambda: self._finish_request(flow, sequence, born_ms),
        )

    def _finish_request(
        self, flow: bytes, sequence: int, born_ms: int
    ) -> None:
        if born_ms != self.born_ms:
            return
        self._busy -= 1
        self._send(flow, length=100, acknowledged=sequence)
        if self._queue:
            self._start_request(*self._queue.pop(0))

    def _send(self, flow: bytes, *, refused: bool = False, **fields) -> None:
        sequence = self._next_sequences.get(flow, 0)
        self._next_sequences[flow] = sequence + fields.get('length', 0)
        self.world.from_server(
            self.host,
            packet_codec.make_packet(
                flow, closing=refused, sequence=sequence, **fields
            ),
        )
