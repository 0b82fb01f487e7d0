"""Limit the bandwidth that a process spends on control messages.

The limit matters when a change affects all processes at once (a configuration
with a thousand routes, or a third of the instances returning from a partition)
and each process has news for every other one. Without it, 195 processes sent
215 to 466 KB/s each on links of 250 KB/s for ten seconds. Heartbeats that
would have confirmed the receipt were queued behind the changes, so that all
changes were sent again, and callers' packets were queued behind both.
"""

from __future__ import annotations

import collections
import enum
import typing

from teaseldock import budget

#: Mean bytes a second that a process may spend on control messages: what the
#: users allow a daemon.
BYTES_PER_S = 10_000.0
#: Bytes that may be sent at once after an idle period: four copies of a
#: configuration of 1,600 routes, so that a change reaches 200 processes in
#: four generations.
BURST_BYTES = 32_000.0
#: Maximum share of the link that control messages take. On 2 Mbit/s the burst
#: is sent within a quarter of a second at full speed, and callers keep seven
#: eighths of the link on average.
LINK_SHARE = 0.125
#: Seconds of that share that may be sent as one burst.
LINK_BURST_S = 0.5
#: Bytes a second, and bytes in one burst, for searching flows and for relay
#: requests on a fast link. A search takes some 700 bytes; after a loss of
#: power there are 280 searches a second, and a caller waits for each.
SEARCH_BYTES_PER_S = 200_000.0
SEARCH_BURST_BYTES = 100_000.0
#: Bytes of a datagram's headers, which also take link capacity.
HEADER_BYTES = 28
#: Link speed in megabits a second below which a process should not read the
#: store for others. A configuration of 1,600 routes arrives as some 300 KB,
#: which takes 50 ms at 50 Mbit/s and 1.2 s at 2 Mbit/s; callers' packets are
#: queued behind it.
MIN_READER_LINK_MBPS = 50.0
#: Link speed in megabits a second assumed if the settings give none.
DEFAULT_LINK_MBPS = 1000.0
_BYTES_PER_MEGABIT = 125_000.0


class Purpose(enum.Enum):
    """The purpose of a datagram between processes."""

    HEARTBEAT = 'heartbeat'
    QUESTION = 'question'
    NOTICE = 'notice'
    CHANGES = 'changes'
    ALERT = 'alert'
    SEARCH = 'search'


#: Share of the burst that must remain for a datagram of a purpose to be sent.
#: Heartbeats are always sent: the fan-out bounds their number, and without
#: them the other processes would take this one for dead. Messages that can be
#: replaced stop first: another process can supply changes, and the next
#: heartbeat repeats a notice.
RESERVES: dict[Purpose, float] = {
    Purpose.ALERT: 0.0,
    Purpose.QUESTION: 0.0,
    Purpose.CHANGES: 0.1,
    Purpose.NOTICE: 0.3,
}


class Share(typing.NamedTuple):
    """The bytes reserved for one purpose, whatever the others send.

    :ivar bytes_per_s: mean rate.
    :ivar burst_bytes: bytes at once after an idle period.
    """

    bytes_per_s: float
    burst_bytes: float


#: Shares that no other purpose can use up. The rest of BYTES_PER_S and
#: BURST_BYTES is available to any purpose. Without shares, heartbeats to
#: hundreds of restarted processes left no bytes for changes for ten seconds,
#: and new flows were sent to servers that had announced that they were
#: leaving. The 3.6 KB/s that are not reserved pay for heartbeats, which take
#: 1.3 to 3.1 KB/s. On the heaviest day heartbeats took 6.3 KB/s, and questions
#: had a share of 500 bytes a second: 40 % of the new flows were placed without
#: any. The share of questions pays for 25 new flows a second with three
#: queries each, of 36 bytes with headers. It was taken from the bytes that are
#: not reserved and from changes. With 800 bytes a second for alerts, some were
#: in force after 2.4 s instead of 1.6 s while half of 73 processes restarted.
SHARES: dict[Purpose, Share] = {
    Purpose.QUESTION: Share(25 * 3 * 36.0, 4000.0),
    Purpose.CHANGES: Share(1200.0, 8000.0),
    Purpose.ALERT: Share(2000.0, 6000.0),
    Purpose.NOTICE: Share(500.0, 4000.0),
}
#: Largest datagram between processes, with headers. A share must hold this
#: many bytes before it allows a datagram, so that it never goes into debt.
MAX_DATAGRAM_BYTES = 1428


