"""Hold the state that the components of one agent share."""

from __future__ import annotations

import collections
import itertools
import random
import typing

from teaseldock import budget

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base
    from teaseldock import view


class Keys(typing.NamedTuple):
    """Secret keys of the fleet.

    :ivar seal: keys for messages and challenges, the newest first.
    :ivar flow_hash: key of the hash that maps flows to buckets.
    """

    seal: tuple[bytes, ...]
    flow_hash: bytes


#: Bits of the calls that one incarnation makes; the incarnation, Unix
#: milliseconds of 41 bits, is above them.
_CALL_BITS = 21
_MESSAGE_ID_MASK = 0xFFFF


class Context(typing.NamedTuple):
    """State that the components of an agent share.

    :ivar name: name of the agent's instance.
    :ivar counters: number of events since the start, by name.
    :ivar calls: source of call numbers, unique over all incarnations.
    :ivar budget: budget of control traffic, such as announcements and
        transfers.
    """

    name: str
    view: view.View
    codec: base.Codec
    keys: Keys
    randomness: random.Random
    counters: collections.Counter[str]
    calls: typing.Iterator[int]
    budget: budget.Budget


def _first_call(incarnation: int) -> int:
    """Return the first call number of an incarnation, with 63 bits.

    Servers go on answering what a former process of the instance asked. A
    notification for its call 1 would be the answer to call 1 of this one.
    The lowest 16 bits, from which message identifiers are made, vary too:
    servers recognise copies by them.
    """
    return incarnation << _CALL_BITS | incarnation & _MESSAGE_ID_MASK


def new_context(
    *,
    name: str,
    current: view.View,
    codec: base.Codec,
    keys: Keys,
    randomness: random.Random,
    incarnation: int,
) -> Context:
    """Return a context with empty counters and a full budget.

    :param incarnation: of this process.
    """
    return Context(
        name,
        current,
        codec,
        keys,
        randomness,
        collections.Counter(),
        itertools.count(_first_call(incarnation)),
        budget.Budget(),
    )
