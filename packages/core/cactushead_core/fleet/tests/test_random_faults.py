"""Checks the invariants of a simulated fleet under random faults.

Explanation:
    At most one voter is unavailable or catching up at a time, as `losses` of
    1 allows; any number of other processes may fail.
"""

import random
from collections import Counter

import pytest
from cactushead_core.configuration.responses import (
    ConfigurationStored,
    NewestConfiguration,
)
from cactushead_core.events import DrainRequested
from cactushead_core.tasks import JobEnd
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from .simulation import FleetSimulation
from .test_path import assert_invariants, job_ends

CATCH_UP_S = 4.0
STEPS = 60
DROPPED_FRACTION = 0.1


class FaultInjector:
    """Draws random faults and injects them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.simulation = FleetSimulation(diskless=2, agents=4, run_s=0.6)
        self.voters = ['e0', 'e1', 'e2']
        self.entries = [*self.voters, 'e3', 'e4']
        self.unavailable = {}
        self.next_voter_fault_s = 0.0
        self.jobs = {}
        self.job_ids = {}
        self.crashes = Counter()
        self.submitted_versions = {}
        self.acknowledged = 0
        self.version = 1
        self.dropping_replies = False
        self.simulation.call_delay = self.draw_call_delay
        self.simulation.run(5)
        self.configure()
        self.simulation.run(1)

    def step(self, action=None):
        actions = (
            self.submit,
            self.submit,
            self.submit,
            self.disconnect_caller,
            self.configure,
            self.make_unavailable,
            self.restore,
            self.partition_network,
            self.heal,
            self.crash_upstream,
            self.stall_upstream,
            self.drain,
            self.drop_replies,
        )
        if action is None:
            action = self.rng.randrange(len(actions))
        actions[action % len(actions)]()
        self.simulation.run(self.rng.uniform(0.02, 0.6))
        self.check()

    def submit(self):
        entry = self.rng.choice(self.entries)
        if entry not in self.unavailable:
            count = self.rng.randint(1, 8)
            job = f'{len(self.job_ids) + 1:016x}'
            number = self.simulation.submit(entry, count=count, job=job)
            self.jobs[number] = entry
            self.job_ids[number] = job

    def disconnect_caller(self):
        if self.jobs:
            number = self.rng.choice(sorted(self.jobs))
            self.simulation.disconnect_caller(self.jobs.pop(number), number)

    def configure(self):
        self.version += self.rng.randint(1, 3)
        entry = self.rng.choice(self.entries)
        number = self.simulation.configure(entry, self.version)
        self.submitted_versions[number] = self.version

    def make_unavailable(self):
        name = self.rng.choice([*self.entries, 'a0', 'a1', 'a2', 'a3'])
        if name in self.unavailable:
            return
        if name in self.voters:
            if self.simulation.now_s < self.next_voter_fault_s:
                return
            self.next_voter_fault_s = float('inf')
        outage = self.rng.choice(('kill', 'dark', 'wipe', 'freeze'))
        if outage == 'wipe' and name not in self.voters:
            outage = 'dark'
        self.unavailable[name] = outage
        self.remove_jobs(name)
        if outage == 'freeze':
            self.simulation.pause(name)
        else:
            self.simulation.kill(name, silent=outage != 'kill')
        if outage == 'wipe':
            self.simulation.wipe(name)

    def remove_jobs(self, name):
        for number, entry in list(self.jobs.items()):
            if entry == name:
                self.jobs.pop(number)

    def restore(self):
        if not self.unavailable:
            return
        name = self.rng.choice(sorted(self.unavailable))
        if self.unavailable.pop(name) == 'freeze':
            self.simulation.resume(name)
        else:
            self.simulation.start(name)
        if name in self.voters:
            self.next_voter_fault_s = self.simulation.now_s + CATCH_UP_S

    def partition_network(self):
        others = ['e3', 'e4', 'a0', 'a1', 'a2', 'a3']
        minority = self.rng.sample(others, self.rng.randint(1, 2))
        rest = [
            name for name in self.simulation.processes if name not in minority
        ]
        some = self.rng.sample(rest, self.rng.randint(1, len(rest)))
        self.simulation.partition(minority, some)

    def heal(self):
        self.simulation.heal()

    def crash_upstream(self):
        name = self.rng.choice(('a0', 'a1', 'a2', 'a3'))
        upstream = self.simulation.processes[name].upstream
        if upstream.down:
            upstream.restart()
        else:
            self.crashes.update({task.job for task in upstream.running})
            upstream.crash()

    def stall_upstream(self):
        name = self.rng.choice(('a0', 'a1', 'a2', 'a3'))
        upstream = self.simulation.processes[name].upstream
        if upstream.hanging:
            upstream.resume(self.simulation.now_s)
        else:
            upstream.hang(self.simulation.now_s)

    def drain(self):
        """Drains and stops an entry; `restore` restarts it."""
        name = self.rng.choice(self.entries)
        voter = name in self.voters
        if (
            name in self.unavailable
            or voter
            and self.simulation.now_s < self.next_voter_fault_s
        ):
            return
        if voter:
            self.next_voter_fault_s = float('inf')
        self.unavailable[name] = 'drain'
        self.remove_jobs(name)
        self.simulation.feed(name, DrainRequested)
        self.simulation.run(self.rng.uniform(0.0, 2.0))
        self.simulation.kill(name)

    def drop_replies(self):
        """Toggles the loss of replies from upstreams."""
        self.dropping_replies = not self.dropping_replies

    def draw_call_delay(self, _call):
        if self.dropping_replies and self.rng.random() < DROPPED_FRACTION:
            return self.rng.uniform(0.5, 8.0)
        return None

    def check(self):
        assert_invariants(self.simulation)
        for number, version in self.submitted_versions.items():
            response = self.simulation.responses.get(number)
            if isinstance(response, ConfigurationStored):
                self.acknowledged = max(self.acknowledged, version)
        assert len(self.simulation.leaders()) <= 1

    def end_faults(self):
        while self.unavailable:
            self.restore()
        self.dropping_replies = False
        self.simulation.heal()
        for process in self.simulation.processes.values():
            if process.upstream is not None and process.upstream.down:
                process.upstream.restart()
            if process.upstream is not None and process.upstream.hanging:
                process.upstream.resume(self.simulation.now_s)
        self.simulation.run(25)
        self.check()


def check_recovery(driver):
    """Ends all faults; checks the outcomes and that jobs complete again."""
    driver.end_faults()
    simulation = driver.simulation
    for name in driver.entries:
        read = simulation.read(name)
        simulation.run(0.5)
        response = simulation.responses[read]
        assert isinstance(response, NewestConfiguration)
        assert response.version >= driver.acknowledged
    numbers = sorted(driver.jobs)
    for number, end in zip(numbers, job_ends(simulation, numbers), strict=True):
        # A task that ran on two upstreams when they crashed is given up.
        given_up = end is JobEnd.FAILED
        assert not given_up or driver.crashes[driver.job_ids[number]] >= 2
        assert given_up or end in {JobEnd.COMPLETED, JobEnd.REFUSED}
    number = simulation.submit('e3', count=3)
    simulation.run(3)
    assert job_ends(simulation, [number]) == [JobEnd.COMPLETED]


@pytest.mark.parametrize('seed', range(30))
def test_invariants_hold_under_random_faults(seed):
    driver = FaultInjector(seed)
    for _ in range(STEPS):
        driver.step()
    check_recovery(driver)


class FleetMachine(RuleBasedStateMachine):
    """Lets hypothesis choose the faults and shrink failing sequences."""

    def __init__(self):
        super().__init__()
        self.driver = FaultInjector(0)

    @rule(action=st.integers(0, 12), seed=st.integers(0, 2**16))
    def fault(self, action, seed):
        self.driver.rng.seed(seed)
        self.driver.step(action)

    def teardown(self):
        check_recovery(self.driver)


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=20,
    stateful_step_count=40,
)
