"""Run scenarios under policies, write build/bench.json, check bounds."""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import pathlib
import statistics
import sys
import typing

from bench import baselines
from bench import bounds
from bench import imbalance
from bench import path
from bench import scenarios
from bench import shapes

OURS = 'teaseldock'
#: Number of seeds of a full run, and of the short run in CI.
SEEDS = 20
SHORT_SEEDS = 2
SHORT_SCENARIOS = ('steady-80', 'drain', 'crash', 'double')
#: Measures that are summarised by their maximum, sum or mean over the seeds.
WORST = ('control_bytes_per_s_max', 'config_in_force_s_max')
SUMMED = (
    'broken_flows_weighted',
    'broken_unexcused_weighted',
    'lost',
    'unfinished',
    'outcome_unknown',
    'refused_not_run',
    'ran_twice',
    'misrouted',
    'untrue_refusals',
)
MEANS = ('goodput', 'goodput_guarded', 'p99_latency_ms')
OUTPUT = pathlib.Path('build') / 'bench.json'


class Task(typing.NamedTuple):
    """Parameters of one simulation run."""

    deployment: str
    scenario: str
    policy: str
    seed: int


def run_task(task: Task) -> dict[str, typing.Any]:
    """Run one simulation and return its measures."""
    scenario = scenarios.SCENARIOS[task.scenario]
    shape = shapes.SHAPES[task.deployment]
    if task.policy == OURS:
        return scenarios.Run(scenario, shape, task.seed).run()
    return baselines.BaselineRun(scenario, shape, task.seed, task.policy).run()


def summarise(
    key: tuple[str, str, str], results: list[dict[str, typing.Any]]
) -> dict[str, typing.Any]:
    """Summarise all seeds of one deployment, scenario and policy."""
    deployment, scenario, policy = key
    ratios = [ratio for result in results for ratio in result['ratios']]
    spread = [result['imbalance_p99'] for result in results]
    summary: dict[str, typing.Any] = {
        'deployment': deployment,
        'scenario': scenario,
        'policy': policy,
        'seed_count': len(results),
        'imbalance_p50': round(imbalance.percentile(ratios, 0.5), 4),
        'imbalance_p99': round(imbalance.percentile(ratios, 0.99), 4),
        'imbalance_p99_spread': [
            round(min(spread), 4),
            round(statistics.median(spread), 4),
            round(max(spread), 4),
        ],
    }
    for name in SUMMED:
        summary[name] = sum(result[name] for result in results)
    for name in WORST:
        summary[name] = round(max(result[name] for result in results), 3)
    for name in MEANS:
        values = [result[name] for result in results]
        summary[name] = round(statistics.fmean(values), 4)
    return summary


def select_from_environment(
    name: str, known: typing.Iterable[str]
) -> list[str]:
    """Return the names that an environment variable selects; default: all.

    :param name: variable that holds names, separated by commas.
    :raises SystemExit: if a name is unknown.
    """
    text = os.environ.get(name, '')
    wanted = [item for item in text.split(',') if item]
    unknown = set(wanted) - set(known)
    if unknown:
        raise SystemExit(f'{name}: unknown {sorted(unknown)}')
    return wanted or list(known)


def main() -> int:
    """Run the scenarios that flags and environment variables select."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--short', action='store_true')
    parser.add_argument('--check', action='store_true')
    parser.add_argument('--no-path', action='store_true')
    options = parser.parse_args()
    first = int(os.environ.get('BENCH_SEED', '1'))
    count = int(
        os.environ.get('BENCH_SEEDS', SHORT_SEEDS if options.short else SEEDS)
    )
    known = SHORT_SCENARIOS if options.short else scenarios.SCENARIOS
    tasks = [
        Task(deployment, scenario, policy, seed)
        for deployment in shapes.SHAPES
        for scenario in select_from_environment('BENCH_SCENARIOS', known)
        for policy in select_from_environment(
            'BENCH_POLICIES', [OURS, *baselines.POLICIES]
        )
        for seed in range(first, first + count)
    ]
    with multiprocessing.Pool(max(1, (os.cpu_count() or 2) - 1)) as pool:
        results = pool.map(run_task, tasks, chunksize=1)
    grouped: dict[tuple[str, str, str], list] = {}
    for task, result in zip(tasks, results):
        grouped.setdefault(task[:3], []).append(result)
    runs = [summarise(key, found) for key, found in grouped.items()]
    report: dict[str, typing.Any] = {'first_seed': first, 'runs': runs}
    if not options.no_path:
        report['path'] = path.measure()
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(report, indent=1) + '\n')
    for run in runs:
        print(
            f'{run["deployment"]:8} {run["scenario"]:20} {run["policy"]:18} '
            f'p50 {run["imbalance_p50"]:.3f} p99 {run["imbalance_p99"]:.3f} '
            f'broken {run["broken_flows_weighted"]:g}'
            f'/{run["broken_unexcused_weighted"]:g} '
            f'twice {run["ran_twice"]} '
            f'lost {run["lost"]}+{run["unfinished"]} '
            f'goodput {run["goodput"]:.3f} '
            f'control {run["control_bytes_per_s_max"]:.0f}'
        )
    if 'path' in report:
        print(json.dumps(report['path']))
    if not options.check:
        return 0
    listed = bounds.known_red()
    violations = bounds.check(runs)
    for item in violations:
        label = 'KNOWN RED' if item.check in listed else 'BOUND'
        print(f'{label} {item.check}: {item.text}')
    unlisted = [item for item in violations if item.check not in listed]
    print(f'{len(violations) - len(unlisted)} known red, {len(unlisted)} new')
    return 1 if unlisted else 0


if __name__ == '__main__':
    sys.exit(main())
