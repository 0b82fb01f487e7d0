"""Keep which data centres the operator wants to get no new flows."""

from __future__ import annotations

import typing

from teaseldock.packets import records


class Evacuations:
    """The newest request for each data centre, standing or taken back.

    What was taken back is kept: a process that lags must be told, and an old
    message must not bring the request back. There are as many as data centres.
    """

    def __init__(self) -> None:
        """Start without a request."""
        self._newest: dict[str, records.Evacuation] = {}
        self._active: frozenset[str] = frozenset()

    @property
    def active(self) -> frozenset[str]:
        """Return the data centres that get no new flows."""
        return self._active

    def apply(
        self, items: typing.Iterable[records.Evacuation]
    ) -> list[records.Evacuation]:
        """Take over what is newer than what is known; return that."""
        fresh = [item for item in items if self._is_newer(item)]
        for item in fresh:
            self._newest[item.data_centre] = item
        if fresh:
            self._active = frozenset(
                name for name, item in self._newest.items() if item.active
            )
        return fresh

    def _is_newer(self, item: records.Evacuation) -> bool:
        known = self._newest.get(item.data_centre)
        return known is None or known.revision < item.revision

    def unlisted(
        self, listed: typing.Iterable[records.Evacuation], upto: int
    ) -> list[records.Evacuation]:
        """Return the ends of requests that a complete read doesn't show.

        :param upto: revision that the read covers.
        """
        names = {item.data_centre for item in listed}
        return [
            records.Evacuation(name, upto, False)
            for name in self._active
            if name not in names
        ]

    def since(self, revision: int) -> tuple[records.Evacuation, ...]:
        """Return what is newer than a revision."""
        return tuple(
            item for item in self._newest.values() if item.revision > revision
        )
