"""Tests of failovers, crashes, partitions and delayed messages."""

import dataclasses

import pytest

from cactushead_core.effects import AnswerResponse, DocumentResponse
from cactushead_core.entry.tests.cluster import (
    Cluster,
    await_response,
    sample_document,
    sample_request,
)
from cactushead_core.events import (
    DocumentSubmitted,
    DrainRequested,
    JobCancelRequested,
    JobSubmitted,
    MessageReceived,
    TurnEnded,
)
from cactushead_core.jobs import Attempt, JobState
from cactushead_core.jobs.messages import (
    JobAnswered,
    JobRefused,
    SubmitJob,
    TermMismatch,
)
from cactushead_core.jobs.records import AgentRegistered, JobEnded
from cactushead_core.messages import decode_message

KINDS = ('echo', 'book')


@pytest.fixture
def cluster():
    cluster = Cluster(entries=4, voters=3, agents=3, slots=2)
    assert cluster.run_until(lambda: cluster.leaders)
    cluster.send_request('e3', DocumentSubmitted, sample_document())
    cluster.run(2.0)
    return cluster


def submit(cluster, key, tasks=3, kind='book', entry='e3'):
    request = sample_request(key, tasks, kind)
    return cluster.send_request(entry, JobSubmitted, request, True)


def set_run_duration(cluster, run_s):
    for process in cluster.processes.values():
        if process.upstream:
            process.upstream.run_s = run_s


def all_started_once(cluster):
    return set(cluster.start_counts.values()) <= {1}


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('after_s', [0.0, 0.01, 0.02, 0.03, 0.1, 0.5])
def test_leader_crash_around_admission(cluster, kind, after_s):
    set_run_duration(cluster, 0.5)
    request_id = submit(cluster, 'k', 8, kind)
    cluster.run(after_s)
    cluster.crash(cluster.leaders[0])
    response = await_response(cluster, request_id)
    assert isinstance(response, AnswerResponse)
    assert response.answer.state is JobState.COMPLETE
    assert all_started_once(cluster)


@pytest.mark.parametrize('kind', KINDS)
def test_no_start_before_a_majority_holds_the_admission(cluster, kind):
    leader = cluster.leaders[0]
    cluster.block_sends_to_voters(leader)
    submit(cluster, 'k', 3, kind, leader)
    cluster.run(0.2)
    assert cluster.leaders == [leader]
    assert not cluster.start_counts


@pytest.mark.parametrize(('kind', 'started'), [('echo', 3), ('book', 0)])
def test_only_repeatable_jobs_start_before_sync(cluster, kind, started):
    cluster.sync_probability = 0.0
    submit(cluster, 'k', 3, kind)
    cluster.run(0.3)
    assert len(cluster.start_counts) == started


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('after_s', [0.41, 0.42, 0.43, 0.45, 0.5, 0.7])
def test_leader_crash_before_later_placements_are_logged(
    cluster, kind, after_s
):
    set_run_duration(cluster, 0.4)
    request_id = submit(cluster, 'k', 20, kind)
    cluster.run(after_s)
    cluster.crash(cluster.leaders[0])
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.COMPLETE
    assert all_started_once(cluster)


def start_unrecorded_placements(cluster):
    """Returns a request whose placements are not logged, and its agents.

    The tasks of its job are started at the agents, but no voter has applied
    a record of their placements.
    """
    set_run_duration(cluster, 0.4)
    submit(cluster, 'fill', 7)
    cluster.run(0.1)
    request_id = submit(cluster, 'k', 6)
    for _ in range(60):
        cluster.run(0.01)
        agent_names = {
            name
            for name, process in cluster.processes.items()
            if process.upstream
            and any('/k/' in task for task in process.upstream.starts)
        }
        if agent_names:
            break
    for voter in cluster.voters:
        state = cluster.processes[voter].node.applied_log.state
        assert not state.jobs[sample_request('k').job].placements
    return request_id, sorted(agent_names)


