"""Find requests whose consent was in flight when the runner died.

A request that was handed on starts only with its sender's consent. A consent
that is in flight when the runner dies can't be revoked, and no process can
report whether it arrived: "outcome unknown" is then the correct answer. If it
had arrived, the server has logged the start of the request.
"""

from __future__ import annotations

import typing

import msgspec

from teaseldock import messages

#: Index of the identity in the body of a request (:mod:`bench.fake_codec`).
_IDENTITY = 8


class SentConsent(typing.NamedTuple):
    """A consent, with the time at which it was sent."""

    at: float
    runner: str
    identity: str


class ConsentLog:
    """Log of the consents to requests that were handed on."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._handed_on: dict[tuple[str, int, int, int], str] = {}
        self._sent_consents: list[SentConsent] = []

    def record_message(
        self, sender: str, receiver: str, message: typing.Any, now: float
    ) -> None:
        """Record a message between two processes when it is sent.

        :param sender: name of the instance that sends it.
        """
        if isinstance(message, messages.Execute):
            fields = msgspec.msgpack.decode(message.body)
            key = (
                sender,
                message.service_number,
                message.call,
                message.sender_incarnation,
            )
            self._handed_on[key] = fields[_IDENTITY]
        elif isinstance(message, messages.Consent) and message.granted:
            key = (
                sender,
                message.service_number,
                message.call,
                message.incarnation,
            )
            identity = self._handed_on[key]
            self._sent_consents.append(SentConsent(now, receiver, identity))

    def in_flight(self, runner: str, now: float, *, hop_s: float) -> set[str]:
        """Return the requests whose consent was in flight to an instance.

        :param now: time of the crash.
        :param hop_s: one-way delay of a message, seconds.
        """
        return {
            item.identity
            for item in self._sent_consents
            if item.runner == runner and 0.0 <= now - item.at <= hop_s
        }
