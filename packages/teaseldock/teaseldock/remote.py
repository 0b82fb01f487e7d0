"""Track requests that other agents forward; each runs once."""

from __future__ import annotations

import typing

from teaseldock import exchanges
from teaseldock import executor
from teaseldock import messages

if typing.TYPE_CHECKING:
    from teaseldock import context

#: Seconds for which the answer to a forwarded request is kept for repeats.
ANSWER_LIFETIME_S = exchanges.EXCHANGE_LIFETIME_S
#: Limit of answers kept; senders repeat a request within one or two seconds.
MAX_ANSWERS = 4096


class RemoteCall(typing.NamedTuple):
    """Identity of a request that another agent forwarded."""

    sender: str
    incarnation: int
    call: int


class RemoteCalls:
    """Requests forwarded to this agent, and their answers."""

    def __init__(self, shared: context.Context, number: int) -> None:
        """Create an empty collection.

        :param number: number of the service.
        """
        self._shared = shared
        self._number = number
        self._answers: dict[RemoteCall, messages.Executed | None] = {}
        self._admitted_at: dict[RemoteCall, float] = {}
        self._open = 0
        self._guarded: set[RemoteCall] = set()

    @property
    def open(self) -> int:
        """Return the number of requests without an answer."""
        return self._open

    def admit(
        self, message: messages.Execute, reports: bytes, now: float
    ) -> tuple[executor.Job | None, messages.Executed | None]:
        """Check a forwarded request before it is submitted.

        A repeat is not submitted again. A request for an earlier incarnation
        is answered "unknown", not "not run": that incarnation may have run it.

        :returns: the job to submit, or the answer to send, or neither if the
            request is a repeat of one without an answer.
        """
        call = RemoteCall(
            message.sender, message.sender_incarnation, message.call
        )
        if call in self._answers:
            return None, self._answers[call]
        incarnations = self._shared.view.own_incarnations()
        if message.receiver_incarnation not in incarnations:
            outcome = messages.Outcome.UNKNOWN
            return None, self._executed(call, outcome, b'', reports)
        deadline = float('inf')
        if message.deadline_ms:
            deadline = now + message.deadline_ms / 1000
        self._answers[call] = None
        self._admitted_at[call] = now
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
        """Return whether a request needs its sender's consent to run."""
        return call in self._guarded

    def finish(
        self,
        call: RemoteCall,
        outcome: messages.Outcome,
        body: bytes,
        reports: bytes,
    ) -> messages.Executed:
        """Store the outcome of a request and return the answer to send."""
        answer = self._executed(call, outcome, body, reports)
        if self._answers.get(call, answer) is None:
            self._open -= 1
        self._guarded.discard(call)
        self._answers[call] = answer
        return answer

    def expire(self, now: float) -> None:
        """Remove expired answers, and shrink the oldest beyond the limit.

        A shrunk answer loses its body and becomes "unknown", but still records
        that the request may have run.
        """
        for call in list(self._admitted_at):
            if now - self._admitted_at[call] < ANSWER_LIFETIME_S:
                break
            del self._admitted_at[call]
            if self._answers.pop(call) is None:
                self._open -= 1
            self._guarded.discard(call)
        for call in list(self._answers)[
            : max(0, len(self._answers) - MAX_ANSWERS)
        ]:
            answer = self._answers[call]
            if answer is not None and answer.body:
                self._answers[call] = answer._replace(
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
