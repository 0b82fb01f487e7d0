"""Proxy TCP connections to the store, with faults on demand."""

from __future__ import annotations

import asyncio


class Proxy:
    """Forward TCP connections to the store in one of several fault modes.

    :ivar mode: ``pass``; ``slow`` (300 ms of delay per chunk); ``refuse``
        (connections are accepted, then reset); ``silent`` (data of both
        directions is dropped); ``deaf`` (data from the store is dropped).
    """

    def __init__(self, target: tuple[str, int]) -> None:
        """Create a proxy in mode ``pass`` that does not listen yet."""
        self.mode = 'pass'
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: tuple[str, int]) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        self.cut()
        if self._server is not None:
            self._server.close()

    def cut(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        store_writer = None
        try:
            if self.mode == 'refuse':
                writer.transport.abort()
                return
            store_reader, store_writer = await asyncio.open_connection(
                *self._target
            )
            await asyncio.gather(
                self._forward(reader, store_writer, from_store=False),
                self._forward(store_reader, writer, from_store=True),
            )
        except OSError:
            # One end has closed; the other is closed below.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
            if store_writer is not None:
                store_writer.transport.abort()

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        *,
        from_store: bool,
    ) -> None:
        while chunk := await source.read(65536):
            if self.mode == 'slow':
                await asyncio.sleep(0.3)
            if self.mode == 'refuse':
                break
            if self.mode == 'silent' or (self.mode == 'deaf' and from_store):
                continue
            sink.write(chunk)
        sink.transport.abort()
