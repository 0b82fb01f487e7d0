"""Test the limit of resends."""

from __future__ import annotations

from teaseldock import resends


def test_a_caller_is_asked_a_bounded_number_of_times() -> None:
    """Without the limit, callers would resend throughout a partition."""
    asked = resends.ResendLimit()
    taken = [asked.try_acquire(b'a') for _ in range(resends.MAX_RESENDS + 3)]
    assert taken.count(True) == resends.MAX_RESENDS
    assert not any(taken[resends.MAX_RESENDS :])
    assert asked.try_acquire(b'b')


def test_orders_remembered_are_bounded() -> None:
    """The oldest counts are evicted beyond the limit."""
    asked = resends.ResendLimit()
    for number in range(resends.MAX_REQUESTS_KEPT + 1):
        assert asked.try_acquire(number.to_bytes(4, 'big'))
    assert len(asked._counts) == resends.MAX_REQUESTS_KEPT
