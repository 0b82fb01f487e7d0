"""Order the store's changes across restores from an older copy.

A store that is restored from a copy assigns revisions again, so a revision
alone shows neither which state is newer nor which states are equal. The store
also reports its era: how often it was restored. A position combines the era
and the revision in one number. Positions compare by era first: state of an
older era is replaced by anything read in a later one.
"""

from __future__ import annotations

#: Bits of a position that hold the revision; the era is above them. Messages
#: between processes have 64 bits for both.
REVISION_BITS = 48
#: Largest era: a position fits into the 64 bits that messages have for it.
MAX_ERA = (1 << 64 - REVISION_BITS) - 1
_REVISION_MASK = (1 << REVISION_BITS) - 1


def make(era: int, revision: int) -> int:
    """Return the position of a revision.

    :param era: how often the store was restored from an older copy, 0 if it
        doesn't report that.
    """
    return era << REVISION_BITS | revision & _REVISION_MASK


def era(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision(position: int) -> int:
    """Return the store's revision of a position."""
    return position & _REVISION_MASK


def same_era(one: int, other: int) -> bool:
    """Return whether two positions belong to the same era."""
    return era(one) == era(other)
