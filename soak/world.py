"""Build and run programs, store, servers, fabric and callers."""

from __future__ import annotations

import asyncio
import pathlib
import random
import time
import typing

from soak import callers
from soak import faults
from soak import fleet
from soak import network
from soak import proxy
from soak import servers
from standin_platform import documents
from standin_platform import foreign
from standin_platform import store

#: Ports of the permanent routes by service, and first port of added routes.
PORTS = {'dispatch': 443, 'tickets': 444}
_EXTRA_PORT = 1000
#: Number of routes without traffic that are added or removed together, and
#: their first port.
_IDLE_ROUTES = 1200
_IDLE_PORT = 20_000
#: Seconds between two checks for processes that have exited.
_RESTART_S = 0.3
#: Mean requests a second outside bursts.
_REQUESTS_PER_S = 40.0
#: Seconds after the faults until failed requests count; traffic goes on for
#: twice that time.
_QUIET_S = 5.0


class World:
    """All parts of one soak, and its records.

    :ivar store_disturbed_at: steady clock at the end of the last store fault.
    :ivar routes: for each port, when its route was added or removed.
    :ivar evacuations: for each data centre, when evacuations began and ended.
    :ivar quiet_from: steady clock from which failed requests count.
    :ivar burst: factor of the rate of requests.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        *,
        balancers: int,
        agents: int,
        fault_s: float,
    ) -> None:
        """Create all parts; :meth:`run` starts them."""
        if balancers + agents > fleet.MAX_PROCESSES:
            raise ValueError(f'more than {fleet.MAX_PROCESSES} processes')
        self._random = random.Random(seed)
        self._fault_s = fault_s
        self.journal = servers.Journal()
        self.store = store.Store()
        self.store_disturbed_at = 0.0
        self.routes: dict[int, list[tuple[float, bool]]] = {}
        self.evacuations: dict[str, list[tuple[float, bool]]] = {}
        self._version = 0
        self._published: dict[str, typing.Any] = {}
        self._idle_routes = 0
        address = (network.host(4, 1), network.CONTROL_PORT)
        self._store_address = address
        self.proxies = [proxy.Proxy(address), proxy.Proxy(address)]
        self.programs = [
            fleet.Program('balancer', number + 1, folder, service='')
            for number in range(balancers)
        ]
        self.servers = []
        for number in range(agents):
            service = 'tickets' if number % 4 == 3 else 'dispatch'
            program = fleet.Program(
                'agent', number + 1, folder, service=service
            )
            self.programs.append(program)
            self.servers.append(
                servers.Server(
                    number + 1,
                    service,
                    journal=self.journal,
                    registry=self.store,
                    randomness=self._random,
                )
            )
        self.fabric = callers.Fabric(
            [p.host for p in self.programs if p.role == 'balancer'],
            self._random,
        )
        self.burst = 1.0
        self.callers = [
            callers.Caller(
                number + 1,
                self.fabric,
                self._random,
                find_holder=self._find_holder,
            )
            for number in range(8)
        ]
        self.faults = faults.Faults(self, self._random)
        self.quiet_from = 0.0
        self._ending = False

    def _find_holder(self, flow: network.Flow, number: int) -> str | None:
        for server in self.servers:
            if server.holds_undisturbed(flow, number):
                return server.host
        return None

    def configure(self) -> None:
        """Publish a version that adds a route and may remove the oldest."""
        self._version += self._random.randrange(1, 4)
        port = _EXTRA_PORT + self._version
        extra = sorted(p for p in self.routes if p >= _EXTRA_PORT)
        live = [p for p in extra if self.routes[p][-1][1]]
        dropped = live[:1] if len(live) >= 3 else []
        ports = [p for p in live if p not in dropped] + [port]
        routes = [
            *(documents.route(name, number) for name, number in PORTS.items()),
            *(documents.route('dispatch', number) for number in ports),
            *(
                documents.route('dispatch', _IDLE_PORT + number)
                for number in range(self._idle_routes)
            ),
        ]
        self._published = documents.configuration(self._version, routes)
        at = self.store.put(documents.CONFIGURATION_KEY, self._published)
        self.routes.setdefault(port, []).append((at, True))
        for number in dropped:
            self.routes[number].append((at, False))

    def configure_many(self) -> None:
        """Publish a version that adds or removes many routes at once."""
        self._idle_routes = _IDLE_ROUTES - self._idle_routes
        self.configure()

    def evacuate(self, data_centre: str, *, active: bool) -> None:
        """Begin or end the evacuation of a data centre (no new flows)."""
        key = documents.evacuation_key(data_centre)
        at = time.monotonic()
        if active:
            at = self.store.put(key, {})
        else:
            self.store.remove(key)
        states = self.evacuations.setdefault(data_centre, [])
        if not states or states[-1][1] is not active:
            states.append((at, active))

    def republish(self) -> None:
        """Write configuration and evacuations that the store lost."""
        self.store.put(documents.CONFIGURATION_KEY, self._published)
        for name, states in self.evacuations.items():
            key = documents.evacuation_key(name)
            if states[-1][1]:
                self.store.put(key, {})
            else:
                self.store.remove(key)

    def expire_entries(self) -> None:
        """Remove the entries of servers that are not running."""
        running_keys = {server.key for server in self.servers if server.up}
        prefix = documents.server_key('i-')
        for key in list(self.store.items):
            if key.startswith(prefix) and key not in running_keys:
                self.store.remove(key)

    def _write_foreign_entries(self) -> None:
        """Write one entry of each kind that another writer may leave."""
        for name, value in foreign.ENTRIES.items():
            self.store.put_bytes(documents.server_key(name), value)
        for name in foreign.KEYS:
            self.store.put_bytes(documents.server_key(name), b'')

    async def run(self) -> None:
        """Run the soak."""
        self.store.start(self._store_address)
        for number, item in enumerate(self.proxies):
            await item.start((network.host(4, 2 + number), 18000))
        self._write_foreign_entries()
        self.configure()
        for server in self.servers:
            await server.start()
        for caller in self.callers:
            await caller.start()
        seeds = [
            f'{p.host}:{network.CONTROL_PORT}'
            for p in self.programs
            if p.role == 'balancer'
        ][:3]
        for number, program in enumerate(self.programs):
            program.seeds = seeds
            program.store = f'{network.host(4, 2 + number % 2)}:18000'
            program.write_settings()
            program.start()
        supervisor = asyncio.create_task(self._keep_running())
        self.fabric.start()
        await asyncio.sleep(3.0)
        traffic = asyncio.create_task(self._traffic())
        await asyncio.sleep(1.0)
        await self.faults.run(self._fault_s)
        self.quiet_from = time.monotonic() + _QUIET_S
        await asyncio.sleep(2 * _QUIET_S)
        self._ending = True
        await traffic
        supervisor.cancel()
        await self.close()

    async def close(self) -> None:
        """Stop all processes and close all ports."""
        for program in self.programs:
            program.send(fleet.signal.SIGTERM)
        for program in self.programs:
            await asyncio.to_thread(program.wait, 5.0)
        self.fabric.close()
        for caller in self.callers:
            caller.close()
        for server in self.servers:
            if server.up:
                server.crash(remove_entry=False)
        for item in self.proxies:
            item.close()
        self.store.close()

    async def _keep_running(self) -> None:
        while True:
            for program in self.programs:
                if not program.running:
                    await asyncio.sleep(_RESTART_S / 10)
                    program.start()
            await asyncio.sleep(_RESTART_S)

    async def _traffic(self) -> None:
        running: set[asyncio.Task] = set()
        while not self._ending:
            caller = self._random.choice(self.callers)
            kind = self._random.random()
            port = PORTS['tickets' if kind > 0.85 else 'dispatch']
            live = [p for p, states in self.routes.items() if states[-1][1]]
            if 0.6 < kind < 0.7 and live:
                port = self._random.choice(sorted(self.routes))
            task = asyncio.create_task(
                caller.send_requests(
                    port,
                    non_idempotent=kind > 0.7,
                    times=8 if kind < 0.3 else 1,
                )
            )
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(
                self._random.expovariate(_REQUESTS_PER_S * self.burst)
            )
        await asyncio.wait_for(
            asyncio.gather(*running, return_exceptions=False), 60
        )
