"""Describe a request on its way to a final answer."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base
    from teaseldock import exchanges


class Pending:
    """A request on its way to a final answer.

    :ivar key: of its exchange.
    :ivar assignee: instance that it was given to.
    :ivar tried: instances that refused it.
    :ivar may_have_run: whether a server was given it and didn't answer.
    :ivar consented: whether the instance that has it may have started it.
    """

    __slots__ = (
        'key',
        'exchange',
        'request',
        'weight',
        'deadline',
        'assignee',
        'incarnation',
        'tried',
        'began_at',
        'repeat_at',
        'may_have_run',
        'consented',
    )

    def __init__(
        self,
        key: bytes,
        exchange: exchanges.Exchange,
        request: base.Request,
        weight: float,
        now: float,
    ) -> None:
        """Begin with nobody running it."""
        self.key = key
        self.exchange = exchange
        self.request = request
        self.weight = weight
        self.deadline = now + (request.deadline_s or math.inf)
        self.assignee = ''
        self.incarnation = 0
        self.tried: set[str] = set()
        self.began_at = now
        self.repeat_at = math.inf
        self.may_have_run = False
        self.consented = True
