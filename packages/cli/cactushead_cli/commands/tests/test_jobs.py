"""Tests of the job and view commands with a scripted transport."""

import json

import pytest
import trio
from cactushead_cli.client import (
    HttpResponse,
    JobFailedError,
    Submission,
    TaskInput,
    TimelineQuery,
)
from cactushead_cli.client.tests.fakes import ScriptedTransport, json_response
from cactushead_cli.commands.context import Context
from cactushead_cli.commands.jobs import cancel_job, show_status, submit_job
from cactushead_cli.commands.views import show_timeline

SUBMISSION = Submission(
    'sample', 'k1', 'echo', 'ann', 5.0, (TaskInput(1), TaskInput(2))
)
COMPLETE = {'job': 'k1', 'state': 'complete', 'results': [1, 'b']}


def make_context(response, as_json=False):
    transport = ScriptedTransport(a=[response])
    return Context('http://a', '', as_json, transport)


def test_results_are_written_in_task_order(capsys):
    code = trio.run(
        submit_job, make_context(json_response(200, COMPLETE)), SUBMISSION
    )
    assert code == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines == ['job k1: complete', '  0: 1', "  1: 'b'"]


def test_json_contains_all_results(capsys):
    trio.run(
        submit_job, make_context(json_response(200, COMPLETE), True), SUBMISSION
    )
    written = json.loads(capsys.readouterr().out)
    assert written['results'] == [1, 'b']


def test_failed_job_raises_job_failed_error():
    failed = json_response(200, {'state': 'failed', 'error': 'task 1 failed'})
    with pytest.raises(JobFailedError, match='task 1 failed'):
        trio.run(show_status, make_context(failed), 'sample', 'k1')


def test_cancel_succeeds_though_the_job_has_failed(capsys):
    failed = {'state': 'failed', 'error': 'cancelled', 'not_run': True}
    command_context = make_context(json_response(200, failed))
    assert trio.run(cancel_job, command_context, 'sample', 'k1') == 0
    assert 'no task was run' in capsys.readouterr().out


def test_timeline_is_written_as_a_table(capsys):
    event = {'wall_s': 1.5, 'process': 'e1', 'kind': 'job submitted'}
    body = json.dumps(event).encode()
    command_context = make_context(HttpResponse(200, body))
    trio.run(show_timeline, command_context, TimelineQuery())
    header, row = capsys.readouterr().out.splitlines()
    assert header.split()[0] == 'time'
    assert row.startswith('00:00:01.500000  e1       job submitted')
