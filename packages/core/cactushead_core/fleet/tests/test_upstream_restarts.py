"""Upstreams that answer nothing or restart, and what became of their runs."""

import pytest
from cactushead_core.tasks import JobEnd

from .simulation import FleetSimulation
from .test_path import assert_invariants, job_ends

LAPSE_S = 2.5


def lose_silently(world, number):
    """Lets the upstreams that run a job fall silent until its leases lapse."""
    world.run(0.3)
    holders = [
        process.upstream
        for process in world.processes.values()
        if process.upstream is not None and process.upstream.running
    ]
    world.call_delay = lambda _: 60.0
    world.run(LAPSE_S)
    assert world.responses.get(number) is None
    return holders


# Guards against a task without limit whose upstreams fall silent when it
# crashes them: the leases lapse before the agent knows that it was a crash.
def test_job_is_given_up_after_silent_crashes():
    world = FleetSimulation(agents=1, run_s=4.0)
    world.run(5)
    number = world.submit('e0')
    for _ in range(3):
        for upstream in lose_silently(world, number):
            upstream.crash()
            upstream.restart()
        world.call_delay = lambda _: None
        world.run(1.5)
    assert job_ends(world, [number]) == [JobEnd.FAILED]
    assert_invariants(world)


# Guards against giving up a job because its upstreams were only silent.
def test_job_is_kept_when_upstreams_were_only_silent():
    world = FleetSimulation(agents=1, run_s=4.0)
    world.run(5)
    number = world.submit('e0')
    for _ in range(4):
        lose_silently(world, number)
        world.call_delay = lambda _: None
        world.run(1.5)
    assert job_ends(world, [number]) == [None]
    assert_invariants(world)


# Guards against starting a run again that the new incarnation of its upstream
# has completed before the first list after the restart.
@pytest.mark.parametrize('offset_s', [0.1, 0.2, 0.3])
def test_run_that_ends_before_the_first_list_after_a_restart_is_done(offset_s):
    world = FleetSimulation(agents=1, run_s=0.05)
    world.run(5 + offset_s)
    world.processes['a0'].upstream.restart()
    number = world.submit('e0')
    world.run(2.0)
    assert job_ends(world, [number]) == [JobEnd.COMPLETED]
    assert len(world.history.starts) == 1


# Guards against the same after earlier ends: the renewal that acknowledges them
# reaches the new incarnation, which numbers its ends anew and forgets one.
def test_acknowledgement_of_earlier_ends_hides_no_end_after_a_restart():
    world = FleetSimulation(agents=1, run_s=0.05)
    world.run(5)
    world.submit('e0')
    world.run(0.3)
    world.processes['a0'].upstream.restart()
    number = world.submit('e0')
    world.run(2.0)
    assert job_ends(world, [number]) == [JobEnd.COMPLETED]
    assert len(world.history.starts) == 2
