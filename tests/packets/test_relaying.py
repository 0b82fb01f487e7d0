"""Test agents that query others on behalf of a balancer."""

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


class RecordingSender:
    """Record what is sent to processes."""

    def __init__(self) -> None:
        """Create a sender without datagrams."""
        self.sent: list[tuple[str, control.Envelope]] = []

    def send(self, host: str, datagram: bytes) -> None:
        """Record a datagram."""
        self.sent.append((host, control.unpack(datagram)))

    def take_kind(self, kind: int) -> list[tuple[str, control.Envelope]]:
        """Return the recorded datagrams of a kind, and drop all."""
        found = [item for item in self.sent if item[1].kind == kind]
        self.sent = []
        return found


def start_relay() -> tuple[relaying.Relay, RecordingSender]:
    """Return a relay that has just started a search at time 0."""
    sender = RecordingSender()
    relay = relaying.Relay(sender.send, reporting.Meters())
    raw = packet_codec.make_packet(FLOW, length=1).raw
    sent = control.unpack(
        control.pack_relay_request(control.RelayRequest(HOSTS, raw))
    )
    request = control.read_relay_request(sent)
    relay.begin(request, FLOW, REQUESTER, 0.0, acknowledged=0)
    return relay, sender


def answer(result: searching.LocateResult) -> control.Envelope:
    """Return an agent's answer."""
    located = control.Located(FLOW, LAYOUT)
    return control.unpack(control.pack_located(result, TAG, located))


def reported_results(sender: RecordingSender) -> list[tuple[int, list[str]]]:
    """Return the results reported to the requester, and drop all datagrams."""
    return [
        (item.detail, control.read_relay_result(item.body).hosts)
        for host, item in sender.take_kind(control.KIND_RELAYED)
        if host == REQUESTER
    ]


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_read_or_refused(body: bytes) -> None:
    """Arbitrary bytes are read as relay messages or raise MessageError."""
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
    """All hosts are queried at once; one datagram reports all denials."""
    relay, sender = start_relay()
    asked = [host for host, _ in sender.take_kind(control.KIND_LOCATE)]
    assert asked == HOSTS
    for host in HOSTS:
        relay.on_located(answer(searching.LocateResult.NOT_HELD), host)
    assert reported_results(sender) == [
        (searching.LocateResult.NOT_HELD, HOSTS)
    ]


def test_the_holder_is_told_at_once() -> None:
    """The holder is reported at once, and no host is queried after that."""
    relay, sender = start_relay()
    sender.sent.clear()
    relay.on_located(answer(searching.LocateResult.HELD), HOSTS[1])
    assert reported_results(sender) == [
        (searching.LocateResult.HELD, [HOSTS[1]])
    ]
    relay.tick(1.0)
    assert not sender.sent


def test_an_agent_that_is_unsure_gets_the_packet() -> None:
    """An agent that is unsure gets the packet, to probe its server."""
    relay, sender = start_relay()
    relay.on_located(answer(searching.LocateResult.UNSURE), HOSTS[0])
    [(host, probe)] = sender.take_kind(control.KIND_PROBE)
    assert host == HOSTS[0]
    assert packet_codec.decode(probe.body).flow == FLOW


def test_a_silent_host_hides_no_denials() -> None:
    """Denials are reported after 50 ms, and later ones one by one.

    One of three agents is down with its instance. If the relay reported
    nothing before all hosts had answered, the balancer would give the whole
    list to the next relay, and all hosts would be queried repeatedly.
    """
    relay, sender = start_relay()
    relay.on_located(answer(searching.LocateResult.NOT_HELD), HOSTS[0])
    relay.tick(relaying.PARTIAL_REPORT_S + 0.01)
    assert reported_results(sender) == [
        (searching.LocateResult.NOT_HELD, HOSTS[:1])
    ]
    relay.on_located(answer(searching.LocateResult.NOT_HELD), HOSTS[1])
    assert reported_results(sender) == [
        (searching.LocateResult.NOT_HELD, [HOSTS[1]])
    ]
    relay.tick(relaying.RETRY_INTERVAL_S)
    asked = [host for host, _ in sender.take_kind(control.KIND_LOCATE)]
    assert asked == [HOSTS[2]]
    relay.tick(relaying.SEARCH_TTL_S + 0.1)
    relay.on_located(answer(searching.LocateResult.NOT_HELD), HOSTS[2])
    assert not sender.sent


