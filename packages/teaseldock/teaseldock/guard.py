"""Let a request that is not idempotent run at most once.

Three rules together: it runs only with a challenge that this incarnation
issued; a challenge lets one message run; and whoever can't tell says "outcome
unknown", neither running the request nor calling it not run.
"""

from __future__ import annotations

import enum
import math
import typing

from teaseldock import challenge
from teaseldock import exceptions
from teaseldock import handovers
from teaseldock import load
from teaseldock import messages
from teaseldock import proxy_header
from teaseldock import resends

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base
    from teaseldock import context
    from teaseldock import exchanges
    from teaseldock import flow as flows
    from teaseldock import table

#: Agents believed dead from which on the cause may be a cut: one alone has
#: mostly died.
CUT_AGENTS = 2
#: Seconds for which that is remembered: those behind a cut are taken back one
#: by one.
CUT_MEMORY_S = 10.0


class Verdict(enum.Enum):
    """What to do with a guarded request."""

    #: It may run now, this once.
    RUN = 'run'
    #: Carry out the ruling's actions: it is challenged, or handed to the one
    #: process that may run it.
    ACT = 'act'
    #: It may have run; nobody here can tell.
    UNKNOWN = 'unknown'


class Ruling(typing.NamedTuple):
    """A verdict, and the actions that go with ``ACT``."""

    verdict: Verdict
    actions: list[messages.Action]


_RUN = Ruling(Verdict.RUN, [])
_UNKNOWN = Ruling(Verdict.UNKNOWN, [])


class Guard:
    """Issue challenges, and judge the requests that answer them."""

    def __init__(
        self,
        shared: context.Context,
        service: table.ServiceTable,
        known: exchanges.ExchangeTable,
    ) -> None:
        """Start with no challenge issued.

        :param known: remembers which challenges were used.
        """
        self._shared = shared
        self._service = service
        self._exchanges = known
        self._handovers = handovers.Handovers()
        self._resends = resends.Resends()
        self._cut_seen_at = -math.inf
        self._number = load.instance_number(shared.name)

    def set_service(self, service: table.ServiceTable) -> None:
        """Take over changed rules."""
        self._service = service

    def rule(
        self, flow: bytes, key: bytes, request: base.Request, now: float
    ) -> Ruling:
        """Judge a guarded request whose message was not seen before.

        :param key: of its exchange.
        """
        if not request.echo:
            return self.challenge(flow, request, now)
        try:
            given = challenge.read(
                request.echo, flow, keys=self._shared.keys.seal
            )
        except exceptions.ChallengeError:
            self._shared.counters['challenges_unreadable'] += 1
            return self.challenge(flow, request, now)
        own = self._shared.view.own_incarnations()
        if given.holder != self._number or given.incarnation not in own:
            return self._to_challenger(flow, key, request, given, now)
        if now - given.issued_s > challenge.CHALLENGE_LIFETIME_S:
            return _UNKNOWN
        if self._exchanges.use(given.nonce, key, now) is not None:
            # The same challenge under another message: the first may have
            # run, so neither "not run" nor a second run would be right.
            return _UNKNOWN
        return _RUN

    def is_answered(self, flow: bytes, request: base.Request) -> bool:
        """Tell whether a request answers a challenge sent to its flow.

        Any process of the fleet may have issued it: only who receives the
        flow's packets can know the value.
        """
        if not request.echo:
            return False
        try:
            challenge.read(request.echo, flow, keys=self._shared.keys.seal)
        except exceptions.ChallengeError:
            return False
        return True

    def challenge(
        self, flow: bytes, request: base.Request, now: float
    ) -> Ruling:
        """Ask a caller to send its request again with a challenge."""
        self._shared.counters['challenges'] += 1
        issued = challenge.Challenge(
            self._number,
            self._shared.view.own_incarnation(),
            int(now),
            next(self._shared.calls),
        )
        value = challenge.issue(issued, flow, key=self._shared.keys.seal[0])
        answer = self._shared.codec.challenge(request, value)
        return Ruling(Verdict.ACT, [messages.ToCaller(flow, answer)])

    def _to_challenger(
        self,
        flow: bytes,
        key: bytes,
        request: base.Request,
        given: challenge.Challenge,
        now: float,
    ) -> Ruling:
        """Hand a request to the one process that may run it.

        It goes there also if that one is believed dead: answered at once,
        every order ended as "outcome unknown" whose caller's packets reach
        both sides of a cut, and more of them in the second after its end.
        """
        endpoint = self._endpoint(given.holder, given.incarnation)
        if endpoint is None:
            return _UNKNOWN
        if self._asks_again(request, given.holder, now):
            return self._challenge_again(flow, request)
        order = handovers.HandedOver(
            flow, request, given.holder, given.incarnation, now
        )
        self._handovers.add(key, order)
        self._shared.counters['to_challenger'] += 1
        packet = proxy_header.Packet(
            flow,
            self._service.number,
            self._shared.view.generation,
            proxy_header.Role.CHALLENGER,
            0,
            request.body,
        )
        action = messages.ToAgent(endpoint.host, endpoint.port, packet)
        return Ruling(Verdict.ACT, [action])

    def _endpoint(
        self, holder: int, incarnation: int
    ) -> flows.Endpoint | None:
        """Return where the challenger is, None if its run has ended."""
        name = self._find(holder)
        if name is None:
            return None
        heard = self._shared.view.incarnation(name)
        if heard not in (0, incarnation):
            return None
        return self._shared.view.endpoint(name)

    def overdue(self, now: float) -> list[tuple[handovers.HandedOver, Ruling]]:
        """Judge handed over requests whose challenger has not answered."""
        if self._shared.view.dead_count >= CUT_AGENTS:
            self._cut_seen_at = now
        return [
            (order, self._rule_lost(order, now))
            for order in self._handovers.take_due(now)
            if self._is_lost(order)
        ]

    def _rule_lost(self, order: handovers.HandedOver, now: float) -> Ruling:
        if self._endpoint(order.holder, order.incarnation) is None:
            return _UNKNOWN
        if self._asks_again(order.request, order.holder, now):
            return self._challenge_again(order.flow, order.request)
        return _UNKNOWN

    def _asks_again(
        self, request: base.Request, holder: int, now: float
    ) -> bool:
        """Tell whether the caller may reach a challenger that we can't.

        Handed to it as well, the order could run there while its caller
        waits for the answer to the message that it sends next.
        """
        name = self._find(holder)
        return (
            name is not None
            and self._shared.view.is_dead(name)
            and now - self._cut_seen_at < CUT_MEMORY_S
            and self._resends.take(request.echo)
        )

    def _challenge_again(self, flow: bytes, request: base.Request) -> Ruling:
        """Ask a caller to send its request again with the same challenge.

        Whichever message reaches the challenger first may run there, and no
        other.
        """
        self._shared.counters['challenges_again'] += 1
        answer = self._shared.codec.challenge(request, request.echo)
        return Ruling(Verdict.ACT, [messages.ToCaller(flow, answer)])

    def _is_lost(self, order: handovers.HandedOver) -> bool:
        if self._endpoint(order.holder, order.incarnation) is None:
            return True
        name = self._find(order.holder)
        return name is not None and self._shared.view.is_dead(name)

    def _find(self, number: int) -> str | None:
        """Return the other instance of the service that has a number."""
        for name in self._service.weights:
            if name == self._shared.name:
                continue
            if load.instance_number(name) == number:
                return name
        return None
