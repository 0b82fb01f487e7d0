"""Describe one packet of a connection, independent of its encoding."""

from __future__ import annotations

import typing


class Packet(typing.NamedTuple):
    """The fields of a packet that decisions use, and its unchanged bytes.

    :ivar flow: key of the flow, see :func:`teaseldock.flow.flow_key`.
    :ivar opening: whether it asks to open the flow (SYN without ACK).
    :ivar accepting: whether it accepts an opening (SYN with ACK).
    :ivar resetting: whether it resets the flow.
    :ivar closing: whether its sender sends no more data after it.
    :ivar returned: whether the backend server sent a caller's packet back.
    :ivar sequence: sequence number of its first byte of data.
    :ivar acknowledged: sequence number up to which its sender has received;
        for an opening packet, the number of copies that were sent before it.
    :ivar length: bytes of data that it carries.
    :ivar token: four bytes that a backend server sends back unchanged.
    :ivar raw: the whole datagram.
    """

    flow: bytes
    opening: bool
    accepting: bool
    resetting: bool
    closing: bool
    returned: bool
    sequence: int
    acknowledged: int
    length: int
    token: bytes
    raw: bytes