def test_unrecorded_placement_waits_for_report_of_its_agent(cluster):
    request_id, agent_names = start_unrecorded_placements(cluster)
    for voter in cluster.voters:
        cluster.partition(agent_names[0], voter)
    cluster.crash(cluster.leaders[0])
    cluster.run(3.0)
    cluster.heal()
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.COMPLETE
    assert all_started_once(cluster)


@pytest.mark.parametrize('order', ['leader first', 'agent first'])
def test_unrecorded_placement_may_have_run_on_a_lost_agent(cluster, order):
    request_id, agent_names = start_unrecorded_placements(cluster)
    victims = [cluster.leaders[0], agent_names[0]]
    for name in victims if order == 'leader first' else victims[::-1]:
        cluster.crash(name)
    cluster.start(agent_names[0])
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.FAILED
    assert not response.answer.not_run
    cluster.run(5.0)
    later = await_response(cluster, submit(cluster, 'later', 20))
    assert later.answer.state is JobState.COMPLETE
    assert all_started_once(cluster)


def test_job_end_precedes_reregistration_of_its_lost_agent(cluster):
    # A leader that finds the new incarnation in the log must also find the
    # end of the job. Otherwise it would place tasks that may have run.
    request_id, agent_names = start_unrecorded_placements(cluster)
    cluster.crash(cluster.leaders[0])
    cluster.crash(agent_names[0])
    cluster.start(agent_names[0])
    await_response(cluster, request_id)
    cluster.run(1.0)
    entries = cluster.processes[cluster.leaders[0]].disk.entries
    records = [
        decode_message(entries[index].command)
        for index in sorted(entries)
        if entries[index].command
    ]
    job = sample_request('k').job
    ended = [isinstance(r, JobEnded) and r.answer.job == job for r in records]
    registered_again = AgentRegistered(agent_names[0], f'{agent_names[0]}-2')
    assert ended.index(True) < records.index(registered_again)


def test_task_is_not_placed_before_its_job_is_admitted(cluster):
    set_run_duration(cluster, 0.4)
    leader = cluster.leaders[0]
    submit(cluster, 'fill', 6, 'book', leader)
    cluster.run(0.3)
    cluster.block_sends_to_voters(leader)
    submit(cluster, 'k', 3, 'echo', leader)
    cluster.run(0.3)
    assert cluster.leaders == [leader]
    assert not any('/k/' in task for task in cluster.start_counts)


def test_second_leader_crash_while_deregistering_an_agent(cluster):
    # The log must not contain the new incarnation without the end of the
    # job.
    request_id, agent_names = start_unrecorded_placements(cluster)
    cluster.crash(cluster.leaders[0])
    cluster.crash(agent_names[0])
    cluster.start(agent_names[0])
    assert cluster.run_until(lambda: cluster.leaders)
    for name in cluster.voters:
        if cluster.processes[name].node is None:
            cluster.start(name)
    cluster.run(0.05)
    for name in cluster.leaders:
        cluster.crash(name)
    cluster.run(5.0)
    assert await_response(cluster, request_id).answer.state is JobState.FAILED
    assert all_started_once(cluster)


def test_cancel_of_unrecorded_placement_is_not_reported_as_not_run(cluster):
    request_id, _ = start_unrecorded_placements(cluster)
    for name in ('a0', 'a1', 'a2'):
        cluster.processes[name].paused = True
    cluster.crash(cluster.leaders[0])
    assert cluster.run_until(lambda: cluster.leaders)
    cluster.send_request('e3', JobCancelRequested, sample_request('k').job)
    cluster.run(1.0)
    for name in ('a0', 'a1', 'a2'):
        cluster.processes[name].paused = False
    assert not await_response(cluster, request_id).answer.not_run


@pytest.mark.parametrize('kind', KINDS)
def test_all_voters_restart_at_once(cluster, kind):
    set_run_duration(cluster, 1.0)
    request_id = submit(cluster, 'k', 8, kind)
    cluster.run(0.3)
    for name in cluster.voters:
        cluster.crash(name)
    for name in cluster.voters:
        cluster.start(name)
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.COMPLETE
    assert all_started_once(cluster)


