"""Reckon what perfect decisions could earn around a loss of all power.

No decision can serve a request while no process runs, nor answer before its
caller repeats it. What is left with instant and perfect decisions, servers
that never queue, and the callers' own repeat times, is the bound that measured
windows are held against. Flows end with their servers: feeds come again on a
new flow after the reset that answers their next packet; an order whose packet
went over such a flow is lost, since its caller must not repeat it.
"""

from __future__ import annotations

import random
import typing

from bench import packet_caller

#: Round trips of a repeated request before its answer: the reset, the opening,
#: the request itself; each twice the way of a packet, with one hop inside.
ROUND_TRIP_S = 0.0075
#: Service times spread by half of their mean.
SPREAD = 0.5


class Requests(typing.NamedTuple):
    """Requests of one kind.

    :ivar per_s: how many begin each second.
    :ivar worth: of one in time.
    :ivar late_worth: of one answered later.
    :ivar aim_s: latency objective.
    :ivar service_s: mean time that a cold server takes.
    :ivar guarded: whether callers don't repeat it on another flow.
    :ivar flow_each: whether each opens a flow of its own.
    """

    per_s: float
    worth: float
    late_worth: float
    aim_s: float
    service_s: float
    guarded: bool
    flow_each: bool


class Loss(typing.NamedTuple):
    """One loss of all power.

    :ivar at: seconds; windows are counted from 0.
    :ivar back_at: when the first processes and servers take packets again.
    :ivar flow_reuse_s: mean seconds until a caller uses an open flow again.
    """

    at: float
    back_at: float
    flow_reuse_s: float


def window_worth(
    kinds: list[Requests],
    loss: Loss,
    *,
    start: float,
    length_s: float,
    randomness: random.Random,
) -> float:
    """Return the share of the worth that a window's requests can earn."""
    earned = owed = 0.0
    for kind in kinds:
        for _ in range(round(kind.per_s * length_s * 20)):
            at = start + randomness.uniform(0.0, length_s)
            owed += kind.worth
            earned += _earned(kind, loss, at, randomness)
    return earned / owed


def _earned(
    kind: Requests, loss: Loss, at: float, randomness: random.Random
) -> float:
    service_s = max(
        0.2 * kind.service_s,
        randomness.gauss(kind.service_s, SPREAD * kind.service_s),
    )
    if at + service_s + ROUND_TRIP_S <= loss.at:
        return kind.worth
    first_use = at < loss.back_at or randomness.random() < _unused(loss, at)
    if kind.guarded and not kind.flow_each and first_use:
        return 0.0
    waited_s = _until_heard(at, loss)
    trips = 1 if kind.flow_each else 2
    if waited_s + trips * ROUND_TRIP_S + service_s <= kind.aim_s:
        return kind.worth
    return kind.late_worth


def _unused(loss: Loss, at: float) -> float:
    """Return the share of flows that were not used since the return."""
    return 2.718 ** (-(at - loss.back_at) / loss.flow_reuse_s)


def _until_heard(at: float, loss: Loss) -> float:
    """Return the seconds until a packet of the caller meets a process."""
    repeats = (0.0, *packet_caller.REPEATS_S)
    return next(
        (wait_s for wait_s in repeats if at + wait_s >= loss.back_at),
        loss.back_at - at,
    )
