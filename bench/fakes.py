"""Simulate backend servers and callers in virtual time."""

from __future__ import annotations

import random
import typing

import msgspec

from bench import fake_codec

if typing.TYPE_CHECKING:
    from bench import world

#: Requests that a server queues before it sheds load.
SERVER_BACKLOG = 4
#: Seconds between two notifications of a feed.
FEED_S = 1.0
#: Seconds until a caller retransmits a message; doubles each time (RFC 7252).
CALLER_REPEAT_S = 2.0
CALLER_REPEATS = 4
#: Seconds without a notification after which a feed is broken.
FEED_GAP_S = 6.0


class RequestRun(typing.NamedTuple):
    """The start of a request at a server."""

    at: float
    instance: str
    service: str
    identity: str
    guarded: bool
    weight: float


class FakeServer:
    """Run requests in slots, shed load beyond a backlog, serve feeds.

    :ivar epoch: number of crashes so far.
    :ivar cold_until: time until which requests take twice as long.
    """

    def __init__(
        self,
        simulation: world.World,
        instance: str,
        service: str,
        *,
        slots: int,
        service_s: float,
        seed: int,
    ) -> None:
        """Start without requests and feeds."""
        self._world = simulation
        self._instance = instance
        self._service = service
        self._slots = slots
        self._service_s = service_s
        self._random = random.Random(seed)
        self._running = 0
        self._waiting: list[tuple[int, list]] = []
        self._feeds: dict[int, str] = {}
        self.epoch = 0
        self.cold_until = 0.0
        self.up = True
        simulation.schedule(self._random.random() * FEED_S, self._notify)

    def crash(self) -> None:
        """Stop; drop all running and queued requests and all feeds."""
        self.up = False
        self.epoch += 1
        self._running = 0
        self._waiting.clear()
        self._feeds.clear()

    def receive(self, call: int, body: bytes) -> None:
        """Handle a request from the agent."""
        if not self.up:
            self._world.server_refused(self._instance, self._service)
            return
        fields = msgspec.msgpack.decode(body)
        observe, identity = fields[6], fields[8]
        if observe == 1:
            self._feeds.pop(call, None)
            return
        if observe == 0:
            self._feeds[call] = identity
            self._reply(call, 0, False, identity)
            return
        if self._running < self._slots:
            self._run(call, fields)
        elif len(self._waiting) < SERVER_BACKLOG:
            self._waiting.append((call, fields))
        else:
            self._reply(call, None, True, identity)

    def _run(self, call: int, fields: list) -> None:
        self._running += 1
        method, segment, identity = fields[3], fields[4], fields[8]
        weight = self._world.weights.get((method, segment), 1.0)
        guarded = method == 'POST'
        ran = RequestRun(
            self._world.now,
            self._instance,
            self._service,
            identity,
            guarded,
            weight,
        )
        self._world.ran.append(ran)
        seconds = self._random.expovariate(1 / self._service_s)
        if self._world.now < self.cold_until:
            seconds *= 2
        self._world.schedule(seconds, self._done, call, identity, self.epoch)

    def _done(self, call: int, identity: str, epoch: int) -> None:
        if epoch != self.epoch:
            return
        self._running -= 1
        self._reply(call, None, False, identity)
        if self._waiting:
            self._run(*self._waiting.pop(0))

    def _reply(
        self, call: int, observe: int | None, shed: bool, identity: str
    ) -> None:
        payload = msgspec.msgpack.encode(
            [fake_codec.REPLY, call, observe, shed, identity]
        )
        self._world.from_server(self._instance, self._service, payload)

    def _notify(self) -> None:
        for call, identity in list(self._feeds.items()):
            self._reply(call, 1, False, identity)
        self._world.schedule(FEED_S, self._notify)


class RequestOutcome(typing.NamedTuple):
    """The final outcome of a request at its caller.

    :ivar at: time at which the caller sent the request.
    :ivar kind: path segment of the request.
    :ivar seconds: time until the outcome.
    """

    at: float
    identity: str
    kind: str
    outcome: str
    seconds: float


