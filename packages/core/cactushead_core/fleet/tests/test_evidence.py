"""What a fleet logs of the runs of a task that is started twice."""

import pytest

from .simulation import FleetSimulation
from .test_path import assert_invariants

JOB = 'd' * 16
RUN_S = 3.0
# Lines that stand for trouble; a calm fleet writes none of them.
KINDS = {
    'agent given up',
    'caller left',
    'job given up',
    'job sent again',
    'job withdrawn',
    'more runs ended',
    'offer discarded',
    'owner lost',
    'result ignored',
    'run end concluded',
    'run ended',
    'run stopped',
    'task known',
    'tasks not reported',
    'unexpected tasks reported',
}


def start_fleet(run_s=RUN_S, **options):
    """Returns a fleet that has a configuration."""
    world = FleetSimulation(run_s=run_s, **options)
    world.run(5)
    world.configure('e0', 1)
    world.run(1)
    world.logged.clear()
    return world


def find_lines(world, kind):
    """Returns the process, subject and detail of the lines of a kind."""
    return [
        (name, record.subject, record.detail)
        for name, record in world.logged
        if record.kind == kind
    ]


def find_busy_agent(world):
    """Returns the name and the upstream of an agent that has runs."""
    return next(
        (name, process.upstream)
        for name, process in world.processes.items()
        if process.upstream is not None
        and process.node.manager.runs.at_upstream()
    )


def kill(world):
    world.kill('e0')


def lose_power(world):
    world.kill('e0', silent=True)


def pause_agent(world):
    name, _ = find_busy_agent(world)
    world.pause(name)
    world.run(2.5)
    world.resume(name)


# Guards against lines that are written while nothing goes wrong.
def test_calm_fleet_logs_no_run():
    world = start_fleet(run_s=0.2)
    for number in range(100):
        world.submit(f'e{number % 4}', count=2)
        world.run(0.1)
    world.run(2)
    assert not {record.kind for _, record in world.logged} & KINDS
    assert len(world.history.starts) == 200


# Guards against a stop that can't be followed from the caller that left to the
# upstream that confirmed it.
def test_job_whose_caller_leaves_is_logged_to_its_stop():
    world = start_fleet()
    number = world.submit('e0', count=3, job=JOB)
    world.run(0.5)
    world.disconnect_caller('e0', number)
    world.run(1)
    ((entry, job, detail),) = find_lines(world, 'job given up')
    assert (entry, job) == ('e0', JOB)
    assert detail.startswith('caller hung up, open for 0.500 s; told to stop: ')
    withdrawn = find_lines(world, 'job withdrawn')
    assert {job for _, job, _ in withdrawn} == {JOB}
    assert all(text.startswith('by e0, ') for _, _, text in withdrawn)
    stopped = find_lines(world, 'run stopped')
    assert sorted(task for _, task, _ in stopped) == [
        f'{JOB}.0.{index}' for index in range(3)
    ]
    for agent, task, text in stopped:
        assert f'{task}/1 at {agent}' in detail
        assert 'of e0 in session ' in text
        assert 'withdrawn, asked 0.' in text
        assert ', confirmed 0.' in text


# Guards against runs of a silent entry whose names and end no line has, when
# its callers have sent their jobs to another one.
@pytest.mark.parametrize(
    ('trouble', 'cause'),
    [
        (kill, 'without a link'),
        (lose_power, 'silent'),
        (pause_agent, 'silent'),
    ],
)
def test_runs_of_a_lost_owner_are_named(trouble, cause):
    world = start_fleet()
    world.submit('e0', count=2, job=JOB)
    world.run(0.5)
    trouble(world)
    world.run(2)
    lost = [line for line in find_lines(world, 'owner lost') if JOB in line[2]]
    assert lost
    for agent, owner, text in lost:
        assert owner == 'e0'
        assert f'runs end; {cause}: {JOB}.0.' in text
        assert ' of e0 running' in text
        assert any(
            name == agent and 'owner lost, asked 0.' in stop
            for name, _, stop in find_lines(world, 'run stopped')
        )


# Guards against an entry that restarts, and whose earlier runs end unnamed.
def test_runs_of_an_earlier_incarnation_are_named():
    world = start_fleet()
    world.submit('e0', count=1, job=JOB)
    world.run(0.5)
    world.kill('e0')
    world.start('e0')
    world.run(1)
    ((_, owner, text),) = [
        line for line in find_lines(world, 'owner lost') if JOB in line[2]
    ]
    assert owner == 'e0'
    assert 'restarted as ' in text


# Guards against an end that the agent concluded, without a line that says so:
# the owner starts the task again on this evidence.
def test_concluded_ends_are_logged_with_their_evidence():
    world = start_fleet(agents=2)
    world.submit('e0', count=2, job=JOB)
    world.run(0.5)
    agent, upstream = find_busy_agent(world)
    upstream.crash()
    world.run(2)
    concluded = find_lines(world, 'run end concluded')
    assert concluded
    for name, task, text in concluded:
        assert name == agent
        assert task.startswith(JOB)
        assert 'run 1 of e0 in session ' in text
        assert '; start call ' in text
    gone = find_lines(world, 'upstream gone')
    assert f'{JOB}.0.' in gone[0][2]


# Guards against a job that two entries have, when one agent gets a task of
# both: the second offer is turned down, and no line said of which entry.
def test_task_that_an_agent_has_of_another_entry_is_logged():
    world = start_fleet(agents=1)
    world.submit('e0', job=JOB)
    world.run(0.5)
    world.submit('e1', job=JOB)
    world.run(0.5)
    ((agent, task, text),) = find_lines(world, 'task known')
    assert (agent, task) == ('a0', f'{JOB}.0.0')
    assert text.startswith('run 1 of e1 in session ')
    assert ' is offered; run 1 of e0 in session ' in text
    assert text.endswith(' is running')


# Guards against a job that is given up at a cut-off entry, whose order to stop
# doesn't arrive: the agents' own lines show when and why the runs end.
def test_order_to_stop_that_is_cut_off_is_logged():
    world = start_fleet()
    number = world.submit('e0', count=3, job=JOB)
    world.run(0.5)
    agents = [name for name in world.processes if name.startswith('a')]
    world.partition(['e0'], agents)
    world.run(0.2)
    world.disconnect_caller('e0', number)
    world.run(1.5)
    assert find_lines(world, 'job given up')
    assert not find_lines(world, 'job withdrawn')
    assert find_lines(world, 'owner lost')
    assert len(find_lines(world, 'run stopped')) == 3
    world.heal()
    world.run(RUN_S)
    assert_invariants(world)
