"""Tests of the imports of a process, which delay its start."""

import subprocess
import sys

import pytest

PROBE = 'import sys, {module}; print(*sys.modules)'


@pytest.mark.parametrize(
    ('module', 'omitted'),
    [
        ('cactushead_node.fleet.entry_process', 'cactushead_core.leasing'),
        ('cactushead_node.fleet.agent_process', 'cactushead_core.fleet'),
        ('cactushead_node.fleet.agent_process', 'pydantic'),
    ],
)
def test_process_omits_modules_of_other_roles(module, omitted):
    done = subprocess.run(
        [sys.executable, '-c', PROBE.format(module=module)],
        capture_output=True,
        check=True,
        text=True,
    )
    names = done.stdout.split()
    assert module in names
    assert omitted not in names
