"""Inject random faults, one after the other and overlapping."""

from __future__ import annotations

import asyncio
import random
import signal
import time
import typing

from standin_platform import foreign

if typing.TYPE_CHECKING:
    from soak import world

#: Range of the seconds between the starts of two faults.
_GAP_S = (0.2, 1.5)
#: Seconds from the return of the store until it drops entries of dead servers.
_EXPIRE_S = 2.0


class Faults:
    """Choose and inject faults.

    :ivar injected: kinds of the faults so far, in order.
    """

    def __init__(
        self, environment: world.World, randomness: random.Random
    ) -> None:
        """Create an injector; :meth:`run` starts it."""
        self._world = environment
        self._random = randomness
        self._writer = foreign.ForeignWriter(randomness)
        self.injected: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds, then wait until all have ended."""
        until = time.monotonic() + seconds
        kinds = [
            self._kill,
            self._kill_many,
            self._pause,
            self._terminate,
            self._hang_up,
            self._crash_server,
            self._silence_server,
            self._replace_server,
            self._foreign_entry,
            self._store,
            self._compact,
            self._come_back,
            self._configure,
            self._configure_many,
            self._evacuate,
            self._lose_packets,
            self._slow_servers,
            self._burst,
        ]
        while time.monotonic() < until:
            kind = self._random.choice(kinds)
            self.injected.append(kind.__name__.lstrip('_'))
            task = asyncio.create_task(kind())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(*_GAP_S))
        await asyncio.gather(*self._tasks)

    def _random_program(self) -> typing.Any:
        return self._random.choice(self._world.programs)

    async def _kill(self) -> None:
        self._random_program().send(signal.SIGKILL)

    async def _kill_many(self) -> None:
        for program in self._world.programs:
            if self._random.random() < 0.6:
                program.send(signal.SIGKILL)

    async def _pause(self) -> None:
        program = self._random_program()
        program.send(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.3, 3.0))
        program.send(signal.SIGCONT)

    async def _terminate(self) -> None:
        program = self._random_program()
        program.send(signal.SIGTERM)
        if self._random.random() < 0.3:
            await asyncio.sleep(0.2)
            program.send(signal.SIGTERM)

    async def _hang_up(self) -> None:
        program = self._random_program()
        program.write_settings()
        program.send(signal.SIGHUP)

    async def _crash_server(self) -> None:
        server = self._random.choice(self._world.servers)
        if not server.up:
            return
        keep_key = self._random.random() < 0.5
        server.crash(remove_entry=not keep_key)
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        await server.start(keep_key=keep_key)

    async def _silence_server(self) -> None:
        server = self._random.choice(self._world.servers)
        server.silent = True
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        server.silent = False
        server.disturbed_at = time.monotonic()

    async def _replace_server(self) -> None:
        server = self._random.choice(self._world.servers)
        if not server.up or server.draining_since is not None:
            return
        server.drain()
        await asyncio.sleep(self._random.uniform(3.5, 4.5))
        if server.up and server.draining_since is not None:
            server.crash(remove_entry=True)
            await server.start()

    async def _foreign_entry(self) -> None:
        """Write an invalid entry under a new key or over a server's entry."""
        server = self._random.choice(self._world.servers)
        odd = self._writer.value()
        if self._random.random() < 0.5 or not server.up:
            self._world.store.put_bytes(self._writer.key(), odd)
            return
        self._world.store.put_bytes(server.key, odd)
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        if server.up and server.draining_since is None:
            server.register()

    async def _store(self) -> None:
        proxy = self._random.choice(self._world.proxies)
        proxy.mode = self._random.choice(('slow', 'refuse', 'silent', 'deaf'))
        if proxy.mode == 'refuse':
            proxy.cut()
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        proxy.mode = 'pass'
        self._world.store_disturbed_at = time.monotonic()

    async def _compact(self) -> None:
        self._world.store.compact()

    async def _come_back(self) -> None:
        """Make the store unreachable, then restore it from an older copy."""
        copy = self._world.store.copy()
        await asyncio.sleep(self._random.uniform(0.5, 5.0))
        for proxy in self._world.proxies:
            proxy.mode = 'refuse'
            proxy.cut()
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        self._world.store.restore(copy)
        for proxy in self._world.proxies:
            proxy.mode = 'pass'
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        self._world.republish()
        for server in self._world.servers:
            await asyncio.sleep(
                self._random.uniform(0.0, 2.0) / len(self._world.servers)
            )
            server.register_unchanged()
        await asyncio.sleep(_EXPIRE_S)
        self._world.expire_entries()
        self._world.store_disturbed_at = time.monotonic()

    async def _configure(self) -> None:
        self._world.configure()

    async def _configure_many(self) -> None:
        self._world.configure_many()

    async def _evacuate(self) -> None:
        """Evacuate a data centre for a while; two evacuations may overlap."""
        name = f'dc-{self._random.randrange(2)}'
        self._world.evacuate(name, active=True)
        await asyncio.sleep(self._random.uniform(2.0, 7.0))
        self._world.evacuate(name, active=False)

    async def _lose_packets(self) -> None:
        self._world.fabric.loss = 0.05
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        self._world.fabric.loss = 0.0

    async def _slow_servers(self) -> None:
        """Make half of the servers slow, so that requests queue there."""
        slow = self._random.sample(
            self._world.servers, len(self._world.servers) // 2
        )
        for server in slow:
            server.slowdown = self._random.uniform(5.0, 20.0)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        for server in slow:
            server.slowdown = 1.0

    async def _burst(self) -> None:
        """Send several times the usual requests for a while."""
        self._world.burst = self._random.uniform(2.0, 5.0)
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        self._world.burst = 1.0
