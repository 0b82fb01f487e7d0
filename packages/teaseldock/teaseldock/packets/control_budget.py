"""Bound what a process spends on talking with other processes.

The load it answers: something changes for all at one moment (a configuration
with a thousand routes, a third of the instances back from a partition), and
every process has something to tell to every other one. Sent at once, 195
processes put 215 to 466 KB/s each on links of 250 KB/s for ten seconds;
heartbeats that would have said "I have it" waited behind it, so all of it was
sent again, and packets of callers waited behind both.
"""

from __future__ import annotations

import collections
import enum
import typing

from teaseldock import budget

#: Bytes a second in the mean that a process may spend on control: what the
#: users allow a daemon.
BYTES_PER_S = 10_000.0
#: Bytes that may be sent at once after a quiet time: four copies of a
#: configuration of 1,600 routes, so that a change reaches 200 processes in
#: four generations.
BURST_BYTES = 32_000.0
#: Part of its link that a process spends on control at the most: on 2 Mbit/s
#: the burst is sent within a quarter of a second at full speed, and callers
#: keep seven eighths of the link in the mean.
LINK_SHARE = 0.125
#: Seconds of that part that may be sent at once.
LINK_BURST_S = 0.5
#: Bytes a second, and at once, for finding flows and for errands, on a wide
#: link. A search takes some 700 bytes; 280 a second come after a loss of
#: power, and callers wait for each.
SEARCH_BYTES_PER_S = 200_000.0
SEARCH_BURST_BYTES = 100_000.0
#: Bytes of the headers of a datagram, which take room on the link too.
HEADER_BYTES = 28
#: Megabits a second below which a process should not read the store for
#: others: a configuration of 1,600 routes comes as some 300 KB, 50 ms at 50
#: Mbit/s and 1.2 s at 2, in which callers' packets wait behind it.
MIN_READER_LINK_MBPS = 50.0
#: Megabits a second assumed of a link that the settings don't tell.
UNKNOWN_LINK_MBPS = 1000.0
_BYTES_PER_MEGABIT = 125_000.0


class Purpose(enum.Enum):
    """What a datagram between processes is for."""

    HEARTBEAT = 'heartbeat'
    QUESTION = 'question'
    NOTICE = 'notice'
    CHANGES = 'changes'
    ALERT = 'alert'
    SEARCH = 'search'


#: Part of the burst that must be left for a purpose to be sent. Heartbeats
#: always go: their number is bounded by the fan-out, and without them all
#: others would take this process for dead. What can be had elsewhere or later
#: stops first: changes can be asked of somebody else, a notice is repeated by
#: the next heartbeat.
RESERVES: dict[Purpose, float] = {
    Purpose.ALERT: 0.0,
    Purpose.QUESTION: 0.0,
    Purpose.CHANGES: 0.1,
    Purpose.NOTICE: 0.3,
}


class Share(typing.NamedTuple):
    """What one purpose may send whatever the others do.

    :ivar bytes_per_s: in the mean.
    :ivar burst_bytes: at once, after a quiet time.
    """

    bytes_per_s: float
    burst_bytes: float


#: Shares that no other purpose can use up; what they leave of BYTES_PER_S and
#: BURST_BYTES is for whoever comes first. Without them, heartbeats that greet
#: hundreds of restarted processes left no byte for changes for ten seconds,
#: and new flows reached servers that had said that they leave. Half of the
#: bytes are left: heartbeats take 1.3 to 3.1 KB/s of them, and the questions
#: of 50 new flows a second at a balancer 3.1. With a fifth left, one flow in
#: eight was placed without asking.
SHARES: dict[Purpose, Share] = {
    Purpose.QUESTION: Share(500.0, 4000.0),
    Purpose.CHANGES: Share(2000.0, 8000.0),
    Purpose.ALERT: Share(2000.0, 6000.0),
    Purpose.NOTICE: Share(500.0, 4000.0),
}
#: Largest datagram between processes, with headers: a share must have room for
#: it, so that it never goes into debt by what is allowed.
MAX_DATAGRAM_BYTES = 1428


class ControlBudget:
    """What one process may still send, by purpose."""

    def __init__(self, link_mbps: float = UNKNOWN_LINK_MBPS) -> None:
        """Start with full buckets.

        :param link_mbps: speed of this instance's link, megabits a second.
        """
        self._slim = link_mbps < MIN_READER_LINK_MBPS
        link_share = LINK_SHARE * link_mbps * _BYTES_PER_MEGABIT
        whole = Share(
            min(BYTES_PER_S, link_share),
            min(BURST_BYTES, LINK_BURST_S * link_share),
        )
        self._shares = {
            purpose: _Bucket(
                share.bytes_per_s * whole.bytes_per_s / BYTES_PER_S,
                share.burst_bytes * whole.burst_bytes / BURST_BYTES,
            )
            for purpose, share in SHARES.items()
        }
        kept = sum(share.burst_bytes for share in SHARES.values())
        kept_per_s = sum(share.bytes_per_s for share in SHARES.values())
        self._burst = whole.burst_bytes * (1 - kept / BURST_BYTES)
        self._general = _Bucket(
            whole.bytes_per_s * (1 - kept_per_s / BYTES_PER_S), self._burst
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
        """Return bytes sent by purpose, headers included."""
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
        """Count a datagram that is sent.

        :param size: its bytes without headers.
        """
        size += HEADER_BYTES
        self._spent[purpose.value] += size
        if purpose is Purpose.SEARCH:
            self._searches.spend(size)
            return
        if purpose is Purpose.HEARTBEAT:
            self._general.spend(size)
            return
        reserve = RESERVES[purpose] * self._burst
        general = min(size, max(0.0, self._general.tokens - reserve))
        own = min(size - general, max(0.0, self._shares[purpose].tokens))
        self._shares[purpose].spend(own)
        # What is sent though it was not allowed is everybody's debt.
        self._general.spend(size - own)

    def ran_dry(self, now: float) -> bool:
        """Tell once, until it has recovered, that the general bucket is empty.

        It has recovered when half of the burst is there again: a bucket that
        hovers around empty would otherwise write a line for each datagram.
        """
        left = self._general.left(now)
        if self._dry:
            self._dry = left < 0.5 * self._burst
            return False
        self._dry = left <= 0
        return self._dry


class _Bucket(budget.Budget):
    """A token bucket that tells what is left."""

    @property
    def tokens(self) -> float:
        """Return the bytes that were left when last asked."""
        return self._tokens

    def __init__(self, bytes_per_s: float, burst_bytes: float) -> None:
        super().__init__(bytes_per_s=bytes_per_s, burst_bytes=burst_bytes)

    def left(self, now: float) -> float:
        """Return the bytes that may be sent; negative for a debt."""
        self.has_room(now)
        return self._tokens
