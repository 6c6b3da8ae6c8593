"""Tests of finding the entries."""

import pytest
from cactushead_cli.addresses import find_entries, parse_client_settings
from cactushead_cli.client import UsageError
from cactushead_core.errors import SettingsError

VARIABLES = {'CACTUSHEAD_ENTRIES': 'http://127.0.0.1:2'}


def settings_file(tmp_path):
    path = tmp_path / 'client.json'
    path.write_text('{"entries": ["http://127.0.0.1:3"], "timeout_s": 2}')
    return str(path)


def test_option_goes_before_file_and_environment(tmp_path):
    found = find_entries(
        'http://127.0.0.1:1', settings_file(tmp_path), VARIABLES
    )
    assert found.entries == ('http://127.0.0.1:1',)
    assert found.timeout_s == 2


def test_file_goes_before_environment(tmp_path):
    found = find_entries('', settings_file(tmp_path), VARIABLES)
    assert found.entries == ('http://127.0.0.1:3',)


def test_environment_goes_before_default():
    assert find_entries('', '', VARIABLES).entries == ('http://127.0.0.1:2',)
    assert find_entries('', '', {}).entries == ('http://127.0.0.1:8470',)


def test_all_findings_of_settings_are_reported():
    with pytest.raises(SettingsError) as caught:
        parse_client_settings(
            b'{"entries": ["nowhere"], "timeout_s": -1, "port": 1}'
        )
    places = [finding.place for finding in caught.value.findings]
    assert sorted(places) == ['entries.0', 'port', 'timeout_s']


@pytest.mark.parametrize('body', [b'', b'[]', b'{"entries": []}', b'\xff'])
def test_malformed_settings_are_findings(body):
    with pytest.raises(SettingsError):
        parse_client_settings(body)


@pytest.mark.parametrize('text', ['127.0.0.1:1', ' , ', 'http://a,b'])
def test_malformed_addresses_are_bad_use(text):
    with pytest.raises(UsageError):
        find_entries(text, '', {})
