"""Name what decoders raise for data that comes from outside this process."""

from __future__ import annotations

import msgspec

#: What JSON, MessagePack, base64 and number decoders raise for data that they
#: can't decode. Lists nested a thousand deep raise RecursionError, which is
#: none of the others.
UNDECODABLE: tuple[type[Exception], ...] = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)
#: Largest number of characters of a problem. Errors quote the value that they
#: refuse, which may be a megabyte.
MAX_PROBLEM_CHARS = 200


def problem(error: Exception) -> str:
    """Return the text of an error, shortened to one line of a log."""
    text = str(error) or type(error).__name__
    if len(text) <= MAX_PROBLEM_CHARS:
        return text
    return f'{text[:MAX_PROBLEM_CHARS]}... ({len(text)} characters)'
