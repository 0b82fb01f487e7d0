"""Measure the resource usage of the real programs without traffic."""

from __future__ import annotations

import os
import pathlib
import time
import typing

from standins import deployment

#: Seconds for the start to settle, and seconds that are measured.
SETTLE_S = 5.0
MEASURED_S = 10.0


def _cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf('SC_CLK_TCK')


def _resident_mb(pid: int) -> float:
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


def idle() -> dict[str, dict[str, float]]:
    """Return the largest CPU, memory and control-traffic use by role."""
    register, rules = deployment.load_example('zilina')
    dep = deployment.Deployment(
        register,
        rules,
        folder=pathlib.Path('build') / 'idle',
        ports=deployment.Ports(5530, 5531, 5532),
        network=30,
    )
    try:
        dep.start()
        time.sleep(SETTLE_S)
        pids = {
            name: process.pid
            for name, process in dep.processes.items()
            if name.startswith(('agent-', 'balancer-'))
        }
        before = {name: _cpu_seconds(pid) for name, pid in pids.items()}
        time.sleep(MEASURED_S)
        maxima: dict[str, dict[str, float]] = {}
        statuses = dep.statuses()
        for name, pid in pids.items():
            status = statuses[name.removeprefix('agent-')]
            role = name.split('-', 1)[0]
            if status['reader']:
                role += '_that_reads'
            spent = _cpu_seconds(pid) - before[name]
            _keep_maximum(
                maxima, role, 'cpu_percent', 100 * spent / MEASURED_S
            )
            _keep_maximum(maxima, role, 'resident_mb', _resident_mb(pid))
            rate = status['control_bytes_per_s']
            _keep_maximum(maxima, role, 'control_bytes_per_s', rate)
        return maxima
    finally:
        dep.stop()


def _keep_maximum(
    maxima: dict[str, dict[str, float]],
    role: str,
    name: str,
    value: typing.Any,
) -> None:
    of_role = maxima.setdefault(role, {})
    of_role[name] = max(of_role.get(name, 0.0), value)
