"""Tests of requests from the entry to the agents and back."""

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
    await_response,
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
    response = await_response(
        cluster, cluster.send_request('e0', DocumentSubmitted, document)
    )
    assert isinstance(response, DocumentResponse)
    return response


def submit(cluster, request, entry='e0', wait=True):
    return cluster.send_request(entry, JobSubmitted, request, wait)


def test_job_returns_all_results_in_task_order(cluster):
    response = await_response(cluster, submit(cluster, sample_request('k', 20)))
    assert response.answer.state is JobState.COMPLETE
    expected = tuple(f'"k-{index}"'.encode() for index in range(20))
    assert response.answer.results == expected


def test_nonvoting_entry_forwards_to_leader(cluster):
    response = await_response(
        cluster, submit(cluster, sample_request('k'), 'e1')
    )
    assert response.answer.state is JobState.COMPLETE


def test_resubmission_starts_nothing(cluster):
    first = await_response(cluster, submit(cluster, sample_request('k')))
    again = await_response(cluster, submit(cluster, sample_request('k'), 'e1'))
    assert again == first
    assert set(cluster.start_counts.values()) == {1}


def test_concurrent_submissions_share_one_job(cluster):
    request_ids = [
        submit(cluster, sample_request('k'), e) for e in ('e0', 'e1')
    ]
    responses = {
        await_response(cluster, request_id) for request_id in request_ids
    }
    assert len(responses) == 1
    assert set(cluster.start_counts.values()) == {1}


def test_same_key_with_other_content_conflicts(cluster):
    await_response(cluster, submit(cluster, sample_request('k', 3)))
    response = await_response(cluster, submit(cluster, sample_request('k', 4)))
    assert response.refusal.reason is RefusalReason.KEY_CONFLICT


def test_respond_async_is_accepted_and_queried(cluster):
    response = await_response(
        cluster, submit(cluster, sample_request('k'), wait=False)
    )
    assert isinstance(response, AcceptedResponse)
    cluster.run(2.0)
    status = await_response(
        cluster, cluster.send_request('e1', JobQueried, JobId(SERVICE, 'k'))
    )
    assert isinstance(status, StatusResponse)
    assert status.status.state is JobState.COMPLETE


def test_job_cancelled_before_start_is_not_run(cluster):
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.run_s = 5.0
    submit(cluster, sample_request('first', 8))
    cluster.run(0.5)
    queued = submit(cluster, sample_request('k'))
    cluster.run(0.5)
    cluster.send_request('e0', JobCancelRequested, JobId(SERVICE, 'k'))
    response = await_response(cluster, queued)
    assert response.answer.not_run
    cluster.run(10.0)
    assert not any(
        task.startswith('sample/k/') for task in cluster.start_counts
    )


def test_job_cancelled_in_the_turn_of_its_admission(cluster):
    # The log must contain the admission of a job before its end.
    request_id = submit(cluster, sample_request('k'))
    cluster.send_request('e0', JobCancelRequested, JobId(SERVICE, 'k'))
    assert await_response(cluster, request_id).answer.not_run
    cluster.run(1.0)
    assert not cluster.start_counts


def test_job_cancelled_while_running(cluster):
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.run_s = 5.0
    running = submit(cluster, sample_request('k'))
    cluster.run(0.5)
    cluster.send_request('e0', JobCancelRequested, JobId(SERVICE, 'k'))
    response = await_response(cluster, running)
    assert response.answer.state is JobState.FAILED
    assert not response.answer.not_run


def test_deadline_fails_the_job(cluster):
    cluster.processes['a0'].upstream.run_s = 9.0
    cluster.processes['a1'].upstream.run_s = 9.0
    response = await_response(
        cluster, submit(cluster, sample_request('k', deadline_s=1.0))
    )
    assert response.answer.error == 'deadline passed'


def test_failing_task_fails_the_job_after_one_start(cluster):
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.fail = True
    response = await_response(cluster, submit(cluster, sample_request('k')))
    assert response.answer.state is JobState.FAILED
    assert set(cluster.start_counts.values()) == {1}


