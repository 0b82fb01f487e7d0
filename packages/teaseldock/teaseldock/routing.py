"""Decide for a balancer where each packet goes, without state per flow."""

from __future__ import annotations

import collections
import typing

from teaseldock import flow
from teaseldock import proxy_header

if typing.TYPE_CHECKING:
    from teaseldock import view


class Route(typing.NamedTuple):
    """Where the packets of one bucket go.

    :ivar address: host and port of the owner's agent.
    :ivar tlv: what the agent must know, ready to be sent.
    """

    instance: str
    address: tuple[str, int]
    tlv: bytes


class Router:
    """Map a flow to the agent that owns its bucket, and remember the map."""

    def __init__(self, *, current: view.View, hash_key: bytes) -> None:
        """Start with no route computed.

        :param current: view to route by.
        :param hash_key: key of the flow hash, equal on every process.
        """
        self._view = current
        self._hash_key = hash_key
        self._version = -1
        self._routes: dict[bytes, dict[int, Route]] = {}
        self._dropped: collections.Counter[str] = collections.Counter()

    @property
    def dropped(self) -> collections.Counter[str]:
        """Return packets dropped, by reason."""
        return self._dropped

    def route(self, flow_key: bytes) -> Route | None:
        """Return the route of a packet, or None if it must be dropped."""
        if self._version != self._view.version:
            self._routes.clear()
            self._version = self._view.version
        endpoint = flow.service_of(flow_key)
        bucket = flow.bucket_of(flow_key, key=self._hash_key)
        known = self._routes.get(endpoint)
        if known is not None:
            found = known.get(bucket)
            if found is not None:
                return found
        return self._compute(endpoint, bucket)

    def _compute(self, endpoint: bytes, bucket: int) -> Route | None:
        service = self._view.table.at(endpoint)
        if service is None:
            self._dropped['unknown_service'] += 1
            return None
        name = self._view.owner(service, bucket)
        address = self._view.endpoint(name) if name else None
        if name is None or address is None:
            self._dropped['no_target'] += 1
            return None
        packet = proxy_header.Packet(
            b'',
            service.number,
            self._view.generation,
            proxy_header.Role.OWNER,
            0,
            b'',
        )
        found = Route(
            name, tuple(address), proxy_header.internal_prefix(packet)
        )
        self._routes.setdefault(endpoint, {})[bucket] = found
        return found
