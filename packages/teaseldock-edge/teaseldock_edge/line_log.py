"""Write structured log lines at a limited rate and without blocking."""

from __future__ import annotations

import collections
import os
import time
import typing

import msgspec

from teaseldock import decoding
from teaseldock.packets import reporting

#: Rate and burst size of the token bucket that limits lines. A line takes
#: about 15 us and 250 bytes: at this rate 0.5 % of a core and 75 KB/s.
LINES_PER_S = 300.0
BURST_LINES = 600.0
#: Largest queue of lines while the output is slow; further lines are dropped.
MAX_QUEUED_LINES = 2000
#: Lines written by one system call.
LINES_PER_WRITE = 100
#: Seconds between two log lines with the number of dropped lines.
SUMMARY_INTERVAL_S = 5.0
#: Largest line. Lines quote what other writers publish, up to a megabyte, and
#: may wait by the thousand.
MAX_LINE_BYTES = 8192
#: Characters of each field in a line that is too long, or can't be encoded.
_SHORT_FIELD_CHARS = 200
_ENCODER = msgspec.json.Encoder()


def _encode(line: dict[str, typing.Any]) -> bytes:
    """Encode a line; shorten the fields if it can't be written as it is.

    It raises nothing: decisions log midway, and would not be completed.
    """
    try:
        encoded = _ENCODER.encode(line)
    except decoding.UNDECODABLE + (TypeError,):
        encoded = b''
    if 0 < len(encoded) <= MAX_LINE_BYTES:
        return encoded
    short = {
        name: ascii(value)[:_SHORT_FIELD_CHARS] for name, value in line.items()
    }
    return _ENCODER.encode(short | {'shortened': True})


class LineLog(reporting.Reporter):
    """Log with one JSON object per line: time, process, event and fields."""

    def __init__(self, fd: int, *, now: typing.Callable[[], float]) -> None:
        """Create a log and set its file descriptor to non-blocking.

        :param fd: file descriptor that lines are written to.
        :param now: returns seconds of a monotonic clock.
        """
        self._fd = fd
        self._now = now
        self._name = ''
        self._tokens = BURST_LINES
        self._refilled_at = now()
        self._waiting: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        self._dropped = 0
        self._summary_at = now()
        os.set_blocking(fd, False)

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the start."""
        return self._dropped

    def name_process(self, name: str) -> None:
        """Set the process name in all further lines."""
        self._name = name

    def note(self, event: str, **fields: typing.Any) -> None:
        """Queue one line; drop and count it above the limits."""
        now = self._now()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 or len(self._waiting) >= MAX_QUEUED_LINES:
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
        self._waiting.append(_encode(line) + b'\n')

    def flush(self) -> None:
        """Write queued lines until the output would block.

        A timer must call this regularly.
        """
        now = self._now()
        if self._dropped and now - self._summary_at >= SUMMARY_INTERVAL_S:
            self._summary_at = now
            self._append('lines dropped', {'so_far': self._dropped}, now)
        while self._unwritten or self._waiting:
            if not self._unwritten:
                count = min(LINES_PER_WRITE, len(self._waiting))
                self._unwritten = b''.join(
                    self._waiting.popleft() for _ in range(count)
                )
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed. The process continues to serve; the
                # metrics count the dropped lines.
                self._dropped += len(self._waiting) + 1
                self._waiting.clear()
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]
