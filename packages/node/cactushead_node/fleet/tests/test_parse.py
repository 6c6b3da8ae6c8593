"""Tests of parsing and validating the settings of a fleet's processes."""

import json
from dataclasses import replace

import pytest
from cactushead_core.discovery import Endpoint
from cactushead_core.errors import SettingsError
from cactushead_node.fleet.parse import (
    parse_agent_settings,
    parse_entry_settings,
)
from cactushead_node.settings import Address

SHARED = {
    'name': 'e1',
    'data_centre': 'dc1',
    'host': '10.0.0.1',
    'links_port': 7720,
    'seeds': ['10.0.0.1:8166', '10.0.0.2'],
    'grace_s': 6,
    'lease_s': 1000e-3,
}
ENTRY = SHARED | {
    'callers': '10.0.0.1:8161',
    'operators': '10.0.0.1:8166',
    'readiness': '10.0.0.1:8167',
    'data_dir': '',
    'losses': 1,
    'first_start': True,
    'far_factor': 1.5,
}
AGENT = SHARED | {'heartbeats': '10.0.0.1:8166'}
# Of a process without connections, and of a connection with its parser.
PROCESS_MB = 64
CONNECTION_BYTES = 40_000
PARSERS = {
    'entry': (parse_entry_settings, ENTRY),
    'agent': (parse_agent_settings, AGENT),
}


def parse(role, **changes):
    parser, fields = PARSERS[role]
    body = {
        name: value
        for name, value in (fields | changes).items()
        if value is not None
    }
    return parser(json.dumps(body).encode())


def test_seeds_use_the_links_port():
    settings = parse('entry')
    assert settings.seeds == (
        Endpoint('10.0.0.1', 7720),
        Endpoint('10.0.0.2', 7720),
    )
    assert settings.callers == Address('10.0.0.1', 8161)
    assert settings.dispatch.lease_s == 1.0


def test_agent_drains_within_the_grace_period():
    settings = parse('agent', grace_s=10)
    assert settings.lease_s == 1.0
    assert 0 < settings.drain_s < 10


def test_resend_and_stop_of_an_agent():
    settings = parse('agent', resend_s=2.5, stop_s=0.1)
    assert (settings.resend_s, settings.stop_s) == (2.5, 0.1)


@pytest.mark.parametrize('role', PARSERS)
@pytest.mark.parametrize(
    ('changes', 'finding'),
    [
        ({'name': ''}, 'name: must be a text'),
        ({'host': None}, 'host: missing'),
        ({'host': 'edge'}, 'host: must name an IP number'),
        ({'links_port': 0}, 'links_port: must be from 1'),
        ({'links_port': '7720'}, 'links_port: must be a whole number'),
        ({'seeds': '10.0.0.1'}, 'seeds: must be an array'),
        ({'seeds': ['edge:1']}, 'seeds: must name an IP number'),
        ({'lease_s': 0}, 'lease_s: must be above 0'),
        ({'grace_s': -1}, 'grace_s: must be above 0'),
        ({'grace_s': True}, 'grace_s: must be a number'),
        ({'sead': 1}, 'sead: unknown field'),
    ],
)
def test_invalid_shared_setting_is_rejected_with_its_field(
    role, changes, finding
):
    with pytest.raises(SettingsError) as caught:
        parse(role, **changes)
    assert finding in str(caught.value)


@pytest.mark.parametrize(
    ('changes', 'finding'),
    [
        ({'callers': '10.0.0.1'}, 'callers: must'),
        ({'callers': '10.0.0.1:0'}, 'callers: must end with a port'),
        ({'operators': 'x:1'}, 'operators: must name an IP number'),
        ({'readiness': None}, 'readiness: missing'),
        ({'losses': -1}, 'losses: must be from 0'),
        ({'first_start': 'yes'}, 'first_start: must be true or false'),
    ],
)
def test_invalid_entry_setting_is_rejected(changes, finding):
    with pytest.raises(SettingsError) as caught:
        parse('entry', **changes)
    assert finding in str(caught.value)


@pytest.mark.parametrize(
    'body', [b'', b'{', b'[]', b'\xff', b'{"name": 1e999}']
)
def test_malformed_settings_are_rejected(body):
    for parser, _ in PARSERS.values():
        with pytest.raises(SettingsError):
            parser(body)


# Guards against limits that nothing can meet, or that exclude each other.
@pytest.mark.parametrize('role', PARSERS)
def test_connection_limits_are_read(role):
    settings = parse(role, connections={'max_connections': 7})
    defaults = parse(role).connections
    assert settings.connections.max_connections == 7
    assert settings.connections == replace(defaults, max_connections=7)


@pytest.mark.parametrize('role', PARSERS)
@pytest.mark.parametrize(
    ('limits', 'place'),
    [
        ({'max_connections': 0}, 'connections.max_connections'),
        ({'max_sockets': 5}, 'connections.max_sockets'),
        ({'total_body_bytes': 1000}, 'connections.max_body_bytes'),
    ],
)
def test_bad_connection_limits_are_findings(role, limits, place):
    with pytest.raises(SettingsError) as raised:
        parse(role, connections=limits)
    assert [finding.place for finding in raised.value.findings] == [place]


# Guards against defaults that a process inside its memory can't keep.
@pytest.mark.parametrize(
    ('role', 'listeners', 'memory_mb'), [('entry', 3, 300), ('agent', 1, 168)]
)
def test_default_limits_fit_the_memory_of_the_smallest_machines(
    role, listeners, memory_mb
):
    limits = parse(role).connections
    connections = listeners * limits.max_connections + limits.max_handshakes
    held_bytes = (
        limits.total_read_ahead_bytes
        + limits.total_body_bytes
        + limits.total_reply_bytes
        + connections * CONNECTION_BYTES
    )
    assert held_bytes < (memory_mb - PROCESS_MB) * 1024 * 1024
