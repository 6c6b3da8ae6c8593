"""Tests of what a new leader holds back."""

from cactushead_core.documents import RequestKind
from cactushead_core.entry.barrier import TERM_STARTS, TakeoverBarrier
from cactushead_core.entry.job import OpenJob, OpenTask
from cactushead_core.entry.tests.cluster import sample_request


def held_job(barrier):
    request = sample_request('k', 2)
    tasks = [OpenTask() for _ in request.tasks]
    job = OpenJob(request, RequestKind('echo'), 1, 9.0, True, tasks)
    for index in range(2):
        barrier.hold(job, index)
    return job


def test_last_report_releases():
    barrier = TakeoverBarrier(3, {'a0', 'a1'})
    held_job(barrier)
    assert not barrier.reported('a0')
    assert len(barrier.reported('a1')) == 2
    assert barrier.passed


def test_lost_agent_may_have_run_what_is_held():
    barrier = TakeoverBarrier(3, {'a0', 'a1'})
    held_job(barrier)
    barrier.reported('a0')
    assert len(barrier.lost('a1')) == 2


def test_agent_that_reported_before_it_was_lost_ran_nothing_else():
    barrier = TakeoverBarrier(3, {'a0', 'a1'})
    held_job(barrier)
    barrier.reported('a0')
    assert not barrier.lost('a0')


def test_cell_without_agents_holds_nothing():
    assert TakeoverBarrier(3, set()).passed


def test_placements_of_a_term_have_numbers_of_their_own():
    # An agent ignores a number that it refused in an earlier term.
    barrier = TakeoverBarrier(3, {'a0'})
    job = held_job(barrier)
    barrier.reported('a0')
    assert {task.start for task in job.tasks} == {3 * TERM_STARTS}
