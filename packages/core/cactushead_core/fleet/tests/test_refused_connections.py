"""Upstreams that refuse connections for a while, while their runs go on."""

import random

import pytest
from cactushead_core.tasks import JobEnd

from .simulation import FleetSimulation
from .test_path import assert_invariants, job_ends

AGENTS = ('a0', 'a1', 'a2', 'a3')
RUNS_S = (0.12, 0.35, 1.5)
STEPS = 60


def start_world(run_s):
    world = FleetSimulation(agents=len(AGENTS), run_s=run_s)
    world.run(5)
    world.configure('e0', 1)
    world.run(1)
    return world


# Guards against an agent that takes a refused connection for the end of its
# upstream, and reports the runs there as ended while they go on.
@pytest.mark.parametrize('run_s', RUNS_S)
@pytest.mark.parametrize('refused_s', [0.05, 0.2, 0.6])
def test_refused_connection_ends_no_run(run_s, refused_s):
    world = start_world(run_s)
    numbers = [world.submit(f'e{k}', count=5) for k in range(4)]
    world.run(0.05)
    for agent in AGENTS[:2]:
        world.refuse(agent)
    world.run(refused_s)
    for agent in AGENTS[:2]:
        world.listen(agent)
    world.run(4)
    assert job_ends(world, numbers) == [JobEnd.COMPLETED] * 4
    assert len(world.history.starts) == 20
    assert world.entry('e0').dispatcher.views['a0'].usable
    assert_invariants(world)


# Guards against runs that overlap at the lapse of the leases, which the calls
# that were never sent have not renewed.
@pytest.mark.parametrize('run_s', [1.5, 3.0])
@pytest.mark.parametrize('refused_s', [1.0, 1.5, 4.0])
def test_tasks_run_elsewhere_once_the_leases_have_lapsed(run_s, refused_s):
    world = start_world(run_s)
    numbers = [world.submit(f'e{k}', count=5) for k in range(4)]
    world.run(0.05)
    world.refuse('a0')
    assert world.processes['a0'].upstream.running
    world.run(refused_s)
    world.listen('a0')
    world.run(2.5 + 2 * run_s)
    assert job_ends(world, numbers) == [JobEnd.COMPLETED] * 4
    assert_invariants(world)


# Guards against waiting for leases that refused renewals seem to extend, and
# for the lapse of the leases although a list shows the restart.
@pytest.mark.parametrize(
    ('down_s', 'within_s'), [(0.1, 0.3), (0.4, 0.6), (5.0, 1.3)]
)
def test_runs_of_a_crashed_upstream_start_again(down_s, within_s):
    world = start_world(1.5)
    for number in range(4):
        world.submit(f'e{number}', count=4)
    world.run(0.4)
    crashed_s = world.now_s
    upstream = world.processes['a0'].upstream
    tasks = set(upstream.running)
    upstream.crash()
    world.close_calls('a0')
    world.run(down_s)
    upstream.restart()
    world.run(6)
    again = {
        task
        for at_s, task, _ in world.history.starts
        if crashed_s < at_s < crashed_s + within_s
    }
    assert tasks
    assert tasks <= again
    assert_invariants(world)


# Guards against overlaps of runs at the moments that the cases above leave out.
@pytest.mark.parametrize('seed', range(8))
def test_no_task_runs_twice_at_upstreams_that_refuse_connections(seed):
    rng = random.Random(seed)
    world = start_world(rng.choice(RUNS_S))
    opens_s = {}
    for _ in range(STEPS):
        world.submit(f'e{rng.randrange(4)}', count=rng.randint(1, 6))
        agent = rng.choice(AGENTS)
        if agent not in opens_s:
            world.refuse(agent)
            refused_s = rng.choice((0.02, 0.1, 0.3, 0.9, 1.2, 2.0))
            opens_s[agent] = world.now_s + refused_s
        world.run(rng.uniform(0.02, 0.3))
        for name, at_s in list(opens_s.items()):
            if world.now_s >= at_s:
                opens_s.pop(name)
                world.listen(name)
        assert_invariants(world)
    for agent in AGENTS:
        world.listen(agent)
    world.run(5)
    number = world.submit('e3', count=3)
    world.run(4)
    assert job_ends(world, [number]) == [JobEnd.COMPLETED]
    assert_invariants(world)
