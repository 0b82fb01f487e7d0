"""Store likely locations of flows; backend servers are authoritative."""

from __future__ import annotations

import collections
import enum
import typing

from teaseldock.packets import control
from teaseldock.packets import flow_numbers

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet
    from teaseldock.packets import searching

#: Seconds after the first copy of an opening from which another one counts as
#: that of a new flow: callers give up an opening after 1.4 s, and a copy may
#: wait while a process is paused.
OPENING_TTL_S = 10.0
#: Seconds without a packet after which the location of a flow is unknown
#: again: other balancers may have opened further flows from its port since.
IDLE_HINT_TTL_S = 15.0
#: Seconds for which hosts' denials of one flow, and the verdict that it is
#: lost, are used without a new search; callers give up after 12 s.
DENIAL_TTL_S = 15.0
#: Maximum number of hints that a balancer stores; about 500 bytes each.
MAX_HINTS = 40_000


class HintState(enum.Enum):
    """The state of a flow as a balancer assumes it."""

    OPENING = 'opening'
    HINTED = 'hinted'
    SEARCHED = 'searched'
    LOST = 'lost'


class Denials:
    """Hosts that don't hold the flow of certain packets.

    They say nothing about another flow from the same port, which a host may
    hold although it denied the former one.
    """

    def __init__(self, item: packet.Packet, now: float) -> None:
        """Create an empty set of denials for the flow of a packet."""
        self._numbers = flow_numbers.of_packet(item)
        self._began = now
        self.hosts: set[str] = set()

    def cover(self, item: packet.Packet, now: float) -> bool:
        """Return whether they hold for the flow of a packet."""
        if now - self._began >= DENIAL_TTL_S:
            return False
        return self._numbers.include(item)


class Hint:
    """Where a balancer sends the packets of one flow.

    :ivar service: service that new flows of its address go to. An older flow
        may be at another one, see :mod:`teaseldock.packets.holdings`.
    :ivar tag: tag of the service whose agents accept the flow's packets.
    :ivar state: assumed state of the flow.
    :ivar host: instance that its packets go to, or None.
    :ivar tried: hosts that an opening was sent to without an answer so far.
    :ivar denied: hosts whose server or agent has returned the opening. One of
        them may have accepted another copy, so this proves nothing about an
        open flow.
    :ivar search: the search in progress, or None.
    :ivar seen_at: time of the newest packet, seconds.
    :ivar overflowed: whether it went to another service than its route's
        weights chose, see :mod:`teaseldock.packets.overflow`.
    :ivar overflow_forbidden: whether it must stay at its service: a server may
        have accepted an earlier copy, or it has returned from an overflow.
    :ivar opening_sequence: sequence number of the opening, if the balancer has
        seen it.
    :ivar opened_at: time of the first copy of the opening, seconds.
    """

    __slots__ = (
        'service',
        'tag',
        'state',
        'host',
        'tried',
        'denied',
        'search',
        'seen_at',
        '_denials',
        '_lost',
        'overflowed',
        'overflow_forbidden',
        'opening_sequence',
        'opened_at',
    )

    def __init__(self, service: str, state: HintState) -> None:
        """Create a hint without an instance."""
        self.service = service
        self.tag = control.service_tag(service)
        self.state = state
        self.host: str | None = None
        self.tried: list[str] = []
        self.denied: set[str] = set()
        self.search: searching.Search | None = None
        self.seen_at = 0.0
        self._denials: Denials | None = None
        self._lost: Denials | None = None
        self.overflowed = False
        self.overflow_forbidden = False
        self.opening_sequence = 0
        self.opened_at = 0.0

    @property
    def may_overflow(self) -> bool:
        """Return whether its opening may go to another service.

        Only if no server can have accepted the opening: it was sent to no
        target yet, or the only target has returned it.
        """
        if self.overflow_forbidden or self.overflowed:
            return False
        return self.host is None or self.host in self.denied

    def expired(self, now: float) -> bool:
        """Return whether too much time has passed to rely on the hint."""
        return now - self.seen_at >= IDLE_HINT_TTL_S

    def note_denial(self, item: packet.Packet, host: str, now: float) -> None:
        """Record that a host doesn't hold the flow of a packet."""
        if self._denials is None or not self._denials.cover(item, now):
            self._denials = Denials(item, now)
        self._denials.hosts.add(host)

    def denials(self, item: packet.Packet, now: float) -> set[str]:
        """Return the hosts that don't hold the flow of a packet."""
        if self._denials is None or not self._denials.cover(item, now):
            return set()
        return self._denials.hosts

    def declare_lost(self, item: packet.Packet, now: float) -> None:
        """Record that no host holds the flow of a packet."""
        self.state = HintState.LOST
        self._lost = Denials(item, now)

    def is_lost(self, item: packet.Packet, now: float) -> bool:
        """Return whether no host holds the flow of a packet.

        Another balancer may have opened a new flow from the same port since.
        """
        return (
            self.state is HintState.LOST
            and self._lost is not None
            and self._lost.cover(item, now)
        )

    def precedes(self, opening: packet.Packet, now: float) -> bool:
        """Return whether an opening begins another flow than this one.

        Callers use ports again. If such an opening counted as a copy of the
        former one, it would go to the service that its route named then.
        """
        if self.state is not HintState.OPENING:
            return False
        return (
            self.opening_sequence != opening.sequence
            or now - self.opened_at >= OPENING_TTL_S
        )

    def at_service(self, service: str) -> Hint:
        """Return a hint of the same flow at another service."""
        other = Hint(service, self.state)
        other.tried = self.tried
        other.denied = self.denied
        return other

    def move_to(self, service: str, *, overflowed: bool) -> None:
        """Change the service; a flow that returns must not overflow again.

        :param overflowed: whether the service is not the one that the weights
            chose.
        """
        self.service = service
        self.tag = control.service_tag(service)
        self.overflowed = overflowed
        if not overflowed:
            self.overflow_forbidden = True


class Hints:
    """Hints by flow; the oldest are evicted first."""

    def __init__(self) -> None:
        """Create an empty set of hints."""
        self._hints: collections.OrderedDict[bytes, Hint] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of hints."""
        return len(self._hints)

    def get(self, flow: bytes) -> Hint | None:
        """Return the hint of a flow, or None."""
        return self._hints.get(flow)

    def add(
        self,
        flow: bytes,
        service: str,
        state: HintState,
        *,
        now: float,
    ) -> Hint:
        """Replace the hint of a flow by a new one and return it."""
        hint = Hint(service, state)
        hint.seen_at = now
        self._hints[flow] = hint
        self._hints.move_to_end(flow)
        if len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)
        return hint

    def add_opening(
        self, item: packet.Packet, service: str, now: float
    ) -> Hint:
        """Replace the hint of a flow by one for its first opening packet."""
        hint = self.add(item.flow, service, HintState.OPENING, now=now)
        hint.opening_sequence = item.sequence
        hint.opened_at = now
        return hint

    def drop(self, flow: bytes) -> None:
        """Remove the hint of a flow."""
        self._hints.pop(flow, None)
