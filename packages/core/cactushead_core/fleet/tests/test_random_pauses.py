"""Pauses in series, cuts, foreign heartbeats and clients that send again."""

import random

import pytest
from cactushead_core.dispatch.events import CancelRequested

from .simulation import FleetSimulation
from .test_foreign_heartbeats import FOREIGN, send_foreign
from .test_path import assert_invariants
from .test_silent_entries import RESEND_S

ENTRIES = ('e0', 'e1', 'e2', 'e3', 'e4')
VOTERS = frozenset(ENTRIES[:3])
AGENTS = ('a0', 'a1', 'a2', 'a3')
PAUSES_S = (0.3, 0.5, 0.9, 1.2, 1.6, 2.5, 4.0, 6.0)
CUTS_S = (0.4, 0.9, 1.3, 2.0, 4.0)
STEPS = 120
FIRST_CANCEL = 1_000_000


class PausedFleet:
    """Draws troubles and plays the clients."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        run_s = self.rng.choice((0.6, 1.5, 3.0))
        self.world = FleetSimulation(diskless=2, agents=4, run_s=run_s)
        self.world.run(5)
        self.world.configure('e0', 1)
        self.world.run(1)
        self.resumes_s = {}
        self.heals_s = None
        self.clients = {}
        self.cancels = 0

    def step(self):
        actions = (
            self.submit,
            self.pause,
            self.cut,
            self.send_foreign_heartbeat,
            self.cancel,
            self.wait,
        )
        action = self.rng.choices(actions, (6, 3, 1, 1, 1, 8))[0]
        action()
        self.world.run(self.rng.uniform(0.02, 0.25))
        self.end_troubles()
        self.send_again()
        assert_invariants(self.world)

    def wait(self):
        """Leaves the fleet alone."""

    def submit(self):
        job = f'{len(self.world.responses):08x}{self.rng.getrandbits(32):08x}'
        entry = self.rng.choice(ENTRIES)
        timeout_s = self.rng.uniform(1.0, 6.0)
        number = self.world.submit(
            entry,
            count=self.rng.randint(1, 8),
            job=job,
            caller_timeout_s=timeout_s,
        )
        deadline_s = self.world.now_s + timeout_s
        self.clients[job] = (entry, number, deadline_s)

    def pause(self):
        name = self.rng.choice(AGENTS + ENTRIES)
        voter_is_paused = bool(VOTERS & self.resumes_s.keys())
        if name in self.resumes_s or name in VOTERS and voter_is_paused:
            return
        self.world.pause(name)
        self.resumes_s[name] = self.world.now_s + self.rng.choice(PAUSES_S)

    def cut(self):
        if self.heals_s is None:
            name = self.rng.choice((*AGENTS, 'e3', 'e4'))
            others = [other for other in self.world.processes if other != name]
            self.world.partition([name], others)
            self.heals_s = self.world.now_s + self.rng.choice(CUTS_S)

    def send_foreign_heartbeat(self):
        agent = self.rng.choice(AGENTS)
        send_foreign(self.world, agent, self.rng.choice(FOREIGN))

    def cancel(self):
        if self.clients:
            self.cancels += 1
            number = FIRST_CANCEL + self.cancels
            job = self.rng.choice(sorted(self.clients))
            self.world.feed(
                self.rng.choice(ENTRIES),
                lambda now_s: CancelRequested(now_s, number, job),
            )

    def end_troubles(self):
        for name, resumes_s in list(self.resumes_s.items()):
            if self.world.now_s >= resumes_s:
                self.resumes_s.pop(name)
                self.world.resume(name)
        if self.heals_s is not None and self.world.now_s >= self.heals_s:
            self.heals_s = None
            self.world.heal()

    def send_again(self):
        """Lets clients without a response leave, and try another entry."""
        for job, client in list(self.clients.items()):
            entry, number, deadline_s = client
            answered = number in self.world.responses
            if not answered and self.world.now_s < deadline_s:
                continue
            self.clients.pop(job)
            if not answered:
                self.world.disconnect_caller(entry, number)
                other = self.rng.choice(
                    [name for name in ENTRIES if name != entry]
                )
                self.world.submit_later(RESEND_S, other, job)

    def end(self):
        for name in list(self.resumes_s):
            self.world.resume(name)
        self.world.heal()
        self.world.run(15)
        assert_invariants(self.world)


# Guards against runs that overlap because a paused or cut process goes on with
# what others have given up, in whichever order it learns that.
@pytest.mark.parametrize('seed', range(12))
def test_no_task_runs_twice_under_random_pauses(seed):
    fleet = PausedFleet(seed)
    for _ in range(STEPS):
        fleet.step()
    fleet.end()
    number = fleet.world.submit('e3', count=3)
    fleet.world.run(4)
    assert number in fleet.world.responses
