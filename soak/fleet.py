"""Start the real programs and send them signals."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from soak import network
from teaseldock_platform import settings

_ROOT = pathlib.Path(__file__).resolve().parent.parent
#: Limit for the processes of one soak; the machine allows "a few hundred".
MAX_PROCESSES = 200


class Program:
    """A process of a balancer or agent.

    :ivar disturbed_at: steady clock at the last start or signal.
    :ivar unexpected_exits: a line for each exit without SIGKILL or SIGTERM.
    """

    def __init__(
        self, role: str, number: int, folder: pathlib.Path, *, service: str
    ) -> None:
        """Describe a process; :meth:`start` starts it."""
        self.role = role
        self.host = network.host(1 if role == 'balancer' else 2, number)
        self.name = f'{role}-{number}'
        self.service = service
        self.store = ''
        self.seeds: list[str] = []
        # Every second program has a control budget for a slow link.
        self.link_mbps = 2.0 if number % 2 else 1000.0
        self.disturbed_at = 0.0
        self.unexpected_exits: list[str] = []
        self._paused = False
        self._folder = folder
        self._process: subprocess.Popen | None = None
        self._exit_expected = True

    @property
    def log_path(self) -> pathlib.Path:
        """Return the path of the log."""
        return self._folder / f'{self.name}.log'

    @property
    def settings_path(self) -> pathlib.Path:
        """Return the path of the settings file."""
        return self._folder / f'{self.name}.json'

    def write_settings(self) -> None:
        """Write the settings file that the platform would write."""
        values = {
            'name': self.name,
            'host': self.host,
            'data_centre': f'dc-{int(self.host.rsplit(".", 1)[1]) % 2}',
            'internal_port': network.INTERNAL_PORT,
            'metrics_port': network.METRICS_PORT,
            'seeds': self.seeds,
            'packets': f'{self.host}:{network.PACKETS_PORT}',
            'ready': f'{self.host}:{network.READY_PORT}',
            'from_server': f'{self.host}:{network.FROM_SERVER_PORT}',
            'server': f'{self.host}:{network.SERVER_PORT}',
            'service': self.service,
            'store': self.store,
            'grace_s': 4,
            'link_mbps': self.link_mbps,
        }
        self.settings_path.write_text(json.dumps(values))

    def start(self) -> None:
        """Start the process unless it is running."""
        if self._process is not None and self._process.poll() is None:
            return
        self.check_exit()
        self.disturbed_at = time.monotonic()
        environment = {
            settings.PATH_VARIABLE: str(self.settings_path),
            'PATH': os.environ['PATH'],
        }
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-S', 'platform/run.py', self.role],
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._exit_expected = False
        self._paused = False

    def check_exit(self) -> None:
        """Record an exit that no signal of the soak caused."""
        if self._process is None or self._exit_expected:
            return
        if self._process.poll() is not None:
            self._exit_expected = True
            self.unexpected_exits.append(
                f'{self.name} ended with {self._process.returncode}'
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        self.check_exit()
        if self._process is None or self._process.poll() is not None:
            return
        self.disturbed_at = time.monotonic()
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._exit_expected = True
        if number is signal.SIGTERM and self._paused:
            self._process.send_signal(signal.SIGCONT)
        self._paused = number is signal.SIGSTOP
        self._process.send_signal(number)

    def wait(self, seconds: float) -> None:
        """Wait for the exit; kill the process after some seconds."""
        if self._process is None:
            return
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    @property
    def running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None
