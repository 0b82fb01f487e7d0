"""Measure how long it takes until processes know what a promise hangs on.

A server leaves or is gone, a data centre is emptied, a route is dropped: each
must be known at every process within seconds, whatever else is told at that
moment. The load: 64 servers of a release that warm up, callers that open
flows, 1,600 new routes, and processes that freeze, are cut off, or restart.

``python -m bench.packet_news [BALANCERS SERVERS MBPS]``
"""

from __future__ import annotations

import collections
import random
import sys
import time
import typing

from bench import packet_world

#: Fleets by balancers and servers that are played by default.
SIZES = ((8, 18), (20, 53), (59, 136))
#: Speeds of the balancers' links, megabits a second.
SPEEDS = (2.0, 20.0, 200.0)
ROUTES = 1600
DROPPED = 20
#: Seconds between two looks at what processes know.
LOOK_S = 0.05
#: Seconds after the end of its trouble in which a process isn't judged.
TOUCH_S = 4.0
#: Seconds in which what is in force is looked at after it was published.
LONGEST_S = 15.0
#: Seconds by which a process's own count of an age may be behind: a tick.
PROOF_MARGIN_S = LOOK_S + packet_world.TICK_S
#: Seconds between two entries of a server that warms up, and how often.
WARMUP_STEP_S = 1.0
WARMUP_STEPS = 3
RELEASED = 64
RELEASE_GAP_S = 0.1

Known = typing.Callable[[packet_world.Process], bool]


class Ages(typing.NamedTuple):
    """What one play showed.

    :ivar urgent_s: the longest time until a process in touch knew something
        that a promise hangs on.
    :ivar bulk_s: the same for routes that are new.
    :ivar mean_bytes: control bytes a second and process, in the mean.
    :ivar most_bytes: of the busiest second of any process.
    :ivar proof_s: the greatest age of an alert that a process in touch, which
        the store doesn't turn away, might not have known while it didn't ask
        the store.
    :ivar calls: to the store, of all processes.
    :ivar unproven: how often a process lacked an alert that was older than its
        proof: nothing may ever be counted here.
    """

    urgent_s: float
    bulk_s: float
    mean_bytes: float
    most_bytes: int
    proof_s: float
    calls: int
    unproven: int


class _Item(typing.NamedTuple):
    at: float
    urgent: bool
    known: Known
    waiting: set[str]


