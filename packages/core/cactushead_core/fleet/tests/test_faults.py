"""Jobs and configurations of a fleet under faults, in virtual time."""

import random

import pytest
from cactushead_core.configuration.responses import (
    ConfigurationStored,
    NewestConfiguration,
    Unavailable,
)
from cactushead_core.events import DrainRequested
from cactushead_core.tasks import JobEnd

from .test_path import agents, assert_promises, ends
from .world import World


def formed(**options):
    world = World(**options)
    world.run(5)
    world.configure('e0', 1)
    world.run(1)
    return world


def serves(world, entries):
    numbers = [world.submit(name, count=2) for name in entries]
    world.run(6)
    return ends(world, numbers) == [JobEnd.COMPLETED] * len(numbers)


def test_job_sent_again_after_its_entry_died_runs_once_at_a_time():
    world = formed(run_s=2)
    world.submit('e0', count=4, job='a' * 16)
    world.run(0.2)
    world.kill('e0')
    world.run(1.3)
    number = world.submit('e1', count=4, job='a' * 16)
    world.run(6)
    assert ends(world, [number]) == [JobEnd.COMPLETED]
    assert_promises(world)


def test_job_sent_again_after_its_entry_went_dark():
    world = formed(run_s=3)
    world.submit('e0', count=4, job='a' * 16)
    world.run(0.2)
    world.kill('e0', silent=True)
    world.run(3)
    number = world.submit('e1', count=4, job='a' * 16)
    world.run(8)
    assert ends(world, [number]) == [JobEnd.COMPLETED]
    assert_promises(world)


@pytest.mark.parametrize('silent', [False, True])
def test_agent_restarts_while_its_runs_go_on(silent):
    world = formed(run_s=1)
    numbers = [world.submit(f'e{k}', count=6) for k in range(3)]
    world.run(0.3)
    world.kill('a1', silent=silent)
    world.run(0.3)
    world.start('a1')
    world.run(8)
    assert ends(world, numbers) == [JobEnd.COMPLETED] * 3
    assert_promises(world)


def test_agent_that_stands_still_loses_its_runs():
    world = formed(run_s=1.5)
    numbers = [world.submit(f'e{k}', count=6) for k in range(3)]
    world.run(0.2)
    world.freeze('a2')
    world.run(4)
    world.thaw('a2')
    world.run(6)
    assert ends(world, numbers) == [JobEnd.COMPLETED] * 3
    assert_promises(world)


def test_agent_cut_off_from_all_entries():
    world = formed(run_s=1.5)
    numbers = [world.submit(f'e{k}', count=6) for k in range(3)]
    world.run(0.2)
    world.separate(['a0'], ['e0', 'e1', 'e2', 'e3'])
    world.run(7)
    assert ends(world, numbers) == [JobEnd.COMPLETED] * 3
    world.heal()
    world.run(5)
    assert world.entry('e0').dispatcher.views['a0'].usable
    assert_promises(world)


@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('calls', ['StartLeased', 'StopLeased', 'any'])
def test_calls_carried_out_late(seed, calls):
    world = formed(run_s=0.4)
    chance = random.Random(seed)

    def late(kind):
        hit = calls in {kind, 'any'} and chance.random() < 0.1
        return chance.uniform(2, 5) if hit else None

    world.late_calls = late
    numbers = []
    for step in range(12):
        entry = f'e{step % 4}'
        numbers.append(world.submit(entry, count=5))
        if step % 4 == 3:
            world.hang_up(entry, numbers.pop())
        world.run(0.25)
    world.run(15)
    assert ends(world, numbers) == [JobEnd.COMPLETED] * len(numbers)
    assert_promises(world)


def test_upstream_crashes_and_restarts_under_its_old_id():
    world = formed(run_s=1)
    numbers = [world.submit(f'e{k}', count=6) for k in range(3)]
    world.run(0.3)
    upstream = world.processes['a0'].upstream
    upstream.crash()
    world.run(0.7)
    upstream.restart()
    world.run(8)
    assert ends(world, numbers) == [JobEnd.COMPLETED] * 3
    assert world.entry('e0').dispatcher.views['a0'].usable
    assert_promises(world)


def test_draining_upstream_gets_nothing_new():
    world = formed(run_s=0.5)
    world.submit('e0', count=20)
    world.run(0.2)
    upstream = world.processes['a1'].upstream
    upstream.draining = True
    world.run(0.6)
    begun_s = world.now_s
    numbers = [world.submit(f'e{k}', count=5) for k in range(4)]
    world.run(4)
    assert ends(world, numbers) == [JobEnd.COMPLETED] * 4
    late = [
        name
        for at_s, _, name in world.history.starts
        if at_s > begun_s and name == upstream.name
    ]
    assert late == []


def test_jobs_go_on_without_any_voter():
    world = formed(thin=2)
    for name in ('e0', 'e1', 'e2'):
        world.kill(name)
    world.run(0.5)
    assert serves(world, ['e3', 'e4'])
    assert_promises(world)


