"""Test flows from ports whose former flows balancers and agents remember."""

from __future__ import annotations

import typing

import hypothesis
from hypothesis import strategies
import pytest

from bench import packet_caller
from bench import packet_codec
from bench import packet_world
from teaseldock.packets import control
from teaseldock.packets import hints
from tests.packets.feeds import ask_all
from tests.packets.feeds import serve_feeds

FIRST, SECOND = '10.0.0.1', '10.0.0.2'


def send_all_to(world: packet_world.World, host: str) -> None:
    """Make the fabric send all packets to one balancer from now on."""
    for process in world.balancers():
        chosen = process.host == host
        process.node.ready = lambda _, chosen=chosen: chosen
        world._probe_misses[process.host] = 0 if chosen else 9


def ports_of(feeds: list[packet_caller.Request]) -> set[bytes]:
    """Return the keys of the feeds' flows."""
    return {feed.flow for feed in feeds}


def end(world: packet_world.World, feed: packet_caller.Request) -> None:
    """Let a caller abandon a flow without closing it."""
    feed.outcome = 'abandoned'
    world.release_port(feed.flow)


def open_again(
    world: packet_world.World, former: list[packet_caller.Request]
) -> list[packet_caller.Request]:
    """Open new feeds from the ports of abandoned ones."""
    for feed in former:
        end(world, feed)
    world.run(packet_world.PORT_REST_S)
    feeds = serve_feeds(world, len(former))
    assert ports_of(feeds) & ports_of(former)
    return feeds


def count(world: packet_world.World, host: str, name: str) -> int:
    """Return a counter of one process."""
    return world.processes[host].node.meters.counters[name]


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_lost_flow_does_not_condemn_the_next_from_its_port(
    seed: int,
) -> None:
    """Guards against resets of flows whose port an earlier, lost flow had."""
    world = packet_world.small_world(seed=seed)
    send_all_to(world, FIRST)
    feeds = serve_feeds(world, 20)
    for server in world.servers.values():
        for feed in feeds:
            server.discard(feed.flow)
    old_ports = ports_of(feeds)
    ask_all(world, feeds, 0.3)
    assert count(world, FIRST, 'flows_lost') == 20
    for feed in feeds:
        end(world, feed)
    world.run(packet_world.PORT_REST_S)
    send_all_to(world, SECOND)
    again = serve_feeds(world, 20)
    assert ports_of(again) & old_ports
    send_all_to(world, FIRST)
    ask_all(world, again, 0.3)
    assert not world.broken()
    assert not any(feed.resets for feed in again)
    assert all(feed.outcome == 'answered' for feed in again)


@pytest.mark.parametrize('rounds', [2, 5])
def test_denials_do_not_outlive_their_flow(rounds: int) -> None:
    """Guards against searches that leave out a host which denied before.

    Flows from the same ports are opened through one balancer and used through
    another, until each server has denied one of them there.
    """
    world = packet_world.small_world(servers=3)
    feeds: list[packet_caller.Request] = []
    for _ in range(rounds):
        send_all_to(world, SECOND)
        feeds = open_again(world, feeds) if feeds else serve_feeds(world, 12)
        send_all_to(world, FIRST)
        ask_all(world, feeds, 0.4)
        assert not world.broken()
        assert not any(feed.resets for feed in feeds)
        assert all(feed.outcome == 'answered' for feed in feeds)


def test_a_server_that_refused_an_opening_may_hold_the_flow() -> None:
    """Guards against a reset of a flow at a server that refused one copy.

    One balancer has sent a copy to a server that returned it. The caller's
    next copy reached the same server through another balancer.
    """
    world = packet_world.small_world(servers=1)
    [host] = world.servers
    node = world.processes[FIRST].node
    send_all_to(world, SECOND)
    [feed] = serve_feeds(world, 1)
    hint = node._hints.add(
        feed.flow, 'dispatch', hints.HintState.OPENING, now=world.now
    )
    hint.denied.add(host)
    hint.host = '10.0.9.9'
    returned = packet_codec.make_packet(
        feed.flow,
        length=1,
        sequence=feed.sequence + 1,
        acknowledged=feed.server_sequence,
    )
    envelope = control.pack(
        control.KIND_RETURNED, control.ReturnReason.NOT_HELD, 0, returned.raw
    )
    node.on_datagram(envelope, hint.host, world.now)
    world.run(0.2)
    assert hint.host == host
    assert not world.resets


