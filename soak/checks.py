"""Check the records of callers and servers against the guarantees."""

from __future__ import annotations

import json
import typing

from soak import servers
from soak import world

#: Seconds after which a leaving server gets no new flow and a configuration is
#: in force (bounds that the platform sets).
PROPAGATION_S = 3.0
#: Seconds by which an outage of the store may extend a bound.
OUTAGE_ALLOWANCE_S = 12.0
#: Share of requests that must be answered: those that fail in the quiet time
#: at the end may be at most the rest, as a share of all answered ones.
MIN_ANSWERED_SHARE = 0.98


def violations(finished: world.World) -> list[str]:
    """Return a line for each violation of a guarantee."""
    found = [
        *_ran_twice(finished),
        *_untrue_refusals(finished),
        *_broken_flows(finished),
    ]
    found += [
        *_wrong_openings(finished),
        *_unanswered(finished),
        *_program_errors(finished),
    ]
    return found


def _ran_twice(finished: world.World) -> typing.Iterator[str]:
    for name, count in finished.journal.runs.items():
        if count > 1 and name[:1] == servers.NON_IDEMPOTENT:
            yield f'ran twice: {name.hex()} ran {count} times'


def _untrue_refusals(finished: world.World) -> typing.Iterator[str]:
    for caller in finished.callers:
        for request in caller.requests:
            for name in request.refused_ids:
                if name in finished.journal.runs:
                    yield f'untrue refusal: {name.hex()} had run'


def _broken_flows(finished: world.World) -> typing.Iterator[str]:
    for caller in finished.callers:
        for reset in caller.resets:
            if reset.opened and reset.holder is not None:
                yield (
                    f'broken flow: {reset.flow} was reset at '
                    f'{reset.at:.3f}, held by {reset.holder}'
                )


def _wrong_openings(finished: world.World) -> typing.Iterator[str]:
    ports = {port: service for service, port in world.PORTS.items()}
    store_disturbed_at = finished.store_disturbed_at
    for opening in finished.journal.openings:
        at, port = opening.at, opening.port
        if ports.get(port, 'dispatch') != opening.service:
            yield f'wrong service: port {port} opened at {opening.service}'
        since = opening.leaving_since
        bound = (
            PROPAGATION_S
            if at - store_disturbed_at > servers.UNDISTURBED_S
            else PROPAGATION_S + OUTAGE_ALLOWANCE_S
        )
        if since is not None and at - since > bound:
            yield (
                f'leaving: {opening.host} got a flow '
                f'after {at - since:.1f} s'
            )
        evacuated_at = _evacuated_at(finished, opening)
        if evacuated_at is not None and at - evacuated_at > bound:
            yield (
                f'evacuated: {opening.host} got a flow '
                f'after {at - evacuated_at:.1f} s'
            )
        states = finished.routes.get(port)
        if states is None:
            continue
        changed_at, present = states[-1]
        if not present and at - changed_at > bound:
            yield f'removed route: {port} opened after {at - changed_at:.1f} s'


def _evacuated_at(
    finished: world.World, opening: servers.Opening
) -> float | None:
    """Return when the evacuation during which a flow opened began.

    :returns: steady clock, or None if the data centre was not evacuated.
    """
    states = finished.evacuations.get(opening.data_centre, [])
    before = [state for state in states if state[0] <= opening.at]
    if not before or not before[-1][1]:
        return None
    return before[-1][0]


def _unanswered(finished: world.World) -> typing.Iterator[str]:
    answered = failed = 0
    for caller in finished.callers:
        for request in caller.requests:
            if request.port not in world.PORTS.values():
                continue
            answered += request.answered
            failed += sum(at > finished.quiet_from for at in request.failed)
    if not answered or failed > (1 - MIN_ANSWERED_SHARE) * answered:
        yield (
            f'not served: {failed} failed after the faults, '
            f'{answered} answered'
        )


def _program_errors(finished: world.World) -> typing.Iterator[str]:
    for program in finished.programs:
        yield from program.unexpected_exits
        for line in program.log_path.read_text().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                yield f'{program.name} wrote: {line[:200]}'
                continue
            if event['event'] in ('fault', 'start failed'):
                yield f'{program.name}: {line[:300]}'


def summary(finished: world.World) -> dict[str, typing.Any]:
    """Return the counts of a soak."""
    requests = [r for c in finished.callers for r in c.requests]
    return {
        'answered': sum(r.answered for r in requests),
        'failed': sum(len(r.failed) for r in requests),
        'resets': sum(len(c.resets) for c in finished.callers),
        'runs': sum(finished.journal.runs.values()),
        'store_calls': finished.store.calls,
        'faults': len(finished.faults.injected),
    }
