"""Store flows in little memory and expire idle ones."""

from __future__ import annotations

import typing

#: Minimum seconds after which an idle flow without state expires.
IDLE_FLOW_S = 150.0


class FlowStore:
    """Map flow keys to small values in two generations.

    A used flow moves to the young generation. Flows that are still in the old
    one at a rotation have been idle for one to two times :data:`IDLE_FLOW_S`.
    No time is stored per flow.
    """

    __slots__ = ('_young', '_old', '_rotate_at')

    def __init__(self, now: float) -> None:
        """Create an empty store.

        :param now: seconds of a monotonic clock.
        """
        self._young: dict[bytes, typing.Any] = {}
        self._old: dict[bytes, typing.Any] = {}
        self._rotate_at = now + IDLE_FLOW_S

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._young or flow in self._old

    def __iter__(self) -> typing.Iterator[bytes]:
        yield from self._young
        yield from self._old

    def get(self, flow: bytes) -> typing.Any:
        """Return a flow's value and mark the flow as used, or None."""
        value = self._young.get(flow)
        if value is not None:
            return value
        value = self._old.pop(flow, None)
        if value is not None:
            self._young[flow] = value
        return value

    def peek(self, flow: bytes) -> typing.Any:
        """Return a flow's value without marking it as used, or None."""
        value = self._young.get(flow)
        return self._old.get(flow) if value is None else value

    def put(self, flow: bytes, value: typing.Any) -> None:
        """Store a value, which must not be None."""
        self._old.pop(flow, None)
        self._young[flow] = value

    def pop(self, flow: bytes) -> typing.Any:
        """Remove a flow and return its value, or None."""
        value = self._young.pop(flow, None)
        return self._old.pop(flow, None) if value is None else value

    def expire(
        self, now: float, keep: typing.Callable[[bytes, typing.Any], bool]
    ) -> list[bytes]:
        """Rotate the generations if they are due.

        :param keep: returns whether an idle flow must not expire.
        :returns: the expired flows.
        """
        if now < self._rotate_at:
            return []
        self._rotate_at = now + IDLE_FLOW_S
        idle = self._old
        self._old = self._young
        self._young = {}
        forgotten = []
        for flow, value in idle.items():
            if keep(flow, value):
                self._young[flow] = value
            else:
                forgotten.append(flow)
        return forgotten
