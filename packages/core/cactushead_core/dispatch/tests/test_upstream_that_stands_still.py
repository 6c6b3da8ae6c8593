"""Stalled upstream: all its runs hang and keep their capacity allocated."""

from cactushead_core.fleet.tests.simulation import FleetSimulation
from cactushead_core.fleet.tests.test_path import assert_invariants, job_ends
from cactushead_core.tasks import JobEnd

JOB_COUNT = 40
STALLED_AGENT = 'a0'
RUN_S = 1.0
FIRST_HUNG_JOB = 10
DRAIN_S = 3.0


def run_jobs(*, hang):
    """Submits jobs of 10 tasks, half of the capacity, round robin."""
    world = FleetSimulation(agents=5, run_s=RUN_S)
    world.run(5)
    numbers = []
    for number in range(JOB_COUNT):
        if hang and number == FIRST_HUNG_JOB:
            world.processes[STALLED_AGENT].upstream.hang(world.now_s)
        numbers.append(world.submit(f'e{number % 4}', count=10))
        world.run(RUN_S / 2)
    world.run(DRAIN_S)
    assert_invariants(world)
    return world, job_ends(world, numbers)


def test_jobs_complete_at_other_upstreams():
    _, ended = run_jobs(hang=True)
    assert ended == [JobEnd.COMPLETED] * JOB_COUNT


def test_healthy_upstream_is_not_treated_as_stalled():
    world, ended = run_jobs(hang=False)
    assert ended == [JobEnd.COMPLETED] * JOB_COUNT
    tasks = [task for _, task, _ in world.history.starts]
    assert len(tasks) == len(set(tasks))
