"""Schedule of a load run's jobs, generated before the run starts."""

import math
import random
from bisect import bisect_right
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

Rng = random.Random
TaskSampler = Callable[[Rng], tuple[float, ...]]


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """One job of the schedule.

    Attributes:
        index: Index of the job in the schedule.
        at_s: Scheduled arrival, in seconds from the start of the run.
        caller: Name of the submitting caller.
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
        """Slot time that the job needs."""
        return math.fsum(self.sleeps_s)

    def key(self, run: str) -> str:
        """Returns the job's idempotency key in a run.

        Examples:
            >>> PlannedJob(7, 0.0, 'ann', 'echo', (0.1,)).key('r1')
            'r1-7'
        """
        return f'{run}-{self.index}'

    def ideal_s(self, slots: int) -> float:
        """Returns the ideal response time: of the job alone in an idle system.

        Explanation:
            This is a lower bound of the makespan: no schedule is shorter
            than the longest task, nor than the work divided by the number
            of slots (Graham's bounds on list scheduling, 1969).

        Examples:
            >>> PlannedJob(0, 0.0, 'ann', 'echo', (1.0, 1.0, 2.0)).ideal_s(1)
            4.0

        Args:
            slots: Number of slots of all upstreams.
        """
        return max(max(self.sleeps_s), self.work_s / slots)


@dataclass(frozen=True, slots=True)
class Phase:
    """A phase of the arrival cycle with a constant rate.

    Attributes:
        duration_s: Duration of the phase.
        rate: Arrival rate, relative to the other phases.
    """

    duration_s: float
    rate: float


@dataclass(frozen=True, slots=True)
class ArrivalProfile:
    """Arrival rate over time: a cycle of phases, repeated over the run.

    Attributes:
        phases: The phases of a cycle; empty for a constant rate.
    """

    phases: tuple[Phase, ...] = ()

    def arrivals_s(
        self,
        rng: Rng,
        count: int,
        duration_s: float,
    ) -> list[float]:
        """Returns sorted arrival times of a Poisson process with this profile.

        Explanation:
            Conditional on their number, the arrival times of a Poisson
            process are independent samples with a density proportional to
            the rate, so each is drawn by inverse transform sampling.

        Args:
            rng: Random number generator.
            count: Number of arrivals.
            duration_s: Duration of the run.
        """
        edges, weights = self._cumulative(duration_s)
        drawn = [
            _invert_cumulative(edges, weights, rng.random() * weights[-1])
            for _ in range(count)
        ]
        return sorted(drawn)

    def _cumulative(
        self,
        duration_s: float,
    ) -> tuple[list[float], list[float]]:
        """Returns the phase boundaries and the cumulative rate at each."""
        edges = [0.0]
        weights = [0.0]
        for phase in self._phases_until(duration_s):
            end_s = min(edges[-1] + phase.duration_s, duration_s)
            weights.append(weights[-1] + (end_s - edges[-1]) * phase.rate)
            edges.append(end_s)
        return edges, weights

    def _phases_until(self, duration_s: float) -> Iterator[Phase]:
        """Repeats the phases until they cover the duration."""
        phases = self.phases or (Phase(duration_s, 1.0),)
        elapsed_s = 0.0
        while elapsed_s < duration_s:
            for phase in phases:
                if elapsed_s < duration_s:
                    yield phase
                elapsed_s += phase.duration_s


def _invert_cumulative(
    edges: Sequence[float],
    weights: Sequence[float],
    weight: float,
) -> float:
    """Returns the time at which the cumulative rate reaches a weight."""
    index = min(bisect_right(weights, weight), len(weights) - 1)
    span = weights[index] - weights[index - 1]
    share = (weight - weights[index - 1]) / span
    return edges[index - 1] + share * (edges[index] - edges[index - 1])


@dataclass(frozen=True, slots=True)
class JobStream:
    """Jobs of a group of callers with a common arrival profile.

    Attributes:
        name: Name of the stream. It is part of the seed, so that the jobs of
            a stream don't depend on the other streams of the run.
        callers: Names of the callers; each job has one, drawn at random.
        work_s: Slot time that the stream's jobs need in total.
        draw_tasks: Draws the run times of one job's tasks.
        profile: Arrival rate over time.
        repeatable_share: Share of jobs of the repeatable kind.
    """

    name: str
    callers: tuple[str, ...]
    work_s: float
    draw_tasks: TaskSampler
    profile: ArrivalProfile = ArrivalProfile()
    repeatable_share: float = 0.5

    def jobs(self, seed: int, duration_s: float) -> list[PlannedJob]:
        """Returns the stream's jobs in the order of arrival, without indices.

        Args:
            seed: Seed of the run.
            duration_s: Duration of the run.
        """
        rng = Rng(f'{seed}/{self.name}')
        drawn = self._draw_jobs(rng)
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

    def _draw_jobs(self, rng: Rng) -> list[tuple[float, ...]]:
        """Draws jobs up to the stream's total work, truncating the last."""
        drawn: list[tuple[float, ...]] = []
        left_s = self.work_s
        while left_s > 0:
            sleeps_s = self.draw_tasks(rng)
            kept = _truncate_to_work(sleeps_s, left_s)
            drawn.append(kept)
            left_s -= math.fsum(kept)
        rng.shuffle(drawn)
        return drawn


def _truncate_to_work(
    sleeps_s: tuple[float, ...], left_s: float
) -> tuple[float, ...]:
    """Returns the first tasks, up to the one that reaches the work left."""
    kept: list[float] = []
    for sleep_s in sleeps_s:
        kept.append(sleep_s)
        left_s -= sleep_s
        if left_s <= 0:
            break
    return tuple(kept)


def merge_streams(
    streams: Sequence[JobStream],
    seed: int,
    duration_s: float,
) -> tuple[PlannedJob, ...]:
    """Returns the jobs of all streams, indexed in the order of arrival.

    Args:
        streams: The streams.
        seed: Seed of the run.
        duration_s: Duration of the run.
    """
    jobs = [job for stream in streams for job in stream.jobs(seed, duration_s)]
    jobs.sort(key=lambda job: (job.at_s, job.caller))
    return tuple(
        PlannedJob(index, job.at_s, job.caller, job.kind, job.sleeps_s)
        for index, job in enumerate(jobs)
    )
