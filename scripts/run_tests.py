"""Runs the tests, except the known failures listed in KNOWN-RED.txt.

Each entry of KNOWN-RED.txt is one line `<pytest node id> | <command and seed>
| <what was seen> | <issue>`; lines that start with `#` are comments.
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / 'KNOWN-RED.txt'


def read_known_failures() -> list[str]:
    """Returns the entries of KNOWN-RED.txt, without comments."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text(encoding='utf-8').splitlines()
    return [line for line in lines if line.strip() and line[0] != '#']


def main() -> int:
    """Runs pytest for each test folder; returns the highest exit code."""
    entries = read_known_failures()
    deselect_options = [
        f'--deselect={entry.split("|")[0].strip()}' for entry in entries
    ]
    command = [sys.executable, '-m', 'pytest', *deselect_options]
    # Run from the root, the folder `platform` would shadow the module
    # `platform` of the standard library.
    suites = ((ROOT, 'packages'), (ROOT / 'platform', '.'))
    statuses = [
        subprocess.run([*command, tests], cwd=folder, check=False).returncode
        for folder, tests in suites
    ]
    for entry in entries:
        sys.stdout.write(f'known red: {entry}\n')
    return max(statuses)


if __name__ == '__main__':
    sys.exit(main())