def test_an_agent_of_another_service_denies_no_flow() -> None:
    """Guards against a reset of a flow at an address that was used again."""
    world = packet_world.small_world(servers=1)
    [host] = world.servers
    node = world.processes[FIRST].node
    send_all_to(world, SECOND)
    [feed] = serve_feeds(world, 1)
    hint = node._hints.add(
        feed.flow, 'former', hints.HintState.HINTED, now=world.now
    )
    hint.host = host
    send_all_to(world, FIRST)
    ask_all(world, [feed], 0.4)
    assert feed.outcome == 'answered'
    assert not world.resets


def test_a_late_verdict_does_not_condemn_a_returned_packet() -> None:
    """Guards against a reset of a flow whose packet is returned just then.

    The former flow from its port has been declared lost a moment before.
    """
    world = packet_world.small_world(servers=1)
    [host] = world.servers
    node = world.processes[FIRST].node
    send_all_to(world, SECOND)
    [feed] = serve_feeds(world, 1)
    hint = node._hints.add(
        feed.flow, 'dispatch', hints.HintState.HINTED, now=world.now
    )
    hint.declare_lost(
        packet_codec.make_packet(feed.flow, length=1, acknowledged=7),
        world.now,
    )
    returned = packet_codec.make_packet(
        feed.flow,
        length=1,
        sequence=feed.sequence + 1,
        acknowledged=feed.server_sequence,
    )
    envelope = control.pack(
        control.KIND_RETURNED, control.ReturnReason.NOT_HELD, 0, returned.raw
    )
    node.on_datagram(envelope, '10.0.9.9', world.now)
    world.run(0.2)
    assert hint.host == host
    assert not world.resets


def test_a_search_does_not_outlive_its_flow() -> None:
    """Guards against the late verdict of a search that an opening has ended.

    The verdict waits for changes that the balancer seems to lack.
    """
    world = packet_world.small_world()
    send_all_to(world, FIRST)
    feeds = serve_feeds(world, 12)
    for server in world.servers.values():
        for feed in feeds:
            server.discard(feed.flow)
    targets = world.processes[FIRST].node._targets
    targets.is_behind = lambda *_: True
    ask_all(world, feeds, 0.3)
    assert count(world, FIRST, 'verdicts_delayed')
    assert not world.resets
    again = open_again(world, feeds)
    del targets.is_behind
    world.run(3.0)
    assert not world.resets
    ask_all(world, again, 0.3)
    assert all(feed.outcome == 'answered' for feed in again)


def test_a_lost_flow_costs_one_search() -> None:
    """Guards against a search for each packet of a caller that sends on."""
    world = packet_world.small_world()
    send_all_to(world, FIRST)
    feeds = serve_feeds(world, 20)
    for server in world.servers.values():
        for feed in feeds:
            server.discard(feed.flow)
    send_all_to(world, FIRST)
    before = count(world, FIRST, 'searches')
    for number in range(40):
        for feed in feeds:
            world.from_caller(
                packet_codec.make_packet(
                    feed.flow,
                    length=1200,
                    sequence=feed.sequence + 1200 * (number % 16),
                    acknowledged=feed.server_sequence,
                )
            )
        world.run(0.1)
    assert count(world, FIRST, 'searches') - before == 20
    assert count(world, FIRST, 'lost_flows_reset') > 20 * 30


