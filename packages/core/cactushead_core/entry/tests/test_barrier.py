"""Tests of the barrier that delays tasks after a failover."""

from cactushead_core.documents import RequestKind
from cactushead_core.entry.barrier import TERM_PLACEMENT_STRIDE, TakeoverBarrier
from cactushead_core.entry.job import OpenJob, OpenTask
from cactushead_core.entry.tests.cluster import sample_request


def delay_job(barrier):
    request = sample_request('k', 2)
    tasks = [OpenTask() for _ in request.tasks]
    job = OpenJob(request, RequestKind('echo'), 1, 9.0, True, tasks)
    for index in range(2):
        barrier.delay(job, index)
    return job


def test_last_report_releases_delayed_tasks():
    barrier = TakeoverBarrier(3, {'a0', 'a1'})
    delay_job(barrier)
    assert not barrier.on_report('a0')
    assert len(barrier.on_report('a1')) == 2
    assert barrier.passed


def test_lost_agent_may_have_run_delayed_tasks():
    barrier = TakeoverBarrier(3, {'a0', 'a1'})
    delay_job(barrier)
    barrier.on_report('a0')
    assert len(barrier.on_agent_lost('a1')) == 2


def test_agent_lost_after_its_report_affects_no_delayed_task():
    barrier = TakeoverBarrier(3, {'a0', 'a1'})
    delay_job(barrier)
    barrier.on_report('a0')
    assert not barrier.on_agent_lost('a0')


def test_barrier_without_agents_is_passed():
    assert TakeoverBarrier(3, set()).passed


def test_start_numbers_are_separate_in_each_term():
    # An agent ignores a start number that it refused in an earlier term.
    barrier = TakeoverBarrier(3, {'a0'})
    job = delay_job(barrier)
    barrier.on_report('a0')
    assert {task.start for task in job.tasks} == {3 * TERM_PLACEMENT_STRIDE}
