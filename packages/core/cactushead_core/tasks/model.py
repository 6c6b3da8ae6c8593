"""Value objects of best-effort jobs and of the room that they need."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Resources:
    """Processor, memory and accelerators of a worker, or a need of them.

    Examples:
        >>> Resources(64_000, 1024).can_fit(Resources(6_200, 64))
        True
        >>> Resources(1_000, 10) - Resources(400, 4)
        Resources(cpu_m=600, memory_mb=6, gpus=0)

    Attributes:
        cpu_m: Thousandths of a processor core.
        memory_mb: Memory in megabytes.
        gpus: Accelerators.
    """

    cpu_m: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        """Returns the sum of two rooms."""
        return Resources(
            self.cpu_m + other.cpu_m,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        """Returns what is left of this room."""
        return Resources(
            self.cpu_m - other.cpu_m,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def can_fit(self, other: 'Resources') -> bool:
        """Whether a need fits into this room."""
        return (
            self.cpu_m >= other.cpu_m
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


@dataclass(frozen=True, slots=True, order=True)
class TaskRef:
    """One task of a job.

    Attributes:
        job: Id of the job.
        step: Number of the step in the job, from 0.
        index: Number of the task in the step, from 0.
    """

    job: str
    step: int
    index: int


class RunEnd(StrEnum):
    """How one run of a task ended.

    Explanation:
        After each of them the run is over for certain, or never began.

    Attributes:
        DONE: It did its work.
        FAILED: It failed, by its own fault or its upstream's.
        STALLED: It made no progress and was stopped for that.
        STOPPED: It was stopped.
        LAPSED: Its lease ended.
        LOST: It ended without a trace.
        RETURNED: It never began.
        NO_CAPACITY: It never began, since there was no room for it at once.
    """

    DONE = 'done'
    FAILED = 'failed'
    STALLED = 'stalled'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    LOST = 'lost'
    RETURNED = 'returned'
    NO_CAPACITY = 'crowded'


@dataclass(frozen=True, slots=True)
class JobStep:
    """Tasks of one job that are alike.

    Attributes:
        count: Number of tasks.
        needs: Room that each task needs.
        estimate_s: Declared run time, rough.
        depends_on: Numbers of the steps that must be done first.
        required_label: Label that the upstream must have; empty for any.
        preferred_rack: Rack at which the tasks run faster; empty for none.
        max_per_upstream: Most tasks of the step at one upstream; 0 for any.
    """

    count: int
    needs: Resources
    estimate_s: float
    depends_on: tuple[int, ...] = ()
    required_label: str = ''
    preferred_rack: str = ''
    max_per_upstream: int = 0


@dataclass(frozen=True, slots=True)
class BestEffortJob:
    """A job that is not stored; its caller waits for its end.

    Attributes:
        job: Id that the caller chose.
        queue: Name of the queue that it was sent to.
        service: Service whose upstreams run it.
        payload: What the upstreams get, the same for each task.
        steps: Its steps.
        priority: Priority of the queue; 0 comes first.
        max_starts: Failed runs of one task after which the job has failed.
        slack_factor: Objective as a multiple of the longest chain of work.
        latency_s: Time that the objective adds to that.
        caller_timeout_s: How long the caller waits from the arrival.
    """

    job: str
    queue: str
    service: str
    payload: str
    steps: tuple[JobStep, ...]
    priority: int = 0
    max_starts: int = 1
    slack_factor: float = 2.0
    latency_s: float = 0.0
    caller_timeout_s: float = 3600.0

    @property
    def critical_path_s(self) -> float:
        """Declared time of the longest chain of steps.

        Examples:
            >>> step = JobStep(1, Resources(), estimate_s=2.0)
            >>> then = JobStep(1, Resources(), estimate_s=0.5, depends_on=(0,))
            >>> BestEffortJob('1', 'q', 's', '', (step, then)).critical_path_s
            2.5
        """
        ends: list[float] = []
        for step in self.steps:
            begin_s = max(
                (ends[number] for number in step.depends_on), default=0.0
            )
            ends.append(begin_s + step.estimate_s)
        return max(ends)

    @property
    def objective_s(self) -> float:
        """Time within which the caller wants the end."""
        return self.slack_factor * self.critical_path_s + self.latency_s


class JobPhase(StrEnum):
    """Where an open job stands for its caller."""

    QUEUED = 'queued'
    RUNNING = 'running'


class JobEnd(StrEnum):
    """How a best-effort job ended for its caller."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    REFUSED = 'refused'
    GIVEN_UP = 'given up'
    CANCELLED = 'cancelled'
