"""Test the choice of a target for a request by load."""

from __future__ import annotations

import random

import pytest

from bench import shapes
from bench import world
from teaseldock import load
from teaseldock import placement

FULL = load.Load(2, 1, 2, 0, 2.0, True)
IDLE = load.Load(0, 0, 2, 0, 0.0, True)
LESS_FULL = load.Load(2, 0, 2, 0, 0.5, True)


def view(peer: load.Load) -> placement.LoadView:
    """Return a view with a fresh report of one peer."""
    loads = placement.LoadView(
        own='a', weights={'a': 1.0, 'b': 1.0}, randomness=random.Random(1)
    )
    report = load.pack_report(load.instance_number('b'), 0.0, peer)
    loads.on_reports('b', report, 10.0)
    return loads


@pytest.mark.parametrize('guarded', [False, True])
def test_a_free_slot_elsewhere_is_used(guarded: bool) -> None:
    """A request that would wait here goes to a peer with a free slot."""
    chosen = view(IDLE).choose_for_request(
        FULL, lambda _: True, 10.01, guarded=guarded
    )
    assert chosen == 'b'


def test_orders_are_not_handed_on_between_full_targets() -> None:
    """Orders stay at a full target if the peer is full, too.

    An order that waits at a full peer gains nothing, and occupies a slot there
    while it waits for consent. At twice the capacity a tenth of the slots
    would be idle: goodput was 0.897 of the capacity, with 25 KB/s of control
    traffic.
    """
    loads = view(LESS_FULL)
    assert (
        loads.choose_for_request(FULL, lambda _: True, 10.01, guarded=True)
        == 'a'
    )
    assert (
        loads.choose_for_request(FULL, lambda _: True, 10.01, guarded=False)
        == 'b'
    )


def test_leaving_target_forwards_to_a_full_peer() -> None:
    """A leaving target forwards its orders even to a full peer."""
    chosen = view(LESS_FULL).choose_for_request(
        None, lambda _: True, 10.01, guarded=True
    )
    assert chosen == 'b'


def test_an_order_waits_here_where_a_slot_is_free_as_soon() -> None:
    """A short wait here saves the control traffic of a consent."""
    short = load.Load(4, 1, 4, 0, 2.0, True)
    loads = view(IDLE._replace(work=2.0))
    assert (
        loads.choose_for_request(short, lambda _: True, 10.01, guarded=True)
        == 'a'
    )
    assert (
        loads.choose_for_request(short, lambda _: True, 10.01, guarded=False)
        == 'b'
    )


def _orders(run: world.World, per_s: float, seconds: float) -> None:
    """Send orders at random times for some seconds."""
    callers = [run.add_caller(run.shape.services[0][0]) for _ in range(100)]
    end = run.now + seconds
    while run.now < end:
        run.run_until(run.now + run.random.expovariate(per_s))
        run.random.choice(callers).ask('POST', run.shape.guarded)


def test_orders_at_high_load_ask_for_few_consents() -> None:
    """At high load less than a quarter of the orders is forwarded."""
    run = world.World(shapes.SHAPES['zilina'], seed=7)
    run.run_until(6.0)
    _orders(run, 980.0, 3.0)
    run.run_until(11.0)
    assert {item.outcome for item in run.asked} == {'answer'}
    handed_on = sum(
        process.node.counters['handed_on']
        for name, process in run.processes.items()
        if not name.startswith('balancer-')
    )
    assert handed_on < len(run.asked) / 4
    slowest = sorted(item.seconds for item in run.asked)
    assert slowest[-len(slowest) // 100] < 0.15
