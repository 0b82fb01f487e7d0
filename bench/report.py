"""Plot build/bench.json and build/capacity.json into build/report."""

from __future__ import annotations

import json
import pathlib
import sys
import typing

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

BUILD = pathlib.Path('build')
FOLDER = BUILD / 'report'
#: Required size of the system on the axes of the capacity plots.
REQUIRED_SIZES = {'targets': 54_000, 'members': 1_150, 'flows': 27_000}
_TABLE = (
    'imbalance_p50',
    'imbalance_p99',
    'broken_flows_weighted',
    'broken_unexcused_weighted',
    'ran_twice',
    'lost',
    'goodput',
    'p99_latency_ms',
    'control_bytes_per_s_max',
)


def _read(name: str) -> dict[str, typing.Any]:
    path = BUILD / name
    return json.loads(path.read_text()) if path.exists() else {}


def _draw_bars(
    runs: list[dict[str, typing.Any]], measure: str, title: str, name: str
) -> None:
    scenarios = list(dict.fromkeys(run['scenario'] for run in runs))
    policies = list(dict.fromkeys(run['policy'] for run in runs))
    figure, axes = pyplot.subplots(figsize=(13, 4.5))
    width = 0.8 / len(policies)
    for index, policy in enumerate(policies):
        values = {
            run['scenario']: run[measure]
            for run in runs
            if run['policy'] == policy
        }
        positions = [
            number + index * width - 0.4 for number in range(len(scenarios))
        ]
        heights = [values.get(scenario, 0.0) for scenario in scenarios]
        axes.bar(positions, heights, width, label=policy)
    axes.set_xticks(range(len(scenarios)), scenarios, rotation=40, ha='right')
    axes.set_title(title)
    if measure.startswith('imbalance'):
        axes.set_ylim(bottom=1.0)
    axes.legend(fontsize=8, loc='upper left', bbox_to_anchor=(1.0, 1.0))
    figure.tight_layout()
    figure.savefig(FOLDER / name, dpi=110)
    pyplot.close(figure)


def _draw_fits(capacity: dict[str, typing.Any]) -> list[str]:
    drawn = []
    for part, content in capacity.items():
        if 'fits' not in content:
            continue
        for fit in content['fits']:
            name = f'capacity-{part}-{fit["y"]}.png'
            _draw_fit(content['points'], fit, f'{part}: {fit["y"]}', name)
            drawn.append(name)
    return drawn


def _draw_fit(
    points: list[dict[str, float]],
    fit: dict[str, typing.Any],
    title: str,
    name: str,
) -> None:
    xs = [point[fit['x']] for point in points]
    ys = [point[fit['y']] for point in points]
    end = max(max(xs), REQUIRED_SIZES.get(fit['x'], 0))
    figure, axes = pyplot.subplots(figsize=(5.5, 3.5))
    axes.plot(xs, ys, 'o')
    line = [fit['intercept'], fit['slope'] * end + fit['intercept']]
    axes.plot([0, end], line)
    if fit['x'] in REQUIRED_SIZES:
        axes.axvline(REQUIRED_SIZES[fit['x']], linestyle=':')
    axes.set_xlabel(fit['x'])
    axes.set_title(title)
    figure.tight_layout()
    figure.savefig(FOLDER / name, dpi=110)
    pyplot.close(figure)


def _table(runs: list[dict[str, typing.Any]]) -> str:
    head = ['deployment', 'scenario', 'policy', *_TABLE]
    lines = ['| ' + ' | '.join(head) + ' |', '|' + ' --- |' * len(head)]
    for run in runs:
        cells = [f'{run[name]:g}' for name in _TABLE]
        words = [run['deployment'], run['scenario'], run['policy']]
        lines.append('| ' + ' | '.join(words + cells) + ' |')
    return '\n'.join(lines)


def main() -> int:
    """Plot the results that exist."""
    bench = _read('bench.json')
    capacity = _read('capacity.json')
    if not bench and not capacity:
        print('run make bench or make capacity first', file=sys.stderr)
        return 1
    FOLDER.mkdir(parents=True, exist_ok=True)
    page = ['# Report', '']
    runs = bench.get('runs', [])
    for deployment in dict.fromkeys(run['deployment'] for run in runs):
        chosen = [run for run in runs if run['deployment'] == deployment]
        for measure in ('imbalance_p99', 'broken_flows_weighted'):
            name = f'{deployment}-{measure}.png'
            _draw_bars(chosen, measure, f'{deployment}: {measure}', name)
            page += [f'![{measure}]({name})', '']
    if runs:
        page += [_table(runs), '']
    page += [f'![{name}]({name})' for name in _draw_fits(capacity)]
    (FOLDER / 'index.md').write_text('\n'.join(page) + '\n')
    print(FOLDER / 'index.md')
    return 0


if __name__ == '__main__':
    sys.exit(main())
