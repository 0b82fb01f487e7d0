"""Pace the datagrams of a balancer to the speed of a slow link.

Without it, datagrams leave in the order of arrival. Openings wait behind the
packets of uploads, or are dropped, so that their callers have to repeat them.
Packets of uploads that wait longer than 200 ms are sent again, which fills the
link further.
"""

from __future__ import annotations

import collections
import typing

from teaseldock.packets import control
from teaseldock.packets import control_budget
from teaseldock.packets import reporting

#: Largest datagram without headers, in bytes, that is sent before data of
#: uploads. Openings, requests and most control messages are smaller; a full
#: packet of an upload has 1,242 bytes.
SMALL_BYTES = 400
#: Share of the link's speed at which datagrams are sent. The rest is left to
#: what doesn't pass through the queue: resets to callers, and calls to the
#: store. Without it, those would build up a queue at the link itself.
PACE_SHARE = 0.95
#: Seconds by which datagrams may be handed to the link before it can send
#: them. A timer is up to 1 ms late, and the event loop serves a batch of
#: datagrams before it; the link would be idle meanwhile.
AHEAD_S = 0.003
#: Seconds of the link's capacity that may wait. Callers abandon an opening
#: after 1.4 s, and uploads are refused long before this bound.
MAX_DELAY_S = 1.0
#: Seconds after which a waiting datagram is dropped. Only a pause of the
#: process makes a datagram this old; callers abandon an opening after 1.4 s.
MAX_WAIT_S = 1.4
#: Delays in seconds at which the link counts as full, and as free again.
#: Callers repeat a packet after 200 ms.
FULL_DELAY_S = 0.2
FREE_DELAY_S = 0.02
_BYTES_PER_MEGABIT = 125_000.0


class DataRange(typing.NamedTuple):
    """The data or the end of a flow's data that a packet carries.

    :ivar flow: key of the flow.
    :ivar position: sequence number and length, in any encoding.
    """

    flow: bytes
    position: bytes


class _Waiting(typing.NamedTuple):
    """A datagram that waits.

    :ivar data: its data, or None if its order within a flow doesn't matter.
    """

    datagram: bytes
    host: str
    since: float
    data: DataRange | None

    @property
    def size(self) -> int:
        """Return its bytes with headers."""
        return len(self.datagram) + control_budget.HEADER_BYTES


