"""Test which process is asked for changes, and which answers it accepts."""

from __future__ import annotations

import random

import pytest

from bench import packet_world
from teaseldock.packets import control
from teaseldock.packets import control_budget
from teaseldock.packets import peer as peers
from teaseldock.packets import pulling
from teaseldock.packets import records


def peer(host: str, revision: int) -> peers.Peer:
    """Return a process that reported its revision."""
    item = peers.Peer(host, is_balancer=True)
    item.record_heartbeat(
        control.Heartbeat(True, 1, False, revision, 0, False, None, b''),
        100.0,
        solicited=False,
    )
    return item


def test_one_question_at_a_time() -> None:
    """A second request follows only after a while, to another process."""
    asking = pulling.PullState(random.Random(1))
    ahead = [peer('10.0.0.1', 9), peer('10.0.0.2', 9)]
    first = asking.choose(ahead)
    assert first is not None
    asking.record_request(first.host, 100.0)
    assert not asking.due(100.1)
    assert asking.due(100.0 + pulling.ASK_AGAIN_S)
    second = asking.choose(ahead)
    assert second is not None and second.host != first.host


def test_all_that_know_more_are_asked_alike() -> None:
    """Requests are spread over all processes that have newer changes."""
    ahead = [peer('10.0.0.1', 7), peer('10.0.0.2', 9), peer('10.0.0.3', 8)]
    asked = {
        pulling.PullState(random.Random(seed)).choose(ahead).host
        for seed in range(20)
    }
    assert asked == {item.host for item in ahead}
    assert pulling.PullState(random.Random(1)).choose([]) is None


def test_many_askers_leave_bytes_for_the_changes() -> None:
    """Requests of many processes leave bytes for the changes themselves.

    A process has used up its byte budget; 194 others each request changes from
    it five times a second. If referrals are paid from the same budget, its
    debt grows with every second: for eleven seconds no process but the reader
    got a change, and new flows reached servers that were leaving.
    """
    world = packet_world.small_world()
    process = world.balancers()[0]
    for _ in range(4):
        process.node.budget.spend(control_budget.Purpose.CHANGES, 10_000)
    now = world.now
    sent = process.node.meters.counters['changes_sent']
    for number in range(194 * 5 * 4):
        now += 1 / (194 * 5)
        process.node.on_datagram(
            control.pack_get_changes(1), f'10.1.0.{number % 194}', now
        )
    assert process.node.meters.counters['changes_sent'] > sent + 10


def test_parts_from_two_processes_are_not_mixed() -> None:
    """Parts of two answers that arrive at the same time are not mixed."""
    asking = pulling.PullState(random.Random(1))
    wanted = []
    for number, host in enumerate(('10.0.0.1', '10.0.0.2')):
        asking.record_request(host, 100.0)
        routes = [
            packet_world.route('dispatch', port=1000 + n, aim_ms=n * 7919)
            for n in range(900 + number)
        ]
        config = records.Configuration(
            number + 1, number + 1, 15_000, routes, ['dispatch']
        )
        wanted.append(records.Changes(0, number + 1, [], [], config))
    parts = [control.pack_changes(item) for item in wanted]
    assert min(map(len, parts)) > 1
    got = []
    for pair in zip(*parts):
        for host, datagram in zip(('10.0.0.1', '10.0.0.2'), pair):
            body = control.unpack(datagram).body
            got.append(asking.add(body, host))
    assert wanted[0] in got


def test_an_answer_that_teaches_nothing_is_not_asked_for_at_once() -> None:
    """An answer that brings nothing new is not requested again at once.

    A process can't apply what another one sends it. If it asks again as soon
    as it has the answer, the two exchange hundreds of datagrams a second.
    """
    world = packet_world.small_world()
    process = world.balancers()[0]
    process.node.knowledge.apply = lambda *_: False
    world.store.configure(7, [packet_world.route('dispatch')])
    world.run(2.0)
    asked = process.node.meters.counters['changes_wanted']
    assert 2 <= asked <= 2.0 / pulling.ASK_AGAIN_S + 5


def test_who_has_sent_enough_refers_to_others() -> None:
    """Referrals name only processes that were sent all, never the asker."""
    asking = pulling.PullState(random.Random(1))
    assert asking.referral(9, '10.0.1.1') is None
    asking.record_sent('10.0.1.1', 9)
    asking.record_sent('10.0.1.2', 8)
    assert asking.referral(9, '10.0.1.1') is None
    assert asking.referral(9, '10.0.1.3') == '10.0.1.1'


@pytest.mark.parametrize('lost', [0.0, 0.2])
def test_changes_of_strangers_are_not_taken(lost: float) -> None:
    """Changes that were not requested are dropped and counted.

    If changes are accepted from any known process, a faulty one can send an
    old configuration to all.
    """
    world = packet_world.small_world()
    world.loss = lost
    process = world.balancers()[0]
    config = records.Configuration(99, 10_000, 15_000, [], ['dispatch'])
    changes = records.Changes(0, 10_000, [], [], config)
    for datagram in control.pack_changes(changes):
        process.node.on_datagram(datagram, '10.0.9.9', world.now)
    world.run(1.0)
    assert process.node.knowledge.version == 1
    assert process.node.meters.counters['dropped_changes_of_stranger']
