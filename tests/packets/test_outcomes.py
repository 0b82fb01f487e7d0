"""Test that servers which fail their requests get few new flows."""

from __future__ import annotations

from bench import packet_world
from teaseldock.packets import outcomes


def play(world: packet_world.World, count: int) -> list:
    """Let callers come, 100 a second."""
    requests = []
    for _ in range(count):
        requests.append(world.request(tries=1))
        world.run(0.01)
    world.run(1.0)
    return requests


def test_a_server_that_resets_draws_no_more_flows() -> None:
    """One server that fails at once takes the requests of all.

    Symptom: orders are lost by the hundred, though one server of eight is
    bad and its health check is good.
    Events: the server resets each flow as soon as a request comes.
    Cause: failing takes no time, so it looked idle to whoever placed by load.
    """
    world = packet_world.small_world(servers=8)
    play(world, 100)
    bad = world.servers['10.0.1.1']
    bad.fails = True
    requests = play(world, 500)
    failed = [item for item in requests if item.outcome != 'answered']
    # An eighth of all would be 62.
    assert len(failed) <= 15
    assert not world.broken()
    told = world.events('request failed')
    assert len(told) == len(failed)
    assert all(line['why'] == 'server reset it' for line in told)


def test_a_server_that_is_well_again_gets_flows() -> None:
    """A server that failed is tried again, and gets its share."""
    world = packet_world.small_world(servers=4)
    bad = world.servers['10.0.1.1']
    bad.fails = True
    play(world, 200)
    bad.fails = False
    play(world, 1200)
    seen = len(bad.opened)
    play(world, 400)
    assert len(bad.opened) - seen > 40


def test_all_servers_failing_still_get_flows() -> None:
    """With nobody better, a failing server is better than none."""
    world = packet_world.small_world(servers=2)
    for server in world.servers.values():
        server.fails = True
    play(world, 50)
    for server in world.servers.values():
        server.fails = False
    requests = play(world, 50)
    assert all(item.outcome == 'answered' for item in requests)


def test_failures_are_forgotten_without_requests() -> None:
    """Ten failures count for a tenth after three time constants."""
    judged = outcomes.Outcomes(0.0)
    for _ in range(10):
        judged.note(0.0, failed=True)
    assert judged.failing(0.0) > 0.85
    assert judged.failing(3 * outcomes.FORGET_S) < 0.1


def test_one_failure_in_a_hundred_is_no_verdict() -> None:
    """A server with few failures is charged next to nothing."""
    judged = outcomes.Outcomes(0.0)
    for number in range(1000):
        judged.note(number * 0.05, failed=number % 100 == 99)
    assert judged.failing(50.0) < 0.25
