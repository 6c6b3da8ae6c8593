"""Shapes of load: who submits which jobs, and when."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .schedule import (
    ArrivalProfile,
    Phase,
    PlannedJob,
    Rng,
    Stream,
    merge_streams,
)

SHORTEST_TASK_S = 0.05
LONGEST_COMMON_TASK_S = 1.0
SLOW_TASK_SHARE = 0.01
SHORTEST_SLOW_TASK_S = 2.0
LONGEST_SLOW_TASK_S = 5.0
LARGEST_JOB_TASKS = 350
SMALL_JOB_TASKS = 5
JOB_SIZE_EXPONENT = 1.1
BURST_CYCLE_S = 5.0
BURST_S = 1.0
BURST_FACTOR = 2.0
HANDSETS = 40
SPARSE_PARTNERS = ('kandy', 'matale', 'nuwara', 'gampola')
HEAVY_PARTNER = 'pilimathalawa'
HEAVY_SHARE = 0.8
FLOOD_LOAD = 2.0
WAVE_JOB_TASKS = 8
WAVE_S = 0.1


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """What a run offers; the same specification gives the same jobs.

    Attributes:
        shape: Name of the shape.
        load: Offered work over the work that all slots could do.
        duration_s: Time over which jobs arrive.
        seed: Seed of the schedule.
        upstreams: Number of upstreams.
        slots: Slots of each upstream.
        flood: Whether one partner floods (consortium).
        alone: Whether that partner is left out (consortium).
        wave_at_s: When a wave of extra jobs arrives, negative for none.
        wave_factor: Tasks of the wave over the number of slots.
    """

    shape: str
    load: float
    duration_s: float
    seed: int
    upstreams: int = 11
    slots: int = 8
    flood: bool = False
    alone: bool = False
    wave_at_s: float = -1.0
    wave_factor: float = 5.0

    @property
    def all_slots(self) -> int:
        """Slots of all upstreams."""
        return self.upstreams * self.slots

    @property
    def capacity_s(self) -> float:
        """Slot time that all slots give over the run."""
        return self.all_slots * self.duration_s


class LoadShape(ABC):
    """How the jobs of a run are drawn."""

    def schedule(self, spec: LoadSpec) -> tuple[PlannedJob, ...]:
        """Returns the jobs of a run in the order of arrival.

        Args:
            spec: What the run offers.
        """
        jobs = merge_streams(self._streams(spec), spec.seed, spec.duration_s)
        if spec.wave_at_s < 0:
            return jobs
        return jobs + _wave(spec, len(jobs))

    @abstractmethod
    def _streams(self, spec: LoadSpec) -> list[Stream]:
        """Returns the streams of jobs."""


class SingleShape(LoadShape):
    """Jobs of one task at an even rate."""

    def _streams(self, spec: LoadSpec) -> list[Stream]:
        work_s = spec.load * spec.capacity_s
        return [Stream('single', ('caller',), work_s, draw_single)]


class PickersShape(LoadShape):
    """Handsets that submit parallel jobs, in bursts."""

    def _streams(self, spec: LoadSpec) -> list[Stream]:
        handsets = tuple(f'handset-{index}' for index in range(HANDSETS))
        quiet_s = BURST_CYCLE_S - BURST_S
        quiet_rate = (BURST_CYCLE_S - BURST_S * BURST_FACTOR) / quiet_s
        profile = ArrivalProfile(
            (
                Phase(BURST_S, BURST_FACTOR),
                Phase(quiet_s, quiet_rate),
            )
        )
        work_s = spec.load * spec.capacity_s
        return [Stream('pickers', handsets, work_s, draw_parallel, profile)]


class ConsortiumShape(LoadShape):
    """One heavy partner with parallel jobs and several sparse ones.

    Explanation:
        The sparse partners' jobs depend on the load and seed alone. So a run
        without the heavy partner and one where it floods offer the same jobs
        of the sparse partners, and their responses can be compared.
    """

    def _streams(self, spec: LoadSpec) -> list[Stream]:
        sparse_load = spec.load * (1 - HEAVY_SHARE) / len(SPARSE_PARTNERS)
        streams = [
            Stream(name, (name,), sparse_load * spec.capacity_s, draw_small)
            for name in SPARSE_PARTNERS
        ]
        if not spec.alone:
            heavy_load = FLOOD_LOAD if spec.flood else spec.load * HEAVY_SHARE
            streams.append(
                Stream(
                    HEAVY_PARTNER,
                    (HEAVY_PARTNER,),
                    heavy_load * spec.capacity_s,
                    draw_parallel,
                )
            )
        return streams


def draw_sleep_s(rng: Rng) -> float:
    """Draws one task's run time: log-uniform, a few of several seconds."""
    if rng.random() < SLOW_TASK_SHARE:
        return rng.uniform(SHORTEST_SLOW_TASK_S, LONGEST_SLOW_TASK_S)
    ratio = LONGEST_COMMON_TASK_S / SHORTEST_TASK_S
    return SHORTEST_TASK_S * ratio ** rng.random()


def draw_job_tasks(rng: Rng) -> int:
    """Draws a job's number of tasks: bounded Pareto, heavy on small."""
    tail = (LARGEST_JOB_TASKS + 1) ** -JOB_SIZE_EXPONENT
    base = 1 - rng.random() * (1 - tail)
    return min(int(base ** (-1 / JOB_SIZE_EXPONENT)), LARGEST_JOB_TASKS)


def draw_single(rng: Rng) -> tuple[float, ...]:
    """Draws a job of one task."""
    return (draw_sleep_s(rng),)


def draw_small(rng: Rng) -> tuple[float, ...]:
    """Draws a job of a few tasks."""
    count = rng.randint(1, SMALL_JOB_TASKS)
    return tuple(draw_sleep_s(rng) for _ in range(count))


def draw_parallel(rng: Rng) -> tuple[float, ...]:
    """Draws a job of 1 to 350 tasks."""
    return tuple(draw_sleep_s(rng) for _ in range(draw_job_tasks(rng)))


def _wave(spec: LoadSpec, first_index: int) -> tuple[PlannedJob, ...]:
    rng = Rng(f'{spec.seed}/wave')
    tasks = int(spec.wave_factor * spec.all_slots)
    count = max(1, tasks // WAVE_JOB_TASKS)
    return tuple(
        PlannedJob(
            first_index + number,
            spec.wave_at_s + WAVE_S * number / count,
            'wave',
            'echo',
            tuple(draw_sleep_s(rng) for _ in range(WAVE_JOB_TASKS)),
        )
        for number in range(count)
    )


SHAPES: dict[str, LoadShape] = {
    'single': SingleShape(),
    'pickers': PickersShape(),
    'consortium': ConsortiumShape(),
}
