"""Tests of ejection, probation and the restart budget."""

import pytest
from cactushead_core.agents import OutcomeStatus
from cactushead_core.documents import RequestKind
from cactushead_core.scheduling import (
    FairOrder,
    RandomPlacement,
    Scheduler,
    SpreadPlacement,
    UpstreamEjected,
    UpstreamReadmitted,
)
from cactushead_core.scheduling.model import UNLIMITED_TASKS

from .builders import document, outcome, spec, task
from .replay import bursty_arrivals, partner_arrivals, replay

FAILED = OutcomeStatus.FAILED


class FaultReplay:
    """Replays jobs while some upstreams fail, and records the notices."""

    def __init__(self, failing, *, run_s=0.005, failure_rate=1.0, slow=()):
        self.failing, self.run_s = failing, run_s
        self.failure_rate, self.slow = failure_rate, slow
        self.failed, self.ejections, self.readmitted = {}, {}, []
        self.scheduler = Scheduler(FairOrder, SpreadPlacement())

    def run(self, placed, run_s):
        name, started = placed.upstream, placed.task
        draw = (int(started.job.key) * 31 + started.index * 7) % 100
        if name in self.slow:
            return 8 * run_s, OutcomeStatus.SUCCEEDED
        if name in self.failing and draw < 100 * self.failure_rate:
            return self.run_s, FAILED
        return run_s, OutcomeStatus.SUCCEEDED

    def replay(self, arrivals):
        end = self.scheduler.task_ended
        self.scheduler.task_ended = lambda *args: self.record(end, *args)
        replay(self.scheduler, arrivals, run=self.run)
        return self

    def record(self, end, name, ended, now_s):
        if ended.status is FAILED and name not in self.ejections:
            self.failed[name] = self.failed.get(name, 0) + 1
        end(name, ended, now_s)
        for notice in self.scheduler.drain_notices():
            if isinstance(notice, UpstreamEjected):
                self.ejections.setdefault(notice.upstream, []).append(now_s)
            else:
                self.readmitted.append(notice.upstream)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('run_s', [0.005, 0.2])
@pytest.mark.parametrize('failing', [('u3',), ('u0', 'u1', 'u2')])
def test_upstream_that_always_fails_is_ejected_within_ten_failures(
    failing, run_s, seed
):
    fault_replay = FaultReplay(failing, run_s=run_s).replay(
        bursty_arrivals(seed, jobs=120)
    )
    assert set(fault_replay.ejections) == set(failing)
    assert max(fault_replay.failed.values()) <= 10


def test_ejection_time_doubles():
    fault_replay = FaultReplay(('u3',)).replay(
        partner_arrivals(1, flood=True, seconds=40)
    )
    times_s = fault_replay.ejections['u3']
    assert 3 <= len(times_s) <= 5
    gaps_s = [b - a for a, b in zip(times_s, times_s[1:], strict=False)]
    assert all(b > 1.8 * a for a, b in zip(gaps_s, gaps_s[1:], strict=False))


def test_light_load_sends_no_tasks_to_a_readmitted_upstream():
    arrivals = partner_arrivals(1, flood=False, seconds=30)
    fault_replay = FaultReplay(('u3',)).replay(arrivals)
    assert len(fault_replay.ejections['u3']) == 1
    assert fault_replay.readmitted == ['u3']


@pytest.mark.parametrize('failure_rate', [0.3, 0.5])
def test_upstream_that_fails_partially_is_ejected(failure_rate):
    arrivals = partner_arrivals(1, flood=True, seconds=10)
    fault_replay = FaultReplay(
        ('u3',), run_s=0.2, failure_rate=failure_rate
    ).replay(arrivals)
    assert set(fault_replay.ejections) == {'u3'}


@pytest.mark.parametrize('failure_rate', [0.02, 0.3, 1.0])
@pytest.mark.parametrize('run_s', [0.005, 0.2])
def test_failures_on_all_upstreams_eject_none(failure_rate, run_s):
    everywhere = tuple(f'u{index}' for index in range(11))
    fault_replay = FaultReplay(
        everywhere, run_s=run_s, failure_rate=failure_rate
    )
    fault_replay.replay(bursty_arrivals(2, jobs=150))
    assert not fault_replay.ejections


def test_at_most_half_of_a_pool_is_ejected():
    failing = tuple(f'u{index}' for index in range(8))
    fault_replay = FaultReplay(failing, run_s=0.2).replay(
        bursty_arrivals(2, jobs=100)
    )
    assert len(fault_replay.ejections) <= 5


@pytest.mark.parametrize('seed', [1, 2])
def test_only_the_straggler_is_ejected(seed):
    fault_replay = FaultReplay((), slow=('u3',)).replay(
        bursty_arrivals(seed, jobs=150)
    )
    assert set(fault_replay.ejections) == {'u3'}


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_high_run_time_variance_ejects_no_upstream(seed):
    assert not FaultReplay(()).replay(bursty_arrivals(seed, jobs=200)).ejections


