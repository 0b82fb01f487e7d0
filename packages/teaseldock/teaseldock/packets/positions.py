"""Order what the store published across returns from an older copy.

A store that comes back from a copy gives revisions out again, so that a
revision alone says neither what is newer nor what is the same. It tells how
often it came back, its era. A position is the era and the revision in one
number: positions compare by era first, and what is known under an older era
loses against all that is read in a later one.
"""

from __future__ import annotations

#: Bits of a position that hold the revision; the era is above them. Messages
#: between processes have 64 bits for both.
REVISION_BITS = 48
_REVISION_MASK = (1 << REVISION_BITS) - 1


def make(era: int, revision: int) -> int:
    """Return the position of a revision.

    :param era: how often the store came back from an older copy, 0 where it
        doesn't tell.
    """
    return era << REVISION_BITS | revision & _REVISION_MASK


def era(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision(position: int) -> int:
    """Return the store's revision of a position."""
    return position & _REVISION_MASK


def same_era(one: int, other: int) -> bool:
    """Tell whether two positions are of one history."""
    return era(one) == era(other)
