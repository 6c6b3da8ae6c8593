"""Tests that the violation of each invariant is found."""

from dataclasses import replace

import pytest
from cactushead_cli.bench.invariants import RunObservations, check_invariants
from cactushead_cli.bench.records import JobOutcome, JobRecord
from cactushead_cli.bench.schedule import PlannedJob
from cactushead_cli.bench.starts import TaskStart, read_starts
from cactushead_cli.client import UsageError

JOB = PlannedJob(0, 0.0, 'ann', 'book', (0.1, 0.1))
COMPLETE = JobRecord(0, JobOutcome.COMPLETE, 0.1, 0.0, 1, whole=True)
REFUSED = JobRecord(
    0, JobOutcome.REFUSED, 0.1, 0.0, 1, status=429, said_not_run=True
)
UNANSWERED = JobRecord(0, JobOutcome.UNANSWERED, 35.0, 0.0, 3)
BOTH_STARTS = (TaskStart('a', 'r-0', 0, 1.0), TaskStart('b', 'r-0', 1, 1.0))
VALID_RUN = RunObservations('r', {0: JOB}, (COMPLETE,), BOTH_STARTS, {})


def violated_invariants(observations):
    return [
        check.promise for check in check_invariants(observations) if check.count
    ]


def test_valid_run_has_no_violations():
    assert not violated_invariants(VALID_RUN)
    assert len(check_invariants(VALID_RUN)) == 7


@pytest.mark.parametrize(
    ('changes', 'promise'),
    [
        ({'starts': (*BOTH_STARTS, BOTH_STARTS[0])}, 'task started twice'),
        (
            {'starts': (*BOTH_STARTS, replace(BOTH_STARTS[0], upstream='c'))},
            'task started twice',
        ),
        ({'starts': BOTH_STARTS[:1]}, 'complete without a start'),
        (
            {'starts': (*BOTH_STARTS, replace(BOTH_STARTS[0], task_index=2))},
            'start of an unknown task',
        ),
        (
            {'records': (replace(COMPLETE, whole=False),)},
            'answer is not whole',
        ),
        (
            {'records': (REFUSED,), 'starts': BOTH_STARTS[:1]},
            'said not run, but started',
        ),
        ({'records': ()}, 'job without a record'),
        (
            {'records': (UNANSWERED,), 'final_states': {0: 'running'}},
            'job never ended',
        ),
    ],
)
def test_violation_is_found(changes, promise):
    assert violated_invariants(replace(VALID_RUN, **changes)) == [promise]


@pytest.mark.parametrize('state', ['complete', 'failed', 'not known'])
def test_job_that_ended_late_is_not_unfinished(state):
    observations = replace(
        VALID_RUN, records=(UNANSWERED,), final_states={0: state}, starts=()
    )
    assert not violated_invariants(observations)


def test_start_checks_are_omitted_without_start_records():
    assert len(check_invariants(replace(VALID_RUN, starts=None))) == 3


def test_starts_of_other_runs_are_ignored(tmp_path):
    folder = tmp_path / 'starts'
    folder.mkdir()
    line = '{"task_id": "s/%s/0", "job_key": "%s", "task_index": 0}\n'
    lines = line % ('r-0', 'r-0') + line % ('rr-0', 'rr-0')
    (folder / 'up.jsonl').write_text(lines)
    starts = read_starts(str(tmp_path), 'r')
    assert [start.job_key for start in starts] == ['r-0']
    assert starts[0].upstream == 'up'


def test_missing_start_records_are_a_usage_error(tmp_path):
    with pytest.raises(UsageError):
        read_starts(str(tmp_path), 'r')
