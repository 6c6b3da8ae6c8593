"""Pattern: all tasks at one upstream stand still, and its room looks taken."""

from cactushead_core.fleet.tests.simulation import FleetSimulation
from cactushead_core.fleet.tests.test_path import (
    assert_invariants,
    job_ends,
)
from cactushead_core.tasks import JobEnd

JOBS = 40
BAD = 'a0'
RUN_S = 1.0
HANGS_FROM = 10
LAST_S = 3.0


def play(*, hang):
    """Submits jobs of 10 tasks, half of the room, in turn at all entries."""
    world = FleetSimulation(agents=5, run_s=RUN_S)
    world.run(5)
    numbers = []
    for number in range(JOBS):
        if hang and number == HANGS_FROM:
            world.processes[BAD].upstream.hang(world.now_s)
        numbers.append(world.submit(f'e{number % 4}', count=10))
        world.run(RUN_S / 2)
    world.run(LAST_S)
    assert_invariants(world)
    return world, job_ends(world, numbers)


def test_jobs_complete_elsewhere():
    _, ended = play(hang=True)
    assert ended == [JobEnd.COMPLETED] * JOBS


def test_upstream_that_goes_on_is_not_taken_for_one():
    world, ended = play(hang=False)
    assert ended == [JobEnd.COMPLETED] * JOBS
    tasks = [task for _, task, _ in world.history.starts]
    assert len(tasks) == len(set(tasks))
