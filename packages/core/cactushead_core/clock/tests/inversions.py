"""Counts effects with stamps before their causes, per kind of clock.

Run `python inversions.py` for the table and the cost of a stamp.

The simulated path of a job has five stops: entry, leader, agent, leader,
entry. The wall clock of each process has a fixed offset, and the network
delay is from 0.2 to 1.4 ms. All pairs of cause and effect on a job's path
that are in different processes are compared.
"""

import random
import time
import timeit
from dataclasses import dataclass, field

from cactushead_core.clock import HybridClock

ENTRIES = 3
AGENTS = 11
NETWORK_DELAY_S = (0.0002, 0.0014)
RUN_TIME_S = (0.05, 1.0)
DECISION_DELAY_S = (0.00005, 0.003)
SUBMISSION_PERIOD_S = 20.0
START_TIME_S = 1_700_000_000.0


@dataclass(frozen=True, slots=True)
class Step:
    """One event on the path of a job, with its true time."""

    true_s: float
    job: int
    number: int
    process: str


@dataclass
class Stamps:
    """Stamps of one job's steps."""

    processes: list[str] = field(default_factory=list)
    wall_s: list[float] = field(default_factory=list)
    hybrid: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Comparison:
    """Numbers of compared and of inverted pairs of cause and effect."""

    pairs: int
    wall_inverted: int
    hybrid_inverted: int
    refused_stamps: int


def make_steps(jobs: int, rng: random.Random) -> list[Step]:
    """Returns the steps of all jobs, ordered by true time."""
    steps = []
    for job in range(jobs):
        entry = f'entry-{rng.randrange(ENTRIES)}'
        agent = f'agent-{rng.randrange(AGENTS)}'
        time_s = START_TIME_S + rng.uniform(0, SUBMISSION_PERIOD_S)
        path = (
            (entry, NETWORK_DELAY_S),
            ('entry-0', DECISION_DELAY_S),
            ('entry-0', NETWORK_DELAY_S),
            (agent, RUN_TIME_S),
            (agent, NETWORK_DELAY_S),
            ('entry-0', DECISION_DELAY_S),
            ('entry-0', NETWORK_DELAY_S),
            (entry, NETWORK_DELAY_S),
        )
        for number, (process, delay_s) in enumerate(path):
            steps.append(Step(time_s, job, number, process))
            time_s += rng.uniform(*delay_s)
    return sorted(steps, key=lambda step: step.true_s)


def stamp_steps(
    steps: list[Step],
    skew_s: float,
    rng: random.Random,
) -> tuple[dict[int, Stamps], int]:
    """Returns each job's stamps, and the count of refused remote stamps."""
    names = sorted({step.process for step in steps})
    offset_s = {name: rng.uniform(-skew_s, skew_s) for name in names}
    clocks = {name: HybridClock() for name in names}
    jobs: dict[int, Stamps] = {}
    for step in steps:
        stamps = jobs.setdefault(step.job, Stamps())
        wall_s = step.true_s + offset_s[step.process]
        clock = clocks[step.process]
        wall_ms = int(wall_s * 1000)
        if stamps.processes and stamps.processes[-1] != step.process:
            clock.receive(stamps.hybrid[-1], wall_ms)
        stamps.processes.append(step.process)
        stamps.wall_s.append(wall_s)
        stamps.hybrid.append(clock.local_event(wall_ms))
    return jobs, sum(clock.refused_stamps for clock in clocks.values())


def compare(skew_s: float, jobs: int, seed: int) -> Comparison:
    """Counts inverted pairs for clock offsets of up to a skew."""
    rng = random.Random(seed)
    steps = make_steps(jobs, rng)
    stamped, refused = stamp_steps(steps, skew_s, rng)
    pairs = wall = hybrid = 0
    for stamps in stamped.values():
        for effect in range(len(stamps.processes)):
            for cause in range(effect):
                if stamps.processes[cause] == stamps.processes[effect]:
                    continue
                pairs += 1
                wall += stamps.wall_s[cause] > stamps.wall_s[effect]
                hybrid += stamps.hybrid[cause] >= stamps.hybrid[effect]
    return Comparison(pairs, wall, hybrid, refused)


def print_costs(rounds: int = 200_000) -> None:
    """Prints the time that a stamp takes, in microseconds."""
    clock = HybridClock()
    wall_ms = int(START_TIME_S * 1000)
    remote = clock.local_event(wall_ms)
    cases = {
        'time.time()': time.time,
        'local_event': lambda: clock.local_event(wall_ms),
        'receive': lambda: clock.receive(remote, wall_ms),
    }
    for name, case in cases.items():
        best_s = min(timeit.repeat(case, number=rounds, repeat=5)) / rounds
        print(f'{name}: {best_s * 1e6:.2f} us')


def main() -> None:
    """Prints the inversions by skew and the time that a stamp takes."""
    for skew_ms in (0, 5, 50, 500, 20_000):
        result = compare(skew_ms / 1000, jobs=5000, seed=1)
        print(f'skew up to {skew_ms} ms: {result}')
    print_costs()


if __name__ == '__main__':
    main()
