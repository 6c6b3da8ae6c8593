"""Value objects of the scheduler."""

from dataclasses import dataclass, field

from ..agents.model import UpstreamSpec
from ..jobs.model import JobId


@dataclass(frozen=True, slots=True)
class QueuedTask:
    """A task that waits for a slot.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of the start that it waits for, from 1.
        team: Team that owns the service's document.
        caller: Who asked.
        kind: Request kind.
        cores: Declared cores.
        memory_mb: Declared memory.
        queued_s: When it was queued, on the leader's clock.
        deadline_s: When its job must end, on the leader's clock.
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
    """A waiting task and the upstream that it goes to.

    Attributes:
        task: The task.
        upstream: Name of the upstream.
    """

    task: QueuedTask
    upstream: str


@dataclass(slots=True)
class UpstreamState:
    """What the leader knows of an upstream.

    Attributes:
        spec: What its agent announced.
        available: Whether it may be given tasks: its agent holds a lease,
            has reported, and isn't leaving.
        tasks: Tasks that occupy its slots, by task id.
    """

    spec: UpstreamSpec
    available: bool = False
    tasks: dict[str, QueuedTask] = field(default_factory=dict)

    @property
    def free_slots(self) -> int:
        """Slots that nothing occupies."""
        return self.spec.slots - len(self.tasks)
