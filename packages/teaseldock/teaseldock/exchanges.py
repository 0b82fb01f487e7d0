"""Keep exchanges to recognise retransmitted messages."""

from __future__ import annotations

import collections
import typing

from teaseldock import challenge
from teaseldock import messages

if typing.TYPE_CHECKING:
    from teaseldock.codecs import base

#: Bytes of answers stored for retransmissions; the oldest are evicted first.
ANSWER_BYTES = 8_000_000
#: Seconds within which retransmissions of one message can arrive.
EXCHANGE_LIFETIME_S = challenge.CHALLENGE_LIFETIME_S


class Exchange:
    """State of one message from a caller.

    :ivar guarded: whether the request must not run twice.
    :ivar answer: datagram sent to the caller, or None.
    :ivar answer_evicted: whether an answer was sent, but is no longer stored.
    """

    __slots__ = (
        'flow',
        'request',
        'began_at',
        'guarded',
        'answer',
        'answer_evicted',
    )

    def __init__(
        self, flow: bytes, request: bytes, began_at: float, *, guarded: bool
    ) -> None:
        """Create an exchange without an answer.

        :param request: the caller's datagram.
        """
        self.flow = flow
        self.request = request
        self.began_at = began_at
        self.guarded = guarded
        self.answer: bytes | None = None
        self.answer_evicted = False


class NonceUse(typing.NamedTuple):
    """Use of a challenge: the exchange that it admitted, and the time."""

    exchange: bytes
    used_at: float


class ExchangeTable:
    """Exchanges by message, by flow and by challenge.

    The use of a challenge is kept for as long as the challenge is valid, even
    when memory is short: without it a duplicate would run again at the
    server.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._exchanges: collections.OrderedDict[bytes, Exchange] = (
            collections.OrderedDict()
        )
        self._by_flow: dict[bytes, list[Exchange]] = {}
        self._nonces: collections.OrderedDict[int, NonceUse] = (
            collections.OrderedDict()
        )
        self._answers: collections.deque[Exchange] = collections.deque()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._exchanges)

    def get(self, key: bytes) -> Exchange | None:
        """Return the exchange of a message, or None."""
        return self._exchanges.get(key)

    def add(self, key: bytes, exchange: Exchange) -> None:
        """Add an exchange.

        :param key: flow key followed by the request's exchange.
        """
        self._exchanges[key] = exchange
        self._by_flow.setdefault(exchange.flow, []).append(exchange)

    def remove(self, key: bytes) -> None:
        """Remove an exchange, so that its message counts as new."""
        exchange = self._exchanges.pop(key, None)
        if exchange is not None:
            self._unlink(exchange)

    def _unlink(self, exchange: Exchange) -> None:
        of_flow = self._by_flow[exchange.flow]
        of_flow.remove(exchange)
        if not of_flow:
            del self._by_flow[exchange.flow]

    def use_nonce(self, nonce: int, key: bytes, now: float) -> bytes | None:
        """Record the use of a challenge.

        :returns: the exchange that used it before, or None on the first use.
        """
        known = self._nonces.get(nonce)
        if known is not None:
            return known.exchange
        self._nonces[nonce] = NonceUse(key, now)
        return None

    def used_by(self, nonce: int) -> bytes | None:
        """Return the exchange that used a challenge, or None."""
        known = self._nonces.get(nonce)
        return known.exchange if known else None

    def store_answer(self, exchange: Exchange, answer: bytes) -> None:
        """Store an answer for retransmissions of its message."""
        exchange.answer = answer
        self._answers.append(exchange)
        self._answer_bytes += len(answer)
        while self._answer_bytes > ANSWER_BYTES:
            oldest = self._answers.popleft()
            self._answer_bytes -= len(oldest.answer or b'')
            oldest.answer = None
            oldest.answer_evicted = True

    def of_flow(self, flow: bytes) -> list[Exchange]:
        """Return the exchanges of a flow, oldest first."""
        return list(self._by_flow.get(flow, ()))

    def expire(self, now: float) -> None:
        """Remove entries that no retransmission can need any more."""
        oldest = now - EXCHANGE_LIFETIME_S
        while self._exchanges:
            key = next(iter(self._exchanges))
            if self._exchanges[key].began_at > oldest:
                break
            self._unlink(self._exchanges.pop(key))
        while self._answers and self._answers[0].began_at <= oldest:
            dropped = self._answers.popleft()
            self._answer_bytes -= len(dropped.answer or b'')
        while self._nonces:
            nonce = next(iter(self._nonces))
            # Twice the lifetime: a challenge may be used one lifetime after
            # its issue, and its message repeated one lifetime after its use.
            if self._nonces[nonce].used_at > oldest - EXCHANGE_LIFETIME_S:
                break
            del self._nonces[nonce]

    def results(self, flow: bytes, *, since: float) -> list[messages.Result]:
        """Return the answers of guarded requests, oldest first.

        :param since: exchanges that began earlier are left out.
        """
        return [
            messages.Result(item.request, item.answer)
            for item in self.of_flow(flow)
            if item.answer is not None
            and item.guarded
            and item.began_at >= since
        ]

    def import_results(
        self,
        flow: bytes,
        results: list[messages.Result],
        now: float,
        *,
        codec: base.Codec,
    ) -> None:
        """Store answers transferred by the flow's previous holder."""
        for result in results:
            request = codec.read_caller(result.request)
            key = flow + request.exchange
            if self.get(key) is not None:
                continue
            exchange = Exchange(flow, result.request, now, guarded=True)
            self.add(key, exchange)
            self.store_answer(exchange, result.answer)
