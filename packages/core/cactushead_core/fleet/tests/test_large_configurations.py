"""Large configurations on a fleet whose entries have narrow links."""

import random

import pytest
from cactushead_core.configuration.responses import ConfigurationStored

from .network import NetworkSimulation

# The target of the users' sites: from the acknowledgement of a configuration
# until it is in force.
APPLY_S = 2.0
DISKS = 8
DISKLESS = ('e8', 'e9', 'e10', 'e11', 'e12')
# 1,400 queues as a platform describes them.
CONFIGURATION_BYTES = 290_000
# 12.5 Mbit/s.
BANDWIDTH = 1_562_500


class LargeConfigurations:
    """Stores large configurations, and checks when they are in force."""

    def __init__(self, seed):
        self.simulation = NetworkSimulation(
            random.Random(seed),
            voters=DISKS,
            diskless=len(DISKLESS),
            agents=0,
        )
        self.entries = tuple(self.simulation.processes)
        self.version = 0
        self.late = []
        self.simulation.run(5)
        self.change(size_bytes=0)
        self.simulation.run(4)
        self.simulation.bandwidths = dict.fromkeys(DISKLESS, BANDWIDTH)

    def change(self, *, size_bytes=CONFIGURATION_BYTES):
        """Stores a new version; it has to be in force in time."""
        simulation = self.simulation
        self.version += 1
        version = self.version
        number = simulation.configure('e0', version, 'q,' + 'x' * size_bytes)

        def answered(answered_number):
            if answered_number != number:
                return
            assert simulation.responses[number] == ConfigurationStored()
            simulation.schedule(APPLY_S, lambda: self.check(version))

        handlers = simulation.on_response
        simulation.on_response = lambda one: (handlers(one), answered(one))

    def check(self, version):
        self.late.extend(
            (name, version)
            for name in self.entries
            if self.simulation.is_up(name) and self.held(name) < version
        )

    def held(self, name):
        return self.simulation.entry(name).configuration.version


# Guards against entries that send the whole configuration in answer to every
# ping of an entry that is behind: until the first copy has arrived over a
# narrow link, it has caused dozens, and the next version waits behind them.
@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('gap_s', [0.3, 0.6, 1.2])
def test_changes_in_succession_are_in_force_in_time(gap_s, seed):
    fleet = LargeConfigurations(seed)
    for _ in range(6):
        fleet.change()
        fleet.simulation.run(gap_s)
    fleet.simulation.run(2 * APPLY_S)
    assert fleet.late == []
    assert {fleet.held(name) for name in fleet.entries} == {fleet.version}


# Guards against a configuration that no entry with a narrow link ever gets: a
# link is cut after 1 s without a whole message, also while a part of one
# arrives, and the next attempt ends in the same way.
@pytest.mark.parametrize('size_bytes', [1_000_000, 2_000_000])
def test_configuration_that_takes_long_on_a_link_arrives(size_bytes):
    fleet = LargeConfigurations(1)
    fleet.change(size_bytes=size_bytes)
    fleet.simulation.run(10 * APPLY_S)
    assert {fleet.held(name) for name in fleet.entries} == {fleet.version}
    assert fleet.late == []
