"""Entries that fall silent, and whose callers send their jobs elsewhere."""

import pytest
from cactushead_core.tasks import JobEnd

from .simulation import FleetSimulation
from .test_path import assert_invariants, job_ends

JOB = 'd' * 16
# A caller sends its job again this long after it has given up on an entry.
RESEND_S = 1.3
RUN_S = 4.0


def pause(world):
    world.pause('e0')


def lose_power(world):
    world.kill('e0', silent=True)


def kill(world):
    world.kill('e0')


def cut_off(world):
    world.partition(['e0'], [name for name in world.processes if name != 'e0'])


def end(world, trouble, request):
    """Ends the trouble; the connection of the first caller is closed."""
    if trouble is pause:
        world.resume('e0')
    elif trouble is cut_off:
        world.heal()
    else:
        return
    world.disconnect_caller('e0', request)


# Guards against runs of a silent entry that go on when its callers have sent
# their jobs to another one, at any time between two pings.
@pytest.mark.parametrize('offset_s', [0.0, 0.07, 0.14, 0.21, 0.28, 0.35])
@pytest.mark.parametrize('trouble', [pause, kill, lose_power, cut_off])
def test_job_that_is_sent_again_runs_once_at_a_time(trouble, offset_s):
    world = FleetSimulation(run_s=RUN_S)
    world.run(5)
    world.configure('e0', 1)
    world.run(1 + offset_s)
    request = world.submit('e0', count=4, job=JOB)
    world.run(0.6)
    trouble(world)
    world.run(RESEND_S)
    again = world.submit('e1', count=4, job=JOB)
    world.run(2.2)
    end(world, trouble, request)
    world.run(RUN_S + 2)
    assert job_ends(world, [again]) == [JobEnd.COMPLETED]
    assert_invariants(world)
