"""Test the search for a flow that another balancer has placed."""

from __future__ import annotations

from bench import packet_world
from teaseldock.packets import control_budget
from teaseldock.packets import packet
from teaseldock.packets import searching

HOSTS = [f'10.0.1.{number}' for number in range(45)]


def make_packet(number: int, length: int = 0) -> packet.Packet:
    """Return a packet that differs from others by its number."""
    return packet.Packet(
        bytes(12),
        False,
        False,
        False,
        False,
        False,
        number,
        0,
        length,
        bytes(4),
        bytes([number]),
    )


def test_the_likeliest_are_asked_first() -> None:
    """The balancer queries four targets once each; relays query the rest.

    Relays start when all four have answered, or after 20 ms.
    """
    search = searching.Search(HOSTS, 0.0)
    assert search.hosts_to_ask() == HOSTS[:4]
    for host in HOSTS[:4]:
        search.asked(host)
    assert not search.hosts_to_ask()
    assert not search.hosts_for_relays(0.001)
    for host in HOSTS[:3]:
        search.note_denial(host)
    search.note_unsure(HOSTS[3])
    assert search.hosts_for_relays(0.002) == HOSTS[3:]
    unanswered = searching.Search(HOSTS, 0.0)
    assert not unanswered.hosts_for_relays(0.019)
    assert unanswered.hosts_for_relays(0.02) == HOSTS


def test_silence_is_no_denial() -> None:
    """A search is over when all hosts have denied holding the flow."""
    search = searching.Search(HOSTS[:3], 0.0)
    search.note_denial(HOSTS[0])
    search.note_denial(HOSTS[1])
    assert not search.all_denied
    search.note_denial(HOSTS[2])
    assert search.all_denied


def test_the_silent_are_asked_ever_more_seldom() -> None:
    """Queries to hosts without an answer back off.

    100 flows are searched for at 45 targets, some of them cut off. When every
    host without an answer was queried again each 0.2 s, queries filled the
    slow link of a balancer that had just started. No answer came back, and it
    served nothing for seconds.
    """
    search = searching.Search(HOSTS, 0.0)
    queries = 0
    for tick in range(100):
        now = tick * 0.05
        for host in search.hosts_to_ask():
            search.asked(host)
            queries += 1
        if search.hosts_for_relays(now):
            search.relayed(now)
            queries += 2
    # Four hosts, and two relays for 45 hosts eight times in five seconds.
    assert queries <= 4 + 2 * 8


def test_packets_are_bounded_and_the_shortest_asks() -> None:
    """Repetitions are held once, and at most sixteen packets in all.

    The shortest packet is the probe.
    """
    search = searching.Search(HOSTS, 0.0)
    search.add_packet(make_packet(1, length=1200))
    search.add_packet(make_packet(2, length=80))
    search.add_packet(make_packet(2, length=80))
    assert search.probe.length == 80
    for number in range(40):
        search.add_packet(make_packet(number, length=90))
    assert len(search.take_packets()) == searching.PACKETS_KEPT
    assert search.probe is None


def test_a_restart_among_dark_targets_does_not_flood() -> None:
    """Bytes for queries stay within their budget.

    There are 200 feeds, and a third of the instances go down with their
    servers. All balancers restart, so that every flow is searched for.
    """
    world = packet_world.small_world(servers=30, balancers=2)
    feeds = [world.request(feed=True) for _ in range(200)]
    world.run(1.0)
    for number in range(10):
        host = f'10.0.1.{number + 1}'
        world.servers[host].silent = True
        world.kill(host)
    for process in world.balancers():
        world.start(process.host)
    world.run(0.2)
    for feed in feeds:
        feed.ask()
    world.run(3.0)
    for process in world.balancers():
        spent = process.node.budget.spent['search']
        rate = control_budget.SEARCH_BYTES_PER_S
        limit = control_budget.SEARCH_BURST_BYTES + 3.2 * rate
        assert spent <= limit + 2000
    alive = [
        feed
        for feed in feeds
        if any(
            feed.flow in server.flows and not server.silent
            for server in world.servers.values()
        )
    ]
    assert len(alive) > 100
    assert all(feed.outcome == 'answered' for feed in alive)
    assert not world.broken()
