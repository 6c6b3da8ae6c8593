"""Tests of the client with a scripted transport."""

import json

import pytest
import trio
from cactushead_cli.client import (
    Client,
    EntryUnreachableError,
    HttpResponse,
    InvalidResponseError,
    NoEntryAnswersError,
    RefusedError,
    RequestInterruptedError,
    Submission,
    TaskInput,
    TimelineQuery,
)
from cactushead_cli.client.tests.fakes import ScriptedTransport, json_response

SUBMISSION = Submission(
    'sample', 'k1', 'echo', 'ann', 5.0, (TaskInput({'value': 1}, cores=2.0),)
)
COMPLETE = json_response(
    200, {'job': 'k1', 'state': 'complete', 'results': [1]}
)
UNREACHABLE = EntryUnreachableError('http://a', 'refused')
INTERRUPTED = RequestInterruptedError('http://a', 'closed')


def submit(transport, submission=SUBMISSION):
    entries = tuple(transport.outcomes)
    return trio.run(Client(transport, entries).submit, submission)


def test_submit_sends_the_documented_request():
    transport = ScriptedTransport(a=[COMPLETE])
    view = submit(transport)
    request = transport.requests[0][1]
    assert (request.method, request.path) == (
        'POST',
        '/v1/services/sample/jobs',
    )
    assert request.headers == (('Idempotency-Key', 'k1'),)
    assert json.loads(request.body) == {
        'caller': 'ann',
        'kind': 'echo',
        'deadline_s': 5.0,
        'tasks': [{'input': {'value': 1}, 'cores': 2.0}],
    }
    assert (view.state, view.results) == ('complete', (1,))


def test_submit_without_waiting_sends_prefer_header():
    transport = ScriptedTransport(a=[json_response(202, {'job': 'k1'})])
    submission = Submission('sample', 'k1', 'echo', 'ann', 5.0, (), wait=False)
    submit(transport, submission)
    assert ('Prefer', 'respond-async') in transport.requests[0][1].headers


@pytest.mark.parametrize('failure', [UNREACHABLE, INTERRUPTED])
def test_next_entry_receives_the_same_request(failure):
    transport = ScriptedTransport(a=[failure], b=[COMPLETE])
    assert submit(transport).state == 'complete'
    assert transport.tried_entries == ['http://a', 'http://b']
    assert transport.requests[0][1] == transport.requests[1][1]


def test_error_names_all_addresses_if_no_entry_answers():
    transport = ScriptedTransport(a=[UNREACHABLE], b=[INTERRUPTED])
    with pytest.raises(NoEntryAnswersError) as caught:
        submit(transport)
    assert 'http://a (refused), http://a (closed)' in str(caught.value)
    assert caught.value.may_have_arrived


def test_refusal_keeps_status_and_findings():
    finding = {'place': 'tasks[0]', 'finding': 'too large'}
    body = {'error': 'invalid', 'not_run': True, 'findings': [finding]}
    transport = ScriptedTransport(a=[json_response(400, body)], b=[])
    with pytest.raises(RefusedError) as caught:
        submit(transport)
    error = caught.value
    assert (error.status, error.not_run) == (400, True)
    assert str(error.findings[0]) == 'tasks[0]: too large'
    assert transport.tried_entries == ['http://a']


def test_next_entry_is_tried_after_an_unavailable_one():
    refusal = json_response(
        503, {'error': 'no leader known', 'not_run': True}, 1.0
    )
    transport = ScriptedTransport(a=[refusal], b=[COMPLETE])
    assert submit(transport).state == 'complete'


def test_no_other_entry_is_tried_if_the_service_is_not_serving():
    body = {'error': 'service is not serving', 'not_run': True}
    transport = ScriptedTransport(a=[json_response(503, body)], b=[COMPLETE])
    with pytest.raises(RefusedError):
        submit(transport)
    assert transport.tried_entries == ['http://a']


def test_no_other_entry_is_tried_after_an_unknown_outcome():
    refusal = json_response(
        504, {'error': 'no answer in time', 'not_run': False}
    )
    transport = ScriptedTransport(a=[refusal], b=[COMPLETE])
    with pytest.raises(RefusedError) as caught:
        submit(transport)
    assert not caught.value.not_run
    assert transport.tried_entries == ['http://a']


def test_not_run_is_cleared_after_an_interrupted_request():
    refusal = json_response(503, {'error': 'no leader known', 'not_run': True})
    transport = ScriptedTransport(a=[INTERRUPTED], b=[refusal])
    with pytest.raises(RefusedError) as caught:
        submit(transport)
    assert not caught.value.not_run


def test_body_that_is_not_json_is_an_error():
    transport = ScriptedTransport(a=[HttpResponse(200, b'<html>')])
    with pytest.raises(InvalidResponseError):
        submit(transport)


def test_timeline_sends_only_given_filters():
    transport = ScriptedTransport(a=[HttpResponse(200, b'{"kind": "x"}\n\n')])
    client = Client(transport, ('http://a',))
    events = trio.run(client.timeline, TimelineQuery(job='k 1', since_s=3.5))
    assert transport.requests[0][1].path == '/v1/timeline?job=k+1&since_s=3.5'
    assert [event.text('kind') for event in events] == ['x']


def test_document_body_is_sent_unchanged():
    body = {'service': 's', 'version': 2, 'in_force': ['e1'], 'pending': []}
    transport = ScriptedTransport(a=[json_response(200, body)])
    client = Client(transport, ('http://a',))
    view = trio.run(client.submit_document, 's', b'{ }')
    assert transport.requests[0][1].body == b'{ }'
    assert (view.version, view.in_force) == (2, ('e1',))


def test_job_and_cancel_use_get_and_delete():
    body = {'state': 'running', 'tasks': 3, 'ended_tasks': 1}
    transport = ScriptedTransport(
        a=[json_response(200, body), json_response(202, body)]
    )
    client = Client(transport, ('http://a',))
    assert not trio.run(client.job, 's', 'k').final
    assert trio.run(client.cancel, 's', 'k').tasks == 3
    methods = [request.method for _, request in transport.requests]
    assert methods == ['GET', 'DELETE']
