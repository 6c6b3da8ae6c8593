"""Tests of the JSON form of service documents."""

import json

import pytest
from cactushead_core.documents.schema import document_json, parse_document
from cactushead_core.errors import DocumentError
from hypothesis import given, settings
from hypothesis import strategies as st

VALID = {
    'service': 'sample',
    'version': 3,
    'team': 'orchard',
    'upstreams': {'names': ['u1'], 'labels': {'tier': 'a'}},
    'limits': {'concurrent_tasks': 8, 'starts_per_s': 20, 'queue_tasks': 5},
    'requests': {
        'echo': {'repeatable': True, 'timeout_s': 2, 'max_starts': 3},
        'book': {},
    },
    'stop': {'drain_s': 5, 'remainder': 'cancel'},
    'state': 'draining',
}


def parse(content, service=None):
    return parse_document(json.dumps(content).encode(), service)


def places(body, service=None):
    with pytest.raises(DocumentError) as caught:
        parse_document(body, service)
    return [finding.place for finding in caught.value.findings]


def test_json_form_round_trips():
    document = parse(VALID)
    parsed_again = parse(document_json(document))
    assert document_json(parsed_again) == document_json(document)
    assert document.request_kind('echo').max_starts == 3


def test_only_four_fields_are_required():
    assert places(b'{}') == ['service', 'version', 'team', 'requests']


def test_digest_ignores_order_and_spaces():
    reordered = dict(reversed(VALID.items()))
    body = json.dumps(reordered, indent=3).encode()
    assert parse_document(body).digest == parse(VALID).digest
    assert parse(VALID | {'version': 4}).digest != parse(VALID).digest


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        ({'version': 0}, 'version'),
        ({'version': True}, 'version'),
        ({'version': '1'}, 'version'),
        ({'version': 1.5}, 'version'),
        ({'version': 2**60}, 'version'),
        ({'service': 'a/b'}, 'service'),
        ({'service': ''}, 'service'),
        ({'service': 'a\n'}, 'service'),
        ({'team': None}, 'team'),
        ({'extra': 1}, 'extra'),
        ({'requests': {}}, 'requests'),
        ({'requests': []}, 'requests'),
        ({'requests': {'a b': {}}}, 'requests.a b'),
        ({'requests': {'a': {'timeout_s': 0}}}, 'requests.a.timeout_s'),
        ({'requests': {'a': {'timeout_s': '1'}}}, 'requests.a.timeout_s'),
        ({'requests': {'a': {'max_starts': 2}}}, 'requests.a'),
        ({'upstreams': {'names': ['u', 3]}}, 'upstreams.names[1]'),
        ({'upstreams': {'labels': {'x': 1}}}, 'upstreams.labels.x'),
        ({'limits': {'caller_share': 0}}, 'limits.caller_share'),
        ({'limits': {'job_tasks': 1001}}, 'limits.job_tasks'),
        ({'limits': {'starts_per_s': -1}}, 'limits.starts_per_s'),
        ({'limits': 7}, 'limits'),
        ({'stop': {'remainder': 'drop'}}, 'stop.remainder'),
        ({'stop': {'drain_s': float('nan')}}, 'stop.drain_s'),
        ({'state': 'off'}, 'state'),
    ],
)
def test_finding_has_its_place(change, expected):
    assert places(json.dumps(VALID | change).encode()) == [expected]


def test_all_findings_are_reported_together():
    change = {'version': 0, 'limits': {'queue_tasks': -1}, 'more': 1}
    body = json.dumps(VALID | change).encode()
    assert places(body) == ['version', 'limits.queue_tasks', 'more']


def test_service_that_differs_from_the_url_is_a_finding():
    assert places(json.dumps(VALID).encode(), 'other') == ['service']
    assert parse(VALID, 'sample').service == 'sample'


def test_duplicate_request_kind_is_a_finding():
    body = json.dumps(VALID).replace('"book"', '"echo"').encode()
    assert places(body) == ['requests.echo']


@pytest.mark.parametrize(
    ('body', 'expected'),
    [
        (b'', 'line 1 column 1'),
        (b'{"a": 1,\n "b" 2}', 'line 2 column 6'),
        (b'{"a": "\xff"}', 'byte 7'),
        (b'[' * 100_000, '$'),
        (b'[]', '$'),
        (b'{"version": 1' + b'0' * 5000 + b'}', '$'),
    ],
)
def test_invalid_text_is_rejected_with_its_place(body, expected):
    assert places(body) == [expected]


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.sampled_from(sorted(VALID)), JSON_VALUES)
def test_any_field_is_valid_or_a_finding(name, content):
    try:
        document = parse(VALID | {name: content})
    except DocumentError as error:
        assert all(found.place for found in error.findings)
    else:
        assert parse(document_json(document)).requests == document.requests


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.binary())
def test_random_bytes_are_refused(body):
    assert places(body)
