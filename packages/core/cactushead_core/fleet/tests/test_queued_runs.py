"""Queued runs of a silent entry, which start when room becomes free."""

import pytest

from .simulation import FleetSimulation
from .test_path import assert_invariants
from .test_silent_entries import JOB, RESEND_S, kill, lose_power, pause

RUN_S = 1.7
# Late enough that a lease granted now could outlast the resend.
AGENT_PAUSE_S = 0.9


def runs_at(world, agent):
    return any(
        task.job == JOB for task in world.processes[agent].upstream.running
    )


# Guards against runs of a silent entry that start late from the queue and go on
# after a resend, under a lease that was granted for the runs of other entries.
@pytest.mark.parametrize(
    'until_silence_s', [0.4, 0.45, 0.5, 0.55, 0.6, 0.7, 0.8, 0.9]
)
@pytest.mark.parametrize('trouble', [pause, kill, lose_power])
def test_queued_run_of_a_silent_entry_ends_before_a_resend(
    trouble, until_silence_s
):
    world = FleetSimulation(run_s=RUN_S, agents=2)
    world.run(5)
    world.configure('e0', 1)
    world.run(1)
    for _ in range(8):
        world.submit('e1', count=2)
        world.run(0.05)
    world.submit('e0', count=4, job=JOB)
    world.run(until_silence_s)
    trouble(world)
    silent_s = world.now_s
    while world.now_s < silent_s + RESEND_S:
        world.run(0.01)
        if world.now_s > silent_s + AGENT_PAUSE_S and runs_at(world, 'a0'):
            world.pause('a0')
            break
    world.run(silent_s + RESEND_S - world.now_s)
    world.submit('e1', count=4, job=JOB)
    world.run(0.9)
    assert_invariants(world)
