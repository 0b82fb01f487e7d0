"""Test when a silent server is probed and declared down."""

from __future__ import annotations

from teaseldock import server_probe


def steps(busy: bool, seconds: float) -> list[server_probe.Step]:
    """Return the actions for a silent server, with ten ticks per second."""
    probe = server_probe.ServerProbe(0.0)
    ticks = range(1, int(seconds * 10) + 1)
    found = [probe.step(tick / 10, busy=busy) for tick in ticks]
    return [step for step in found if step is not server_probe.Step.NOTHING]


def test_a_busy_server_is_lost_within_two_and_a_half_seconds() -> None:
    """The server is declared down once, after three probes."""
    found = steps(True, 2.5)
    assert found.count(server_probe.Step.LOST) == 1
    assert steps(True, 9.0).count(server_probe.Step.LOST) == 1


def test_an_idle_server_is_probed_rarely() -> None:
    """An idle server gets at most five probes in 10 s."""
    assert len(steps(False, 10.0)) <= 5


def test_any_datagram_is_a_sign_of_life() -> None:
    """A server that sends datagrams is never declared down."""
    probe = server_probe.ServerProbe(0.0)
    for tick in range(1, 100):
        if tick % 4 == 0:
            probe.mark_alive(tick / 10)
        step = probe.step(tick / 10, busy=True)
        assert step is not server_probe.Step.LOST
