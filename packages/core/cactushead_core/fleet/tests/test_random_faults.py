"""A fleet under random faults, with its promises checked as it runs.

Explanation:
    At most one voter is away or catching up at a time, as `losses` of 1
    allows; everything else may fail in any number.
"""

import random

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

from .test_path import assert_promises, ends
from .world import World

CATCH_UP_S = 4.0
STEPS = 60
LOST_SHARE = 0.1


class Driver:
    """Draws and carries out faults."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.world = World(thin=2, agents=4, run_s=0.6)
        self.voters = ['e0', 'e1', 'e2']
        self.entries = [*self.voters, 'e3', 'e4']
        self.away = {}
        self.voter_free_s = 0.0
        self.jobs = {}
        self.changes = {}
        self.acknowledged = 0
        self.version = 1
        self.losing = False
        self.world.late_calls = self.late_call
        self.world.run(5)
        self.configure()
        self.world.run(1)

    def step(self, act=None):
        acts = (
            self.submit,
            self.submit,
            self.submit,
            self.hang_up,
            self.configure,
            self.take_away,
            self.bring_back,
            self.cut,
            self.heal,
            self.crash_upstream,
            self.stall_upstream,
            self.drain,
            self.lose_answers,
        )
        if act is None:
            act = self.chance.randrange(len(acts))
        acts[act % len(acts)]()
        self.world.run(self.chance.uniform(0.02, 0.6))
        self.check()

    def submit(self):
        entry = self.chance.choice(self.entries)
        if entry not in self.away:
            count = self.chance.randint(1, 8)
            self.jobs[self.world.submit(entry, count=count)] = entry

    def hang_up(self):
        if self.jobs:
            number = self.chance.choice(sorted(self.jobs))
            self.world.hang_up(self.jobs.pop(number), number)

    def configure(self):
        self.version += self.chance.randint(1, 3)
        entry = self.chance.choice(self.entries)
        number = self.world.configure(entry, self.version)
        self.changes[number] = self.version

    def take_away(self):
        name = self.chance.choice([*self.entries, 'a0', 'a1', 'a2', 'a3'])
        if name in self.away:
            return
        if name in self.voters:
            if self.world.now_s < self.voter_free_s:
                return
            self.voter_free_s = float('inf')
        how = self.chance.choice(('kill', 'dark', 'wipe', 'freeze'))
        if how == 'wipe' and name not in self.voters:
            how = 'dark'
        self.away[name] = how
        self.forget_jobs(name)
        if how == 'freeze':
            self.world.freeze(name)
        else:
            self.world.kill(name, silent=how != 'kill')
        if how == 'wipe':
            self.world.wipe(name)

    def forget_jobs(self, name):
        for number, entry in list(self.jobs.items()):
            if entry == name:
                self.jobs.pop(number)

    def bring_back(self):
        if not self.away:
            return
        name = self.chance.choice(sorted(self.away))
        if self.away.pop(name) == 'freeze':
            self.world.thaw(name)
        else:
            self.world.start(name)
        if name in self.voters:
            self.voter_free_s = self.world.now_s + CATCH_UP_S

    def cut(self):
        others = ['e3', 'e4', 'a0', 'a1', 'a2', 'a3']
        ones = self.chance.sample(others, self.chance.randint(1, 2))
        rest = [name for name in self.world.processes if name not in ones]
        some = self.chance.sample(rest, self.chance.randint(1, len(rest)))
        self.world.separate(ones, some)

    def heal(self):
        self.world.heal()

    def crash_upstream(self):
        name = self.chance.choice(('a0', 'a1', 'a2', 'a3'))
        upstream = self.world.processes[name].upstream
        if upstream.down:
            upstream.restart()
        else:
            upstream.crash()

    def stall_upstream(self):
        name = self.chance.choice(('a0', 'a1', 'a2', 'a3'))
        upstream = self.world.processes[name].upstream
        if upstream.hanging:
            upstream.resume(self.world.now_s)
        else:
            upstream.hang(self.world.now_s)

    def drain(self):
        """Stops an entry as an operator does; `bring_back` starts it."""
        name = self.chance.choice(self.entries)
        voter = name in self.voters
        if name in self.away or voter and self.world.now_s < self.voter_free_s:
            return
        if voter:
            self.voter_free_s = float('inf')
        self.away[name] = 'drain'
        self.forget_jobs(name)
        self.world.feed(name, DrainRequested)
        self.world.run(self.chance.uniform(0.0, 2.0))
        self.world.kill(name)

    def lose_answers(self):
        """Leaves some calls to upstreams unanswered, or no more."""
        self.losing = not self.losing

    def late_call(self, _call):
        if self.losing and self.chance.random() < LOST_SHARE:
            return self.chance.uniform(0.5, 8.0)
        return None

    def check(self):
        assert_promises(self.world)
        for number, version in self.changes.items():
            answer = self.world.answers.get(number)
            if isinstance(answer, ConfigurationStored):
                self.acknowledged = max(self.acknowledged, version)
        assert len(self.world.leaders()) <= 1

    def settle(self):
        while self.away:
            self.bring_back()
        self.losing = False
        self.world.heal()
        for process in self.world.processes.values():
            if process.upstream is not None and process.upstream.down:
                process.upstream.restart()
            if process.upstream is not None and process.upstream.hanging:
                process.upstream.resume(self.world.now_s)
        self.world.run(25)
        self.check()


def check_whole(driver):
    """Ends all faults; what was promised holds, and the fleet serves."""
    driver.settle()
    world = driver.world
    for name in driver.entries:
        read = world.read(name)
        world.run(0.5)
        answer = world.answers[read]
        assert isinstance(answer, NewestConfiguration)
        assert answer.version >= driver.acknowledged
    ended = ends(world, sorted(driver.jobs))
    assert None not in ended
    assert set(ended) <= {JobEnd.COMPLETED, JobEnd.REFUSED}
    number = world.submit('e3', count=3)
    world.run(3)
    assert ends(world, [number]) == [JobEnd.COMPLETED]


@pytest.mark.parametrize('seed', range(30))
def test_promises_hold_under_random_faults(seed):
    driver = Driver(seed)
    for _ in range(STEPS):
        driver.step()
    check_whole(driver)


class FleetMachine(RuleBasedStateMachine):
    """Lets hypothesis choose the faults and shrink what fails."""

    def __init__(self):
        super().__init__()
        self.driver = Driver(0)

    @rule(act=st.integers(0, 12), seed=st.integers(0, 2**16))
    def fault(self, act, seed):
        self.driver.chance.seed(seed)
        self.driver.step(act)

    def teardown(self):
        check_whole(self.driver)


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=20,
    stateful_step_count=40,
)
