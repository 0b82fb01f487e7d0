"""Keep the audit trail of changes in a ring buffer."""

from __future__ import annotations

import collections
import typing

#: Records that a process keeps; older ones are in the log only.
AUDIT_LENGTH = 512


class AuditRecord(typing.NamedTuple):
    """One change at this process.

    :ivar in_force_at: wall-clock seconds since 1970 at this process.
    :ivar key: document, or ``membership/NAME``.
    :ivar revision: of the document, or incarnation of the member.
    :ivar publisher: who published the document; empty for a member.
    :ivar outcome: ``in force``, ``refused``, ``alarm`` or a member state.
    :ivar detail: what changed, or why it was refused.
    """

    in_force_at: float
    key: str
    revision: int
    publisher: str
    outcome: str
    detail: str


class AuditTrail:
    """Hold the latest records and return new ones once, for the log."""

    def __init__(self, *, length: int = AUDIT_LENGTH) -> None:
        """Create an empty audit trail.

        :param length: number of records kept.
        """
        self._records: collections.deque[AuditRecord] = collections.deque(
            maxlen=length
        )
        self._unlogged: collections.deque[AuditRecord] = collections.deque(
            maxlen=length
        )

    @property
    def records(self) -> list[AuditRecord]:
        """Return the records kept, oldest first."""
        return list(self._records)

    def add(self, record: AuditRecord) -> None:
        """Append one record."""
        self._records.append(record)
        self._unlogged.append(record)

    def drain(self) -> list[AuditRecord]:
        """Return the records added since the last call."""
        added = list(self._unlogged)
        self._unlogged.clear()
        return added