def test_a_server_does_not_end_the_next_flow_from_a_port() -> None:
    """Guards against a reset by the server that has just ended a flow.

    The next flow from that port is open at another server; a balancer that
    remembers the former one sends its packets to the former server.
    """
    world = packet_world.small_world(servers=2)
    send_all_to(world, FIRST)
    feeds = serve_feeds(world, 12)
    for server in world.servers.values():
        for flow in list(server.flows):
            server.close_idle(flow)
            server.flows.discard(flow)
    former = world.servers['10.0.1.1']
    former.draining = True
    world.store.put(former)
    world.run(0.5)
    send_all_to(world, SECOND)
    again = open_again(world, feeds)
    send_all_to(world, FIRST)
    ask_all(world, again, 0.5)
    assert not world.broken()
    assert not any(feed.resets for feed in again)
    assert all(feed.outcome == 'answered' for feed in again)


class _Play:
    """A world in which few ports are used by one flow after the other."""

    def __init__(self, seed: int) -> None:
        """Start three balancers and three servers with their agents."""
        self.world = packet_world.small_world(servers=3, seed=seed)
        self.feeds: list[packet_caller.Request] = []
        self.stopped: list[str] = []

    def _pick(self, number: int, hosts: typing.Iterable[str]) -> str:
        ordered = sorted(hosts)
        return ordered[number % len(ordered)]

    def open(self, number: int) -> None:
        """Open some flows, from the ports that have rested longest."""
        for _ in range(1 + number):
            self.feeds.append(self.world.request(feed=True))
        self.world.run(0.1)

    def ask(self, _: int) -> None:
        """Send a request over each open flow."""
        for feed in self.feeds:
            if feed.outcome == 'answered':
                feed.ask()
        self.world.run(0.4)

    def abandon(self, number: int) -> None:
        """Let callers abandon some flows without closing them."""
        for feed in self.feeds[: 1 + 2 * number]:
            end(self.world, feed)
        del self.feeds[: 1 + 2 * number]
        self.world.run(packet_world.PORT_REST_S)

    def discard(self, number: int) -> None:
        """Let a server forget its flows without a word."""
        server = self.world.servers[self._pick(number, self.world.servers)]
        for flow in list(server.flows):
            server.discard(flow)

    def close(self, number: int) -> None:
        """Let a server end its flows."""
        server = self.world.servers[self._pick(number, self.world.servers)]
        for flow in list(server.flows):
            server.close_idle(flow)
        self.world.run(0.1)

    def crash(self, number: int) -> None:
        """Let a server crash and start again."""
        server = self.world.servers[self._pick(number, self.world.servers)]
        self.world.store.remove(server.identifier)
        server.crash()
        self.world.run(0.2)
        server.up = True
        self.world.store.put(server)
        self.world.run(0.2)

    def send_to(self, number: int) -> None:
        """Send all packets to one balancer."""
        hosts = [process.host for process in self.world.balancers()]
        if hosts:
            send_all_to(self.world, self._pick(number, hosts))

    def stop(self, number: int) -> None:
        """Stop a process after its notice, as in planned work."""
        if len(self.stopped) > 1:
            return
        host = self._pick(number, self.world.processes)
        self.world.processes[host].node.leave(self.world.now)
        self.world.run(0.3)
        self.world.kill(host)
        self.stopped.append(host)

    def start(self, _: int) -> None:
        """Start the processes that were stopped."""
        while self.stopped:
            self.world.start(self.stopped.pop())
        self.world.run(0.6)


STEPS = (
    *('open', 'ask', 'abandon', 'discard', 'close'),
    *('crash', 'send_to', 'stop', 'start'),
)


@hypothesis.settings(max_examples=200)
@hypothesis.given(
    seed=strategies.integers(1, 1000),
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(STEPS), strategies.integers(0, 5)
        ),
        min_size=8,
        max_size=24,
    ),
)
def test_no_open_flow_is_reset_whatever_its_port_was_used_for(
    seed: int, steps: list[tuple[str, int]]
) -> None:
    """Guards against verdicts and denials that outlive their flow."""
    play = _Play(seed)
    for name, number in [('open', 5), *steps, ('start', 0)]:
        getattr(play, name)(number)
        assert not play.world.broken()
    play.world.run(2.0)
    play.open(5)
    play.ask(0)
    play.world.run(2.0)
    assert not play.world.broken()
    assert all(feed.outcome == 'answered' for feed in play.feeds[-6:])
