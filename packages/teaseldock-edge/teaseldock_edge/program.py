"""Run one process: the part that balancer and agent share."""

from __future__ import annotations

import abc
import asyncio
import signal
import time
import typing

import logbook

from teaseldock import configuration
from teaseldock import exceptions
from teaseldock import flow
from teaseldock import messages
from teaseldock import node
from teaseldock import proxy_header
from teaseldock import roster
from teaseldock import wire
from teaseldock_edge import admin
from teaseldock_edge import documents_exchange
from teaseldock_edge import platform_client
from teaseldock_edge import sockets
from teaseldock_edge import traffic

LOG = logbook.Logger('program')

#: Seconds between two checks whether a graceful stop is complete.
STOP_CHECK_S = 0.1
#: Seconds between two pings to the initial peers until a peer has answered.
GREET_S = 1.0


class Program(abc.ABC):
    """Connect a node to sockets and timers, and carry out its actions."""

    kind = ''

    def __init__(
        self, values: dict[str, typing.Any], local_node: node.Node
    ) -> None:
        """Create all components; :meth:`start` opens the addresses.

        :param values: validated settings, by name.
        :param local_node: node that makes the decisions of this process.
        """
        self._values = values
        self._node = local_node
        self._keys: tuple[bytes, ...] = values['seal-keys']
        self._traffic = traffic.Traffic(time.monotonic())
        self._stopping = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._leaving = False
        self._peers_pinged_at = 0.0
        self._faults = 0
        self._dropped: dict[str, int] = {}
        self._peer = sockets.DatagramSocket(self._on_peer, place='--peer')
        self._admin = admin.AdminServer(
            program=self.kind,
            status=self.status,
            audit=self._audit,
            explain=self._explain,
            ready=lambda: self._node.ready and not self._leaving,
        )
        self._documents = documents_exchange.DocumentsExchange(
            local_node,
            keys=self._keys,
            offer=self._offer,
            count=self._count,
        )
        self._platform = platform_client.PlatformClient(
            values['platform'],
            local_node,
            offer=self._offer,
            on_live_list=self._on_live_list,
            list_interval_s=values['list-interval'],
            start_spread_s=values['start-spread'],
        )

    @abc.abstractmethod
    def on_packet(self, packet: proxy_header.Packet, now: float) -> None:
        """Handle a packet from another process."""

    @abc.abstractmethod
    def may_stop(self, left_at: float, now: float) -> bool:
        """Return whether a leaving process may stop now.

        :param left_at: monotonic time at which the process began to leave.
        """

    def perform_specific(self, action: messages.Action, now: float) -> None:
        """Carry out an action that only one program has.

        :raises TypeError: if this program does not support the action.
        """
        raise TypeError(f'unsupported action {type(action).__name__}')

    def on_tick(self, now: float) -> None:
        """Run the tasks of this program at each tick; none by default."""

    async def start(self) -> None:
        """Open the addresses and start all tasks."""
        self._peer.start(bind=self._values['peer'])
        self._documents.start(self._values['peer'])
        self._admin.start(self._values['admin'])
        self._platform.start()
        self._spawn(self._tick_forever())
        LOG.info('started', program=self.kind, name=self._values['name'])

    async def close(self) -> None:
        """Cancel all tasks and close the addresses."""
        for task in list(self._tasks):
            task.cancel()
        self._platform.close()
        self._documents.close()
        self._admin.close()
        self._peer.close()
        LOG.info('stopped', program=self.kind, name=self._values['name'])

    async def run(self) -> None:
        """Start, serve until a graceful stop after a signal, and close."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.leave)
        await self.start()
        await self._stopping.wait()
        await self.close()

    def leave(self) -> None:
        """Begin a graceful stop; further calls have no effect."""
        if self._leaving:
            return
        self._leaving = True
        LOG.info('leaving', name=self._values['name'])
        self._spawn(self._leave())

    async def _leave(self) -> None:
        left_at = time.monotonic()
        self.perform(self._node.leave(left_at))
        limit = left_at + self._values['stop-limit']
        while time.monotonic() < limit:
            if self.may_stop(left_at, time.monotonic()):
                break
            await asyncio.sleep(STOP_CHECK_S)
        else:
            LOG.warning('stop limit reached', seconds=limit - left_at)
        self._stopping.set()

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick_forever(self) -> None:
        while True:
            now = time.monotonic()
            try:
                self._tick(now)
            except Exception as error:
                # An exception in one tick must not end the loop: heartbeats
                # would stop, and peers would declare the process dead while it
                # still answers callers.
                self._record_fault(error)
            await asyncio.sleep(self._node.tick_interval(now))

    def _tick(self, now: float) -> None:
        self.perform(self._node.tick(now))
        self.on_tick(now)
        self._ping_initial_peers(now)
        self._log_changes()

    def _record_fault(self, error: Exception) -> None:
        self._faults += 1
        if self._faults == 1:
            LOG.exception('a tick failed; counted from now on', error=error)

    def _ping_initial_peers(self, now: float) -> None:
        if (
            self._node.members.synchronised
            or now - self._peers_pinged_at < GREET_S
        ):
            return
        self._peers_pinged_at = now
        self.perform(self._node.ping_addresses(self._values['peers'], now))

    def _log_changes(self) -> None:
        self._node.audit_membership_changes(time.time())
        for record in self._node.trail.drain():
            LOG.info('change', **record._asdict())

    def _count(self, direction: str, message: object, size: int) -> None:
        self._traffic.count(direction, message, size, time.monotonic())

    def count_drop(self, reason: str) -> None:
        """Count a dropped datagram by reason."""
        self._dropped[reason] = self._dropped.get(reason, 0) + 1

    def _on_peer(self, datagram: bytes, address: tuple[str, int]) -> None:
        now = time.monotonic()
        try:
            if proxy_header.is_header(datagram):
                packet = proxy_header.read_internal(datagram, keys=self._keys)
                self.on_packet(packet, now)
                return
            message = wire.unpack(datagram, keys=self._keys)
        except exceptions.TeaseldockError as error:
            self.count_drop(f'{error.code.lower()}_{error.place}')
            return
        self._traffic.count('received', message, len(datagram), now)
        self.perform(self._node.on_message(message, now))

    def _offer(self, documents: list[configuration.Document]) -> None:
        now = time.monotonic()
        self.perform(self._node.offer(documents, now, wall_s=time.time()))
        self._log_changes()

    def _on_live_list(self, listed: list[roster.ListedInstance]) -> None:
        self.perform(self._node.live_list(listed, time.monotonic()))

    def perform(self, actions: typing.Iterable[messages.Action]) -> None:
        """Carry out actions of the node."""
        now = time.monotonic()
        for action in actions:
            match action:
                case messages.ToPeer():
                    packed = wire.pack(action.message, key=self._keys[0])
                    self._traffic.count(
                        'sent', action.message, len(packed), now
                    )
                    self._peer.send(packed, (action.host, action.port))
                case messages.ToAgent():
                    packed = proxy_header.pack_internal(
                        action.packet, key=self._keys[0]
                    )
                    self._peer.send(packed, (action.host, action.port))
                case messages.FetchDocuments():
                    self._spawn(
                        self._documents.fetch(action.host, action.port)
                    )
                case _:
                    self.perform_specific(action, now)

    def status(self) -> dict[str, typing.Any]:
        """Return the contents of the status page and the metrics."""
        digest = self._node.config.digest
        return {
            'name': self._values['name'],
            'data_centre': self._values['data-centre'],
            'ready': self._node.ready,
            'leaving': self._leaving,
            'reader': self._node.is_reader,
            'revision_in_force': self._node.config.generation,
            'revision_seen': digest.generation,
            'documents_refused': self._node.config.refused,
            'revision_alarms': self._node.config.alarms,
            'tick_faults': self._faults,
            'pauses': self._node.members.pauses,
            'platform_reads': self._platform.reads,
            'platform_failures': self._platform.failures,
            'control_bytes_per_s': round(self._traffic.rate),
            'control_bytes_per_s_max': round(self._traffic.highest_rate),
            'traffic': dict(sorted(self._traffic.totals.items())),
            'dropped_datagrams': dict(sorted(self._dropped.items())),
            'peer_socket': dict(sorted(self._peer.counters.items())),
            'members': {
                member.name: messages.Health(member.health).name.lower()
                + (' leaving' if member.leaving else '')
                for member in self._node.members.roster.members()
            },
        }

    def _audit(self) -> list[dict[str, typing.Any]]:
        return [record._asdict() for record in self._node.trail.records]

    def _explain(self, caller: str, service: str) -> dict[str, typing.Any]:
        key = flow.flow_key(
            flow.parse_endpoint(caller), flow.parse_endpoint(service)
        )
        return node.explain(
            self._node.view, key, hash_key=self._values['hash-key'][0]
        )


def own_member(values: dict[str, typing.Any], role: str) -> messages.Member:
    """Return the membership record of this process.

    The incarnation is the wall-clock time in milliseconds.

    :param values: validated settings, by name.
    :param role: role of the process, from :mod:`teaseldock.roster`.
    """
    peer = values['peer']
    return roster.new_member(
        values['name'],
        role=role,
        data_centre=values['data-centre'],
        host=peer.host,
        port=peer.port,
        incarnation=int(time.time() * 1000),
    )
