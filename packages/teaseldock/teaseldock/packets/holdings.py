"""Tell which flows may be at a server that their route doesn't name.

The load it answers: the operator moves a route, or a part of its weight, to
another service; open flows stay where they are. Balancers that start later get
packets of such flows, and to them the configuration names the wrong servers:
resetting a flow because the servers named now don't hold it broke 2 to 49
flows a day. Asking every agent about every flow instead would cost a question
for each of 54,000 targets. So agents tell, in their heartbeats, of which
addresses they hold flows that the configuration sends elsewhere; that is
nothing but for a while after such a change.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import control

#: Bytes of a packed address and port.
ADDRESS_BYTES = 6
#: Addresses told at most, so that a heartbeat stays below 400 bytes. Whoever
#: has more is asked about every flow.
ADDRESSES_TOLD = 32


class Holdings(typing.NamedTuple):
    """What an agent tells of the flows that its backend server holds.

    :ivar tag: of the server's service; 0 for a balancer.
    :ivar complete: whether the agent knows all flows of its server, and names
        all addresses that it has to.
    :ivar moved: addresses of flows held whose routes name other services,
        packed one after the other.
    """

    tag: int
    complete: bool
    moved: bytes

    def includes(self, address: bytes) -> bool:
        """Tell whether an address is among those that are told."""
        return any(
            self.moved[start : start + ADDRESS_BYTES] == address
            for start in range(0, len(self.moved), ADDRESS_BYTES)
        )


#: What a process tells that has no backend server, or knows too little.
NOTHING_KNOWN = Holdings(0, False, b'')


def make_holdings(
    tag: int, moved: list[bytes], *, all_flows_seen: bool
) -> Holdings:
    """Return what an agent tells.

    :param moved: addresses of flows whose routes name other services.
    :param all_flows_seen: whether the agent knows all flows of its server.
    """
    complete = all_flows_seen and len(moved) <= ADDRESSES_TOLD
    return Holdings(tag, complete, b''.join(moved) if complete else b'')


def may_hold(
    heartbeat: control.Heartbeat | None,
    address: bytes,
    tags: set[int],
    *,
    version: int,
) -> bool:
    """Tell whether an agent must be asked about a flow.

    Only an agent that knew at least the configuration by which the caller
    decides has told all addresses that this configuration sends elsewhere.

    :param heartbeat: the agent's newest; None if it was never heard.
    :param address: the flow's, packed.
    :param tags: of the services that the configuration names for it.
    :param version: of that configuration.
    """
    if heartbeat is None or heartbeat.version < version:
        return True
    held = heartbeat.holdings
    return not held.complete or held.tag in tags or held.includes(address)
