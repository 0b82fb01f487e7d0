"""Write structured lines to standard output, bounded and without blocking."""

from __future__ import annotations

import collections
import os
import time
import typing

import msgspec

from teaseldock.packets import reporting

#: Lines a second that are written in the long run, and at once. A line takes
#: about 15 us and 250 bytes: at the limit 0.5 % of a core and 75 KB/s.
LINES_PER_S = 300.0
LINES_AT_ONCE = 600.0
#: Lines kept while the reader of the output is slow; more are dropped.
LINES_WAITING = 2000
#: Lines written in one call.
LINES_A_WRITE = 100
#: Seconds between two counts of what was dropped.
SUMMARY_S = 5.0
_ENCODER = msgspec.json.Encoder()


class LineLog(reporting.Reporter):
    """One JSON object a line, with time, process and event."""

    def __init__(self, fd: int, *, now: typing.Callable[[], float]) -> None:
        """Write to a file descriptor, which is set not to block.

        :param fd: where lines go.
        :param now: steady seconds.
        """
        self._fd = fd
        self._now = now
        self._name = ''
        self._tokens = LINES_AT_ONCE
        self._refilled_at = now()
        self._waiting: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        self._dropped = 0
        self._summary_at = now()
        os.set_blocking(fd, False)

    @property
    def dropped(self) -> int:
        """Return lines dropped since the start."""
        return self._dropped

    def name_process(self, name: str) -> None:
        """Add a name to all further lines."""
        self._name = name

    def note(self, event: str, **fields: typing.Any) -> None:
        """Queue one line, or count it as dropped."""
        now = self._now()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(LINES_AT_ONCE, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 or len(self._waiting) >= LINES_WAITING:
            self._dropped += 1
            return
        self._tokens -= 1
        self._append(event, fields, now)

    def _append(
        self, event: str, fields: dict[str, typing.Any], now: float
    ) -> None:
        line = {
            'time': round(time.time(), 4),
            'steady': round(now, 4),
            'process': self._name,
            'event': event,
        }
        line.update(fields)
        self._waiting.append(_ENCODER.encode(line) + b'\n')

    def flush(self) -> None:
        """Write what the output takes now; to be called from a timer."""
        now = self._now()
        if self._dropped and now - self._summary_at >= SUMMARY_S:
            self._summary_at = now
            self._append('lines dropped', {'so_far': self._dropped}, now)
        while self._unwritten or self._waiting:
            if not self._unwritten:
                count = min(LINES_A_WRITE, len(self._waiting))
                self._unwritten = b''.join(
                    self._waiting.popleft() for _ in range(count)
                )
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more. Serving callers goes on;
                # the loss shows in the counter of the metrics.
                self._dropped += len(self._waiting) + 1
                self._waiting.clear()
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]
