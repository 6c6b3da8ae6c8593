"""Evidence that a task crashes its upstreams."""

from cactushead_core.dispatch.crashes import CrashHistory
from cactushead_core.tasks import (
    CrashingJobFound,
    CrashSuspect,
    TaskRef,
    UpstreamCrashed,
)

TASK = TaskRef('a', 0, 0)


def history_of(*suspects):
    history = CrashHistory(retention_s=10.0)
    for number, suspect in enumerate(suspects):
        history.record(UpstreamCrashed(f'u{number}', (suspect,)), now_s=1.0)
    return history


# Guards against giving up a task that one upstream crashed under: the start
# call to another one came after its crash and was not answered.
def test_crash_before_a_confirmed_start_is_no_second_one():
    unanswered = CrashSuspect(TASK, 0.02, started=False)
    started = CrashSuspect(TASK, 0.03)
    assert not history_of(unanswered, started).is_crashing('a')
    assert not history_of(unanswered, unanswered).is_crashing('a')
    assert history_of(started, unanswered, started).is_crashing('a')


def test_task_that_crashes_before_its_start_is_confirmed_is_given_up():
    suspects = [CrashSuspect(TASK, 0.02, started=False)] * 5
    assert not history_of(*suspects[1:]).is_crashing('a')
    assert history_of(*suspects).is_crashing('a')


# Guards against names of explained crashes that are kept for ever: an entry may
# hear of the cause of a crash and never of the crash itself.
def test_explained_crash_is_forgotten_without_its_report():
    history = CrashHistory(retention_s=10.0)
    history.explain(CrashingJobFound('a', 'q', ('u1',)), now_s=1.0)
    history.evict_expired(now_s=12.0)
    for crash in ('u1', 'u2'):
        suspects = (CrashSuspect(TASK, 0.02),)
        history.record(UpstreamCrashed(crash, suspects), now_s=12.0)
    assert history.is_crashing('a')


OTHER_TASK = TaskRef('b', 0, 0)


def shared_history(*pairs_s):
    history = CrashHistory(retention_s=10.0)
    for number, (age_s, other_age_s) in enumerate(pairs_s):
        suspects = (
            CrashSuspect(TASK, age_s),
            CrashSuspect(OTHER_TASK, other_age_s),
        )
        history.record(UpstreamCrashed(f'u{number}', suspects), now_s=1.0)
    return history


# Guards against giving up a job whose task started beside the crashing one at
# two upstreams; the third crash tells them apart.
def test_two_tasks_that_look_alike_are_told_apart_by_a_third_crash():
    both = shared_history((0.02, 0.02), (0.02, 0.04))
    assert both.is_ambiguous('a') and both.is_ambiguous('b')
    assert not both.is_crashing('a') and not both.is_crashing('b')
    history = shared_history((0.02, 0.02), (0.02, 0.04), (0.02, 0.3))
    assert history.is_crashing('a') and not history.is_crashing('b')


# Guards against a task that goes on to crash upstreams because another one is
# always beside it.
def test_tasks_that_stay_alike_are_given_up_at_the_third_crash():
    history = shared_history(*[(0.02, 0.02)] * 3)
    assert history.is_crashing('a') and history.is_crashing('b')


# Guards against a task that crashes upstreams after any time and is spared
# because another job's task looks alike by chance.
def test_task_beside_one_that_looks_alike_is_given_up_at_the_fourth_crash():
    pairs_s = [(0.02, 0.5), (0.3, 0.5), (0.7, 0.5), (1.2, 0.9)]
    assert not shared_history(*pairs_s[:3]).is_crashing('a')
    assert shared_history(*pairs_s).is_crashing('a')
