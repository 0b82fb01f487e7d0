"""Inject faults in series and overlapping, by a seed."""

from __future__ import annotations

import asyncio
import random
import signal
import time
import typing

from standin_platform import documents

if typing.TYPE_CHECKING:
    from soak import world

#: Seconds between two faults.
_GAP_S = (0.2, 1.5)
#: Seconds after its return in which the store drops entries of dead servers.
_EXPIRE_S = 2.0


class Faults:
    """Choose and carry out faults until told to end."""

    def __init__(self, played: world.World, randomness: random.Random) -> None:
        """Prepare."""
        self._world = played
        self._random = randomness
        self.done: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds, then wait for the last to end."""
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
        ]
        while time.monotonic() < until:
            kind = self._random.choice(kinds)
            self.done.append(kind.__name__.lstrip('_'))
            task = asyncio.create_task(kind())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.uniform(*_GAP_S))
        await asyncio.gather(*self._tasks)

    def _program(self) -> typing.Any:
        return self._random.choice(self._world.programs)

    async def _kill(self) -> None:
        self._program().send(signal.SIGKILL)

    async def _kill_many(self) -> None:
        for program in self._world.programs:
            if self._random.random() < 0.6:
                program.send(signal.SIGKILL)

    async def _pause(self) -> None:
        program = self._program()
        program.send(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.3, 3.0))
        program.send(signal.SIGCONT)

    async def _terminate(self) -> None:
        program = self._program()
        program.send(signal.SIGTERM)
        if self._random.random() < 0.3:
            await asyncio.sleep(0.2)
            program.send(signal.SIGTERM)

    async def _hang_up(self) -> None:
        program = self._program()
        program.write_settings()
        program.send(signal.SIGHUP)

    async def _crash_server(self) -> None:
        server = self._random.choice(self._world.servers)
        if not server.up:
            return
        keeps_name = self._random.random() < 0.5
        server.crash(forget=not keeps_name)
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        await server.start(keeps_name=keeps_name)

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
            server.crash(forget=True)
            await server.start()

    async def _foreign_entry(self) -> None:
        """Leave what names no target, beside a server's entry or over it."""
        server = self._random.choice(self._world.servers)
        odd = self._random.choice(documents.ODD_ENTRIES)
        if self._random.random() < 0.5 or not server.up:
            key = documents.server_key(f'odd-{len(self.done)}')
            self._world.store.put(key, odd)
            return
        self._world.store.put(server.key, odd)
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
        """Lose the last seconds of the store, which is away for a moment."""
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
        self._world.publish_again()
        for server in self._world.servers:
            await asyncio.sleep(
                self._random.uniform(0.0, 2.0) / len(self._world.servers)
            )
            server.register_again()
        await asyncio.sleep(_EXPIRE_S)
        self._world.expire_entries()
        self._world.store_disturbed_at = time.monotonic()

    async def _configure(self) -> None:
        self._world.configure()

    async def _configure_many(self) -> None:
        self._world.configure_many()

    async def _evacuate(self) -> None:
        """Empty a data centre for a while; both may be at one moment."""
        name = f'dc-{self._random.randrange(2)}'
        self._world.evacuate(name, active=True)
        await asyncio.sleep(self._random.uniform(2.0, 7.0))
        self._world.evacuate(name, active=False)

    async def _lose_packets(self) -> None:
        self._world.fabric.loss = 0.05
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        self._world.fabric.loss = 0.0
