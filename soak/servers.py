"""Backend servers of the soak: they take flows, run requests, and leave."""

from __future__ import annotations

import asyncio
import collections
import random
import time
import typing

from soak import network
from standin_platform import documents

if typing.TYPE_CHECKING:
    from standin_platform import store

#: First byte of a request that must run once at most.
GUARDED = b'G'
#: Bytes of a request's id, after the first byte.
ID_BYTES = 8
#: Seconds until a closed port can be had again.
_CLOSE_S = 0.05
#: Unix milliseconds; the runs of a server are born one after the other.
_FIRST_BORN = 1_700_000_000_000


class Opening(typing.NamedTuple):
    """A flow that a server took.

    :ivar leaving_since: when its leaving was accepted, if it was leaving.
    :ivar data_centre: where the server runs.
    """

    at: float
    host: str
    service: str
    port: int
    leaving_since: float | None
    data_centre: str


class Journal:
    """What the servers saw, for the checks at the end."""

    def __init__(self) -> None:
        """Start empty."""
        self.runs: collections.Counter[bytes] = collections.Counter()
        self.openings: list[Opening] = []


class Server:
    """One backend server beside an agent."""

    def __init__(
        self,
        number: int,
        service: str,
        *,
        journal: Journal,
        registry: store.Store,
        randomness: random.Random,
    ) -> None:
        """Prepare; nothing is opened before :meth:`start`."""
        self.number = number
        self.host = network.host(2, number)
        self.service = service
        self.flows: dict[network.Flow, int] = {}
        self.silent = False
        self.draining_since: float | None = None
        self.disturbed_at = 0.0
        self._run = 0
        self._name = 0
        self._starting = False
        self._journal = journal
        self._registry = registry
        self._random = randomness
        self._port: network.Port | None = None
        self._done: set[tuple[network.Flow, int]] = set()
        self._sent: collections.Counter[network.Flow] = collections.Counter()

    @property
    def key(self) -> str:
        """Return the key of its entry."""
        return documents.server_key(f'i-{self.number}-{self._name}')

    @property
    def data_centre(self) -> str:
        """Return where it runs."""
        return f'dc-{self.number % 2}'

    @property
    def up(self) -> bool:
        """Tell whether it runs."""
        return self._port is not None

    async def start(self, *, keeps_name: bool = False) -> None:
        """Begin a run; nothing happens while it is up.

        :param keeps_name: whether it starts again under the key that it had.
        """
        if self._starting or self.up:
            return
        self._starting = True
        await asyncio.sleep(_CLOSE_S)
        self._run += 1
        self._name += not keeps_name
        self.draining_since = None
        self._port = await network.open_port(
            (self.host, network.SERVER_PORT), self._take
        )
        self._starting = False
        self.register()

    def register(self) -> None:
        """Write the entry of a server that serves."""
        self._register(leaving=False)

    def register_again(self) -> None:
        """Write the entry as it was, for a store that lost it."""
        if self.up:
            self._register(leaving=self.draining_since is not None)

    def _register(self, *, leaving: bool) -> float:
        entry = documents.server_entry(
            service=self.service,
            address=f'{self.host}:{network.SERVER_PORT}',
            data_centre=self.data_centre,
            leaving=leaving,
            born_ms=_FIRST_BORN + self._run,
        )
        return self._registry.put(self.key, entry)

    def drain(self) -> None:
        """Announce that it leaves."""
        self.draining_since = self._register(leaving=True)

    def crash(self, *, forget: bool) -> None:
        """Lose everything.

        :param forget: whether its entry vanishes at once.
        """
        if self._port is not None:
            self._port.close()
        self._port = None
        self.flows.clear()
        self._done.clear()
        self.disturbed_at = time.monotonic()
        if forget:
            self._registry.remove(self.key)

    def _say(self, flow: network.Flow, flags: int, **fields) -> None:
        if self._port is not None:
            self._port.send(
                network.from_server(flow, flags, **fields),
                (self.host, network.FROM_SERVER_PORT),
            )

    def _take(self, raw: bytes) -> None:
        if self.silent:
            return
        seen = network.read(raw, at_server=True)
        if seen.flags & network.SYN:
            self._open(seen)
        elif seen.flow not in self.flows:
            self._return(raw)
        elif seen.flags & (network.RST | network.FIN):
            del self.flows[seen.flow]
        elif seen.body and seen.acknowledged != self.flows[seen.flow]:
            # The caller took another server's answer to its opening.
            del self.flows[seen.flow]
            self._return(raw)
        elif seen.body:
            self._request(seen)

    def _open(self, seen: network.Seen) -> None:
        self._journal.openings.append(
            Opening(
                time.monotonic(),
                self.host,
                self.service,
                seen.flow.port,
                self.draining_since,
                self.data_centre,
            )
        )
        number = self.flows.setdefault(
            seen.flow, self._random.randrange(1, 1 << 31)
        )
        self._say(seen.flow, network.SYN | network.ACK, sequence=number)

    def _return(self, raw: bytes) -> None:
        assert self._port is not None
        returned = bytes((raw[0] | network.BOUNCED,)) + bytes(3) + raw[4:]
        self._port.send(returned, (self.host, network.FROM_SERVER_PORT))

    def _request(self, seen: network.Seen) -> None:
        if (seen.flow, seen.sequence) in self._done:
            return
        self._done.add((seen.flow, seen.sequence))
        self._journal.runs[seen.body[: 1 + ID_BYTES]] += 1
        run = self._run
        asyncio.get_running_loop().call_later(
            self._random.uniform(0.01, 0.05),
            lambda: self._answer(seen, run),
        )

    def _answer(self, seen: network.Seen, run: int) -> None:
        if run == self._run and seen.flow in self.flows:
            self._sent[seen.flow] += 1 + ID_BYTES
            self._say(
                seen.flow,
                network.ACK,
                sequence=self.flows[seen.flow] + self._sent[seen.flow],
                acknowledged=seen.sequence,
                body=seen.body[: 1 + ID_BYTES],
            )
