"""Tests of the whole path through the reducers."""

import pytest

from cactushead_core.effects import (
    AcceptedResponse,
    AnswerResponse,
    DocumentResponse,
    RefusalResponse,
    StatusResponse,
)
from cactushead_core.entry.tests.cluster import (
    SERVICE,
    Cluster,
    answer,
    sample_document,
    sample_request,
)
from cactushead_core.events import (
    DocumentSubmitted,
    DrainRequested,
    JobCancelRequested,
    JobQueried,
    JobSubmitted,
)
from cactushead_core.jobs import JobId, JobState, RefusalReason


@pytest.fixture
def cluster():
    cluster = Cluster(entries=2, voters=1, agents=2)
    assert cluster.run_until(lambda: cluster.leaders)
    submit_document(cluster, sample_document())
    cluster.run(1.0)
    return cluster


def submit_document(cluster, document):
    response = answer(cluster, cluster.ask('e0', DocumentSubmitted, document))
    assert isinstance(response, DocumentResponse)
    return response


def submit(cluster, request, entry='e0', wait=True):
    return cluster.ask(entry, JobSubmitted, request, wait)


def test_job_returns_whole_answer_in_order(cluster):
    response = answer(cluster, submit(cluster, sample_request('k', 20)))
    assert response.answer.state is JobState.COMPLETE
    expected = tuple(f'"k-{index}"'.encode() for index in range(20))
    assert response.answer.results == expected


def test_thin_entry_forwards(cluster):
    response = answer(cluster, submit(cluster, sample_request('k'), 'e1'))
    assert response.answer.state is JobState.COMPLETE


def test_resubmission_starts_nothing(cluster):
    first = answer(cluster, submit(cluster, sample_request('k')))
    again = answer(cluster, submit(cluster, sample_request('k'), 'e1'))
    assert again == first
    assert set(cluster.starts.values()) == {1}


def test_racing_resubmissions_share_one_job(cluster):
    asked = [submit(cluster, sample_request('k'), e) for e in ('e0', 'e1')]
    responses = {answer(cluster, request_id) for request_id in asked}
    assert len(responses) == 1
    assert set(cluster.starts.values()) == {1}


def test_same_key_with_other_content_conflicts(cluster):
    answer(cluster, submit(cluster, sample_request('k', 3)))
    response = answer(cluster, submit(cluster, sample_request('k', 4)))
    assert response.refusal.reason is RefusalReason.KEY_CONFLICT


def test_respond_async_is_accepted_and_queried(cluster):
    response = answer(cluster, submit(cluster, sample_request('k'), wait=False))
    assert isinstance(response, AcceptedResponse)
    cluster.run(2.0)
    status = answer(cluster, cluster.ask('e1', JobQueried, JobId(SERVICE, 'k')))
    assert isinstance(status, StatusResponse)
    assert status.status.state is JobState.COMPLETE


def test_cancelled_before_start_was_not_run(cluster):
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.run_s = 5.0
    submit(cluster, sample_request('first', 8))
    cluster.run(0.5)
    queued = submit(cluster, sample_request('k'))
    cluster.run(0.5)
    cluster.ask('e0', JobCancelRequested, JobId(SERVICE, 'k'))
    response = answer(cluster, queued)
    assert response.answer.not_run
    cluster.run(10.0)
    assert not any(task.startswith('sample/k/') for task in cluster.starts)


def test_cancelled_in_the_turn_of_its_admission(cluster):
    # The end of a job must not stand before its admission in the log.
    asked = submit(cluster, sample_request('k'))
    cluster.ask('e0', JobCancelRequested, JobId(SERVICE, 'k'))
    assert answer(cluster, asked).answer.not_run
    cluster.run(1.0)
    assert not cluster.starts


def test_cancelled_while_running(cluster):
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.run_s = 5.0
    running = submit(cluster, sample_request('k'))
    cluster.run(0.5)
    cluster.ask('e0', JobCancelRequested, JobId(SERVICE, 'k'))
    response = answer(cluster, running)
    assert response.answer.state is JobState.FAILED
    assert not response.answer.not_run


def test_deadline_fails_the_job(cluster):
    cluster.processes['a0'].upstream.run_s = 9.0
    cluster.processes['a1'].upstream.run_s = 9.0
    response = answer(
        cluster, submit(cluster, sample_request('k', deadline_s=1.0))
    )
    assert response.answer.error == 'deadline passed'


