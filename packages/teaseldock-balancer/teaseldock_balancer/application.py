"""Forward packets from the fabric to the agents that own their buckets."""

from __future__ import annotations

import collections
import random
import time
import typing

from teaseldock import balancer
from teaseldock import exceptions
from teaseldock import proxy_header
from teaseldock import roster
from teaseldock_edge import program
from teaseldock_edge import sockets


class BalancerProgram(program.Program):
    """Balancer program: forwards packets from the fabric to agents."""

    kind = 'balancer'

    def __init__(self, values: dict[str, typing.Any]) -> None:
        """Create all components; :meth:`start` opens the addresses.

        :param values: validated settings, by name.
        """
        self._balancer = balancer.Balancer(
            own=program.own_member(values, roster.ROLE_BALANCER),
            hash_key=values['hash-key'][0],
            randomness=random.Random(),
            now=time.monotonic(),
        )
        super().__init__(values, self._balancer)
        self._seal_key = self._keys[0]
        self._route = self._balancer.router.route
        self._last_packet_at = 0.0
        self._passed: collections.Counter[str] = collections.Counter()
        self._fabric_socket = sockets.DatagramSocket(
            self.on_datagram, place='--listen'
        )

    async def start(self) -> None:
        """Open the addresses and start all tasks."""
        self._fabric_socket.start(bind=self._values['listen'])
        await super().start()

    async def close(self) -> None:
        """Close the addresses."""
        self._fabric_socket.close()
        await super().close()

    def on_datagram(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Forward one packet from the fabric, or drop it."""
        try:
            flow_key, payload = proxy_header.read_plain(datagram)
        except exceptions.HeaderError as error:
            self.count_drop(f'from_fabric_{error.place}')
            return
        if not self._node.ready:
            self.count_drop('not_ready')
            return
        route = self._route(flow_key)
        if route is None:
            return
        self._passed['packets'] += 1
        if self._leaving:
            self._last_packet_at = time.monotonic()
        self._peer.send(
            proxy_header.seal(
                flow_key, route.tlv, payload, key=self._seal_key
            ),
            route.address,
        )

    def on_packet(self, packet: proxy_header.Packet, now: float) -> None:
        """Count and drop a packet; only agents handle packets from peers."""
        self.count_drop('packet_for_agent')

    def may_stop(self, left_at: float, now: float) -> bool:
        """Return whether the fabric has stopped sending packets.

        The fabric learns that this process leaves from a delayed list, or not
        at all while the platform is down. A stop after a fixed time would lose
        packets that the fabric still sends, and callers would get no answer.
        """
        quiet_since = max(left_at, self._last_packet_at)
        return now - quiet_since >= self._values['linger']

    def status(self) -> dict[str, typing.Any]:
        """Return the contents of the status page and the metrics."""
        figures = super().status()
        figures['packets_passed'] = self._passed['packets']
        figures['fabric_socket'] = dict(self._fabric_socket.counters)
        figures.update(self._balancer.status(time.monotonic()))
        return figures
