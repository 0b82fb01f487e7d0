"""Test how often callers are asked to send an order again."""

from __future__ import annotations

from teaseldock import resends


def test_a_caller_is_asked_a_bounded_number_of_times() -> None:
    """Guards against callers that are sent round for as long as a cut."""
    asked = resends.Resends()
    taken = [asked.take(b'a') for _ in range(resends.MESSAGES_AT_MOST + 3)]
    assert taken.count(True) == resends.MESSAGES_AT_MOST
    assert not any(taken[resends.MESSAGES_AT_MOST :])
    assert asked.take(b'b')


def test_orders_remembered_are_bounded() -> None:
    """The oldest are forgotten when a cut hits more orders than are kept."""
    asked = resends.Resends()
    for number in range(resends.ORDERS_KEPT + 1):
        assert asked.take(number.to_bytes(4, 'big'))
    assert len(asked._asked) == resends.ORDERS_KEPT
