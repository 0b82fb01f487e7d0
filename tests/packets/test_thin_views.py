"""Test that flows hold when each process has contact to few others only.

In simulations of a few processes each one has contact to all others. Here an
agent reports to one balancer and a balancer sends heartbeats to two others at
a time, which is the same proportion as with hundreds of processes.
"""

from __future__ import annotations

import inspect
import typing

import pytest

from teaseldock.packets import mesh
from tests.packets import test_flows
from tests.packets import test_lost_flows
from tests.packets import test_moved_routes
from tests.packets import test_same_identifier

MODULES = (
    test_flows,
    test_lost_flows,
    test_moved_routes,
    test_same_identifier,
)
#: This test bounds the queries to agents of other services; there are more
#: when those agents send no heartbeats here.
BOUNDS_COST = 'test_other_services_cost_a_search_nothing'


def plain_tests() -> list[typing.Callable[[], None]]:
    """Return the tests of flows that take no arguments."""
    return [
        item
        for module in MODULES
        for name, item in vars(module).items()
        if name.startswith('test_')
        and name != BOUNDS_COST
        and inspect.isfunction(item)
        and not inspect.signature(item).parameters
    ]


@pytest.mark.parametrize(
    'flow_test', plain_tests(), ids=lambda item: item.__name__
)
def test_flows_hold_with_thin_views(
    flow_test: typing.Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each test of flows passes as it does with contact to all."""
    monkeypatch.setattr(mesh, 'BALANCERS_PER_AGENT', 1)
    monkeypatch.setattr(mesh, 'FAN_OUT', 2)
    flow_test()
