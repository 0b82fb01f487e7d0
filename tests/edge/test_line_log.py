"""Test that logging is limited in rate and never blocks."""

from __future__ import annotations

import json
import os

from teaseldock_edge import line_log


class Clock:
    """Monotonic clock that a test sets."""

    def __init__(self) -> None:
        """Set the time to zero."""
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


def read_lines(read_fd: int) -> list[dict]:
    """Return all lines that can be read from a pipe."""
    os.set_blocking(read_fd, False)
    content = b''
    while True:
        try:
            part = os.read(read_fd, 65536)
        except BlockingIOError:
            break
        if not part:
            break
        content += part
    return [json.loads(line) for line in content.splitlines()]


def test_a_line_holds_its_inputs() -> None:
    """A line is a JSON object with event, process, both clocks and fields."""
    read_fd, write_fd = os.pipe()
    log = line_log.LineLog(write_fd, now=Clock())
    log.name_process('front-1')
    log.note('placed', flow='a>b', target='i-1')
    log.flush()
    line = read_lines(read_fd)[0]
    assert line['event'] == 'placed' and line['process'] == 'front-1'
    assert line['flow'] == 'a>b' and 'time' in line and 'steady' in line


def test_a_burst_is_cut_and_counted() -> None:
    """Lines above the rate limit are dropped and counted.

    Without a limit, thousands of refusals in one second each write a line:
    logging uses the CPU, and the latency of callers rises.
    """
    read_fd, write_fd = os.pipe()
    clock = Clock()
    log = line_log.LineLog(write_fd, now=clock)
    for _ in range(5000):
        log.note('refused')
    assert log.dropped == 5000 - line_log.LINES_AT_ONCE
    clock.now = line_log.SUMMARY_S + 1
    log.flush()
    lines = read_lines(read_fd)
    assert lines[-1]['event'] == 'lines dropped'
    assert lines[-1]['so_far'] == log.dropped


def test_an_output_that_nobody_reads_does_not_block() -> None:
    """A full output pipe does not block the process.

    With a blocking write the process serves no packets while the reader of
    its log is stopped.
    """
    read_fd, write_fd = os.pipe()
    clock = Clock()
    log = line_log.LineLog(write_fd, now=clock)
    for _ in range(100):
        clock.now += 1
        for _ in range(300):
            log.note('placed', text='x' * 200)
        log.flush()
    assert log.dropped > 0
    os.set_blocking(read_fd, False)
    assert os.read(read_fd, 1 << 20)
    log.flush()
    assert os.read(read_fd, 1 << 20)


def test_a_closed_output_is_no_fault() -> None:
    """A closed output raises no exception; the line counts as dropped."""
    read_fd, write_fd = os.pipe()
    log = line_log.LineLog(write_fd, now=Clock())
    os.close(read_fd)
    log.note('placed')
    log.flush()
    assert log.dropped
