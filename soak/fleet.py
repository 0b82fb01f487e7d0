"""Start the real programs, and disturb them by signals."""

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
#: Most processes of one soak: "a few hundred" is the machine's limit.
MOST_PROCESSES = 200


class Program:
    """One balancer or agent."""

    def __init__(
        self, role: str, number: int, folder: pathlib.Path, *, service: str
    ) -> None:
        """Prepare; nothing runs before :meth:`start`."""
        self.role = role
        self.host = network.host(1 if role == 'balancer' else 2, number)
        self.name = f'{role}-{number}'
        self.service = service
        self.store = ''
        self.seeds: list[str] = []
        # Every second one spends on control what suits a slim link.
        self.link_mbps = 2.0 if number % 2 else 1000.0
        self.disturbed_at = 0.0
        self.unasked_ends: list[str] = []
        self._paused = False
        self._folder = folder
        self._process: subprocess.Popen | None = None
        self._expected_end = True

    @property
    def log_path(self) -> pathlib.Path:
        """Return where its lines go."""
        return self._folder / f'{self.name}.log'

    @property
    def settings_path(self) -> pathlib.Path:
        """Return its settings file."""
        return self._folder / f'{self.name}.json'

    def write_settings(self) -> None:
        """Write what the platform's template would give."""
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
        """Start, unless it runs."""
        if self._process is not None and self._process.poll() is None:
            return
        self.note_end()
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
        self._expected_end = False
        self._paused = False

    def note_end(self) -> None:
        """Keep an end that nobody asked for."""
        if self._process is None or self._expected_end:
            return
        if self._process.poll() is not None:
            self._expected_end = True
            self.unasked_ends.append(
                f'{self.name} ended with {self._process.returncode}'
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this very process."""
        self.note_end()
        if self._process is None or self._process.poll() is not None:
            return
        self.disturbed_at = time.monotonic()
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._expected_end = True
        if number is signal.SIGTERM and self._paused:
            self._process.send_signal(signal.SIGCONT)
        self._paused = number is signal.SIGSTOP
        self._process.send_signal(number)

    def wait(self, seconds: float) -> None:
        """Wait for its end, and kill it after some seconds."""
        if self._process is None:
            return
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    @property
    def running(self) -> bool:
        """Tell whether it runs."""
        return self._process is not None and self._process.poll() is None
