"""Value objects of agents and their upstreams."""

from dataclasses import dataclass
from enum import StrEnum

from ..documents.model import Label
from ..jobs.model import JobId


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """What an agent announces of its upstream.

    Attributes:
        name: Name of the upstream.
        labels: Labels for selectors.
        slots: Tasks that it runs at once.
        connections: Connections that it accepts.
        cores: Processor cores of its worker.
        memory_mb: Memory of its worker.
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
    """How a task ended at an agent."""

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
    """Where a task stands at an agent."""

    QUEUED = 'queued'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class Assignment:
    """One task for an agent to start.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of this placement, from 1; a higher one follows when
            the earlier provably didn't start, or failed and may restart.
        kind: Request kind.
        document_version: Version that the leader decided under.
        timeout_s: Longest run.
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
        """Id of the task."""
        return self.job.task_id(self.index)


@dataclass(frozen=True, slots=True)
class TaskRef:
    """Names one placement of a task.

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
        """Id of the task."""
        return self.job.task_id(self.index)


@dataclass(frozen=True, slots=True)
class TaskOutcome:
    """How one start of a task ended.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of the start that ended.
        status: How it ended.
        result_json: The answer as JSON text, when it succeeded.
        error: Why it failed.
        run_s: How long it ran.
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
        """Id of the task."""
        return self.job.task_id(self.index)


@dataclass(frozen=True, slots=True)
class TaskReport:
    """What an agent knows of a task, for a new leader.

    Attributes:
        job: The job of the task.
        index: Index of the task in its job.
        start: Number of the start.
        stage: Where the task stands.
        outcome: How it ended, when it has.
    """

    job: JobId
    index: int
    start: int
    stage: TaskStage
    outcome: TaskOutcome | None = None

    @property
    def task_id(self) -> str:
        """Id of the task."""
        return self.job.task_id(self.index)
