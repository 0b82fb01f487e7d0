"""Test shares and stability of the bucket table."""

from __future__ import annotations

import collections

from teaseldock import flow
from teaseldock import table


def service(weights: dict[str, float]) -> table.ServiceTable:
    """Return the table of a service with weighted targets."""
    targets = [
        {'instance': name, 'port': 1, 'weight': weight}
        for name, weight in weights.items()
    ]
    return table.ServiceTable(
        {
            'name': 'a',
            'address': '10.0.0.1',
            'port': 1,
            'targets': targets,
            'request_classes': [],
        }
    )


def owners(built: table.ServiceTable, excluded: set[str] = frozenset()):
    """Return the owner of each bucket."""
    return [built.owner(b, excluded) for b in range(flow.BUCKET_COUNT)]


def test_shares_follow_weights() -> None:
    """A target with three times the weight gets about three times as many."""
    counts = collections.Counter(owners(service({'x': 1.0, 'y': 3.0})))
    assert 0.65 < counts['y'] / flow.BUCKET_COUNT < 0.85


def test_leaving_moves_only_the_leavers_buckets() -> None:
    """No bucket moves between targets that stay."""
    built = service(dict.fromkeys('pqrstuv', 1.0))
    before = owners(built)
    after = owners(built, {'p'})
    moved = [(b, a) for b, a in zip(before, after) if b != a]
    assert moved
    assert {b for b, _ in moved} == {'p'}


def test_order_of_rules_is_no_matter() -> None:
    """Two processes that read the targets in different orders agree."""
    one = service(dict.fromkeys('pqrst', 1.0))
    two = service(dict.fromkeys('tsrqp', 1.0))
    assert owners(one) == owners(two)


def test_all_excluded_still_names_one() -> None:
    """If all targets are excluded, the owner is the first in rank."""
    assert service({'x': 1.0}).owner(0, {'x'}) == 'x'
