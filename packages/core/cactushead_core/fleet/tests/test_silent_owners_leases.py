"""Silent entries whose agents can't stop the runs any more."""

import pytest
from cactushead_core.tasks import JobEnd

from .simulation import FleetSimulation
from .test_path import assert_invariants, job_ends
from .test_silent_entries import JOB, RESEND_S, kill, lose_power, pause

RUN_S = 4.0


def start_job(offset_s):
    """Returns a fleet with a job at `e0`, and the agents that run it."""
    world = FleetSimulation(run_s=RUN_S, agents=4)
    world.run(5)
    world.configure('e0', 1)
    world.run(1)
    world.submit('e0', count=2, job=JOB)
    world.run(0.6 + offset_s)
    busy = [
        name
        for name, process in world.processes.items()
        if process.upstream is not None and process.upstream.running
    ]
    return world, busy


def send_again(world):
    again = world.submit('e1', count=2, job=JOB)
    world.run(RUN_S + 6)
    assert job_ends(world, [again]) == [JobEnd.COMPLETED]
    assert_invariants(world)


# Guards against runs of a silent entry that go on at an upstream after a resend
# because their agent is paused before it has stopped them.
@pytest.mark.parametrize('offset_s', [0.0, 0.15])
@pytest.mark.parametrize('until_pause_s', [0.2, 0.45, 0.8, 1.05])
@pytest.mark.parametrize('trouble', [pause, kill, lose_power])
def test_agent_paused_after_its_entry_fell_silent(
    trouble, until_pause_s, offset_s
):
    world, busy = start_job(offset_s)
    trouble(world)
    world.run(until_pause_s)
    for name in busy:
        world.pause(name)
    world.run(RESEND_S - until_pause_s)
    send_again(world)


# Guards against runs of a silent entry that go on after a resend because the
# stop calls get no answer and aren't carried out.
@pytest.mark.parametrize('offset_s', [0.0, 0.15])
@pytest.mark.parametrize('trouble', [pause, kill, lose_power])
def test_stop_calls_are_lost_after_an_entry_fell_silent(trouble, offset_s):
    world, _ = start_job(offset_s)
    world.call_delay = lambda call: 9.0 if call == 'StopLeased' else None
    trouble(world)
    world.run(RESEND_S)
    world.call_delay = lambda _: None
    send_again(world)


# Guards against leases that lapse for the runs of all entries when one of them
# falls silent.
@pytest.mark.parametrize('offset_s', [0.0, 0.07, 0.15, 0.22])
@pytest.mark.parametrize('trouble', [pause, kill, lose_power])
def test_runs_of_other_entries_go_on(trouble, offset_s):
    world, _ = start_job(offset_s)
    other = world.submit('e1', count=12)
    world.run(0.2)
    trouble(world)
    world.run(RUN_S + 4)
    assert job_ends(world, [other]) == [JobEnd.COMPLETED]
    others = [task for _, task, _ in world.history.starts if task.job != JOB]
    assert len(others) == 12
    assert_invariants(world)
