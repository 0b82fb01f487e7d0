"""Test that processes pass documents on, in few bytes."""

from __future__ import annotations

import asyncio
import json
import types
import typing

from tornado import httpclient

from bench import shapes
from teaseldock import configuration
from teaseldock import flow
from teaseldock import wire
from teaseldock_edge import documents_exchange

KEYS = (b'k' * 16,)


class _Held:
    """Documents of a process that asks for all."""

    def __init__(self, documents: list[configuration.Document]) -> None:
        self._documents = documents

    def held(self) -> list[configuration.Document]:
        return []

    def documents_missing_from(
        self, held: list[configuration.Document]
    ) -> list[configuration.Document]:
        return self._documents


def _documents() -> list[configuration.Document]:
    """Return register and rules of a deployment."""
    register, rules = shapes.documents(shapes.SHAPES['zilina'])
    return [
        configuration.Document('register', 1, 'op', json.dumps(part).encode())
        for part in (register, rules)
    ]


def _exchange(
    documents: list[configuration.Document],
    offered: list[configuration.Document],
    counted: list[tuple[str, int]],
) -> documents_exchange.DocumentsExchange:
    """Return an exchange whose counts and offers are kept."""

    def count(direction: str, message: object, size: int) -> None:
        counted.append((direction, size))

    decisions = types.SimpleNamespace(config=_Held(documents))
    return documents_exchange.DocumentsExchange(
        typing.cast(typing.Any, decisions),
        keys=KEYS,
        offer=offered.extend,
        count=count,
    )


async def _pass_on(
    offered: list[configuration.Document],
    sent: list[tuple[str, int]],
    received: list[tuple[str, int]],
) -> bytes:
    """Fetch by the product, then as a client that reads no coding."""
    source = _exchange(_documents(), [], sent)
    asker = _exchange([], offered, received)
    source.start(flow.Endpoint('127.0.0.1', 0))
    (listener,) = source._server._sockets.values()
    port = listener.getsockname()[1]
    await asker.fetch('127.0.0.1', port)
    plain = await httpclient.AsyncHTTPClient(force_instance=True).fetch(
        f'http://127.0.0.1:{port}/documents',
        method='POST',
        body=asker._pack([]),
        decompress_response=False,
    )
    asker.close()
    source.close()
    return plain.body


def test_documents_go_to_peers_compressed() -> None:
    """Guards against a process over its control bytes by whole documents."""
    offered: list[configuration.Document] = []
    sent: list[tuple[str, int]] = []
    received: list[tuple[str, int]] = []
    plain = asyncio.run(_pass_on(offered, sent, received))
    assert offered == _documents()
    whole = sum(len(item.content) for item in _documents())
    assert 0 < sent[0][1] < whole / 3
    assert received[1] == ('received', sent[0][1])
    # A process that reads no coding gets them as they are.
    assert len(wire.unpack(plain, keys=KEYS).documents) == 2
