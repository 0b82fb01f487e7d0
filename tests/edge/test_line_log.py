"""Test that log lines are bounded and never block."""

from __future__ import annotations

import json
import os

from teaseldock_edge import line_log


class Clock:
    """Steady seconds that a test sets."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


def read_lines(read_fd: int) -> list[dict]:
    """Return all lines written so far."""
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
    """Event, process, both clocks and fields stand in one JSON object."""
    read_fd, write_fd = os.pipe()
    log = line_log.LineLog(write_fd, now=Clock())
    log.name_process('front-1')
    log.note('placed', flow='a>b', target='i-1')
    log.flush()
    line = read_lines(read_fd)[0]
    assert line['event'] == 'placed' and line['process'] == 'front-1'
    assert line['flow'] == 'a>b' and 'time' in line and 'steady' in line


def test_a_burst_is_cut_and_counted() -> None:
    """Logging takes the processor while callers wait.

    Symptom: latency rises with the number of refusals.
    Events: thousands of decisions in one second.
    Cause: each wrote a line.
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
    """The process stands still because its log is not read.

    Symptom: no packet is served while the log's reader is stopped.
    Events: the pipe is full.
    Cause: the write waited.
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
    """Serving goes on after the log's reader has gone."""
    read_fd, write_fd = os.pipe()
    log = line_log.LineLog(write_fd, now=Clock())
    os.close(read_fd)
    log.note('placed')
    log.flush()
    assert log.dropped
