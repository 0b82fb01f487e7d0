"""Know which requests had been given leave to run when their runner died.

An order that was handed on starts only with its sender's consent. One that is
on its way when the runner dies can't be taken back, and nobody is left who
could tell whether it arrived: "outcome unknown" is the true answer then. One
that had arrived shows as a run at the server.
"""

from __future__ import annotations

import typing

import msgspec

from teaseldock import messages

#: Where the identity stands in a request that was handed on.
_IDENTITY = 8


class SentConsent(typing.NamedTuple):
    """A consent as it was sent."""

    at: float
    runner: str
    identity: str


class ConsentLog:
    """What processes told each other of requests that were handed on."""

    def __init__(self) -> None:
        """Start with nothing handed on."""
        self._handed_on: dict[tuple[str, int, int, int], str] = {}
        self._sent_consents: list[SentConsent] = []

    def record_message(
        self, sender: str, receiver: str, message: typing.Any, now: float
    ) -> None:
        """Take a message that is sent.

        :param sender: instance.
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
        """Return the requests whose consent was under way to an instance.

        :param hop_s: how long a message takes.
        """
        return {
            item.identity
            for item in self._sent_consents
            if item.runner == runner and 0.0 <= now - item.at <= hop_s
        }
