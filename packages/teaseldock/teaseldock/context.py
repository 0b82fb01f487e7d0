"""Carry what all parts of one agent's decisions share."""

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
    """Secrets of the fleet.

    :ivar seal: keys for messages and challenges, the newest first.
    :ivar flow_hash: key of the flow hash.
    """

    seal: tuple[bytes, ...]
    flow_hash: bytes


class Context(typing.NamedTuple):
    """What the parts of an agent share.

    :ivar name: instance beside whose server the agent runs.
    :ivar counters: events since the start, by name.
    :ivar calls: numbers for requests, unique within the incarnation.
    :ivar budget: control traffic that announcements and transfers share.
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
    """Return a context with all counts at zero."""
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
