"""Black hole: one upstream fails every task immediately and so looks idle.

A placement by load alone would send it most of the tasks.
"""

from cactushead_core.fleet.tests.simulation import FleetSimulation
from cactushead_core.fleet.tests.test_path import job_ends
from cactushead_core.tasks import JobEnd

JOB_COUNT = 90
FAULTY = 'u0'
FAULT_FIRST_JOB, FAULT_END_JOB = 20, 55


def run_with_fault():
    """Submits jobs of 14 tasks, 70 % of the capacity, round robin.

    Returns:
        The final states of the jobs, and the upstreams of the starts before,
        during and after the fault.
    """
    world = FleetSimulation(agents=5, run_s=0.2)
    world.run(5)
    upstream = world.processes['a0'].upstream
    numbers = []
    boundaries = []
    for number in range(JOB_COUNT):
        if number in {FAULT_FIRST_JOB, FAULT_END_JOB}:
            upstream.failing = number == FAULT_FIRST_JOB
            upstream.run_s = 0.005 if upstream.failing else 0.2
            boundaries.append(len(world.history.starts))
        numbers.append(world.submit(f'e{number % 4}', count=14))
        world.run(0.1)
    world.run(3)
    names = [name for _, _, name in world.history.starts]
    first, second = boundaries
    return job_ends(world, numbers), (
        names[:first],
        names[first:second],
        names[second:],
    )


def test_jobs_complete_and_few_tasks_go_to_the_faulty_upstream():
    ended, (before, during, after) = run_with_fault()
    assert ended == [JobEnd.COMPLETED] * JOB_COUNT
    # An even distribution gives each of the 5 upstreams a fifth.
    assert before.count(FAULTY) > len(before) / 10
    assert during.count(FAULTY) < len(during) / 10
    assert after.count(FAULTY) > len(after) / 10
