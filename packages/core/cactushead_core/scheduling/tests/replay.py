"""Discrete-event simulation of jobs at a scheduler, for tests."""

import heapq
import random
from dataclasses import dataclass
from itertools import count

from cactushead_core.agents import OutcomeStatus
from cactushead_core.jobs import JobId
from cactushead_core.scheduling import QueuedTask

from .builders import document, outcome, spec


@dataclass(frozen=True)
class Arrival:
    """One job: its arrival time, its caller and the run times of its tasks."""

    time_s: float
    caller: str
    runs_s: tuple[float, ...]
    kind: str = 'k'
    cores: float = 0.0


def draw_run_s(rng):
    """Draws a run time of 50 ms to 1 s, or 2 s to 6 s in 1 % of the draws."""
    if rng.random() < 0.01:
        return rng.uniform(2.0, 6.0)
    return min(1.0, max(0.05, rng.lognormvariate(-1.6, 0.7)))


def draw_tasks(rng):
    """Draws a job size of 1 to 350 tasks, mostly small."""
    return min(350, max(1, int(rng.paretovariate(0.9))))


def bursty_arrivals(seed, *, jobs=1500, slots=88, load=0.7):
    """Returns bursts of jobs of 20 callers at a mean load of the slots."""
    rng = random.Random(seed)
    arrivals, time_s = [], 0.0
    while len(arrivals) < jobs:
        work_s = 0.0
        for _ in range(rng.randint(1, 12)):
            runs_s = tuple(draw_run_s(rng) for _ in range(draw_tasks(rng)))
            work_s += sum(runs_s)
            caller = f'crew{rng.randrange(20)}'
            arrivals.append(Arrival(time_s, caller, runs_s))
        time_s += rng.expovariate(1.0) * work_s / (slots * load)
    return arrivals


def partner_arrivals(seed, *, flood, seconds=60, slots=88):
    """Returns small jobs of 5 callers, with an optional flood of a sixth."""
    rng, flood_rng = random.Random(seed), random.Random(seed + 1)
    arrivals, time_s = [], 0.0
    while time_s < seconds:
        runs_s = tuple(draw_run_s(rng) for _ in range(rng.randint(1, 4)))
        partner = f'partner{rng.randrange(5)}'
        arrivals.append(Arrival(time_s, partner, runs_s))
        time_s += rng.expovariate(10.0)
    time_s = 0.0
    while flood and time_s < seconds:
        runs_s = tuple(draw_run_s(flood_rng) for _ in range(100))
        arrivals.append(Arrival(time_s, 'flooding', runs_s))
        time_s += flood_rng.expovariate(slots * 1.3 / (100 * 0.3))
    return sorted(arrivals, key=lambda arrival: arrival.time_s)


def replay(scheduler, arrivals, *, upstreams=11, slots=8, run=None):
    """Runs all jobs; returns (arrival, response time / ideal time) of each."""
    scheduler.set_document(document(), 0.0)
    for index in range(upstreams):
        announced = spec(f'u{index}', slots=slots, rack=f'r{index // 3}')
        scheduler.set_upstream(announced, available=True, now_s=0.0)
    numbers, remaining, ratios, events = count(), {}, [], []
    for number, arrival in enumerate(arrivals):
        heapq.heappush(events, (arrival.time_s, next(numbers), number, None))
    while events:
        now_s, _, number, placed = heapq.heappop(events)
        arrival = arrivals[number]
        if placed is None:
            remaining[number] = len(arrival.runs_s)
            for task in tasks_of(number, arrival):
                scheduler.enqueue(task)
        else:
            task = placed.task
            run_s, status = run_of(run, placed, arrival)
            ended = outcome(task, status, run_s)
            scheduler.task_ended(placed.upstream, ended, now_s)
            remaining[number] -= 1
            if not remaining[number]:
                work_s = sum(arrival.runs_s) / (upstreams * slots)
                ideal_s = max(*arrival.runs_s, work_s)
                ratios.append((arrival, (now_s - arrival.time_s) / ideal_s))
        if events and events[0][0] == now_s:
            continue
        for placed in scheduler.place(now_s):
            number = int(placed.task.job.key)
            run_s, _ = run_of(run, placed, arrivals[number])
            event = (now_s + run_s, next(numbers), number, placed)
            heapq.heappush(events, event)
    assert len(ratios) == len(arrivals), 'a job did not complete'
    return ratios


def run_of(run, placed, arrival):
    run_s = arrival.runs_s[placed.task.index]
    return run(placed, run_s) if run else (run_s, OutcomeStatus.SUCCEEDED)


def tasks_of(number, arrival):
    job = JobId('s', str(number))
    for index in range(len(arrival.runs_s)):
        yield QueuedTask(
            job, index, 1, 'team', arrival.caller, arrival.kind,
            arrival.cores, 0.0, arrival.time_s, arrival.time_s + 60,
        )  # fmt: skip


def percentile(ratios, share):
    ordered = sorted(ratio for _, ratio in ratios)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