def test_only_upstream_of_a_pool_is_never_ejected():
    scheduler = make(1)
    for index in range(50):
        fail(scheduler, 'u0', index)
        assert len(place_one(scheduler, index)) == 1
    assert scheduler.drain_notices() == []


def test_task_limit_on_probation_doubles_with_each_success():
    scheduler = make(4)
    for index in range(8):
        succeed(scheduler, f'u{1 + index % 3}', f'ok{index}', 0.1)
    for index in range(10):
        fail(scheduler, 'u0', index)
    for index in range(3):
        succeed(scheduler, f'u{1 + index}', f'later{index}', 0.3)
    (ejected,) = scheduler.drain_notices()
    assert ejected.upstream == 'u0'
    assert 'failed 10 of 10' in ejected.cause
    assert scheduler.next_wakeup_s(0.5) == ejected.until_s
    assert placed_on(scheduler, 'u0', 1.0) == 0
    assert placed_on(scheduler, 'u0', ejected.until_s) == 1
    assert scheduler.drain_notices() == [UpstreamReadmitted('u0')]
    state = scheduler._registry.states['u0']
    for allowed in (2, 4, UNLIMITED_TASKS):
        succeed(scheduler, 'u0', f'probe{allowed}', ejected.until_s)
        assert state.task_limit == allowed
    assert placed_on(scheduler, 'u0', ejected.until_s) == 8


@pytest.mark.parametrize(
    'status', [OutcomeStatus.CANCELLED, OutcomeStatus.REFUSED]
)
def test_cancelled_and_refused_tasks_are_no_failures(status):
    scheduler = make(4)
    for index in range(40):
        fail(scheduler, 'u0', index, status)
        succeed(scheduler, f'u{1 + index % 3}', f'ok{index}', 0.1)
    assert scheduler.drain_notices() == []


@pytest.mark.parametrize(
    ('kind', 'start', 'status', 'now_s', 'allowed'),
    [
        (RequestKind('k', repeatable=True, max_starts=2), 1, FAILED, 1, True),
        (RequestKind('k', repeatable=True, max_starts=2), 2, FAILED, 1, False),
        (RequestKind('k', repeatable=True, max_starts=2), 1, FAILED, 60, False),
        (RequestKind('k', repeatable=True), 1, FAILED, 1, False),
        (RequestKind('k', max_starts=2), 1, FAILED, 1, False),
        *(
            (RequestKind('k', repeatable=True, max_starts=2), 1, no, 1, False)
            for no in OutcomeStatus
            if no is not FAILED
        ),
    ],
)
def test_restart_rules(kind, start, status, now_s, allowed):
    scheduler = make(1, kinds=(kind,))
    failed = task('j', start=start)
    ended = outcome(failed, status)
    assert scheduler.may_restart(failed, ended, float(now_s)) is allowed


def test_restart_budget():
    kind = RequestKind('k', repeatable=True, max_starts=5)
    scheduler = make(11, kinds=(kind,))
    for index in range(80):
        scheduler.enqueue(task('j', index))
    assert len(scheduler.place(0.0)) == 80
    failed = task('j', 0)
    allowed = [
        scheduler.may_restart(failed, outcome(failed, FAILED), 1.0)
        for _ in range(40)
    ]
    assert sum(allowed) == 8
    allowed = [
        scheduler.may_restart(failed, outcome(failed, FAILED), 30.0)
        for _ in range(40)
    ]
    assert sum(allowed) == 3


def make(upstreams, **fields):
    scheduler = Scheduler(FairOrder, RandomPlacement(1))
    scheduler.set_document(document(**fields), 0.0)
    for index in range(upstreams):
        scheduler.set_upstream(spec(f'u{index}'), available=True, now_s=0.0)
    return scheduler


def succeed(scheduler, name, key, now_s):
    ended = task(key)
    scheduler.add_running(ended, name)
    scheduler.task_ended(name, outcome(ended), now_s)


def fail(scheduler, name, index, status=FAILED):
    ended = task('bad', index)
    scheduler.add_running(ended, name)
    scheduler.task_ended(name, outcome(ended, status), 0.2)


def place_one(scheduler, index):
    scheduler.enqueue(task('one', index))
    placed = scheduler.place(0.2)
    for placement in placed:
        scheduler.task_returned(placement.upstream, placement.task.task_id)
    return placed


def placed_on(scheduler, name, now_s):
    key = f'fill{now_s}'
    for index in range(60):
        scheduler.enqueue(task(key, index))
    placed = scheduler.place(now_s)
    scheduler.cancel_job(task(key).job)
    for placement in placed:
        scheduler.task_returned(placement.upstream, placement.task.task_id)
    return sum(placement.upstream == name for placement in placed)
