"""Define every error of the library with its code and remedy."""

from __future__ import annotations


class TeaseldockError(Exception):
    """Base of all errors; the message names the place and the remedy.

    :cvar code: stable identifier, printed by the programs and the docs.
    :cvar exit_code: exit status of a program that ends on this error.
    """

    code = 'TD-000'
    exit_code = 1

    def __init__(self, place: str, problem: str, *, remedy: str) -> None:
        """Build the one-line message.

        :param place: setting, document path or message kind at fault.
        :param problem: what is wrong, with the value seen.
        :param remedy: what the reader should do.
        """
        self.place = place
        self.problem = problem
        self.remedy = remedy
        super().__init__(f'{self.code} {place}: {problem}; {remedy}')


class SettingError(TeaseldockError):
    """A flag or environment variable is missing or out of range."""

    code = 'TD-101'
    exit_code = 3


class DocumentError(TeaseldockError):
    """A register or rules document cannot be read at all."""

    code = 'TD-201'
    exit_code = 4


class InventoryError(TeaseldockError):
    """Register and rules do not fit together."""

    code = 'TD-202'
    exit_code = 5


class RevisionError(TeaseldockError):
    """A document has a revision that must not be accepted."""

    code = 'TD-203'
    exit_code = 6


class HeaderError(TeaseldockError):
    """A datagram carries no usable PROXY protocol header."""

    code = 'TD-301'


class SealError(TeaseldockError):
    """A message between processes fails authentication."""

    code = 'TD-302'


class MessageError(TeaseldockError):
    """An authenticated message cannot be decoded."""

    code = 'TD-303'


class ChallengeError(TeaseldockError):
    """An Echo value was not issued by this fleet."""

    code = 'TD-304'


class StartError(TeaseldockError):
    """A program cannot bind its address."""

    code = 'TD-401'
    exit_code = 7


class AdminError(TeaseldockError):
    """The admin address of a running program does not answer."""

    code = 'TD-402'
    exit_code = 8