class FakeCaller:
    """A caller with one flow, which sends requests or observes a feed."""

    def __init__(
        self, simulation: world.World, number: int, service: str, flow: bytes
    ) -> None:
        """Create a caller that has sent nothing yet."""
        self._world = simulation
        self._service = service
        self.flow = flow
        self.number = number
        self._count = 0
        self._mid = 0
        self._pending: dict[bytes, dict[str, typing.Any]] = {}
        self.feed: dict[str, typing.Any] | None = None
        self.flow_broken = False

    @property
    def unfinished(self) -> int:
        """Return the number of requests without a final outcome."""
        return len(self._pending)

    def ask(
        self, method: str, segment: str, *, deadline_s: float | None = None
    ) -> str:
        """Send a request and return its identity.

        Its final outcome is appended to ``World.asked``.
        """
        self._count += 1
        identity = f'{self._service}-{self.number}-{self._count}'
        token = self._count.to_bytes(4, 'big')
        state = {
            'identity': identity,
            'token': token,
            'method': method,
            'segment': segment,
            'echo': b'',
            'deadline': deadline_s,
            'began': self._world.now,
        }
        self._pending[token] = state
        self._transmit_new(state, None)
        return identity

    def observe(self) -> None:
        """Register for a feed."""
        identity = f'{self._service}-{self.number}-feed'
        self.feed = {
            'identity': identity,
            'token': b'feed',
            'method': 'GET',
            'segment': 'feed',
            'echo': b'',
            'deadline': None,
            'began': self._world.now,
            'last': None,
            'sequence': -1,
            'gap': 0.0,
            'notes': 0,
        }
        self._pending[b'feed'] = self.feed
        self._transmit_new(self.feed, 0)

    def _transmit_new(
        self, state: dict[str, typing.Any], observe: int | None
    ) -> None:
        self._mid += 1
        state['mid'] = self._mid
        payload = msgspec.msgpack.encode(
            [
                fake_codec.REQUEST,
                self._mid,
                state['token'],
                state['method'],
                state['segment'],
                state['echo'],
                observe,
                state['deadline'],
                state['identity'],
            ]
        )
        self._transmit(state, payload, self._mid, 0)

    def _transmit(
        self,
        state: dict[str, typing.Any],
        payload: bytes,
        mid: int,
        repeats: int,
    ) -> None:
        if state['token'] not in self._pending or state['mid'] != mid:
            return
        if repeats > CALLER_REPEATS:
            self._finish(state, 'lost')
            return
        self._world.from_caller(self.flow, payload)
        self._world.schedule(
            CALLER_REPEAT_S * 2**repeats,
            self._transmit,
            state,
            payload,
            mid,
            repeats + 1,
        )

    def _finish(self, state: dict[str, typing.Any], outcome: str) -> None:
        del self._pending[state['token']]
        self._world.asked.append(
            RequestOutcome(
                state['began'],
                state['identity'],
                state['segment'],
                outcome,
                self._world.now - state['began'],
            )
        )

    def receive(self, payload: bytes) -> None:
        """Handle a datagram from the fabric."""
        answer = fake_codec.Answer(*msgspec.msgpack.decode(payload))
        if answer.kind == 'note':
            self._on_notification(answer)
            return
        state = self._pending.get(answer.token)
        if state is None or state['mid'] != answer.message_id:
            return
        if answer.kind == 'challenge':
            state['echo'] = answer.value
            self._transmit_new(state, 0 if state is self.feed else None)
            return
        outcome = answer.kind
        if outcome == 'answer' and answer.identity != state['identity']:
            outcome = 'crossed'
        if state is self.feed:
            self._on_notification(answer)
        self._finish(state, outcome)
        self._world.answered(self, outcome, answer.retry_after_s)

    def _on_notification(self, answer: fake_codec.Answer) -> None:
        feed = self.feed
        if feed is None or answer.sequence <= feed['sequence']:
            return
        if answer.identity != feed['identity']:
            feed['gap'] = float('inf')
            return
        feed['sequence'] = answer.sequence
        feed['notes'] += 1
        if feed['last'] is not None:
            feed['gap'] = max(feed['gap'], self._world.now - feed['last'])
        feed['last'] = self._world.now

    def feed_broken(self) -> bool:
        """Return whether the feed never started or had too long a gap."""
        feed = self.feed
        if feed is None:
            return False
        if feed['last'] is None:
            return True
        gap = max(feed['gap'], self._world.now - feed['last'])
        return gap > FEED_GAP_S
