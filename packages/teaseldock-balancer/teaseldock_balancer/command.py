"""Entry point of ``teaseldock-balancer``."""

from __future__ import annotations

import sys

from teaseldock_balancer import application
from teaseldock_edge import command_line

SUMMARY = 'Balancer of the teaseldock layer-4 load balancer.'


def main(argv: list[str] | None = None) -> int:
    """Run one command and return the exit code."""
    return command_line.main(
        'balancer', SUMMARY, application.BalancerProgram, argv
    )


if __name__ == '__main__':
    sys.exit(main())
