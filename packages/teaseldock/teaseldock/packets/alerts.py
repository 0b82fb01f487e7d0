"""Keep the newest changes that a promise hangs on, apart from all others.

The load it answers: a server leaves, a data centre is emptied or a route is
dropped while a thousand new routes, or the start of half of the processes, use
up what processes may send each other. What must be known within seconds is
small; told in one stream with everything else, it waited for that: among 195
processes on links of 2 to 200 Mbit/s, up to 6.9 s.
"""

from __future__ import annotations

import collections

from teaseldock.packets import positions
from teaseldock.packets import records

#: Alerts kept for processes that lag: a release of 300 servers, each of which
#: leaves and is gone. Whoever lags further needs all entries anyway.
ALERTS_KEPT = 600
#: Alerts in one answer: they fit into one datagram with names of 20 bytes.
ALERTS_PER_ANSWER = 25


class AlertLog:
    """Alerts by the store's revision, complete from one revision on."""

    def __init__(self) -> None:
        """Start without an alert."""
        self._items: collections.deque[records.Alert] = collections.deque()
        self._latest: dict[tuple[int, str], int] = {}
        self._since: int | None = None
        self._newest = 0

    @property
    def newest(self) -> int:
        """Return the revision of the newest alert, 0 if there is none."""
        return self._newest

    @property
    def since(self) -> int:
        """Return the revision after which no alert is missing."""
        return self._since or 0

    def start_at(self, revision: int) -> None:
        """Note that all alerts after a revision will be here."""
        if self._since is None:
            self._since = revision

    def mark_incomplete(self, upto: int) -> None:
        """Note that alerts up to a revision may be missing.

        Whoever lacks them would take those that are here for all, and bring
        flows to a server or a route that is gone, with proof that it isn't.
        """
        self._since = max(self.since, upto)

    def drop_other_eras(self, revision: int) -> None:
        """Forget all of other eras than that of a revision.

        The store's history before is not the one that goes on.
        """
        items = [
            item
            for item in self._items
            if positions.same_era(item.revision, revision)
        ]
        self._items.clear()
        self._latest.clear()
        self._newest = 0
        self._since = revision
        for item in items:
            self.add(item)

    def add(self, alert: records.Alert) -> bool:
        """Keep an alert; tell whether it was not here yet."""
        key = alert.kind, alert.subject
        if self._latest.get(key, 0) >= alert.revision:
            return False
        self._latest[key] = alert.revision
        self._newest = max(self._newest, alert.revision)
        self._items.append(alert)
        if len(self._items) > ALERTS_KEPT:
            self._forget_oldest()
        return True

    def _forget_oldest(self) -> None:
        oldest = self._items.popleft()
        key = oldest.kind, oldest.subject
        if self._latest.get(key) == oldest.revision:
            del self._latest[key]
        self._since = max(self._since or 0, oldest.revision)

    def revision_of(self, kind: records.AlertKind, subject: str) -> int:
        """Return the revision of the newest alert of a subject, 0 if none."""
        return self._latest.get((kind, subject), 0)

    def after(self, revision: int, upto: int) -> records.Alerts | None:
        """Return what a process lacks that knows all alerts up to a revision.

        :param upto: revision up to which all alerts are known here.
        :returns: None if nothing is known. Where some of what it lacks isn't
            known or kept, the answer has what is, and goes no further than
            the revision asked for.
        """
        if self._since is None:
            return None
        if revision < self._since:
            upto = revision
        items = sorted(
            (item for item in self._items if item.revision > revision),
            key=lambda item: item.revision,
        )
        if len(items) > ALERTS_PER_ANSWER:
            items = items[:ALERTS_PER_ANSWER]
            upto = min(upto, items[-1].revision)
        return records.Alerts(revision, upto, items, self._since)


def alert_for_removal(removal: records.Removal) -> records.Alert:
    """Return the alert of an entry that is gone."""
    kind = records.AlertKind.GONE
    if removal.overwritten:
        kind = records.AlertKind.OVERWRITTEN
    return records.Alert(kind, removal.identifier, removal.revision)


def removal_from_alert(alert: records.Alert) -> records.Removal | None:
    """Return the removal that an alert tells of, or None."""
    if alert.kind == records.AlertKind.GONE:
        return records.Removal(alert.subject, alert.revision)
    if alert.kind == records.AlertKind.OVERWRITTEN:
        return records.Removal(alert.subject, alert.revision, overwritten=True)
    return None


def alert_for_dropped_route(address: bytes, revision: int) -> records.Alert:
    """Return the alert of a route that is dropped."""
    kind = records.AlertKind.ROUTE_DROPPED
    return records.Alert(kind, address.hex(), revision)


def dropped_route_address(alert: records.Alert) -> bytes:
    """Return the packed address of a route that is dropped.

    :raises ValueError: if the subject is none.
    """
    return bytes.fromhex(alert.subject)
