"""Test the placement of new flows, by simulation."""

from __future__ import annotations

import random
import statistics

import pytest

from teaseldock import load
from teaseldock.packets import placing
from teaseldock.packets import records

CENTRES = ('north', 'east', 'south')


def target(number: int, slots: int = 2) -> records.Target:
    """Return a target."""
    return records.Target(
        f'i-{number}',
        'dispatch',
        f'10.0.0.{number}',
        8080,
        CENTRES[number % 3],
        slots,
        False,
        0,
        number + 1,
    )


def candidate(
    number: int, present: int = 0, *, warming: bool = False
) -> placing.Candidate:
    """Return a candidate with some requests."""
    reported = load.Load(
        min(2, present), max(0, present - 2), 2, present, float(present), True
    )
    return placing.Candidate(target(number), reported, 0.05, 0, warming)


def flow(number: int) -> bytes:
    """Return a flow key."""
    return number.to_bytes(12, 'big')


def waits(
    *, by_load: bool, per_s: float, seed: int, report_s: float = 0.1
) -> list[float]:
    """Simulate flows of one request at seven targets; return their waits.

    :param by_load: whether to place by reports that are ``report_s`` old at
        most; otherwise by rank alone, as a hash does.
    """
    chance = random.Random(seed)
    free_at = {number: [0.0, 0.0] for number in range(7)}
    ends: dict[int, list[float]] = {number: [] for number in range(7)}
    reports = dict.fromkeys(range(7), 0)
    reported_at = 0.0
    placed: dict[int, list[float]] = {number: [] for number in range(7)}
    result = []
    now = 0.0
    for number in range(4000):
        now += chance.expovariate(per_s)
        if now - reported_at >= report_s:
            reported_at = now
            for item, times in ends.items():
                ends[item] = [at for at in times if at > now]
                reports[item] = len(ends[item])
        candidates = [
            candidate(item, reports[item])._replace(
                unreported=sum(at >= reported_at for at in placed[item])
            )
            for item in range(7)
        ]
        if by_load:
            chosen = placing.choose(
                flow(number), candidates, data_centre='north', bulky=False
            )
        else:
            chosen = min(
                candidates,
                key=lambda item: placing.rank(flow(number), item.target),
            )
        assert chosen is not None
        where = int(chosen.target.identifier[2:])
        placed[where] = [*placed[where][-20:], now]
        slot = min(range(2), key=lambda index: free_at[where][index])
        begin = max(now, free_at[where][slot])
        ended = begin + 0.03 * chance.lognormvariate(-0.125, 0.5)
        free_at[where][slot] = ended
        ends[where].append(ended)
        result.append(begin - now)
    return result


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('share', [0.45, 0.7])
def test_load_beats_a_hash(share: float, seed: int) -> None:
    """Placement by load halves the mean wait, compared with a hash.

    Flows of one request take 45 and 70 % of the capacity of seven targets with
    two slots, 30 ms each. With a hash, requests wait at one target while
    another is idle.
    """
    per_s = share * 7 * 2 / 0.03
    placed = waits(by_load=True, per_s=per_s, seed=seed)
    hashed = waits(by_load=False, per_s=per_s, seed=seed)
    assert statistics.mean(placed) < 0.5 * statistics.mean(hashed)


def test_all_are_looked_at_when_the_first_are_loaded() -> None:
    """An idle target is found although a flow's candidates are loaded."""
    number = next(
        n
        for n in range(1000)
        if 6
        not in [
            int(item.identifier[2:])
            for item in placing.ranked(
                flow(n), [target(i) for i in range(7)], near=None
            )[: placing.CANDIDATES]
        ]
    )
    candidates = [candidate(item, 14) for item in range(6)] + [candidate(6)]
    chosen = placing.choose(
        flow(number), candidates, data_centre='north', bulky=False
    )
    assert chosen is not None and chosen.target.identifier == 'i-6'


def test_bulky_flows_stay_in_their_data_centre() -> None:
    """Uploads go to another data centre only when their own is loaded."""
    idle = [candidate(item) for item in range(9)]
    for number in range(50):
        chosen = placing.choose(
            flow(number), idle, data_centre='east', bulky=True
        )
        assert chosen is not None and chosen.target.data_centre == 'east'
    loaded = [
        candidate(item, 14 if CENTRES[item % 3] == 'east' else 0)
        for item in range(9)
    ]
    chosen = placing.choose(flow(1), loaded, data_centre='east', bulky=True)
    assert chosen is not None and chosen.target.data_centre != 'east'


def test_a_target_that_warms_up_gets_less() -> None:
    """Of two targets with one request each, the warm one is chosen."""
    pair = [candidate(0, 1, warming=True), candidate(3, 1)]
    chosen = placing.choose(flow(1), pair, data_centre='north', bulky=False)
    assert chosen is not None and chosen.target.identifier == 'i-3'


def test_no_candidates_give_no_target() -> None:
    """Without candidates no target is chosen."""
    assert (
        placing.choose(flow(1), [], data_centre='north', bulky=False) is None
    )
