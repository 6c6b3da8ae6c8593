"""Tests of the load worker against a fake system in the same process."""

import json
import time

import pytest
import trio
from cactushead_cli.bench.records import JobOutcome, WorkerConfig
from cactushead_cli.bench.shapes import SHAPES, LoadSpec
from cactushead_cli.bench.worker import LoadWorker
from cactushead_cli.client import (
    EntryUnreachableError,
    RequestInterruptedError,
    Transport,
)
from cactushead_cli.client.tests.fakes import json_response

SPEC = LoadSpec('single', 0.2, 0.2, 1)


class FakeSystem(Transport):
    """Answers at once; `override_response` may replace an attempt's outcome."""

    def __init__(self, override_response=None):
        self.override_response = override_response
        self.keys = []
        self.cancelled = []

    async def _send(self, entry, request):
        if request.method == 'DELETE':
            self.cancelled.append(request.path.rsplit('/', 1)[1])
            return json_response(200, {'state': 'running'})
        key = dict(request.headers)['Idempotency-Key']
        self.keys.append(key)
        if self.override_response is not None:
            outcome = self.override_response(entry, self.keys.count(key))
            if isinstance(outcome, Exception):
                raise outcome
            if outcome is not None:
                return outcome
        tasks = json.loads(request.body)['tasks']
        results = [task['input']['value'] for task in tasks]
        return json_response(200, {'state': 'complete', 'results': results})


def make_config(**changes):
    options = {
        'spec': SPEC,
        'run': 'r',
        'service': 'sample',
        'entries': ('http://a', 'http://b'),
        'deadline_s': 0.2,
        'worker': 0,
        'workers': 1,
        'start_s': time.monotonic(),
    }
    return WorkerConfig(**{**options, **changes})


def run(system, **changes):
    return trio.run(LoadWorker(make_config(**changes), system).run)


def test_config_is_decoded_as_encoded():
    config = make_config(cancel_at_s=2.0)
    assert WorkerConfig.decode(config.encode()) == config


def test_workers_split_the_schedule():
    records = [
        record
        for worker in range(3)
        for record in run(FakeSystem(), worker=worker, workers=3)
    ]
    indexes = sorted(record.index for record in records)
    assert indexes == [job.index for job in SHAPES['single'].schedule(SPEC)]
    assert all(record.whole for record in records)


@pytest.mark.parametrize(
    'failure', [EntryUnreachableError, RequestInterruptedError]
)
def test_lost_answer_is_retried_with_the_same_key(failure):
    system = FakeSystem(
        lambda entry, attempt: failure(entry, 'x') if attempt == 1 else None
    )
    records = run(system, deadline_s=5.0)
    assert all(record.end is JobOutcome.COMPLETE for record in records)
    assert {record.attempts for record in records} == {2}


def test_refusal_ends_a_job_and_is_recorded():
    refusal = json_response(429, {'error': 'queue full', 'not_run': True}, 1.0)
    records = run(FakeSystem(lambda *_: refusal))
    assert {record.end for record in records} == {JobOutcome.REFUSED}
    assert all(record.said_not_run for record in records)
    assert {record.status for record in records} == {429}


def test_unknown_outcome_is_retried():
    unknown = json_response(
        504, {'error': 'no answer in time', 'not_run': False}
    )
    refusal = json_response(503, {'error': 'no leader known', 'not_run': True})
    outcomes = {1: unknown, 2: refusal}
    system = FakeSystem(lambda _, attempt: outcomes.get(attempt))
    records = run(system, deadline_s=5.0)
    assert {record.end for record in records} == {JobOutcome.COMPLETE}
    assert all(record.said_not_run for record in records)


def test_answer_of_another_job_is_not_correct():
    other = json_response(200, {'state': 'complete', 'results': ['r-999/0']})
    records = run(FakeSystem(lambda *_: other))
    assert not any(record.whole for record in records)


def test_failed_job_is_not_retried():
    failed = json_response(200, {'state': 'failed', 'error': 'task 0 failed'})
    records = run(FakeSystem(lambda *_: failed))
    assert {record.end for record in records} == {JobOutcome.FAILED}
    assert {record.attempts for record in records} == {1}


def test_response_time_is_measured_from_the_scheduled_arrival():
    records = run(FakeSystem(), start_s=time.monotonic() - 3.0)
    assert all(record.response_s >= 2.8 for record in records)
