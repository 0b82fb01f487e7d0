"""Test the validation of settings and its error messages."""

from __future__ import annotations

import pytest

from teaseldock import exceptions
from teaseldock_edge import settings

GOOD = {
    '--name': 'a-1',
    '--data-centre': 'north',
    '--peer': '127.0.0.1:5700',
    '--admin': '127.0.0.1:5900',
    '--fabric': '127.0.0.1:5600',
    '--platform': 'http://127.0.0.1:1',
    '--seal-keys': '00' * 16,
    '--hash-key': '11' * 16,
}


@pytest.mark.parametrize(
    ('flag', 'text', 'words'),
    [
        ('--name', 'A b', 'lower-case'),
        ('--peer', 'localhost', 'host:port'),
        ('--peer', '127.0.0.1:70000', '70000'),
        ('--platform', 'ftp://x', 'http'),
        ('--seal-keys', 'xyz', '(hidden)'),
        ('--seal-keys', '00', '16..64'),
        ('--stop-limit', '0', '1..600'),
        ('--list-interval', 'soon', 'soon'),
        ('--log-level', 'loud', 'debug'),
    ],
)
def test_mistakes_name_setting_value_and_remedy(
    flag: str, text: str, words: str
) -> None:
    """An invalid value gives an error of one line that names the flag."""
    with pytest.raises(exceptions.SettingError) as caught:
        settings.read('agent', {**GOOD, flag: text}, {})
    assert flag in str(caught.value)
    assert words in str(caught.value)
    assert '\n' not in str(caught.value)


def test_missing_setting_names_flag_and_variable() -> None:
    """The error for a missing setting names its environment variable."""
    flags = {key: value for key, value in GOOD.items() if key != '--peer'}
    with pytest.raises(exceptions.SettingError, match='TEASELDOCK_PEER'):
        settings.read('agent', flags, {})


def test_flags_go_before_the_environment() -> None:
    """A flag overrides a variable, and a variable overrides the default."""
    environment = {
        'TEASELDOCK_NAME': 'from-environment',
        'TEASELDOCK_STOP_LIMIT': '7',
    }
    values = settings.read('agent', GOOD, environment)
    assert values['name'] == 'a-1'
    assert values['stop-limit'] == 7.0


def test_unknown_variable_is_warned_of() -> None:
    """A misspelt variable gives a warning."""
    (warning,) = settings.unknown_variable_warnings(
        'agent', {'TEASELDOCK_NAEM': 'x'}
    )
    assert 'TEASELDOCK_NAEM' in warning
