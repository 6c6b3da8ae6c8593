"""Tests of the client settings and their precedence."""

import pytest
from cactushead_cli.addresses import (
    parse_client_settings,
    resolve_client_settings,
)
from cactushead_cli.client import UsageError
from cactushead_core.errors import SettingsError

VARIABLES = {'CACTUSHEAD_ENTRIES': 'http://127.0.0.1:2'}


def make_settings_file(tmp_path):
    path = tmp_path / 'client.json'
    path.write_text('{"entries": ["http://127.0.0.1:3"], "timeout_s": 2}')
    return str(path)


def test_option_takes_precedence_over_file_and_environment(tmp_path):
    settings = resolve_client_settings(
        'http://127.0.0.1:1', make_settings_file(tmp_path), VARIABLES
    )
    assert settings.entries == ('http://127.0.0.1:1',)
    assert settings.timeout_s == 2


def test_file_takes_precedence_over_environment(tmp_path):
    settings = resolve_client_settings(
        '', make_settings_file(tmp_path), VARIABLES
    )
    assert settings.entries == ('http://127.0.0.1:3',)


def test_environment_takes_precedence_over_default():
    assert resolve_client_settings('', '', VARIABLES).entries == (
        'http://127.0.0.1:2',
    )
    assert resolve_client_settings('', '', {}).entries == (
        'http://127.0.0.1:8470',
    )


def test_all_findings_of_settings_are_reported():
    with pytest.raises(SettingsError) as caught:
        parse_client_settings(
            b'{"entries": ["nowhere"], "timeout_s": -1, "port": 1}'
        )
    places = [finding.place for finding in caught.value.findings]
    assert sorted(places) == ['entries.0', 'port', 'timeout_s']


@pytest.mark.parametrize('body', [b'', b'[]', b'{"entries": []}', b'\xff'])
def test_malformed_settings_raise_settings_error(body):
    with pytest.raises(SettingsError):
        parse_client_settings(body)


@pytest.mark.parametrize('text', ['127.0.0.1:1', ' , ', 'http://a,b'])
def test_malformed_addresses_raise_usage_error(text):
    with pytest.raises(UsageError):
        resolve_client_settings(text, '', {})
