"""Say what decisions about packets need carried out."""

from __future__ import annotations

import abc
import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet


class IOInterface(abc.ABC):
    """Carries out what the decisions want to be sent."""

    @abc.abstractmethod
    def to_process(self, host: str, datagram: bytes) -> None:
        """Send to the internal port of a process of the system."""

    @abc.abstractmethod
    def to_caller(self, item: packet.Packet) -> None:
        """Send a packet to the caller of its flow."""

    @abc.abstractmethod
    def to_server(self, item: packet.Packet, token: bytes) -> None:
        """Give a packet to the backend server beside this process.

        :param token: four bytes that come back with a returned packet.
        """

    @abc.abstractmethod
    def reset_caller(self, item: packet.Packet) -> None:
        """Reset a flow towards its caller.

        :param item: the caller's packet that is answered so.
        """

    @abc.abstractmethod
    def read_packet(self, raw: bytes) -> packet.Packet:
        """Decode a packet that another process passed on.

        :raises MessageError: if the bytes are no packet.
        """

    @abc.abstractmethod
    def original(self, item: packet.Packet) -> bytes:
        """Return a returned packet as its caller sent it."""

    @abc.abstractmethod
    def read_all(self) -> None:
        """Read all entries of the store; ends in a call of the node."""

    @abc.abstractmethod
    def watch(self, position: int) -> None:
        """Wait for changes of the store after a position.

        See :mod:`teaseldock.packets.positions`.
        """
