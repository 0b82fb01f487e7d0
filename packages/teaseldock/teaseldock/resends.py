"""Ask callers to send an order again while its challenger may be cut off.

Callers reach both sides of a cut that processes can't cross. Only the process
that challenged an order may run it; an order that arrives on the other side
can't be handed there, but its caller can send it again, and each message may
come out on either side.
"""

from __future__ import annotations

import collections

#: Messages asked for by one process for one order: 998 of 1,000 orders whose
#: challenger is behind one balancer of three get there, within 0.2 s.
MAX_RESENDS = 16
#: Orders remembered, some 150 bytes each; the oldest are forgotten first.
MAX_REQUESTS_KEPT = 4096


class ResendLimit:
    """How often the callers of orders were asked to send them again."""

    def __init__(self) -> None:
        """Start with none."""
        self._asked: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def try_acquire(self, challenge: bytes) -> bool:
        """Tell whether a caller may be asked once more, and count it.

        :param challenge: value that the order came with.
        """
        count = self._asked.get(challenge, 0)
        if count == MAX_RESENDS:
            return False
        self._asked[challenge] = count + 1
        if len(self._asked) > MAX_REQUESTS_KEPT:
            self._asked.popitem(last=False)
        return True
