"""Test reading the store's items."""

from __future__ import annotations

import base64
import json

import hypothesis
from hypothesis import strategies
import pytest

from teaseldock import exceptions
from teaseldock.packets import records
from teaseldock_platform import documents

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-split',
            'host': '198.18.0.1',
            'prefix': '/8443/',
            'kind': 'idempotent',
            'timeoutMs': 2500,
            'sloMs': 150,
            'priority': 2,
            'backends': [
                {'service': 'one', 'weight': 90},
                {'service': 'two', 'weight': 10},
            ],
            'maxAttempts': 2,
        },
        {
            'name': 'r-plain',
            'host': '198.18.0.2',
            'prefix': '/443/',
            'kind': 'upload',
            'service': 'two',
        },
    ],
    'services': [{'name': 'one'}],
    'limits': {'idleTimeoutMs': 15000},
}
TARGET = {
    'service': 'one',
    'address': '10.128.0.9:8080',
    'zone': 'north',
    'version': 'v1',
    'capacity': 2,
    'state': 'draining',
    'warmupLeftMs': 900,
    'sequence': 4,
}


def item(key: str, value: object, revision: int) -> documents.Item:
    """Return an item as the store has it."""
    text = base64.b64encode(json.dumps(value).encode()).decode()
    return documents.Item(key, revision, text)


def changes(items: list[documents.Item], bad: list) -> records.Changes:
    """Return items as changes."""
    return documents.to_changes(items, since=3, upto=9, on_bad=bad.append)


def test_entries_become_records() -> None:
    """Names of the platform end here."""
    bad: list = []
    result = changes(
        [
            item('op/config', CONFIG, 8),
            item('servers/i-1', TARGET, 9),
            documents.Item('servers/i-0', 5, tombstone=True),
            item('elsewhere/x', {}, 6),
        ],
        bad,
    )
    assert not bad
    assert result.removals == [records.Removal('i-0', 5)]
    target = result.targets[0]
    assert target.identifier == 'i-1'
    assert (target.host, target.port) == ('10.128.0.9', 8080)
    assert target.draining and target.slots == 2 and target.warmup_ms == 900
    assert result.configuration is not None
    split, plain = result.configuration.routes
    assert [choice.weight for choice in split.choices] == [90, 10]
    assert plain.choices == [records.ServiceChoice('two', 1)]
    assert plain.kind == records.RequestKind.UPLOAD
    assert plain.address == bytes([198, 18, 0, 2, 1, 187])


def test_the_last_event_of_a_key_counts() -> None:
    """An entry that came back is not removed, and the other way round."""
    gone = documents.Item('servers/i-1', 8, tombstone=True)
    back = item('servers/i-1', TARGET, 9)
    assert changes([gone, back], []).removals == []
    assert changes([back, gone], []).targets == []


def test_one_bad_entry_hides_no_other() -> None:
    """A target's mistake stops all changes.

    Symptom: nothing changes any more after one entry was written.
    Events: an entry without an address is written; others follow.
    Cause: the whole answer was refused for one entry.
    """
    bad: list = []
    broken = item('servers/i-2', {'service': 'one'}, 7)
    nonsense = documents.Item('servers/i-3', 7, '%%%')
    result = changes([broken, nonsense, item('servers/i-1', TARGET, 9)], bad)
    assert [target.identifier for target in result.targets] == ['i-1']
    assert len(bad) == 2
    assert 'servers/i-2' in str(bad[0])


@pytest.mark.parametrize(
    'change',
    [
        {'host': 'nowhere'},
        {'prefix': '/x/'},
        {'prefix': '/70000/'},
        {'sloMs': 'soon'},
    ],
)
def test_a_configuration_is_read_whole_or_not(change: dict) -> None:
    """A route that can't be read refuses its configuration."""
    document = json.loads(json.dumps(CONFIG))
    document['routes'][1].update(change)
    bad: list = []
    assert changes([item('op/config', document, 8)], bad).configuration is None
    assert len(bad) == 1


@hypothesis.given(body=strategies.binary(max_size=80))
def test_no_answer_crashes_the_reader(body: bytes) -> None:
    """Whatever the store answers is read or a typed error."""
    for read in (documents.read_range, documents.read_events):
        with pytest.raises(exceptions.DocumentError):
            read(body)
