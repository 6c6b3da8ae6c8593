"""Voters under random losses of disks, replacements and restarts.

Explanation:
    At most one voter is lost or catching up at a time, as `losses` of 1 allows,
    but for restarts of all processes, which keep their disks.
"""

import random

import pytest
from cactushead_core.configuration.responses import (
    ConfigurationStored,
    NewestConfiguration,
)

from .simulation import FleetSimulation
from .test_voters import tell_first_voters

CATCH_UP_S = 4.0
IN_TOUCH_S = 3.0
VOTERS = 3
STEPS = 16
# Entries with a disk, and without one.
SIZES = ((3, 1), (4, 2), (6, 3))
OUTAGES_S = (0.1, 0.5, 1.0, 2.5)


class VoterFaults:
    """Draws the faults, and checks the fleet after each one."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        disks, diskless = SIZES[seed % len(SIZES)]
        self.simulation = FleetSimulation(
            voters=disks, diskless=diskless, agents=1
        )
        # Whether a process that keeps the first selection names it to others.
        self.names_first_voters = self.rng.random() < 0.5
        self.gone = []
        self.added = 0
        self.version = 0
        self.simulation.run(5)
        self.check()

    # Entries.

    def up(self, *, disk=None):
        return [
            name
            for name, process in self.simulation.processes.items()
            if name[0] != 'a'
            and self.simulation.is_up(name)
            and disk in {None, bool(process.disk.incarnation)}
        ]

    def restart(self, names, *, empty=()):
        simulation = self.simulation
        simulation.update_seeds()
        for name in names:
            simulation.kill(name, silent=self.rng.random() < 0.5)
        for name in empty:
            simulation.wipe(name)
        simulation.run(self.rng.choice(OUTAGES_S))
        for name in self.rng.sample(names, len(names)):
            self.start(name)

    def start(self, name):
        self.simulation.start(name)
        if self.names_first_voters and self.rng.random() < 0.5:
            tell_first_voters(self.simulation, name)

    # Faults.

    def lose_disk(self):
        name = self.rng.choice(self.up(disk=True))
        self.restart([name], empty=[name])

    def lose_leaders_disk(self):
        (name,) = self.simulation.leaders()
        self.restart([name], empty=[name])

    def replace(self):
        lost = self.rng.choice(self.up(disk=True))
        self.simulation.kill(lost, silent=self.rng.random() < 0.5)
        self.gone.append(lost)
        self.simulation.run(self.rng.choice(OUTAGES_S))
        self.simulation.add_entry(f'n{self.added}')
        self.added += 1

    def return_machines(self):
        """Replaced machines come back, with their old disks or empty ones."""
        count = min(len(self.gone), self.rng.randint(1, 4))
        returned = self.rng.sample(self.gone, count)
        self.simulation.update_seeds()
        for name in returned:
            self.gone.remove(name)
            if self.rng.random() < 0.7:
                self.simulation.wipe(name)
            self.start(name)

    def restart_one(self):
        self.restart([self.rng.choice(self.up())])

    def restart_all(self):
        self.restart([*self.up(), 'a0'])

    def restart_all_with_disk(self):
        self.restart(self.up(disk=True))

    def restart_in_turn(self):
        for name in self.up():
            self.restart([name])
            self.simulation.run(1)

    def step(self):
        faults = (
            self.lose_disk,
            self.lose_disk,
            self.lose_leaders_disk,
            self.replace,
            self.replace,
            self.replace,
            self.return_machines,
            self.restart_one,
            self.restart_all,
            self.restart_all_with_disk,
            self.restart_in_turn,
        )
        self.rng.choice(faults)()
        self.simulation.run(CATCH_UP_S)
        self.check()

    # Checks.

    def check(self):
        simulation = self.simulation
        (leader,) = simulation.leaders()
        voters = simulation.entry(leader).voter.voters
        assert len(voters) == VOTERS
        assert set(voters) <= set(self.up(disk=True))
        for name in voters:
            assert simulation.entry(name).voter.replica.votes
        simulation.run(IN_TOUCH_S)
        self.version += self.rng.randint(1, 3)
        number = simulation.configure(self.rng.choice(self.up()), self.version)
        simulation.run(1)
        assert simulation.responses[number] == ConfigurationStored()
        source = f'{self.version}:q'.encode()
        newest = NewestConfiguration(self.version, source)
        for name in self.up():
            number = simulation.read(name)
            simulation.run(0.2)
            assert simulation.responses[number] == newest
            assert simulation.entry(name).configuration.version == self.version


# Guards against lost voters that nobody replaces, against memberships that lost
# disks form among themselves, and against configurations that are lost so.
@pytest.mark.parametrize('seed', range(12))
def test_voters_are_replaced_under_random_losses(seed):
    faults = VoterFaults(seed)
    for _ in range(STEPS):
        faults.step()
