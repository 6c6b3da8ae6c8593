"""Tests of generated schedules."""

from dataclasses import replace

import pytest
from cactushead_cli.bench.schedule import ArrivalProfile, Phase, Rng
from cactushead_cli.bench.shapes import (
    HEAVY_CALLER,
    LONGEST_SLOW_TASK_S,
    MAX_JOB_TASKS,
    SHAPES,
    SHORTEST_TASK_S,
    LoadSpec,
    draw_task_count,
)
from hypothesis import given, settings
from hypothesis import strategies as st

specs = st.builds(
    LoadSpec,
    shape=st.sampled_from(sorted(SHAPES)),
    load=st.floats(0.1, 2.0),
    duration_s=st.floats(1.0, 10.0),
    seed=st.integers(0, 1000),
    upstreams=st.integers(1, 11),
    slots=st.integers(1, 8),
    flood=st.booleans(),
)
bounded = settings(max_examples=40, derandomize=True, deadline=None)


def plan(spec):
    return SHAPES[spec.shape].schedule(spec)


@bounded
@given(specs)
def test_same_seed_gives_same_schedule(spec):
    assert plan(spec) == plan(spec)


@bounded
@given(specs)
def test_schedule_is_sorted_and_within_limits(spec):
    jobs = plan(spec)
    assert [job.index for job in jobs] == list(range(len(jobs)))
    times_s = [job.at_s for job in jobs]
    assert times_s == sorted(times_s)
    assert all(0 <= at_s <= spec.duration_s for at_s in times_s)
    for job in jobs:
        assert 1 <= len(job.sleeps_s) <= MAX_JOB_TASKS
        assert min(job.sleeps_s) >= SHORTEST_TASK_S
        assert max(job.sleeps_s) <= LONGEST_SLOW_TASK_S


@bounded
@given(specs)
def test_offered_work_matches_the_load(spec):
    spec = replace(spec, shape='pickers')
    offered_s = sum(job.work_s for job in plan(spec))
    wanted_s = spec.load * spec.capacity_s
    assert wanted_s <= offered_s + 1e-6
    assert offered_s <= wanted_s + LONGEST_SLOW_TASK_S


@bounded
@given(specs)
def test_light_callers_jobs_do_not_depend_on_the_heavy_caller(spec):
    spec = replace(spec, shape='consortium', alone=False)

    def light_jobs(changed):
        return [
            (job.at_s, job.caller, job.sleeps_s)
            for job in plan(changed)
            if job.caller != HEAVY_CALLER
        ]

    alone = light_jobs(replace(spec, alone=True))
    assert light_jobs(replace(spec, flood=True)) == alone


def test_different_seed_gives_different_schedule():
    spec = LoadSpec('pickers', 0.7, 5.0, 1)
    assert plan(spec) != plan(replace(spec, seed=2))


def test_bursts_have_more_arrivals():
    profile = ArrivalProfile((Phase(1.0, 3.0), Phase(3.0, 1 / 3)))
    times_s = profile.arrivals_s(Rng(1), 4000, 8.0)
    in_bursts = sum(at_s % 4.0 < 1.0 for at_s in times_s)
    assert 0.72 < in_bursts / 4000 < 0.78


def test_most_jobs_are_small_and_few_are_large():
    rng = Rng(1)
    sizes = [draw_task_count(rng) for _ in range(5000)]
    assert sum(size == 1 for size in sizes) > 2000
    assert max(sizes) > 100


def test_burst_has_five_times_as_many_tasks_as_slots():
    spec = LoadSpec('single', 0.1, 5.0, 1, wave_at_s=2.0)
    wave = [job for job in plan(spec) if job.caller == 'wave']
    assert sum(len(job.sleeps_s) for job in wave) == 5 * 88
    assert all(2.0 <= job.at_s <= 2.1 for job in wave)


@pytest.mark.parametrize(
    ('sleeps_s', 'slots', 'ideal_s'),
    [((0.5,), 8, 0.5), ((1.0,) * 16, 8, 2.0), ((1.0, 3.0), 8, 3.0)],
)
def test_ideal_response_is_the_larger_bound(sleeps_s, slots, ideal_s):
    job = plan(LoadSpec('single', 0.1, 5.0, 1))[0]
    assert replace(job, sleeps_s=sleeps_s).ideal_s(slots) == ideal_s
