"""Place what the platform's roles import under target/deps."""

from __future__ import annotations

import compileall
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / 'target' / 'deps'
REQUIREMENTS = ROOT / 'deploy' / 'requirements.txt'
#: Copy of the requirements that DEPS holds; another text installs anew.
INSTALLED = DEPS / 'requirements.txt'
PACKAGES = {
    'teaseldock': ROOT / 'packages/teaseldock/teaseldock',
    'teaseldock_edge': ROOT / 'packages/teaseldock-edge/teaseldock_edge',
    'teaseldock_platform': ROOT / 'platform/teaseldock_platform',
}
#: The roles run with -OO, which reads only files compiled so. The repository
#: can't be written there: without these files each start compiles anew.
OPTIMIZE = 2


def install_libraries() -> None:
    """Install the libraries unless they are there already."""
    wanted = REQUIREMENTS.read_text()
    if INSTALLED.exists() and INSTALLED.read_text() == wanted:
        return
    shutil.rmtree(DEPS, ignore_errors=True)
    subprocess.run(
        [sys.executable, '-m', 'pip', 'install', '-q', '--no-deps']
        + ['--disable-pip-version-check', '--root-user-action', 'ignore']
        + ['--target', str(DEPS), '-r', str(REQUIREMENTS)],
        check=True,
    )
    INSTALLED.write_text(wanted)


def copy_packages() -> None:
    """Copy the project's own packages as they are now.

    Files that are the same stay untouched: a build beside a fleet that runs
    from this folder must not take a module away just as a process starts.
    """
    for name, source in PACKAGES.items():
        wanted = {
            path.relative_to(source)
            for path in source.rglob('*')
            if path.is_file() and '__pycache__' not in path.parts
        }
        for path in wanted:
            copy_if_changed(source / path, DEPS / name / path)
        for path in (DEPS / name).rglob('*.py'):
            if path.relative_to(DEPS / name) not in wanted:
                path.unlink()


def copy_if_changed(source: pathlib.Path, copy: pathlib.Path) -> None:
    """Copy one file if its content differs."""
    content = source.read_bytes()
    if copy.exists() and copy.read_bytes() == content:
        return
    copy.parent.mkdir(parents=True, exist_ok=True)
    temporary = copy.with_suffix('.new')
    temporary.write_bytes(content)
    temporary.replace(copy)


def main() -> None:
    """Build."""
    install_libraries()
    copy_packages()
    if not compileall.compile_dir(DEPS, quiet=1, optimize=OPTIMIZE):
        raise SystemExit('build: a module does not compile; see above')


if __name__ == '__main__':
    main()
