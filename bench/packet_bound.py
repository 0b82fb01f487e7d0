"""Compute what ideal decisions could earn around a power loss.

Usage:
  packet_bound --loss=S --back=S [--reuse=S] [--window=S] KIND...

Each KIND is per_s:worth:late_worth:aim_s:service_s, with ``:guarded`` if its
callers must not repeat requests on another flow, or ``:flow-each`` if each
request opens a flow of its own.

Options:
  --loss=S    Time at which all power is lost, in seconds.
  --back=S    Time at which the first processes accept packets again.
  --reuse=S   Mean seconds until a caller uses a flow again [default: 2.5].
  --window=S  Length of the windows, counted from 0 [default: 2].

A request cannot be served while no process runs, nor answered before its
caller repeats it. The bound assumes instant and ideal decisions, servers that
never queue, and the callers' own repeat times. Measured windows are compared
with it. Flows end with their servers. The next packet of a feed is answered by
a reset, after which the caller opens a new flow. An order whose packet goes
over such a flow is lost, because its caller must not repeat it.
"""

from __future__ import annotations

import json
import math
import random
import sys
import typing

import docopt

from bench import packet_caller

#: Round trip between caller and server, seconds: twice the one-way delay of a
#: packet, with one hop between processes. A repeated request takes one each
#: for the reset, the opening and the request itself.
ROUND_TRIP_S = 0.0075
#: Standard deviation of service times, as a share of their mean.
SERVICE_TIME_SPREAD = 0.5
#: Requests drawn for each request of a window: shares are then accurate to
#: 0.01.
DRAWS_PER_REQUEST = 20
#: Number of windows printed, from the one with the loss.
WINDOWS = 4
SEED = 1


class Requests(typing.NamedTuple):
    """Requests of one kind.

    :ivar per_s: requests that begin per second.
    :ivar worth: worth of a request answered within the latency objective.
    :ivar late_worth: worth of a request answered later.
    :ivar aim_s: latency objective, seconds.
    :ivar service_s: mean service time of a cold server, seconds.
    :ivar guarded: whether callers must not repeat a request on another flow.
    :ivar flow_each: whether each request opens a flow of its own.
    """

    per_s: float
    worth: float
    late_worth: float
    aim_s: float
    service_s: float
    guarded: bool
    flow_each: bool


class Loss(typing.NamedTuple):
    """A power loss that stops all processes and servers.

    :ivar at: time of the loss, seconds; windows are counted from 0.
    :ivar restored_at: time at which the first processes and servers accept
        packets again, seconds.
    :ivar flow_reuse_s: mean seconds until a caller uses an open flow again.
    """

    at: float
    restored_at: float
    flow_reuse_s: float


def window_worth(
    kinds: list[Requests],
    loss: Loss,
    *,
    start: float,
    length_s: float,
    randomness: random.Random,
) -> float:
    """Return the share of its requests' worth that a window can earn."""
    earned = owed = 0.0
    for kind in kinds:
        for _ in range(round(kind.per_s * length_s * DRAWS_PER_REQUEST)):
            at = start + randomness.uniform(0.0, length_s)
            owed += kind.worth
            earned += _earned_worth(kind, loss, at, randomness)
    return earned / owed


def _earned_worth(
    kind: Requests, loss: Loss, at: float, randomness: random.Random
) -> float:
    service_s = max(
        0.2 * kind.service_s,
        randomness.gauss(kind.service_s, SERVICE_TIME_SPREAD * kind.service_s),
    )
    if at + service_s + ROUND_TRIP_S <= loss.at:
        return kind.worth
    first_use = at < loss.restored_at or randomness.random() < _unused_share(
        loss, at
    )
    if kind.guarded and not kind.flow_each and first_use:
        return 0.0
    waited_s = _seconds_until_received(at, loss)
    trips = 1 if kind.flow_each else 2
    if waited_s + trips * ROUND_TRIP_S + service_s <= kind.aim_s:
        return kind.worth
    return kind.late_worth


def _unused_share(loss: Loss, at: float) -> float:
    """Return the share of flows not used since the processes' restart."""
    return math.exp(-(at - loss.restored_at) / loss.flow_reuse_s)


def _seconds_until_received(at: float, loss: Loss) -> float:
    """Return the seconds until a process receives a caller's packet."""
    repeats = (0.0, *packet_caller.DATA_REPEATS_S)
    return next(
        (wait_s for wait_s in repeats if at + wait_s >= loss.restored_at),
        loss.restored_at - at,
    )


def read_kind(text: str) -> Requests:
    """Parse a KIND argument of the command line.

    :raises ValueError: if a number is missing or invalid.
    """
    fields = text.split(':')
    flags = set(fields[5:])
    per_s, worth, late_worth, aim_s, service_s = map(float, fields[:5])
    return Requests(
        per_s,
        worth,
        late_worth,
        aim_s,
        service_s,
        'guarded' in flags,
        'flow-each' in flags,
    )


def main(arguments: list[str]) -> int:
    """Print the bound of each window by its start, as JSON."""
    options = docopt.docopt(__doc__, arguments)
    kinds = [read_kind(text) for text in options['KIND']]
    loss = Loss(
        float(options['--loss']),
        float(options['--back']),
        float(options['--reuse']),
    )
    length_s = float(options['--window'])
    first = math.floor(loss.at / length_s) * length_s
    randomness = random.Random(SEED)
    bounds = {
        start: round(
            window_worth(
                kinds,
                loss,
                start=start,
                length_s=length_s,
                randomness=randomness,
            ),
            3,
        )
        for start in (first + n * length_s for n in range(WINDOWS))
    }
    print(json.dumps(bounds))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
