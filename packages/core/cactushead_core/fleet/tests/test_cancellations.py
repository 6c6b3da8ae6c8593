"""Cancellations of jobs at entries that don't have them."""

import pytest
from cactushead_core.configuration.responses import Unavailable
from cactushead_core.dispatch.events import CancelRequested
from cactushead_core.dispatch.responses import CancelAnswered
from cactushead_core.fleet.messages import CancelJob, CancelJobReply
from cactushead_core.tasks import JobEnd

from .simulation import FleetSimulation
from .test_path import assert_invariants, job_ends

JOB = 'c' * 16
FOUND = CancelAnswered(found=True)
NOT_FOUND = CancelAnswered(found=False)
# Until the search of an entry without a disk ends without a reply.
SEARCH_S = 2.0
REQUEST = 1_000_000


def start_world(**options):
    """Returns a fleet whose entries without a disk aren't all linked."""
    world = FleetSimulation(**({'diskless': 9, 'run_s': 3.0} | options))
    world.run(5)
    world.configure('e0', 1)
    world.run(1)
    return world


def cancel(world, entry, number=REQUEST):
    world.feed(entry, lambda now_s: CancelRequested(now_s, number, JOB))
    return number


def running(world):
    return sum(
        len(process.upstream.running)
        for process in world.processes.values()
        if process.upstream is not None
    )


# Guards against a cancel that an entry without the job acknowledges, while the
# job goes on at another one.
@pytest.mark.parametrize('asked', ['e0', 'e1', 'e7', 'e8', 'e11'])
@pytest.mark.parametrize('owner', ['e1', 'e8', 'e11'])
def test_job_is_cancelled_at_any_entry(owner, asked):
    world = start_world()
    job = world.submit(owner, count=6, job=JOB)
    world.run(0.5)
    assert running(world) == 6
    request = cancel(world, asked)
    world.run(0.1)
    assert world.responses[request] == FOUND
    assert job_ends(world, [job]) == [JobEnd.CANCELLED]
    world.run(0.2)
    assert running(world) == 0
    assert_invariants(world)


@pytest.mark.parametrize('asked', ['e0', 'e8'])
def test_cancel_of_an_unknown_job_finds_none(asked):
    world = start_world()
    request = cancel(world, asked)
    world.run(0.1)
    assert world.responses[request] == NOT_FOUND


# Guards against an entry that has refused the job and doesn't ask the one that
# has accepted it since.
def test_job_that_was_refused_here_is_cancelled_elsewhere():
    world = start_world()
    world.submit('e8', count=2, job=JOB)
    world.run(0.2)
    recent = world.entry('e0').dispatcher._jobs
    recent.add_end(JOB, JobEnd.REFUSED, world.now_s)
    request = cancel(world, 'e0')
    world.run(0.1)
    assert world.responses[request] == FOUND


# Guards against a cancel that costs messages although the job is here.
def test_cancel_of_an_own_job_asks_nobody():
    world = start_world()
    world.submit('e8', count=2, job=JOB)
    world.run(0.2)
    process = world.processes['e8']
    event = CancelRequested(world.now_s, REQUEST, JOB)
    effects = process.node.reduce(event)
    messages = [getattr(effect, 'message', None) for effect in effects]
    assert not any(isinstance(one, CancelJob) for one in messages)


# Guards against a job that goes on at an entry that was silent while its caller
# cancelled it at another one.
@pytest.mark.parametrize('asked', ['e0', 'e1', 'e11'])
@pytest.mark.parametrize('pause_s', [1.5, 3.0])
def test_silent_entry_cancels_the_job_later(asked, pause_s):
    world = start_world(run_s=6.0)
    job = world.submit('e8', count=6, job=JOB)
    world.run(0.5)
    world.pause('e8')
    request = cancel(world, asked)
    world.run(pause_s)
    assert world.responses[request] == NOT_FOUND
    world.resume('e8')
    world.run(2.0)
    assert job_ends(world, [job]) == [JobEnd.CANCELLED]
    assert running(world) == 0
    assert_invariants(world)


# Guards against a cancel that is said to have found nothing, although an entry
# has not replied.
@pytest.mark.parametrize('asked', ['e0', 'e8'])
def test_cancel_without_all_replies_is_unavailable(asked):
    world = start_world()
    replies_only(world, lost='e11')
    request = cancel(world, asked)
    world.run(SEARCH_S)
    assert isinstance(world.responses[request], Unavailable)


def replies_only(world, lost):
    """Loses the questions to one entry, whose other messages arrive."""
    node = world.processes[lost].node
    node._cancellations.asked = lambda *_: None


# Guards against the same when no voter can be asked, and against a search that
# never ends.
@pytest.mark.parametrize('silently', [False, True])
def test_cancel_whose_relay_is_lost_is_unavailable(silently):
    world = start_world()
    for name in ('e0', 'e1', 'e2'):
        world.kill(name, silent=silently)
    request = cancel(world, 'e8')
    world.run(SEARCH_S)
    assert isinstance(world.responses[request], Unavailable)


# Guards against a cancel that is never answered once the owner is gone; its
# runs end without it.
def test_cancel_ends_when_an_asked_entry_is_lost():
    world = start_world()
    world.submit('e8', count=6, job=JOB)
    world.run(0.5)
    request = cancel(world, 'e0')
    world.kill('e8')
    world.run(0.1)
    assert world.responses[request] in {FOUND, NOT_FOUND}
    world.run(2.0)
    assert running(world) == 0


# Guards against replies that come twice, late, or from entries not asked.
def test_other_replies_change_nothing():
    world = start_world()
    node = world.entry('e0')
    node.reduce(CancelRequested(world.now_s, REQUEST, JOB))
    replies = (
        CancelJobReply(1, found=False, complete=True),
        CancelJobReply(1, found=False, complete=True),
        CancelJobReply(7, found=True, complete=True),
    )
    effects = []
    for reply in replies:
        node._cancellations.replied('e1', reply, effects)
    node._cancellations.replied('a0', replies[0], effects)
    assert effects == []


# A caller that has left gets no answer, and a repeated cancel finds nothing.
def test_repeated_cancel():
    world = start_world()
    world.submit('e8', count=2, job=JOB)
    world.run(0.2)
    requests = [cancel(world, 'e0', REQUEST + k) for k in range(3)]
    world.run(0.1)
    assert [world.responses[one] for one in requests] == [
        FOUND,
        NOT_FOUND,
        NOT_FOUND,
    ]


# Guards against an entry that can't cancel a job elsewhere, since it doesn't
# know who votes: no entry did after a restart of all of them, and entries kept
# the names of the first voters when those had been replaced.
@pytest.mark.parametrize('asked', ['e0', 'e1', 'e8'])
@pytest.mark.parametrize('change', ['restart', 'replacement'])
def test_job_is_cancelled_elsewhere_after_voters_changed(change, asked):
    world = start_world(voters=6, diskless=4)
    if change == 'restart':
        names = [name for name in world.processes if name[0] == 'e']
        for name in names:
            world.kill(name, silent=True)
        world.run(0.5)
        for name in names:
            world.start(name)
        world.run(5)
    else:
        asked = {'e0': 'e3', 'e1': 'e4'}.get(asked, asked)
        for name in ('e0', 'e1', 'e2'):
            world.kill(name, silent=True)
            world.run(5)
    job = world.submit('e7', count=6, job=JOB)
    world.run(0.5)
    assert running(world) == 6
    request = cancel(world, asked)
    world.run(0.2)
    assert world.responses[request] == FOUND
    assert job_ends(world, [job]) == [JobEnd.CANCELLED]
    world.run(0.2)
    assert running(world) == 0
