"""Issue and check the Echo values that bind a request to one process."""

from __future__ import annotations

import hashlib
import hmac
import struct
import typing

from teaseldock import exceptions

#: Seconds for which an Echo value is valid; RFC 7252 EXCHANGE_LIFETIME.
CHALLENGE_LIFETIME_S = 247.0
_LAYOUT = struct.Struct('!IQIQ')
_TAG_BYTES = 8
#: Bytes of an Echo value; RFC 9175 allows 1 to 40.
CHALLENGE_BYTES = _LAYOUT.size + _TAG_BYTES


class Challenge(typing.NamedTuple):
    """Contents of an Echo value.

    :ivar holder: number of the instance that issued it, see
        :func:`teaseldock.load.instance_number`.
    :ivar incarnation: incarnation of that instance's agent; one per start.
    :ivar issued_s: issue time by the issuer's clock, seconds, rounded down.
    :ivar nonce: unique within one incarnation.
    """

    holder: int
    incarnation: int
    issued_s: int
    nonce: int


def _tag(key: bytes, flow_key: bytes, head: bytes) -> bytes:
    return hashlib.blake2b(
        head + flow_key, key=key, digest_size=_TAG_BYTES
    ).digest()


def issue(challenge: Challenge, flow_key: bytes, *, key: bytes) -> bytes:
    """Return the Echo value of a challenge for one flow."""
    head = _LAYOUT.pack(*challenge)
    return head + _tag(key, flow_key, head)


def read(
    value: bytes, flow_key: bytes, *, keys: typing.Sequence[bytes]
) -> Challenge:
    """Return the contents of an Echo value that was issued to a flow.

    :param keys: keys in use, the newest first.
    :raises ChallengeError: if the value is forged, truncated, or issued to
        another flow.
    """
    head = value[: _LAYOUT.size]
    given = value[_LAYOUT.size :]
    for key in keys:
        if len(value) == CHALLENGE_BYTES and hmac.compare_digest(
            given, _tag(key, flow_key, head)
        ):
            return Challenge(*_LAYOUT.unpack(head))
    raise exceptions.ChallengeError(
        'Echo',
        'the value was not issued to this flow',
        remedy='send the request without it to get a new one',
    )
