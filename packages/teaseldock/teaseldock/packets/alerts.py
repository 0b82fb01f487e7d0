"""Store the newest urgent changes, apart from all others.

Servers leave, data centres are evacuated and routes are dropped while a
thousand new routes, or the start of half of the processes, use up the bytes
that processes may send each other. The changes that must be known within
seconds are small. When they were sent in one stream with all others, they
waited behind those: up to 6.9 s among 195 processes on links of 2 to 200
Mbit/s.
"""

from __future__ import annotations

import collections
import itertools

from teaseldock.packets import positions
from teaseldock.packets import records

#: Alerts kept for lagging processes: a release of 300 servers, each of which
#: leaves and is removed. A process that lags further needs all entries anyway.
ALERTS_KEPT = 600
#: Alerts in one answer, and their bytes, with which it fits into one datagram.
#: The alerts of one revision are sent together even if they are more: those of
#: 50 routes that one configuration drops take 1200 bytes.
ALERTS_PER_ANSWER = 25
ANSWER_BYTES = 1200
#: Largest encoding of an alert without its subject, bytes.
_ALERT_OVERHEAD_BYTES = 14


class AlertLog:
    """Log of alerts by the store's revision, complete after one revision."""

    def __init__(self) -> None:
        """Create an empty log."""
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
        """Set the revision after which the log is complete, if unset."""
        if self._since is None:
            self._since = revision

    def mark_incomplete(self, upto: int) -> None:
        """Record that alerts up to a revision may be missing.

        Otherwise a process that lacks them would take the alerts here for all,
        and send flows to a server or over a route that is gone, with proof of
        the contrary.
        """
        self._since = max(self.since, upto)

    def drop_other_eras(self, revision: int) -> None:
        """Drop the alerts of all eras but that of a revision.

        The store's earlier history does not continue.
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
        """Store an alert; return whether it was new."""
        key = alert.kind, alert.subject
        if self._latest.get(key, 0) >= alert.revision:
            return False
        self._latest[key] = alert.revision
        self._newest = max(self._newest, alert.revision)
        self._items.append(alert)
        if len(self._items) > ALERTS_KEPT:
            self._evict_oldest()
        return True

    def _evict_oldest(self) -> None:
        oldest = self._items.popleft()
        key = oldest.kind, oldest.subject
        if self._latest.get(key) == oldest.revision:
            del self._latest[key]
        self._since = max(self._since or 0, oldest.revision)

    def revision_of(self, kind: records.AlertKind, subject: str) -> int:
        """Return the revision of a subject's newest alert, 0 for none."""
        return self._latest.get((kind, subject), 0)

    def after(self, revision: int, upto: int) -> records.Alerts | None:
        """Return the alerts that a process lacks.

        :param revision: up to which the process has all alerts.
        :param upto: revision up to which all alerts are known here.
        :returns: None if nothing is known. If some of the missing alerts are
            unknown or no longer kept, the answer has the others, and its
            ``upto`` does not exceed ``revision``.
        """
        if self._since is None:
            return None
        if revision < self._since:
            upto = revision
        items = sorted(
            (item for item in self._items if item.revision > revision),
            key=lambda item: item.revision,
        )
        kept = _first_that_fit(items)
        if len(kept) < len(items):
            upto = min(upto, kept[-1].revision)
        return records.Alerts(revision, upto, kept, self._since)


def _first_that_fit(items: list[records.Alert]) -> list[records.Alert]:
    """Return the oldest alerts, as many as one answer holds.

    Names may be long: other writers choose some of them. A larger datagram
    would be cut off by its receiver, which would ask for it again and again.
    Alerts of one revision stay together, since the receiver takes the revision
    of the last one for complete.

    :param items: the oldest first.
    """
    size = 0
    kept: list[records.Alert] = []
    groups = itertools.groupby(items, key=lambda item: item.revision)
    for _, group in groups:
        same = list(group)
        size += sum(
            len(item.subject.encode()) + _ALERT_OVERHEAD_BYTES for item in same
        )
        count = len(kept) + len(same)
        if kept and (count > ALERTS_PER_ANSWER or size > ANSWER_BYTES):
            break
        kept += same
    return kept


def alert_for_removal(removal: records.Removal) -> records.Alert:
    """Return the alert of a removed entry."""
    kind = records.AlertKind.GONE
    if removal.overwritten:
        kind = records.AlertKind.OVERWRITTEN
    return records.Alert(kind, removal.identifier, removal.revision)


def removal_from_alert(alert: records.Alert) -> records.Removal | None:
    """Return the removal that an alert reports, or None."""
    if alert.kind == records.AlertKind.GONE:
        return records.Removal(alert.subject, alert.revision)
    if alert.kind == records.AlertKind.OVERWRITTEN:
        return records.Removal(alert.subject, alert.revision, overwritten=True)
    return None


def alert_for_dropped_route(address: bytes, revision: int) -> records.Alert:
    """Return the alert of a dropped route."""
    kind = records.AlertKind.ROUTE_DROPPED
    return records.Alert(kind, address.hex(), revision)


def dropped_route_address(alert: records.Alert) -> bytes:
    """Return the packed address of a dropped route.

    :raises ValueError: if the subject is not hexadecimal.
    """
    return bytes.fromhex(alert.subject)
