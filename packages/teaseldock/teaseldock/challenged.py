"""Remember messages that were challenged, so that no copy of them runs."""

from __future__ import annotations

import collections

#: Messages remembered, some 150 bytes each; the oldest go first. A copy may be
#: late by seconds, and at 460,000 new flows a second over 54,000 targets each
#: challenges nine a second.
MESSAGES_KEPT = 4096


class ChallengedMessages:
    """Exchanges that a challenge has answered.

    A challenged message is sent again by its caller under another exchange,
    with the proof. A copy of the first that the network delays comes when the
    flow has proved its address; run then, it would begin the transfer of an
    earlier upload in the middle of a later one, which shows as an answer for
    an earlier request. One in a hundred plays of kills under doubled and
    delayed packets showed it.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._exchanges: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, key: bytes) -> bool:
        return key in self._exchanges

    def add(self, key: bytes) -> None:
        """Note that a message was challenged.

        :param key: flow key followed by the request's exchange.
        """
        self._exchanges[key] = None
        if len(self._exchanges) > MESSAGES_KEPT:
            self._exchanges.popitem(last=False)
