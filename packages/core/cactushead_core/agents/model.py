"""Value objects of agents and their upstreams."""

from dataclasses import dataclass
from enum import StrEnum

from ..documents.model import Label
from ..jobs.model import JobId


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Properties of its upstream that an agent announces.

    Attributes:
        name: Name of the upstream.
        labels: Labels for selectors.
        slots: Number of tasks that it runs concurrently.
        connections: Number of connections that it accepts.
        cores: Processor cores of its worker.
        memory_mb: Memory of its worker, in megabytes.
        rack: Rack of its worker.
        data_centre: Data centre of its worker.
    """

    name: str
    labels: tuple[Label, ...] = ()
    slots: int = 8
    connections: int = 64
    cores: float = 64.0
    memory_mb: float = 131072.0
    rack: str = ''
    data_centre: str = ''


class OutcomeStatus(StrEnum):
    """Final status of a task at an agent."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have received the task."""
        return self is not OutcomeStatus.REFUSED


class TaskStage(StrEnum):
    """Life cycle stage of a task at an agent."""

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class Assignment:
    """One task for an agent to start.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of the placement, from 1; the next one follows when the
            task provably did not start, or failed and may be restarted.
        kind: Request kind.
        document_version: Document version on which the decision is based.
        timeout_s: Maximum run time.
        input_json: The input as JSON text.
    """

    job: JobId
    index: int
    start: int
    kind: str
    document_version: int
    timeout_s: float
    input_json: bytes

    @property
    def task_id(self) -> str:
        """Id of the task, unique among all jobs."""
        return self.job.task_id(self.index)


@dataclass(frozen=True, slots=True)
class TaskRef:
    """Identity of one placement of a task.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of the placement.
    """

    job: JobId
    index: int
    start: int

    @property
    def task_id(self) -> str:
        """Id of the task, unique among all jobs."""
        return self.job.task_id(self.index)


@dataclass(frozen=True, slots=True)
class TaskOutcome:
    """Outcome of one placement of a task.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of the placement that ended.
        status: Final status.
        result_json: The result as JSON text, if the task succeeded.
        error: Reason if the task did not succeed.
        run_s: Run time.
    """

    job: JobId
    index: int
    start: int
    status: OutcomeStatus
    result_json: bytes = b''
    error: str = ''
    run_s: float = 0.0

    @property
    def task_id(self) -> str:
        """Id of the task, unique among all jobs."""
        return self.job.task_id(self.index)


@dataclass(frozen=True, slots=True)
class TaskReport:
    """State of a task at an agent, reported to a new leader.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of the placement.
        stage: Life cycle stage of the task.
        outcome: The outcome if the task has ended, else None.
    """

    job: JobId
    index: int
    start: int
    stage: TaskStage
    outcome: TaskOutcome | None = None

    @property
    def task_id(self) -> str:
        """Id of the task, unique among all jobs."""
        return self.job.task_id(self.index)
