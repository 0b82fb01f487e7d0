"""Test how often callers are asked to send an order again."""

from __future__ import annotations

from teaseldock import resends


def test_a_caller_is_asked_a_bounded_number_of_times() -> None:
    """Guards against callers that are sent round for as long as a cut."""
    asked = resends.ResendLimit()
    taken = [asked.try_acquire(b'a') for _ in range(resends.MAX_RESENDS + 3)]
    assert taken.count(True) == resends.MAX_RESENDS
    assert not any(taken[resends.MAX_RESENDS :])
    assert asked.try_acquire(b'b')


def test_orders_remembered_are_bounded() -> None:
    """The oldest are forgotten when a cut hits more orders than are kept."""
    asked = resends.ResendLimit()
    for number in range(resends.MAX_REQUESTS_KEPT + 1):
        assert asked.try_acquire(number.to_bytes(4, 'big'))
    assert len(asked._asked) == resends.MAX_REQUESTS_KEPT
