"""Load shapes: callers, job sizes and arrival patterns of a load run."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .schedule import (
    ArrivalProfile,
    JobStream,
    Phase,
    PlannedJob,
    Rng,
    merge_streams,
)

SHORTEST_TASK_S = 0.05
LONGEST_COMMON_TASK_S = 1.0
SLOW_TASK_SHARE = 0.01
SHORTEST_SLOW_TASK_S = 2.0
LONGEST_SLOW_TASK_S = 5.0
MAX_JOB_TASKS = 350
MAX_SMALL_JOB_TASKS = 5
JOB_SIZE_EXPONENT = 1.1
BURST_CYCLE_S = 5.0
BURST_DURATION_S = 1.0
BURST_FACTOR = 2.0
HANDSET_COUNT = 40
LIGHT_CALLERS = ('kandy', 'matale', 'nuwara', 'gampola')
HEAVY_CALLER = 'pilimathalawa'
HEAVY_LOAD_SHARE = 0.8
FLOOD_LOAD = 2.0
WAVE_JOB_TASKS = 8
WAVE_DURATION_S = 0.1


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """Offered load of a run; equal specifications give equal schedules.

    Attributes:
        shape: Name of the load shape.
        load: Offered work divided by the capacity of all slots.
        duration_s: Duration of the arrivals.
        seed: Seed of the schedule.
        upstreams: Number of upstreams.
        slots: Number of slots of each upstream.
        flood: Whether the heavy caller alone offers twice the capacity
            (consortium).
        alone: Whether the heavy caller is omitted (consortium).
        wave_at_s: Arrival of a burst of extra jobs, in seconds from the start
            of the run; negative for none.
        wave_factor: Number of tasks of the burst divided by that of slots.
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
        """Number of slots of all upstreams."""
        return self.upstreams * self.slots

    @property
    def capacity_s(self) -> float:
        """Slot time of all upstreams over the run."""
        return self.all_slots * self.duration_s


class LoadShape(ABC):
    """Generates the schedule of a run."""

    def schedule(self, spec: LoadSpec) -> tuple[PlannedJob, ...]:
        """Returns the jobs of a run by index.

        Explanation:
            The jobs are in the order of arrival, except that those of a
            burst follow all others.

        Args:
            spec: The offered load.
        """
        jobs = merge_streams(self._streams(spec), spec.seed, spec.duration_s)
        if spec.wave_at_s < 0:
            return jobs
        return jobs + _wave_jobs(spec, len(jobs))

    @abstractmethod
    def _streams(self, spec: LoadSpec) -> list[JobStream]:
        """Returns the job streams of a run."""


class SingleShape(LoadShape):
    """Jobs of one task at a constant rate, from one caller."""

    def _streams(self, spec: LoadSpec) -> list[JobStream]:
        work_s = spec.load * spec.capacity_s
        return [JobStream('single', ('caller',), work_s, draw_one_task)]


class PickersShape(LoadShape):
    """Jobs of many tasks from many callers, with periodic bursts."""

    def _streams(self, spec: LoadSpec) -> list[JobStream]:
        callers = tuple(f'handset-{index}' for index in range(HANDSET_COUNT))
        quiet_s = BURST_CYCLE_S - BURST_DURATION_S
        quiet_rate = (BURST_CYCLE_S - BURST_DURATION_S * BURST_FACTOR) / quiet_s
        profile = ArrivalProfile(
            (
                Phase(BURST_DURATION_S, BURST_FACTOR),
                Phase(quiet_s, quiet_rate),
            )
        )
        work_s = spec.load * spec.capacity_s
        return [JobStream('pickers', callers, work_s, draw_many_tasks, profile)]


class ConsortiumShape(LoadShape):
    """One heavy caller with large jobs and four light callers.

    Explanation:
        The light callers' jobs depend only on the load and the seed. So they
        are the same in a run without the heavy caller and in a run in which
        it floods the system, and their response times can be compared.
    """

    def _streams(self, spec: LoadSpec) -> list[JobStream]:
        light_load = spec.load * (1 - HEAVY_LOAD_SHARE) / len(LIGHT_CALLERS)
        streams = [
            JobStream(
                name, (name,), light_load * spec.capacity_s, draw_few_tasks
            )
            for name in LIGHT_CALLERS
        ]
        if not spec.alone:
            heavy_load = (
                FLOOD_LOAD if spec.flood else spec.load * HEAVY_LOAD_SHARE
            )
            streams.append(
                JobStream(
                    HEAVY_CALLER,
                    (HEAVY_CALLER,),
                    heavy_load * spec.capacity_s,
                    draw_many_tasks,
                )
            )
        return streams


def draw_run_time_s(rng: Rng) -> float:
    """Draws a task's run time.

    Explanation:
        99 % of run times are log-uniform from 0.05 s to 1 s, 1 % uniform from
        2 s to 5 s.
    """
    if rng.random() < SLOW_TASK_SHARE:
        return rng.uniform(SHORTEST_SLOW_TASK_S, LONGEST_SLOW_TASK_S)
    ratio = LONGEST_COMMON_TASK_S / SHORTEST_TASK_S
    return SHORTEST_TASK_S * ratio ** rng.random()


def draw_task_count(rng: Rng) -> int:
    """Draws a job's number of tasks: bounded Pareto, from 1 to 350."""
    tail = (MAX_JOB_TASKS + 1) ** -JOB_SIZE_EXPONENT
    base = 1 - rng.random() * (1 - tail)
    return min(int(base ** (-1 / JOB_SIZE_EXPONENT)), MAX_JOB_TASKS)


def draw_one_task(rng: Rng) -> tuple[float, ...]:
    """Draws the run times of a job of one task."""
    return (draw_run_time_s(rng),)


def draw_few_tasks(rng: Rng) -> tuple[float, ...]:
    """Draws the run times of a job of 1 to 5 tasks."""
    count = rng.randint(1, MAX_SMALL_JOB_TASKS)
    return tuple(draw_run_time_s(rng) for _ in range(count))


def draw_many_tasks(rng: Rng) -> tuple[float, ...]:
    """Draws the run times of a job of 1 to 350 tasks."""
    return tuple(draw_run_time_s(rng) for _ in range(draw_task_count(rng)))


def _wave_jobs(spec: LoadSpec, first_index: int) -> tuple[PlannedJob, ...]:
    """Returns the jobs of the burst, spread evenly over 0.1 s."""
    rng = Rng(f'{spec.seed}/wave')
    tasks = int(spec.wave_factor * spec.all_slots)
    count = max(1, tasks // WAVE_JOB_TASKS)
    return tuple(
        PlannedJob(
            first_index + number,
            spec.wave_at_s + WAVE_DURATION_S * number / count,
            'wave',
            'echo',
            tuple(draw_run_time_s(rng) for _ in range(WAVE_JOB_TASKS)),
        )
        for number in range(count)
    )


SHAPES: dict[str, LoadShape] = {
    'single': SingleShape(),
    'pickers': PickersShape(),
    'consortium': ConsortiumShape(),
}
