"""Entry point of ``teaseldock-agent``."""

from __future__ import annotations

import sys

from teaseldock_agent import application
from teaseldock_edge import command_line

SUMMARY = 'Agent of the teaseldock load balancer, beside a backend server.'


def main(argv: list[str] | None = None) -> int:
    """Run one command and return the exit code."""
    return command_line.main('agent', SUMMARY, application.AgentProgram, argv)


if __name__ == '__main__':
    sys.exit(main())
