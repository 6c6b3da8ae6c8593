"""Jobs and configurations of a simulated fleet, end to end."""

from cactushead_core.configuration.responses import (
    ConfigurationStored,
    NewestConfiguration,
)
from cactushead_core.dispatch.responses import BestEffortEnded
from cactushead_core.tasks import JobEnd, JobPhase

from .simulation import FleetSimulation


def job_ends(simulation, numbers):
    responses = [simulation.responses.get(number) for number in numbers]
    return [
        response.end if isinstance(response, BestEffortEnded) else None
        for response in responses
    ]


def assert_invariants(simulation):
    assert simulation.history.overlaps == []
    assert simulation.history.capacity_violations == []


def test_fleet_forms_and_elects_one_leader():
    simulation = FleetSimulation()
    simulation.run(5)
    (leader,) = simulation.leaders()
    names = ('e0', 'e1', 'e2')
    voters = {simulation.entry(name).voter.voters for name in names}
    assert voters == {names}
    assert simulation.entry('e3').voter.voters == ()
    assert simulation.entry('e3').leader == leader


def test_configuration_is_active_on_all_entries_and_readable():
    simulation = FleetSimulation()
    simulation.run(5)
    stored = simulation.configure('e3', 7)
    simulation.run(1)
    assert isinstance(simulation.responses[stored], ConfigurationStored)
    for name in ('e0', 'e1', 'e2', 'e3'):
        assert simulation.entry(name).configuration.version == 7
        read = simulation.read(name)
        simulation.run(0.2)
        assert simulation.responses[read] == NewestConfiguration(7, b'7:q')


def test_lower_and_equal_versions_are_acknowledged_and_change_nothing():
    simulation = FleetSimulation()
    simulation.run(5)
    simulation.configure('e0', 7)
    simulation.run(1)
    numbers = [
        simulation.configure('e1', 5),
        simulation.configure('e2', 7, 'other'),
    ]
    simulation.run(1)
    for number in numbers:
        assert isinstance(simulation.responses[number], ConfigurationStored)
    read = simulation.read('e3')
    simulation.run(0.2)
    assert simulation.responses[read] == NewestConfiguration(7, b'7:q')


def test_jobs_complete_within_capacity():
    simulation = FleetSimulation()
    simulation.run(5)
    numbers = [simulation.submit(f'e{k % 4}', count=4) for k in range(6)]
    simulation.run(2)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 6
    assert_invariants(simulation)


def test_job_larger_than_any_upstream_is_refused_at_once():
    simulation = FleetSimulation()
    simulation.run(5)
    number = simulation.submit('e0', cpu_m=9000)
    simulation.run(0.01)
    assert job_ends(simulation, [number]) == [JobEnd.REFUSED]
    assert simulation.history.starts == []


def test_caller_disconnect_stops_runs():
    simulation = FleetSimulation(run_s=5)
    simulation.run(5)
    number = simulation.submit('e0', count=3)
    simulation.run(0.1)
    simulation.disconnect_caller('e0', number)
    simulation.run(0.2)
    running = [len(process.upstream.running) for process in agents(simulation)]
    assert running == [0, 0, 0]


def test_failed_tasks_are_retried_up_to_limit():
    simulation = FleetSimulation(agents=3)
    simulation.run(5)
    simulation.processes['a0'].upstream.failing = True
    numbers = [simulation.submit('e0', count=6) for _ in range(2)]
    simulation.run(3)
    assert job_ends(simulation, numbers) == [JobEnd.COMPLETED] * 2
    for process in agents(simulation):
        process.upstream.failing = True
    number = simulation.submit('e1')
    simulation.run(3)
    assert job_ends(simulation, [number]) == [JobEnd.FAILED]
    assert_invariants(simulation)


def test_job_state_is_available_during_and_after_run():
    simulation = FleetSimulation(run_s=0.5)
    simulation.run(5)
    dispatcher = simulation.entry('e0').dispatcher
    simulation.submit('e0', count=2, job='a' * 16)
    simulation.run(0.1)
    assert dispatcher.state('a' * 16) is JobPhase.RUNNING
    simulation.run(1)
    assert dispatcher.state('a' * 16) is JobEnd.COMPLETED
    assert dispatcher.state('b' * 16) is None


def test_jobs_that_wait_for_agents_are_pending():
    simulation = FleetSimulation()
    simulation.kill('e3')
    simulation.start('e3')
    dispatcher = simulation.entry('e3').dispatcher
    simulation.submit('e3', job='a' * 16)
    assert dispatcher.state('a' * 16) is JobPhase.QUEUED
    assert dispatcher.pending('q') == 1
    assert dispatcher.pending('other') == 0
    simulation.run(2)
    assert dispatcher.pending('q') == 0


def agents(simulation):
    return [
        process
        for process in simulation.processes.values()
        if process.upstream is not None
    ]
