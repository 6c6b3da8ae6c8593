"""Tests that the documentation names the commands and client settings."""

import dataclasses
from pathlib import Path

import pytest
from cactushead_cli.addresses import ENTRIES_VARIABLE, ClientSettings
from cactushead_cli.commands import Cactushead

ROOT = Path(__file__).resolve().parents[4]
README = (ROOT / 'README.md').read_text(encoding='utf-8')
OPERATIONS = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')


@pytest.mark.parametrize(
    'name',
    [name for name in dir(Cactushead()) if not name.startswith('_')],
)
def test_command_is_in_the_readme(name):
    assert name in README


@pytest.mark.parametrize('field', dataclasses.fields(ClientSettings))
def test_client_setting_is_documented(field):
    assert f'| `{field.name}` |' in OPERATIONS


def test_environment_variable_is_documented():
    assert ENTRIES_VARIABLE in OPERATIONS
