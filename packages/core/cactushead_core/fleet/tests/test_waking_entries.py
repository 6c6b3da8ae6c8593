"""Entries that read after a pause what their callers did meanwhile."""

import pytest
from cactushead_core.tasks import JobEnd

from .simulation import FleetSimulation
from .test_path import assert_invariants, job_ends

JOB = 'd' * 16
# A caller sends its job again this long after it has given up on an entry.
RESEND_S = 1.3
# Connections are read one after the other after a pause.
READ_S = 0.03
RUN_S = 2.0


def make_world():
    world = FleetSimulation(agents=4, run_s=RUN_S)
    world.run(5)
    world.configure('e3', 1)
    world.run(2)
    return world


def send_to_another(world, count):
    """Sends the job of a paused entry to another one, and resumes the entry."""
    world.run(RESEND_S)
    again = world.submit('e1', count=count, job=JOB)
    world.run(0.3)
    world.resume('e3')
    world.run(READ_S)
    return again


# Guards against a job that an entry accepts after a pause, although its caller
# has left and sent it to another entry.
@pytest.mark.parametrize('pause_s', [0.1, 0.6, 1.5])
def test_request_that_was_unread_during_a_pause_starts_nothing(pause_s):
    world = make_world()
    world.pause('e3')
    request = world.submit('e3', count=4, job=JOB)
    world.run(pause_s)
    again = send_to_another(world, count=4)
    world.disconnect_caller('e3', request)
    world.run(RUN_S + 2)
    assert job_ends(world, [again]) == [JobEnd.COMPLETED]
    assert_invariants(world)


# Guards against a task that is placed again after a pause for a result that was
# unread, although the caller has left and sent the job to another entry.
def test_result_that_was_unread_during_a_pause_starts_nothing():
    world = make_world()
    for process in world.processes.values():
        if process.upstream is not None:
            process.upstream.failing = True
            process.upstream.run_s = 0.3
    request = world.submit('e3', count=4, job=JOB)
    world.run(0.1)
    world.pause('e3')
    world.run(0.5)
    for process in world.processes.values():
        if process.upstream is not None:
            process.upstream.failing = False
            process.upstream.run_s = RUN_S
    again = send_to_another(world, count=4)
    world.disconnect_caller('e3', request)
    world.run(RUN_S + 2)
    assert job_ends(world, [again]) == [JobEnd.COMPLETED]
    assert_invariants(world)


# Guards against a request that is forgotten because it came in a pause.
def test_request_of_a_caller_that_still_waits_is_served_after_a_pause():
    world = make_world()
    world.pause('e3')
    request = world.submit('e3', count=4, job=JOB)
    world.run(1.0)
    world.resume('e3')
    world.run(RUN_S + 1)
    assert job_ends(world, [request]) == [JobEnd.COMPLETED]
