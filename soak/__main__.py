"""Run soaks by seed: ``python -m soak [--seeds=1,2] [--seconds=20]``.

Usage:
  soak [--seeds=<list>] [--seconds=<s>] [--balancers=<n>] [--agents=<n>]
       [--keep=<folder>]

Options:
  --seeds=<list>    Seeds, or "fresh:N" for N that nobody has seen
                    [default: 1].
  --seconds=<s>     Seconds of faults in each [default: 20].
  --balancers=<n>   Balancers [default: 3].
  --agents=<n>      Agents, each with a server [default: 6].
  --keep=<folder>   Where logs of failed seeds go [default: build/soak].
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
    """Return the seeds that an option names."""
    if text.startswith('fresh:'):
        source = random.SystemRandom()
        return [source.randrange(1 << 32) for _ in range(int(text[6:]))]
    return [int(part) for part in text.split(',')]


def play(seed: int, options: dict[str, str]) -> list[str]:
    """Play one soak, print a line, and return what was broken."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        played = world.World(
            seed,
            folder,
            balancers=int(options['--balancers']),
            agents=int(options['--agents']),
            fault_s=float(options['--seconds']),
        )
        asyncio.run(played.run())
        broken = checks.violations(played)
        print(
            json.dumps(
                {
                    'seed': seed,
                    'broken': broken[:10],
                    **checks.summary(played),
                    'kinds': played.faults.done,
                }
            ),
            flush=True,
        )
        if broken:
            kept = pathlib.Path(options['--keep']) / str(seed)
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept)
    return broken


def main() -> int:
    """Play all seeds; return 1 if a promise was broken."""
    options = docopt.docopt(__doc__)
    failed = [
        seed for seed in read_seeds(options['--seeds']) if play(seed, options)
    ]
    print(json.dumps({'failed_seeds': failed}))
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
