"""Test agents that ask others on behalf of a balancer."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from bench import packet_codec
from bench import packet_world
from teaseldock import exceptions
from teaseldock.packets import control
from teaseldock.packets import relaying
from teaseldock.packets import reporting
from teaseldock.packets import searching

FLOW = bytes(range(12))
HOSTS = ['10.0.1.1', '10.0.1.2', '10.0.1.3']
REQUESTER = '10.0.0.1'
LAYOUT = 17
TAG = control.service_tag('dispatch')


class Outlet:
    """Keep what is sent to processes."""

    def __init__(self) -> None:
        """Start empty."""
        self.sent: list[tuple[str, control.Envelope]] = []

    def send(self, host: str, datagram: bytes) -> None:
        """Keep a datagram."""
        self.sent.append((host, control.unpack(datagram)))

    def take(self, kind: int) -> list[tuple[str, control.Envelope]]:
        """Return what was sent of a kind, and forget all."""
        found = [item for item in self.sent if item[1].kind == kind]
        self.sent = []
        return found


def start_relay() -> tuple[relaying.Relay, Outlet]:
    """Return a relay that has just begun an errand at time 0."""
    outlet = Outlet()
    relay = relaying.Relay(outlet.send, reporting.Meters())
    raw = packet_codec.make_packet(FLOW, length=1).raw
    sent = control.unpack(
        control.pack_relay_request(control.RelayRequest(HOSTS, raw))
    )
    relay.begin(control.read_relay_request(sent), FLOW, REQUESTER, 0.0)
    return relay, outlet


def answer(result: searching.LocateResult) -> control.Envelope:
    """Return an agent's answer."""
    located = control.Located(FLOW, LAYOUT)
    return control.unpack(control.pack_located(result, TAG, located))


def outcomes(outlet: Outlet) -> list[tuple[int, list[str]]]:
    """Return what the asker was told, and forget all that was sent."""
    return [
        (item.detail, control.read_relay_result(item.body).hosts)
        for host, item in outlet.take(control.KIND_RELAYED)
        if host == REQUESTER
    ]


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_read_or_refused(body: bytes) -> None:
    """Errands and outcomes that no process of ours sent raise one error."""
    envelope = control.Envelope(control.KIND_RELAY, 0, TAG, body)
    try:
        assert control.read_relay_request(envelope).raw
    except exceptions.MessageError as error:
        assert error.code
    try:
        assert control.read_relay_result(body).hosts
    except exceptions.MessageError as error:
        assert error.code


def test_denials_are_told_together() -> None:
    """All hosts are asked at once; one datagram tells that nobody holds it."""
    relay, outlet = start_relay()
    asked = [host for host, _ in outlet.take(control.KIND_LOCATE)]
    assert asked == HOSTS
    for host in HOSTS:
        relay.on_located(answer(searching.LocateResult.NOT_HELD), host)
    assert outcomes(outlet) == [(searching.LocateResult.NOT_HELD, HOSTS)]


def test_the_holder_is_told_at_once() -> None:
    """Nobody is asked any more when the flow is found."""
    relay, outlet = start_relay()
    outlet.sent.clear()
    relay.on_located(answer(searching.LocateResult.HELD), HOSTS[1])
    assert outcomes(outlet) == [(searching.LocateResult.HELD, [HOSTS[1]])]
    relay.tick(1.0)
    assert not outlet.sent


def test_an_agent_that_is_unsure_gets_the_packet() -> None:
    """The packet lets its server show whether it holds the flow."""
    relay, outlet = start_relay()
    relay.on_located(answer(searching.LocateResult.UNSURE), HOSTS[0])
    [(host, probe)] = outlet.take(control.KIND_PROBE)
    assert host == HOSTS[0]
    assert packet_codec.decode(probe.body).flow == FLOW


def test_a_silent_host_hides_no_denials() -> None:
    """Denials are told after 50 ms, and later ones one by one.

    Symptom: all hosts are asked again and again while one is dark.
    Events: one of three agents is gone with its instance.
    Cause: the relay told nothing before all had answered, and the balancer
    gave the whole list to the next relay.
    """
    relay, outlet = start_relay()
    relay.on_located(answer(searching.LocateResult.NOT_HELD), HOSTS[0])
    relay.tick(relaying.PARTIAL_S + 0.01)
    assert outcomes(outlet) == [(searching.LocateResult.NOT_HELD, HOSTS[:1])]
    relay.on_located(answer(searching.LocateResult.NOT_HELD), HOSTS[1])
    assert outcomes(outlet) == [(searching.LocateResult.NOT_HELD, [HOSTS[1]])]
    relay.tick(relaying.ASK_AGAIN_S)
    asked = [host for host, _ in outlet.take(control.KIND_LOCATE)]
    assert asked == [HOSTS[2]]
    relay.tick(relaying.FORGET_S + 0.1)
    relay.on_located(answer(searching.LocateResult.NOT_HELD), HOSTS[2])
    assert not outlet.sent


def test_errands_are_bounded() -> None:
    """The oldest errand goes when there are too many."""
    outlet = Outlet()
    relay = relaying.Relay(outlet.send, reporting.Meters())
    for number in range(relaying.ERRANDS_KEPT + 1):
        errand = control.RelayRequest(HOSTS[:1], b'raw')
        relay.begin(errand, number.to_bytes(12), REQUESTER, 0.0)
    outlet.sent.clear()
    located = control.Located(bytes(12), LAYOUT)
    packed = control.pack_located(searching.LocateResult.HELD, TAG, located)
    relay.on_located(control.unpack(packed), HOSTS[0])
    assert not outlet.sent


