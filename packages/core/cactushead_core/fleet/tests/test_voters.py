"""Who votes in a fleet whose disks are lost and whose machines are replaced."""

import pytest
from cactushead_core.configuration.responses import (
    ConfigurationStored,
    NewestConfiguration,
)
from cactushead_core.discovery import Introduction, MemberAddress
from cactushead_core.events import MessageReceived, Peer, PeerRole

from .simulation import FleetSimulation

# Bounds of a small deployment: a lost machine counts as back after the first,
# and the entries are in touch after the second.
CATCH_UP_S = 4.0
IN_TOUCH_S = 3.0
RESTART_S = 0.5
FIRST_VOTERS = ('e0', 'e1', 'e2')


def start_fleet(**options):
    simulation = FleetSimulation(agents=0, **options)
    simulation.run(5)
    simulation.configure('e0', 1)
    simulation.run(1)
    return simulation


def restart(simulation, names, *, empty=()):
    for name in names:
        simulation.kill(name, silent=True)
    for name in empty:
        simulation.wipe(name)
    simulation.run(RESTART_S)
    for name in names:
        simulation.start(name)


def restart_all(simulation):
    restart(
        simulation,
        [name for name in simulation.processes if simulation.is_up(name)],
    )


def voting(simulation):
    """Returns the entries that vote by their own membership."""
    replicas = {
        name: simulation.entry(name).voter.replica
        for name in simulation.processes
        if simulation.is_up(name)
    }
    return [
        name
        for name, replica in replicas.items()
        if replica is not None and replica.votes
    ]


def store(simulation, entry, version):
    number = simulation.configure(entry, version)
    simulation.run(1)
    return simulation.responses.get(number)


def read(simulation, entry):
    number = simulation.read(entry)
    simulation.run(0.5)
    return simulation.responses.get(number)


def assert_newest(simulation, entry, version):
    newest = NewestConfiguration(version, f'{version}:q'.encode())
    assert read(simulation, entry) == newest


def test_lost_disks_are_replaced_after_restart_of_all_entries():
    """No entry knew the voters after it, so an empty disk never joined again.

    The second lost disk left one voter of three, and the acknowledged
    configuration could not be read any more.
    """
    simulation = start_fleet()
    restart_all(simulation)
    simulation.run(CATCH_UP_S)
    assert store(simulation, 'e3', 2) == ConfigurationStored()
    for name in ('e0', 'e1'):
        restart(simulation, [name], empty=[name])
        simulation.run(CATCH_UP_S)
        assert voting(simulation) == ['e0', 'e1', 'e2']
    assert_newest(simulation, 'e3', 2)
    assert store(simulation, 'e0', 3) == ConfigurationStored()


def test_new_machine_replaces_voter_after_restart_of_all_entries():
    simulation = start_fleet()
    restart_all(simulation)
    simulation.run(CATCH_UP_S)
    for number, lost in enumerate(('e0', 'e1', 'e2')):
        simulation.kill(lost, silent=True)
        simulation.run(RESTART_S)
        simulation.add_entry(f'n{number}')
        simulation.run(CATCH_UP_S + IN_TOUCH_S)
        assert len(voting(simulation)) == 3
        assert store(simulation, 'e3', number + 2) == ConfigurationStored()
    assert voting(simulation) == ['n0', 'n1', 'n2']
    assert_newest(simulation, 'e3', 4)


def tell_first_voters(simulation, name):
    """Sends a message of an entry that keeps the first selection for ever."""
    teller = Peer('old', PeerRole.ENTRY, 'old/1')
    member = MemberAddress('old', PeerRole.ENTRY, 'old', 7000)
    message = Introduction(member, FIRST_VOTERS)
    simulation.feed(name, lambda now_s: MessageReceived(now_s, teller, message))


def replace_first_voters(simulation):
    for number, lost in enumerate(FIRST_VOTERS):
        simulation.kill(lost, silent=True)
        simulation.run(RESTART_S)
        simulation.add_entry(f'n{number}')
        simulation.run(CATCH_UP_S + IN_TOUCH_S)


def test_empty_disks_told_an_old_list_form_no_membership():
    """They formed a second one, in which the configuration was lost.

    The first voters had been replaced by other machines. They come back with
    empty disks, at their old addresses, and an entry of earlier software names
    the voters of the first start to them.
    """
    simulation = start_fleet()
    replace_first_voters(simulation)
    assert store(simulation, 'e3', 2) == ConfigurationStored()
    for name in FIRST_VOTERS:
        simulation.wipe(name)
        simulation.start(name)
        tell_first_voters(simulation, name)
    simulation.run(CATCH_UP_S)
    assert voting(simulation) == ['n0', 'n1', 'n2']
    assert len(simulation.leaders()) == 1
    assert_newest(simulation, 'e0', 2)


def test_empty_disks_form_no_membership_while_the_voters_are_down():
    """The same while no entry can tell them that a membership exists."""
    simulation = start_fleet()
    replace_first_voters(simulation)
    assert store(simulation, 'e3', 2) == ConfigurationStored()
    for name in ('n0', 'n1', 'n2'):
        simulation.kill(name, silent=True)
    for name in FIRST_VOTERS:
        simulation.wipe(name)
        simulation.start(name)
    simulation.run(1)
    for name in FIRST_VOTERS:
        tell_first_voters(simulation, name)
    simulation.run(CATCH_UP_S)
    assert voting(simulation) == []
    assert read(simulation, 'e0') != NewestConfiguration(1, b'1:q')
    for name in ('n0', 'n1', 'n2'):
        simulation.start(name)
    simulation.run(CATCH_UP_S)
    assert voting(simulation) == ['n0', 'n1', 'n2']
    assert_newest(simulation, 'e0', 2)


@pytest.mark.parametrize('name', FIRST_VOTERS)
@pytest.mark.parametrize('after_s', [0.2, 0.5, 0.8, 0.85, 0.9, 1.0, 1.2])
def test_fleet_forms_although_one_voter_restarts_at_once(name, after_s):
    """A disk of the first start that is kept may still form the membership."""
    simulation = FleetSimulation(agents=0, diskless=2)
    simulation.run(after_s)
    simulation.kill(name, silent=True)
    simulation.run(RESTART_S)
    simulation.start(name)
    simulation.run(CATCH_UP_S + IN_TOUCH_S)
    assert store(simulation, 'e3', 1) == ConfigurationStored()
    assert voting(simulation) == list(FIRST_VOTERS)


def test_no_voters_are_selected_once_a_membership_is_known():
    """Settings may still say that the fleet starts for the first time."""
    simulation = start_fleet(voters=6)
    names = [name for name in simulation.processes if name[0] == 'e']
    for name in names:
        simulation.kill(name, silent=True)
    simulation.run(RESTART_S)
    simulation.logged.clear()
    for name in ('e0', 'e3', 'e4', 'e5'):
        simulation.start(name, first=True)
    simulation.run(CATCH_UP_S)
    assert 'voters chosen' not in {one.kind for _, one in simulation.logged}
    for name in ('e1', 'e2'):
        simulation.start(name, first=True)
    simulation.run(CATCH_UP_S)
    assert voting(simulation) == list(FIRST_VOTERS)
    assert_newest(simulation, 'e4', 1)
