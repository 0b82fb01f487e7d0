"""Test who reads the store, and that a line tells why."""

from __future__ import annotations

from bench import packet_world
from teaseldock.packets import readers


def test_a_line_tells_who_reads_the_store_and_why() -> None:
    """Two processes say that they read, being first, and the others nothing.

    Without it, nobody can tell from the logs whether a process that lagged
    waited for others, or asked the store in vain.
    """
    world = packet_world.small_world(balancers=6, servers=6)
    world.run(5.0)
    reading = [
        process.host
        for process in world.balancers()
        if process.node.reads(world.now)
    ]
    assert len(reading) == readers.READERS
    last = {}
    for _, host, event, fields in world.lines:
        if event in ('reads store', 'leaves store to others'):
            last[host] = event, fields
    for host in reading:
        event, fields = last[host]
        assert event == 'reads store'
        assert fields['why'] == readers.Why.FIRST_IN_RANK.value
        assert fields['rank'] < readers.READERS
        assert fields['proof_age_s'] >= 0.0
    for host in last.keys() - set(reading):
        assert last[host][0] == 'leaves store to others'


def test_whoever_takes_over_counts_it() -> None:
    """The death of both readers shows in the counters of who follows."""
    world = packet_world.small_world(balancers=6, servers=6)
    for process in list(world.balancers()):
        if process.node.reads(world.now):
            world.kill(process.host)
    world.run(4.0)
    counters = [p.node.meters.counters for p in world.balancers()]
    assert sum(counter['reads_first_in_rank'] for counter in counters) >= 2
