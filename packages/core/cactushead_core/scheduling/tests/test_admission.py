"""Tests of admission limits, and of limits after document changes."""

import pytest
from cactushead_core.documents import Limits, Selector, ServiceState
from cactushead_core.jobs import RefusalReason
from cactushead_core.scheduling import (
    ArrivalOrder,
    FirstFitPlacement,
    Scheduler,
)

from .builders import document, outcome, request, spec, task

ALL_ANNOUNCED_S = 10.0
SMALL = Limits(queue_tasks=10, caller_share=0.5, job_tasks=8)


def make(limits=None, upstreams=('u1',), **fields):
    scheduler = Scheduler(ArrivalOrder, FirstFitPlacement())
    scheduler.set_document(document(limits=limits, **fields), 0.0)
    for name in upstreams:
        scheduler.set_upstream(spec(name), available=True, now_s=0.0)
    return scheduler


def fill(scheduler, count, *, caller='c', key='w'):
    for index in range(count):
        scheduler.enqueue(task(key, index, caller=caller))


@pytest.mark.parametrize(
    ('waiting', 'tasks', 'reason', 'place'),
    [
        (0, 5, None, ''),
        (0, 9, RefusalReason.TOO_LARGE, 'tasks'),
        (0, 6, RefusalReason.TOO_LARGE, 'tasks'),
        (3, 3, RefusalReason.QUOTA, ''),
        (6, 5, RefusalReason.QUEUE_FULL, ''),
    ],
)
def test_queue_limits(waiting, tasks, reason, place):
    scheduler = make(SMALL)
    fill(scheduler, waiting)
    refusal = scheduler.find_refusal(request(tasks), ALL_ANNOUNCED_S)
    assert (refusal and refusal.reason) == reason
    if place:
        assert refusal.findings[0].place == place
        assert refusal.retry_after_s == 0
    elif refusal:
        assert refusal.not_run
        assert refusal.retry_after_s > 0


@pytest.mark.parametrize('state', [ServiceState.DRAINING, ServiceState.STOPPED])
def test_service_that_is_not_serving_refuses_jobs(state):
    refusal = make(state=state).find_refusal(request(), ALL_ANNOUNCED_S)
    assert refusal.reason is RefusalReason.NOT_SERVING
    assert refusal.retry_after_s > 0


@pytest.mark.parametrize(
    ('size', 'place'),
    [
        ((65.0, 0.0), 'tasks[0].cores'),
        ((1.0, 200_000.0), 'tasks[0].memory_mb'),
        ((float('nan'), 0.0), 'tasks[0].memory_mb'),
    ],
)
def test_task_larger_than_every_worker_is_refused(size, place):
    refusal = make().find_refusal(request(2, size=size), ALL_ANNOUNCED_S)
    assert refusal.reason is RefusalReason.TOO_LARGE
    assert refusal.findings[0].place == place
    assert len(refusal.findings) == 2


def test_sizes_are_not_checked_without_upstreams():
    scheduler = make(upstreams=())
    assert (
        scheduler.find_refusal(request(size=(999, 0)), ALL_ANNOUNCED_S) is None
    )


def test_sizes_are_not_checked_right_after_a_leader_change():
    assert make().find_refusal(request(size=(999, 0)), 0.1) is None


def test_size_of_a_removed_worker_counts_until_retention_ends():
    scheduler = make(upstreams=('u1',))
    scheduler.set_upstream(spec('big', cores=256), available=True, now_s=5.0)
    scheduler.remove_upstream('big')
    wanted = request(size=(200, 0))
    assert scheduler.find_refusal(wanted, ALL_ANNOUNCED_S) is None
    assert scheduler.find_refusal(wanted, 1000.0) is not None


def test_unknown_service_is_refused():
    scheduler = make()
    other = request(service='other')
    refusal = scheduler.find_refusal(other, ALL_ANNOUNCED_S)
    assert refusal.reason is RefusalReason.UNKNOWN_SERVICE


def test_retry_time_follows_the_drain_rate():
    scheduler = make(Limits(queue_tasks=100))
    fill(scheduler, 100)
    ended = 0
    for step in range(1, 5):
        for placed in scheduler.place(ALL_ANNOUNCED_S + step):
            ended += 1
            scheduler.task_ended(
                'u1', outcome(placed.task), ALL_ANNOUNCED_S + step
            )
    fill(scheduler, ended, key='more')
    refusal = scheduler.find_refusal(request(40), ALL_ANNOUNCED_S + 4)
    assert refusal.reason is RefusalReason.QUEUE_FULL
    assert 5 < refusal.retry_after_s < 15


def test_concurrent_tasks_are_limited():
    scheduler = make(Limits(concurrent_tasks=3))
    fill(scheduler, 5)
    placed = scheduler.place(1.0)
    assert len(placed) == 3
    scheduler.task_returned('u1', placed[0].task.task_id)
    assert len(scheduler.place(1.0)) == 1


def test_start_rate_is_limited():
    scheduler = make(Limits(starts_per_s=10.0), upstreams=('u1', 'u2'))
    fill(scheduler, 16)
    started = [len(scheduler.place(step / 100)) for step in range(1, 101)]
    assert sum(started) in {9, 10}
    assert max(started) == 1


def test_new_selector_applies_to_new_starts_only():
    scheduler = make(upstreams=('u1', 'u2'))
    fill(scheduler, 20)
    assert len(scheduler.place(1.0)) == 16
    only = document(upstreams=Selector(names=('u2',)), version=2)
    scheduler.set_document(only, 2.0)
    scheduler.task_ended('u1', outcome(task('w', 0)), 2.0)
    assert scheduler.place(2.0) == []
    scheduler.task_ended('u2', outcome(task('w', 8)), 2.0)
    assert [placed.upstream for placed in scheduler.place(2.0)] == ['u2']


def test_lowered_limit_applies_to_new_starts_only():
    scheduler = make()
    fill(scheduler, 12)
    assert len(scheduler.place(1.0)) == 8
    lower = document(limits=Limits(concurrent_tasks=2), version=2)
    scheduler.set_document(lower, 2.0)
    for index in range(6):
        scheduler.task_ended('u1', outcome(task('w', index)), 2.0)
        assert scheduler.place(2.0) == []
    scheduler.task_ended('u1', outcome(task('w', 6)), 2.0)
    assert len(scheduler.place(2.0)) == 1


def test_running_task_added_before_its_document_is_counted_once():
    scheduler = Scheduler(ArrivalOrder, FirstFitPlacement())
    scheduler.add_running(task('w', 0), 'u1')
    scheduler.add_running(task('w', 0), 'u1')
    scheduler.set_document(document(limits=Limits(concurrent_tasks=1)), 0.0)
    scheduler.set_upstream(spec('u1'), available=True, now_s=0.0)
    scheduler.enqueue(task('w', 1))
    assert scheduler.place(1.0) == []
    scheduler.task_ended('u1', outcome(task('w', 0)), 1.0)
    assert len(scheduler.place(1.0)) == 1
