"""Lost upstreams: jobs wait in the queues of agents whose upstreams crash."""

from cactushead_core.fleet.tests.simulation import FleetSimulation
from cactushead_core.fleet.tests.test_path import assert_invariants, job_ends
from cactushead_core.tasks import JobEnd

AGENT_COUNT = 2
# Two jobs of this size fill an upstream.
TASK_COUNT = 4
WAITING_JOBS = ('w' * 16, 'x' * 16, 'y' * 16)


def full_world():
    """Returns a fleet whose upstreams are full, and waiting jobs."""
    world = FleetSimulation(agents=AGENT_COUNT, run_s=2.0)
    world.run(5)
    running = [
        world.submit('e0', count=TASK_COUNT) for _ in range(2 * AGENT_COUNT)
    ]
    world.run(0.5)
    waiting = [
        world.submit(f'e{number}', count=TASK_COUNT, job=job)
        for number, job in enumerate(WAITING_JOBS)
    ]
    world.run(0.1)
    return world, running, waiting


def lose_all(world):
    for number in range(AGENT_COUNT):
        world.processes[f'a{number}'].upstream.crash()


# Guards against callers who wait until their deadline for a job that has not
# run and that no upstream can run: only jobs never offered were refused.
def test_jobs_that_have_not_run_are_refused_at_once():
    world, _, waiting = full_world()
    lose_all(world)
    world.run(0.5)
    assert job_ends(world, waiting) == [JobEnd.REFUSED] * len(waiting)
    for number in range(AGENT_COUNT):
        world.processes[f'a{number}'].upstream.restart()
    world.run(10)
    started = {task.job for _, task, _ in world.history.starts}
    assert not started.intersection(WAITING_JOBS)
    assert_invariants(world)


# Guards against a refusal, which says that a job has not run, of one that has.
def test_jobs_that_have_run_are_not_refused():
    world, running, _ = full_world()
    lose_all(world)
    world.run(0.5)
    assert job_ends(world, running) == [None] * len(running)
    for number in range(AGENT_COUNT):
        world.processes[f'a{number}'].upstream.restart()
    world.run(10)
    assert job_ends(world, running) == [JobEnd.COMPLETED] * len(running)
