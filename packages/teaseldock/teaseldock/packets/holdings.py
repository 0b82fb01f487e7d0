"""Advertise flows at servers that the flows' routes no longer name.

When the operator moves a route, or a part of its weight, to another service,
open flows stay at their servers. Balancers that start later get packets of
these flows, but the configuration names other servers. Resetting a flow
because those servers don't hold it broke 2 to 49 flows a day. Querying every
agent about every flow would cost one query for each of 54,000 targets.
Instead, each agent lists in its heartbeats the addresses of held flows that
the configuration routes to another service. The list is empty except for some
time after such a change.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import control

#: Bytes of a packed address and port.
ADDRESS_BYTES = 6
#: Maximum number of listed addresses, which keeps a heartbeat below 400 bytes.
#: An agent with more of them is queried about every flow.
ADDRESSES_TOLD = 32


class Holdings(typing.NamedTuple):
    """Summary of the flows that an agent's backend server holds.

    :ivar tag: tag of the server's service; 0 for a balancer.
    :ivar complete: whether the agent has seen all flows of its server and
        lists all addresses of moved flows.
    :ivar moved: packed addresses of held flows whose routes name other
        services, concatenated.
    """

    tag: int
    complete: bool
    moved: bytes

    def includes(self, address: bytes) -> bool:
        """Return whether an address is listed as moved."""
        return any(
            self.moved[start : start + ADDRESS_BYTES] == address
            for start in range(0, len(self.moved), ADDRESS_BYTES)
        )


#: Summary of a process without a backend server, or with incomplete state.
NOTHING_KNOWN = Holdings(0, False, b'')


def make_holdings(
    tag: int, moved: list[bytes], *, all_flows_seen: bool
) -> Holdings:
    """Return the summary for an agent's heartbeat.

    :param moved: packed addresses of flows whose routes name other services.
    :param all_flows_seen: whether the agent has seen all flows of its server.
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
    """Return whether an agent must be queried about a flow.

    An agent with an older configuration may not list all addresses that the
    querying balancer's configuration routes to another service.

    :param heartbeat: the agent's newest heartbeat; None if none was received.
    :param address: packed service address of the flow.
    :param tags: tags of the services that the configuration names for it.
    :param version: version of the balancer's configuration.
    """
    if heartbeat is None or heartbeat.version < version:
        return True
    held = heartbeat.holdings
    return not held.complete or held.tag in tags or held.includes(address)
