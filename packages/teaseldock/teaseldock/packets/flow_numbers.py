"""Tell flows apart that have the same addresses and ports.

Callers use ports again, also for flows that a process never sees open. Each
backend server begins a flow at an initial sequence number of its own, which
the caller's packets acknowledge, and callers number their data in the same
way. Packets of two flows behind one key therefore carry distant numbers.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet

#: Half the number of 32-bit sequence numbers, and the number of them.
HALF_MODULUS = 1 << 31
MODULUS = 1 << 32
#: Distance in bytes up to which two packets may belong to one flow while its
#: server gets none of them. Each end has at most 16 packets of 1,200 bytes in
#: flight.
MAX_DISTANCE_BYTES = 1 << 16


def are_near(one: int, other: int) -> bool:
    """Return whether two sequence numbers may belong to one stalled flow."""
    ahead = (one - other) % MODULUS
    return min(ahead, MODULUS - ahead) <= MAX_DISTANCE_BYTES


class FlowNumbers(typing.NamedTuple):
    """The position of a caller's packet in both directions of its flow.

    :ivar sequence: sequence number of its first byte of data.
    :ivar acknowledged: sequence number up to which the caller has received.
    """

    sequence: int
    acknowledged: int

    def include(self, item: packet.Packet) -> bool:
        """Return whether a packet may be of the same flow.

        Only while the flow's server gets no packets: an active flow moves on.
        """
        return are_near(item.acknowledged, self.acknowledged) and are_near(
            item.sequence, self.sequence
        )


def of_packet(item: packet.Packet) -> FlowNumbers:
    """Return the numbers of a caller's packet."""
    return FlowNumbers(item.sequence, item.acknowledged)
