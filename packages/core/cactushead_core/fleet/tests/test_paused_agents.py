"""Agents of a simulated fleet that are paused while tasks wait in them."""

import pytest
from cactushead_core.tasks import JobEnd

from .simulation import FleetSimulation
from .test_path import assert_invariants, job_ends

# Until the entries give up an agent that is silent: the time-out of the link,
# then the time in which its runs end.
REMOVAL_S = 3.6


def start_fleet_with_queue(**options):
    """Returns a fleet with full upstreams and queues, and its requests."""
    simulation = FleetSimulation(**options)
    simulation.run(5)
    simulation.configure('e0', 1)
    simulation.run(1)
    numbers = [simulation.submit('e0', count=24)]
    simulation.run(0.2)
    numbers.extend(simulation.submit(f'e{k}', count=6) for k in range(3))
    simulation.run(0.2)
    queued = simulation.processes['a2'].node.manager.runs.queued_count
    assert queued
    return simulation, numbers


# Guards against an agent that starts its queue after a pause, although the
# owners of the tasks have placed them elsewhere meanwhile.
@pytest.mark.parametrize('pause_s', [2.0, 3.0, REMOVAL_S, 4.5, 6.0, 8.0])
def test_paused_agent_starts_no_queued_task(pause_s):
    simulation, numbers = start_fleet_with_queue(run_s=2)
    simulation.pause('a2')
    simulation.run(pause_s)
    simulation.resume('a2')
    simulation.run(12)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 4
    assert_invariants(simulation)


# Guards against time-outs that each pause restarts: the links are cut, so that
# only the time since the last message shows that the owners are gone.
@pytest.mark.parametrize('awake_s', [0.02, 0.12, 0.3, 0.6])
@pytest.mark.parametrize('pause_s', [0.6, 0.9, 1.2])
def test_paused_and_partitioned_agent_runs_nothing_for_lost_owners(
    pause_s, awake_s
):
    simulation, numbers = start_fleet_with_queue(run_s=2.5)
    simulation.partition(['a2'], ['e0', 'e1', 'e2', 'e3'])
    for _ in range(8):
        simulation.pause('a2')
        simulation.run(pause_s)
        simulation.resume('a2')
        simulation.run(awake_s)
    simulation.heal()
    simulation.run(12)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 4
    assert_invariants(simulation)


# Guards against a pause that costs callers more than it has to: after a short
# one the owners still count on the agent.
def test_shortly_paused_agent_keeps_its_runs():
    simulation, numbers = start_fleet_with_queue(run_s=2)
    running = {
        ref
        for ref, names in simulation.history.upstreams_by_task.items()
        if 'u2' in names
    }
    simulation.pause('a2')
    simulation.run(0.6)
    simulation.resume('a2')
    simulation.run(12)
    starts = [ref for _, ref, _ in simulation.history.starts]
    assert running
    assert all(starts.count(ref) == 1 for ref in running)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 4
    assert_invariants(simulation)