def test_failing_task_fails_the_job_after_one_start(cluster):
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.fail = True
    response = answer(cluster, submit(cluster, sample_request('k')))
    assert response.answer.state is JobState.FAILED
    assert set(cluster.starts.values()) == {1}


def test_declared_restart_after_failure(cluster):
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.fail = True
    request = submit(cluster, sample_request('k', 1, 'retry'))
    response = answer(cluster, request)
    assert response.answer.state is JobState.FAILED
    assert cluster.starts == {'sample/k/0': 3}


@pytest.mark.parametrize(
    ('request_', 'reason'),
    [
        (sample_request('k', kind='none'), RefusalReason.INVALID),
        (sample_request('k', 20_000), RefusalReason.TOO_LARGE),
    ],
)
def test_refusal_starts_nothing(cluster, request_, reason):
    response = answer(cluster, submit(cluster, request_))
    assert isinstance(response, RefusalResponse)
    assert response.refusal.reason is reason
    assert response.refusal.not_run
    cluster.run(1.0)
    assert not cluster.starts


def test_full_queue_refuses(cluster):
    submit_document(cluster, sample_document(2, queue_tasks=10))
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.run_s = 5.0
    submit(cluster, sample_request('running', 8))
    cluster.run(0.2)
    submit(cluster, sample_request('waiting', 8))
    cluster.run(0.2)
    response = answer(cluster, submit(cluster, sample_request('k', 8)))
    assert response.refusal.reason is RefusalReason.QUEUE_FULL
    assert response.refusal.not_run
    assert response.refusal.retry_after_s > 0
    assert not any(task.startswith('sample/k/') for task in cluster.starts)


def test_equal_version_is_a_resend_or_a_conflict(cluster):
    again = submit_document(cluster, sample_document())
    assert set(again.in_force) == {'e0', 'e1', 'a0', 'a1'}
    other = sample_document()
    other = type(other)(
        **{
            name: getattr(other, name)
            for name in type(other).__dataclass_fields__
        }
        | {'digest': b'other'}
    )
    response = answer(cluster, cluster.ask('e1', DocumentSubmitted, other))
    assert response.refusal.reason is RefusalReason.VERSION_CONFLICT


def test_restarted_agent_runs_nothing_twice(cluster):
    cluster.processes['a0'].upstream.run_s = 3.0
    cluster.processes['a1'].upstream.run_s = 3.0
    request_id = submit(cluster, sample_request('k', 8, 'book'))
    cluster.run(0.5)
    cluster.crash('a0')
    cluster.start('a0')
    response = answer(cluster, request_id)
    assert response.answer.state is JobState.FAILED
    cluster.run(5.0)
    later = answer(cluster, submit(cluster, sample_request('later', 8)))
    assert later.answer.state is JobState.COMPLETE
    assert set(cluster.starts.values()) == {1}


def test_cut_agent_returns_with_its_outcomes(cluster):
    request_id = submit(cluster, sample_request('k', 8))
    cluster.run(0.1)
    cluster.cut('a0', 'e0')
    cluster.run(1.0)
    cluster.heal()
    response = answer(cluster, request_id)
    assert response.answer.state is JobState.COMPLETE
    assert set(cluster.starts.values()) == {1}


def test_leaving_agent_drains_and_gets_no_work(cluster):
    running = submit(cluster, sample_request('k', 8))
    cluster.run(0.1)
    process = cluster.processes['a0']
    process.inbox.append(DrainRequested(cluster.clock(process)))
    assert answer(cluster, running).answer.state is JobState.COMPLETE
    assert cluster.run_until(lambda: 'a0' in cluster.drained)
    count = len(process.upstream.starts)
    response = answer(cluster, submit(cluster, sample_request('later', 8)))
    assert isinstance(response, AnswerResponse)
    assert len(process.upstream.starts) == count


def test_request_without_a_leader_was_not_run(cluster):
    cluster.crash('e0')
    response = answer(cluster, submit(cluster, sample_request('k'), 'e1'))
    assert response.refusal.reason is RefusalReason.NO_LEADER
    assert response.refusal.not_run
    cluster.start('e0')
    cluster.run(10.0)
    assert not cluster.starts


def test_entry_drains_after_its_answers(cluster):
    request_id = submit(cluster, sample_request('k', 8), 'e1')
    cluster.run(0.05)
    process = cluster.processes['e1']
    process.inbox.append(DrainRequested(cluster.clock(process)))
    response = answer(cluster, request_id)
    assert response.answer.state is JobState.COMPLETE
    assert cluster.run_until(lambda: 'e1' in cluster.drained)
