"""Messages of an entry that reach the agents late, though in a steady flow."""

import random

import pytest
from cactushead_core.tasks import JobEnd

from .network import NetworkSimulation
from .test_path import assert_invariants, job_ends
from .test_silent_entries import JOB, RESEND_S

RUN_S = 4.0


# Guards against runs that outlast a resend because the order to stop them, like
# every message of their entry, waits in a queue on its way to the agent.
@pytest.mark.parametrize('delay_s', [0.5, 1.0, 1.5])
def test_job_withdrawn_late_runs_once_at_a_time(delay_s):
    world = NetworkSimulation(random.Random(1), agents=3, run_s=RUN_S)
    world.run(5)
    world.configure('e0', 1)
    world.run(1)
    for agent in ('a0', 'a1', 'a2'):
        world.delays_s[frozenset(('e0', agent))] = delay_s
    world.run(2 * delay_s + 1)
    request = world.submit('e0', count=4, job=JOB)
    world.run(delay_s + 1)
    world.disconnect_caller('e0', request)
    world.run(RESEND_S)
    again = world.submit('e1', count=4, job=JOB)
    world.run(2 * RUN_S + 3)
    assert job_ends(world, [again]) == [JobEnd.COMPLETED]
    assert_invariants(world)
