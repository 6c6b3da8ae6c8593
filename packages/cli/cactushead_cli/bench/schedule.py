"""Jobs of a load run, planned before the run begins."""

import math
import random
from bisect import bisect_right
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

Rng = random.Random
DrawTasks = Callable[[Rng], tuple[float, ...]]


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """One job of the schedule.

    Attributes:
        index: Its place in the schedule.
        at_s: When it is submitted, from the start of the run.
        caller: Who submits it.
        kind: Request kind.
        sleeps_s: Run time of each task.
    """

    index: int
    at_s: float
    caller: str
    kind: str
    sleeps_s: tuple[float, ...]

    @property
    def work_s(self) -> float:
        """Slot time that the job takes."""
        return math.fsum(self.sleeps_s)

    def key(self, run: str) -> str:
        """Returns the idempotency key in a run.

        Examples:
            >>> PlannedJob(7, 0.0, 'ann', 'echo', (0.1,)).key('r1')
            'r1-7'
        """
        return f'{run}-{self.index}'

    def ideal_s(self, slots: int) -> float:
        """Returns the response of the job alone on an empty system.

        Explanation:
            No schedule ends before the longest task, nor before the work
            spread evenly over all slots (Graham's bounds on list scheduling,
            1969).

        Examples:
            >>> PlannedJob(0, 0.0, 'ann', 'echo', (1.0, 1.0, 2.0)).ideal_s(1)
            4.0

        Args:
            slots: Slots of all upstreams.
        """
        return max(max(self.sleeps_s), self.work_s / slots)


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of the arrival cycle with its own rate.

    Attributes:
        duration_s: How long it lasts.
        rate: Arrival rate, relative to the other phases.
    """

    duration_s: float
    rate: float


@dataclass(frozen=True, slots=True)
class ArrivalProfile:
    """A cycle of phases that repeats over the run.

    Attributes:
        phases: The phases; none means an even rate.
    """

    phases: tuple[Phase, ...] = ()

    def arrivals_s(
        self,
        rng: Rng,
        count: int,
        duration_s: float,
    ) -> list[float]:
        """Returns sorted arrival times of a Poisson process with this rate.

        Explanation:
            Given their number, the arrivals of a Poisson process are
            independent draws from its rate, so each is one inverse transform.

        Args:
            rng: Source of chance.
            count: Number of arrivals.
            duration_s: Length of the run.
        """
        edges, weights = self._cumulative(duration_s)
        drawn = [
            _invert(edges, weights, rng.random() * weights[-1])
            for _ in range(count)
        ]
        return sorted(drawn)

    def _cumulative(
        self,
        duration_s: float,
    ) -> tuple[list[float], list[float]]:
        edges = [0.0]
        weights = [0.0]
        for phase in self._repeated(duration_s):
            end_s = min(edges[-1] + phase.duration_s, duration_s)
            weights.append(weights[-1] + (end_s - edges[-1]) * phase.rate)
            edges.append(end_s)
        return edges, weights

    def _repeated(self, duration_s: float) -> Iterator[Phase]:
        phases = self.phases or (Phase(duration_s, 1.0),)
        passed_s = 0.0
        while passed_s < duration_s:
            for phase in phases:
                if passed_s < duration_s:
                    yield phase
                passed_s += phase.duration_s


def _invert(
    edges: Sequence[float],
    weights: Sequence[float],
    weight: float,
) -> float:
    index = min(bisect_right(weights, weight), len(weights) - 1)
    span = weights[index] - weights[index - 1]
    share = (weight - weights[index - 1]) / span
    return edges[index - 1] + share * (edges[index] - edges[index - 1])


@dataclass(frozen=True, slots=True)
class Stream:
    """Jobs from a group of callers.

    Attributes:
        name: Name of the stream, part of its seed, so that its jobs stay the
            same when other streams come or go.
        callers: Who submits; each job is from one of them.
        work_s: Slot time that the stream offers over the run.
        draw_tasks: Draws the run times of one job's tasks.
        profile: How arrivals spread over the run.
        repeatable_share: Share of jobs of the repeatable kind.
    """

    name: str
    callers: tuple[str, ...]
    work_s: float
    draw_tasks: DrawTasks
    profile: ArrivalProfile = ArrivalProfile()
    repeatable_share: float = 0.5

    def jobs(self, seed: int, duration_s: float) -> list[PlannedJob]:
        """Returns the stream's jobs in the order of arrival.

        Args:
            seed: Seed of the run.
            duration_s: Length of the run.
        """
        rng = Rng(f'{seed}/{self.name}')
        drawn = self._draw_all(rng)
        times_s = self.profile.arrivals_s(rng, len(drawn), duration_s)
        return [
            PlannedJob(
                0,
                at_s,
                rng.choice(self.callers),
                'echo' if rng.random() < self.repeatable_share else 'book',
                sleeps_s,
            )
            for at_s, sleeps_s in zip(times_s, drawn, strict=True)
        ]

    def _draw_all(self, rng: Rng) -> list[tuple[float, ...]]:
        """Draws jobs until the work is reached, cutting the last job."""
        drawn: list[tuple[float, ...]] = []
        left_s = self.work_s
        while left_s > 0:
            sleeps_s = self.draw_tasks(rng)
            kept = _cut(sleeps_s, left_s)
            drawn.append(kept)
            left_s -= math.fsum(kept)
        rng.shuffle(drawn)
        return drawn


def _cut(sleeps_s: tuple[float, ...], left_s: float) -> tuple[float, ...]:
    kept: list[float] = []
    for sleep_s in sleeps_s:
        kept.append(sleep_s)
        left_s -= sleep_s
        if left_s <= 0:
            break
    return tuple(kept)


def merge_streams(
    streams: Sequence[Stream],
    seed: int,
    duration_s: float,
) -> tuple[PlannedJob, ...]:
    """Returns the jobs of all streams in the order of arrival.

    Args:
        streams: The streams.
        seed: Seed of the run.
        duration_s: Length of the run.
    """
    jobs = [job for stream in streams for job in stream.jobs(seed, duration_s)]
    jobs.sort(key=lambda job: (job.at_s, job.caller))
    return tuple(
        PlannedJob(index, job.at_s, job.caller, job.kind, job.sleeps_s)
        for index, job in enumerate(jobs)
    )
