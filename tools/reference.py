"""Generate docs/reference from the code, so that both stay consistent."""

from __future__ import annotations

import asyncio
import json
import pathlib
import typing

from bench import path
from teaseldock import exceptions
from teaseldock import inventory
from teaseldock_agent import application as agent_application
from teaseldock_balancer import application as balancer_application
from teaseldock_edge import admin
from teaseldock_edge import settings

FOLDER = pathlib.Path(__file__).parent.parent / 'docs' / 'reference'
_NOTICE = 'Written by `python -m tools.reference`; change the code instead.\n'


def settings_page() -> str:
    """Return the page of settings."""
    lines = [
        '# Settings',
        '',
        _NOTICE,
        '| flag | variable | default | form | range | program | meaning |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    for item in settings.TABLE:
        span = f'{item.low:g}..{item.high:g}' if item.high else ''
        default = 'must be given' if item.default is None else item.default
        lines.append(
            f'| `--{item.name}` | `{item.variable}` | {default} | '
            f'{item.unit} | {span} | {item.scope} | {item.about} |'
        )
    return '\n'.join(lines) + '\n'


def errors_page() -> str:
    """Return the page of error codes."""
    lines = [
        '# Errors',
        '',
        _NOTICE,
        'Each message reads `CODE place: problem; remedy`.',
        '',
        '| code | kind | meaning | exit code |',
        '| --- | --- | --- | --- |',
    ]
    for kind in _subclasses(exceptions.TeaseldockError):
        meaning = (kind.__doc__ or '').splitlines()[0]
        lines.append(
            f'| {kind.code} | {kind.__name__} | {meaning} | '
            f'{kind.exit_code} |'
        )
    return '\n'.join(lines) + '\n'


def _subclasses(
    base: type[exceptions.TeaseldockError],
) -> list[type[exceptions.TeaseldockError]]:
    return sorted(base.__subclasses__(), key=lambda kind: kind.code)


def documents_page() -> str:
    """Return the page of the formats of register and rules."""
    parts = ['# Register and rules', '', _NOTICE]
    parts.append(
        'Each document is JSON under a key of the configuration service: '
        '`register`, `rules`, or a part such as `rules.payroll`. All parts '
        'are joined and checked as a whole. Examples: `examples/`.\n'
    )
    for title, kind in (
        ('Register', inventory.Register),
        ('Rules', inventory.Rules),
    ):
        schema = json.dumps(inventory.json_schema(kind), indent=1)
        parts.append(f'## {title}\n\n```json\n{schema}\n```\n')
    return '\n'.join(parts)


async def _program_statuses() -> list[tuple[str, dict[str, typing.Any]]]:
    values = path._values()
    balancer = balancer_application.BalancerProgram(values)
    agent = agent_application.AgentProgram(values)
    return [('balancer', balancer.status()), ('agent', agent.status())]


def metrics_page() -> str:
    """Return the page of metrics."""
    lines = [
        '# Metrics',
        '',
        _NOTICE,
        'All are on `/metrics` of the admin address. Tables have a label',
        '`kind` for what has occurred, targets a label `service`.',
        '',
    ]
    for program, status in asyncio.run(_program_statuses()):
        lines.append(f'## {program}\n')
        collector = admin.StatusCollector(
            lambda found=status: found, program=program
        )
        lines += [
            f'- `{metric.name}` ({metric.type})'
            for metric in collector.collect()
        ]
        lines.append('')
    return '\n'.join(lines)


PAGES: dict[str, typing.Callable[[], str]] = {
    'settings.md': settings_page,
    'errors.md': errors_page,
    'documents.md': documents_page,
    'metrics.md': metrics_page,
}


def main() -> None:
    """Write all pages."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, build in PAGES.items():
        (FOLDER / name).write_text(build())


if __name__ == '__main__':
    main()
