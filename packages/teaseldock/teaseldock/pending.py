"""Keep the state of a request until its final answer."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base
    from teaseldock import exchanges


class Pending:
    """A request without a final answer.

    :ivar key: key of its exchange.
    :ivar deadline: time after which an answer is useless, or infinity.
    :ivar assignee: name of the instance that should run it.
    :ivar incarnation: incarnation of the assignee's agent if forwarded.
    :ivar tried: instances that refused it or failed.
    :ivar repeat_at: time at which a forwarded request is sent again.
    :ivar may_have_run: whether a server got it and did not answer.
    :ivar consented: whether the assignee may have started it.
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
        """Create a request that is assigned to no instance."""
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
