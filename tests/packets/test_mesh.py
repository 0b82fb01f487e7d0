"""Test which processes get heartbeats, and how silence is detected."""

from __future__ import annotations

import random

import pytest

from teaseldock.packets import control
from teaseldock.packets import mesh

BALANCERS = [f'10.0.0.{number + 1}' for number in range(40)]


def heartbeat(*, is_balancer: bool = True) -> control.Heartbeat:
    """Return a heartbeat without load, names or holdings."""
    return control.Heartbeat(is_balancer, 1, False, 5, 0, False, None, b'')


def agents_mesh() -> mesh.Mesh:
    """Return an agent's mesh with a heartbeat of each balancer at 100.0."""
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


def send_round(
    item: mesh.Mesh, now: float, *, all_balancers: bool
) -> list[str]:
    """Send the heartbeats of one round; return the hosts they go to."""
    peers = item.heartbeats_due(now, all_balancers=all_balancers)
    for peer in peers:
        peer.note_heartbeat_sent(now)
    return [peer.host for peer in peers]


def test_an_agent_reports_to_the_same_few() -> None:
    """The same four balancers get each report, as long as they answer."""
    item = agents_mesh()
    first = send_round(item, 101.0, all_balancers=False)
    assert len(first) == mesh.BALANCERS_PER_AGENT
    assert send_round(item, 101.5, all_balancers=False) == first


def test_a_balancer_that_does_not_answer_is_replaced() -> None:
    """An agent whose balancers have died reports to others."""
    item = agents_mesh()
    first = send_round(item, 101.0, all_balancers=False)
    for host in first[1:]:
        item.record_heartbeat(host, heartbeat(), 102.5)
    second = send_round(item, 102.6, all_balancers=False)
    assert first[0] not in second
    assert set(first[1:]) < set(second)


@pytest.mark.parametrize('rounds', [5])
def test_reports_to_all_balancers_keep_regular_reports(rounds: int) -> None:
    """Guards against an agent that stops its regular reports.

    An agent whose entry has expired reports to all balancers: to twelve of 40
    in each round, in turn. When the four that it reports to regularly had to
    wait for their turn, 1.6 s, they took it for gone after 1.5 s and it
    received no changes for a while.
    """
    item = agents_mesh()
    first = send_round(item, 101.0, all_balancers=False)
    seen: set[str] = set()
    for number in range(rounds):
        now = 101.5 + 1.1 * mesh.ROUND_S * number
        for host in BALANCERS:
            item.record_heartbeat(host, heartbeat(), now)
        hosts = send_round(item, now, all_balancers=True)
        assert set(first) <= set(hosts)
        seen.update(hosts)
    assert seen == set(BALANCERS)


def test_a_pause_does_not_renew_old_reports() -> None:
    """Guards against old reports that count as new after a pause.

    A balancer received a heartbeat of an agent 20 s before a pause of 2 s;
    since then the agent has accepted flows of a route that has moved. When the
    pause made all heartbeats count as new, the balancer relied on the old
    report and reset a flow that the server held.
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
    """A round has at most twelve heartbeats and one contacted agent.

    Balancers whose last heartbeat is oldest come first, so that all get a
    turn.
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
        hosts = send_round(item, 101.0 + 0.5 * number, all_balancers=False)
        assert len(hosts) <= mesh.FAN_OUT + mesh.DISCOVERY_PER_ROUND
        seen.update(hosts)
    assert seen > set(BALANCERS)
