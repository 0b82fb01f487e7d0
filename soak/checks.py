"""Hold what callers and servers saw against the promises."""

from __future__ import annotations

import json
import typing

from soak import servers
from soak import world

#: Seconds after which a leaving server gets no new flow, and a configuration
#: is in force (the platform's bounds).
BOUND_S = 3.0
#: Seconds that a process or the store must have been undisturbed for the
#: bounds to hold (the platform's, for what it calls in touch).
CALM_S = 4.0
#: Seconds by which an outage of the store may stretch a bound.
STRETCH_S = 12.0
#: Share of the requests of the calm at the end that must be answered.
SERVED = 0.98


def violations(played: world.World) -> list[str]:
    """Return a line for each broken promise."""
    found = [*_ran_twice(played), *_untrue(played), *_broken_flows(played)]
    found += [*_openings(played), *_not_served(played), *_programs(played)]
    return found


def _ran_twice(played: world.World) -> typing.Iterator[str]:
    for name, count in played.journal.runs.items():
        if count > 1 and name[:1] == servers.GUARDED:
            yield f'ran twice: {name.hex()} ran {count} times'


def _untrue(played: world.World) -> typing.Iterator[str]:
    for caller in played.callers:
        for request in caller.requests:
            for name in request.refused_ids:
                if name in played.journal.runs:
                    yield f'untrue refusal: {name.hex()} had run'


def _broken_flows(played: world.World) -> typing.Iterator[str]:
    for caller in played.callers:
        for attempt in caller.resets:
            holder = [
                server
                for server in played.servers
                if attempt.flow in server.flows
                and attempt.at - server.disturbed_at > CALM_S
            ]
            if attempt.opened and holder:
                yield (
                    f'broken flow: {attempt.flow} was reset at '
                    f'{attempt.at:.3f}, held by {holder[0].host}'
                )


def _openings(played: world.World) -> typing.Iterator[str]:
    ports = {port: service for service, port in world.PORTS.items()}
    stable = played.store_disturbed_at
    for opening in played.journal.openings:
        at, port = opening.at, opening.port
        if ports.get(port, 'dispatch') != opening.service:
            yield f'wrong service: port {port} opened at {opening.service}'
        since = opening.leaving_since
        bound = BOUND_S if at - stable > CALM_S else BOUND_S + STRETCH_S
        if since is not None and at - since > bound:
            yield f'leaving: {opening.host} got a flow {at - since:.1f} s late'
        evacuated_at = _evacuated_at(played, opening)
        if evacuated_at is not None and at - evacuated_at > bound:
            yield (
                f'evacuated: {opening.host} got a flow '
                f'{at - evacuated_at:.1f} s late'
            )
        states = played.routes.get(port)
        if states is None:
            continue
        changed_at, present = states[-1]
        if not present and at - changed_at > bound:
            yield f'old route: {port} opened {at - changed_at:.1f} s late'


def _evacuated_at(
    played: world.World, opening: servers.Opening
) -> float | None:
    """Return since when its data centre was evacuated at an opening."""
    states = played.evacuations.get(opening.data_centre, [])
    before = [state for state in states if state[0] <= opening.at]
    if not before or not before[-1][1]:
        return None
    return before[-1][0]


def _not_served(played: world.World) -> typing.Iterator[str]:
    answered = failed = 0
    for caller in played.callers:
        for request in caller.requests:
            if request.port not in world.PORTS.values():
                continue
            answered += request.answered
            failed += sum(at > played.calm_from for at in request.failed)
    if not answered or failed > (1 - SERVED) * answered:
        yield f'not served: {failed} failed in the calm, {answered} answered'


def _programs(played: world.World) -> typing.Iterator[str]:
    for program in played.programs:
        yield from program.unasked_ends
        for line in program.log_path.read_text().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                yield f'{program.name} wrote: {line[:200]}'
                continue
            if event['event'] in ('fault', 'start failed'):
                yield f'{program.name}: {line[:300]}'


def summary(played: world.World) -> dict[str, typing.Any]:
    """Return figures of a soak."""
    requests = [r for c in played.callers for r in c.requests]
    return {
        'answered': sum(r.answered for r in requests),
        'failed': sum(len(r.failed) for r in requests),
        'resets': sum(len(c.resets) for c in played.callers),
        'runs': sum(played.journal.runs.values()),
        'store_calls': played.store.calls,
        'faults': len(played.faults.done),
    }
