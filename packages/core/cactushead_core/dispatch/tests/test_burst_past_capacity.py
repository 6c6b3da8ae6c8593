"""Overload: for some seconds the arrival rate exceeds the capacity.

Three kinds of jobs, with eight short, four long or two medium tasks, arrive at
random at seven entries; their estimates are off by up to 40 %. Served first-in
first-out, or by earliest deadline alone, all of them would miss the objective.
"""

import pytest
from cactushead_core.tasks import Resources

from .traffic import goodput, refused_share, send_traffic, warmed_up_world

CAPACITY = Resources(cpu_m=10_000, memory_mb=1000)
# Minimum value of the answers, relative to full use of the capacity.
MIN_GOODPUT = 0.8
BURST_S = 5.0
AFTER_S = 8.0


def run_burst(load, seed=7):
    world = warmed_up_world(agents=11, diskless=4, capacity=CAPACITY)
    sent_jobs = send_traffic(world, BURST_S, load, seed)
    world.run(AFTER_S)
    return world, sent_jobs


@pytest.mark.parametrize('load', [0.7, 1.1, 1.3, 1.6])
def test_overload_keeps_most_of_the_goodput(load):
    world, sent_jobs = run_burst(load)
    assert goodput(world, sent_jobs) >= MIN_GOODPUT * min(1.0, 1.0 / load)
    assert not world.history.capacity_violations


def test_no_job_is_refused_below_capacity():
    world, sent_jobs = run_burst(0.7)
    assert refused_share(world, sent_jobs) == 0
