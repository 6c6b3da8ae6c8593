#!/bin/sh
# Builds the stand-ins of all scripts; they need nothing but Python.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
P