def test_a_loss_of_power_costs_a_balancer_little_for_each_flow() -> None:
    """Slim links are full for ten seconds after a loss of power.

    Symptom: openings get no answer, and half of the lost flows are reset
    only after a second.
    Events: all instances lose power with their servers; each of 1,000 feeds
    asks on its flow, which nobody holds; agents are too young to know.
    Cause: each balancer asked all targets itself, with a packet: 15 KB a flow.
    """
    world = packet_world.small_world(balancers=6, servers=40)
    feeds = [world.request(feed=True) for _ in range(1000)]
    world.run(4.0)
    for server in world.servers.values():
        world.store.remove(server.identifier)
        server.crash()
        server.up = True
        world.store.put(server)
    for host in list(world.processes):
        world.start(host)
    world.run(0.2)
    for feed in feeds:
        feed.ask()
        world.run(0.002)
    world.run(1.0)
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert max(feed.latency_s for feed in feeds) < 0.3
    meters = [process.node.meters for process in world.balancers()]
    searches = sum(item.counters['searches'] for item in meters)
    budgets = [process.node.budget for process in world.balancers()]
    spent = sum(item.spent['search'] for item in budgets)
    assert searches > 900
    assert spent / searches < 800


def test_a_relay_that_dies_is_replaced() -> None:
    """Flows are found though some agents that relay are gone."""
    world = packet_world.small_world(balancers=2, servers=12)
    feeds = [world.request(feed=True) for _ in range(120)]
    world.run(2.0)
    for process in world.balancers():
        world.start(process.host)
    for number in range(3):
        world.servers[f'10.0.1.{number + 1}'].silent = True
        world.kill(f'10.0.1.{number + 1}')
    world.run(0.3)
    for feed in feeds:
        feed.ask()
    world.run(2.0)
    alive = [
        feed
        for feed in feeds
        if any(
            feed.flow in server.flows and not server.silent
            for server in world.servers.values()
        )
    ]
    assert len(alive) > 60
    assert all(feed.outcome == 'answered' for feed in alive)
    assert not world.broken()


def test_a_server_without_an_entry_keeps_its_flows() -> None:
    """Open flows of a server that lives are reset by new balancers.

    Symptom: feeds of one server are reset after balancers were replaced.
    Events: the server's entry expires, for it can't reach the store; half a
    minute later all balancers start again and learn the entries there are.
    Cause: they asked the registered targets only, and all of them said no.
    """
    world = packet_world.small_world(servers=3)
    feeds = [world.request(feed=True) for _ in range(30)]
    world.run(1.0)
    lost = world.servers['10.0.1.2']
    world.store.remove(lost.identifier)
    world.run(8.0)
    for feed in feeds:
        feed.ask()
    world.run(8.0)
    for process in world.balancers():
        world.start(process.host)
    world.run(1.0)
    for feed in feeds:
        feed.ask()
    world.run(1.0)
    assert lost.flows
    assert all(feed.outcome == 'answered' for feed in feeds)
    assert not world.broken()


def test_a_request_that_waits_is_not_run_by_a_question() -> None:
    """Nearly all servers run nothing for 3.4 s after a loss of power.

    Symptom: one second of service, then none until the timeout of requests;
    queues of 50 at idle servers.
    Events: new flows open, and their first requests wait for a slot; the
    fabric turns to other balancers, which search; the agent isn't sure of a
    flow that has only been accepted, and gives the asking packet to the
    server, which runs the request and answers. Later the request's turn comes
    in the queue; it goes to the server again, which has nothing to answer.
    Cause: an answered request stayed in the queue, and then kept a slot; and
    a caller that acknowledges the server's number has shown where the flow is.
    """
    world = packet_world.small_world(servers=1, slots=1, service_s=0.05)
    requests = [world.request(feed=True) for _ in range(12)]
    world.run(0.05)
    for process in world.balancers():
        world.start(process.host)
    for _ in range(15):
        world.run(0.05)
        requests.append(world.request(feed=True))
    world.run(1.2)
    [host] = world.servers
    agent = world.processes[host].node
    assert agent.queue.running == 0
    assert agent.queue.waiting == 0
    assert all(item.outcome == 'answered' for item in requests)


def test_a_balancer_that_lags_resets_nothing() -> None:
    """A flow at a new server is reset by a balancer that hasn't heard of it.

    Symptom: a feed is reset a moment after it opened at a server that lives.
    Events: a server joins; one balancer knows and places a feed there; that
    balancer dies; the changes have not reached the one that gets the feed's
    next packet, and all the servers that it knows say no.
    Cause: it took what it knew for all there is, though heartbeats of others
    told of a later revision.
    """
    world = packet_world.small_world(balancers=2, servers=2)
    for host in ('10.0.1.1', '10.0.1.2'):
        world.servers[host].draining = True
        world.store.put(world.servers[host])
    world.run(0.5)
    aware, unaware = (world.processes[f'10.0.0.{n}'].node for n in (1, 2))
    unaware.knowledge.apply = lambda *_: False
    unaware.ready = lambda now: False
    dark = frozenset(('10.0.0.2', '10.0.2.1'))
    world.cut.add(dark)
    new = world.add_server(
        '10.0.2.1', service='dispatch', slots=2, service_s=0.03
    )
    world.run(1.5)
    assert aware.knowledge.content_revision > (
        unaware.knowledge.content_revision
    )
    feed = world.request(feed=True)
    world.run(0.5)
    assert feed.flow in new.flows
    del unaware.ready
    world.kill('10.0.0.1')
    world.run(1.5)
    feed.ask()
    world.run(0.3)
    assert not world.broken()
    world.cut.discard(dark)
    del unaware.knowledge.apply
    world.run(3.0)
    assert feed.outcome == 'answered'
    assert not world.broken()
