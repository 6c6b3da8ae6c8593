"""Tests that each broken promise is found."""

from dataclasses import replace

import pytest
from cactushead_cli.bench.promises import RunEvidence, check_promises
from cactushead_cli.bench.records import JobEnd, JobRecord
from cactushead_cli.bench.schedule import PlannedJob
from cactushead_cli.bench.starts import TaskStart, read_starts
from cactushead_cli.client import UsageError

JOB = PlannedJob(0, 0.0, 'ann', 'book', (0.1, 0.1))
COMPLETE = JobRecord(0, JobEnd.COMPLETE, 0.1, 0.0, 1, whole=True)
REFUSED = JobRecord(
    0, JobEnd.REFUSED, 0.1, 0.0, 1, status=429, said_not_run=True
)
UNANSWERED = JobRecord(0, JobEnd.UNANSWERED, 35.0, 0.0, 3)
BOTH = (TaskStart('a', 'r-0', 0, 1.0), TaskStart('b', 'r-0', 1, 1.0))
RIGHT = RunEvidence('r', {0: JOB}, (COMPLETE,), BOTH, {})


def broken(evidence):
    return [found.promise for found in check_promises(evidence) if found.count]


def test_right_run_breaks_nothing():
    assert not broken(RIGHT)
    assert len(check_promises(RIGHT)) == 7


@pytest.mark.parametrize(
    ('changes', 'promise'),
    [
        ({'starts': (*BOTH, BOTH[0])}, 'task started twice'),
        (
            {'starts': (*BOTH, replace(BOTH[0], upstream='c'))},
            'task started twice',
        ),
        ({'starts': BOTH[:1]}, 'complete without a start'),
        (
            {'starts': (*BOTH, replace(BOTH[0], task_index=2))},
            'start of an unknown task',
        ),
        (
            {'records': (replace(COMPLETE, whole=False),)},
            'answer is not whole',
        ),
        (
            {'records': (REFUSED,), 'starts': BOTH[:1]},
            'said not run, but started',
        ),
        ({'records': ()}, 'job without a record'),
        (
            {'records': (UNANSWERED,), 'final_states': {0: 'running'}},
            'job never ended',
        ),
    ],
)
def test_broken_promise_is_found(changes, promise):
    assert broken(replace(RIGHT, **changes)) == [promise]


@pytest.mark.parametrize('state', ['complete', 'failed', 'not known'])
def test_late_end_is_an_end(state):
    evidence = replace(
        RIGHT, records=(UNANSWERED,), final_states={0: state}, starts=()
    )
    assert not broken(evidence)


def test_start_checks_are_left_out_without_records():
    assert len(check_promises(replace(RIGHT, starts=None))) == 3


def test_starts_of_other_runs_are_left_out(tmp_path):
    folder = tmp_path / 'starts'
    folder.mkdir()
    line = '{"task_id": "s/%s/0", "job_key": "%s", "task_index": 0}\n'
    lines = line % ('r-0', 'r-0') + line % ('rr-0', 'rr-0')
    (folder / 'up.jsonl').write_text(lines)
    starts = read_starts(str(tmp_path), 'r')
    assert [start.job_key for start in starts] == ['r-0']
    assert starts[0].upstream == 'up'


def test_missing_start_records_are_bad_use(tmp_path):
    with pytest.raises(UsageError):
        read_starts(str(tmp_path), 'r')
