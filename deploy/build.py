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
    """Copy the project's own packages as they are now."""
    for name, source in PACKAGES.items():
        shutil.rmtree(DEPS / name, ignore_errors=True)
        shutil.copytree(
            source,
            DEPS / name,
            ignore=shutil.ignore_patterns('__pycache__'),
        )


def main() -> None:
    """Build."""
    install_libraries()
    copy_packages()
    if not compileall.compile_dir(DEPS, quiet=1, optimize=OPTIMIZE):
        raise SystemExit('build: a module does not compile; see above')


if __name__ == '__main__':
    main()
