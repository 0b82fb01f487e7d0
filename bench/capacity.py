"""Measure how the cost of each role grows; write build/capacity.json.

Each point runs in a separate process, so that the memory of one point is not
counted in another. Times depend on the machine; sizes, messages and bytes do
not.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import subprocess
import sys
import typing

from bench import points
from bench import programs

FRACTIONS = (0.125, 0.25, 0.5, 1.0)
MEMBERS = (50, 150, 450, 1150)
REQUESTS = (4_000, 8_000, 16_000, 32_000)
FLOWS = (2_000, 8_000, 32_000, 128_000)
SERVICE_SIZES = (2, 4, 8, 16)
RATES = (1, 4, 16, 64)
PROCESSES = (50, 150, 450, 1150)
#: Number of targets of the service whose rate of new flows grows.
RATE_TARGETS = 3
OUTPUT = pathlib.Path('build') / 'capacity.json'


def fit(found: list[dict[str, float]], x: str, y: str) -> dict[str, float]:
    """Fit a line; return slope, intercept and largest relative error."""
    # Imported here, as its memory would count in the measured points.
    import numpy

    xs = numpy.array([point[x] for point in found], dtype=float)
    ys = numpy.array([point[y] for point in found], dtype=float)
    slope, intercept = numpy.polyfit(xs, ys, 1)
    errors = abs(slope * xs + intercept - ys) / numpy.maximum(abs(ys), 1e-9)
    return {
        'x': x,
        'y': y,
        'slope': float(slope),
        'intercept': float(intercept),
        'largest_error': round(float(errors.max()), 3),
        'largest_size': float(xs.max()),
    }


def _run_child(part: str, size: float) -> dict[str, float]:
    output = subprocess.run(
        [sys.executable, '-m', 'bench.capacity', part, str(size)],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return json.loads(output)


PARTS: dict[str, tuple[tuple[float, ...], str, tuple[str, ...]]] = {
    'table': (FRACTIONS, 'targets', ('resident_mb', 'load_s', 'change_ms')),
    'agent_table': (FRACTIONS, 'targets', ('resident_mb',)),
    'requests': (REQUESTS, 'requests', ('feeds_mb', 'exchanges_mb')),
    'membership': (
        MEMBERS,
        'members',
        ('cpu_percent', 'bytes_per_s', 'messages_per_s'),
    ),
    'flows': (FLOWS, 'flows', ('resident_mb', 'tick_cpu_percent')),
    'new_flows': (
        SERVICE_SIZES,
        'targets_of_service',
        ('quiet_bytes_per_s', 'busy_bytes_per_s'),
    ),
    'spreading': (
        PROCESSES,
        'processes',
        ('in_force_s_max', 'reads_for_each_change'),
    ),
    'rates': (
        RATES,
        'flows_per_s',
        ('busy_bytes_per_s', 'us_per_new_flow'),
    ),
}


def _measure_point(part: str, size: float) -> dict[str, float]:
    match part:
        case 'table':
            return asyncio.run(points.table_point(size))
        case 'agent_table':
            return asyncio.run(points.agent_table_point(size))
        case 'spreading':
            return points.spreading_point(int(size))
        case 'rates':
            return points.new_flows_point(RATE_TARGETS, size)
        case 'requests':
            return points.requests_point(int(size))
        case 'membership':
            return points.membership_point(int(size))
        case 'flows':
            return points.flows_point(int(size))
    return points.new_flows_point(int(size))


def main() -> int:
    """Measure the point that the arguments name, or all points."""
    if len(sys.argv) == 3:
        print(json.dumps(_measure_point(sys.argv[1], float(sys.argv[2]))))
        return 0
    report: dict[str, typing.Any] = {}
    for part, (sizes, x, measures) in PARTS.items():
        measured = [_run_child(part, size) for size in sizes]
        report[part] = {
            'points': measured,
            'fits': [fit(measured, x, y) for y in measures],
        }
        print(part)
        for point in measured:
            print('  ', {k: round(v, 3) for k, v in point.items()})
    report['packet'] = points.packet_cost()
    report['idle'] = programs.idle()
    print('idle', report['idle'])
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(report, indent=1) + '\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