def test_all_processes_restart_at_once(cluster):
    set_run_duration(cluster, 1.0)
    submit(cluster, 'k', 8)
    cluster.run(0.3)
    for name in cluster.processes:
        cluster.crash(name)
    for name in cluster.processes:
        cluster.start(name)
    cluster.run(5.0)
    response = await_response(cluster, submit(cluster, 'k', 8))
    assert response.answer.state is JobState.FAILED
    later = await_response(cluster, submit(cluster, 'later'))
    assert later.answer.state is JobState.COMPLETE
    assert all_started_once(cluster)


def test_paused_leader_decides_nothing_after_resume(cluster):
    leader = cluster.leaders[0]
    set_run_duration(cluster, 0.3)
    request_id = submit(cluster, 'k', 4)
    cluster.run(0.02)
    cluster.processes[leader].paused = True
    # Links of a paused process break only after a time-out, as with TCP.
    cluster.run(2.0)
    for other in list(cluster.processes):
        if other != leader:
            cluster.partition(leader, other)
    response = await_response(cluster, request_id)
    cluster.processes[leader].paused = False
    cluster.heal()
    cluster.run(5.0)
    assert response.answer.state is JobState.COMPLETE
    assert all_started_once(cluster)


def test_paused_agent_starts_nothing_after_resume(cluster):
    set_run_duration(cluster, 0.2)
    cluster.processes['a0'].paused = True
    request_id = submit(cluster, 'k', 6)
    cluster.run(20.0)
    cluster.processes['a0'].paused = False
    cluster.run(5.0)
    assert request_id in cluster.responses
    assert not cluster.processes['a0'].upstream.starts
    assert all_started_once(cluster)


def test_leader_partitioned_from_voters_is_replaced(cluster):
    leader = cluster.leaders[0]
    for voter in cluster.voters:
        if voter != leader:
            cluster.partition(leader, voter)
    cluster.run(3.0)
    assert cluster.leaders != [leader]
    response = await_response(cluster, submit(cluster, 'k'))
    assert response.answer.state is JobState.COMPLETE
    assert all_started_once(cluster)


def test_cancel_concurrent_with_assignment(cluster):
    request_id = submit(cluster, 'k', 2)
    job = sample_request('k').job
    for _ in range(5):
        cluster.run(0.01)
        cluster.send_request('e3', JobCancelRequested, job)
    response = await_response(cluster, request_id)
    cluster.run(5.0)
    ran = any(task.startswith('sample/k/') for task in cluster.start_counts)
    assert response.answer.not_run is not ran


def test_leader_crash_between_task_failure_and_restart(cluster):
    # The report of the agent is the only record of the failed start that a
    # new leader has.
    for name in ('a0', 'a1', 'a2'):
        cluster.processes[name].upstream.fail = True
    set_run_duration(cluster, 0.3)
    request_id = submit(cluster, 'k', 1, 'retry')
    cluster.run(0.1)
    leader = cluster.leaders[0]
    cluster.block_sends_to_voters(leader)
    cluster.run(0.5)
    assert sum(cluster.start_counts.values()) == 1
    cluster.crash(leader)
    cluster.heal()
    cluster.send_request('e3', JobCancelRequested, sample_request('k').job)
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.FAILED
    assert not response.answer.not_run


def test_cancel_waits_for_the_outcome_from_the_agent(cluster):
    for name in ('a0', 'a1', 'a2'):
        cluster.processes[name].paused = True
    request_id = submit(cluster, 'k', 2)
    cluster.run(0.1)
    cluster.send_request('e3', JobCancelRequested, sample_request('k').job)
    cluster.run(0.5)
    assert request_id not in cluster.responses
    for name in ('a0', 'a1', 'a2'):
        cluster.processes[name].paused = False
    assert await_response(cluster, request_id).answer.state is JobState.FAILED