class Play:
    """One fleet under load and trouble, and how old its knowledge gets."""

    def __init__(
        self, balancers: int, servers: int, link_mbps: float, *, seed: int = 1
    ) -> None:
        """Start a fleet that has just got ready."""
        self.world = packet_world.small_world(
            balancers=balancers,
            servers=servers,
            slots=1,
            link_mbps=link_mbps,
            seed=seed,
        )
        self._random = random.Random(seed)
        self._version = 1
        self._items: list[_Item] = []
        self._troubled: dict[str, float] = {}
        self._longest = {True: 0.0, False: 0.0}
        self._refused: dict[str, float] = {}
        self._oldest_proof_s = 0.0
        self._unproven = 0
        self._added = 0
        self._calls_before = self._calls()
        self.world.after(0.0, self._look)

    def _look(self) -> None:
        self.world.after(LOOK_S, self._look)
        now = self.world.now
        self._look_at_proofs(now)
        for item in self._items:
            for host in list(item.waiting):
                process = self.world.processes.get(host)
                if process is None or self._is_troubled(host, item.at):
                    item.waiting.discard(host)
                    continue
                if item.known(process):
                    item.waiting.discard(host)
                    self._note(item, now)
                elif item.urgent:
                    proof_s = process.node.alerts_age_s + PROOF_MARGIN_S
                    self._unproven += now - item.at > proof_s
        overdue = [i for i in self._items if now - i.at > LONGEST_S]
        for item in overdue:
            self._items.remove(item)
            if item.waiting:
                self._note(item, now)

    def _look_at_proofs(self, now: float) -> None:
        for host, process in self.world.processes.items():
            refused_until = self._refused.get(host, 0.0) + TOUCH_S
            if self._is_troubled(host, now) or refused_until > now:
                continue
            if process.node._read_schedule.calling:
                # It hears of any change at once; it has no proof until the
                # store has answered that there is none.
                continue
            age_s = process.node.alerts_age_s
            self._oldest_proof_s = max(self._oldest_proof_s, age_s)

    def _calls(self) -> int:
        return self.world.store.calls

    def _note(self, item: _Item, now: float) -> None:
        age_s = now - item.at
        self._longest[item.urgent] = max(self._longest[item.urgent], age_s)

    def _is_troubled(self, host: str, since: float) -> bool:
        return self._troubled.get(host, -TOUCH_S) + TOUCH_S > since

    def expect(self, known: Known, *, urgent: bool) -> None:
        """Look when each process in touch knows something."""
        hosts = set(self.world.processes)
        self._items.append(_Item(self.world.now, urgent, known, hosts))

    def trouble(self, hosts: list[str], seconds: float) -> None:
        """Note that processes are out of touch for some seconds."""
        for host in hosts:
            self._troubled[host] = self.world.now + seconds

    def drain(self, host: str) -> None:
        """Let a server say that it leaves, unless it has."""
        server = self.world.servers[host]
        if server.draining:
            return
        name = server.identifier
        server.draining = True
        self.world.store.put(server)

        def known(process: packet_world.Process) -> bool:
            target = process.node.knowledge.targets.get(name)
            return target is None or target.draining

        self.expect(known, urgent=True)
        self.world.after(3.0, lambda: self._remove(name))

    def _remove(self, name: str) -> None:
        self.world.store.remove(name)
        self.expect(
            lambda process: name not in process.node.knowledge.targets,
            urgent=True,
        )

    def add(self, host: str) -> None:
        """Start a server, which warms up."""
        self.world.add_server(
            host, service='dispatch', slots=1, service_s=0.03
        )
        for step in range(WARMUP_STEPS):
            self.world.after(
                step * WARMUP_STEP_S,
                lambda left=WARMUP_STEPS - step: self._warm(host, left),
            )

    def _warm(self, host: str, left: int) -> None:
        server = self.world.servers[host]
        server.warmup_ms = int(1000 * left * WARMUP_STEP_S)
        if not server.draining:
            self.world.store.put(server)

    def routes(self, *, many: bool) -> None:
        """Publish many routes, or drop some of them again."""
        self._version += 1
        version = self._version
        first = 0 if many else DROPPED
        routes = [packet_world.route('dispatch')] + [
            packet_world.route('dispatch', port=1000 + index)
            for index in range(first, ROUTES)
        ]
        self.world.store.configure(version, routes)
        last = packet_world.route('dispatch', port=1000).address

        def known(process: packet_world.Process) -> bool:
            held = process.node.knowledge
            if held.version > version:
                # A later one, which may have the route again or not.
                return True
            return (held.route(last) is not None) is many

        self.expect(known, urgent=not many)

    def evacuate(self, *, active: bool) -> None:
        """Empty a data centre, or take it back."""
        self.world.store.evacuate('elsewhere', active=active)

        def known(process: packet_world.Process) -> bool:
            evacuated = process.node.knowledge.evacuated
            return ('elsewhere' in evacuated) is active

        self.expect(known, urgent=active)

    def release(self) -> None:
        """Replace servers one after the other."""
        serving = [
            host
            for host, server in self.world.servers.items()
            if not server.draining
        ]
        old = sorted(serving)[:RELEASED]
        for index, host in enumerate(old):
            at = index * RELEASE_GAP_S
            self._added += 1
            new = f'10.0.{100 + self._added // 200}.{self._added % 200 + 1}'
            self.world.after(at, lambda new=new: self.add(new))
            self.world.after(at + 1.0, lambda old=host: self.drain(old))

    def freeze(self, seconds: float) -> None:
        """Let a third of the processes stand still."""
        hosts = sorted(self.world.processes)[::3]
        self.trouble(hosts, seconds)
        for host in hosts:
            self.world.processes[host].paused = True
        self.world.after(seconds, lambda: self._wake(hosts))

    def _wake(self, hosts: list[str]) -> None:
        for host in hosts:
            process = self.world.processes.get(host)
            if process is not None:
                process.wake()

    def refuse(self, seconds: float) -> None:
        """Let the store turn a third of the processes away."""
        hosts = sorted(self.world.processes)[1::3]
        self._refused.update(dict.fromkeys(hosts, self.world.now + seconds))
        self.world.store.refused.update(hosts)
        self.world.store._wake()
        self.world.after(
            seconds, lambda: self.world.store.refused.difference_update(hosts)
        )

    def kill_readers(self) -> None:
        """Restart all that read the store."""
        hosts = [
            host
            for host, process in self.world.processes.items()
            if process.node.reads_store(self.world.now)
        ]
        self.restart(hosts)

    def restart(self, hosts: list[str]) -> None:
        """Start processes anew."""
        self.trouble(hosts, 0.0)
        for host in hosts:
            self.world.start(host)

    def call(self, per_s: float, seconds: float) -> None:
        """Let callers open flows."""
        at = 0.0
        while at < seconds:
            at += self._random.expovariate(per_s)
            self.world.after(at, lambda: self.world.request(tries=1))

    def result(self, since: float) -> Ages:
        """Return what was seen after a moment."""
        world = self.world
        spent: collections.Counter[int] = collections.Counter()
        most = 0
        for (_, second), size in world.control_bytes.items():
            if second >= since:
                spent[second] += size
                most = max(most, size)
        seconds = max(1.0, world.now - since)
        mean = sum(spent.values()) / seconds / len(world.processes)
        return Ages(
            self._longest[True],
            self._longest[False],
            mean,
            most,
            self._oldest_proof_s,
            self._calls() - self._calls_before,
            self._unproven,
        )


