"""Define all settings and read them from flags and environment."""

from __future__ import annotations

import re
import typing

from teaseldock import exceptions
from teaseldock import flow

ENVIRONMENT_PREFIX = 'TEASELDOCK_'
_NAME = re.compile('^[a-z0-9][a-z0-9-]{0,62}$')
_MIN_KEY_BYTES = 16


class Setting(typing.NamedTuple):
    """One setting of a program.

    :ivar name: name of the flag without dashes in front. The variable is
        ``TEASELDOCK_`` and the name in upper case with underscores.
    :ivar default: default as text, or None if the setting is required.
    :ivar kind: ``name``, ``endpoint``, ``endpoints``, ``url``, ``keys``,
        ``number`` or ``level``.
    :ivar unit: unit or form of the value.
    :ivar low: lowest allowed number.
    :ivar high: highest allowed number.
    :ivar scope: programs that have it: ``both``, ``balancer`` or ``agent``.
    :ivar about: description in one line, for help and reference.
    """

    name: str
    default: str | None
    kind: str
    unit: str
    low: float
    high: float
    scope: str
    about: str

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.replace('-', '_').upper()


def _setting(
    name: str,
    default: str | None,
    kind: str,
    unit: str,
    about: str,
    *,
    low: float = 0,
    high: float = 0,
    scope: str = 'both',
) -> Setting:
    return Setting(name, default, kind, unit, low, high, scope, about)


TABLE = (
    _setting('name', None, 'name', 'text', 'Name of this instance.'),
    _setting('data-centre', None, 'name', 'text', 'Its data centre.'),
    _setting(
        'peer', None, 'endpoint', 'host:port', 'UDP and TCP, other processes.'
    ),
    _setting('admin', None, 'endpoint', 'host:port', 'TCP, operators.'),
    _setting(
        'listen',
        None,
        'endpoint',
        'host:port',
        'UDP, packets from the fabric.',
        scope='balancer',
    ),
    _setting(
        'fabric',
        None,
        'endpoint',
        'host:port',
        'UDP, where answers to callers go.',
        scope='agent',
    ),
    _setting(
        'platform', None, 'url', 'URL', 'Configuration service and live list.'
    ),
    _setting(
        'seal-keys',
        None,
        'keys',
        'hex,hex',
        'Keys between processes, the newest first; two during a change.',
    ),
    _setting(
        'hash-key', None, 'keys', 'hex', 'Key of the flow hash, 16 bytes.'
    ),
    _setting(
        'peers',
        '',
        'endpoints',
        'host:port,...',
        'Processes to contact at start, in case the platform is down.',
    ),
    _setting(
        'list-interval',
        '1.0',
        'number',
        'seconds',
        'Time between two reads of the live list.',
        low=0.2,
        high=60,
    ),
    _setting(
        'start-spread',
        '0',
        'number',
        'seconds',
        'Random wait before the first read of the platform.',
        high=60,
    ),
    _setting(
        'stop-limit',
        '30',
        'number',
        'seconds',
        'Longest graceful stop.',
        low=1,
        high=600,
    ),
    _setting(
        'linger',
        '3.0',
        'number',
        'seconds',
        'Time without packets after which a stopping balancer ends.',
        high=60,
        scope='balancer',
    ),
    _setting(
        'log-level',
        'info',
        'level',
        'debug, info, warning or error',
        'Lowest level that is logged.',
    ),
)
LEVELS = ('debug', 'info', 'warning', 'error')


def for_program(scope: str) -> list[Setting]:
    """Return the settings of ``balancer`` or ``agent``."""
    return [item for item in TABLE if item.scope in ('both', scope)]


def _parse_number(setting: Setting, text: str) -> float:
    value = float(text)
    if not setting.low <= value <= setting.high:
        raise ValueError(f'not within {setting.low:g}..{setting.high:g}')
    return value


def _parse_keys(setting: Setting, text: str) -> tuple[bytes, ...]:
    keys = tuple(bytes.fromhex(part) for part in text.split(',') if part)
    if not keys:
        raise ValueError('no key')
    for key in keys:
        if not _MIN_KEY_BYTES <= len(key) <= 64:
            raise ValueError(f'a key has {len(key)} bytes, must be 16..64')
    return keys


def _parse_value(setting: Setting, text: str) -> typing.Any:
    match setting.kind:
        case 'name':
            if not _NAME.match(text):
                raise ValueError('allowed: lower-case letters, digits, dashes')
            return text
        case 'endpoint':
            return flow.parse_endpoint(text)
        case 'endpoints':
            parts = [part for part in text.split(',') if part]
            return [flow.parse_endpoint(part) for part in parts]
        case 'url':
            if not text.startswith(('http://', 'https://')):
                raise ValueError('not an http or https URL')
            return text.rstrip('/')
        case 'keys':
            return _parse_keys(setting, text)
        case 'number':
            return _parse_number(setting, text)
        case 'level':
            if text not in LEVELS:
                raise ValueError('not a log level')
            return text
    raise ValueError(f'unknown kind of setting {setting.kind}')


def read(
    scope: str,
    flags: typing.Mapping[str, str | None],
    environment: typing.Mapping[str, str],
) -> dict[str, typing.Any]:
    """Return validated values by setting name.

    A flag takes precedence over the environment, and that over the default.

    :param scope: ``balancer`` or ``agent``.
    :param flags: as docopt returns them, with leading dashes.
    :param environment: environment variables by name.
    :raises SettingError: if a value is missing or invalid; names the setting,
        the value and the remedy.
    """
    values = {}
    for setting in for_program(scope):
        text = flags.get(f'--{setting.name}')
        if text is None:
            text = environment.get(setting.variable, setting.default)
        place = f'--{setting.name}'
        if text is None:
            raise exceptions.SettingError(
                place,
                'no value',
                remedy=f'give the flag or set {setting.variable}',
            )
        try:
            values[setting.name] = _parse_value(setting, text)
        except ValueError as error:
            shown = '(hidden)' if setting.kind == 'keys' else repr(text)
            raise exceptions.SettingError(
                place,
                f'{shown} is invalid ({error})',
                remedy=f'give {setting.unit}',
            ) from error
    return values


def unknown_variable_warnings(
    scope: str, environment: typing.Mapping[str, str]
) -> list[str]:
    """Return a warning for each variable that is not a setting."""
    known = {item.variable for item in TABLE}
    return [
        f'{name} is not a setting; see teaseldock-{scope} --help'
        for name in sorted(environment)
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known
    ]


def options_text(scope: str) -> str:
    """Return the options section of the help of a program."""
    lines = []
    for setting in for_program(scope):
        flag = f'  --{setting.name}=<value>'
        default = ''
        if setting.default is not None:
            default = f' Default {setting.default or "none"}.'
        lines.append(
            f'{flag:<26}  {setting.about} Form: {setting.unit}.{default}'
        )
    return '\n'.join(lines)
