"""Hold flows in little memory, and forget those that are idle."""

from __future__ import annotations

import typing

#: Seconds after which an idle flow without state is forgotten, at the least.
IDLE_FLOW_S = 150.0


class FlowStore:
    """Map flow keys to small values in two generations.

    A flow that is used moves to the young generation; what is still in the
    old one when the generations change was idle for :data:`IDLE_FLOW_S` to
    twice that. No time is kept for each flow.
    """

    __slots__ = ('_young', '_old', '_rotate_at')

    def __init__(self, now: float) -> None:
        """Start empty.

        :param now: seconds on a clock that never goes back.
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
        """Return a flow's value and count the flow as used, or None."""
        value = self._young.get(flow)
        if value is not None:
            return value
        value = self._old.pop(flow, None)
        if value is not None:
            self._young[flow] = value
        return value

    def peek(self, flow: bytes) -> typing.Any:
        """Return a flow's value without counting it as used, or None."""
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
        """Change generations if it is time.

        :param keep: tells whether an idle flow must stay all the same.
        :returns: the flows that were forgotten.
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
