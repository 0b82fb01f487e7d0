"""Test how long handed-over requests are kept."""

from __future__ import annotations

from teaseldock import handovers


def _handover(at: float) -> handovers.Handover:
    """Return a handover; its request is not used."""
    return handovers.Handover(b'flow', None, 3, 77, at)


def test_an_order_is_due_once_after_its_first_copy() -> None:
    """A further copy doesn't delay the answer, which is due once."""
    kept = handovers.Handovers()
    kept.add(b'a', _handover(10.0))
    kept.add(b'a', _handover(12.0))
    assert not kept.pop_due(10.0 + handovers.ANSWER_WAIT_S)
    assert kept.pop_due(10.1 + handovers.ANSWER_WAIT_S) == [_handover(10.0)]
    assert not kept.pop_due(20.0)


def test_orders_remembered_are_bounded() -> None:
    """The oldest handovers are evicted beyond the limit."""
    kept = handovers.Handovers()
    for number in range(handovers.MAX_HANDOVERS + 5):
        kept.add(number.to_bytes(4, 'big'), _handover(float(number)))
    due = kept.pop_due(1e9)
    assert len(due) == handovers.MAX_HANDOVERS
    assert due[0].handed_over_at == 5.0
