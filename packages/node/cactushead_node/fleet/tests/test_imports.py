"""What a process imports before it serves; each import delays its start."""

import subprocess
import sys

import pytest

PROBE = 'import sys, {module}; print(*sys.modules)'


@pytest.mark.parametrize(
    ('module', 'spared'),
    [
        ('cactushead_node.fleet.entry_process', 'cactushead_core.leasing'),
        ('cactushead_node.fleet.agent_process', 'cactushead_core.fleet'),
        ('cactushead_node.fleet.agent_process', 'pydantic'),
    ],
)
def test_process_imports_what_its_role_needs(module, spared):
    done = subprocess.run(
        [sys.executable, '-c', PROBE.format(module=module)],
        capture_output=True,
        check=True,
        text=True,
    )
    names = done.stdout.split()
    assert module in names
    assert spared not in names
