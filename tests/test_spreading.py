"""Test that configuration reaches all processes with few reads."""

from __future__ import annotations

from bench import shapes
from bench import world
from teaseldock import configuration


def generations(run: world.World) -> set[int]:
    """Return the revisions in force at live processes."""
    return {
        process.node.config.generation
        for process in run.processes.values()
        if process.alive
    }


def test_in_force_everywhere_within_four_seconds(small: world.World) -> None:
    """Each of ten changes is in force at all processes within 4 s."""
    for step in range(10):
        small.rules['leaving'] = [f'dispatch-{step % 3 + 1}']
        revision = small.publish('rules', small.rules)
        began = small.now
        small.run_until(began + 4.0)
        assert generations(small) == {revision}
        for process in small.processes.values():
            assert process.in_force[revision] - began <= 4.0


def test_reads_do_not_grow_with_the_processes() -> None:
    """Three times the targets cause no more reads per change."""
    reads = []
    for count in (4, 12):
        shape = shapes.Shape(
            'x', (('dispatch', count),), 2, 0.001, 0.001, 'orders', 'dispatch'
        )
        run = world.World(shape, seed=5, balancers=3)
        run.run_until(8.0)
        before = run.reads
        for _ in range(5):
            run.publish('rules', run.rules)
            run.run_until(run.now + 2.0)
        reads.append(run.reads - before)
    assert reads[1] <= reads[0]


def test_a_replacement_takes_the_newest_though_the_platform_is_stale(
    small: world.World,
) -> None:
    """A new process does not restore rules that its peers have replaced.

    Rules change, the configuration service returns the old ones, and a new
    balancer starts. If it served the old rules, a drained target would get new
    work.
    """
    stale = dict(small.documents)
    small.rules['leaving'] = ['dispatch-1']
    revision = small.publish('rules', small.rules)
    small.run_until(small.now + 3.0)
    small.documents = stale
    small.start_balancer('balancer-9')
    node = small.processes['balancer-9'].node
    served_old = []
    for _ in range(2000):
        small.run_until(small.now + 0.002)
        if node.ready and node.config.generation != revision:
            served_old.append(small.now)
    assert node.ready
    assert served_old == []


def test_newcomer_without_platform_learns_from_peers(
    small: world.World,
) -> None:
    """While the service is down, one configured peer is enough."""
    small.set_platform(False)
    small.run_until(small.now + 600.0)
    small.start_balancer('balancer-9')
    node = small.processes['balancer-9'].node
    peer = small.register['instances'][0]
    address = world.flow.Endpoint(peer['address'], peer['peer_port'])
    small._perform('balancer-9', node.ping_addresses([address], small.now))
    small.run_until(small.now + 4.0)
    assert node.ready
    assert generations(small) == {small._revision}


def test_two_readers_of_diverged_replicas_agree_in_the_end(
    small: world.World,
) -> None:
    """Peers agree on one of different contents of a revision."""
    held = small.documents['rules']
    other = held.content.replace(b'"weight": 2.0', b'"weight": 3.0')
    for number, name in enumerate(list(small.processes)):
        content = other if number % 2 else held.content
        document = configuration.Document('rules', 50, 'op', content)
        small._offer(name, [document])
    small.run_until(small.now + 4.0)
    checksums = {
        process.node.config.digest.checksum
        for process in small.processes.values()
    }
    assert len(checksums) == 1


def test_cold_start_of_the_whole_fleet(small: world.World) -> None:
    """All processes serve again after a simultaneous restart."""
    for name in list(small.processes):
        small.kill(name)
    small.run_until(small.now + 1.0)
    for instance in small.register['instances']:
        small.start_agent(instance)
    for name in ('balancer-1', 'balancer-2'):
        small.start_balancer(name)
    small.run_until(small.now + 5.0)
    assert all(process.node.ready for process in small.processes.values())
    caller = small.add_caller('dispatch')
    caller.ask('POST', 'orders')
    small.run_until(small.now + 1.0)
    assert small.asked[-1].outcome == 'answer'


def test_a_fetch_brings_only_what_is_lacking(small: world.World) -> None:
    """A fetch after a change of the rules omits the unchanged register.

    Each process fetches a new revision from a peer. If the peer sent all
    documents, frequent changes would exceed the budget of control traffic.
    """
    node = small.processes['balancer-1'].node
    peer = small.processes['dispatch-1'].node
    held = node.config.held()
    assert peer.config.documents_missing_from(held) == []
    small.publish('rules', small.rules)
    small._offer('dispatch-1', list(small.documents.values()))
    (lacking,) = peer.config.documents_missing_from(held)
    assert lacking.key == 'rules'
