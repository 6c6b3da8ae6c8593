"""Jobs and configurations of a simulated fleet under single faults."""

import random

import pytest
from cactushead_core.configuration.responses import (
    ConfigurationStored,
    NewestConfiguration,
    Unavailable,
)
from cactushead_core.events import DrainRequested
from cactushead_core.tasks import JobEnd

from .simulation import FleetSimulation
from .test_path import agents, assert_invariants, job_ends


def start_fleet(**options):
    simulation = FleetSimulation(**options)
    simulation.run(5)
    simulation.configure('e0', 1)
    simulation.run(1)
    return simulation


def completes_jobs(simulation, entries):
    numbers = [simulation.submit(name, count=2) for name in entries]
    simulation.run(6)
    return job_ends(simulation, numbers) == [JobEnd.COMPLETED] * len(numbers)


def test_resubmitted_job_has_no_overlapping_runs_after_entry_crash():
    simulation = start_fleet(run_s=2)
    simulation.submit('e0', count=4, job='a' * 16)
    simulation.run(0.2)
    simulation.kill('e0')
    simulation.run(1.3)
    number = simulation.submit('e1', count=4, job='a' * 16)
    simulation.run(6)
    assert job_ends(simulation, [number]) == [JobEnd.COMPLETED]
    assert_invariants(simulation)


def test_resubmitted_job_completes_after_entry_power_loss():
    simulation = start_fleet(run_s=3)
    simulation.submit('e0', count=4, job='a' * 16)
    simulation.run(0.2)
    simulation.kill('e0', silent=True)
    simulation.run(3)
    number = simulation.submit('e1', count=4, job='a' * 16)
    simulation.run(8)
    assert job_ends(simulation, [number]) == [JobEnd.COMPLETED]
    assert_invariants(simulation)


@pytest.mark.parametrize('silent', [False, True])
def test_jobs_complete_when_agent_restarts_during_runs(silent):
    simulation = start_fleet(run_s=1)
    numbers = [simulation.submit(f'e{k}', count=6) for k in range(3)]
    simulation.run(0.3)
    simulation.kill('a1', silent=silent)
    simulation.run(0.3)
    simulation.start('a1')
    simulation.run(8)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 3
    assert_invariants(simulation)


@pytest.mark.parametrize('pause_s', [1.0, 2.0, 3.8, 4.5, 6.0])
def test_paused_agent_starts_no_task_that_was_placed_elsewhere(pause_s):
    """An offer that waited in a paused agent's socket had lapsed meanwhile.

    The entry had given the agent up and placed the tasks again. The agent
    read the offer before the end of its link, and started them too.
    """
    simulation = start_fleet(run_s=2)
    simulation.pause('a2')
    simulation.run(0.2)
    numbers = [simulation.submit(f'e{k}', count=6) for k in range(3)]
    simulation.run(pause_s)
    simulation.resume('a2')
    simulation.run(10)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 3
    assert_invariants(simulation)


def test_job_that_has_run_is_not_refused():
    """After the loss of the only agent no upstream can run its tasks."""
    simulation = start_fleet(agents=1, run_s=2)
    number = simulation.submit('e0', count=2, caller_timeout_s=6)
    simulation.run(0.5)
    simulation.kill('a0', silent=True)
    simulation.run(8)
    assert simulation.history.starts
    assert job_ends(simulation, [number]) == [JobEnd.ABANDONED]


def test_task_whose_start_was_not_answered_runs_once():
    """A start call is carried out at once and only its answer is lost."""
    simulation = start_fleet(run_s=0.8)
    simulation.call_delay = lambda call: 0.0 if call == 'StartLeased' else None
    numbers = [simulation.submit(f'e{k}', count=4) for k in range(3)]
    simulation.run(4)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 3
    assert len(simulation.history.starts) == 12
    assert_invariants(simulation)


def test_jobs_complete_when_agent_is_paused():
    simulation = start_fleet(run_s=1.5)
    numbers = [simulation.submit(f'e{k}', count=6) for k in range(3)]
    simulation.run(0.2)
    simulation.pause('a2')
    simulation.run(4)
    simulation.resume('a2')
    simulation.run(6)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 3
    assert_invariants(simulation)