def test_failed_task_restarts_up_to_max_starts(cluster):
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.fail = True
    request = submit(cluster, sample_request('k', 1, 'retry'))
    response = await_response(cluster, request)
    assert response.answer.state is JobState.FAILED
    assert cluster.start_counts == {'sample/k/0': 3}


@pytest.mark.parametrize(
    ('request_', 'reason'),
    [
        (sample_request('k', kind='none'), RefusalReason.INVALID),
        (sample_request('k', 20_000), RefusalReason.TOO_LARGE),
    ],
)
def test_refused_submission_starts_nothing(cluster, request_, reason):
    response = await_response(cluster, submit(cluster, request_))
    assert isinstance(response, RefusalResponse)
    assert response.refusal.reason is reason
    assert response.refusal.not_run
    cluster.run(1.0)
    assert not cluster.start_counts


def test_full_queue_refuses(cluster):
    submit_document(cluster, sample_document(2, queue_tasks=10))
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.run_s = 5.0
    submit(cluster, sample_request('running', 8))
    cluster.run(0.2)
    submit(cluster, sample_request('waiting', 8))
    cluster.run(0.2)
    response = await_response(cluster, submit(cluster, sample_request('k', 8)))
    assert response.refusal.reason is RefusalReason.QUEUE_FULL
    assert response.refusal.not_run
    assert response.refusal.retry_after_s > 0
    assert not any(
        task.startswith('sample/k/') for task in cluster.start_counts
    )


def test_same_version_is_a_resubmission_or_a_conflict(cluster):
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
    response = await_response(
        cluster, cluster.send_request('e1', DocumentSubmitted, other)
    )
    assert response.refusal.reason is RefusalReason.VERSION_CONFLICT


def test_restarted_agent_starts_no_task_twice(cluster):
    cluster.processes['a0'].upstream.run_s = 3.0
    cluster.processes['a1'].upstream.run_s = 3.0
    request_id = submit(cluster, sample_request('k', 8, 'book'))
    cluster.run(0.5)
    cluster.crash('a0')
    cluster.start('a0')
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.FAILED
    cluster.run(5.0)
    later = await_response(cluster, submit(cluster, sample_request('later', 8)))
    assert later.answer.state is JobState.COMPLETE
    assert set(cluster.start_counts.values()) == {1}


def test_partitioned_agent_delivers_its_outcomes_after_heal(cluster):
    request_id = submit(cluster, sample_request('k', 8))
    cluster.run(0.1)
    cluster.partition('a0', 'e0')
    cluster.run(1.0)
    cluster.heal()
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.COMPLETE
    assert set(cluster.start_counts.values()) == {1}


def test_draining_agent_gets_no_new_tasks(cluster):
    running = submit(cluster, sample_request('k', 8))
    cluster.run(0.1)
    process = cluster.processes['a0']
    process.inbox.append(DrainRequested(cluster.clock(process)))
    assert await_response(cluster, running).answer.state is JobState.COMPLETE
    assert cluster.run_until(lambda: 'a0' in cluster.drained)
    count = len(process.upstream.starts)
    response = await_response(
        cluster, submit(cluster, sample_request('later', 8))
    )
    assert isinstance(response, AnswerResponse)
    assert len(process.upstream.starts) == count


def test_request_without_a_leader_was_not_run(cluster):
    cluster.crash('e0')
    response = await_response(
        cluster, submit(cluster, sample_request('k'), 'e1')
    )
    assert response.refusal.reason is RefusalReason.NO_LEADER
    assert response.refusal.not_run
    cluster.start('e0')
    cluster.run(10.0)
    assert not cluster.start_counts


def test_entry_drains_after_open_requests_are_answered(cluster):
    request_id = submit(cluster, sample_request('k', 8), 'e1')
    cluster.run(0.05)
    process = cluster.processes['e1']
    process.inbox.append(DrainRequested(cluster.clock(process)))
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.COMPLETE
    assert cluster.run_until(lambda: 'e1' in cluster.drained)
