"""Tests of the replicated state and its snapshots."""

import pytest

from cactushead_core.entry.state import ReplicatedState, StateInvariantError
from cactushead_core.entry.tests.cluster import (
    sample_document,
    sample_request,
)
from cactushead_core.jobs import JobAnswer, JobState
from cactushead_core.jobs.records import (
    AgentRegistered,
    DocumentStored,
    JobAdmitted,
    JobEnded,
    JobsExpired,
    Placement,
    TasksPlaced,
)
from cactushead_core.messages import decode_message, encode_message


def placement(key, start=1):
    job = sample_request(key).job
    return Placement(job, 0, start, 'a0', 'a0-1')


def job_ended(key, state):
    results = (b'1',) * 3 if state is JobState.COMPLETE else ()
    return JobEnded(JobAnswer(sample_request(key).job, state, results))


def job_admitted(key):
    return JobAdmitted(sample_request(key), 1, True, (placement(key),))


@pytest.fixture
def state():
    state = ReplicatedState()
    for record in (
        DocumentStored(sample_document()),
        AgentRegistered('a0', 'a0-1'),
        job_admitted('open'),
        job_admitted('complete'),
        job_admitted('failed'),
        job_ended('complete', JobState.COMPLETE),
        job_ended('failed', JobState.FAILED),
    ):
        state.apply(record)
    return state


def restore_from_snapshot(state):
    copy = ReplicatedState()
    copy.restore(decode_message(encode_message(state.snapshot())))
    return copy


def test_snapshot_restores_the_state(state):
    copy = restore_from_snapshot(state)
    assert copy.jobs == state.jobs
    assert copy.agents == state.agents
    assert copy.documents == state.documents


def test_placement_after_the_end_is_in_the_next_snapshot(state):
    state.snapshot()
    state.apply(TasksPlaced((placement('failed', 2),)))
    job = sample_request('failed').job
    assert restore_from_snapshot(state).jobs[job].placements == {
        0: placement('failed', 2)
    }


@pytest.mark.parametrize(
    'record',
    [
        job_admitted('open'),
        job_ended('failed', JobState.FAILED),
        job_ended('none', JobState.FAILED),
        TasksPlaced((placement('open'),)),
        JobsExpired((sample_request('open').job,)),
        DocumentStored(sample_document(0)),
    ],
)
def test_contradicting_record_is_rejected(state, record):
    with pytest.raises(StateInvariantError):
        state.apply(record)
