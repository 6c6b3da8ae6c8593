"""Evacuated data centres: no task starts there until that is withdrawn."""

import random

import pytest
from cactushead_core.configuration.responses import Unavailable
from cactushead_core.dispatch.responses import BestEffortEnded
from cactushead_core.evacuation.responses import (
    DataCentreUnknown,
    EvacuationStored,
)
from cactushead_core.tasks import JobEnd, Resources

from .simulation import FleetSimulation
from .test_path import assert_invariants, job_ends

# Half of the shortest bound that an operator sets, 5 s.
REACH_S = 2.5
VOTERS = ('e0', 'e1', 'e2')


def started_world(**options):
    """Returns a fleet in which each process is a data centre of its own."""
    world = FleetSimulation(**options)
    world.run(5)
    world.configure('e3', 1)
    world.run(0.5)
    return world


def evacuate(world, data_centre, entry='e3', *, evacuated=True):
    """Gives an order, which must be acknowledged; returns when it is."""
    number = world.evacuate(entry, data_centre, evacuated=evacuated)
    world.run(0.5)
    assert world.responses[number] == EvacuationStored()
    return world.response_times_s[number]


def starts_at(world, upstream, after_s):
    """Returns the starts at an upstream after some time."""
    return [
        start
        for start in world.history.starts
        if start[2] == upstream and start[0] > after_s
    ]


def send_jobs(world, duration_s, entries=('e0', 'e1', 'e2', 'e3')):
    """Submits a job every 50 ms, to one entry after the other."""
    numbers = []
    until_s = world.now_s + duration_s
    while world.now_s < until_s:
        entry = entries[len(numbers) % len(entries)]
        numbers.append(world.submit(entry, count=2))
        world.run(0.05)
    return numbers


# Guards against queued tasks that start in an evacuated data centre, and
# against running ones that are stopped there.
def test_running_tasks_end_and_queued_ones_move():
    world = started_world(agents=2, capacity=Resources(2000, 1000), run_s=1.0)
    numbers = [world.submit('e0', count=8)]
    world.run(0.2)
    acknowledged_s = evacuate(world, 'dc-a0')
    world.run(10)
    assert job_ends(world, numbers) == [JobEnd.COMPLETED]
    assert not starts_at(world, 'u0', acknowledged_s + 0.1)
    assert len(world.history.starts) == 8
    assert_invariants(world)


# Guards against a data centre that stays empty after the end of its evacuation.
def test_tasks_start_again_after_the_end():
    world = started_world(agents=2)
    evacuate(world, 'dc-a0')
    ended_s = evacuate(world, 'dc-a0', evacuated=False)
    send_jobs(world, 1.0)
    assert starts_at(world, 'u0', ended_s)


# Guards against jobs that wait for their deadline when all upstreams that could
# run them are evacuated.
def test_job_is_refused_when_all_data_centres_are_evacuated():
    world = started_world(agents=2)
    evacuate(world, 'dc-a0')
    evacuate(world, 'dc-a1')
    number = world.submit('e0')
    world.run(0.1)
    answer = world.responses[number]
    assert isinstance(answer, BestEffortEnded)
    assert answer.end is JobEnd.REFUSED


# Guards against an order that is refused when its acknowledgement was lost, and
# against one that an earlier opposite order overtakes.
def test_order_is_absolute_and_may_be_sent_again():
    world = started_world(agents=2)
    evacuate(world, 'dc-a0', 'e1')
    evacuate(world, 'dc-a0', 'e2')
    evacuate(world, 'dc-unused', evacuated=False)
    world.evacuate('e1', 'dc-a0', evacuated=False)
    again = world.evacuate('e1', 'dc-a0', evacuated=True)
    world.run(0.5)
    assert world.responses[again] == EvacuationStored()
    for name in (*VOTERS, 'e3'):
        state = world.entry(name).evacuations.active
        assert state.data_centres == ('dc-a0',)


def test_unknown_data_centre_is_rejected():
    world = started_world(data_centres=('dc-a0',))
    number = world.evacuate('e3', 'dc-a9')
    world.run(0.5)
    assert world.responses[number] == DataCentreUnknown('dc-a9')


