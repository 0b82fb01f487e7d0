"""Test the table of failed and delayed requests by cause."""

from __future__ import annotations

import json
import pathlib

from tools import explain


def _log_text(at: float, event: str, **fields: object) -> str:
    """Return a log line with a time and a name before its JSON."""
    line = {'steady': 5.0, 'process': 'agent-1', 'event': event, **fields}
    return f'  {at} agent-1 {json.dumps(line)}'


def _log_line(at: float, event: str, **fields: object) -> explain.Line:
    """Return a parsed log line."""
    line = explain.read_line(_log_text(at, event, **fields))
    assert line is not None
    return line


def test_lines_are_read_with_and_without_a_number_before_them() -> None:
    """Invalid lines are skipped."""
    bare = json.dumps({'steady': 7.5, 'process': 'b', 'event': 'started'})
    assert explain.read_line(bare).at == 7.5
    assert explain.read_line(_log_text(3.25, 'started')).at == 3.25
    assert explain.read_line('Traceback (most recent call last):') is None
    assert explain.read_line('3.0 agent-1 {"steady": ') is None


def test_one_request_counts_once_for_each_cause() -> None:
    """A loss counts flows, not lines, and has the earliest line."""
    found = explain.losses(
        [
            _log_line(9.0, 'request failed', flow='a', why='no answer'),
            _log_line(8.0, 'request failed', flow='b', why='no answer'),
            _log_line(8.5, 'request failed', flow='b', why='no answer'),
            _log_line(7.0, 'flow lost', flow='c'),
        ]
    )
    assert [(item.cause, item.requests) for item in found] == [
        ('request failed: no answer', 2),
        ('flow lost', 1),
    ]
    assert found[0].first.fields['flow'] == 'b'


def test_a_full_link_is_a_cause() -> None:
    """Guards against uploads that a slow link delays without a cause.

    Refused uploads and dropped data count by flow; the states of the link name
    no request.
    """
    found = explain.losses(
        [
            _log_line(5.0, 'link full', delay_ms=210),
            _log_line(5.1, 'refused', flow='a', why='link full'),
            _log_line(5.2, 'link dropped', flow='b', why='queue full'),
            _log_line(5.3, 'link dropped', flow='c', why='queue full'),
            _log_line(6.0, 'link free', delay_ms=10),
        ]
    )
    assert [(item.cause, item.requests) for item in found] == [
        ('link dropped: queue full', 2),
        ('refused: link full', 1),
    ]


def test_harmless_events_are_no_loss() -> None:
    """First copies, short waits and quick searches are not losses."""
    assert not explain.losses(
        [
            _log_line(1.0, 'placed', flow='a', copy=0),
            _log_line(1.0, 'released', flow='a', waited_ms=10, aim_ms=200),
            _log_line(1.0, 'flow found', flow='a', took_ms=12),
            _log_line(1.0, 'changes in force'),
            _log_line(1.0, 'handed on', flow='a', hand_offs=1),
        ]
    )


def test_a_second_hand_off_is_a_cause() -> None:
    """Guards against a delay by notices that promised too much."""
    (found,) = explain.losses(
        [
            _log_line(1.0, 'handed on', flow='a', hand_offs=1),
            _log_line(1.1, 'handed on', flow='a', hand_offs=2),
        ]
    )
    assert found.cause == 'handed on more than once'
    assert found.first.at == 1.1


def test_a_folder_of_logs_becomes_a_table(tmp_path: pathlib.Path) -> None:
    """Each row has cause, process and flow."""
    text = _log_text(
        4.0, 'refused', flow='1.2.3.4:5>6.7.8.9:10', why='no route'
    )
    (tmp_path / 'agent-1.log').write_text(text + '\nnonsense\n')
    lines = list(explain.read_logs([str(tmp_path)]))
    rows = explain.format_table(explain.losses(lines)).splitlines()
    assert len(rows) == 2
    assert 'refused: no route; agent-1; 1.2.3.4:5>6.7.8.9:10' in rows[1]