def test_leader_is_lost_and_configurations_go_on():
    world = formed()
    leader = world.leaders()[0]
    world.kill(leader, silent=True)
    world.run(3)
    number = world.configure('e3', 2)
    world.run(1)
    assert isinstance(world.answers[number], ConfigurationStored)


def test_thawed_leader_gives_no_older_configuration():
    world = formed()
    leader = world.leaders()[0]
    world.freeze(leader)
    world.run(3)
    world.configure('e3', 2)
    world.run(1)
    read = world.read(leader)
    world.thaw(leader)
    world.run(2)
    answer = world.answers[read]
    assert answer == NewestConfiguration(2, b'2:q') or not isinstance(
        answer,
        NewestConfiguration,
    )
    again = world.read(leader)
    world.run(1)
    assert world.answers[again] == NewestConfiguration(2, b'2:q')


def test_all_voters_lose_power_and_come_back():
    world = formed()
    world.configure('e1', 9)
    world.run(0.2)
    names = ('e0', 'e1', 'e2')
    for name in names:
        world.kill(name, silent=True)
    world.run(1)
    for name in names:
        world.start(name)
    world.run(4)
    for name in (*names, 'e3'):
        read = world.read(name)
        world.run(0.5)
        assert world.answers[read] == NewestConfiguration(9, b'9:q')


def test_voter_without_its_disk_is_whole_again_before_the_next_loss():
    world = formed()
    world.configure('e1', 9)
    world.run(1)
    for name in ('e0', 'e1'):
        world.kill(name, silent=True)
        world.wipe(name)
        world.run(1)
        world.start(name)
        world.run(4)
    read = world.read('e3')
    world.run(0.5)
    assert world.answers[read] == NewestConfiguration(9, b'9:q')


def test_voter_replaced_by_an_empty_one_at_another_address():
    world = formed()
    world.configure('e1', 9)
    world.run(1)
    world.kill('e0', silent=True)
    world.run(1)
    world.add_entry('e9')
    world.run(4)
    world.kill('e1', silent=True)
    world.run(4)
    number = world.configure('e9', 10)
    world.run(1)
    assert isinstance(world.answers[number], ConfigurationStored)


def test_seeds_are_all_gone_when_an_agent_restarts():
    world = formed(thin=2)
    for name in ('e0', 'e1', 'e2'):
        world.kill(name, silent=True)
    world.kill('a0')
    world.run(0.5)
    world.start('a0')
    world.run(4)
    assert world.entry('e3').dispatcher.views['a0'].usable
    assert len(agents(world)) == 3


def test_job_waits_for_the_agents_of_an_entry_that_has_just_started():
    world = formed()
    world.kill('e3')
    world.run(0.5)
    world.start('e3')
    number = world.submit('e3', count=2)
    world.run(1.5)
    assert ends(world, [number]) == [JobEnd.COMPLETED]


def test_job_that_no_agent_can_run_is_refused_once_agents_are_known():
    world = formed(agents=0)
    world.kill('e3')
    world.start('e3')
    number = world.submit('e3')
    world.run(2.5)
    assert ends(world, [number]) == [None]
    world.run(1)
    assert ends(world, [number]) == [JobEnd.REFUSED]
    number = world.submit('e3')
    world.run(0.01)
    assert ends(world, [number]) == [JobEnd.REFUSED]


def test_fleet_serves_within_two_seconds_of_a_loss_of_all_power():
    world = formed()
    for name in list(world.processes):
        world.kill(name, silent=True)
    world.run(0.5)
    for name in world.processes:
        world.start(name)
    number = world.submit('e3', count=2)
    world.run(2)
    assert ends(world, [number]) == [JobEnd.COMPLETED]
    assert len(world.leaders()) == 1
    assert world.entry('e3').configuration.version == 1


def test_leader_that_drains_is_followed_at_once():
    world = World()
    world.run(5)
    world.configure('e3', 7)
    world.run(1)
    (old,) = world.leaders()
    world.feed(old, DrainRequested)
    world.run(0.2)
    (new,) = world.leaders()
    assert new != old
    stored = world.configure('e3', 9)
    world.run(0.3)
    assert isinstance(world.answers[stored], ConfigurationStored)


def test_entry_that_starts_serves_before_a_leader_is_known():
    world = formed()
    world.configure('e3', 7)
    world.run(1)
    for name in ('e0', 'e1', 'e2', 'e3'):
        world.kill(name)
    world.run(2)
    world.start('e0')
    world.start('e3')
    world.run(1)
    assert world.leaders() == []
    assert serves(world, ['e0', 'e3'])
    read = world.read('e0')
    world.run(1)
    assert isinstance(world.answers[read], Unavailable)
    for name in ('e0', 'e3'):
        assert world.entry(name).configuration.version == 7