class ControlBudget:
    """The bytes that one process may still send, by purpose."""

    def __init__(self, link_mbps: float = DEFAULT_LINK_MBPS) -> None:
        """Create a budget with full buckets.

        :param link_mbps: speed of this instance's link, megabits a second.
        """
        self._slim = link_mbps < MIN_READER_LINK_MBPS
        link_share = LINK_SHARE * link_mbps * _BYTES_PER_MEGABIT
        total = Share(
            min(BYTES_PER_S, link_share),
            min(BURST_BYTES, LINK_BURST_S * link_share),
        )
        self._shares = {
            purpose: _Bucket(
                share.bytes_per_s * total.bytes_per_s / BYTES_PER_S,
                share.burst_bytes * total.burst_bytes / BURST_BYTES,
            )
            for purpose, share in SHARES.items()
        }
        reserved = sum(share.burst_bytes for share in SHARES.values())
        reserved_per_s = sum(share.bytes_per_s for share in SHARES.values())
        self._burst = total.burst_bytes * (1 - reserved / BURST_BYTES)
        self._general = _Bucket(
            total.bytes_per_s * (1 - reserved_per_s / BYTES_PER_S), self._burst
        )
        self._searches = _Bucket(
            min(SEARCH_BYTES_PER_S, link_share),
            min(SEARCH_BURST_BYTES, LINK_BURST_S * link_share),
        )
        self._spent: collections.Counter[str] = collections.Counter()
        self._dry = False

    @property
    def slim(self) -> bool:
        """Tell whether the link is too slow to read the store for others."""
        return self._slim

    @property
    def spent(self) -> collections.Counter[str]:
        """Return the bytes sent by purpose, headers included."""
        return self._spent

    def allows(self, purpose: Purpose, now: float) -> bool:
        """Tell whether a datagram of a purpose may be sent now."""
        if purpose is Purpose.HEARTBEAT:
            return True
        if purpose is Purpose.SEARCH:
            return self._searches.left(now) > 0
        if self._shares[purpose].left(now) >= MAX_DATAGRAM_BYTES:
            return True
        reserve = RESERVES[purpose] * self._burst
        return self._general.left(now) > reserve

    def spend(self, purpose: Purpose, size: int) -> None:
        """Charge a datagram that is sent.

        :param size: its bytes without headers.
        """
        size += HEADER_BYTES
        self._spent[purpose.value] += size
        if purpose is Purpose.SEARCH:
            self._searches.spend(size)
            return
        if purpose is Purpose.HEARTBEAT:
            # Heartbeats are sent even without bytes left. If their debt had no
            # bound, other messages would have only their shares for as long
            # after a storm as it takes to pay it off.
            credit = max(0.0, self._general.tokens + self._burst)
            self._general.spend(min(size, credit))
            return
        share = self._shares[purpose]
        if purpose is Purpose.QUESTION and share.tokens >= MAX_DATAGRAM_BYTES:
            # Load queries are sent all the time, other messages in bursts
            # after a change. Queries leave the general bucket full for those.
            own = min(size, share.tokens)
            share.spend(own)
            self._general.spend(size - own)
            return
        reserve = RESERVES[purpose] * self._burst
        general = min(size, max(0.0, self._general.tokens - reserve))
        own = min(size - general, max(0.0, share.tokens))
        share.spend(own)
        # Bytes sent beyond what is allowed are charged to all purposes.
        self._general.spend(size - own)

    def ran_dry(self, now: float) -> bool:
        """Tell whether the general bucket has just become empty.

        This is reported again only after half of the burst has been refilled:
        a bucket that stays close to empty would otherwise write a log line for
        each datagram.
        """
        left = self._general.left(now)
        if self._dry:
            self._dry = left < 0.5 * self._burst
            return False
        self._dry = left <= 0
        return self._dry


class _Bucket(budget.Budget):
    """A token bucket that exposes its remaining bytes."""

    @property
    def tokens(self) -> float:
        """Return the remaining bytes at the time of the last check."""
        return self._tokens

    def __init__(self, bytes_per_s: float, burst_bytes: float) -> None:
        super().__init__(bytes_per_s=bytes_per_s, burst_bytes=burst_bytes)

    def left(self, now: float) -> float:
        """Return the bytes that may be sent; negative for a debt."""
        self.has_room(now)
        return self._tokens
