"""Fake a backend server that accepts flows and runs requests in order."""

from __future__ import annotations

import typing

from bench import packet_codec
from teaseldock.packets import records

if typing.TYPE_CHECKING:
    from bench import packet_world
    from teaseldock.packets import packet


#: Seconds for which a server repeats its last packet of a flow.
GIVE_UP_S = 9.4


class Server:
    """A backend server that accepts flows and runs requests in order.

    :ivar run: number of the current run, part of the identifier.
    :ivar born_ms: start time of the current run.
    :ivar up: whether the server runs.
    :ivar silent: whether it ignores all packets.
    :ivar fails: whether it resets the flow of each request.
    :ivar resets_unknown_flows: whether it resets flows that it does not hold;
        otherwise it returns their packets.
    :ivar flows: flows that it holds.
    :ivar ended: flows that it has closed because they were idle, with times.
    :ivar ran: time, flow and sequence of each request that it has started.
    :ivar opened: time and flow of each opening that it has received.
    """

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
        """Create a running server without flows.

        :param service_s: mean seconds to run a request.
        :param queue: number of requests that may wait for a slot.
        """
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
        self.ended: dict[bytes, float] = {}
        self.ran: list[tuple[float, bytes, int]] = []
        self.opened: list[tuple[float, bytes]] = []
        self._busy = 0
        self._queue: list[tuple[bytes, int]] = []
        self._next_sequences: dict[bytes, int] = {}
        self._initial_sequences: dict[bytes, int] = {}
        self._caller_sequences: dict[bytes, int] = {}
        # Flows of which the caller has acknowledged the acceptance.
        self._opened_flows: set[bytes] = set()

    @property
    def identifier(self) -> str:
        """Return the identifier of the current run."""
        return f'i-{self.host}-{self.run}'

    def entry(self) -> records.Target:
        """Return the entry that the server registers."""
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
        """Crash and lose all flows and requests.

        The next run begins when ``up`` is set again.

        :param keep_identifier: whether it has the same identifier then.
        """
        self.up = False
        self.born_ms += 1000
        if not keep_identifier:
            self.run += 1
        self.flows.clear()
        self._queue.clear()
        self._busy = 0

    def holds(self, flow: bytes, number: int) -> bool:
        """Return whether it has a flow that it began at a sequence number."""
        if not self.up or flow not in self.flows:
            return False
        ended_at = self.ended.get(flow, self.world.now)
        if self.world.now - ended_at > GIVE_UP_S:
            return False
        return self._initial_sequences[flow] == number

    def discard(self, flow: bytes) -> None:
        """Forget an idle flow without a word."""
        self.flows.discard(flow)

    def close_idle(self, flow: bytes) -> None:
        """Close an idle flow, before the caller has noticed."""
        if flow in self.ended:
            return
        self.ended[flow] = self.world.now
        self._send(flow, refused=True)

    def receive(self, item: packet.Packet, token: bytes) -> None:
        """Handle a packet that the agent passes on.

        :param token: returned with a packet of a flow that it does not hold.
        """
        if not self.up or self.silent:
            return
        if item.opening:
            self.opened.append((self.world.now, item.flow))
            known = self._caller_sequences.get(item.flow) == item.sequence
            if item.flow not in self.flows or not known:
                # The caller may use the port of a former flow again.
                self.flows.add(item.flow)
                self.ended.pop(item.flow, None)
                self._opened_flows.discard(item.flow)
                self._caller_sequences[item.flow] = item.sequence
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
        foreign = item.acknowledged != self._initial_sequences[item.flow]
        if foreign and item.flow in self._opened_flows:
            # A late packet of a former flow from the same port.
            return
        if foreign:
            # The caller accepted the opening answer of another server.
            self.flows.discard(item.flow)
            self._send(item.flow, resetting=True)
            return
        self._opened_flows.add(item.flow)
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
