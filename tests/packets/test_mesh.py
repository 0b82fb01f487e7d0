"""Test whom a process tells of itself, and what it makes of silence."""

from __future__ import annotations

import random

import pytest

from teaseldock.packets import control
from teaseldock.packets import mesh

BALANCERS = [f'10.0.0.{number + 1}' for number in range(40)]


def heartbeat(*, is_balancer: bool = True) -> control.Heartbeat:
    """Return what a process says that has nothing to say."""
    return control.Heartbeat(is_balancer, 1, False, 5, 0, False, None, b'')


def agents_mesh() -> mesh.Mesh:
    """Return what an agent knows that has heard all balancers at 100.0."""
    item = mesh.Mesh(
        '10.0.1.1',
        is_balancer=False,
        seeds=BALANCERS[:2],
        randomness=random.Random(1),
        now=100.0,
    )
    for host in BALANCERS:
        item.record_heartbeat(host, heartbeat(), 100.0)
    return item


def told(item: mesh.Mesh, now: float, *, all_balancers: bool) -> list[str]:
    """Return who is told in a round, and note it."""
    peers = item.heartbeats_due(now, all_balancers=all_balancers)
    for peer in peers:
        peer.note_heartbeat_sent(now)
    return [peer.host for peer in peers]


def test_an_agent_reports_to_the_same_few() -> None:
    """Four balancers are told in each round, as long as they answer."""
    item = agents_mesh()
    first = told(item, 101.0, all_balancers=False)
    assert len(first) == mesh.BALANCERS_PER_AGENT
    assert told(item, 101.5, all_balancers=False) == first


def test_a_balancer_that_does_not_answer_is_replaced() -> None:
    """An agent whose balancers have died reports to others."""
    item = agents_mesh()
    first = told(item, 101.0, all_balancers=False)
    for host in first[1:]:
        item.record_heartbeat(host, heartbeat(), 102.5)
    second = told(item, 102.6, all_balancers=False)
    assert first[0] not in second
    assert set(first[1:]) < set(second)


@pytest.mark.parametrize('rounds', [5])
def test_news_for_everybody_stops_no_report(rounds: int) -> None:
    """An agent that tells all balancers loses those that it reports to.

    Symptom: an agent whose entry has expired hears of no change for a while.
    Events: it tells twelve of 40 balancers in each round, in turn.
    Cause: the four that it reports to had their turn after 1.6 s, and took it
    for gone after 1.5 s.
    """
    item = agents_mesh()
    first = told(item, 101.0, all_balancers=False)
    seen: set[str] = set()
    for number in range(rounds):
        now = 101.5 + 1.1 * mesh.ROUND_S * number
        for host in BALANCERS:
            item.record_heartbeat(host, heartbeat(), now)
        hosts = told(item, now, all_balancers=True)
        assert set(first) <= set(hosts)
        seen.update(hosts)
    assert seen == set(BALANCERS)


def test_a_pause_makes_no_old_word_new() -> None:
    """After a pause a balancer trusts what an agent told long ago.

    Symptom: a flow is reset that its server holds.
    Events: an agent was heard 20 s before a pause of 2 s; since then it holds
    flows of a route that now goes elsewhere.
    Cause: all processes counted as heard just now after a pause.
    """
    item = mesh.Mesh(
        BALANCERS[0],
        is_balancer=True,
        seeds=[],
        randomness=random.Random(1),
        now=100.0,
    )
    item.record_heartbeat('10.0.1.1', heartbeat(is_balancer=False), 100.0)
    item.record_heartbeat('10.0.1.2', heartbeat(is_balancer=False), 120.0)
    item.on_resume(2.0)
    assert not item.peers['10.0.1.1'].heard_within(mesh.REPORT_VALID_S, 122.0)
    assert item.peers['10.0.1.2'].heard_within(mesh.HEARTBEAT_TIMEOUT_S, 122.0)


def test_a_round_is_bounded() -> None:
    """A balancer tells twelve others and one agent in a round, of any number.

    Those that were told longest ago come first, so that all have a turn.
    """
    item = mesh.Mesh(
        '10.0.9.9',
        is_balancer=True,
        seeds=[],
        randomness=random.Random(1),
        now=100.0,
    )
    for host in BALANCERS:
        item.record_heartbeat(host, heartbeat(), 100.0)
    item.update_agents({f'10.0.1.{n + 1}' for n in range(200)}, 100.0)
    seen: set[str] = set()
    for number in range(4):
        hosts = told(item, 101.0 + 0.5 * number, all_balancers=False)
        assert len(hosts) <= mesh.FAN_OUT + mesh.DISCOVERY_PER_ROUND
        seen.update(hosts)
    assert seen > set(BALANCERS)
