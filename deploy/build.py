"""Install everything that the roles import under target/deps."""

from __future__ import annotations

import compileall
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / 'target' / 'deps'
REQUIREMENTS = ROOT / 'deploy' / 'requirements.txt'
#: Copy of the requirements installed in DEPS. If it differs from REQUIREMENTS,
#: all libraries are reinstalled.
INSTALLED = DEPS / 'requirements.txt'
PACKAGES = {
    'teaseldock': ROOT / 'packages/teaseldock/teaseldock',
    'teaseldock_edge': ROOT / 'packages/teaseldock-edge/teaseldock_edge',
    'teaseldock_platform': ROOT / 'platform/teaseldock_platform',
}
#: Optimization level of the compiled files. The roles run with -OO, which only
#: loads files compiled at this level. The repository is read-only where they
#: run, so that without these files each start would compile every module.
OPTIMIZE = 2


def install_libraries() -> None:
    """Install the libraries unless DEPS already contains them."""
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
    """Copy the project's own packages and delete modules that are gone.

    Unchanged files are not touched: processes may start from this folder
    during a build, and must find every module.
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
    """Replace a copy atomically if its content differs."""
    content = source.read_bytes()
    if copy.exists() and copy.read_bytes() == content:
        return
    copy.parent.mkdir(parents=True, exist_ok=True)
    temporary = copy.with_suffix('.new')
    temporary.write_bytes(content)
    temporary.replace(copy)


def main() -> None:
    """Install the libraries, copy the packages and compile everything."""
    install_libraries()
    copy_packages()
    if not compileall.compile_dir(DEPS, quiet=1, optimize=OPTIMIZE):
        raise SystemExit('build: a module does not compile; see above')


if __name__ == '__main__':
    main()
