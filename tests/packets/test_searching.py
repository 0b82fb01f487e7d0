"""Test the search for a flow that another balancer has placed."""

from __future__ import annotations

from bench import packet_world
from teaseldock.packets import control_budget
from teaseldock.packets import packet
from teaseldock.packets import searching

HOSTS = [f'10.0.1.{number}' for number in range(45)]


def made(number: int, length: int = 0) -> packet.Packet:
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
    """Four are asked by the balancer, each once; the rest by relays.

    Relays begin when all four have answered, or after 20 ms.
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
    silent = searching.Search(HOSTS, 0.0)
    assert not silent.hosts_for_relays(0.019)
    assert silent.hosts_for_relays(0.02) == HOSTS


def test_silence_is_no_denial() -> None:
    """A search is over when everybody has said no, not before."""
    search = searching.Search(HOSTS[:3], 0.0)
    search.note_denial(HOSTS[0])
    search.note_denial(HOSTS[1])
    assert not search.all_denied
    search.note_denial(HOSTS[2])
    assert search.all_denied


def test_the_silent_are_asked_ever_more_seldom() -> None:
    """Questions fill a link, so that no answer comes back.

    Symptom: a balancer with a slim link serves nothing for seconds after it
    has started; its link is full.
    Events: 100 flows are searched for at 45 targets; some are cut off.
    Cause: whoever had not answered was asked again each 0.2 s.
    """
    search = searching.Search(HOSTS, 0.0)
    asked = 0
    for tick in range(100):
        now = tick * 0.05
        for host in search.hosts_to_ask():
            search.asked(host)
            asked += 1
        if search.hosts_for_relays(now):
            search.relayed(now)
            asked += 2
    # Four hosts, and two relays for 45 hosts eight times in five seconds.
    assert asked <= 4 + 2 * 8


def test_packets_are_bounded_and_the_shortest_asks() -> None:
    """Repetitions are kept once, and sixteen packets at most."""
    search = searching.Search(HOSTS, 0.0)
    search.add_packet(made(1, length=1200))
    search.add_packet(made(2, length=80))
    search.add_packet(made(2, length=80))
    assert search.probe.length == 80
    for number in range(40):
        search.add_packet(made(number, length=90))
    assert len(search.take_packets()) == searching.PACKETS_KEPT
    assert search.probe is None


def test_a_restart_among_dark_targets_does_not_flood() -> None:
    """Bytes for questions stay within their budget.

    Events: 200 feeds; a third of the instances go dark with their servers;
    all balancers start again, so that every flow is searched for.
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
