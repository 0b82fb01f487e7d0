"""Test that openings are handed off to agents whose servers are free."""

from __future__ import annotations

import collections
import typing

import hypothesis
from hypothesis import strategies
import pytest

from bench import packet_caller
from bench import packet_codec
from bench import packet_world
from teaseldock import exceptions
from teaseldock.packets import agent
from teaseldock.packets import balancer
from teaseldock.packets import control
from teaseldock.packets import control_budget
from teaseldock.packets import expected_wait
from teaseldock.packets import handing_on
from teaseldock.packets import hints
from teaseldock.packets import load_query
from teaseldock.packets import placing
from teaseldock.packets import records

TAG = control.service_tag('dispatch')
FIRST, SECOND, THIRD = '10.0.1.1', '10.0.1.2', '10.0.1.3'
FREE = expected_wait.ExpectedWait(0.0, 0.03)
BUSY = expected_wait.ExpectedWait(0.3, 0.03)
AIM_S = 0.15
#: Maximum bytes a second that control messages of one process may take.
CONTROL_BYTES_PER_S = 10_000


def check_promises(world: packet_world.World) -> None:
    """Check that no open flow was reset, and that no order ran twice."""
    assert not world.broken()
    runs: collections.Counter[int] = collections.Counter()
    places: collections.defaultdict[tuple[int, bytes], set[str]]
    places = collections.defaultdict(set)
    for server in world.servers.values():
        for _, flow, sequence in server.ran:
            order = world.asked[flow, sequence]
            places[id(order), flow].add(server.host)
            if not order.feed:
                runs[id(order)] += 1
    assert all(count == 1 for count in runs.values())
    assert all(len(hosts) == 1 for hosts in places.values())


def opening_copy(request: packet_caller.Request, copy: int) -> bytes:
    """Return the bytes of a copy of a request's opening.

    :param copy: number of copies that the caller sent before it.
    """
    return packet_codec.make_packet(
        request.flow,
        opening=True,
        sequence=request.initial_sequence,
        acknowledged=copy,
    ).raw


def hand_off_of(world: packet_world.World, host: str) -> handing_on.HandOff:
    """Return the hand-off of the agent on a host."""
    return world.processes[host].node._hand_off


def counter(world: packet_world.World, name: str) -> int:
    """Return a counter, summed over all running processes."""
    return sum(
        process.node.meters.counters[name]
        for process in world.processes.values()
    )


def accepted_at(world: packet_world.World, flow: bytes) -> list[str]:
    """Return the hosts whose servers got the opening of a flow."""
    return [
        host
        for host, server in world.servers.items()
        if any(opened == flow for _, opened in server.opened)
    ]


class Scene:
    """A world in which a test chooses placements, waits and notices."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        *,
        servers: int = 3,
        balancers: int = 1,
    ) -> None:
        """Start servers, of which the first gets all new flows.

        No notice is sent by itself.
        """
        self._monkeypatch = monkeypatch
        monkeypatch.setattr(handing_on, 'MAX_NOTICES_PER_S', 0)
        # All candidates are considered, not only those that have answered.
        monkeypatch.setattr(placing, 'CANDIDATES', servers)
        monkeypatch.setattr(load_query, 'is_fresh', lambda *_: False)
        self.world = packet_world.small_world(
            servers=servers, balancers=balancers
        )
        self.place_at(FIRST, THIRD)

    def place_at(self, *hosts: str) -> None:
        """Let balancers prefer these hosts for new flows, in this order."""

        def pick(
            considered: list[placing.Candidate],
            *,
            data_centre: str,
            aim_s: float,
        ) -> placing.Candidate:
            return min(
                considered,
                key=lambda item: (
                    hosts.index(item.target.host)
                    if item.target.host in hosts
                    else len(hosts)
                ),
            )

        self._monkeypatch.setattr(placing, 'pick', pick)

    def make_busy(self, host: str) -> None:
        """Let an agent expect a long wait for new requests."""
        admitted = self.world.processes[host].node._admission
        self._monkeypatch.setattr(
            admitted, 'expected_wait', lambda now, priority=None: BUSY
        )

    def notify(self, host: str, sender: str) -> None:
        """Deliver a notice that the sender's server is free."""
        self.world.send_datagram(
            sender, host, control.pack_available(TAG, FREE)
        )
        self.world.run(0.002)

    def drop(self, kind: int, *, sender: str = '', to: str = '') -> None:
        """Lose all datagrams of a kind, or those between two hosts."""
        send = self.world.send_datagram

        def filtered(source: str, host: str, datagram: bytes) -> None:
            lost = datagram[1] == kind
            lost = lost and sender in ('', source) and to in ('', host)
            if not lost:
                send(source, host, datagram)

        self._monkeypatch.setattr(self.world, 'send_datagram', filtered)

    def order(self) -> packet_caller.Request:
        """Start an order whose opening reaches the first agent."""
        return self.world.request(tries=1)