def play(
    balancers: int, servers: int, link_mbps: float, *, seed: int = 1
) -> Ages:
    """Play all troubles at once, and in a row."""
    game = Play(balancers, servers, link_mbps, seed=seed)
    world = game.world
    since = world.now
    game.call(3.0 * servers, 14.0)
    game.release()
    world.run(1.0)
    game.refuse(9.0)
    world.run(1.0)
    game.routes(many=True)
    world.run(0.3)
    game.evacuate(active=True)
    game.freeze(2.5)
    for _ in range(3):
        world.run(0.7)
        game.kill_readers()
    world.run(1.0)
    game.routes(many=False)
    game.restart(sorted(world.processes)[::2])
    world.run(1.0)
    game.routes(many=True)
    game.evacuate(active=False)
    world.run(7.0)
    return game.result(since)


def main() -> None:
    """Print a table of ages."""
    sizes = SIZES
    speeds: tuple[float, ...] = SPEEDS
    if len(sys.argv) > 3:
        sizes = ((int(sys.argv[1]), int(sys.argv[2])),)
        speeds = (float(sys.argv[3]),)
    print(
        'processes  Mbit/s  urgent s  bulk s  bytes/s  busiest'
        '  proof s  calls  unproven  took s'
    )
    for balancers, servers in sizes:
        for speed in speeds:
            began = time.perf_counter()
            ages = play(balancers, servers, speed)
            took_s = time.perf_counter() - began
            print(
                f'{balancers + servers:9d} {speed:7.0f} {ages.urgent_s:9.2f}'
                f' {ages.bulk_s:7.2f} {ages.mean_bytes:8.0f}'
                f' {ages.most_bytes:8d} {ages.proof_s:8.2f}'
                f' {ages.calls:6d} {ages.unproven:9d} {took_s:7.1f}',
                flush=True,
            )


if __name__ == '__main__':
    main()
