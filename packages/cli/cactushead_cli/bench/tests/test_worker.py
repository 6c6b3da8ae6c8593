"""Tests of the load worker against a stand-in system in the process."""

import json
import time

import pytest
import trio
from cactushead_cli.bench.records import JobEnd, WorkerOrder
from cactushead_cli.bench.shapes import SHAPES, LoadSpec
from cactushead_cli.bench.worker import LoadWorker
from cactushead_cli.client import (
    EntryUnreachableError,
    RequestInterruptedError,
    Transport,
)
from cactushead_cli.client.tests.fakes import json_response

SPEC = LoadSpec('single', 0.2, 0.2, 1)


class StandInSystem(Transport):
    """Answers at once; `spoil` may give another outcome for an attempt."""

    def __init__(self, spoil=None):
        self.spoil = spoil
        self.keys = []
        self.cancelled = []

    async def _send(self, entry, call):
        if call.method == 'DELETE':
            self.cancelled.append(call.path.rsplit('/', 1)[1])
            return json_response(200, {'state': 'running'})
        key = dict(call.headers)['Idempotency-Key']
        self.keys.append(key)
        if self.spoil is not None:
            spoilt = self.spoil(entry, self.keys.count(key))
            if isinstance(spoilt, Exception):
                raise spoilt
            if spoilt is not None:
                return spoilt
        tasks = json.loads(call.body)['tasks']
        results = [task['input']['value'] for task in tasks]
        return json_response(200, {'state': 'complete', 'results': results})


def order(**changes):
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
    return WorkerOrder(**{**options, **changes})


def run(system, **changes):
    return trio.run(LoadWorker(order(**changes), system).run)


def test_order_survives_its_encoding():
    given = order(cancel_at_s=2.0)
    assert WorkerOrder.decode(given.encode()) == given


def test_workers_share_the_schedule():
    records = [
        record
        for worker in range(3)
        for record in run(StandInSystem(), worker=worker, workers=3)
    ]
    indexes = sorted(record.index for record in records)
    assert indexes == [job.index for job in SHAPES['single'].schedule(SPEC)]
    assert all(record.whole for record in records)


@pytest.mark.parametrize(
    'failure', [EntryUnreachableError, RequestInterruptedError]
)
def test_lost_answer_is_asked_for_with_the_same_key(failure):
    system = StandInSystem(
        lambda entry, attempt: failure(entry, 'x') if attempt == 1 else None
    )
    records = run(system, deadline_s=5.0)
    assert all(record.end is JobEnd.COMPLETE for record in records)
    assert {record.attempts for record in records} == {2}


def test_refusal_ends_a_job_and_keeps_what_was_said():
    refusal = json_response(429, {'error': 'queue full', 'not_run': True}, 1.0)
    records = run(StandInSystem(lambda *_: refusal))
    assert {record.end for record in records} == {JobEnd.REFUSED}
    assert all(record.said_not_run for record in records)
    assert {record.status for record in records} == {429}


def test_unknown_outcome_is_asked_for_again():
    unknown = json_response(
        504, {'error': 'no answer in time', 'not_run': False}
    )
    refusal = json_response(503, {'error': 'no leader known', 'not_run': True})
    outcomes = {1: unknown, 2: refusal}
    system = StandInSystem(lambda _, attempt: outcomes.get(attempt))
    records = run(system, deadline_s=5.0)
    assert {record.end for record in records} == {JobEnd.COMPLETE}
    assert all(record.said_not_run for record in records)


def test_crossed_answers_are_not_whole():
    other = json_response(200, {'state': 'complete', 'results': ['r-999/0']})
    records = run(StandInSystem(lambda *_: other))
    assert not any(record.whole for record in records)


def test_failed_job_is_no_retry():
    failed = json_response(200, {'state': 'failed', 'error': 'task 0 failed'})
    records = run(StandInSystem(lambda *_: failed))
    assert {record.end for record in records} == {JobEnd.FAILED}
    assert {record.attempts for record in records} == {1}


def test_response_counts_from_the_scheduled_arrival():
    records = run(StandInSystem(), start_s=time.monotonic() - 3.0)
    assert all(record.response_s >= 2.8 for record in records)