def test_agent_drains_during_leader_change(cluster):
    set_run_duration(cluster, 1.0)
    request_id = submit(cluster, 'k', 6)
    cluster.run(0.2)
    process = cluster.processes['a0']
    process.inbox.append(DrainRequested(cluster.clock(process)))
    cluster.crash(cluster.leaders[0])
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.COMPLETE
    assert cluster.run_until(lambda: 'a0' in cluster.drained)
    assert all_started_once(cluster)


def test_leader_crash_after_an_agent_has_drained(cluster):
    # The next leader must not wait for the report of a drained agent.
    set_run_duration(cluster, 1.0)
    process = cluster.processes['a0']
    process.inbox.append(DrainRequested(cluster.clock(process)))
    assert cluster.run_until(lambda: 'a0' in cluster.drained)
    cluster.crash('a0')
    request_id = submit(cluster, 'k', 12)
    cluster.run(0.3)
    cluster.crash(cluster.leaders[0])
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.COMPLETE


def test_entry_drains_during_leader_change(cluster):
    set_run_duration(cluster, 1.0)
    request_id = submit(cluster, 'k', 6)
    cluster.run(0.2)
    process = cluster.processes['e3']
    process.inbox.append(DrainRequested(cluster.clock(process)))
    cluster.crash(cluster.leaders[0])
    response = await_response(cluster, request_id)
    assert response.answer.state is JobState.COMPLETE
    assert cluster.run_until(lambda: 'e3' in cluster.drained)


def test_one_of_two_concurrent_document_updates_is_accepted(cluster):
    ours = sample_document(2)
    theirs = dataclasses.replace(ours, digest=b'theirs')
    request_ids = [
        cluster.send_request(entry, DocumentSubmitted, document)
        for entry, document in (('e0', ours), ('e3', theirs))
    ]
    responses = [
        await_response(cluster, request_id) for request_id in request_ids
    ]
    won = [r for r in responses if isinstance(r, DocumentResponse)]
    assert len(won) == 1


def test_document_resubmission_after_leader_crash(cluster):
    leader = cluster.leaders[0]
    document = sample_document(2)
    cluster.send_request(leader, DocumentSubmitted, document)
    cluster.run(0.3)
    cluster.crash(leader)
    request_id = cluster.send_request('e3', DocumentSubmitted, document)
    response = await_response(cluster, request_id)
    assert isinstance(response, DocumentResponse)
    assert response.version == 2


def test_partitioned_voter_catches_up_after_heal(cluster):
    follower = next(v for v in cluster.voters if v not in cluster.leaders)
    for other in cluster.processes:
        if other != follower:
            cluster.partition(follower, other)
    for version in range(2, 6):
        cluster.send_request('e3', DocumentSubmitted, sample_document(version))
        cluster.run(1.0)
    cluster.heal()
    cluster.run(3.0)
    state = cluster.processes[follower].node.applied_log.state
    assert state.documents['sample'].version == 5


def test_restarted_voter_catches_up_on_many_documents(cluster):
    follower = next(v for v in cluster.voters if v not in cluster.leaders)
    cluster.crash(follower)
    for version in range(2, 400):
        cluster.send_request('e3', DocumentSubmitted, sample_document(version))
        cluster.run(0.02)
    cluster.start(follower)
    cluster.run(5.0)
    state = cluster.processes[follower].node.applied_log.state
    assert state.documents['sample'].version == 399


@pytest.mark.parametrize('kind', KINDS)
def test_second_voter_lost_after_disk_replacement(cluster, kind):
    first = await_response(cluster, submit(cluster, 'k', kind=kind))
    leader = cluster.leaders[0]
    one, two = [v for v in cluster.voters if v != leader]
    cluster.crash(one)
    cluster.replace_disk(one)
    cluster.start(one)
    cluster.run(10.0)
    cluster.crash(two)
    cluster.replace_disk(two)
    cluster.run(3.0)
    again = await_response(cluster, submit(cluster, 'k', kind=kind))
    assert again == first
    assert all_started_once(cluster)


