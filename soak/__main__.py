"""Run soaks by seed: ``python -m soak [--seeds=1,2] [--seconds=20]``.

Usage:
  soak [--seeds=<list>] [--seconds=<s>] [--balancers=<n>] [--agents=<n>]
       [--keep=<folder>]

Options:
  --seeds=<list>    Seeds, or "fresh:N" for N random ones
                    [default: 1].
  --seconds=<s>     Seconds of faults for each seed [default: 20].
  --balancers=<n>   Balancers [default: 3].
  --agents=<n>      Agents, each with a server [default: 6].
  --keep=<folder>   Folder for logs of failed seeds [default: build/soak].
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import shutil
import sys
import tempfile

import docopt

from soak import checks
from soak import world


def read_seeds(text: str) -> list[int]:
    """Return the seeds of an option, or random ones for ``fresh:N``."""
    if text.startswith('fresh:'):
        source = random.SystemRandom()
        return [source.randrange(1 << 32) for _ in range(int(text[6:]))]
    return [int(part) for part in text.split(',')]


def run_soak(seed: int, options: dict[str, str]) -> list[str]:
    """Run a soak, print a line of JSON, and return the violations."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        finished = world.World(
            seed,
            folder,
            balancers=int(options['--balancers']),
            agents=int(options['--agents']),
            fault_s=float(options['--seconds']),
        )
        asyncio.run(finished.run())
        violations = checks.violations(finished)
        print(
            json.dumps(
                {
                    'seed': seed,
                    'broken': violations[:10],
                    **checks.summary(finished),
                    'kinds': finished.faults.injected,
                }
            ),
            flush=True,
        )
        if violations:
            log_folder = pathlib.Path(options['--keep']) / str(seed)
            shutil.rmtree(log_folder, ignore_errors=True)
            shutil.copytree(folder, log_folder)
    return violations


def main() -> int:
    """Run all seeds; return 1 if any violated a guarantee."""
    options = docopt.docopt(__doc__)
    failed = [
        seed
        for seed in read_seeds(options['--seeds'])
        if run_soak(seed, options)
    ]
    print(json.dumps({'failed_seeds': failed}))
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
