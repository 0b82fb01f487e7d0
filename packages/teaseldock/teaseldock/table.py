"""Rank the targets of a service for each bucket by weighted rendezvous."""

from __future__ import annotations

import math
import typing

import siphash24

from teaseldock import inventory

#: Key of the ranking hash; it need not be secret, all must use the same.
_RANK_KEY = b'teaseldock-rank1'
_HASH_RANGE = float(1 << 64)


class TargetId(typing.NamedTuple):
    """A target: an instance in its part of serving one service."""

    service: str
    instance: str


def service_id(name: str) -> int:
    """Return the 32-bit number that stands for a service in packets."""
    digest = siphash24.siphash24(name.encode(), key=_RANK_KEY).digest()
    return int.from_bytes(digest[:4], 'big')


def _score(prefix: bytes, bucket: int, weight: float) -> float:
    """Return the rendezvous score, after Thaler and Ravishankar (1998).

    With the logarithm a target wins a bucket with a chance that is exactly
    proportional to its weight, and changing one weight moves buckets only
    from or to that target.
    """
    digest = siphash24.siphash24(
        prefix + bytes((bucket,)), key=_RANK_KEY
    ).digest()
    unit = (int.from_bytes(digest, 'big') + 1) / (_HASH_RANGE + 1)
    return -weight / math.log(unit) if unit < 1 else math.inf


class ServiceTable:
    """Rank the targets of one service, bucket by bucket, on first use.

    Ranks are computed when a bucket is first asked for, so a change of
    configuration costs a process only what it then routes.
    """

    __slots__ = ('_name', '_number', '_weights', '_prefixes', '_ranks')

    def __init__(self, service: inventory.Service) -> None:
        """Prepare an empty cache of ranks.

        :param service: one checked entry of the rules.
        """
        self._name = service['name']
        self._number = service_id(service['name'])
        self._weights = {
            target['instance']: target['weight']
            for target in service['targets']
        }
        self._prefixes = {
            name: f'{self._name}/{name}/'.encode() for name in self._weights
        }
        self._ranks: dict[int, tuple[str, ...]] = {}

    @property
    def name(self) -> str:
        """Return the service's name."""
        return self._name

    @property
    def number(self) -> int:
        """Return the service's number in packets."""
        return self._number

    @property
    def weights(self) -> dict[str, float]:
        """Return the paid share of each instance, as a relative weight."""
        return self._weights

    def rank(self, bucket: int) -> tuple[str, ...]:
        """Return all instances of the service, best first."""
        ranked = self._ranks.get(bucket)
        if ranked is None:
            ranked = self._compute(bucket)
            self._ranks[bucket] = ranked
        return ranked

    def owner(
        self, bucket: int, excluded: typing.Container[str]
    ) -> str | None:
        """Return the first instance in rank that is not excluded.

        If all are excluded, the first in rank is returned: a view in which
        nobody is left is more likely wrong than right, and a packet that
        reaches a leaving agent is still handed on or refused, not lost.
        """
        ranked = self.rank(bucket)
        for name in ranked:
            if name not in excluded:
                return name
        return ranked[0] if ranked else None

    def _compute(self, bucket: int) -> tuple[str, ...]:
        scored = [
            (_score(self._prefixes[name], bucket, weight), name)
            for name, weight in self._weights.items()
        ]
        scored.sort(reverse=True)
        return tuple(name for _, name in scored)


class Table:
    """Map service endpoints to service tables: a function of one inventory.

    Every process that holds the same inventory computes the same table, so
    that balancers agree without exchanging a message.
    """

    def __init__(
        self, contents: inventory.Inventory, previous: Table | None = None
    ) -> None:
        """Build the table, taking over ranks that did not change.

        :param previous: the table that this one replaces.
        """
        self._services: dict[str, ServiceTable] = {}
        self._by_endpoint: dict[bytes, ServiceTable] = {}
        self._sources: dict[str, inventory.Service] = contents.services
        for name, service in contents.services.items():
            kept = previous.unchanged(service) if previous else None
            built = kept or ServiceTable(service)
            self._services[name] = built
            endpoint = inventory.service_endpoint(service)
            self._by_endpoint[endpoint.packed()] = built

    @property
    def services(self) -> dict[str, ServiceTable]:
        """Return the service tables by name."""
        return self._services

    def unchanged(self, service: inventory.Service) -> ServiceTable | None:
        """Return the table of a service whose rules are the same."""
        if self._sources.get(service['name']) != service:
            return None
        return self._services[service['name']]

    def at(self, endpoint: bytes) -> ServiceTable | None:
        """Return the service at a packed endpoint, or None."""
        return self._by_endpoint.get(endpoint)
