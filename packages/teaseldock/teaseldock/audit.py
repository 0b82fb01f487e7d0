"""Keep the audit trail of changes in a bounded ring."""

from __future__ import annotations

import collections
import typing

#: Changes that a process remembers; older ones are in the log only.
AUDIT_LENGTH = 512


class AuditRecord(typing.NamedTuple):
    """One change as this process saw it.

    :ivar in_force_at: wall-clock seconds since 1970 at this process.
    :ivar key: document, or ``membership/NAME``.
    :ivar revision: of the document, or incarnation of the member.
    :ivar publisher: who published; empty for changes nobody published.
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
    """Hold the last changes, and hand new ones out once for the log."""

    def __init__(self, *, length: int = AUDIT_LENGTH) -> None:
        """Start with no record.

        :param length: records kept.
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
        fresh = list(self._unlogged)
        self._unlogged.clear()
        return fresh
