"""Know that servers leave although their entries don't say so.

An alert may tell it before the entry comes, and a store that came back from an
older copy shows the entry as it was before the server said so. Entries are
kept and told to others as they were published; told as leaving under their
older position, they would stand in the way of the ones that say it, and
whoever had all changes would go on bringing flows to the server.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from teaseldock.packets import records


class Departures:
    """Servers that leave, apart from their entries."""

    def __init__(self) -> None:
        """Start without any."""
        # By identifier, the position of an alert that is newer than the entry.
        self._alerted: dict[str, int] = {}
        # Runs that were known to leave before the store came back from an
        # older copy, by the position up to which the copy may not know it.
        self._retained: dict[tuple[str, int], int] = {}

    def note_alert(self, identifier: str, position: int) -> None:
        """Note an alert that a server leaves."""
        self._alerted[identifier] = position

    def retain(
        self, runs: typing.Iterable[tuple[str, int]], upto: int
    ) -> None:
        """Keep which runs leave, though a copy of the store may not say so.

        A run that has said that it leaves never comes back.

        :param upto: position that the first read of the copy covers; entries
            written later count as they are.
        """
        self._retained = dict.fromkeys(runs, upto)

    def is_alerted(self, target: records.Target) -> bool:
        """Tell whether an alert newer than an entry says that it leaves."""
        return self._alerted.get(target.identifier, 0) > target.revision

    def effective_entry(self, target: records.Target) -> records.Target:
        """Return an entry as it is to be used."""
        retained_upto = self._retained.get(target.run, 0)
        if self.is_alerted(target) or retained_upto >= target.revision:
            return target._replace(draining=True)
        return target

    def drop_covered_alerts(self, upto: int) -> bool:
        """Drop alerts that entries tell by now; tell whether there were any.

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
        """Forget what is retained of all but some runs."""
        self._retained = {
            run: upto for run, upto in self._retained.items() if run in runs
        }