@pytest.fixture(name='scene')
def _scene(monkeypatch: pytest.MonkeyPatch) -> Scene:
    """Return a world whose first agent is busy and knows of a free one."""
    scene = Scene(monkeypatch)
    scene.make_busy(FIRST)
    scene.notify(FIRST, SECOND)
    return scene


def test_an_opening_goes_to_the_free_server(scene: Scene) -> None:
    """An opening at a busy server is served by the one that is free.

    The balancer follows without a search, and no copy is needed.
    """
    world = scene.world
    order = scene.order()
    world.run(0.15)
    assert order.outcome == 'answered'
    assert accepted_at(world, order.flow) == [SECOND]
    assert counter(world, 'handed_on') == counter(world, 'taken_over') == 1
    assert counter(world, 'moves_followed') == 1
    assert not counter(world, 'searches')
    (line,) = world.events('handed on')
    assert line['to'] == SECOND
    assert line['own_wait_ms'] == 300
    assert line['promised_wait_ms'] == 0
    assert 0 <= line['notice_age_ms'] < 200
    assert line['hand_offs'] == 1
    check_promises(world)


def test_a_notice_counts_for_as_many_flows_as_there_are_slots(
    scene: Scene,
) -> None:
    """Guards against a burst that goes to one server that was free."""
    for _ in range(5):
        scene.order()
    scene.world.run(0.05)
    assert counter(scene.world, 'handed_on') == 2
    scene.world.run(1.0)
    check_promises(scene.world)


def test_a_notice_that_is_too_old_is_not_used(scene: Scene) -> None:
    """Guards against hand-offs to a server that was free a while ago."""
    scene.world.run(handing_on.NOTICE_TTL_S)
    order = scene.order()
    scene.world.run(0.2)
    assert accepted_at(scene.world, order.flow) == [FIRST]
    assert not counter(scene.world, 'handed_on')
    check_promises(scene.world)


def test_a_peer_that_died_costs_one_repetition(scene: Scene) -> None:
    """Guards against a lost opening that is never placed elsewhere.

    The free agent dies after its notice, and its server with it. The copy of
    the opening goes to another target, and no later opening is lost.
    """
    world = scene.world
    world.kill(SECOND)
    world.servers[SECOND].up = False
    order = scene.order()
    world.run(0.4)
    assert order.outcome == 'answered'
    assert order.latency_s > packet_caller.OPENING_REPEATS_S[0]
    assert accepted_at(world, order.flow) == [THIRD]
    scene.notify(FIRST, SECOND)
    later = scene.order()
    world.run(0.4)
    assert later.outcome == 'answered'
    assert counter(world, 'handed_on') == 1
    check_promises(world)


def test_a_partition_of_one_direction_costs_one_repetition(
    scene: Scene,
) -> None:
    """Guards against openings that get lost as long as a partition lasts.

    Notices of the free agent arrive, and nothing sent to it does.
    """
    world = scene.world
    scene.drop(control.KIND_HANDED_ON)
    orders = []
    for _ in range(10):
        scene.notify(FIRST, SECOND)
        orders.append(scene.order())
        world.run(0.3)
    assert all(order.outcome == 'answered' for order in orders)
    assert sum(order.latency_s > 0.2 for order in orders) == 1
    world.run(handing_on.NO_RECEIPT_TTL_S)
    scene.notify(FIRST, SECOND)
    scene.order()
    world.run(0.5)
    assert counter(world, 'handed_on') == 2
    check_promises(world)


def test_a_partition_between_agents_stops_hand_offs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hand-offs into a partition.

    No notices arrive, and openings are served as without hand-off.
    """
    scene = Scene(monkeypatch)
    world = scene.world
    scene.make_busy(FIRST)
    for host in (SECOND, THIRD):
        world.cut.add(frozenset((FIRST, host)))
        scene.notify(FIRST, host)
    order = scene.order()
    world.run(0.2)
    assert order.outcome == 'answered'
    assert accepted_at(world, order.flow) == [FIRST]
    check_promises(world)


@pytest.mark.parametrize('resets', [False, True])
def test_a_lost_message_to_the_balancer_leads_to_a_search(
    scene: Scene, resets: bool
) -> None:
    """Guards against data that reaches the server that has no such flow.

    KIND_MOVED is lost. The flow's data arrives at the first agent, which
    returns it without its server seeing it; that server may reset unknown
    flows.
    """
    world = scene.world
    world.servers[FIRST].resets_unknown_flows = resets
    received = []
    receive = world.servers[FIRST].receive
    world.servers[FIRST].receive = lambda item, token: (
        received.append(item),
        receive(item, token),
    )
    scene.drop(control.KIND_MOVED, to=world.seeds[0])
    order = scene.order()
    world.run(0.2)
    assert order.outcome == 'answered'
    assert not received
    assert not world.resets
    assert counter(world, 'searches') == 1
    assert accepted_at(world, order.flow) == [SECOND]
    check_promises(world)


def test_an_old_balancer_finds_the_flow(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against flows that are lost during an update.

    The balancer is of the previous version and drops KIND_MOVED.
    """
    world = scene.world
    handle = balancer.Balancer._on_envelope

    def handle_as_before(
        self: balancer.Balancer,
        envelope: control.Envelope,
        host: str,
        now: float,
    ) -> None:
        if envelope.kind < control.KIND_AVAILABLE:
            handle(self, envelope, host, now)

    monkeypatch.setattr(balancer.Balancer, '_on_envelope', handle_as_before)
    order = scene.order()
    world.run(0.2)
    assert order.outcome == 'answered'
    assert accepted_at(world, order.flow) == [SECOND]
    check_promises(world)


