"""Open feeds in a simulated world and use them; shared by several tests."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from bench import packet_caller
    from bench import packet_world


def serve_feeds(
    world: packet_world.World, count: int
) -> list[packet_caller.Request]:
    """Open feeds and wait for their first answers."""
    feeds = []
    for _ in range(count):
        feeds.append(world.request(feed=True))
        world.run(0.02)
    world.run(0.5)
    assert all(feed.outcome == 'answered' for feed in feeds)
    return feeds


def ask_all(
    world: packet_world.World,
    feeds: list[packet_caller.Request],
    seconds: float,
) -> None:
    """Let each feed send another request."""
    for feed in feeds:
        feed.ask()
        world.run(0.01)
    world.run(seconds)


def restart_balancers(
    world: packet_world.World, *, pause_s: float = 0.0
) -> None:
    """Restart all balancers, without their state of flows."""
    for process in world.balancers():
        world.start(process.host)
        world.run(pause_s)
    world.run(1.0)
