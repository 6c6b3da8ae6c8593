"""What the log of an entry says about the voters."""

from .simulation import FleetSimulation


def logged(simulation, name, kind):
    return [
        record.detail
        for process, record in simulation.logged
        if process == name and record.kind == kind
    ]


def start_fleet(**options):
    simulation = FleetSimulation(agents=0, **options)
    simulation.run(5)
    simulation.configure('e0', 1)
    simulation.run(1)
    return simulation


def test_known_voters_are_logged_once_for_each_change():
    """The log didn't tell an entry without voters from one with old ones."""
    simulation = start_fleet()
    simulation.run(20)
    assert logged(simulation, 'e1', 'voters known') == [
        'none; no membership received yet',
        'e0, e1, e2; from entry 1 of its log',
    ]
    assert logged(simulation, 'e3', 'voters known') == [
        'none; an entry without a disk keeps no list'
    ]


def test_voters_after_restart_are_logged_with_their_source():
    simulation = start_fleet()
    simulation.kill('e1')
    simulation.run(0.5)
    simulation.logged.clear()
    simulation.start('e1')
    simulation.run(2)
    (known,) = logged(simulation, 'e1', 'voters known')
    assert known.startswith('e0, e1, e2; from the snapshot at ')
    assert logged(simulation, 'e1', 'waits to join') == []


def test_wait_to_join_is_logged_at_bounded_rate():
    """An entry that nobody admitted was silent about it."""
    simulation = start_fleet(voters=4, diskless=0)
    simulation.run(4)
    simulation.logged.clear()
    simulation.run(20)
    waits = logged(simulation, 'e3', 'waits to join')
    assert len(waits) == 4
    (leader,) = simulation.leaders()
    cause = f'leader {leader} has not admitted it yet; linked to 3 entries'
    assert {wait.partition(': ')[2] for wait in waits} == {cause}
    status = simulation.entry('e3').membership
    assert (status.votes, status.wait_cause) == (False, cause)
    status = simulation.entry('e0').membership
    assert (status.votes, status.wait_cause) == (True, '')
    assert status.voters == ('e0', 'e1', 'e2')
    assert logged(simulation, 'e0', 'waits to join') == []


def test_voter_that_was_replaced_logs_that_it_waits():
    """Its disk says that it votes, so it was silent."""
    simulation = start_fleet(voters=4, diskless=0)
    simulation.kill('e1', silent=True)
    simulation.run(5)
    simulation.start('e1')
    simulation.run(4)
    waits = logged(simulation, 'e1', 'waits to join')
    (leader,) = simulation.leaders()
    assert waits == [
        f'for 1 s: leader {leader} has no such voter; linked to 3 entries'
    ]
