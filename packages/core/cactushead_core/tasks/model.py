"""Value objects of best-effort jobs and of the resources they require."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Resources:
    """Processor, memory and accelerators, as a capacity or as a demand.

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
        """Returns the sum of two resource vectors."""
        return Resources(
            self.cpu_m + other.cpu_m,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        """Returns the resources that remain after a demand is subtracted."""
        return Resources(
            self.cpu_m - other.cpu_m,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def can_fit(self, other: 'Resources') -> bool:
        """Whether a demand fits into these resources in every dimension."""
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
        step: Index of the step in the job, from 0.
        index: Index of the task in the step, from 0.
    """

    job: str
    step: int
    index: int


class RunEnd(StrEnum):
    """How one run of a task ended.

    Explanation:
        Every value guarantees that the run has terminated or never started.

    Attributes:
        DONE: It completed successfully.
        FAILED: It failed, because of the task itself or of the upstream.
        STALLED: It was stopped because it made no progress.
        STOPPED: It was stopped on request.
        LEASE_EXPIRED: Its lease expired.
        LOST: It terminated without a reported result.
        CRASHED: Its upstream crashed, or broke off the exchange with it.
        RETURNED: It never started and was returned to the entry.
        NO_CAPACITY: It never started because the upstream had no free
            capacity at once and the task was not allowed to queue.
    """

    DONE = 'done'
    FAILED = 'failed'
    STALLED = 'stalled'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    LOST = 'lost'
    CRASHED = 'crashed'
    RETURNED = 'returned'
    NO_CAPACITY = 'crowded'


@dataclass(frozen=True, slots=True)
class JobStep:
    """A set of identical tasks within a job.

    Attributes:
        count: Number of tasks.
        needs: Resources that each task requires.
        estimate_s: Declared run time of a task, a rough estimate.
        depends_on: Indices of the steps that must complete first.
        required_label: Label that the upstream must have; empty for none.
        preferred_rack: Rack in which the tasks run faster; empty for none.
        max_per_upstream: Maximum number of tasks of the step at one
            upstream; 0 for no limit.
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
    """A job that is not persisted and whose caller waits for the outcome.

    Attributes:
        job: Id chosen by the caller.
        queue: Name of the queue to which the job was submitted.
        service: Service whose upstreams run the tasks.
        payload: Payload passed to the upstreams, the same for each task.
        steps: The steps.
        priority: Priority of the queue; 0 is the highest.
        max_starts: Number of failed runs of one task that fails the job.
        slack_factor: Factor by which the critical path is multiplied in the
            latency objective.
        latency_s: Constant part of the latency objective.
        caller_timeout_s: How long the caller waits, from arrival.
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
        """Declared duration of the longest chain of dependent steps.

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
        """Latency objective: target time from arrival to completion."""
        return self.slack_factor * self.critical_path_s + self.latency_s


class JobPhase(StrEnum):
    """Progress of an open job as reported to its caller."""

    QUEUED = 'queued'
    RUNNING = 'running'


class JobEnd(StrEnum):
    """Final state of a best-effort job as reported to its caller."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    REFUSED = 'refused'
    ABANDONED = 'given up'
    CANCELLED = 'cancelled'