def test_order_without_a_majority_is_not_acknowledged():
    world = started_world()
    for name in ('e1', 'e2'):
        world.kill(name, silent=True)
    number = world.evacuate('e0', 'dc-a0')
    world.run(3)
    assert isinstance(world.responses[number], Unavailable)


# Guards against an acknowledged evacuation that is lost with all processes, or
# with the disk of the voter that acknowledged it.
@pytest.mark.parametrize('wiped', [None, *VOTERS])
def test_evacuation_survives_the_loss_of_all_power(wiped):
    world = started_world(agents=3)
    acknowledged_s = evacuate(world, 'dc-a0')
    for name in world.processes:
        world.kill(name, silent=True)
    if wiped is not None:
        world.wipe(wiped)
    for name in world.processes:
        world.start(name)
    world.run(5)
    send_jobs(world, 2.0)
    assert not starts_at(world, 'u0', acknowledged_s + REACH_S)
    assert world.entry('e3').evacuations.active.data_centres == ('dc-a0',)


# Guards against processes that join, restart or heal with an older state.
@pytest.mark.parametrize('lost', ['e0', 'e3', 'a0'])
def test_process_that_missed_the_order_obeys_it(lost):
    world = started_world(agents=3)
    others = [name for name in world.processes if name != lost]
    world.partition([lost], others)
    world.run(3)
    acknowledged_s = evacuate(world, 'dc-a0', 'e1')
    world.heal()
    world.run(REACH_S)
    world.kill(lost)
    world.start(lost)
    world.add_entry('e9')
    world.run(2)
    send_jobs(world, 2.0, ('e0', 'e1', 'e3', 'e9'))
    assert not starts_at(world, 'u0', acknowledged_s + 2 * REACH_S)


# Guards against an agent that follows an entry which knows an older state.
def test_agent_ignores_an_older_state():
    world = started_world(agents=2)
    before = world.entry('e3').evacuations.active
    acknowledged_s = evacuate(world, 'dc-a0')
    stale = world.entry('e3')
    stale.evacuations.active = before
    stale.dispatcher.agents.set_evacuated('a0', evacuated=False)
    send_jobs(world, 1.0, ('e3',))
    assert not starts_at(world, 'u0', acknowledged_s + 0.1)


# Guards against starts in an evacuated data centre, and lost evacuations, under
# any order of orders, restarts, cuts and wiped disks.
@pytest.mark.parametrize('seed', range(8))
def test_orders_hold_under_random_faults(seed):
    rng = random.Random(seed)
    world = started_world(agents=4)
    state = dict.fromkeys(('dc-a0', 'dc-a1'), False)
    for _ in range(8):
        data_centre = rng.choice(sorted(state))
        victim = rng.choice([*VOTERS, 'e3', 'a0', 'a1', 'a2'])
        disturb(world, victim, rng)
        others = [name for name in (*VOTERS, 'e3') if name != victim]
        order = not state[data_centre]
        acknowledge(world, rng.choice(others), data_centre, evacuated=order)
        state[data_centre] = order
        world.heal()
        world.run(REACH_S)
        began_s = world.now_s
        send_jobs(world, 1.0, others)
        for number, evacuated in enumerate(state.values()):
            assert not (evacuated and starts_at(world, f'u{number}', began_s))
        world.run(4)
    wanted = tuple(sorted(name for name, is_on in state.items() if is_on))
    for name in (*VOTERS, 'e3'):
        assert world.entry(name).evacuations.active.data_centres == wanted


def acknowledge(world, entry, data_centre, *, evacuated):
    """Sends an order again until it is acknowledged."""
    for _ in range(10):
        number = world.evacuate(entry, data_centre, evacuated=evacuated)
        world.run(1.0)
        if world.responses.get(number) == EvacuationStored():
            return
    raise AssertionError(f'{data_centre} is never acknowledged')


def disturb(world, victim, rng):
    """Restarts, wipes or cuts off one process."""
    others = [name for name in world.processes if name != victim]
    match rng.choice(('restart', 'wipe', 'cut')):
        case 'cut':
            world.partition([victim], others)
        case kind:
            world.kill(victim, silent=True)
            if kind == 'wipe' and victim in VOTERS:
                world.wipe(victim)
            world.start(victim)