@pytest.mark.parametrize('delay_s', [0.0, 0.003, 0.008, 0.3, 3.0])
def test_the_message_and_the_next_packet_may_cross(
    scene: Scene, monkeypatch: pytest.MonkeyPatch, delay_s: float
) -> None:
    """Guards against a flow that is lost when KIND_MOVED comes late.

    It arrives before the data, after it, during the search, or long after.
    """
    world = scene.world
    send = world.send_datagram

    def delayed(source: str, host: str, datagram: bytes) -> None:
        wait_s = delay_s if datagram[1] == control.KIND_MOVED else 0.0
        world.after(wait_s, lambda: send(source, host, datagram))

    monkeypatch.setattr(world, 'send_datagram', delayed)
    feed = world.request(feed=True)
    world.run(0.2)
    assert feed.outcome == 'answered'
    for _ in range(4):
        feed.ask()
        world.run(1.0)
        assert feed.outcome == 'answered'
    assert feed.resets == 0
    assert accepted_at(world, feed.flow) == [SECOND]
    check_promises(world)


def test_a_late_message_does_not_lose_a_flow_that_opened_elsewhere(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stale KIND_MOVED that moves the hint of an open flow.

    The second agent stands still for less than a pause is recognised by the
    length of its ticks; the caller's copy opens the flow at a third server.
    """
    world = scene.world
    world.processes[SECOND].paused = True
    feed = world.request(feed=True)
    world.run(0.6)
    assert feed.outcome == 'answered'
    world.processes[SECOND].resume()
    world.run(0.2)
    feed.ask()
    world.run(0.5)
    assert feed.outcome == 'answered'
    assert feed.resets == 0
    assert not counter(world, 'moves_followed')
    check_promises(world)


def test_a_copy_that_comes_later_is_not_handed_on(scene: Scene) -> None:
    """Guards against an opening that reaches more and more servers.

    The acceptance of the second server is lost. The copy reaches the first
    agent again, which keeps it.
    """
    world = scene.world
    world.servers[SECOND].silent = True
    scene.drop(control.KIND_MOVED)
    order = scene.order()
    world.run(0.1)
    scene.notify(FIRST, THIRD)
    raw = opening_copy(order, 1)
    world.send_datagram(
        world.seeds[0], FIRST, control.pack(control.KIND_PACKET, 0, TAG, raw)
    )
    world.run(0.05)
    assert counter(world, 'handed_on') == 1
    assert FIRST in accepted_at(world, order.flow)
    assert THIRD not in accepted_at(world, order.flow)
    world.run(1.0)
    check_promises(world)


def test_a_duplicate_follows_the_first_copy(scene: Scene) -> None:
    """Guards against a flow that opens at two servers.

    The network duplicates the opening on its way to the first agent.
    """
    world = scene.world
    order = scene.order()
    raw = opening_copy(order, 0)
    packed = control.pack(control.KIND_PACKET, 0, TAG, raw)
    world.run(0.02)
    world.send_datagram(world.seeds[0], FIRST, packed)
    world.run(0.2)
    assert accepted_at(world, order.flow) == [SECOND]
    assert order.outcome == 'answered'
    check_promises(world)


def test_a_duplicate_of_a_kept_opening_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the hand-off of an opening that the server may have.

    The first copy goes to the server, which has not accepted it yet when the
    duplicate arrives and another server is free. The tracker forgets openings
    without an answer as soon as the server sends any packet.
    """
    scene = Scene(monkeypatch)
    world = scene.world
    world.servers[FIRST].silent = True
    order = scene.order()
    world.run(0.02)
    world.from_server(
        FIRST, packet_codec.make_packet(bytes(12), accepting=True)
    )
    scene.make_busy(FIRST)
    scene.notify(FIRST, SECOND)
    raw = opening_copy(order, 0)
    world.send_datagram(
        world.seeds[0], FIRST, control.pack(control.KIND_PACKET, 0, TAG, raw)
    )
    world.run(0.05)
    assert not counter(world, 'handed_on')
    check_promises(world)


def test_the_opening_of_a_held_flow_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the hand-off of a flow that is open here.

    A duplicate of its opening arrives after the decision about the first copy
    has expired. The flow would count as not held.
    """
    scene = Scene(monkeypatch)
    world = scene.world
    feed = world.request(feed=True)
    world.run(handing_on.DECISION_TTL_S + 1.0)
    scene.make_busy(FIRST)
    scene.notify(FIRST, SECOND)
    raw = opening_copy(feed, 0)
    world.send_datagram(
        world.seeds[0], FIRST, control.pack(control.KIND_PACKET, 0, TAG, raw)
    )
    # A server doesn't accept an open flow again, as the simulated one would.
    world.servers[FIRST].silent = True
    world.run(0.1)
    world.servers[FIRST].silent = False
    feed.ask()
    world.run(0.5)
    assert feed.outcome == 'answered'
    assert not counter(world, 'handed_on')
    assert accepted_at(world, feed.flow) == [FIRST]
    check_promises(world)


def test_a_copy_follows_when_the_first_agent_refuses_by_now(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the reset of a flow that the second server accepted.

    Its acceptance is late and KIND_MOVED is lost. The first agent refuses new
    flows when the copy arrives, and the balancer knows no other target.
    """
    world = scene.world
    targets = world.processes[world.seeds[0]].node._targets
    for_new_flow = targets.for_new_flow
    monkeypatch.setattr(
        targets,
        'for_new_flow',
        lambda flow, hint, now: [
            item
            for item in for_new_flow(flow, hint, now)
            if item.target.host == FIRST
        ],
    )
    scene.drop(control.KIND_MOVED, to=world.seeds[0])
    order = scene.order()
    receive = order.receive
    order.receive = lambda item: None
    world.run(0.05)
    assert order.flow in world.servers[SECOND].flows
    refuse(world, FIRST, 'draining')
    world.run(0.1)
    order.receive = receive
    world.run(0.3)
    assert order.outcome == 'answered'
    assert not world.resets
    assert accepted_at(world, order.flow) == [SECOND]
    check_promises(world)


@pytest.mark.parametrize('accepts', [False, True])
def test_a_copy_follows_although_one_was_kept(
    scene: Scene, accepts: bool
) -> None:
    """Guards against a decision that is lost when a later copy is kept.

    The second server has accepted the opening, and the first agent's server
    may have accepted a copy. Then the first agent refuses new flows.
    """
    world = scene.world
    order = scene.order()
    order.receive = lambda item: None
    world.run(0.05)
    world.servers[FIRST].silent = not accepts

    def send(copy: int) -> None:
        raw = opening_copy(order, copy)
        packed = control.pack(control.KIND_PACKET, 0, TAG, raw)
        world.send_datagram(world.seeds[0], FIRST, packed)
        world.run(0.02)

    send(1)
    refuse(world, FIRST, 'draining')
    before = {host: len(s.opened) for host, s in world.servers.items()}
    send(2)
    holder = FIRST if accepts else SECOND
    assert len(world.servers[holder].opened) == before[holder] + 1
    assert not world.events('given back')
    assert counter(world, 'handed_on') == 1


@pytest.mark.parametrize('copy', [1, 2])
def test_a_repeated_opening_stays(scene: Scene, copy: int) -> None:
    """Guards against the hand-off of an opening that may be open elsewhere.

    The first copy that reaches this agent is a later one of the caller.
    """
    world = scene.world
    flow = bytes(range(12))
    raw = packet_codec.make_packet(flow, opening=True, acknowledged=copy).raw
    world.send_datagram(
        world.seeds[0], FIRST, control.pack(control.KIND_PACKET, 0, TAG, raw)
    )
    world.run(0.02)
    assert accepted_at(world, flow) == [FIRST]
    assert not counter(world, 'handed_on')


def test_a_notice_of_a_draining_server_is_ignored(scene: Scene) -> None:
    """Guards against openings for a server whose agent lags."""
    world = scene.world
    world.servers[SECOND].draining = True
    world.store.put(world.servers[SECOND])
    world.run(1.0)
    scene.notify(FIRST, SECOND)
    scene.order()
    world.run(0.5)
    assert not counter(world, 'handed_on')
    check_promises(world)


@pytest.mark.parametrize('state', ['hinted', 'searched', 'lost'])
def test_a_flow_that_was_found_does_not_move(scene: Scene, state: str) -> None:
    """Guards against a late KIND_MOVED that undoes the result of a search."""
    world = scene.world
    node = world.processes[world.seeds[0]].node
    flow = bytes(range(12))
    hint = node._hints.add(
        flow, 'dispatch', hints.HintState(state), now=world.now
    )
    hint.host = THIRD
    moved = control.pack_moved(control.MovedResult.TAKEN, TAG, flow)
    node.on_datagram(moved, SECOND, world.now)
    assert hint.host == THIRD
    hint.state = hints.HintState.OPENING
    other = control.service_tag('other')
    moved_other = control.pack_moved(control.MovedResult.TAKEN, other, flow)
    node.on_datagram(moved_other, SECOND, world.now)
    assert hint.host == THIRD
    assert node.meters.counters['moves_ignored'] == 2
    node.on_datagram(moved, SECOND, world.now)
    assert hint.host == SECOND


def test_a_returned_opening_may_overtake_the_message(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a hint that names an agent that refused the flow.

    KIND_MOVED arrives after the returned opening, when the caller's copy has
    opened the flow elsewhere.
    """
    world = scene.world
    refuse(world, SECOND, 'draining')
    send = world.send_datagram

    def delayed(source: str, host: str, datagram: bytes) -> None:
        wait_s = 0.5 if datagram[1] == control.KIND_MOVED else 0.0
        world.after(wait_s, lambda: send(source, host, datagram))

    monkeypatch.setattr(world, 'send_datagram', delayed)
    feed = world.request(feed=True)
    world.run(1.0)
    feed.ask()
    world.run(0.1)
    assert feed.outcome == 'answered'
    assert not counter(world, 'moves_followed')
    assert not counter(world, 'searches')
    check_promises(world)


def test_a_restarted_balancer_finds_the_flow(scene: Scene) -> None:
    """Guards against a flow that is lost with the balancer's state.

    The balancer restarts between the opening and KIND_MOVED, which it can't
    assign to a flow.
    """
    world = scene.world
    feed = world.request(feed=True)
    while not counter(world, 'handed_on'):
        world.run(0.0001)
    world.start(world.seeds[0])
    world.run(3.0)
    assert counter(world, 'moves_ignored') == 1
    assert feed.outcome == 'answered'
    assert feed.resets == 0
    assert accepted_at(world, feed.flow) == [SECOND]
    check_promises(world)


@pytest.mark.parametrize('host', [FIRST, SECOND])
def test_an_agent_that_restarts_after_the_hand_off(
    scene: Scene, host: str
) -> None:
    """Guards against a flow that is lost with the state of an agent.

    KIND_MOVED is lost, so that the flow's packets reach the first agent,
    which may have no record of the hand-off.
    """
    world = scene.world
    scene.drop(control.KIND_MOVED, to=world.seeds[0])
    feed = world.request(feed=True)
    while not accepted_at(world, feed.flow):
        world.run(0.0001)
    world.start(host)
    world.run(3.0)
    assert feed.outcome == 'answered'
    feed.ask()
    world.run(1.0)
    assert feed.outcome == 'answered'
    check_promises(world)


def test_an_opening_is_handed_on_twice_at_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against openings that go around between busy agents.

    All four agents are busy, and each believes the next one to be free.
    """
    scene = Scene(monkeypatch, servers=4)
    world = scene.world
    hosts = sorted(world.servers)
    for host, sender in zip(hosts, hosts[1:] + hosts[:1]):
        scene.make_busy(host)
        scene.notify(host, sender)
    order = scene.order()
    world.run(0.2)
    assert accepted_at(world, order.flow) == [hosts[2]]
    assert counter(world, 'handed_on') == 2
    assert counter(world, 'taken_over') == 1
    assert not counter(world, 'searches')
    assert order.outcome == 'answered'
    check_promises(world)


def test_an_opening_never_returns_to_its_sender(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two agents that hand an opening to each other."""
    scene = Scene(monkeypatch)
    world = scene.world
    for host, sender in ((FIRST, SECOND), (SECOND, FIRST)):
        scene.make_busy(host)
        scene.notify(host, sender)
    order = scene.order()
    world.run(0.2)
    assert accepted_at(world, order.flow) == [SECOND]
    assert counter(world, 'handed_on') == 1
    check_promises(world)


def refuse(world: packet_world.World, host: str, how: str) -> None:
    """Let an agent refuse new flows before anybody else knows it."""
    node = world.processes[host].node
    if how == 'draining':
        node._own_target = node._own_target._replace(draining=True)
    elif how == 'evacuated':
        node._is_evacuated = lambda: True
    elif how == 'leaving':
        node._leaving = True
    else:
        node._warming.set_limit(records.ColdLimit('dispatch', 60_000, 1.0))
        node._warming.assume_cold(world.now)
        node._warming.note_opening(world.now)


REFUSALS = ['draining', 'evacuated', 'leaving', 'cold']


@pytest.mark.parametrize('how', REFUSALS)
def test_an_agent_that_refuses_returns_the_opening(
    scene: Scene, how: str
) -> None:
    """Guards against new flows at a server that may get none.

    The agent has sent a notice and refuses new flows since. The opening is
    placed elsewhere without waiting for its copy.
    """
    world = scene.world
    refuse(world, SECOND, how)
    order = scene.order()
    world.run(0.15)
    assert order.outcome == 'answered'
    assert SECOND not in accepted_at(world, order.flow)
    assert not counter(world, 'taken_over')
    check_promises(world)


@pytest.mark.parametrize('receipts', [True, False])
@pytest.mark.parametrize('how', REFUSALS)
def test_an_opening_that_everybody_refuses_ends(
    scene: Scene, how: str, receipts: bool
) -> None:
    """Guards against an opening that goes around between two agents.

    Both begin to refuse after the hand-off, and no other target is left. The
    caller is refused at once. If the first agent doesn't learn that the second
    one refuses, two copies follow the opening, and the next one is refused.
    """
    world = scene.world
    if not receipts:
        scene.drop(control.KIND_MOVED, to=FIRST)
    world.servers[THIRD].draining = True
    world.store.put(world.servers[THIRD])
    world.run(0.5)
    scene.notify(FIRST, SECOND)
    order = scene.order()
    while not counter(world, 'handed_on'):
        world.run(0.0001)
    refuse(world, FIRST, how)
    refuse(world, SECOND, how)
    world.run(0.1 if receipts else 0.7)
    assert order.outcome == 'failed'
    assert order.latency_s < (0.1 if receipts else 0.7)
    followed = world.processes[FIRST].node.meters.counters['copies_followed']
    assert followed == (0 if receipts else handing_on.MAX_FOLLOWING_COPIES)
    assert not accepted_at(world, order.flow)
    check_promises(world)


@pytest.mark.parametrize('how', REFUSALS)
def test_an_agent_that_refuses_sends_no_notices(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """Guards against notices that attract flows to a leaving server."""
    world = packet_world.small_world(servers=2)
    for host in world.servers:
        refuse(world, host, how)
    world.run(0.01)
    before = counter(world, 'notices_sent')
    assert before
    for host in world.servers:
        hand_off_of(world, host).notify_if_free(world.now)
    world.run(0.9)
    assert counter(world, 'notices_sent') == before


def test_an_evacuation_stops_hand_offs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against new flows that enter an evacuated data centre.

    Its agents have sent notices just before, and its servers are the only
    free ones.
    """
    world = packet_world.World(balancers=2)
    world.store.configure(1, [packet_world.route('dispatch')])
    for centre in (1, 2):
        for index in range(3):
            world.add_server(
                f'10.0.{centre}.{index + 1}',
                service='dispatch',
                slots=1,
                service_s=0.06,
                data_centre=f'dc-{centre}',
            )
    world.run(2.0)
    world.store.evacuate('dc-2')
    world.run(1.0)
    since = world.now
    for _ in range(120):
        world.request(tries=1)
        world.run(0.025)
    late = [
        at
        for host, server in world.servers.items()
        for at, _ in server.opened
        if host.startswith('10.0.2.') and at >= since
    ]
    assert not late
    world.run(2.0)
    check_promises(world)


@pytest.mark.parametrize('pause_s', [0.5, 3.0])
def test_notices_that_waited_during_a_pause_are_ignored(
    monkeypatch: pytest.MonkeyPatch, pause_s: float
) -> None:
    """Guards against hand-offs on notices whose age can't be known.

    They arrive while the process stands still, and an opening after them.
    """
    scene = Scene(monkeypatch)
    world = scene.world
    scene.make_busy(FIRST)
    world.processes[FIRST].paused = True
    scene.notify(FIRST, SECOND)
    world.run(pause_s)
    order = scene.order()
    world.run(0.01)
    world.processes[FIRST].resume()
    world.run(0.3)
    assert not counter(world, 'handed_on')
    assert counter(world, 'notices_ignored') == 1
    assert order.outcome == 'answered'
    check_promises(world)


@pytest.mark.parametrize('how', ['silent', 'failing'])
def test_a_server_that_does_not_serve_sends_no_notices(how: str) -> None:
    """Guards against a server without requests that serves none.

    It looks free, and would attract the flows of all others.
    """
    world = packet_world.small_world(servers=2)
    node = world.processes[FIRST].node
    if how == 'silent':
        for number in range(2):
            node.tracker.from_caller(
                packet_codec.make_packet(bytes([number]) * 12, opening=True),
                world.now,
            )
        world.run(0.2)
    else:
        for _ in range(3):
            node._admission._outcomes.note(world.now, failed=True)
    before = node.meters.counters['notices_sent']
    node._hand_off.notify_if_free(world.now)
    assert node.meters.counters['notices_sent'] == before


def test_notices_are_bounded() -> None:
    """Guards against notices that fill the budget for control messages."""
    world = packet_world.small_world(servers=4, service_s=0.002)
    node = world.processes[FIRST].node
    before = node.meters.counters['notices_sent']
    spent = node.budget.spent['question']
    for _ in range(200):
        node._hand_off.notify_if_free(world.now)
        world.run(0.005)
    sent = node.meters.counters['notices_sent'] - before
    assert sent <= handing_on.MAX_NOTICES_PER_S
    assert node.meters.counters['notices_left_out'] >= 300
    assert node.budget.spent['question'] - spent <= 20 * 40
    question = control_budget.Purpose.QUESTION
    while node.budget.allows(question, world.now):
        node.budget.spend(question, 1000)
    world.run(1.0)
    while node.budget.allows(question, world.now):
        node.budget.spend(question, 1000)
    before = node.meters.counters['notices_sent']
    node._hand_off.notify_if_free(world.now)
    assert node.meters.counters['notices_sent'] == before


def test_uploads_stay_where_they_are(monkeypatch: pytest.MonkeyPatch) -> None:
    """Uploads don't wait for a slot, so that a hand-off gains nothing."""
    scene = Scene(monkeypatch)
    world = scene.world
    world.store.configure(
        2,
        [packet_world.route('dispatch', kind=records.RequestKind.UPLOAD)],
    )
    world.run(1.0)
    scene.make_busy(FIRST)
    scene.notify(FIRST, SECOND)
    order = scene.order()
    world.run(0.2)
    assert accepted_at(world, order.flow) == [FIRST]
    check_promises(world)


class LoadResult(typing.NamedTuple):
    """The outcome of a simulated load.

    :ivar late: share of the orders that missed their objective.
    :ivar p99_s: 99th percentile of the orders' latency.
    :ivar handed_on: number of hand-offs.
    """

    late: float
    p99_s: float
    handed_on: int


def play_load(
    monkeypatch: pytest.MonkeyPatch, *, seed: int, hand_off: bool
) -> LoadResult:
    """Serve feeds pinned to a third of the servers, and blind orders.

    The twelve servers have one slot and take 25 ms. Feeds use 0.8 of the
    capacity of four of them. 90 orders a second are placed without load
    information.
    """
    if not hand_off:
        monkeypatch.setattr(handing_on, 'MAX_NOTICES_PER_S', 0)
    world = packet_world.World(balancers=3, seed=seed)
    world.store.configure(1, [packet_world.route('dispatch')])

    def add(index: int) -> None:
        world.add_server(
            f'10.0.1.{index + 1}', service='dispatch', slots=1, service_s=0.025
        )

    for index in range(4):
        add(index)
    world.run(2.0)
    feeds = []
    for _ in range(80):
        feeds.append(world.request(feed=True))
        world.run(0.03)
    for index in range(4, 12):
        add(index)
    world.run(2.0)
    monkeypatch.setattr(placing, 'pick', lambda considered, **_: considered[0])
    for process in world.balancers():
        process.node._may_query = lambda now: False

    def ask(feed: packet_caller.Request) -> None:
        if feed.outcome == 'answered':
            feed.ask()
        world.after(world.random.uniform(0.4, 0.85), lambda: ask(feed))

    for feed in feeds:
        world.after(world.random.uniform(0.0, 0.6), lambda f=feed: ask(f))
    world.run(1.0)
    orders = []
    for _ in range(900):
        orders.append(world.request(tries=1))
        world.run(world.random.expovariate(90.0))
    world.run(3.0)
    check_promises(world)
    ours = {
        rate
        for (host, _), rate in world.control_bytes.items()
        if host in world.servers
    }
    assert max(ours) < CONTROL_BYTES_PER_S
    assert all(order.outcome == 'answered' for order in orders)
    latencies = sorted(order.latency_s for order in orders)
    return LoadResult(
        sum(latency > AIM_S for latency in latencies) / len(latencies),
        latencies[int(0.99 * len(latencies))],
        counter(world, 'handed_on'),
    )


@pytest.mark.parametrize('seed', [1, 2])
def test_blind_orders_are_late_less_often(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against orders that wait behind feeds while servers are idle."""
    with monkeypatch.context() as patch:
        without = play_load(patch, seed=seed, hand_off=False)
    with monkeypatch.context() as patch:
        with_hand_off = play_load(patch, seed=seed, hand_off=True)
    print(without, with_hand_off)
    assert not without.handed_on
    assert with_hand_off.handed_on
    assert with_hand_off.late < without.late / 2
    assert with_hand_off.p99_s < without.p99_s


@pytest.mark.parametrize('loss', [0.02, 0.2])
def test_lost_datagrams_break_no_promise(
    monkeypatch: pytest.MonkeyPatch, loss: float
) -> None:
    """Guards against resets and second runs when any message is lost.

    Agents restart and pause meanwhile, and openings go to random agents.
    """
    world = packet_world.small_world(
        servers=6, slots=1, service_s=0.06, seed=int(100 * loss)
    )
    monkeypatch.setattr(placing, 'pick', lambda considered, **_: considered[0])
    world.loss = loss
    requests = []
    for step in range(300):
        requests.append(world.request(feed=step % 3 == 0))
        world.run(0.02)
        host = f'10.0.1.{world.random.randint(1, 6)}'
        if step % 50 == 20:
            world.start(host)
        elif step % 50 == 40:
            process = world.processes[host]
            process.paused = True
            world.after(world.random.uniform(0.1, 1.5), process.resume)
    world.loss = 0.0
    world.run(8.0)
    assert counter(world, 'handed_on')
    check_promises(world)


WAITS = strategies.builds(
    expected_wait.ExpectedWait,
    strategies.floats(0.0, 2.0),
    strategies.floats(0.001, 0.5),
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([FIRST, SECOND, THIRD]),
            WAITS,
            strategies.floats(0.0, 0.3),
        ),
        max_size=8,
    ),
    WAITS,
    strategies.integers(0, 4),
)
def test_every_choice_is_worth_it(
    notices: list[tuple[str, expected_wait.ExpectedWait, float]],
    own: expected_wait.ExpectedWait,
    hand_offs: int,
) -> None:
    """Whatever the notices, a choice keeps to all rules of the page."""
    now, known = 100.0, handing_on.Notices()
    for host, wait, age_s in sorted(notices, key=lambda item: -item[2]):
        known.add(host, wait, slots=1, now=now - age_s)
    choice = handing_on.HandOnPolicy(known).choose(
        own, aim_s=AIM_S, sender=FIRST, hand_offs=hand_offs, now=now
    )
    if choice is None:
        return
    assert hand_offs < handing_on.MAX_HAND_OFFS
    assert choice.host != FIRST
    assert choice.age_s < handing_on.NOTICE_TTL_S
    assert own.start_s > handing_on.MIN_OWN_WAIT_SHARE * AIM_S
    gain_s = own.total_s - choice.wait.total_s
    assert gain_s >= max(handing_on.MIN_GAIN_S, choice.wait.service_s)


def test_records_are_bounded() -> None:
    """Guards against memory that grows with peers and with flows."""
    known = handing_on.Notices()
    policy = handing_on.HandOnPolicy(known)
    for number in range(2 * handing_on.MAX_DECISIONS):
        known.add(f'10.0.{number >> 8}.{number & 255}', FREE, slots=1, now=1.0)
        flow = number.to_bytes(12, 'big')
        policy.note_kept(packet_codec.make_packet(flow, opening=True), 1.0)
    assert len(known) == handing_on.MAX_NOTICES
    assert policy.decision(bytes(12), 1.0) is None
    assert len(policy._decisions) == handing_on.MAX_DECISIONS
    policy.decision(bytes(12), 1.0 + handing_on.DECISION_TTL_S)
    assert not policy._decisions


@hypothesis.given(WAITS)
def test_messages_are_read_as_packed(wait: expected_wait.ExpectedWait) -> None:
    """Waits are transferred to the millisecond, and openings unchanged."""
    envelope = control.unpack(control.pack_available(TAG, wait))
    read = control.read_available(envelope.body)
    assert envelope.tag == TAG
    assert read.start_s == pytest.approx(wait.start_s, abs=0.001)
    assert read.service_s == pytest.approx(wait.service_s, abs=0.001)
    opening = control.HandedOpening('10.0.0.1', 2, b'raw')
    envelope = control.unpack(control.pack_handed_on(TAG, opening))
    assert control.read_handed_on(envelope.body) == opening


def test_a_long_wait_fits_into_a_notice() -> None:
    """Guards against a wait of over 65 s that can't be encoded."""
    packed = control.pack_available(
        TAG, expected_wait.ExpectedWait(100.0, 70.0)
    )
    read = control.read_available(control.unpack(packed).body)
    assert read == expected_wait.ExpectedWait(65.535, 65.535)


@pytest.mark.parametrize(
    'read',
    [control.read_available, control.read_handed_on, control.read_moved],
)
def test_malformed_messages_are_rejected(
    read: typing.Callable[[bytes], typing.Any],
) -> None:
    """Guards against a malformed datagram that stops a process."""
    for body in (b'', bytes(3), bytes(5)):
        with pytest.raises(exceptions.MessageError):
            read(body)


def test_only_openings_are_taken_over() -> None:
    """Guards against data that bypasses the check of the held flows."""
    world = packet_world.small_world(servers=1)
    node = world.processes[FIRST].node
    raw = packet_codec.make_packet(bytes(12), length=1).raw
    opening = control.HandedOpening(world.seeds[0], 1, raw)
    node.on_datagram(control.pack_handed_on(TAG, opening), SECOND, world.now)
    other = control.service_tag('other')
    raw = packet_codec.make_packet(bytes(12), opening=True).raw
    opening = opening._replace(raw=raw)
    node.on_datagram(control.pack_handed_on(other, opening), SECOND, world.now)
    assert node.meters.counters['dropped_handed_on'] == 2
    assert not node.meters.counters['packets_in']
    assert isinstance(node, agent.Agent)
