"""Test that decisions import neither programs nor modules that do I/O."""

from __future__ import annotations

import ast
import pathlib

import pytest

import teaseldock

LIBRARY = pathlib.Path(teaseldock.__file__).parent
FORBIDDEN = {
    'asyncio',
    'logging',
    'logbook',
    'os',
    'select',
    'selectors',
    'socket',
    'subprocess',
    'teaseldock_agent',
    'teaseldock_balancer',
    'teaseldock_edge',
    'threading',
    'time',
    'tornado',
    'urllib',
}
#: This module reads its own IDL file at import, and no other file.
MAY_READ_FILES = {'wire.py'}


def imported(path: pathlib.Path) -> set[str]:
    """Return the top-level names that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.split('.')[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split('.')[0])
    return names


@pytest.mark.parametrize(
    'path', sorted(LIBRARY.rglob('*.py')), ids=lambda p: p.name
)
def test_library_does_no_io(path: pathlib.Path) -> None:
    """A module of the library uses no socket, loop, clock or process."""
    found = imported(path) & FORBIDDEN
    if path.name not in MAY_READ_FILES:
        found |= imported(path) & {'pathlib'}
    assert not found


def test_decisions_do_not_know_the_protocol() -> None:
    """Only the codec of CoAP imports the CoAP library."""
    users = {
        path.name
        for path in LIBRARY.rglob('*.py')
        if 'aiocoap' in imported(path)
    }
    assert users == {'coap.py'}


#: Terms of the users' platform that only the platform package may use.
PLATFORM_WORDS = (
    'kv-range',
    'kv-watch',
    'TEASELDOCK_BOOT',
    'internalPorts',
    'datagramAddr',
    'warmupLeftMs',
    'sloMs',
    'machineClass',
)


def test_only_the_translation_knows_the_platform() -> None:
    """All other packages use the product's own terms."""
    root = root_of_repository()
    folders = ('packages', 'soak', 'bench', 'standins', 'tools', 'examples')
    paths = [
        path
        for folder in folders
        for path in sorted((root / folder).rglob('*.py'))
    ]
    assert len(paths) > len(folders)
    for path in paths:
        text = path.read_text()
        for word in PLATFORM_WORDS:
            assert word not in text, f'{path} says {word}'


def test_the_translation_hides_no_standard_module() -> None:
    """A package at platform/ would hide the module of that name."""
    assert not (root_of_repository() / 'platform' / '__init__.py').exists()


def root_of_repository() -> pathlib.Path:
    """Return the root folder of the repository."""
    return LIBRARY.parent.parent.parent
