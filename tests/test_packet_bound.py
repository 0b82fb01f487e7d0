"""Test the bound on the score of decisions around a loss of power."""

from __future__ import annotations

import json
import random

import pytest

from bench import packet_bound

FEED = packet_bound.Requests(100.0, 1.0, 0.1, 0.3, 0.05, False, False)
ORDER = packet_bound.Requests(50.0, 2.0, 0.2, 0.3, 0.05, True, False)
LOSS = packet_bound.Loss(10.0, 11.0, 2.5)


def worth(
    kinds: list[packet_bound.Requests], *, start: float, length_s: float = 1.0
) -> float:
    """Return the highest score of a window."""
    return packet_bound.window_worth(
        kinds,
        LOSS,
        start=start,
        length_s=length_s,
        randomness=random.Random(3),
    )


def test_nothing_is_lost_before_the_loss() -> None:
    """Requests that are answered before the loss score fully."""
    assert worth([FEED, ORDER], start=8.0) == 1.0


def test_feeds_of_the_dead_time_are_late() -> None:
    """Requests that are sent while nothing runs are answered late."""
    assert worth([FEED], start=10.0, length_s=0.5) == pytest.approx(0.1)


def test_orders_over_lost_flows_are_lost() -> None:
    """Only the first order on each flow fails, since its server is gone."""
    assert worth([ORDER], start=10.0, length_s=0.9) == 0.0
    assert 0.0 < worth([ORDER], start=11.0) < worth([ORDER], start=14.0) < 1.0


def test_the_command_prints_each_window(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Windows are printed from 0, the window of the loss."""
    kinds = ['100:1:0.1:0.3:0.05', '50:2:0.2:0.3:0.05:guarded']
    assert not packet_bound.main(['--loss=10.5', '--back=11.5', *kinds])
    bounds = json.loads(capsys.readouterr().out)
    assert list(bounds) == ['10.0', '12.0', '14.0', '16.0']
    assert bounds['10.0'] < bounds['12.0'] < bounds['16.0']
