"""Delayed start calls: one in 18 gets no answer and starts seconds later.

About half of the jobs with eight tasks then contain at least one such start.
No task may run twice at the same time, and most jobs must still meet their
objective.
"""

import random

from cactushead_core.tasks import Resources

from .traffic import goodput, send_traffic, warmed_up_world

LATE_SHARE = 1 / 18
DELAY_RANGE_S = (2.0, 12.0)
LOAD = 0.7
# Minimum goodput, as the mean over the seeds.
MIN_GOODPUT = 0.7
SEEDS = (7, 8)


def run_with_late_calls(seed):
    world = warmed_up_world(
        agents=11, diskless=4, capacity=Resources(10_000, 1000)
    )
    rng = random.Random(seed)

    def call_delay(_call):
        return (
            rng.uniform(*DELAY_RANGE_S) if rng.random() < LATE_SHARE else None
        )

    world.call_delay = call_delay
    sent_jobs = send_traffic(world, 5.0, LOAD, seed)
    world.call_delay = lambda _call: None
    world.run(14)
    assert not world.history.overlaps
    assert not world.history.capacity_violations
    return goodput(world, sent_jobs)


def test_most_jobs_meet_the_objective():
    assert sum(map(run_with_late_calls, SEEDS)) / len(SEEDS) >= MIN_GOODPUT