def test_agent_partitioned_from_all_entries():
    simulation = start_fleet(run_s=1.5)
    numbers = [simulation.submit(f'e{k}', count=6) for k in range(3)]
    simulation.run(0.2)
    simulation.partition(['a0'], ['e0', 'e1', 'e2', 'e3'])
    simulation.run(7)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 3
    simulation.heal()
    simulation.run(5)
    assert simulation.entry('e0').dispatcher.views['a0'].usable
    assert_invariants(simulation)


@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('calls', ['StartLeased', 'StopLeased', 'any'])
def test_jobs_complete_when_upstream_calls_are_delayed(seed, calls):
    simulation = start_fleet(run_s=0.4)
    rng = random.Random(seed)

    def delay(kind):
        hit = calls in {kind, 'any'} and rng.random() < 0.1
        return rng.uniform(2, 5) if hit else None

    simulation.call_delay = delay
    numbers = []
    for step in range(12):
        entry = f'e{step % 4}'
        numbers.append(simulation.submit(entry, count=5))
        if step % 4 == 3:
            simulation.disconnect_caller(entry, numbers.pop())
        simulation.run(0.25)
    simulation.run(15)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * len(numbers)
    assert_invariants(simulation)


def test_upstream_restarts_with_same_id():
    simulation = start_fleet(run_s=1)
    numbers = [simulation.submit(f'e{k}', count=6) for k in range(3)]
    simulation.run(0.3)
    upstream = simulation.processes['a0'].upstream
    upstream.crash()
    simulation.run(0.7)
    upstream.restart()
    simulation.run(8)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 3
    assert simulation.entry('e0').dispatcher.views['a0'].usable
    assert_invariants(simulation)


def test_draining_upstream_receives_no_tasks():
    simulation = start_fleet(run_s=0.5)
    simulation.submit('e0', count=20)
    simulation.run(0.2)
    upstream = simulation.processes['a1'].upstream
    upstream.draining = True
    simulation.run(0.6)
    drain_started_s = simulation.now_s
    numbers = [simulation.submit(f'e{k}', count=5) for k in range(4)]
    simulation.run(4)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 4
    late_starts = [
        name
        for at_s, _, name in simulation.history.starts
        if at_s > drain_started_s and name == upstream.name
    ]
    assert late_starts == []


def test_jobs_complete_without_voters():
    simulation = start_fleet(diskless=2)
    for name in ('e0', 'e1', 'e2'):
        simulation.kill(name)
    simulation.run(0.5)
    assert completes_jobs(simulation, ['e3', 'e4'])
    assert_invariants(simulation)


def test_configuration_is_stored_after_leader_loss():
    simulation = start_fleet()
    leader = simulation.leaders()[0]
    simulation.kill(leader, silent=True)
    simulation.run(3)
    number = simulation.configure('e3', 2)
    simulation.run(1)
    assert isinstance(simulation.responses[number], ConfigurationStored)


def test_resumed_leader_that_has_read_nothing_yet_returns_no_configuration():
    """The read is the first event after the pause; only the lease is over."""
    simulation = start_fleet()
    leader = simulation.leaders()[0]
    simulation.pause(leader)
    simulation.run(3)
    stored = simulation.configure('e3', 2)
    simulation.run(1)
    assert isinstance(simulation.responses[stored], ConfigurationStored)
    simulation.processes[leader].deferred.clear()
    read = simulation.read(leader)
    simulation.resume(leader)
    assert isinstance(simulation.responses[read], Unavailable)


def test_resumed_leader_returns_no_stale_configuration():
    simulation = start_fleet()
    leader = simulation.leaders()[0]
    simulation.pause(leader)
    simulation.run(3)
    simulation.configure('e3', 2)
    simulation.run(1)
    read = simulation.read(leader)
    simulation.resume(leader)
    simulation.run(2)
    response = simulation.responses[read]
    assert response == NewestConfiguration(2, b'2:q') or not isinstance(
        response,
        NewestConfiguration,
    )
    again = simulation.read(leader)
    simulation.run(1)
    assert simulation.responses[again] == NewestConfiguration(2, b'2:q')


