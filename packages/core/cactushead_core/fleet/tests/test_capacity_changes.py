"""Capacity of an upstream that changes while it runs."""

import pytest
from cactushead_core.dispatch.tests.traffic import send_traffic, warmed_up_world
from cactushead_core.tasks import JobEnd, Resources

from .simulation import HEARTBEAT_S, FleetSimulation
from .test_path import job_ends

FULL = Resources(cpu_m=8000, memory_mb=1000)
SHRUNK = Resources(cpu_m=2000, memory_mb=1000)


def set_capacity(world, capacity, agents=('a0',)):
    """Changes the capacity and waits for the heartbeats that show it."""
    for name in agents:
        world.processes[name].upstream.capacity = capacity
    world.run(HEARTBEAT_S + 0.1)
    world.history.capacity_violations.clear()


# Guards against starts that exceed a capacity that a heartbeat has shown.
@pytest.mark.parametrize('seed', range(3))
def test_starts_fit_a_capacity_that_shrinks_and_grows(seed):
    world = warmed_up_world(agents=4, capacity=FULL)
    capacities = (SHRUNK, FULL, Resources(cpu_m=500, memory_mb=1000), FULL)
    for number, capacity in enumerate(capacities):
        set_capacity(world, capacity, agents=('a0', 'a1'))
        # Each call needs a seed of its own, from which job ids are made.
        send_traffic(world, 2.0, load=0.8, seed=seed + 10 * number)
        assert world.history.capacity_violations == []


# Guards against tasks that wait at an upstream that has become too small for
# them although another one has room.
def test_queued_task_leaves_an_upstream_that_has_become_too_small():
    world = FleetSimulation(agents=2, run_s=1.0)
    world.run(5)
    for _ in range(2):
        world.submit('e0', count=8)
    world.run(0.1)
    number = world.submit('e1', cpu_m=6000)
    world.run(0.1)
    holders = [
        name
        for name in ('a0', 'a1')
        if world.processes[name].node.manager.runs.queued_cpu_m
    ]
    assert len(holders) == 1
    set_capacity(world, SHRUNK, holders)
    world.run(3)
    assert job_ends(world, [number]) == [JobEnd.COMPLETED]


# Guards against starts at a new incarnation that has less capacity than the
# one before it: a list shows the incarnation before a heartbeat its capacity.
def test_restarted_upstream_is_used_only_after_its_heartbeat():
    world = FleetSimulation(agents=1, run_s=1.0)
    world.run(5)
    upstream = world.processes['a0'].upstream
    for _ in range(20):
        world.submit('e0')
        world.run(0.07)
        upstream.crash()
        upstream.capacity = SHRUNK
        upstream.restart()
        # Longer than a list takes, shorter than the interval of heartbeats.
        world.run(0.3)
        world.submit('e0', count=6)
        world.run(0.1)
        assert world.history.capacity_violations == []
        upstream.capacity = FULL
        world.run(3)


# Guards against a division by zero when an upstream reports no processors.
def test_upstream_without_processors_stops_no_entry():
    world = FleetSimulation(agents=2)
    world.run(5)
    set_capacity(world, Resources(cpu_m=0, memory_mb=1000))
    number = world.submit('e0', cpu_m=0)
    world.run(2)
    assert job_ends(world, [number]) == [JobEnd.COMPLETED]
