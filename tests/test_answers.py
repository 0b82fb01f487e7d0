"""Test that callers get no answers to other requests."""

from __future__ import annotations

from bench import fake_codec
from bench import world
from teaseldock import messages
from tests import promises


def test_an_answer_that_comes_too_late_reaches_nobody(
    small: world.World,
) -> None:
    """An answer to a request that has timed out is dropped.

    The server answers after more than 20 s. In the meantime the caller got
    "outcome unknown" and sent the next order, which must not get the late
    answer.
    """
    caller = small.add_caller('dispatch')
    caller.ask('POST', 'orders')
    small.run_until(small.now + 1.0)
    for server in small.servers.values():
        server._service_s = 400.0
    first = caller.ask('POST', 'orders')
    small.run_until(small.now + 23.0)
    for server in small.servers.values():
        server._service_s = 0.02
    for (_, name), server in small.servers.items():
        for call in list(_running_calls(small, name)):
            server._reply(call, None, False, first)
    second = caller.ask('POST', 'orders')
    small.run_until(small.now + 1.0)
    outcomes = {item.identity: item.outcome for item in small.asked}
    assert outcomes[first] == 'outcome unknown'
    assert outcomes[second] == 'answer'
    promises.assert_safe(small)


def _running_calls(run: world.World, service: str) -> range:
    """Return all call numbers that may be in use."""
    return range(1, 400) if service == 'dispatch' else range(0)


def test_a_used_token_gets_the_newer_answer(small: world.World) -> None:
    """Each answer carries the identifier of its own message.

    Several messages with one token are open at once and can be answered in
    another order. Matching by token alone would cross their answers.
    """
    caller = small.add_caller('tickets')
    caller.ask('PUT', 'scans')
    small.run_until(small.now + 1.0)
    received: list[fake_codec.Answer] = []

    def receive(payload: bytes) -> None:
        received.append(
            fake_codec.Answer(*fake_codec.msgspec.msgpack.decode(payload))
        )

    caller.receive = receive
    for number in range(20):
        body = fake_codec.msgspec.msgpack.encode(
            [
                fake_codec.REQUEST,
                1000 + number,
                b'same',
                'PUT',
                'scans',
                b'',
                None,
                None,
                f'tickets-{caller.number}-{number}',
            ]
        )
        small.from_caller(caller.flow, body)
    small.run_until(small.now + 2.0)
    answers = [item for item in received if item.kind == 'answer']
    assert len(answers) == 20
    for item in answers:
        number = item.message_id - 1000
        assert item.identity == f'tickets-{caller.number}-{number}'


def test_a_reset_drops_what_waits(small: world.World) -> None:
    """A reset from a caller drops its queued requests."""
    for server in small.servers.values():
        server._service_s = 3.0
    callers = [small.add_caller('tickets') for _ in range(14)]
    for caller in callers:
        caller.ask('PUT', 'scans')
    small.run_until(small.now + 0.5)
    queued = _queued(small)
    assert queued
    for caller in callers:
        reset = fake_codec.msgspec.msgpack.encode(
            [fake_codec.CONTROL, 1, True]
        )
        small.from_caller(caller.flow, reset)
    small.run_until(small.now + 0.1)
    assert _queued(small) < queued


def _queued(run: world.World) -> int:
    """Return the number of queued requests of the tickets service."""
    return sum(
        target.holder.load(run.now).queued
        for process in run.processes.values()
        for target in getattr(process.node, 'targets', [])
        if target.service.name == 'tickets'
    )


def test_only_the_runner_may_answer(small: world.World) -> None:
    """An answer from an agent other than the assignee is dropped.

    One peer refused a request, which was then forwarded to another. A late
    answer of the first peer under a call number in use must not reach the
    caller.
    """
    for server in small.servers.values():
        server._service_s = 5.0
    for _ in range(12):
        small.add_caller('dispatch').ask('GET', 'status')
    small.run_until(small.now + 0.5)
    checked = 0
    for name in ('dispatch-1', 'dispatch-2', 'dispatch-3', 'dispatch-4'):
        node = small.processes[name].node
        coordinator = node.find('dispatch').holder.coordinator
        for call, pending in list(coordinator._pending.items()):
            if pending.assignee == name:
                continue
            forged = messages.Executed(
                'tickets-5', 0, call, messages.Outcome.ANSWERED, b'', b''
            )
            assert coordinator.on_executed(forged, small.now) == []
            assert call in coordinator._pending
            checked += 1
    assert checked


def test_a_late_copy_of_a_challenged_message_runs_nothing(
    small: world.World,
) -> None:
    """A delayed copy of a challenged message is not run.

    The first message of a flow is challenged, and the network delays a copy of
    it by a second. The caller's address is verified, its scan is answered and
    the next scan begins; then the copy arrives. Challenges are not stored as
    answers, so that the copy's exchange is unknown. If the copy ran, the
    server would run the first scan again with parts of the second, and the
    caller would get the answer for the first.
    """
    caller = small.add_caller('tickets')
    received: list[fake_codec.Answer] = []
    caller.receive = lambda payload: received.append(
        fake_codec.Answer(*fake_codec.msgspec.msgpack.decode(payload))
    )

    def send(message_id: int, echo: bytes | None, identity: str) -> None:
        fields = [
            fake_codec.REQUEST,
            message_id,
            b'%d' % message_id,
            'PUT',
            fake_codec.PARTS,
            echo,
            None,
            None,
            identity,
        ]
        body = fake_codec.msgspec.msgpack.encode(fields)
        small.from_caller(caller.flow, body)

    send(1, None, 'tickets-first')
    small.run_until(small.now + 0.5)
    assert [item.kind for item in received] == ['challenge']
    send(2, received[0].value, 'tickets-first')
    small.run_until(small.now + 0.5)
    send(3, None, 'tickets-second')
    small.run_until(small.now + 0.1)
    send(1, None, 'tickets-first')
    small.run_until(small.now + 1.0)
    assert [item.kind for item in received[1:]] == [
        'answer',
        'answer',
        'challenge',
    ]
    names = [item.identity for item in small.ran]
    assert names == ['tickets-first', 'tickets-second']
