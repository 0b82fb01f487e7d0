"""Event loop for sockets, timers and signals on one thread.

The packet programs use this instead of the tornado loop. Importing tornado
with its HTTP client and server takes 25 MB and 125 ms; importing this module
with the HTTP parser takes 13 MB and 35 ms. An agent has little else in memory,
and after a power failure the import delays the return of service.
"""

from __future__ import annotations

import heapq
import itertools
import os
import selectors
import signal
import time
import typing

Callback = typing.Callable[[], None]


class Timer:
    """A scheduled callback that can be cancelled."""

    def __init__(self, callback: Callback) -> None:
        """Create a timer for a callback."""
        self._callback: Callback | None = callback

    def cancel(self) -> None:
        """Prevent the callback from being called."""
        self._callback = None

    def fire(self) -> None:
        """Call the callback unless the timer is cancelled."""
        if self._callback is not None:
            self._callback()


class Reactor:
    """Event loop that calls back for ready sockets, timers and signals."""

    def __init__(self, on_fault: typing.Callable[[Exception], None]) -> None:
        """Create a loop; :meth:`run` starts it.

        :param on_fault: called with each exception that a callback raises. One
            bad packet or timer must not end the process: the packets of all
            other flows would be lost until it has restarted.
        """
        self._on_fault = on_fault
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._signals: dict[int, Callback] = {}
        self._running = False
        self._wake_read_fd, self._wake_write_fd = os.pipe()
        os.set_blocking(self._wake_read_fd, False)
        os.set_blocking(self._wake_write_fd, False)
        self._selector.register(
            self._wake_read_fd, selectors.EVENT_READ, self._on_signal_bytes
        )

    @staticmethod
    def now() -> float:
        """Return seconds of a monotonic clock that includes suspended time.

        ``time.monotonic`` stops while an instance is suspended: after it
        resumes, the process could not detect that its view is seconds old.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def on_signal(self, number: int, callback: Callback) -> None:
        """Call a function from the loop after a signal."""
        self._signals[number] = callback
        signal.set_wakeup_fd(self._wake_write_fd, warn_on_full_buffer=False)
        signal.signal(number, lambda *_: None)

    def _on_signal_bytes(self, _: int) -> None:
        for number in os.read(self._wake_read_fd, 64):
            callback = self._signals.get(number)
            if callback is not None:
                # Its byte is read: a fault here must not lose the next signal.
                self._call_guarded(callback)

    def watch(
        self,
        fileobj: typing.Any,
        callback: typing.Callable[[int], None],
        *,
        writable: bool = False,
    ) -> None:
        """Call back when a file object is readable, or also when writable.

        A second call for the same file object replaces the first.

        :param fileobj: socket or other object with ``fileno``.
        :param callback: called with the ready events of :mod:`selectors`.
        :param writable: whether to call back also when it is writable.
        """
        events = selectors.EVENT_READ
        if writable:
            events |= selectors.EVENT_WRITE
        if fileobj.fileno() in self._selector.get_map():
            self._selector.modify(fileobj, events, callback)
            return
        self._selector.register(fileobj, events, callback)

    def unwatch(self, fileobj: typing.Any) -> None:
        """Stop watching a file object."""
        if fileobj.fileno() in self._selector.get_map():
            self._selector.unregister(fileobj)

    def after(self, seconds: float, callback: Callback) -> Timer:
        """Schedule one callback after a delay."""
        timer = Timer(callback)
        due = self.now() + seconds
        heapq.heappush(self._timers, (due, next(self._sequence), timer))
        return timer

    def stop(self) -> None:
        """Make :meth:`run` return after the ready callbacks and due timers."""
        self._running = False

    def run(self) -> None:
        """Process events until :meth:`stop` is called."""
        self._running = True
        while self._running:
            for key, events in self._selector.select(self._select_timeout()):
                self._call_guarded(key.data, events)
            self._fire_timers()

    def close(self) -> None:
        """Close the selector and the wake-up pipe, but no watched socket."""
        self._selector.close()
        os.close(self._wake_read_fd)
        os.close(self._wake_write_fd)

    def _select_timeout(self) -> float | None:
        if not self._timers:
            return None
        return max(0.0, self._timers[0][0] - self.now())

    def _fire_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            self._call_guarded(timer.fire)

    def _call_guarded(
        self, callback: typing.Callable, *arguments: object
    ) -> None:
        try:
            callback(*arguments)
        except Exception as error:
            self._on_fault(error)
