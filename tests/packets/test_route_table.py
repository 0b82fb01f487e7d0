"""Test that configuration changes lead to the same routes everywhere."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from bench import packet_world
from teaseldock.packets import control
from teaseldock.packets import knowledge
from teaseldock.packets import records
from teaseldock.packets import route_table

ROUTES = 1600
#: Bytes that a change of one route may take; all routes take about 7,000.
SMALL_BYTES = 300

#: The ports of a configuration, and the timeout of each route.
PORTS = strategies.dictionaries(
    strategies.integers(1, 6), strategies.integers(1, 3), max_size=6
)


def config(
    version: int, timeouts: dict[int, int], *, revision: int | None = None
) -> records.Configuration:
    """Return a configuration with a route for each port."""
    routes = [
        packet_world.route('dispatch', port=port)._replace(timeout_ms=timeout)
        for port, timeout in timeouts.items()
    ]
    return records.Configuration(
        version, revision or 10 * version, 15_000, routes, ['dispatch']
    )


def changes(item: records.Configuration, since: int = 0) -> records.Changes:
    """Return changes that contain a configuration."""
    return records.Changes(since, item.revision, [], [], item)


@hypothesis.given(
    strategies.lists(PORTS, min_size=1, max_size=6),
    strategies.integers(0, 5),
    strategies.integers(0, 5),
)
def test_changes_lead_to_the_same_routes(
    history: list[dict[int, int]], began: int, stopped: int
) -> None:
    """Whoever lags gets the same routes, wherever it stopped.

    :param began: number of the first configuration that the sender saw.
    :param stopped: number of the last one that the receiver saw.
    """
    sender, receiver = knowledge.Knowledge(), knowledge.Knowledge()
    for number, timeouts in enumerate(history):
        item = config(number + 1, timeouts)
        if number >= min(began, len(history) - 1):
            sender.apply(changes(item, sender.revision), 0.0)
        if number <= stopped:
            receiver.apply(changes(item, receiver.revision), 0.0)
    lacking = sender.changes_since(receiver.content_revision)
    receiver.apply(lacking, 1.0)
    newest = config(len(history), history[-1])
    assert receiver.version == newest.version
    for port in range(1, 7):
        address = packet_world.route('dispatch', port=port).address
        assert receiver.route(address) == sender.route(address)
        assert (receiver.route(address) is not None) == (port in history[-1])


def test_a_change_of_one_route_is_small() -> None:
    """A change of one timeout is sent in much less than all routes take.

    1,600 routes are in force everywhere; one of them changes. If the whole
    configuration, 7 KB, is sent to all processes, links are busy for seconds
    while the operator changes one timeout after another.
    """
    sender = knowledge.Knowledge()
    timeouts = dict.fromkeys(range(1, ROUTES + 1), 2500)
    first = config(1, timeouts)
    sender.apply(changes(first), 0.0)
    sender.apply(changes(config(2, {**timeouts, 7: 900}), 10), 0.0)
    packed = control.pack_changes(sender.changes_since(first.revision))
    assert sum(map(len, packed)) < SMALL_BYTES
    whole = control.pack_changes(sender.changes_since(0))
    assert sum(map(len, whole)) > 10 * SMALL_BYTES


def test_what_was_dropped_long_ago_is_forgotten() -> None:
    """Old dropped routes are evicted; lagging processes get everything."""
    table = route_table.RouteTable()
    table.replace(config(1, {1: 1, 2: 1}))
    table.replace(config(2, {1: 1}))
    version = 2
    while table.change_since(10) is not None:
        version += 1
        first = version * (route_table.DROPPED_KEPT + 1)
        ports = range(first, first + route_table.DROPPED_KEPT)
        table.replace(config(version, dict.fromkeys(ports, 1)))
        assert version < 10
    assert table.change_since(10 * version - 1) is not None


@hypothesis.given(PORTS, PORTS, PORTS)
def test_a_sender_that_jumped_over_a_version_misleads_nobody(
    first: dict[int, int], second: dict[int, int], third: dict[int, int]
) -> None:
    """A route that is dropped works on at one process.

    Symptom: requests over a route that no newer configuration has.
    Events: one process goes from the first configuration to the third; it
    tells one that has the second what has changed since.
    Cause: what came with the second and went with the third is unknown to it.
    """
    sender, receiver = knowledge.Knowledge(), knowledge.Knowledge()
    for known in (sender, receiver):
        known.apply(changes(config(1, first)), 0.0)
    receiver.apply(changes(config(2, second), 10), 1.0)
    sender.apply(changes(config(3, third), 10), 1.0)
    for _ in range(2):
        since = receiver.wanted_since
        receiver.apply(sender.changes_since(since), 2.0)
    assert receiver.version == 3
    for port in range(1, 7):
        address = packet_world.route('dispatch', port=port).address
        assert receiver.route(address) == sender.route(address)