def test_errands_are_bounded() -> None:
    """The oldest relayed search is evicted when there are too many."""
    sender = RecordingSender()
    relay = relaying.Relay(sender.send, reporting.Meters())
    for number in range(relaying.MAX_SEARCHES + 1):
        request = control.RelayRequest(HOSTS[:1], b'raw')
        flow = number.to_bytes(12)
        relay.begin(request, flow, REQUESTER, 0.0, acknowledged=0)
    sender.sent.clear()
    located = control.Located(bytes(12), LAYOUT)
    packed = control.pack_located(searching.LocateResult.HELD, TAG, located)
    relay.on_located(control.unpack(packed), HOSTS[0])
    assert not sender.sent


def test_a_loss_of_power_costs_a_balancer_little_for_each_flow() -> None:
    """Searches for lost flows after a power loss need few bytes each.

    All instances lose power with their servers. Each of 1,000 feeds sends a
    request on its flow, which no server holds; agents have just started and
    can't answer from their own state. When each balancer queried all targets
    itself, with a packet, it sent 15 KB a flow. This filled its slow link for
    ten seconds: openings got no answer, and half of the lost flows were reset
    only after a second.
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
    """Flows are found although some agents that relay are down."""
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
    """Flows of a live server without an entry are not reset.

    The server's entry expires, since the server can't reach the store. Half a
    minute later all balancers restart and read the remaining entries. If they
    queried only registered targets, all of these would deny holding the flows,
    and the balancers would reset them.
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
    """A waiting request that a probe runs leaves the queue.

    New flows open, and their first requests wait for a slot. The fabric
    switches to other balancers, which search. The agent is unsure about a flow
    that has only been accepted and forwards the probe packet to the server,
    which runs the request and answers. If the request stayed in the queue, it
    would be sent again later, get no answer and occupy a slot. After a power
    loss this stopped nearly all servers for 3.4 s, with queues of 50 at idle
    servers. In addition, a caller that acknowledges the server's number shows
    where the flow is, so that no probe is needed.
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
    """A balancer without the newest changes does not reset a flow.

    A server joins; one balancer receives the change, places a feed there and
    dies. The balancer that gets the feed's next packet has not received the
    change, and all servers in its table deny holding the flow. Heartbeats of
    others show a later revision; if it ignored them, it would reset the flow.
    """
    world = packet_world.small_world(balancers=2, servers=2)
    for host in ('10.0.1.1', '10.0.1.2'):
        world.servers[host].draining = True
        world.store.put(world.servers[host])
    world.run(0.5)
    informed, lagging = (world.processes[f'10.0.0.{n}'].node for n in (1, 2))
    lagging.knowledge.apply = lambda *_: False
    lagging.ready = lambda now: False
    blocked_link = frozenset(('10.0.0.2', '10.0.2.1'))
    world.cut.add(blocked_link)
    new = world.add_server(
        '10.0.2.1', service='dispatch', slots=2, service_s=0.03
    )
    world.run(1.5)
    assert informed.knowledge.content_revision > (
        lagging.knowledge.content_revision
    )
    feed = world.request(feed=True)
    world.run(0.5)
    assert feed.flow in new.flows
    del lagging.ready
    world.kill('10.0.0.1')
    world.run(1.5)
    feed.ask()
    world.run(0.3)
    assert not world.broken()
    world.cut.discard(blocked_link)
    del lagging.knowledge.apply
    world.run(3.0)
    assert feed.outcome == 'answered'
    assert not world.broken()
