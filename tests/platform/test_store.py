"""Test the client of the platform's store against prepared answers."""

from __future__ import annotations

import json
import typing

import pytest

from teaseldock import flow
from teaseldock.packets import positions
from teaseldock.packets import records
from teaseldock_edge import http_exchange
from teaseldock_platform import store


class _Receiver:
    """Record what the client passes on."""

    def __init__(self) -> None:
        self.answers: list[records.Changes] = []
        self.lost = 0
        self.failures: list[str] = []

    def store_answered(self, changes: records.Changes, now: float) -> None:
        self.answers.append(changes)

    def store_lost_history(self, now: float) -> None:
        self.lost += 1

    def store_failed(self, problem: str, now: float) -> None:
        self.failures.append(problem)

    def entry_refused(self, problem: str) -> None:
        self.failures.append(problem)


class _Loop:
    def now(self) -> float:
        return 0.0


class _Client:
    """Serve each request with the next answer of a list."""

    def __init__(self) -> None:
        self.answers: list[http_exchange.Answer] = []
        self.paths: list[str] = []

    def get(self, path: str, **options: typing.Any) -> None:
        self.paths.append(path)
        options['on_answer'](self.answers.pop(0))


@pytest.fixture
def calls() -> tuple[store.StoreClient, _Client, _Receiver]:
    """Return a client of the store, its HTTP client and its receiver."""
    receiver, connection = _Receiver(), _Client()
    client = store.StoreClient(
        _Loop(), flow.Endpoint('127.0.0.1', 1), receiver
    )
    client._client = connection
    return client, connection, receiver


def answer(
    body: typing.Any, *, status: int = 200, era: str | None = None
) -> http_exchange.Answer:
    """Return an HTTP answer of the store."""
    headers = {} if era is None else {'store-era': era}
    return http_exchange.Answer(status, headers, json.dumps(body).encode())


def page(revision: int, *, key: str = '', truncated: bool = False) -> dict:
    """Return the body of a page with at most one item."""
    items = [{'key': key, 'revision': revision, 'value': ''}] if key else []
    return {'items': items, 'truncated': truncated, 'currentRev': revision}


def test_a_read_of_all_is_of_the_era_that_the_store_tells(calls) -> None:
    """Guards against comparing revisions of different eras."""
    client, connection, receiver = calls
    connection.answers = [answer(page(7), era='2')]
    client.read_all()
    assert receiver.answers[0].upto == positions.make(2, 7)


@pytest.mark.parametrize('era', [None, 'x', '-1', '²', ''])
def test_a_store_that_tells_no_era_has_one_history(calls, era) -> None:
    """Guards against a failed read because of an unreadable era header."""
    client, connection, receiver = calls
    connection.answers = [answer(page(7), era=era)]
    client.read_all()
    assert receiver.answers[0].upto == 7


def test_a_watch_asks_for_the_plain_revision(calls) -> None:
    """Guards against sending a position, with its era, as the revision."""
    client, connection, receiver = calls
    connection.answers = [answer({'events': [], 'currentRev': 9}, era='3')]
    client.watch(positions.make(3, 8))
    assert '&after=8&' in connection.paths[0]
    assert receiver.answers[0].since == positions.make(3, 8)
    assert receiver.answers[0].upto == positions.make(3, 9)


def test_a_watch_answered_from_another_history_is_a_lost_one(calls) -> None:
    """Guards against missing a restore after which the revision rose."""
    client, connection, receiver = calls
    connection.answers = [answer({'events': [], 'currentRev': 50}, era='1')]
    client.watch(8)
    assert receiver.lost == 1
    assert receiver.answers == []


def test_pages_of_two_histories_are_not_put_together(calls) -> None:
    """Guards against a read with entries from before and after a restore."""
    client, connection, receiver = calls
    first = page(9, key='servers/a', truncated=True)
    connection.answers = [answer(first, era='0'), answer(page(7), era='1')]
    client.read_all()
    assert receiver.lost == 1
    assert receiver.answers == []
