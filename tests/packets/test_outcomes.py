"""Test that servers which fail their requests get few new flows."""

from __future__ import annotations

from bench import packet_world
from teaseldock.packets import outcomes


def send_requests(world: packet_world.World, count: int) -> list:
    """Send requests at 100 a second, and wait for their ends."""
    requests = []
    for _ in range(count):
        requests.append(world.request(tries=1))
        world.run(0.01)
    world.run(1.0)
    return requests


def test_a_server_that_resets_draws_no_more_flows() -> None:
    """A server that resets its requests gets few new flows.

    The server resets each flow as soon as a request arrives; its health check
    passes. Failing takes no time, so the server looks idle to a placement by
    load. Without the failure rate it would get most requests and lose orders
    by the hundred.
    """
    world = packet_world.small_world(servers=8)
    send_requests(world, 100)
    faulty = world.servers['10.0.1.1']
    faulty.fails = True
    requests = send_requests(world, 500)
    failed = [item for item in requests if item.outcome != 'answered']
    # An eighth of all would be 62.
    assert len(failed) <= 15
    assert not world.broken()
    log_lines = world.events('request failed')
    assert len(log_lines) == len(failed)
    assert all(line['why'] == 'server reset it' for line in log_lines)


def test_a_server_that_is_well_again_gets_flows() -> None:
    """A recovered server is tried again and gets its share."""
    world = packet_world.small_world(servers=4)
    faulty = world.servers['10.0.1.1']
    faulty.fails = True
    send_requests(world, 200)
    faulty.fails = False
    send_requests(world, 1200)
    seen = len(faulty.opened)
    send_requests(world, 400)
    assert len(faulty.opened) - seen > 40


def test_all_servers_failing_still_get_flows() -> None:
    """Failing servers still get flows if there are no better ones."""
    world = packet_world.small_world(servers=2)
    for server in world.servers.values():
        server.fails = True
    send_requests(world, 50)
    for server in world.servers.values():
        server.fails = False
    requests = send_requests(world, 50)
    assert all(item.outcome == 'answered' for item in requests)


def test_failures_are_forgotten_without_requests() -> None:
    """Ten failures count for less than a tenth after three time constants."""
    record = outcomes.Outcomes(0.0)
    for _ in range(10):
        record.note(0.0, failed=True)
    assert record.failing(0.0) > 0.85
    assert record.failing(3 * outcomes.FORGET_S) < 0.1


def test_one_failure_in_a_hundred_is_no_verdict() -> None:
    """One failure in a hundred hardly raises the failure rate."""
    record = outcomes.Outcomes(0.0)
    for number in range(1000):
        record.note(number * 0.05, failed=number % 100 == 99)
    assert record.failing(50.0) < 0.25
