"""Test messages between processes: round trip, keys and malformed input."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from teaseldock import exceptions
from teaseldock import messages
from teaseldock import roster
from teaseldock import wire

KEYS = (b'n' * 16, b'o' * 16)
MEMBER = roster.new_member(
    'a-1', role='agent', data_centre='north', host='10.0.0.1', port=1
)
SAMPLES = [
    messages.Ping(1, MEMBER, True, 2, 3, [MEMBER]),
    messages.Ack(1, MEMBER, 2, 3, []),
    messages.PingRequest(1, MEMBER, 'b'),
    messages.Vouch(1, MEMBER, 'b'),
    messages.Loads('a', 9, [messages.ServiceLoad(1, b'r')]),
    messages.Locate('a', 1, b'flow'),
    messages.Located('a', 1, b'flow', False),
    messages.Announce('a', 1, 2, [b'x', b'y'], b'bits', True),
    messages.Announced('a', 1, 2, [b'\xff']),
    messages.Execute('a', 1, 2, 3, 4, 2.0, False, 0, b'\x00body', b'r'),
    messages.Executed('a', 1, 2, messages.Outcome.UNKNOWN, b'', b'r'),
    messages.Claim('a', 1, 2, 3),
    messages.Consent('a', 1, 2, 3, True),
    messages.Transfer(
        'a',
        1,
        b'flow',
        [messages.Feed(b'r', 9)],
        [messages.Result(b'r', b'a')],
    ),
    messages.Transferred('a', 1, b'flow'),
    messages.Documents([messages.StoredDocument('rules', 1, 'ana', b'{}')]),
]


@pytest.mark.parametrize('message', SAMPLES, ids=lambda m: type(m).__name__)
def test_round_trip(message: tuple) -> None:
    """Each kind is decoded unchanged, with the newer and the older key."""
    for key in KEYS:
        packed = wire.pack(message, key=key)
        assert wire.unpack(packed, keys=KEYS) == message


def test_every_kind_has_a_sample() -> None:
    """Each kind of the union is tested."""
    assert {type(m).__name__ for m in SAMPLES} == set(
        wire._FIELDS['PeerMessage']
    )


def test_wrong_key_is_refused() -> None:
    """A message under a key that isn't in use raises an error."""
    packed = wire.pack(SAMPLES[0], key=b'z' * 16)
    with pytest.raises(exceptions.SealError):
        wire.unpack(packed, keys=KEYS)


@hypothesis.given(strategies.binary(max_size=120))
def test_garbage_raises_our_errors_only(body: bytes) -> None:
    """Malformed input raises a TeaseldockError, with a valid tag or not."""
    with pytest.raises(exceptions.TeaseldockError):
        wire.unpack(body, keys=KEYS)
    sealed = wire._tag(body, KEYS[0]) + body
    try:
        wire.unpack(sealed, keys=KEYS)
    except exceptions.TeaseldockError:
        pass
