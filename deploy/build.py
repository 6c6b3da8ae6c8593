"""Builds the deployment: pinned libraries and the project under `target/`.

Explanation:
    Libraries are reinstalled only when their pinned versions change; the
    project's own packages are copied on every build.
"""

import compileall
import hashlib
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
INSTALL_FOLDER = ROOT / 'target' / 'deps'
DIGEST_FILE = ROOT / 'target' / 'libraries.sha256'
CONSTRAINTS_FILE = ROOT / 'constraints.txt'
LIBRARIES = (
    'cbor2',
    'h11',
    'hdrhistogram',
    'httpcore',
    'prometheus-client',
    'pydantic',
    'trio',
    'websockets',
)
PACKAGES = (
    ROOT / 'packages' / 'core' / 'cactushead_core',
    ROOT / 'packages' / 'node' / 'cactushead_node',
    ROOT / 'platform' / 'cactushead_platform',
)


def main() -> None:
    """Installs the libraries if outdated, copies and compiles the packages."""
    _install_libraries()
    for source in PACKAGES:
        target = INSTALL_FOLDER / source.name
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(
            source,
            target,
            ignore=shutil.ignore_patterns('tests', '__pycache__'),
        )
    compileall.compile_dir(INSTALL_FOLDER, quiet=1, workers=1)


def _install_libraries() -> None:
    pinned = CONSTRAINTS_FILE.read_bytes() + ' '.join(LIBRARIES).encode('utf-8')
    digest = hashlib.sha256(pinned).hexdigest()
    if DIGEST_FILE.exists() and DIGEST_FILE.read_text() == digest:
        return
    shutil.rmtree(INSTALL_FOLDER, ignore_errors=True)
    subprocess.run(
        [
            sys.executable,
            *('-m', 'pip', 'install', '-q', '--target', str(INSTALL_FOLDER)),
            *('-c', str(CONSTRAINTS_FILE)),
            *LIBRARIES,
        ],
        check=True,
    )
    DIGEST_FILE.write_text(digest)


if __name__ == '__main__':
    main()
