"""Test that flows open at the right target and are found again."""

from __future__ import annotations

import pytest

from bench import packet_server
from bench import packet_world
from teaseldock.packets import records
from tests.packets.feeds import ask_all
from tests.packets.feeds import serve_feeds


def test_feeds_outlive_their_balancer() -> None:
    """Feeds are answered after the balancer that placed them dies.

    The fabric sends their packets to balancers that have never seen them. If
    only the dead balancer had the target, the feeds would get no answer
    although their servers are up.
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
    """A flow that its server has just closed still belongs to that server.

    Servers close flows that were idle for 12 s while the callers send, through
    balancers that may have restarted and search for the flows. If an agent
    dropped a flow when its server closed it, the agent would answer that the
    flow is not held. The server, which would end the flow properly, would get
    no packet, and packets of the flow would go to other servers for seconds.
    """
    world = packet_world.small_world()
    feeds = serve_feeds(world, 20)
    # From now on the agents have seen all flows of their servers.
    world.run(16.0)
    for server in world.servers.values():
        for flow in list(server.flows):
            server.end_idle(flow)
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
    """Feeds are answered after all balancers restart without state."""
    world = packet_world.small_world()
    feeds = serve_feeds(world, 40)
    for process in world.balancers():
        world.start(process.host)
    world.run(1.5)
    ask_all(world, feeds, 1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()


def test_feeds_outlive_a_changed_table() -> None:
    """Flows stay at their server when new targets rank higher.

    A balancer that never saw the flows gets their packets after targets were
    added. If it searched only where the new table puts the flows, it would
    reset them although their servers are up.
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
    """Feeds are answered after all agents are killed and restarted in turn."""
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
    """No flow is reset while its agent restarts.

    Balancers without state search for flows whose agent is stopped, and all
    other servers return the packets. If the missing answer counted as a
    denial, the balancers would reset flows that their server holds.
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


@pytest.mark.parametrize('change', ['draining', 'gone'])
def test_a_leaving_target_gets_no_new_flow(change: str) -> None:
    """New flows stop within three seconds; open flows stay."""
    world = packet_world.small_world()
    feeds = serve_feeds(world, 20)
    server = world.servers['10.0.1.2']
    server.draining = True
    if change == 'draining':
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
    """A reassigned address gets no flows of its previous service.

    A server dies, and its address goes to a server of another service while
    the store is down and balancers have the old entry. If the address alone
    identified the target, the new server would get flows of the old service.
    """
    world = packet_world.small_world()
    server = world.servers['10.0.1.1']
    server.crash()
    world.store.up = False
    replacement = packet_server.Server(
        world, '10.0.1.1', service='tickets', slots=2, service_s=0.01
    )
    world.servers['10.0.1.1'] = replacement
    world.start('10.0.1.1')
    for _ in range(60):
        world.request()
        world.run(0.01)
    world.run(1.0)
    assert not replacement.opened
    assert all(item.outcome == 'answered' for item in world.requests)


def test_a_dark_target_costs_one_copy() -> None:
    """An opening to a dead instance costs the caller one copy.

    An instance loses power, and its entry stays for some seconds. If copies of
    an opening were sent to the same instance, a share of new flows would take
    more than a second to open.
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
    """A silent server beside a running agent gets no more new flows."""
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
    """An opening to an address without a route is reset at once.

    It reaches no server.
    """
    world = packet_world.small_world()
    world.store.configure(2, [packet_world.route('dispatch', port=444)])
    world.run(0.5)
    request = world.request(tries=1)
    world.run(0.05)
    assert request.outcome == 'failed'
    assert request.latency_s < 0.01
    assert not any(server.opened for server in world.servers.values())


def test_requests_wait_for_the_first_word_of_the_store() -> None:
    """Openings wait for the store's first answer after a start.

    All processes start, and openings arrive before the store has answered. If
    a balancer without a configuration refused them, callers would use up their
    retries within 20 ms.
    """
    world = packet_world.small_world()
    for host in list(world.processes):
        world.start(host)
    requests = [world.request() for _ in range(20)]
    world.run(1.0)
    assert all(item.outcome == 'answered' for item in requests)
    assert not world.resets


def test_shares_of_a_route_are_kept_by_every_balancer() -> None:
    """Every balancer assigns a flow of a split route to the same service."""
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
    """A flow is not reset just as it opens.

    An agent stops for 0.3 s, the caller repeats its opening, and there is no
    other target. Then the agent resumes and the server accepts. If the
    balancer refused the repeated opening while the first copy was in flight,
    the caller would get a reset right after the acceptance.
    """
    world = packet_world.small_world(servers=1)
    agent = world.processes['10.0.1.1']
    agent.paused = True
    request = world.request(tries=1)
    world.run(0.3)
    agent.wake()
    world.run(0.5)
    assert request.outcome == 'answered'
    assert not world.resets


def test_a_balancer_without_agents_asks_for_no_packets() -> None:
    """A balancer that is cut off from all agents is not ready.

    It loses its links to all other processes while the fabric still reaches
    it. If it reported ready because it has a configuration, a share of
    openings would time out until the links are restored.
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
    """A search finds the server whose acceptance the caller uses.

    Agents stop for 0.3 s, so that a copy of an opening goes to a second server
    and both servers accept. Then all balancers restart and search; in one
    variant the agents restart as well. An agent must not answer that its
    server holds a flow that the server has only accepted. Nor may an agent
    that has lost its server's initial sequence number forward the reset with
    which the server answers the probe packet.
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
            agent.wake()
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
    """Resets of a new server for unknown flows are not forwarded.

    A balancer searches for open flows. An agent that started with its server
    can't answer from its own state and forwards the probe packet. The server
    resets the unknown flow instead of returning the packet, with the sequence
    numbers that the caller expects. If the agent took any packet of the server
    as proof that it holds the flow, it would forward the reset and end a flow
    that opened at another server 1 ms before.
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
        server.resets_unknown = True
    for process in world.balancers():
        world.start(process.host)
    world.run(0.5)
    ask_all(world, feeds, 1.0)
    assert world.events('reset kept back')
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not any(feed.resets for feed in feeds)
    assert not world.broken()
