"""What an entry says about configurations that arrive late or in vain."""

from cactushead_core.configuration import (
    ConfigurationStatus,
    ConfigurationUpdate,
)
from cactushead_core.discovery import Ping
from cactushead_core.events import MessageReceived

from .simulation import FleetSimulation
from .test_membership_report import logged

IN_FORCE = 'document in force'


def start_fleet():
    simulation = FleetSimulation(agents=0)
    simulation.run(5)
    simulation.configure('e0', 1, 'q')
    simulation.run(2)
    simulation.logged.clear()
    return simulation


def deliver(simulation, message):
    sender = simulation.processes['e0'].peer
    simulation.feed('e3', lambda now_s: MessageReceived(now_s, sender, message))


def status(simulation):
    return simulation.entry('e3').configuration.status(simulation.now_s)


# The log didn't tell an entry that knows of a newer configuration, and waits
# for it, from one that doesn't know.
def test_newer_configuration_is_logged_when_it_becomes_known():
    simulation = start_fleet()
    deliver(simulation, Ping(configuration_version=7))
    deliver(simulation, Ping(configuration_version=8))
    assert logged(simulation, 'e3', 'configuration behind') == [
        'version 1, e0 has 7'
    ]
    simulation.run(0.02)
    found = status(simulation)
    assert (found.version, found.newest_known) == (1, 8)
    assert 0.01 < found.behind_s < 0.03
    deliver(simulation, ConfigurationUpdate(8, b'8:q'))
    (line,) = logged(simulation, 'e3', IN_FORCE)
    assert line.startswith('version 8 from e0; newest known 8, ')
    assert status(simulation).behind_s == 0


# Copies of a configuration that an entry has were neither logged nor counted.
def test_superfluous_copies_are_counted():
    simulation = start_fleet()
    before = status(simulation)
    for _ in range(3):
        deliver(simulation, ConfigurationUpdate(1, b'1:q'))
    assert status(simulation) == ConfigurationStatus(
        1,
        1,
        0,
        before.superfluous_copies + 3,
        before.superfluous_bytes + 9,
    )
    deliver(simulation, ConfigurationUpdate(2, b'2:q'))
    (line,) = logged(simulation, 'e3', IN_FORCE)
    copies = before.superfluous_copies + 3
    assert line.endswith(
        f'newest known 2, {copies} superfluous copies since the last'
    )
