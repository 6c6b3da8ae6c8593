"""Tests that the operators' page agrees with the code."""

import dataclasses
import re
from pathlib import Path

import pytest
from cactushead_core.config import Bounds, Policy, Timing
from cactushead_core.documents.schema import document_json, parse_document
from cactushead_core.effects import EventKind
from cactushead_core.jobs import Refusal, RefusalReason

from cactushead_node.callers.reply import refusal_reply
from cactushead_node.http import BodyError, ConnectionCounters
from cactushead_node.peers.counters import LinkCounters
from cactushead_node.runtime import SYNC_METRIC
from cactushead_node.settings import (
    AgentSettings,
    ConnectionLimits,
    EntrySettings,
    LocalSettings,
    LogSettings,
    UpstreamSettings,
)
from cactushead_node.status import EntryState

ROOT = Path(__file__).resolve().parents[4]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
SOURCES = '\n'.join(
    path.read_text(encoding='utf-8')
    for package in ('core/cactushead_core', 'node/cactushead_node')
    for path in sorted((ROOT / 'packages' / package).rglob('*.py'))
    if 'tests' not in path.parts
)
DOCUMENT = b'{"service": "s", "version": 1, "team": "t", "requests": {"k": {}}}'
SHARED = {
    'timing': Timing,
    'bounds': Bounds,
    'policy': Policy,
    'connections': ConnectionLimits,
    'log': LogSettings,
    'upstream': UpstreamSettings,
}
# Data class fields whose names differ in the JSON format.
JSON_NAMES = {'form': 'format'}


def read_rows(text=PAGE):
    """Returns the cells after the first by the names in the first cell."""
    rows = {}
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip('| ').split(' | ')]
        if line.startswith('| `'):
            for name in re.findall('`([^`]+)`', cells[0]):
                rows.setdefault(name, []).append(cells[1:])
    return rows


ROWS = read_rows()


def default_text(cell):
    return cell.split()[0].strip('`,')


def is_default(cell, default):
    if isinstance(default, bool) or not isinstance(default, (int, float)):
        empty = {'': 'empty', '()': '{}', '[]': '[]'}
        text = str(default)
        return default_text(cell) in {text, text.lower(), empty.get(text)}
    return float(default_text(cell)) == default


def document_fields():
    content = document_json(parse_document(DOCUMENT))
    kind = content['requests'].pop('k')
    fields = {
        f'requests.KIND.{name}': default for name, default in kind.items()
    }
    for section in ('upstreams', 'limits', 'stop'):
        defaults = content.pop(section)
        fields |= {f'{section}.{name}': defaults[name] for name in defaults}
    return fields | content


def shared_fields():
    return [
        (f'{section}.{JSON_NAMES.get(field.name, field.name)}', field.default)
        for section, data_type in SHARED.items()
        for field in dataclasses.fields(data_type)
    ]


@pytest.mark.parametrize('name', document_fields())
def test_document_field_is_on_the_page_with_its_default(name):
    cell = ROWS[name][0][1]
    assert cell == 'required' or is_default(cell, document_fields()[name])


@pytest.mark.parametrize(('name', 'default'), shared_fields())
def test_shared_setting_is_on_the_page_with_its_default(name, default):
    cell = ROWS[name][0][0]
    required = default is dataclasses.MISSING
    assert cell == 'required' if required else is_default(cell, default)


@pytest.mark.parametrize(
    ('role', 'data_type'),
    [
        ('Entry', EntrySettings),
        ('Agent', AgentSettings),
        ('Local', LocalSettings),
    ],
)
def test_settings_of_a_role_are_in_its_table(role, data_type):
    rows = read_rows(PAGE.split(f'### {role}\n')[1].split('\n### ')[0])
    documented = {name.split('.')[0] for name in rows}
    assert documented == {field.name for field in dataclasses.fields(data_type)}


@pytest.mark.parametrize('reason', RefusalReason)
def test_refusal_is_on_the_page_with_its_status(reason):
    status = refusal_reply(Refusal(reason)).status
    assert ROWS[reason.value][0][0] == str(status.value)


@pytest.mark.parametrize('error_type', BodyError.__subclasses__())
def test_body_error_is_on_the_page_with_its_status(error_type):
    assert ROWS[error_type.summary][0][0] == str(error_type.status.value)


def test_page_lists_exactly_the_recorded_events():
    recorded = {
        getattr(EventKind, name)
        for name in re.findall(r'EventKind\.([A-Z_]+)', SOURCES)
    }
    all_kinds = {
        kind for name, kind in vars(EventKind).items() if name.isupper()
    }
    assert {kind for kind in all_kinds if kind in ROWS} == recorded


def test_metrics_are_on_the_page():
    metrics = set(re.findall(r"\b(?:Measure|Count)\(\s*'(\w+)'", SOURCES))
    assert metrics | {SYNC_METRIC} <= set(ROWS)
    for part, data_type in (
        ('links', LinkCounters),
        ('connections', ConnectionCounters),
        ('state', EntryState),
    ):
        for field in dataclasses.fields(data_type):
            assert f'{part}.{field.name}' in ROWS


def test_log_lines_are_on_the_page():
    call = r"(?:_log|LOGGER)\.(?:info|warning|error|exception)\(\s*'([^']*)'"
    log_messages = re.findall(call, SOURCES)
    assert log_messages
    page = ' '.join(PAGE.split())
    for log_message in log_messages:
        message = re.sub('^[a-z]+: ', '', log_message)
        for piece in re.split(r'%[\d.]*[a-z]', message):
            assert piece.strip(' :') in page, log_message
