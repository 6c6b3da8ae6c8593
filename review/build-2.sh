#!/bin/sh
# Checks the stand-ins and cases of the second review; they need only Python.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
folders = ['standins-2', *(str(number) for number in range(6, 11))]
for folder in folders:
    for path in sorted(pathlib.Path(folder).glob('*.py')):
        compile(path.read_text(encoding='utf-8'), str(path), 'exec')
P
