"""Record challenged messages, so that no delayed copy of them runs."""

from __future__ import annotations

import collections

#: Limit of recorded messages of about 150 bytes each; the oldest are evicted
#: first. Copies can be delayed by seconds, and at 460,000 new flows per second
#: over 54,000 targets each target challenges nine messages per second.
MESSAGES_KEPT = 4096


class ChallengedMessages:
    """Exchanges that were answered with a challenge.

    The caller resends a challenged message under another exchange, with the
    Echo value. A copy of the first message that the network delays arrives
    after the flow's address is verified. If it ran, it would restart an
    earlier upload in the middle of a later one, and the caller would get an
    answer for the earlier request. One in a hundred runs with killed processes
    and with duplicated and delayed packets showed this.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._exchanges: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, key: bytes) -> bool:
        return key in self._exchanges

    def add(self, key: bytes) -> None:
        """Record that a message was challenged.

        :param key: flow key followed by the request's exchange.
        """
        self._exchanges[key] = None
        if len(self._exchanges) > MESSAGES_KEPT:
            self._exchanges.popitem(last=False)
