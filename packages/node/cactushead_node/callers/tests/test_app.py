"""Contract tests of the HTTP interface."""

import json
import logging

import pytest
import trio
from cactushead_core.documents.schema import document_json, parse_document
from cactushead_core.effects import (
    AcceptedResponse,
    AnswerResponse,
    DocumentResponse,
    DocumentsResponse,
    RefusalResponse,
    StatusResponse,
)
from cactushead_core.errors import Finding
from cactushead_core.events import (
    DocumentsQueried,
    DocumentSubmitted,
    JobCancelRequested,
    JobQueried,
    JobSubmitted,
)
from cactushead_core.jobs import (
    JobAnswer,
    JobId,
    JobState,
    JobStatus,
    Refusal,
    RefusalReason,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from cactushead_node.callers import make_app
from cactushead_node.http import MAX_BODY_BYTES, BodyBudget

from .client import ANSWER, JOB, FakeRequests, FakeStatus, call, exchange

JOBS = '/v1/services/sample/jobs'
TASK = {'input': {'row': 7}, 'cores': 1, 'memory_mb': 2.5}
BODY = {'caller': 'crew', 'kind': 'echo', 'deadline_s': 5, 'tasks': [TASK]}
DOCUMENT = {'service': 's', 'version': 1, 'team': 't', 'requests': {'echo': {}}}


def submit(content, requests=None, headers=None):
    body = (
        content if isinstance(content, bytes) else json.dumps(content).encode()
    )
    return call(requests or FakeRequests(), 'POST', JOBS, body, headers)


def test_complete_job():
    requests = FakeRequests()
    reply = submit(BODY, requests)
    assert reply.status == 200
    assert reply.headers['content-type'] == 'application/json'
    assert reply.body == b'{"job":"k1","state":"complete","results":[1,2.50]}'
    event = requests.events[0]
    assert isinstance(event, JobSubmitted)
    assert event.wait
    assert event.request.tasks[0].input_json == b'{"row":7}'
    assert event.request.job == JOB
    assert event.request.digest


def test_failed_job():
    answer = JobAnswer(JOB, JobState.FAILED, (), 'task 3 failed', not_run=False)
    reply = submit(BODY, FakeRequests(AnswerResponse(answer)))
    assert reply.status == 200
    assert reply.content == {
        'job': 'k1',
        'state': 'failed',
        'error': 'task 3 failed',
        'not_run': False,
    }


@pytest.mark.parametrize('prefer', ['respond-async', 'Respond-Async;x, wait=5'])
def test_async_submission_is_accepted_at_once(prefer):
    requests = FakeRequests(AcceptedResponse(JobId('sample', 'a#1')))
    headers = {'Idempotency-Key': 'a#1', 'Prefer': prefer}
    reply = submit(BODY, requests, headers)
    assert reply.status == 202
    assert reply.headers['location'] == f'{JOBS}/a%231'
    assert not requests.events[0].wait


@pytest.mark.parametrize(
    ('reason', 'status'),
    [
        (RefusalReason.INVALID, 400),
        (RefusalReason.UNKNOWN_SERVICE, 404),
        (RefusalReason.UNKNOWN_JOB, 404),
        (RefusalReason.KEY_CONFLICT, 409),
        (RefusalReason.VERSION_CONFLICT, 409),
        (RefusalReason.TOO_LARGE, 413),
        (RefusalReason.QUOTA, 429),
        (RefusalReason.QUEUE_FULL, 429),
        (RefusalReason.NOT_SERVING, 503),
        (RefusalReason.NO_LEADER, 503),
        (RefusalReason.DRAINING, 503),
        (RefusalReason.TOO_OLD, 503),
        (RefusalReason.NO_ANSWER, 504),
    ],
)
def test_refusal_reason_sets_the_status(reason, status):
    findings = (Finding('tasks[0]', 'too large'),)
    refusal = Refusal(reason, status != 504, findings, retry_after_s=1.2)
    reply = submit(BODY, FakeRequests(RefusalResponse(refusal)))
    assert reply.status == status
    assert reply.content == {
        'error': reason.value,
        'not_run': status != 504,
        'findings': [{'place': 'tasks[0]', 'finding': 'too large'}],
    }
    retried = '2' if status in {429, 503} else None
    assert reply.headers.get('retry-after') == retried


def test_every_reason_has_a_status():
    for reason in RefusalReason:
        refusal = RefusalResponse(Refusal(reason))
        assert submit(BODY, FakeRequests(refusal)).status >= 400


@pytest.mark.parametrize(
    ('change', 'places'),
    [
        ({'caller': ''}, ['caller']),
        ({'caller': 'a\nb'}, ['caller']),
        ({'caller': '\ud800'}, ['caller']),
        ({'kind': None}, ['kind']),
        ({'deadline_s': 0}, ['deadline_s']),
        ({'deadline_s': True}, ['deadline_s']),
        ({'deadline_s': '5'}, ['deadline_s']),
        ({'deadline_s': 3601}, ['deadline_s']),
        ({'deadline_s': float('nan')}, ['deadline_s']),
        ({'deadline_s': float('inf')}, ['deadline_s']),
        ({'tasks': []}, ['tasks']),
        ({'tasks': {}}, ['tasks']),
        ({'tasks': [TASK] * 1001}, ['tasks']),
        ({'tasks': [TASK, {}]}, ['tasks[1].input']),
        ({'tasks': [TASK | {'cores': -1}]}, ['tasks[0].cores']),
        ({'tasks': [{'input': [1, float('nan')]}]}, ['tasks[0].input[1]']),
        ({'tasks': [{'input': 1, 'gpus': 2}]}, ['tasks[0].gpus']),
        ({'tasks': [TASK, {'input': '\ud800'}]}, ['tasks[1].input']),
        ({'more': 1, 'kind': 7}, ['kind', 'more']),
    ],
)
def test_invalid_body_does_not_reach_the_reducer(change, places):
    requests = FakeRequests()
    reply = submit(BODY | change, requests)
    assert reply.status == 400
    assert reply.content['not_run'] is True
    assert reply.places == places
    assert not requests.events


@pytest.mark.parametrize(
    ('body', 'place'),
    [
        (b'', 'line 1 column 1'),
        (b'{"caller": \xff}', 'byte 11'),
        (b'{"tasks": ' + b'[' * 100_000, '$'),
        (b'{"caller": "a",\n"kind" 1}', 'line 2 column 8'),
        (b'[]', '$'),
        (json.dumps(BODY)[:-1].encode() + b', "kind": "b"}', 'kind'),
    ],
)
def test_malformed_body_is_refused(body, place):
    requests = FakeRequests()
    reply = submit(body, requests)
    assert reply.status == 400
    assert reply.places == [place]
    assert not requests.events


@pytest.mark.parametrize('depth', [200, 300, 900, 960, 990, 1000, 5000])
def test_deeply_nested_input_is_unchanged_or_refused(depth):
    nested = b'[' * depth + b']' * depth
    body = json.dumps(BODY).encode().replace(b'{"row": 7}', nested)
    requests = FakeRequests()
    assert submit(body, requests).status == (200 if depth == 200 else 400)
    arrived = [event.request.tasks[0].input_json for event in requests.events]
    assert arrived == ([nested] if depth == 200 else [])


def test_number_of_findings_is_limited():
    task = {f'field_{number}': 1 for number in range(500)}
    reply = submit(BODY | {'tasks': [task]})
    assert len(reply.places) == 101
    assert reply.content['findings'][-1]['finding'] == '401 more findings'


@pytest.mark.parametrize('key', ['', 'a b', 'a/b', 'x' * 201, 'é', '..'])
def test_invalid_key_is_refused(key):
    requests = FakeRequests()
    reply = submit(BODY, requests, {'Idempotency-Key': key})
    assert (reply.status, reply.places) == (400, ['Idempotency-Key'])
    assert not requests.events


def test_missing_key_is_refused():
    assert submit(BODY, headers={}).places == ['Idempotency-Key']


@pytest.mark.parametrize('declared', [True, False])
def test_oversize_body_is_refused(declared):
    requests = FakeRequests()
    size = str(MAX_BODY_BYTES + 1)
    headers = {'Idempotency-Key': 'k'}
    if declared:
        headers['Content-Length'] = size
    reply = submit(b' ' * int(size), requests, headers)
    assert reply.status == 413
    assert reply.content['not_run'] is True
    assert not requests.events


def test_body_after_the_timeout_is_refused(monkeypatch):
    monkeypatch.setattr('cactushead_node.http.exchange.BODY_TIMEOUT_S', 0.01)
    requests = FakeRequests()
    sent = []

    async def send(message):
        sent.append(message)

    async def run():
        scope = {'type': 'http', 'method': 'POST', 'path': JOBS}
        app = make_app(requests, FakeStatus())
        await app(scope, trio.sleep_forever, send)

    trio.run(run)
    assert sent[0]['status'] == 408
    assert json.loads(sent[1]['body'])['not_run'] is True
    assert not requests.events


def test_body_over_the_memory_budget_is_refused():
    app = make_app(FakeRequests(), FakeStatus())
    app._budget = BodyBudget(len(json.dumps(BODY)) + 5)
    body = json.dumps(BODY).encode()
    headers = [('Idempotency-Key', 'k1')]

    async def run():
        with app._budget.reserve() as other:
            other.grow(10)
            busy = await exchange(app, 'POST', JOBS, headers, (body,))
        return busy, await exchange(app, 'POST', JOBS, headers, (body,))

    busy, served = trio.run(run)
    assert (busy.status, served.status) == (503, 200)
    assert busy.headers['retry-after'] == '1'
    assert busy.content['not_run'] is True
    assert app._budget.used_bytes == 0


@pytest.mark.parametrize(
    ('method', 'path', 'status', 'allow'),
    [
        ('GET', '/', 404, None),
        ('GET', '/v1/services/sample', 404, None),
        ('GET', f'{JOBS}/a/b', 404, None),
        ('GET', '/v1/%ff', 404, None),
        ('POST', '/v1/services/a%20b/jobs', 404, None),
        ('GET', f'{JOBS}/a%2Fb', 404, None),
        ('GET', f'{JOBS}/', 404, None),
        ('GET', JOBS, 405, 'POST'),
        ('POST', f'{JOBS}/k', 405, 'GET, DELETE'),
        ('DELETE', '/v1/documents/s', 405, 'GET, PUT'),
        ('PUT', '/healthz', 405, 'GET'),
        ('GET', '/v1/timeline?jobs=1', 400, None),
        ('GET', '/v1/timeline?since_s=soon', 400, None),
        ('GET', '/v1/timeline?job=a&job=b', 400, None),
        ('GET', '/v1/timeline?scope=all', 400, None),
    ],
)
def test_unknown_path_method_or_filter_is_refused(method, path, status, allow):
    requests = FakeRequests()
    reply = call(requests, method, path)
    assert reply.status == status
    assert reply.content['not_run'] is True
    assert reply.headers.get('allow') == allow
    assert not requests.events


@pytest.mark.parametrize(
    ('method', 'event_type'),
    [('GET', JobQueried), ('DELETE', JobCancelRequested)],
)
def test_key_in_the_job_path_is_decoded(method, event_type):
    status = JobStatus(JobId('sample', 'a?b'), JobState.RUNNING, 5, 2)
    requests = FakeRequests(StatusResponse(status))
    reply = call(requests, method, f'{JOBS}/a%3Fb')
    assert requests.events == [event_type(1.0, 7, JobId('sample', 'a?b'))]
    assert reply.content == {
        'job': 'a?b',
        'state': 'running',
        'tasks': 5,
        'ended_tasks': 2,
    }


def test_status_of_an_ended_job_has_its_answer():
    status = JobStatus(JOB, JobState.COMPLETE, 2, 2, ANSWER.answer)
    reply = call(FakeRequests(StatusResponse(status)), 'GET', f'{JOBS}/k1')
    assert reply.content['results'] == [1, 2.5]
    assert reply.content['ended_tasks'] == 2


def test_document_is_submitted():
    requests = FakeRequests(DocumentResponse('s', 1, ('e1',), ('u1',)))
    body = json.dumps(DOCUMENT).encode()
    reply = call(requests, 'PUT', '/v1/documents/s', body)
    assert isinstance(requests.events[0], DocumentSubmitted)
    assert reply.content == {
        'service': 's',
        'version': 1,
        'in_force': ['e1'],
        'pending': ['u1'],
    }


def test_document_for_another_service_is_refused():
    requests = FakeRequests()
    body = json.dumps(DOCUMENT).encode()
    reply = call(requests, 'PUT', '/v1/documents/other', body)
    assert (reply.status, reply.places) == (400, ['service'])
    assert not requests.events


def test_documents_are_returned():
    document = parse_document(json.dumps(DOCUMENT).encode())
    requests = FakeRequests(DocumentsResponse((document,)))
    one = call(requests, 'GET', '/v1/documents/s').content
    every = call(requests, 'GET', '/v1/documents').content
    assert one == document_json(document)
    assert every == {'documents': [one]}
    assert requests.events == [
        DocumentsQueried(1.0, 7, 's'),
        DocumentsQueried(1.0, 7, ''),
    ]


def test_unknown_document_is_not_found():
    requests = FakeRequests(DocumentsResponse(()))
    assert call(requests, 'GET', '/v1/documents/s').status == 404


def test_status_paths():
    requests = FakeRequests()
    assert call(requests, 'GET', '/healthz').status == 200
    assert call(requests, 'GET', '/readyz').content['ready'] is True
    assert call(requests, 'GET', '/v1/metrics').body == b'{}'
    text = call(
        requests, 'GET', '/v1/metrics', headers={'Accept': 'text/plain'}
    )
    assert text.body == b'up 1\n'
    lines = call(requests, 'GET', '/v1/timeline?job=k&scope=process')
    assert lines.content == {'job': 'k', 'scope': 'process'}


def test_draining_process_is_not_ready(monkeypatch):
    monkeypatch.setattr(FakeStatus, 'stopping', True)
    assert call(FakeRequests(), 'GET', '/readyz').status == 503


def test_disconnect_cancels_the_request():
    requests = FakeRequests(None)
    body = json.dumps(BODY).encode()
    assert call(requests, 'POST', JOBS, body, stay_connected=False) is None
    assert requests.cancelled == 1


def test_disconnect_within_the_body_does_not_reach_the_reducer():
    requests = FakeRequests()
    sent = []

    async def receive():
        return {'type': 'http.disconnect'}

    scope = {'type': 'http', 'method': 'POST', 'path': JOBS}
    trio.run(make_app(requests, FakeStatus()), scope, receive, sent.append)
    assert not requests.events
    assert not sent


def test_exception_in_the_port_is_logged_once(caplog):
    with caplog.at_level(logging.ERROR):
        reply = submit(BODY, FakeRequests(RuntimeError('fault')))
    assert reply.status == 500
    assert reply.content['not_run'] is False
    assert len(caplog.records) == 1


def test_lifespan_is_acknowledged():
    incoming = [{'type': 'lifespan.startup'}, {'type': 'lifespan.shutdown'}]
    sent = []

    async def receive():
        return incoming.pop(0)

    async def send(message):
        sent.append(message['type'])

    app = make_app(FakeRequests(), FakeStatus())
    trio.run(app, {'type': 'lifespan'}, receive, send)
    assert sent == ['lifespan.startup.complete', 'lifespan.shutdown.complete']


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.binary() | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
def test_random_body_does_not_reach_the_reducer(body):
    requests = FakeRequests()
    assert submit(body, requests).status == 400
    assert call(requests, 'PUT', '/v1/documents/s', body).status == 400
    assert not requests.events


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.sampled_from(sorted(BODY)), JSON_VALUES)
def test_random_field_is_accepted_or_does_not_reach_the_reducer(name, value):
    requests = FakeRequests()
    status = submit(BODY | {name: value}, requests).status
    assert status in {200, 400}
    assert len(requests.events) == (status == 200)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(JSON_VALUES)
def test_random_input_is_unchanged_or_refused(value):
    requests = FakeRequests()
    reply = submit(BODY | {'tasks': [{'input': value}]}, requests)
    if reply.status == 200:
        arrived = requests.events[0].request.tasks[0].input_json
        assert json.loads(arrived) == value
    else:
        assert reply.places[0].startswith('tasks[0].input')


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.sampled_from(['GET', 'POST', 'PUT', 'DELETE', 'HEAD']),
    st.text(st.characters(min_codepoint=33, max_codepoint=126)),
)
def test_random_path_is_never_an_internal_error(method, path):
    assert call(FakeRequests(), method, f'/v1/{path}').status < 500


def test_application_serves_concurrent_requests():
    requests = FakeRequests()
    app = make_app(requests, FakeStatus())
    headers = [('Idempotency-Key', 'k1')]
    body = json.dumps(BODY).encode()

    async def run():
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(
                    exchange,
                    app,
                    'POST',
                    JOBS,
                    headers,
                    (body,),
                )

    trio.run(run)
    assert len(requests.events) == 20
