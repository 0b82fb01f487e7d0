"""Decide what balancers and agents share: configuration and membership."""

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

#: Processes of each data centre that watch the configuration service.
READERS_PER_DATA_CENTRE = 2
#: Members told at once of a new revision; the rest hear it from them.
PUSH_FANOUT = 3
#: Seconds between two fetches from peers.
FETCH_INTERVAL_S = 0.2
#: Seconds between two clean-ups of members that no list names.
PRUNE_INTERVAL_S = 10.0
#: Seconds between two ticks while nothing but heartbeats is due; they keep
#: time to a quarter of a second.
IDLE_TICK_S = 0.25
_READER_KEY = b'teaseldock-read1'


class Node(abc.ABC):
    """Hold configuration, membership and the view made of both.

    Few processes read the configuration service. All others hear of a new
    revision in heartbeats, and fetch the documents from the peer that told
    them; so the service's reads grow with the data centres, not the fleet.
    """

    def __init__(
        self, *, own: messages.Member, randomness: random.Random, now: float
    ) -> None:
        """Start with nothing in force.

        :param own: this process as others shall know it.
        :param randomness: source of all chance in the decisions.
        :param now: seconds on a clock that never goes back.
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
        """Tell whether packets can be served by a view worth using.

        A process that has just started or was paused may hold rules that
        its peers have already replaced. It serves only when it has heard a
        peer and holds what that peer holds; without this a replacement that
        reads a stale service would bring a drained target back.
        """
        return self._config.ready and self._caught_up

    @property
    def is_reader(self) -> bool:
        """Tell whether this process should watch the configuration service.

        The readers of a data centre are the living members first in rank, so
        a dead reader is replaced as soon as its death is known. A process
        without any configuration whose peers have none either reads too:
        otherwise a fleet that starts cold would wait for itself.
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
        """Take over a changed view."""

    def heartbeat(self) -> membership.Heartbeat:
        """Return what this process adds to its heartbeats."""
        digest = self._config.digest
        return membership.Heartbeat(digest.generation, digest.checksum)

    def offer(
        self,
        documents: list[configuration.Document],
        now: float,
        *,
        wall_s: float,
    ) -> list[messages.Action]:
        """Take documents read from the service or fetched from a peer.

        :param wall_s: seconds since 1970, for the audit trail.
        """
        before = self._config.digest
        known = self._config.inventory.instances
        self._config.offer(documents, wall_s)
        if self._config.digest == before:
            return []
        self._seed_from_register(known, now)
        actions: list[messages.Action] = list(
            self._members.push(self.heartbeat(), fanout=PUSH_FANOUT)
        )
        return actions + self._refresh(now)

    def _seed_from_register(
        self, known: dict[str, inventory.Instance], now: float
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
                if known.get(name) is not instance
            ],
            now,
        )

    def live_list(
        self, listed: list[roster.ListedInstance], now: float
    ) -> list[messages.Action]:
        """Take the platform's list of live and leaving instances."""
        self._listed_names = {item.name for item in listed}
        self._members.roster.seed(listed, now)
        return self._refresh(now)

    def on_message(
        self, message: typing.NamedTuple, now: float
    ) -> list[messages.Action]:
        """Handle a message about membership; others are for subclasses."""
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
        """Do what is due; to be called several times a second."""
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
        """Greet processes of which only the address is known."""
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

        :param wall_s: seconds since 1970.
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
        """Tell the others that this process is about to stop."""
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
    """Return documents received from a peer as configuration documents."""
    return [configuration.Document(*item) for item in stored]


def explain(
    current: view.View, flow_key: bytes, *, hash_key: bytes
) -> dict[str, typing.Any]:
    """Tell which target a new flow would get first, and why.

    :returns: service, bucket, ranked instances with the reason for each one
        that is passed over, and the revision that the answer holds for.
    """
    service = current.table.service_at(flow.packed_service_endpoint(flow_key))
    if service is None:
        return {'revision': current.generation, 'service': None}
    bucket = flow.bucket_of(flow_key, key=hash_key)
    ranked = []
    for name in service.rank(bucket):
        reason = 'usable'
        if current.is_dead(name):
            reason = 'dead'
        elif name in current.inventory.leaving:
            reason = 'leaving by the rules'
        elif name in current.excluded:
            reason = 'leaving by its own word or the live list'
        ranked.append({'instance': name, 'state': reason})
    return {
        'revision': current.generation,
        'service': service.name,
        'bucket': bucket,
        'owner': current.owner(service, bucket),
        'ranked': ranked,
    }