def deliver(node, sender, message, now_s):
    effects = node.reduce(MessageReceived(now_s, sender, message))
    return effects + node.reduce(TurnEnded(now_s))


def sent_messages(effects, message_type):
    return [
        effect.message
        for effect in effects
        if isinstance(getattr(effect, 'message', None), message_type)
    ]


def delayed_submission(cluster, term, sequence=99, **changes):
    request = sample_request('late', **changes)
    attempt = Attempt('e3', 'e3-1', sequence)
    return SubmitJob(attempt, term, request, 0.0, wait=True)


def test_delayed_submission_for_earlier_term_starts_nothing(cluster):
    process = cluster.processes[cluster.leaders[0]]
    sender = cluster.processes['e3'].peer
    message = delayed_submission(cluster, process.node.leader.term - 1)
    now_s = cluster.clock(process)
    effects = deliver(process.node, sender, message, now_s)
    assert sent_messages(effects, TermMismatch)
    cluster.run(2.0)
    assert not cluster.start_counts


def test_hint_that_names_the_receiver_is_not_followed(cluster):
    # A restarted leader that followed such a hint resent the request to itself
    # in an endless loop within one turn.
    follower = next(v for v in cluster.voters if v not in cluster.leaders)
    process = cluster.processes[follower]
    for other in cluster.processes:
        if other != follower:
            cluster.partition(follower, other)
    cluster.run(0.2)
    submit(cluster, 'k', entry=follower)
    cluster.run(0.1)
    term = process.node.gateway.term
    for named in (follower, ''):
        for later in (0, 1):
            attempt = Attempt(follower, process.peer.incarnation, 1)
            message = TermMismatch(attempt, term + later, named)
            now_s = cluster.clock(process)
            sender = cluster.processes['e3'].peer
            effects = deliver(process.node, sender, message, now_s)
            assert not sent_messages(effects, SubmitJob)


def test_delayed_copy_of_refused_submission_is_refused(cluster):
    # The first refusal guarantees that the request was not run.
    process = cluster.processes[cluster.leaders[0]]
    sender = cluster.processes['e3'].peer
    term = process.node.leader.term
    too_many = delayed_submission(cluster, term, tasks=20_000)
    now_s = cluster.clock(process)
    first = deliver(process.node, sender, too_many, now_s)
    assert sent_messages(first, JobRefused)[0].refusal.not_run
    raised = sample_document(2, job_tasks=30_000, queue_tasks=30_000)
    await_response(
        cluster, cluster.send_request('e3', DocumentSubmitted, raised)
    )
    now_s = cluster.clock(process)
    again = deliver(process.node, sender, too_many, now_s)
    assert sent_messages(again, JobRefused)
    cluster.run(1.0)
    assert not cluster.start_counts


def test_submission_older_than_window_may_have_run(cluster):
    process = cluster.processes[cluster.leaders[0]]
    sender = cluster.processes['e3'].peer
    message = delayed_submission(cluster, process.node.leader.term)
    message = dataclasses.replace(message, age_s=1e6)
    now_s = cluster.clock(process)
    effects = deliver(process.node, sender, message, now_s)
    assert not sent_messages(effects, JobRefused)[0].refusal.not_run
    assert not sent_messages(effects, JobAnswered)


def test_document_change_while_jobs_are_queued(cluster):
    set_run_duration(cluster, 1.0)
    request_ids = [submit(cluster, f'k{index}', 4) for index in range(4)]
    cluster.run(0.2)
    stricter = sample_document(2, concurrent_tasks=1)
    cluster.send_request('e3', DocumentSubmitted, stricter)
    cluster.run(30.0)
    states = {cluster.responses[a].answer.state for a in request_ids}
    assert states == {JobState.COMPLETE}
    assert all_started_once(cluster)
