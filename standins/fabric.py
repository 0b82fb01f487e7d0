"""Simulate the fabric: send each packet to a random balancer.

The fabric binds the addresses of the services. It adds a PROXY v2 header to a
datagram of a caller and sends it to a random balancer. It removes the header
from an answer of an agent and sends it to the caller from the address of the
service. It can drop, duplicate, reorder and delay packets.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import typing
import urllib.request

from tornado import httpserver
from tornado import web

from teaseldock import exceptions
from teaseldock import flow
from teaseldock import proxy_header
from teaseldock_edge import sockets

#: Seconds between two reads of the live list.
LIST_INTERVAL_S = 0.3


class Faults(typing.NamedTuple):
    """Probabilities of faults for each packet, and delays in seconds.

    :ivar delay_s: delay of every packet.
    :ivar late_s: largest additional delay of a reordered packet.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    delay_s: float = 0.0045
    late_s: float = 0.05


class Fabric:
    """Forward packets in both directions."""

    def __init__(
        self, services: list[flow.Endpoint], faults: Faults, seed: int
    ) -> None:
        """Create a socket for each service address; :meth:`start` binds it."""
        self.faults = faults
        self.balancers: list[tuple[str, int]] = []
        self.random = random.Random(seed)
        self.sockets = {
            endpoint: sockets.DatagramSocket(
                self._from_caller(endpoint), place='service'
            )
            for endpoint in services
        }
        self.inside = sockets.DatagramSocket(self._from_agent, place='inside')

    def start(self, inside: flow.Endpoint) -> None:
        """Bind all sockets.

        :param inside: address for datagrams from agents.
        """
        self.inside.start(bind=inside)
        for endpoint, item in self.sockets.items():
            item.start(bind=endpoint)

    def _from_caller(self, service: flow.Endpoint) -> sockets.Handler:
        def handle(datagram: bytes, address: tuple[str, int]) -> None:
            if not self.balancers:
                return
            key = flow.flow_key(flow.Endpoint(*address), service)
            packet = proxy_header.pack_plain(key, datagram)
            to = self.random.choice(self.balancers)
            self._forward(lambda: self.inside.send(packet, to))

        return handle

    def _from_agent(self, datagram: bytes, address: tuple[str, int]) -> None:
        try:
            key, payload = proxy_header.read_plain(datagram)
        except exceptions.HeaderError:
            return
        service = self.sockets.get(flow.caller_endpoint(key))
        caller = flow.service_endpoint(key)
        if service is not None:
            self._forward(lambda: service.send(payload, tuple(caller)))

    def _forward(self, send: typing.Callable[[], None]) -> None:
        chance = self.random.random
        if chance() < self.faults.drop:
            return
        copies = 2 if chance() < self.faults.duplicate else 1
        for _ in range(copies):
            delay = self.faults.delay_s
            if chance() < self.faults.reorder:
                delay += self.faults.late_s * chance()
            asyncio.get_running_loop().call_later(delay, send)

    def refresh_balancers(self, platform: str) -> None:
        """Read the live list; keep the last one if the request fails."""
        with urllib.request.urlopen(
            f'{platform}/v1/instances', timeout=1
        ) as answer:
            listed = json.loads(answer.read())['instances']
        self.balancers = [
            tuple(item['listen'])
            for item in listed
            if item['role'] == 'balancer' and not item['leaving_since']
        ]


class ControlHandler(web.RequestHandler):
    """Set faults for the demo and tests."""

    def initialize(self, fabric: Fabric) -> None:
        """Store the fabric."""
        self.fabric = fabric

    def put(self) -> None:
        """Replace the faults."""
        self.fabric.faults = Faults(**json.loads(self.request.body))


async def main(options: dict[str, typing.Any]) -> None:
    """Forward packets until killed."""
    fabric = Fabric(
        [flow.parse_endpoint(text) for text in options['services']],
        Faults(**options['faults']),
        options['seed'],
    )
    fabric.start(flow.parse_endpoint(options['inside']))
    handler = [('/control', ControlHandler, {'fabric': fabric})]
    application = web.Application(handler, log_function=lambda item: None)
    httpserver.HTTPServer(application).listen(
        options['control_port'], '127.0.0.1'
    )
    loop = asyncio.get_running_loop()
    while True:
        try:
            await loop.run_in_executor(
                None, fabric.refresh_balancers, options['platform']
            )
        except (OSError, ValueError):
            pass
        await asyncio.sleep(LIST_INTERVAL_S)


if __name__ == '__main__':
    asyncio.run(main(json.loads(sys.argv[1])))
