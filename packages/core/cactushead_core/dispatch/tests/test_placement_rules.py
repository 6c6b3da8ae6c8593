"""Placement constraints, independent of load."""

from collections import Counter

from cactushead_core.fleet.tests.simulation import FleetSimulation
from cactushead_core.fleet.tests.test_path import job_ends
from cactushead_core.tasks import BestEffortJob, JobEnd, JobStep, Resources


def test_tasks_per_upstream_are_limited():
    world = FleetSimulation(agents=3)
    world.run(5)
    step = JobStep(6, Resources(1000, 1), 0.3, max_per_upstream=2)
    job = BestEffortJob('1' * 16, 'q', 'sample', 'work', (step,))
    number = world.send('e0', job)
    world.run(3)
    assert job_ends(world, [number]) == [JobEnd.COMPLETED]
    starts_by_upstream = Counter(name for _, _, name in world.history.starts)
    assert starts_by_upstream == {'u0': 2, 'u1': 2, 'u2': 2}


def test_tasks_beyond_the_limit_run_later():
    world = FleetSimulation(agents=2)
    world.run(5)
    step = JobStep(3, Resources(1000, 1), 0.3, max_per_upstream=1)
    job = BestEffortJob('2' * 16, 'q', 'sample', 'work', (step,))
    number = world.send('e0', job)
    world.run(0.2)
    assert len(world.history.starts) == 2
    world.run(3)
    assert job_ends(world, [number]) == [JobEnd.COMPLETED]
