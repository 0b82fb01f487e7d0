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
PARTITION_DEAD_AGENTS = 2
#: Seconds for which that is remembered: those behind a cut are taken back one
#: by one.
PARTITION_HOLD_S = 10.0


class Verdict(enum.Enum):
    """What to do with a guarded request."""

    #: It may run now, this once.
    RUN = 'run'
    #: Carry out the ruling's actions: it is challenged, or handed to the one
    #: process that may run it.
    ACT = 'act'
    #: It may have run; nobody here can tell.
    UNKNOWN = 'unknown'


class Decision(typing.NamedTuple):
    """A verdict, and the actions that go with ``ACT``."""

    verdict: Verdict
    actions: list[messages.Action]


_RUN = Decision(Verdict.RUN, [])
_UNKNOWN = Decision(Verdict.UNKNOWN, [])


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
        self._resends = resends.ResendLimit()
        self._partition_seen_at = -math.inf
        self._number = load.instance_number(shared.name)

    def set_service(self, service: table.ServiceTable) -> None:
        """Take over changed rules."""
        self._service = service

    def evaluate(
        self, flow: bytes, key: bytes, request: base.Request, now: float
    ) -> Decision:
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
            return self._hand_over(flow, key, request, given, now)
        if now - given.issued_s > challenge.CHALLENGE_LIFETIME_S:
            return _UNKNOWN
        if self._exchanges.use_nonce(given.nonce, key, now) is not None:
            # The same challenge under another message: the first may have
            # run, so neither "not run" nor a second run would be right.
            return _UNKNOWN
        return _RUN

    def has_valid_echo(self, flow: bytes, request: base.Request) -> bool:
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
    ) -> Decision:
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
        return Decision(Verdict.ACT, [messages.ToCaller(flow, answer)])

    def _hand_over(
        self,
        flow: bytes,
        key: bytes,
        request: base.Request,
        given: challenge.Challenge,
        now: float,
    ) -> Decision:
        """Hand a request to the one process that may run it.

        It goes there also if that one is believed dead: answered at once,
        every order ended as "outcome unknown" whose caller's packets reach
        both sides of a cut, and more of them in the second after its end.
        """
        endpoint = self._challenger_endpoint(given.holder, given.incarnation)
        if endpoint is None:
            return _UNKNOWN
        if self._may_ask_resend(request, given.holder, now):
            return self._ask_resend(flow, request)
        handover = handovers.Handover(
            flow, request, given.holder, given.incarnation, now
        )
        self._handovers.add(key, handover)
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
        return Decision(Verdict.ACT, [action])

    def _challenger_endpoint(
        self, holder: int, incarnation: int
    ) -> flows.Endpoint | None:
        """Return where the challenger is, None if its run has ended."""
        name = self._instance_by_number(holder)
        if name is None:
            return None
        heard = self._shared.view.incarnation(name)
        if heard not in (0, incarnation):
            return None
        return self._shared.view.endpoint(name)

    def evaluate_overdue(
        self, now: float
    ) -> list[tuple[handovers.Handover, Decision]]:
        """Judge handed over requests whose challenger has not answered."""
        if self._shared.view.dead_count >= PARTITION_DEAD_AGENTS:
            self._partition_seen_at = now
        return [
            (handover, self._evaluate_unanswered(handover, now))
            for handover in self._handovers.pop_due(now)
            if self._is_challenger_lost(handover)
        ]

    def _evaluate_unanswered(
        self, handover: handovers.Handover, now: float
    ) -> Decision:
        if (
            self._challenger_endpoint(handover.holder, handover.incarnation)
            is None
        ):
            return _UNKNOWN
        if self._may_ask_resend(handover.request, handover.holder, now):
            return self._ask_resend(handover.flow, handover.request)
        return _UNKNOWN

    def _may_ask_resend(
        self, request: base.Request, holder: int, now: float
    ) -> bool:
        """Tell whether the caller may reach a challenger that we can't.

        Handed to it as well, the order could run there while its caller
        waits for the answer to the message that it sends next.
        """
        name = self._instance_by_number(holder)
        return (
            name is not None
            and self._shared.view.is_dead(name)
            and now - self._partition_seen_at < PARTITION_HOLD_S
            and self._resends.try_acquire(request.echo)
        )

    def _ask_resend(self, flow: bytes, request: base.Request) -> Decision:
        """Ask a caller to send its request again with the same challenge.

        Whichever message reaches the challenger first may run there, and no
        other.
        """
        self._shared.counters['challenges_again'] += 1
        answer = self._shared.codec.challenge(request, request.echo)
        return Decision(Verdict.ACT, [messages.ToCaller(flow, answer)])

    def _is_challenger_lost(self, handover: handovers.Handover) -> bool:
        if (
            self._challenger_endpoint(handover.holder, handover.incarnation)
            is None
        ):
            return True
        name = self._instance_by_number(handover.holder)
        return name is not None and self._shared.view.is_dead(name)

    def _instance_by_number(self, number: int) -> str | None:
        """Return the other instance of the service that has a number."""
        for name in self._service.weights:
            if name == self._shared.name:
                continue
            if load.instance_number(name) == number:
                return name
        return None
