"""Implement configuration and membership, which all processes share."""

from __future__ import annotations

import abc
import random
import typing

import siphash24

from teaseldock import audit
from teaseldock import configuration
from teaseldock import flow
from teaseldock import inventory
from teaseldock import membership
from teaseldock import messages
from teaseldock import roster
from teaseldock import view

#: Processes per data centre that watch the configuration service.
READERS_PER_DATA_CENTRE = 2
#: Members to which a new revision is pushed; heartbeats spread it further.
PUSH_FANOUT = 3
#: Minimum seconds between two fetches of documents from peers.
FETCH_INTERVAL_S = 0.2
#: Seconds between two removals of dead members that are in no list.
PRUNE_INTERVAL_S = 10.0
#: Seconds between two ticks while only heartbeats are due; their timing is
#: accurate to a quarter of a second.
IDLE_TICK_S = 0.25
_READER_KEY = b'teaseldock-read1'


class Node(abc.ABC):
    """Hold configuration, membership and the view that combines them.

    A few processes per data centre read the configuration service. All
    others receive the digest of a new revision in a heartbeat and fetch the
    documents from its sender. The number of reads therefore grows with the
    number of data centres, not with the number of processes.
    """

    def __init__(
        self, *, own: messages.Member, randomness: random.Random, now: float
    ) -> None:
        """Create a node without any documents.

        :param own: entry of this process, as sent to other members.
        :param randomness: source of all random choices.
        :param now: monotonic time in seconds.
        """
        self._trail = audit.AuditTrail()
        self._config = configuration.Configuration(trail=self._trail)
        self._members = membership.Membership(
            own=own, randomness=randomness, now=now
        )
        self._view = view.View(config=self._config, members=self._members)
        self._next_fetch_at = now
        self._next_prune_at = now
        self._listed_names: set[str] = set()
        self._highest_peer_generation = 0
        self._caught_up = False
        self._handled_pauses = 0

    @property
    def config(self) -> configuration.Configuration:
        """Return the configuration."""
        return self._config

    @property
    def members(self) -> membership.Membership:
        """Return the membership."""
        return self._members

    @property
    def view(self) -> view.View:
        """Return the view that routing reads."""
        return self._view

    @property
    def trail(self) -> audit.AuditTrail:
        """Return the audit trail."""
        return self._trail

    @property
    def ready(self) -> bool:
        """Return whether this process may serve packets.

        A process that has just started or was paused may hold rules that
        its peers have already replaced. It becomes ready once a peer has
        answered (or none has in time) and it holds the highest revision that
        peers have reported. Otherwise a replacement that reads a stale
        configuration service would send new flows to a drained target.
        """
        return self._config.ready and self._caught_up

    @property
    def is_reader(self) -> bool:
        """Return whether this process should watch the configuration service.

        The readers of a data centre are the first members in rank that are
        neither dead nor leaving, so that a dead reader is replaced as soon as
        its failure is detected. Members not heard from yet are not counted,
        so that every process reads after a cold start of the whole fleet.
        Otherwise all processes would wait for each other.
        """
        own = self._members.own
        names = [
            member.name
            for member in self._members.roster.members()
            if member.data_centre == own.data_centre
            and member.health != messages.Health.DEAD
            and member.incarnation
            and not member.leaving
        ]
        names.append(own.name)
        names.sort(key=_reader_rank)
        return own.name in names[:READERS_PER_DATA_CENTRE]

    def tick_interval(self, now: float) -> float:
        """Return the seconds after which :meth:`tick` is due again."""
        return IDLE_TICK_S

    @abc.abstractmethod
    def on_view_changed(self, now: float) -> list[messages.Action]:
        """Handle a change of the view."""

    def heartbeat(self) -> membership.Heartbeat:
        """Return the configuration digest for heartbeats."""
        digest = self._config.digest
        return membership.Heartbeat(digest.generation, digest.checksum)

    def offer(
        self,
        documents: list[configuration.Document],
        now: float,
        *,
        wall_s: float,
    ) -> list[messages.Action]:
        """Process documents read from the service or fetched from a peer.

        :param wall_s: wall-clock seconds since 1970, for the audit trail.
        """
        before = self._config.digest
        previous = self._config.inventory.instances
        self._config.offer(documents, wall_s)
        if self._config.digest == before:
            return []
        self._seed_from_register(previous, now)
        actions: list[messages.Action] = list(
            self._members.push(self.heartbeat(), fanout=PUSH_FANOUT)
        )
        return actions + self._refresh(now)

    def _seed_from_register(
        self, previous: dict[str, inventory.Instance], now: float
    ) -> None:
        instances = self._config.inventory.instances
        self._members.roster.seed(
            [
                roster.ListedInstance(
                    instance['name'],
                    roster.ROLE_AGENT,
                    instance['data_centre'],
                    instance['address'],
                    instance['peer_port'],
                    0,
                )
                for name, instance in instances.items()
                if previous.get(name) is not instance
            ],
            now,
        )

    def live_list(
        self, listed: list[roster.ListedInstance], now: float
    ) -> list[messages.Action]:
        """Process the platform's list of live and leaving instances."""
        self._listed_names = {item.name for item in listed}
        self._members.roster.seed(listed, now)
        return self._refresh(now)

    def on_message(
        self, message: typing.NamedTuple, now: float
    ) -> list[messages.Action]:
        """Handle a membership message.

        Other kinds are left to subclasses and give no action here.
        """
        if not isinstance(
            message,
            (
                messages.Ping,
                messages.Ack,
                messages.PingRequest,
                messages.Vouch,
            ),
        ):
            return []
        actions: list[messages.Action] = list(
            self._members.on_message(message, now, self.heartbeat())
        )
        if isinstance(message, (messages.Ping, messages.Ack)):
            actions += self._fetch_if_behind(message, now)
        return actions + self._refresh(now)

    def _fetch_if_behind(
        self, message: messages.Ping | messages.Ack, now: float
    ) -> list[messages.Action]:
        digest = self._config.digest
        if message.generation < digest.generation:
            return []
        self._highest_peer_generation = max(
            self._highest_peer_generation, message.generation
        )
        if message.checksum == digest.checksum or now < self._next_fetch_at:
            return []
        self._next_fetch_at = now + FETCH_INTERVAL_S
        return [
            messages.FetchDocuments(message.sender.host, message.sender.port)
        ]

    def tick(self, now: float) -> list[messages.Action]:
        """Run periodic work; must be called several times a second."""
        actions: list[messages.Action] = list(
            self._members.tick(now, self.heartbeat())
        )
        self._update_caught_up()
        if now >= self._next_prune_at:
            self._next_prune_at = now + PRUNE_INTERVAL_S
            names = (
                self._listed_names | self._config.inventory.instances.keys()
            )
            self._members.roster.prune_dead(names, now)
        return actions + self._refresh(now)

    def _update_caught_up(self) -> None:
        if self._members.pauses != self._handled_pauses:
            self._handled_pauses = self._members.pauses
            self._caught_up = False
        if not self._members.synchronised:
            return
        if self._config.digest.generation >= self._highest_peer_generation:
            self._caught_up = True

    def ping_addresses(
        self, addresses: typing.Iterable[flow.Endpoint], now: float
    ) -> list[messages.Action]:
        """Send heartbeats to processes of which only the address is known."""
        return [
            self._members.ping_address(address, self.heartbeat())
            for address in addresses
        ]

    def _refresh(self, now: float) -> list[messages.Action]:
        if not self._view.refresh():
            return []
        return self.on_view_changed(now)

    def audit_membership_changes(self, wall_s: float) -> None:
        """Write changes of membership to the audit trail.

        :param wall_s: wall-clock seconds since 1970.
        """
        for member in self._members.roster.drain_changes():
            outcome = messages.Health(member.health).name.lower()
            if member.leaving and member.health == messages.Health.ALIVE:
                outcome = 'leaving'
            self._trail.add(
                audit.AuditRecord(
                    wall_s,
                    f'membership/{member.name}',
                    member.incarnation,
                    '',
                    outcome,
                    f'{member.role} in {member.data_centre}',
                )
            )

    def leave(self, now: float) -> list[messages.Action]:
        """Announce to other members that this process is about to stop."""
        self._members.roster.leave()
        actions: list[messages.Action] = list(
            self._members.push(self.heartbeat(), fanout=2 * PUSH_FANOUT)
        )
        return actions + self._refresh(now)


