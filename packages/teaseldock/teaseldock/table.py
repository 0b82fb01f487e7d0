"""Rank the targets of a service per bucket by weighted rendezvous hashing."""

from __future__ import annotations

import array
import math
import typing

import siphash24

from teaseldock import flow
from teaseldock import inventory

#: Key of the ranking hash; not secret, but the same on every process.
_RANK_KEY = b'teaseldock-rank1'
_HASH_RANGE = float(1 << 64)
#: Markers of an owner not computed yet, and of a service without targets.
_NOT_COMPUTED = 0xFFFF
_NO_OWNER = 0xFFFE


class TargetId(typing.NamedTuple):
    """Identifier of a target, which is an instance serving one service."""

    service: str
    instance: str


def service_id(name: str) -> int:
    """Return the 32-bit number that identifies a service in packets."""
    digest = siphash24.siphash24(name.encode(), key=_RANK_KEY).digest()
    return int.from_bytes(digest[:4], 'big')


class ServiceTable:
    """Rank the targets of one service for each bucket.

    The owner of a bucket is computed on first use and cached in two bytes.
    Tables of tens of thousands of services therefore fit into memory, and
    after a change a process computes only the buckets that it routes.
    """

    __slots__ = (
        '_name',
        '_number',
        '_targets',
        '_names',
        '_weights',
        '_owners',
        '_excluded',
    )

    def __init__(self, service: inventory.Service) -> None:
        """Create a table without cached owners.

        :param service: one checked entry of the rules.
        """
        self._name = service['name']
        self._number = service_id(service['name'])
        self._targets = service['targets']
        self._weights = {
            target['instance']: target['weight']
            for target in service['targets']
        }
        self._names = tuple(self._weights)
        self._owners: array.array | None = None
        self._excluded: frozenset[str] = frozenset()

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

    def matches(self, service: inventory.Service) -> bool:
        """Return whether the table was built from the targets of a service."""
        targets = service['targets']
        return self._targets is targets or self._targets == targets

    def rank(self, bucket: int) -> tuple[str, ...]:
        """Return all instances of the service, best first."""
        scored = [(self._score(name, bucket), name) for name in self._names]
        scored.sort(reverse=True)
        return tuple(name for _, name in scored)

    def owner(
        self, bucket: int, excluded: typing.Container[str]
    ) -> str | None:
        """Return the first instance in rank that is not excluded.

        If all are excluded, the first in rank is returned: a view without
        any usable target is more likely wrong than right, and a leaving
        agent still forwards or refuses a packet, so that it is not lost.
        """
        relevant = frozenset(n for n in self._names if n in excluded)
        return self.owner_excluding(bucket, relevant)

    def owner_excluding(
        self, bucket: int, excluded: frozenset[str]
    ) -> str | None:
        """Return the owner, given the excluded targets of this service.

        :param excluded: a subset of this service's instances; the caller
            caches it, so that it is not computed for each packet.
        """
        if self._owners is None or excluded != self._excluded:
            self._owners = (
                array.array('H', [_NOT_COMPUTED]) * flow.BUCKET_COUNT
            )
            self._excluded = excluded
        index = self._owners[bucket]
        if index == _NOT_COMPUTED:
            index = self._compute_owner(bucket)
            self._owners[bucket] = index
        return self._names[index] if index != _NO_OWNER else None

    def _compute_owner(self, bucket: int) -> int:
        usable = [n for n in self._names if n not in self._excluded]
        candidates = usable or self._names
        if not candidates:
            return _NO_OWNER
        best = max(
            candidates, key=lambda name: (self._score(name, bucket), name)
        )
        return self._names.index(best)

    def _score(self, name: str, bucket: int) -> float:
        """Return the rendezvous score, after Thaler and Ravishankar (1998).

        With the logarithm, the probability that a target wins a bucket is
        exactly proportional to its weight, and changing one weight moves
        buckets only from or to that target.
        """
        text = f'{self._name}/{name}/'.encode() + bytes((bucket,))
        digest = siphash24.siphash24(text, key=_RANK_KEY).digest()
        unit = (int.from_bytes(digest, 'big') + 1) / (_HASH_RANGE + 1)
        if unit >= 1:
            return math.inf
        return -self._weights[name] / math.log(unit)


class Table:
    """Map the service endpoints of one inventory to service tables.

    Every process that holds the same inventory computes the same table, so
    that balancers agree without exchanging a message. A service's table is
    built on first use, because an agent needs a few out of thousands.
    """

    def __init__(
        self, contents: inventory.Inventory, previous: Table | None = None
    ) -> None:
        """Create a table without service tables.

        :param previous: the table that this one replaces; its service tables
            are reused for services that did not change.
        """
        self._contents = contents
        self._service_tables: dict[str, ServiceTable] = {}
        if previous is not None:
            self._service_tables = {
                name: built
                for name, built in previous._service_tables.items()
                if name in contents.services
            }

    def __len__(self) -> int:
        return len(self._contents.services)

    def service(self, name: str) -> ServiceTable | None:
        """Return the table of a service, or None."""
        entry = self._contents.services.get(name)
        if entry is None:
            return None
        built = self._service_tables.get(name)
        if built is None or not built.matches(entry):
            built = ServiceTable(entry)
            self._service_tables[name] = built
        return built

    def service_at(self, endpoint: bytes) -> ServiceTable | None:
        """Return the table of the service at a packed endpoint, or None."""
        one, two, three, four = endpoint[:4]
        host = f'{one}.{two}.{three}.{four}'
        port = int.from_bytes(endpoint[4:], 'big')
        name = self._contents.index.endpoints.get((host, port))
        return self.service(name) if name is not None else None
