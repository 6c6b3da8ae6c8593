"""Tests of parsing and validating settings."""

import copy
import json
import subprocess
import sys

import pytest
from cactushead_core.errors import SettingsError
from cactushead_node.settings import LocalSettings, Role, parse_settings
from hypothesis import given, settings
from hypothesis import strategies as st

VOTERS = [
    {'name': f'entry-{number}', 'host': '127.0.0.1', 'port': 9000 + number}
    for number in range(3)
]
ENTRY = {
    'name': 'entry-1',
    'cell': 'fjord',
    'data_centre': 'midhlid',
    'callers': {'host': '127.0.0.1', 'port': 8471},
    'peers': {'host': '127.0.0.1', 'port': 9001},
    'voters': VOTERS,
    'data_dir': 'data/entry-1',
    'timing': {'lease_s': 3},
    'bounds': {'jobs': 1000},
    'log': {'level': 'debug', 'format': 'json'},
}
AGENT = {
    'name': 'upstream-1',
    'cell': 'fjord',
    'data_centre': 'midhlid',
    'rack': 'r1',
    'upstream': {
        'host': '::1',
        'port': 8600,
        'labels': {'tier': 'a'},
        'cores': 32,
    },
    'voters': VOTERS,
}
MISSING = object()


def places(content, role):
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(content).encode(), role)
    return [finding.place for finding in caught.value.findings]


def with_field(base, path, content):
    result = copy.deepcopy(base)
    *parents, last = path.split('.')
    target = result
    for name in parents:
        target = target[int(name)] if name.isdigit() else target[name]
    if content is MISSING:
        del target[last]
    else:
        target[last] = content
    return result


def test_entry():
    parsed = parse_settings(json.dumps(ENTRY).encode(), Role.ENTRY)
    assert parsed.is_voter
    assert parsed.timing.lease_s == 3
    assert parsed.bounds.jobs == 1000
    assert parsed.voters[2].port == 9002


def test_agent():
    parsed = parse_settings(json.dumps(AGENT).encode(), Role.AGENT)
    assert parsed.upstream_spec.cores == 32
    assert parsed.upstream_spec.rack == 'r1'
    assert parsed.upstream_spec.labels[0].name == 'tier'


def test_labels_are_sorted():
    labels = {'tier': 'a', 'rack.row': '2'}
    content = with_field(AGENT, 'upstream.labels', labels)
    parsed = parse_settings(json.dumps(content).encode(), Role.AGENT)
    names = [label.name for label in parsed.upstream.labels]
    assert names == ['rack.row', 'tier']


@pytest.mark.parametrize(
    ('path', 'content', 'place'),
    [
        ('name', 'runner 1', 'name'),
        ('name', 'a\nb', 'name'),
        ('voters.0.name', '-entry', 'voters[0].name'),
        ('upstream.labels', {'a label': 'x'}, 'upstream.labels'),
    ],
)
def test_invalid_name_is_a_finding(path, content, place):
    assert places(with_field(AGENT, path, content), Role.AGENT) == [place]


def test_all_local_settings_have_defaults():
    assert parse_settings(b'{}', Role.LOCAL) == LocalSettings()


@pytest.mark.parametrize(
    ('path', 'content', 'expected'),
    [
        ('name', MISSING, ['name']),
        ('name', '', ['name']),
        ('cell', 7, ['cell']),
        ('callers', MISSING, ['callers']),
        ('callers', [], ['callers', 'callers.host', 'callers.port']),
        ('callers.host', 'example.org', ['callers.host']),
        ('callers.port', 0, ['callers.port']),
        ('callers.port', True, ['callers.port']),
        ('callers.port', '80', ['callers.port']),
        ('callers.port', 9001, ['peers.port']),
        ('voters', [], ['voters']),
        ('voters', {}, ['voters']),
        ('voters.1.port', 70000, ['voters[1].port']),
        ('voters.0.name', 'entry-2', ['voters']),
        ('voters.0.port', 9002, ['voters']),
        ('voters.2.extra', 1, ['voters[2].extra']),
        ('data_dir', MISSING, ['data_dir']),
        ('name', 'entry-9', ['voters']),
        ('timing.lease_s', -1, ['timing.lease_s']),
        ('timing.heartbeat_s', 5, ['timing.heartbeat_s']),
        ('timing.drift', 2, ['timing.drift']),
        ('timing.lease', 2, ['timing.lease']),
        ('bounds.jobs', 1.5, ['bounds.jobs']),
        ('log.level', 'loud', ['log.level']),
        ('synced_admission', 1, ['synced_admission']),
    ],
)
def test_finding_names_the_entry_field(path, content, expected):
    assert places(with_field(ENTRY, path, content), Role.ENTRY) == expected


@pytest.mark.parametrize(
    ('path', 'content'),
    [
        ('upstream.port', MISSING),
        ('upstream.run_path', 'run'),
        ('upstream.slots', 0),
        ('upstream.memory_mb', float('inf')),
        ('upstream.labels.tier', 3),
        ('upstream.hosts', 'x'),
    ],
)
def test_finding_names_the_upstream_field(path, content):
    assert places(with_field(AGENT, path, content), Role.AGENT)[0] == path


def test_all_findings_are_reported_together():
    content = with_field(with_field(ENTRY, 'name', 3), 'callers.port', 0)
    found = places(content | {'extra': 1}, Role.ENTRY)
    assert found[:2] == ['name', 'callers.port']
    assert found[-1] == 'extra'


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.sampled_from(sorted(AGENT)), JSON_VALUES)
def test_random_field_is_valid_or_a_finding(name, content):
    body = json.dumps(AGENT | {name: content}).encode()
    try:
        parse_settings(body, Role.AGENT)
    except SettingsError as error:
        assert error.findings


def test_settings_do_not_import_pydantic():
    program = 'import sys, cactushead_node.settings; '
    program += 'sys.exit("pydantic" in sys.modules)'
    subprocess.run([sys.executable, '-c', program], check=True)