def test_configuration_survives_power_loss_of_all_voters():
    simulation = start_fleet()
    simulation.configure('e1', 9)
    simulation.run(0.2)
    names = ('e0', 'e1', 'e2')
    for name in names:
        simulation.kill(name, silent=True)
    simulation.run(1)
    for name in names:
        simulation.start(name)
    simulation.run(4)
    for name in (*names, 'e3'):
        read = simulation.read(name)
        simulation.run(0.5)
        assert simulation.responses[read] == NewestConfiguration(9, b'9:q')


def test_voter_with_wiped_disk_catches_up_before_next_loss():
    simulation = start_fleet()
    simulation.configure('e1', 9)
    simulation.run(1)
    for name in ('e0', 'e1'):
        simulation.kill(name, silent=True)
        simulation.wipe(name)
        simulation.run(1)
        simulation.start(name)
        simulation.run(4)
    read = simulation.read('e3')
    simulation.run(0.5)
    assert simulation.responses[read] == NewestConfiguration(9, b'9:q')


def test_lost_voter_is_replaced_by_new_entry():
    simulation = start_fleet()
    simulation.configure('e1', 9)
    simulation.run(1)
    simulation.kill('e0', silent=True)
    simulation.run(1)
    simulation.add_entry('e9')
    simulation.run(4)
    simulation.kill('e1', silent=True)
    simulation.run(4)
    number = simulation.configure('e9', 10)
    simulation.run(1)
    assert isinstance(simulation.responses[number], ConfigurationStored)


def test_agent_restarts_while_all_seeds_are_down():
    simulation = start_fleet(diskless=2)
    for name in ('e0', 'e1', 'e2'):
        simulation.kill(name, silent=True)
    simulation.kill('a0')
    simulation.run(0.5)
    simulation.start('a0')
    simulation.run(4)
    assert simulation.entry('e3').dispatcher.views['a0'].usable
    assert len(agents(simulation)) == 3


def test_job_waits_until_restarted_entry_knows_agents():
    simulation = start_fleet()
    simulation.kill('e3')
    simulation.run(0.5)
    simulation.start('e3')
    number = simulation.submit('e3', count=2)
    simulation.run(1.5)
    assert job_ends(simulation, [number]) == [JobEnd.COMPLETED]


def test_job_that_no_agent_can_run_is_refused_once_agents_are_known():
    simulation = start_fleet(agents=0)
    simulation.kill('e3')
    simulation.start('e3')
    number = simulation.submit('e3')
    simulation.run(2.5)
    assert job_ends(simulation, [number]) == [None]
    simulation.run(1)
    assert job_ends(simulation, [number]) == [JobEnd.REFUSED]
    number = simulation.submit('e3')
    simulation.run(0.01)
    assert job_ends(simulation, [number]) == [JobEnd.REFUSED]


def test_fleet_completes_job_within_two_seconds_of_power_loss():
    simulation = start_fleet()
    for name in list(simulation.processes):
        simulation.kill(name, silent=True)
    simulation.run(0.5)
    for name in simulation.processes:
        simulation.start(name)
    number = simulation.submit('e3', count=2)
    simulation.run(2)
    assert job_ends(simulation, [number]) == [JobEnd.COMPLETED]
    assert len(simulation.leaders()) == 1
    assert simulation.entry('e3').configuration.version == 1


def test_draining_leader_transfers_leadership():
    simulation = FleetSimulation()
    simulation.run(5)
    simulation.configure('e3', 7)
    simulation.run(1)
    (old,) = simulation.leaders()
    simulation.feed(old, DrainRequested)
    simulation.run(0.2)
    (new,) = simulation.leaders()
    assert new != old
    stored = simulation.configure('e3', 9)
    simulation.run(0.3)
    assert isinstance(simulation.responses[stored], ConfigurationStored)


def test_restarted_entries_complete_jobs_without_leader():
    simulation = start_fleet()
    simulation.configure('e3', 7)
    simulation.run(1)
    for name in ('e0', 'e1', 'e2', 'e3'):
        simulation.kill(name)
    simulation.run(2)
    simulation.start('e0')
    simulation.start('e3')
    simulation.run(1)
    assert simulation.leaders() == []
    assert completes_jobs(simulation, ['e0', 'e3'])
    read = simulation.read('e0')
    simulation.run(1)
    assert isinstance(simulation.responses[read], Unavailable)
    for name in ('e0', 'e3'):
        assert simulation.entry(name).configuration.version == 7
