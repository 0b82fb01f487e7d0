"""Let a request that is not idempotent run at most once.

Three rules ensure this. A process accepts a request only with a challenge that
its current incarnation issued. A challenge admits one message. A process that
can't determine whether a request ran answers "outcome unknown": it neither
runs the request nor answers "not run".
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

#: Number of dead agents from which on a network partition is assumed: a single
#: one has usually crashed.
PARTITION_DEAD_AGENTS = 2
#: Seconds for which a partition is assumed after its last sign: its members
#: rejoin one by one.
PARTITION_HOLD_S = 10.0


class Verdict(enum.Enum):
    """Verdict on a guarded request."""

    #: It may run now.
    RUN = 'run'
    #: Carry out the decision's actions: the request is challenged, or handed
    #: over to the only process that may run it.
    ACT = 'act'
    #: It may have run, which can't be determined here.
    UNKNOWN = 'unknown'


class Decision(typing.NamedTuple):
    """A verdict and, for ``ACT``, its actions."""

    verdict: Verdict
    actions: list[messages.Action]


_RUN = Decision(Verdict.RUN, [])
_UNKNOWN = Decision(Verdict.UNKNOWN, [])


class Guard:
    """Issue challenges and check the requests that answer them."""

    def __init__(
        self,
        shared: context.Context,
        service: table.ServiceTable,
        known: exchanges.ExchangeTable,
    ) -> None:
        """Create a guard.

        :param known: table that records the use of challenges.
        """
        self._shared = shared
        self._service = service
        self._exchanges = known
        self._handovers = handovers.Handovers()
        self._resends = resends.ResendLimit()
        self._partition_seen_at = -math.inf
        self._number = load.instance_number(shared.name)

    def set_service(self, service: table.ServiceTable) -> None:
        """Apply the changed table of the service."""
        self._service = service

    def evaluate(
        self, flow: bytes, key: bytes, request: base.Request, now: float
    ) -> Decision:
        """Decide on a guarded request whose exchange is new.

        :param key: key of the exchange.
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
            # Another message used this challenge and may have run: neither
            # "not run" nor a second run would be correct.
            return _UNKNOWN
        return _RUN

    def has_valid_echo(self, flow: bytes, request: base.Request) -> bool:
        """Return whether a request carries a valid challenge of its flow.

        Any process of the fleet may have issued it: the value proves that the
        caller receives packets at its address.
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
        """Ask a caller to send its request again with a new challenge."""
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
        """Hand a request over to its challenger, which alone may run it.

        The challenger gets it even if it is considered dead. An immediate
        answer would be "outcome unknown" for each request whose caller
        reaches both sides of a partition, and for more requests in the second
        after the partition ends.
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
        """Return the challenger's endpoint, None if it left or restarted."""
        name = self._instance_by_number(holder)
        if name is None:
            return None
        current = self._shared.view.incarnation(name)
        if current not in (0, incarnation):
            return None
        return self._shared.view.endpoint(name)

    def evaluate_overdue(
        self, now: float
    ) -> list[tuple[handovers.Handover, Decision]]:
        """Decide on handovers whose challenger is dead or gone."""
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
        """Return whether the caller should resend a request, and count that.

        The caller may reach a challenger that this process considers dead. The
        request is then not handed over as well: it could run from the handover
        while its caller waits for the answer to the resent message.
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

        Only the first message that reaches the challenger may run there.
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
        """Return the name of the peer with an instance number, or None."""
        for name in self._service.weights:
            if name == self._shared.name:
                continue
            if load.instance_number(name) == number:
                return name
        return None
