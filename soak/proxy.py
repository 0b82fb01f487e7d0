"""Pass connections on to the store, and misbehave on demand."""

from __future__ import annotations

import asyncio


class Proxy:
    """Pass TCP connections on to the store, as its mode says.

    :ivar mode: ``pass``; ``slow``; ``refuse`` (accepted and reset);
        ``silent`` (nothing passes); ``deaf`` (no answer comes back).
    """

    def __init__(self, target: tuple[str, int]) -> None:
        """Prepare."""
        self.mode = 'pass'
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: tuple[str, int]) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self) -> None:
        """Stop, and cut what is open."""
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
        upstream = None
        try:
            if self.mode == 'refuse':
                writer.transport.abort()
                return
            back, upstream = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._pump(reader, upstream, answers=False),
                self._pump(back, writer, answers=True),
            )
        except OSError:
            # Either end is gone; the other is closed below.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
            if upstream is not None:
                upstream.transport.abort()

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        while part := await source.read(65536):
            if self.mode == 'slow':
                await asyncio.sleep(0.3)
            if self.mode == 'refuse':
                break
            if self.mode == 'silent' or (self.mode == 'deaf' and answers):
                continue
            sink.write(part)
        sink.transport.abort()
