"""Test that flows hold where balancers hear only few of the others.

In worlds of a few processes everybody hears everybody. Here an agent reports
to one balancer and a balancer tells two others at a time, as it is in
proportion among hundreds.
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
#: It bounds what agents of other services are asked, which is more where they
#: are not heard.
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


@pytest.mark.parametrize('play', plain_tests(), ids=lambda item: item.__name__)
def test_flows_hold_with_thin_views(
    play: typing.Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each test of flows holds as it does where all hear all."""
    monkeypatch.setattr(mesh, 'BALANCERS_PER_AGENT', 1)
    monkeypatch.setattr(mesh, 'FAN_OUT', 2)
    play()
