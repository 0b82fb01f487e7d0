"""Test which orders the death of an instance excuses."""

from __future__ import annotations

import msgspec

from bench import consents
from teaseldock import messages

HOP_S = 0.0015
BODY = msgspec.msgpack.encode([1, 2, b'', 'POST', 'orders', b'', 0, 0, 'o-7'])


def _given(at: float, *, granted: bool = True) -> consents.ConsentLog:
    """Return the log of a forwarded order and the answer to its claim."""
    log = consents.ConsentLog()
    handed_on = messages.Execute(
        'dispatch-1', 3, 9, 77, 78, 2.0, False, 0, BODY, b''
    )
    log.note('dispatch-1', 'dispatch-2', handed_on, at - 0.01)
    consent = messages.Consent('dispatch-1', 3, 9, 77, granted)
    log.note('dispatch-1', 'dispatch-2', consent, at)
    return log


def test_a_consent_that_is_on_its_way_to_a_dying_instance_is_excused() -> None:
    """A consent in flight excuses an order with an unknown outcome.

    An instance claims a forwarded order, its sender consents, and the instance
    dies while the consent is in flight. The order ends as "outcome unknown"
    though it never ran, about once in a thousand orders after crashes. This
    can't be avoided: the sender can't withdraw its consent, nor find out
    whether it arrived.
    """
    log = _given(10.0)
    assert log.on_the_way('dispatch-2', 10.001, hop_s=HOP_S) == {'o-7'}
    assert not log.on_the_way('dispatch-3', 10.001, hop_s=HOP_S)


def test_a_consent_that_has_arrived_excuses_nothing() -> None:
    """An order whose consent has arrived starts at once, so that it ran."""
    log = _given(10.0)
    assert not log.on_the_way('dispatch-2', 10.002, hop_s=HOP_S)


def test_a_consent_that_is_not_given_yet_excuses_nothing() -> None:
    """The sender can still reassign an order it has not consented to."""
    log = _given(10.0)
    assert not log.on_the_way('dispatch-2', 9.999, hop_s=HOP_S)
    refused = _given(10.0, granted=False)
    assert not refused.on_the_way('dispatch-2', 10.001, hop_s=HOP_S)
