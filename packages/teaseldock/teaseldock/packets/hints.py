"""Remember where flows are; what is true lies with the backend servers."""

from __future__ import annotations

import collections
import enum
import typing

from teaseldock.packets import control

if typing.TYPE_CHECKING:
    from teaseldock.packets import searching

#: Flows of which a balancer remembers where they are; about 500 bytes each.
MAX_HINTS = 40_000


class HintState(enum.Enum):
    """What a balancer believes of a flow."""

    OPENING = 'opening'
    HINTED = 'hinted'
    SEARCHED = 'searched'
    LOST = 'lost'


class Hint:
    """Where a balancer sends the packets of one flow.

    :ivar service: the service that new flows of its address go to. An older
        flow may be at another one, see :mod:`teaseldock.packets.holdings`.
    :ivar tag: of the service whose agents take the flow's packets.
    :ivar state: what is believed of it.
    :ivar host: instance that its packets go to, if that is known.
    :ivar tried: hosts that an opening was sent to without an answer so far.
    :ivar denied: hosts whose server or agent said that it isn't there.
    :ivar search: the search under way, if any.
    """

    __slots__ = (
        'service',
        'tag',
        'state',
        'host',
        'tried',
        'denied',
        'search',
    )

    def __init__(self, service: str, state: HintState) -> None:
        """Start without an instance."""
        self.service = service
        self.tag = control.service_tag(service)
        self.state = state
        self.host: str | None = None
        self.tried: list[str] = []
        self.denied: set[str] = set()
        self.search: searching.Search | None = None


class Hints:
    """Hints by flow; the oldest go first."""

    def __init__(self) -> None:
        """Start empty."""
        self._hints: collections.OrderedDict[bytes, Hint] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of flows remembered."""
        return len(self._hints)

    def get(self, flow: bytes) -> Hint | None:
        """Return the hint of a flow, or None."""
        return self._hints.get(flow)

    def add(self, flow: bytes, service: str, state: HintState) -> Hint:
        """Return a new hint for a flow, in place of any older one."""
        hint = Hint(service, state)
        self._hints[flow] = hint
        self._hints.move_to_end(flow)
        if len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)
        return hint

    def drop(self, flow: bytes) -> None:
        """Forget a flow."""
        self._hints.pop(flow, None)