class SendQueue:
    """The datagrams that wait for the link of one process.

    Small datagrams go first. Data of a flow stays in order: an agent takes
    data that precedes the newest of its flow for a repetition.
    """

    def __init__(
        self,
        link_mbps: float,
        *,
        data_range: typing.Callable[[bytes], DataRange | None],
        reporter: reporting.Reporter,
        meters: reporting.Meters,
    ) -> None:
        """Create an empty queue for an idle link.

        :param link_mbps: speed of the link, megabits a second.
        :param data_range: returns the data that a caller's packet carries, or
            None.
        """
        self._bytes_per_s = PACE_SHARE * link_mbps * _BYTES_PER_MEGABIT
        self._max_bytes = MAX_DELAY_S * self._bytes_per_s
        self._data_range = data_range
        self._reporter = reporter
        self._meters = meters
        self._small: collections.deque[_Waiting] = collections.deque()
        self._large: collections.deque[_Waiting] = collections.deque()
        self._waiting_bytes = 0
        # Positions of the data that waits, by host and flow.
        self._positions: dict[tuple[str, bytes], set[bytes]] = {}
        # Time at which the link has sent what was handed to it.
        self._link_free_at = 0.0
        self._full_since: float | None = None
        # Flows whose loss of data has been reported since the link was free.
        self._reported: set[bytes] = set()

    def __len__(self) -> int:
        """Return the number of datagrams that wait."""
        return len(self._small) + len(self._large)

    def offer(self, datagram: bytes, host: str, now: float) -> bool:
        """Tell whether to send a datagram at once; otherwise, take it.

        A datagram that is taken is returned by :meth:`release` later, or
        dropped.
        """
        if not self._waiting_bytes and self._link_free_at <= now + AHEAD_S:
            self._charge(len(datagram) + control_budget.HEADER_BYTES, now)
            return True
        self._enqueue(datagram, host, now)
        return False

    def release(self, now: float) -> list[tuple[str, bytes]]:
        """Remove and return the datagrams to send now, with their hosts."""
        released = []
        latest = now + AHEAD_S
        while self._waiting_bytes and self._link_free_at <= latest:
            waiting = (self._small or self._large).popleft()
            self._forget(waiting)
            waited_s = now - waiting.since
            if waited_s > MAX_WAIT_S:
                self._note_dropped(waiting, 'too old', now)
                continue
            self._charge(waiting.size, now)
            self._meters.time('link_wait', 1000 * waited_s)
            released.append((waiting.host, waiting.datagram))
        self._note_delay(now)
        return released

    def next_at(self, now: float) -> float | None:
        """Return when to call :meth:`release`, or None if nothing waits."""
        if not self._waiting_bytes:
            return None
        return max(now, self._link_free_at - AHEAD_S)

    def delay_s(self, now: float) -> float:
        """Return the seconds it will take to send what waits."""
        ahead_s = max(0.0, self._link_free_at - now)
        return ahead_s + self._waiting_bytes / self._bytes_per_s

    def _charge(self, size: int, now: float) -> None:
        # Time in which the link was idle is lost: after a pause nothing is
        # sent faster than the link.
        start = max(self._link_free_at, now)
        self._link_free_at = start + size / self._bytes_per_s

    def _enqueue(self, datagram: bytes, host: str, now: float) -> None:
        data = None
        small = len(datagram) <= SMALL_BYTES
        is_packet = datagram[1] == control.KIND_PACKET
        if is_packet and (self._positions or not small):
            data = self._data_range(datagram[control.HEADER_BYTES :])
        if data is not None:
            positions = self._positions.get((host, data.flow))
            if positions is not None and data.position in positions:
                self._meters.counters['link_repeats_dropped'] += 1
                return
            if small and positions is None:
                data = None
        waiting = _Waiting(datagram, host, now, data)
        ordered = data is not None or not small
        if not self._make_room(waiting, now, ordered=ordered):
            self._note_dropped(waiting, 'queue full', now)
            return
        (self._large if ordered else self._small).append(waiting)
        self._waiting_bytes += waiting.size
        if data is not None:
            self._positions.setdefault((host, data.flow), set()).add(
                data.position
            )
        self._meters.counters['link_queued'] += 1
        self._note_delay(now)

    def _make_room(
        self, waiting: _Waiting, now: float, *, ordered: bool
    ) -> bool:
        """Drop the newest large datagrams if a small one needs room.

        :returns: whether the datagram fits.
        """
        limit = self._max_bytes - waiting.size
        while self._waiting_bytes > limit and self._large and not ordered:
            displaced = self._large.pop()
            self._forget(displaced)
            self._note_dropped(displaced, 'displaced', now)
        return self._waiting_bytes <= limit

    def _forget(self, waiting: _Waiting) -> None:
        """Update the totals for a datagram that no longer waits."""
        self._waiting_bytes -= waiting.size
        if waiting.data is None:
            return
        key = waiting.host, waiting.data.flow
        positions = self._positions[key]
        positions.discard(waiting.data.position)
        if not positions:
            del self._positions[key]

    def _note_dropped(self, waiting: _Waiting, why: str, now: float) -> None:
        """Count a lost datagram; report a flow once until the link is free.

        An upload loses up to 34 packets at once; a line for each would use up
        the rate of lines of the process.
        """
        self._meters.counters['link_dropped'] += 1
        if waiting.data is None or waiting.data.flow in self._reported:
            return
        self._reported.add(waiting.data.flow)
        self._reporter.note(
            'link dropped',
            flow=reporting.flow_text(waiting.data.flow),
            host=waiting.host,
            why=why,
            waited_ms=round(1000 * (now - waiting.since)),
            delay_ms=round(1000 * self.delay_s(now)),
            waiting=len(self),
        )

    def _note_delay(self, now: float) -> None:
        """Report that the link became full, or free again."""
        delay_s = self.delay_s(now)
        if delay_s < FREE_DELAY_S:
            self._reported.clear()
        if self._full_since is None:
            if delay_s <= FULL_DELAY_S:
                return
            self._full_since = now
            self._report_state('link full', delay_s)
        elif delay_s < FREE_DELAY_S:
            lasted_s = round(now - self._full_since, 3)
            self._full_since = None
            self._report_state('link free', delay_s, lasted_s=lasted_s)

    def _report_state(
        self, event: str, delay_s: float, **fields: float
    ) -> None:
        self._reporter.note(
            event,
            delay_ms=round(1000 * delay_s),
            waiting=len(self),
            waiting_bytes=self._waiting_bytes,
            flows=len(self._positions),
            **fields,
        )


def is_needed(link_mbps: float) -> bool:
    """Tell whether a balancer on a link of this speed needs a queue."""
    return link_mbps < control_budget.MIN_READER_LINK_MBPS
