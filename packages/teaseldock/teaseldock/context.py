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


class Context(typing.NamedTuple):
    """State that the components of an agent share.

    :ivar name: name of the agent's instance.
    :ivar counters: number of events since the start, by name.
    :ivar calls: source of call numbers, unique within the incarnation.
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


def new_context(
    *,
    name: str,
    current: view.View,
    codec: base.Codec,
    keys: Keys,
    randomness: random.Random,
) -> Context:
    """Return a context with empty counters and a full budget."""
    return Context(
        name,
        current,
        codec,
        keys,
        randomness,
        collections.Counter(),
        itertools.count(1),
        budget.Budget(),
    )
