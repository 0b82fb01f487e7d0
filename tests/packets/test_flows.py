"""Test that flows open at the right target and are found again."""

from __future__ import annotations

import pytest

from bench import packet_server
from bench import packet_world
from teaseldock.packets import records
from tests.packets.feeds import ask_all
from tests.packets.feeds import serve_feeds


def test_feeds_outlive_their_balancer() -> None:
    """A feed stalls when the balancer that placed it dies.

    Symptom: no answer on a flow whose server lives.
    Events: a balancer is killed; the fabric gives its flows to the others,
    which have never seen them.
    Cause: only the dead balancer knew the target.
    """
    world = packet_world.small_world()
    feeds = serve_feeds(world, 40)
    world.kill('10.0.0.3')
    world.run(1.5)
    ask_all(world, feeds, 1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()
    assert max(feed.latency_s for feed in feeds) < 0.3


@pytest.mark.parametrize('balancers_restart', [False, True])
def test_a_flow_that_its_server_closes_is_still_its_own(
    balancers_restart: bool,
) -> None:
    """A feed that was idle is reset by the system, or sought without end.

    Symptom: packets of an open flow go to a server that has just started, and
    for seconds none to its own.
    Events: a server closes a flow that was idle for 12 s; at that moment its
    caller asks, through a balancer that has just started and searches.
    Cause: the agent forgot the flow at the server's end of it, and denied it;
    the server, which would have ended it properly, got no packet.
    """
    world = packet_world.small_world()
    feeds = serve_feeds(world, 20)
    # From now on the agents have seen all flows of their servers.
    world.run(16.0)
    for server in world.servers.values():
        for flow in list(server.flows):
            server.close_idle(flow)
    if balancers_restart:
        for process in world.balancers():
            world.start(process.host)
        world.run(0.5)
    flows = [feed.flow for feed in feeds]
    ask_all(world, feeds, 1.0)
    assert not [reset for reset in world.resets if reset[1] in flows]
    assert all(feed.resets == 1 for feed in feeds)
    assert all(feed.outcome == 'answered' for feed in feeds)
    for host in world.servers:
        meters = world.processes[host].node.meters
        assert not meters.counters['requests_failed']


def test_feeds_outlive_all_balancers() -> None:
    """All balancers are killed at once and start without memory."""
    world = packet_world.small_world()
    feeds = serve_feeds(world, 40)
    for process in world.balancers():
        world.start(process.host)
    world.run(1.5)
    ask_all(world, feeds, 1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()


def test_feeds_outlive_a_changed_table() -> None:
    """New targets come first in a flow's rank; the flow stays.

    Symptom: a feed is reset though its server lives.
    Events: targets are added, then a balancer that never saw the flow gets
    its packets.
    Cause: the flow was looked for only where the new table puts it.
    """
    world = packet_world.small_world()
    feeds = serve_feeds(world, 30)
    for index in range(4):
        world.add_server(
            f'10.0.1.{20 + index}', service='dispatch', slots=2, service_s=0.03
        )
    world.run(1.0)
    for process in world.balancers():
        world.start(process.host)
    world.run(1.0)
    ask_all(world, feeds, 1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()


def test_feeds_outlive_their_agent() -> None:
    """Agents are killed one by one and start again beside their servers."""
    world = packet_world.small_world()
    feeds = serve_feeds(world, 30)
    for host in list(world.servers):
        world.kill(host)
        world.run(0.4)
        world.start(host)
        world.run(0.4)
    ask_all(world, feeds, 1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()


def test_an_agent_that_is_away_breaks_no_flow() -> None:
    """A feed is reset while its agent restarts.

    Symptom: a reset that the server didn't send, on a flow that it holds.
    Events: an agent is stopped; its flows' packets come to a balancer that
    doesn't know them; all other servers return them.
    Cause: silence of the last candidate was taken for a no.
    """
    world = packet_world.small_world()
    feeds = serve_feeds(world, 30)
    world.kill('10.0.1.1')
    for process in world.balancers():
        world.start(process.host)
    ask_all(world, feeds, 1.6)
    assert not world.broken()
    world.start('10.0.1.1')
    world.run(2.0)
    assert all(feed.outcome == 'answered' for feed in feeds)


@pytest.mark.parametrize('word', ['draining', 'gone'])
def test_a_leaving_target_gets_no_new_flow(word: str) -> None:
    """New flows stop well within three seconds; those that are open stay."""
    world = packet_world.small_world()
    feeds = serve_feeds(world, 20)
    server = world.servers['10.0.1.2']
    server.draining = True
    if word == 'draining':
        world.store.put(server)
    else:
        world.store.remove(server.identifier)
    world.run(0.5)
    seen = len(server.opened)
    for _ in range(60):
        world.request()
        world.run(0.01)
    world.run(0.5)
    assert len(server.opened) == seen
    assert all(item.outcome == 'answered' for item in world.requests)
    ask_all(world, feeds, 1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()


def test_an_address_used_again_gets_nothing_of_its_former_service() -> None:
    """Orders arrive at ticket intake.

    Symptom: a server gets flows of another service.
    Events: a server dies; its address goes to a server of another service
    while a balancer still has the old entry.
    Cause: the address alone was taken for the target.
    """
    world = packet_world.small_world()
    server = world.servers['10.0.1.1']
    server.crash()
    world.store.up = False
    taken = packet_server.Server(
        world, '10.0.1.1', service='tickets', slots=2, service_s=0.01
    )
    world.servers['10.0.1.1'] = taken
    world.start('10.0.1.1')
    for _ in range(60):
        world.request()
        world.run(0.01)
    world.run(1.0)
    assert not taken.opened
    assert all(item.outcome == 'answered' for item in world.requests)


def test_a_dark_target_costs_one_copy() -> None:
    """All openings to a dead instance wait until they time out.

    Symptom: a share of new flows takes more than a second to open.
    Events: an instance loses power; its entry stays for some seconds.
    Cause: copies of an opening went where the first had been lost.
    """
    world = packet_world.small_world()
    world.servers['10.0.1.1'].silent = True
    world.kill('10.0.1.1')
    for _ in range(80):
        world.request()
        world.run(0.02)
    world.run(2.0)
    assert all(item.outcome == 'answered' for item in world.requests)
    slow = [item for item in world.requests if item.latency_s > 0.25]
    assert len(slow) <= 4
    assert max(item.latency_s for item in world.requests) < 0.75


def test_a_server_without_its_port_is_avoided() -> None:
    """A silent server beside a living agent gets no more new flows."""
    world = packet_world.small_world()
    world.servers['10.0.1.1'].silent = True
    for _ in range(80):
        world.request()
        world.run(0.02)
    world.run(2.0)
    assert all(item.outcome == 'answered' for item in world.requests)
    slow = [item for item in world.requests if item.latency_s > 0.25]
    assert len(slow) <= 20


def test_no_route_is_refused_at_once() -> None:
    """An opening to an address without a route is reset, and runs nowhere."""
    world = packet_world.small_world()
    world.store.configure(2, [packet_world.route('dispatch', port=444)])
    world.run(0.5)
    request = world.request(tries=1)
    world.run(0.05)
    assert request.outcome == 'failed'
    assert request.latency_s < 0.01
    assert not any(server.opened for server in world.servers.values())


def test_requests_wait_for_the_first_word_of_the_store() -> None:
    """Callers use up their tries while a balancer starts.

    Symptom: requests fail within 20 ms after a start.
    Events: all processes start; openings come before the store has answered.
    Cause: without a configuration, every address was one without a route.
    """
    world = packet_world.small_world()
    for host in list(world.processes):
        world.start(host)
    requests = [world.request() for _ in range(20)]
    world.run(1.0)
    assert all(item.outcome == 'answered' for item in requests)
    assert not world.resets


def test_shares_of_a_route_are_kept_by_every_balancer() -> None:
    """A flow of a split route goes to one service, whoever is asked."""
    world = packet_world.small_world()
    world.add_server('10.0.2.1', service='next', slots=2, service_s=0.01)
    split = packet_world.route('dispatch')._replace(
        choices=[
            records.ServiceChoice('dispatch', 75),
            records.ServiceChoice('next', 25),
        ]
    )
    world.store.configure(2, [split])
    world.run(0.5)
    feeds = serve_feeds(world, 200)
    share = len(world.servers['10.0.2.1'].opened) / 200
    assert 0.15 < share < 0.35
    for process in world.balancers():
        world.start(process.host)
    world.run(1.0)
    ask_all(world, feeds, 1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()


def test_a_late_answer_to_an_opening_meets_no_reset() -> None:
    """A flow is reset just as it opens.

    Symptom: a caller gets a reset right after its opening was accepted.
    Events: an agent stands still for 0.3 s; the caller repeats its opening;
    no other target is there; the agent wakes and the server accepts.
    Cause: a repeated opening without a further target was refused, though
    the first one was still under way.
    """
    world = packet_world.small_world(servers=1)
    agent = world.processes['10.0.1.1']
    agent.paused = True
    request = world.request(tries=1)
    world.run(0.3)
    agent.resume()
    world.run(0.5)
    assert request.outcome == 'answered'
    assert not world.resets


def test_a_balancer_without_agents_asks_for_no_packets() -> None:
    """Callers' openings die at a balancer that is cut off.

    Symptom: a share of openings times out for as long as a cut lasts.
    Events: one balancer loses its links to all other processes, while the
    fabric still reaches it.
    Cause: it said that it is ready, for it knew the configuration.
    """
    world = packet_world.small_world()
    for host in list(world.processes):
        world.cut.add(frozenset(('10.0.0.2', host)))
    world.run(3.0)
    assert not world.processes['10.0.0.2'].node.ready(world.now)
    requests = []
    for _ in range(60):
        requests.append(world.request(tries=1))
        world.run(0.02)
    world.run(1.0)
    assert all(item.outcome == 'answered' for item in requests)
    assert max(item.latency_s for item in requests) < 0.2
    world.cut.clear()
    world.run(1.0)
    assert world.processes['10.0.0.2'].node.ready(world.now)


@pytest.mark.parametrize('agents_restart', [False, True])
def test_a_flow_that_two_servers_accepted_is_found_at_the_right_one(
    agents_restart: bool,
) -> None:
    """A flow's packets go to a server that merely accepted its opening.

    Symptom: no answer on a flow whose server lives, or its caller gets a
    reset from a server that merely accepted the opening too.
    Events: an agent stands still for 0.3 s, so that a copy of an opening goes
    to a second server; both accept; the caller takes one answer; then all
    balancers start again and search, or the agents as well.
    Cause: the other agent said that its server holds the flow; or it had
    forgotten its server's number, gave it the asking packet, and passed on
    the reset that the server sent for it.
    """
    world = packet_world.small_world(servers=3)
    feeds = []
    for _ in range(4):
        agents = [world.processes[host] for host in world.servers]
        for agent in agents:
            agent.paused = True
        feeds += [world.request(feed=True) for _ in range(8)]
        world.run(0.3)
        for agent in agents:
            agent.resume()
        world.run(1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    accepted = [
        sum(feed.flow in server.flows for server in world.servers.values())
        for feed in feeds
    ]
    assert max(accepted) > 1
    if agents_restart:
        for host in world.servers:
            world.start(host)
    for process in world.balancers():
        world.start(process.host)
    world.run(1.0)
    ask_all(world, feeds, 1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not any(feed.resets for feed in feeds)
    assert not world.broken()


def test_a_new_server_that_resets_what_it_does_not_know() -> None:
    """An open flow is reset by a server that has just started.

    Symptom: a caller's flow is reset 1 ms after it opened at another server.
    Events: the fabric turns to a balancer that searches; an agent that is as
    young as its server can't tell, and gives it the asking packet; the server
    resets it in place of returning it, with the numbers that the caller
    expects; the agent passes the reset on.
    Cause: any packet of the server was taken to be for a flow that it holds.
    """
    world = packet_world.small_world(servers=6)
    feeds = serve_feeds(world, 40)
    for number in range(3):
        server = world.add_server(
            f'10.0.2.{number + 1}',
            service='dispatch',
            slots=2,
            service_s=0.03,
        )
        server.resets_unknown_flows = True
    for process in world.balancers():
        world.start(process.host)
    world.run(0.5)
    ask_all(world, feeds, 1.0)
    assert world.events('reset kept back')
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not any(feed.resets for feed in feeds)
    assert not world.broken()
