"""Store which data centres the operator has evacuated."""

from __future__ import annotations

import typing

from teaseldock.packets import records


class Evacuations:
    """The newest request for each data centre, active or withdrawn.

    Withdrawn requests are kept: lagging processes need them, and an old
    message must not bring the request back. There are at most as many as data
    centres.
    """

    def __init__(self) -> None:
        """Create a state without requests."""
        self._newest: dict[str, records.Evacuation] = {}
        self._active: frozenset[str] = frozenset()
        # Data centres that were evacuated before the store was restored from
        # an older copy, and until when they stay so without a new request.
        self._retained: dict[str, float] = {}
        self._retained_upto = 0

    @property
    def active(self) -> frozenset[str]:
        """Return the data centres that get no new flows."""
        return self._active.union(self._retained)

    def retain_active(self, until: float, upto: int) -> None:
        """Keep the active evacuations for a while, whatever a copy says.

        The store was restored from an older copy, which may lack the requests.
        Otherwise flows would return to a data centre that is being emptied,
        until the operator has written its request again.

        :param until: seconds on the clock of :meth:`expire_retained`.
        :param upto: position up to which the copy was read; an end at or
            before it only means that the copy lacks a request.
        """
        self._retained_upto = upto
        self._retained = dict.fromkeys(self.active, until)

    def expire_retained(self, now: float) -> bool:
        """End retained evacuations that are due; return whether any ended."""
        ended = [
            name for name, until in self._retained.items() if now >= until
        ]
        for name in ended:
            del self._retained[name]
        return any(name not in self._active for name in ended)

    def apply(
        self, items: typing.Iterable[records.Evacuation]
    ) -> list[records.Evacuation]:
        """Apply requests that are newer than the stored ones; return those."""
        fresh = [item for item in items if self._is_newer(item)]
        for item in fresh:
            if item.active or item.revision > self._retained_upto:
                self._retained.pop(item.data_centre, None)
        self._keep(fresh)
        return fresh

    def _keep(self, items: list[records.Evacuation]) -> None:
        for item in items:
            self._newest[item.data_centre] = item
        if items:
            self._active = frozenset(
                name for name, item in self._newest.items() if item.active
            )

    def _is_newer(self, item: records.Evacuation) -> bool:
        known = self._newest.get(item.data_centre)
        return known is None or known.revision < item.revision

    def end_unlisted(
        self, listed: typing.Iterable[records.Evacuation], upto: int
    ) -> list[records.Evacuation]:
        """End the requests that a full read doesn't list; return the ends.

        :param upto: position that the read covers.
        """
        names = {item.data_centre for item in listed}
        ended = [
            records.Evacuation(name, upto, False)
            for name in self._active
            if name not in names
        ]
        self._keep(ended)
        return ended

    def since(self, revision: int) -> tuple[records.Evacuation, ...]:
        """Return the requests that are newer than a revision."""
        return tuple(
            item for item in self._newest.values() if item.revision > revision
        )
