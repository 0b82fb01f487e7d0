"""Connect the agent of the library to callers, peers and servers."""

from __future__ import annotations

import random
import time
import typing

from teaseldock import agent
from teaseldock.codecs import coap
from teaseldock import context
from teaseldock import exceptions
from teaseldock import flow
from teaseldock import messages
from teaseldock import proxy_header
from teaseldock import roster
from teaseldock_agent import server_link
from teaseldock_edge import program


class AgentProgram(program.Program):
    """Agent program: sockets, timers and links to backend servers."""

    kind = 'agent'

    def __init__(self, values: dict[str, typing.Any]) -> None:
        """Create all components; :meth:`start` opens the addresses.

        :param values: validated settings, by name.
        """
        self._codec = coap.CoapCodec()
        self._agent = agent.Agent(
            own=program.own_member(values, roster.ROLE_AGENT),
            codec=self._codec,
            keys=context.Keys(values['seal-keys'], values['hash-key'][0]),
            randomness=random.Random(),
            now=time.monotonic(),
        )
        super().__init__(values, self._agent)
        self._fabric_address = tuple(values['fabric'])
        self._links: dict[str, server_link.ServerLink] = {}

    async def close(self) -> None:
        """Close the links to servers and the addresses."""
        for link in self._links.values():
            link.close()
        await super().close()

    def on_packet(self, packet: proxy_header.Packet, now: float) -> None:
        """Handle a packet from a balancer or another agent."""
        if not self._node.ready:
            # The view has not been refreshed since the start or a pause. The
            # caller retransmits, and the view is current by then.
            self.count_drop('not_ready')
            return
        self.perform(self._agent.on_packet(packet, now))

    def perform_specific(self, action: messages.Action, now: float) -> None:
        """Send a datagram to a caller or to a server."""
        match action:
            case messages.ToCaller():
                datagram = proxy_header.pack_plain(
                    _reverse_flow_key(action.flow), action.payload
                )
                self._peer.send(datagram, self._fabric_address)
            case messages.ToServer():
                self._send_to_server(action, now)
            case _:
                super().perform_specific(action, now)

    def _send_to_server(self, action: messages.ToServer, now: float) -> None:
        link = self._links.get(action.service)
        if link is None:
            return
        datagram = self._codec.for_server(
            action.body, call=action.call, flow=action.flow
        )
        link.send(datagram, call=action.call)

    def on_tick(self, now: float) -> None:
        """Open links to the servers in the rules, and probe the servers."""
        self._open_links(now)
        for service, link in self._links.items():
            link.tick(now, busy=self._agent.needs_server(service))

    def _open_links(self, now: float) -> None:
        contents = self._node.view.inventory
        instance = contents.instances.get(self._values['name'])
        if instance is None:
            return
        for service in contents.services.values():
            for target in service['targets']:
                if target['instance'] != instance['name']:
                    continue
                endpoint = flow.Endpoint(instance['address'], target['port'])
                self._open_link(service['name'], endpoint, now)

    def _open_link(
        self, service: str, endpoint: flow.Endpoint, now: float
    ) -> None:
        existing = self._links.get(service)
        if existing is not None and existing.endpoint == endpoint:
            return
        if existing is not None:
            existing.close()
        link = server_link.ServerLink(
            endpoint,
            on_datagram=lambda datagram: self._on_server(service, datagram),
            on_lost=lambda: self._on_server_lost(service),
            now=now,
        )
        self._links[service] = link
        link.start()

    def _on_server(self, service: str, datagram: bytes) -> bytes:
        try:
            reply = self._codec.read_server(datagram)
        except exceptions.MessageError:
            self.count_drop('unreadable_from_server')
            return b''
        now = time.monotonic()
        self.perform(self._agent.on_server_reply(service, reply, now))
        return reply.acknowledge

    def _on_server_lost(self, service: str) -> None:
        now = time.monotonic()
        self.perform(self._agent.server_lost(service, now))

    def may_stop(self, left_at: float, now: float) -> bool:
        """Return whether a stop would interrupt no flow or request."""
        if now - left_at < agent.LINGER_S:
            return False
        return self._agent.drained(now)

    def status(self) -> dict[str, typing.Any]:
        """Return the contents of the status page and the metrics."""
        figures = super().status()
        figures.update(self._agent.status(time.monotonic()))
        return figures


def _reverse_flow_key(flow_key: bytes) -> bytes:
    """Return a flow key with caller and service swapped."""
    return flow_key[4:8] + flow_key[:4] + flow_key[10:12] + flow_key[8:10]
