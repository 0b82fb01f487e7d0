"""Route the packets of a balancer, without state per flow."""

from __future__ import annotations

import collections
import typing

from teaseldock import flow
from teaseldock import proxy_header

if typing.TYPE_CHECKING:
    from teaseldock import table
    from teaseldock import view


class Route(typing.NamedTuple):
    """Destination of a packet.

    :ivar address: host and port of the owner's agent.
    :ivar tlv: encoded TLV for the agent, without its tag.
    """

    address: tuple[str, int]
    tlv: bytes


class _ServiceRoute(typing.NamedTuple):
    """Table and TLV that all packets of one service share."""

    service: table.ServiceTable
    tlv: bytes


class Router:
    """Map a flow to the agent that owns its bucket.

    Its state grows with services and instances, not with flows or buckets.
    """

    def __init__(self, *, current: view.View, hash_key: bytes) -> None:
        """Create a router without cached routes.

        :param current: view that determines the owners of buckets.
        :param hash_key: key of the flow hash, equal on every process.
        """
        self._view = current
        self._hash_key = hash_key
        self._version = -1
        self._services: dict[bytes, _ServiceRoute] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._dropped: collections.Counter[str] = collections.Counter()

    @property
    def dropped(self) -> collections.Counter[str]:
        """Return the number of dropped packets, by reason."""
        return self._dropped

    def route(self, flow_key: bytes) -> Route | None:
        """Return the route of a packet, or None if it must be dropped."""
        if self._version != self._view.version:
            self._services.clear()
            self._addresses.clear()
            self._version = self._view.version
        endpoint = flow_key[4:8] + flow_key[10:12]
        routes = self._services.get(endpoint) or self._add_service(endpoint)
        if routes is None:
            self._dropped['unknown_service'] += 1
            return None
        bucket = flow.bucket_of(flow_key, key=self._hash_key)
        name = self._view.owner(routes.service, bucket)
        address = self._addresses.get(name) or self._find_address(name)
        if address is None:
            self._dropped['no_target'] += 1
            return None
        return Route(address, routes.tlv)

    def _add_service(self, endpoint: bytes) -> _ServiceRoute | None:
        service = self._view.table.service_at(endpoint)
        if service is None:
            return None
        packet = proxy_header.Packet(
            b'',
            service.number,
            self._view.generation,
            proxy_header.Role.OWNER,
            0,
            b'',
        )
        routes = _ServiceRoute(service, proxy_header.internal_prefix(packet))
        self._services[endpoint] = routes
        return routes

    def _find_address(self, name: str | None) -> tuple[str, int] | None:
        endpoint = self._view.endpoint(name) if name else None
        if endpoint is None:
            return None
        address = tuple(endpoint)
        self._addresses[name] = address
        return address