def _reader_rank(name: str) -> bytes:
    return siphash24.siphash24(name.encode(), key=_READER_KEY).digest()


def documents_from_message(
    stored: typing.Iterable[messages.StoredDocument],
) -> list[configuration.Document]:
    """Convert documents received from a peer to configuration documents."""
    return [configuration.Document(*item) for item in stored]


def explain(
    current: view.View, flow_key: bytes, *, hash_key: bytes
) -> dict[str, typing.Any]:
    """Explain which target a new flow would get.

    :returns: revision in force, service, bucket, owner of the bucket, and
        the service's instances in rank order, each with its state.
    """
    service = current.table.service_at(flow.packed_service_endpoint(flow_key))
    if service is None:
        return {'revision': current.generation, 'service': None}
    bucket = flow.bucket_of(flow_key, key=hash_key)
    ranked = []
    for name in service.rank(bucket):
        state = 'usable'
        if current.is_dead(name):
            state = 'dead'
        elif name in current.inventory.leaving:
            state = 'leaving by the rules'
        elif name in current.excluded:
            state = 'leaving by its own word or the live list'
        ranked.append({'instance': name, 'state': state})
    return {
        'revision': current.generation,
        'service': service.name,
        'bucket': bucket,
        'owner': current.owner(service, bucket),
        'ranked': ranked,
    }
