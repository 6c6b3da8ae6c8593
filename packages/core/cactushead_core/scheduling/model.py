"""Data model of the scheduler."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..agents.model import UpstreamSpec
from ..jobs.model import JobId

# Tolerates rounding errors of repeated allocations of fractions of a core.
ALLOCATION_TOLERANCE = 1e-6
UNLIMITED_TASKS = 1_000_000_000


def sanitize_size(declared: float) -> float:
    """Returns a declared size that can be allocated.

    Examples:
        >>> sanitize_size(2.5), sanitize_size(-1.0), sanitize_size(float('nan'))
        (2.5, 0.0, 0.0)

    Args:
        declared: Cores or megabytes as the caller declared them.

    Returns:
        The size; 0 if it is negative, infinite or NaN.
    """
    return declared if 0 < declared < math.inf else 0.0


@dataclass(frozen=True, slots=True)
class QueuedTask:
    """A task that waits for a slot.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of the start attempt that it waits for, from 1.
        team: Team that owns the document of the service.
        caller: Name of the caller.
        kind: Request kind.
        cores: Declared cores.
        memory_mb: Declared memory.
        queued_s: When it was queued, on the leader's clock.
        deadline_s: Deadline of its job, on the leader's clock.
    """

    job: JobId
    index: int
    start: int
    team: str
    caller: str
    kind: str
    cores: float
    memory_mb: float
    queued_s: float
    deadline_s: float

    @property
    def task_id(self) -> str:
        """Id of the task."""
        return self.job.task_id(self.index)


@dataclass(frozen=True, slots=True)
class PlacedTask:
    """A task and the upstream that was chosen to run it.

    Attributes:
        task: The task.
        upstream: Name of the upstream.
    """

    task: QueuedTask
    upstream: str


@dataclass(frozen=True, slots=True)
class WorkerSize:
    """Cores and memory of a worker.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory.
    """

    cores: float
    memory_mb: float

    def can_fit(self, cores: float, memory_mb: float) -> bool:
        """Whether a task of a declared size fits the worker when idle.

        Args:
            cores: Declared cores.
            memory_mb: Declared memory.
        """
        return cores <= self.cores and memory_mb <= self.memory_mb


@dataclass(slots=True)
class UpstreamState:
    """State of an upstream and the resources allocated on it.

    Attributes:
        spec: Specification that its agent announced.
        available: Whether it may get tasks: its agent has a lease, has
            reported, and isn't draining.
        tasks: Tasks that occupy its slots, by task id.
        queue_depth: Tasks that may wait at the agent beyond the slots.
        task_limit: Most tasks that it may have given its health.
        reserved: Whether it is reserved for a task that fits no other upstream.
        allocated_cores: Sum of the declared cores of its tasks.
        allocated_memory_mb: Sum of the declared memory of its tasks.
        free_capacity: Number of tasks that may be added now, including those
            that would wait at the agent, as of the last `refresh`.
    """

    spec: UpstreamSpec
    available: bool = False
    tasks: dict[str, QueuedTask] = field(default_factory=dict)
    queue_depth: int = 0
    task_limit: int = UNLIMITED_TASKS
    reserved: bool = False
    allocated_cores: float = 0.0
    allocated_memory_mb: float = 0.0
    free_capacity: int = 0

    def refresh(self) -> None:
        """Recomputes the free capacity after another field changed."""
        if self.reserved or not self.available:
            self.free_capacity = 0
            return
        most = min(self.spec.slots + self.queue_depth, self.task_limit)
        self.free_capacity = max(0, most - len(self.tasks))

    @property
    def size(self) -> WorkerSize:
        """Cores and memory of its worker."""
        return WorkerSize(self.spec.cores, self.spec.memory_mb)

    def fits(self, task: QueuedTask) -> bool:
        """Whether its worker has enough free cores and memory for a task.

        Args:
            task: The task.
        """
        if task.cores > 0:
            free = self.spec.cores - self.allocated_cores
            if task.cores > free + ALLOCATION_TOLERANCE:
                return False
        if task.memory_mb > 0:
            free = self.spec.memory_mb - self.allocated_memory_mb
            return task.memory_mb <= free + ALLOCATION_TOLERANCE
        return True

    def allocate(self, task: QueuedTask) -> None:
        """Allocates a slot, cores and memory to a task.

        Args:
            task: The task.
        """
        self.tasks[task.task_id] = task
        if task.cores:
            self.allocated_cores += sanitize_size(task.cores)
        if task.memory_mb:
            self.allocated_memory_mb += sanitize_size(task.memory_mb)

    def release(self, task_id: str) -> QueuedTask | None:
        """Releases the slot, cores and memory of a task.

        Args:
            task_id: Id of the task.

        Returns:
            The task, or None if it has no slot here.
        """
        task = self.tasks.pop(task_id, None)
        if task is None:
            return None
        if task.cores:
            self.allocated_cores -= sanitize_size(task.cores)
        if task.memory_mb:
            self.allocated_memory_mb -= sanitize_size(task.memory_mb)
        if not self.tasks:
            self.allocated_cores = 0.0
            self.allocated_memory_mb = 0.0
        return task


RackCounts = Mapping[str, int]
