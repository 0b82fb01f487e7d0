"""Define the interface through which packet decisions perform I/O."""

from __future__ import annotations

import abc
import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import packet


class IOInterface(abc.ABC):
    """Sends packets and datagrams and reads the store for a node."""

    @abc.abstractmethod
    def to_process(self, host: str, datagram: bytes) -> None:
        """Send a datagram to the internal port of another process."""

    @abc.abstractmethod
    def to_caller(self, item: packet.Packet) -> None:
        """Send a packet to the caller of its flow."""

    @abc.abstractmethod
    def to_server(self, item: packet.Packet, token: bytes) -> None:
        """Send a packet to the backend server on this instance.

        :param token: four bytes that a returned packet carries unchanged.
        """

    @abc.abstractmethod
    def reset_caller(self, item: packet.Packet) -> None:
        """Reset a flow towards its caller.

        :param item: the caller's packet that the reset answers.
        """

    @abc.abstractmethod
    def read_packet(self, raw: bytes) -> packet.Packet:
        """Decode a packet that another process forwarded.

        :raises MessageError: if the bytes are not a packet.
        """

    @abc.abstractmethod
    def original(self, item: packet.Packet) -> bytes:
        """Return the bytes of a returned packet as its caller sent them."""

    @abc.abstractmethod
    def read_all(self) -> None:
        """Read all entries of the store and pass them to the node."""

    @abc.abstractmethod
    def watch(self, position: int) -> None:
        """Wait for changes of the store after a position.

        See :mod:`teaseldock.packets.positions`.
        """
