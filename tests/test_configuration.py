"""Test that documents come into force whole, in ascending revisions only."""

from __future__ import annotations

import json
import typing

import hypothesis
from hypothesis import strategies
import pytest

from teaseldock import audit
from teaseldock import configuration
from teaseldock import exceptions
from teaseldock import inventory


def register(**changes: typing.Any) -> dict[str, typing.Any]:
    """Return a small register."""
    instance = {
        'name': 'a-1',
        'data_centre': 'north',
        'address': '10.0.0.1',
        'peer_port': 5700,
        'slots': 2,
        'connections': 2000,
    }
    instance.update(changes)
    return {
        'data_centres': [{'name': 'north', 'region': 'r'}],
        'instances': [instance],
    }


def rules(**changes: typing.Any) -> dict[str, typing.Any]:
    """Return small rules."""
    service = {
        'name': 'a',
        'address': '10.1.0.1',
        'port': 5683,
        'targets': [{'instance': 'a-1', 'port': 1, 'weight': 1.0}],
        'request_classes': [],
    }
    service.update(changes)
    return {'services': [service], 'leaving': []}


def document(
    key: str, revision: int, content: typing.Any
) -> configuration.Document:
    """Return a document of the configuration service."""
    if not isinstance(content, bytes):
        content = json.dumps(content).encode()
    return configuration.Document(key, revision, 'ana', content)


def configured() -> configuration.Configuration:
    """Return a configuration with valid documents in force."""
    built = configuration.Configuration(trail=audit.AuditTrail())
    built.offer(
        [document('register', 1, register()), document('rules', 2, rules())],
        0.0,
    )
    assert built.ready
    return built


def _two_services() -> dict[str, typing.Any]:
    both = rules()
    second = rules(name='b')['services'][0]
    both['services'].append(second)
    return both


REFUSED = {
    'unknown instance': (
        'rules',
        rules(targets=[{'instance': 'x', 'port': 1, 'weight': 1.0}]),
        'not in the register',
    ),
    'two services on one address': ('rules', _two_services(), 'shares'),
    'weight of zero': (
        'rules',
        rules(targets=[{'instance': 'a-1', 'port': 1, 'weight': 0}]),
        'weight',
    ),
    'capacity below zero': ('register', register(slots=-1), 'slots'),
    'truncated': ('rules', json.dumps(rules()).encode()[:-9], 'not JSON'),
    'over a megabyte': ('rules', b' ' * 1_000_001, 'divide'),
    'duplicate key': (
        'rules',
        b'{"services": [], "services": [], "leaving": []}',
        'duplicate key',
    ),
    'no target': ('rules', rules(targets=[]), 'no target'),
    'bad address': ('rules', rules(address='10.1'), 'IPv4'),
    'not UTF-8': ('rules', b'\xff\xfe', 'not JSON'),
}


@pytest.mark.parametrize('name', REFUSED)
def test_refused_whole_with_place_and_remedy(name: str) -> None:
    """An invalid document changes nothing; the audit names the reason."""
    key, content, reason = REFUSED[name]
    config = configured()
    before = config.inventory
    assert not config.offer([document(key, 9, content)], 1.0)
    assert config.inventory is before
    assert config.refused == 1
    record = config._trail.records[-1]
    assert record.outcome == 'refused'
    assert record.revision == 9
    assert reason in record.detail
    assert key in record.detail


def test_a_revision_that_goes_back_is_passed_over() -> None:
    """An older revision never replaces a newer one, and is audited once."""
    config = configured()
    config.offer([document('rules', 7, rules(port=7000))], 0.0)
    for _ in range(3):
        config.offer([document('rules', 3, rules(port=3000))], 0.0)
    assert config.inventory.services['a']['port'] == 7000
    assert config.refused == 1
    record = config._trail.records[-1]
    assert (record.outcome, record.revision) == ('refused', 3)
    assert 'TD-203' in record.detail


def test_one_revision_with_two_contents_has_a_fixed_winner() -> None:
    """Processes that read diverged replicas converge to the same rules."""
    one = document('rules', 5, rules(port=5001))
    two = document('rules', 5, rules(port=5002))
    results = []
    for order in ([one, two], [two, one]):
        config = configured()
        for item in order:
            config.offer([item], 0.0)
        assert config.alarms == 1
        results.append((config.inventory, config.digest))
    assert results[0] == results[1]


def test_rules_that_came_before_their_register_wait() -> None:
    """Rules that name an unregistered instance take effect with it."""
    config = configured()
    extended = register()
    extended['instances'].append({**register()['instances'][0], 'name': 'a-2'})
    extended['instances'][1]['address'] = '10.0.0.2'
    targets = [
        {'instance': name, 'port': 1, 'weight': 1.0} for name in ('a-1', 'a-2')
    ]
    config.offer([document('rules', 4, rules(targets=targets))], 0.0)
    assert len(config.inventory.services['a']['targets']) == 1
    config.offer([document('register', 5, extended)], 0.0)
    assert len(config.inventory.services['a']['targets']) == 2


def test_one_teams_mistake_does_not_hold_up_another() -> None:
    """An invalid part is refused while a valid one comes into force."""
    config = configured()
    other = rules(name='b', address='10.1.0.2')
    config.offer(
        [document('rules.x', 6, b'{'), document('rules.y', 7, other)], 0.0
    )
    assert set(config.inventory.services) == {'a', 'b'}


@hypothesis.given(strategies.permutations(range(3, 9)), strategies.data())
def test_any_order_ends_the_same(
    order: list[int], data: strategies.DataObject
) -> None:
    """The newest valid revision is in force after any order of arrival."""
    config = configured()
    highest = 2
    for revision in order:
        config.offer([document('rules', revision, rules(port=revision))], 0.0)
        highest = max(highest, revision)
        assert config.inventory.services['a']['port'] == highest


@hypothesis.given(strategies.binary(max_size=200))
def test_garbage_never_gets_through(content: bytes) -> None:
    """Whatever bytes are published, the last valid rules stay in force."""
    config = configured()
    config.offer([document('rules', 9, content)], 0.0)
    assert 'a' in config.inventory.services


def test_schemas_name_every_field() -> None:
    """The schema is derived from the types that the code checks."""
    text = json.dumps(inventory.json_schema(inventory.Rules))
    for field in ('services', 'leaving', 'request_classes', 'weight'):
        assert field in text


def test_unknown_key_is_refused() -> None:
    """A key that is neither register nor rules raises an error."""
    with pytest.raises(exceptions.DocumentError, match='neither'):
        configuration.check_documents([document('other', 1, {})])


def test_memory_does_not_grow_with_changes() -> None:
    """Only documents that are held stay parsed, after any number of changes.

    Guards against a process that exceeds its memory limit after hours in
    which one part is published repeatedly. It happens if parsed forms of
    replaced parts are kept until they are twice as many as the parts.
    """
    config = configured()
    for revision in range(3, 40):
        content = rules(port=revision) if revision % 3 else b'{'
        config.offer([document('rules', revision, content)], 0.0)
    assert sum(len(versions) for versions in config._parsed.values()) <= 3
