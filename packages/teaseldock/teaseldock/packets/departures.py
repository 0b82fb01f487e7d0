"""Track servers that are leaving although their entries don't say so.

An alert may report a departure before the entry arrives, and a store that was
restored from an older copy shows the entry as it was before the server
announced its departure. Entries are stored and forwarded as published. If they
were forwarded as leaving under their older position, they would block the
entries that report the departure, and a process that had received all changes
would go on sending flows to the server.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records


class Departures:
    """Servers that are leaving, stored apart from their entries."""

    def __init__(self) -> None:
        """Create a state without departures."""
        # By identifier, the position of an alert that is newer than the entry.
        self._alerted: dict[str, int] = {}
        # Runs that were leaving before the store was restored from an older
        # copy, by the position up to which the copy may not show it.
        self._retained: dict[tuple[str, int], int] = {}

    def note_alert(self, identifier: str, position: int) -> None:
        """Record an alert that a server is leaving."""
        self._alerted[identifier] = position

    def retain(
        self, runs: typing.Iterable[tuple[str, int]], upto: int
    ) -> None:
        """Keep runs marked as leaving, whatever a copy of the store says.

        A run that announced its departure never becomes available again.

        :param upto: position that the first read of the copy covers; entries
            written later are used as they are.
        """
        self._retained = dict.fromkeys(runs, upto)

    def is_alerted(self, target: records.Target) -> bool:
        """Return whether an alert newer than an entry reports a departure."""
        return self._alerted.get(target.identifier, 0) > target.revision

    def effective_entry(self, target: records.Target) -> records.Target:
        """Return an entry with its known departure applied."""
        retained_upto = self._retained.get(target.run, 0)
        if self.is_alerted(target) or retained_upto >= target.revision:
            return target._replace(draining=True)
        return target

    def drop_covered_alerts(self, upto: int) -> bool:
        """Drop alerts that entries now include; return whether any were.

        :param upto: position up to which all entries are known.
        """
        later = {
            name: position
            for name, position in self._alerted.items()
            if position > upto
        }
        changed = len(later) < len(self._alerted)
        self._alerted = later
        return changed

    def retain_only(self, runs: typing.Container[tuple[str, int]]) -> None:
        """Drop all retained runs but the given ones."""
        self._retained = {
            run: upto for run, upto in self._retained.items() if run in runs
        }
