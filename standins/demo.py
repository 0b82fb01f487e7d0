"""Run a deployment through changes and outages, and check the guarantees."""

from __future__ import annotations

import json
import os
import pathlib
import sys
import time
import typing

from standins import deployment
from standins import judge

#: For each kind of callers: service, path segment, number of callers, mean
#: pause in seconds.
WORKLOADS = {
    'prairie': (
        ('dispatch', 'orders', 30, 0.15),
        ('dispatch', 'feed', 20, 0.0),
        ('tickets', 'scans', 12, 0.4),
    ),
    'zilina': (
        ('payroll', 'hours', 30, 0.15),
        ('payroll', 'feed', 20, 0.0),
        ('documents', 'contracts', 12, 0.4),
    ),
}
DELAYS_S = {'prairie': 0.0045, 'zilina': 0.0015}
NETWORKS = {'prairie': 20, 'zilina': 30}
#: When each step runs, as a share of the duration.
STEP_SHARES = (0.1, 0.25, 0.4, 0.5, 0.6, 0.75)
#: Seconds after the duration in which callers may receive their last answers.
LAST_ANSWERS_S = 30.0
#: Figures that must be 0.
ZERO_COUNTS = ('broken_flows', 'misrouted', 'ran_twice', 'untrue_refusals')
IN_FORCE_LIMIT_S = 4.0
CONTROL_LIMIT = 10_000


def log_progress(text: str) -> None:
    """Print a line of progress on standard error."""
    print(f'{time.strftime("%H:%M:%S")} {text}', file=sys.stderr, flush=True)


def start_callers(
    dep: deployment.Deployment, name: str, seconds: float
) -> list[str]:
    """Start the callers of a deployment and return their process names."""
    started = []
    addresses = {
        item['name']: f'{item["address"]}:{item["port"]}'
        for item in dep.rules['services']
    }
    for service, kind, callers, pause_s in WORKLOADS[name]:
        options = {
            'service': service,
            'kind': kind,
            'callers': callers,
            'pause_s': pause_s or 1.0,
            'seconds': seconds,
            'address': addresses[service],
            'seed': dep.seed,
            'record': str(dep.folder / f'{service}-{kind}.record'),
        }
        process = f'callers-{service}-{kind}'
        dep.spawn(
            process,
            sys.executable,
            '-m',
            'standins.caller',
            json.dumps(options),
        )
        started.append(process)
    return started


def _add_target(dep: deployment.Deployment) -> None:
    first = dep.rules['services'][0]
    instance = {
        'name': f'{first["name"]}-new',
        'data_centre': dep.register['data_centres'][0]['name'],
        'address': f'127.{dep.network}.1.99',
        'peer_port': 5700,
        'slots': dep.register['instances'][0]['slots'],
        'connections': 2000,
    }
    dep.register['instances'].append(instance)
    dep.publish('register', dep.register)
    first['targets'].append(
        {'instance': instance['name'], 'port': 5683, 'weight': 1.0}
    )
    dep.start_server(instance)
    dep.start_agent(instance)
    time.sleep(1.0)
    dep.publish('rules', dep.rules)


def steps(dep: deployment.Deployment) -> list[typing.Callable[[], None]]:
    """Return the changes and outages in order; each runs when called."""
    drained = dep.rules['services'][0]['targets'][0]['instance']

    def drain() -> None:
        log_progress(f'drain {drained} by the rules')
        dep.rules['leaving'] = [drained]
        dep.publish('rules', dep.rules)

    def replace_gracefully() -> None:
        log_progress('replace balancer-1 with SIGTERM')
        dep.start_balancer()
        dep.stop_balancer('balancer-1')

    def replace_killed() -> None:
        log_progress('replace balancer-2 with SIGKILL')
        dep.kill('balancer-2')
        dep.unlist('balancer-2')
        dep.start_balancer()

    def add_target() -> None:
        log_progress('add a target')
        _add_target(dep)

    def platform_down() -> None:
        log_progress('stop configuration service')
        dep.set_platform(mode='down')

    def platform_up() -> None:
        log_progress('resume configuration service')
        dep.set_platform(mode='up')

    return [
        drain,
        replace_gracefully,
        replace_killed,
        add_target,
        platform_down,
        platform_up,
    ]


def run(name: str, seconds: float, seed: int) -> dict[str, typing.Any]:
    """Run an example deployment and return its figures."""
    register, rules = deployment.load_example(name)
    dep = deployment.Deployment(
        register,
        rules,
        folder=pathlib.Path('build') / f'demo-{name}',
        ports=deployment.Ports(5500, 5501, 5502),
        network=NETWORKS[name],
        seed=seed,
        delay_s=DELAYS_S[name],
    )
    try:
        log_progress(f'start {name}: {len(register["instances"])} targets')
        dep.start()
        callers = start_callers(dep, name, seconds)
        began = time.monotonic()
        for share, step in zip(STEP_SHARES, steps(dep)):
            time.sleep(max(0.0, began + share * seconds - time.monotonic()))
            step()
        for process in callers:
            limit = began + seconds + LAST_ANSWERS_S - time.monotonic()
            dep.processes[process].wait(timeout=max(1.0, limit))
        verdict = judge.judge(dep.folder, dep.rules)
        statuses = dep.statuses()
        verdict['config_in_force_s'] = round(dep.in_force_seconds(), 3)
        verdict['control_bytes_per_s_max'] = max(
            item['control_bytes_per_s_max'] for item in statuses.values()
        )
        return verdict
    finally:
        dep.stop()


def main() -> int:
    """Run the demo and print one line of JSON.

    ``DEMO_DEPLOYMENT``, ``DEMO_SECONDS`` and ``DEMO_SEED`` configure it.

    :returns: 0 if all guarantees held, else 1.
    """
    name = os.environ.get('DEMO_DEPLOYMENT', 'prairie')
    seconds = float(os.environ.get('DEMO_SECONDS', '20'))
    verdict = run(name, seconds, int(os.environ.get('DEMO_SEED', '1')))
    problems = verdict.pop('problems')
    for problem in problems:
        log_progress(f'problem: {problem}')
    passed = all(verdict[item] == 0 for item in ZERO_COUNTS)
    passed = passed and verdict['requests'] > 0
    passed = passed and verdict['config_in_force_s'] <= IN_FORCE_LIMIT_S
    passed = passed and verdict['control_bytes_per_s_max'] <= CONTROL_LIMIT
    print(json.dumps(verdict))
    return 0 if passed else 1


if __name__ == '__main__':
    sys.exit(main())
