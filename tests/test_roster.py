"""Test which reports of a member's death are accepted."""

from __future__ import annotations

import pytest

from teaseldock import messages
from teaseldock import roster

ALIVE = messages.Health.ALIVE
SUSPECT = messages.Health.SUSPECT
DEAD = messages.Health.DEAD


def _member(name: str, **fields: object) -> messages.Member:
    member = roster.new_member(
        name,
        role=roster.ROLE_AGENT,
        data_centre='dc',
        host='10.0.0.1',
        port=5700,
        incarnation=5,
    )
    return member._replace(**fields)


@pytest.fixture
def populated() -> roster.Roster:
    """Return a roster with one member, last heard from at 10 s."""
    built = roster.Roster(_member('own'))
    built.merge_member(_member('other'), 0.0)
    built.mark_heard('other', 10.0)
    return built


def test_who_spoke_a_moment_ago_may_deny_that_it_is_dead(
    populated: roster.Roster,
) -> None:
    """Guards against living members that drop each other after a partition."""
    populated.merge_member(_member('other', health=DEAD), 10.5)
    assert populated.get('other').health == SUSPECT
    assert populated.drain_disputed() == {'other'}
    assert not populated.drain_disputed()
    populated.merge_member(_member('other', counter=1), 10.6)
    assert populated.get('other').health == ALIVE


def test_who_does_not_deny_it_is_dead(populated: roster.Roster) -> None:
    """Guards against a suspicion prolonged by repeated reports of death."""
    for tenths in (105, 108, 111, 114):
        populated.merge_member(_member('other', health=DEAD), tenths / 10)
        populated.expire_suspicions(tenths / 10)
        assert populated.get('other').health == SUSPECT
    populated.expire_suspicions(10.5 + roster.SUSPICION_TIMEOUT_S)
    assert populated.get('other').health == DEAD


def test_who_has_not_spoken_lately_is_dead_at_once(
    populated: roster.Roster,
) -> None:
    """Guards against flows that wait for a dead member."""
    populated.merge_member(_member('other', health=DEAD), 12.0)
    assert populated.get('other').health == DEAD
    assert not populated.drain_disputed()
