"""Pattern: one upstream fails all that it starts, at once, and looks idle."""

from cactushead_core.fleet.tests.simulation import FleetSimulation
from cactushead_core.fleet.tests.test_path import job_ends
from cactushead_core.tasks import JobEnd

JOBS = 90
BAD = 'u0'
BAD_FROM, BAD_UNTIL = 20, 55


def play():
    """Submits jobs of 14 tasks, 70 % of the room, in turn at all entries.

    Returns:
        How they ended, and the upstreams of the starts in each third.
    """
    world = FleetSimulation(agents=5, run_s=0.2)
    world.run(5)
    upstream = world.processes['a0'].upstream
    numbers = []
    thirds = []
    for number in range(JOBS):
        if number in {BAD_FROM, BAD_UNTIL}:
            upstream.failing = number == BAD_FROM
            upstream.run_s = 0.005 if upstream.failing else 0.2
            thirds.append(len(world.history.starts))
        numbers.append(world.submit(f'e{number % 4}', count=14))
        world.run(0.1)
    world.run(3)
    names = [name for _, _, name in world.history.starts]
    first, second = thirds
    return job_ends(world, numbers), (
        names[:first],
        names[first:second],
        names[second:],
    )


def test_jobs_complete_and_few_tasks_go_to_the_bad_upstream():
    ended, (before, bad, after) = play()
    assert ended == [JobEnd.COMPLETED] * JOBS
    # An even share is a fifth of the starts.
    assert before.count(BAD) > len(before) / 10
    assert bad.count(BAD) < len(bad) / 10
    assert after.count(BAD) > len(after) / 10
