"""Run requests that other agents hand on, each of them once."""

from __future__ import annotations

import typing

from teaseldock import exchanges
from teaseldock import executor
from teaseldock import messages

if typing.TYPE_CHECKING:
    from teaseldock import context

#: Seconds for which the answer to a hand-on is kept for repeats.
ANSWER_LIFETIME_S = exchanges.EXCHANGE_LIFETIME_S
#: Answers kept at the most; the asker repeats within a second or two.
MAX_ANSWERS = 4096


class RemoteCall(typing.NamedTuple):
    """Identity of a request that another agent handed on."""

    sender: str
    incarnation: int
    call: int


class RemoteCalls:
    """Remember what was handed on here, and what became of it."""

    def __init__(self, shared: context.Context, number: int) -> None:
        """Start with no call.

        :param number: of the service.
        """
        self._shared = shared
        self._number = number
        self._known: dict[RemoteCall, messages.Executed | None] = {}
        self._times: dict[RemoteCall, float] = {}
        self._open = 0
        self._guarded: set[RemoteCall] = set()

    @property
    def open(self) -> int:
        """Return how many requests await their answer."""
        return self._open

    def admit(
        self, message: messages.Execute, reports: bytes, now: float
    ) -> tuple[executor.Job | None, messages.Executed | None]:
        """Look at a request before it is submitted.

        A repeat never becomes a second job. A request meant for an earlier
        incarnation is refused as unknown, never as not run: that incarnation
        may have run it.

        :returns: the job to submit, or the answer to send, or neither while
            the first of the repeats is still running.
        """
        call = RemoteCall(
            message.sender, message.sender_incarnation, message.call
        )
        if call in self._known:
            return None, self._known[call]
        members = self._shared.view.own_incarnations()
        if message.receiver_incarnation not in members:
            outcome = messages.Outcome.UNKNOWN
            return None, self._executed(call, outcome, b'', reports)
        deadline = float('inf')
        if message.deadline_ms:
            deadline = now + message.deadline_ms / 1000
        self._known[call] = None
        self._times[call] = now
        self._open += 1
        if not message.idempotent:
            self._guarded.add(call)
        job = executor.Job(
            next(self._shared.calls),
            message.weight,
            deadline,
            b'',
            message.body,
            call,
        )
        return job, None

    def needs_consent(self, call: RemoteCall) -> bool:
        """Tell whether a request may run only if its sender agrees."""
        return call in self._guarded

    def finish(
        self,
        call: RemoteCall,
        outcome: messages.Outcome,
        body: bytes,
        reports: bytes,
    ) -> messages.Executed:
        """Note what became of a request and return the answer to send."""
        answer = self._executed(call, outcome, body, reports)
        if self._known.get(call, answer) is None:
            self._open -= 1
        self._guarded.discard(call)
        self._known[call] = answer
        return answer

    def expire(self, now: float) -> None:
        """Forget answers that nobody can ask for any more.

        While memory is short an answer's text goes before the fact that the
        request ran.
        """
        for call in list(self._times):
            if now - self._times[call] < ANSWER_LIFETIME_S:
                break
            del self._times[call]
            if self._known.pop(call) is None:
                self._open -= 1
            self._guarded.discard(call)
        for call in list(self._known)[
            : max(0, len(self._known) - MAX_ANSWERS)
        ]:
            answer = self._known[call]
            if answer is not None and answer.body:
                self._known[call] = answer._replace(
                    outcome=messages.Outcome.UNKNOWN, body=b''
                )

    def _executed(
        self,
        call: RemoteCall,
        outcome: messages.Outcome,
        body: bytes,
        reports: bytes,
    ) -> messages.Executed:
        return messages.Executed(
            self._shared.name, self._number, call.call, outcome, body, reports
        )
