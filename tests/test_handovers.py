"""Test how long orders handed to their challenger are remembered."""

from __future__ import annotations

from teaseldock import handovers


def _order(at: float) -> handovers.Handover:
    """Return an order; nothing here looks at the request."""
    return handovers.Handover(b'flow', None, 3, 77, at)


def test_an_order_is_due_once_after_its_first_copy() -> None:
    """A further copy doesn't put the answer off, and it comes once."""
    orders = handovers.Handovers()
    orders.add(b'a', _order(10.0))
    orders.add(b'a', _order(12.0))
    assert not orders.pop_due(10.0 + handovers.ANSWER_WAIT_S)
    assert orders.pop_due(10.1 + handovers.ANSWER_WAIT_S) == [_order(10.0)]
    assert not orders.pop_due(20.0)


def test_orders_remembered_are_bounded() -> None:
    """The oldest go first when a cut hits more orders than are kept."""
    orders = handovers.Handovers()
    for number in range(handovers.MAX_HANDOVERS + 5):
        orders.add(number.to_bytes(4, 'big'), _order(float(number)))
    due = orders.pop_due(1e9)
    assert len(due) == handovers.MAX_HANDOVERS
    assert due[0].handed_over_at == 5.0
