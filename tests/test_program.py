"""Test that one exception does not end a periodic task."""

from __future__ import annotations

import asyncio

from bench import path
from teaseldock_balancer import application


def test_a_failing_tick_is_not_the_last() -> None:
    """Ticks continue after one of them has raised an exception.

    If the exception ends the task, the process sends no heartbeats: its peers
    declare it dead while it still answers callers.
    """

    async def run() -> tuple[int, int]:
        program = application.BalancerProgram(path._values())
        calls = 0

        def tick(now: float) -> list:
            nonlocal calls
            calls += 1
            raise RuntimeError('for the test')

        program._node.tick = tick
        program._node.tick_interval = lambda now: 0.001
        task = asyncio.create_task(program._tick_forever())
        while calls < 3:
            await asyncio.sleep(0.001)
        task.cancel()
        return calls, program.status()['tick_faults']

    calls, faults = asyncio.run(run())
    assert calls >= 3
    assert faults >= 2


def test_reading_goes_on_after_a_fault() -> None:
    """The platform is read again after an exception in a read."""

    async def run() -> int:
        program = application.BalancerProgram(path._values())
        client = program._platform
        runs = 0

        async def work() -> None:
            nonlocal runs
            runs += 1
            raise RuntimeError('for the test')

        async def no_sleep(seconds: float) -> None:
            await asyncio.sleep(0)

        client._sleep = no_sleep
        task = asyncio.create_task(client._run_forever(work))
        while runs < 3:
            await asyncio.sleep(0)
        task.cancel()
        return client.failures

    assert asyncio.run(run()) >= 2
