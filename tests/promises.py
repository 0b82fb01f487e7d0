"""Check the safety invariants of a run in virtual time."""

from __future__ import annotations

import collections

from bench import world

FINAL = ('answer', 'not run', 'outcome unknown', 'lost')


def ran_twice(run: world.World) -> list[str]:
    """Return guarded requests that ran more than once."""
    counts = collections.Counter(r.identity for r in run.ran if r.guarded)
    return [identity for identity, count in counts.items() if count > 1]


def untrue_refusals(run: world.World) -> list[str]:
    """Return requests that ran although their answer was "not run"."""
    ran = {item.identity for item in run.ran}
    return [
        item.identity
        for item in run.asked
        if item.outcome == 'not run' and item.identity in ran
    ]


def misrouted(run: world.World) -> list[str]:
    """Return requests that ran at a server of another service."""
    return [
        item.identity
        for item in run.ran
        if not item.identity.startswith(f'{item.service}-')
    ]


def crossed(run: world.World) -> list[str]:
    """Return requests whose caller got the answer to another request."""
    return [item.identity for item in run.asked if item.outcome == 'crossed']


def assert_safe(run: world.World) -> None:
    """Assert the invariants that every run must keep."""
    assert ran_twice(run) == []
    assert untrue_refusals(run) == []
    assert misrouted(run) == []
    assert crossed(run) == []


def outcomes(run: world.World) -> collections.Counter[str]:
    """Return the count of each outcome, without registrations of feeds."""
    return collections.Counter(
        item.outcome for item in run.asked if item.kind != 'feed'
    )
