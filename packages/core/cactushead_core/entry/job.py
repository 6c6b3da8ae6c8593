"""The leader's view of a job in progress."""

from dataclasses import dataclass, field
from enum import Enum, auto

from ..documents.model import RequestKind
from ..jobs.model import (
    Attempt,
    JobAnswer,
    JobId,
    JobRequest,
    JobState,
    JobStatus,
)


class TaskPhase(Enum):
    """Where a task stands for the leader."""

    WAITING = auto()
    PLACED = auto()
    ASSIGNED = auto()
    ENDED = auto()


@dataclass(slots=True)
class OpenTask:
    """A task of an open job.

    Attributes:
        phase: Where it stands.
        start: Number of its newest placement, 0 before the first.
        agent: Agent of that placement.
        incarnation: Incarnation of that agent.
        failures: Starts that are known to have failed.
        result_json: The answer, once it succeeded.
        may_have_run: Whether a start is known or possible.
    """

    phase: TaskPhase = TaskPhase.WAITING
    start: int = 0
    agent: str = ''
    incarnation: str = ''
    failures: int = 0
    result_json: bytes = b''
    may_have_run: bool = False

    @property
    def outstanding(self) -> bool:
        """Whether an agent may hold the task."""
        return self.phase is TaskPhase.ASSIGNED


@dataclass(frozen=True, slots=True)
class Waiter:
    """An entry's exchange that waits for a job.

    Attributes:
        entry: Name of the entry.
        attempt: Identity of the exchange.
    """

    entry: str
    attempt: Attempt


@dataclass(slots=True)
class OpenJob:
    """An admitted job that has no committed answer yet.

    Attributes:
        request: The submission.
        kind: Its request kind as of admission.
        document_version: Version of the document at admission.
        deadline_s: When it must have ended, on the leader's clock.
        synced: Whether its records must be synced before they count.
        tasks: Its tasks by index.
        ended_tasks: Number of tasks that succeeded.
        admitted: Whether its admission is committed.
        answer: The final answer, once decided.
        answered: Whether the answer is committed.
        cancelled: Whether a caller cancelled it.
        exact_deadline: Whether the deadline counts from the caller's request;
            not so after a leader change, until an entry resubmits.
        taken_over: Whether it was admitted in an earlier term.
        waiters: Exchanges that wait for the answer.
        admission_waiters: Exchanges that wait for the admission only.
    """

    request: JobRequest
    kind: RequestKind
    document_version: int
    deadline_s: float
    synced: bool
    tasks: list[OpenTask]
    ended_tasks: int = 0
    admitted: bool = False
    answer: JobAnswer | None = None
    answered: bool = False
    cancelled: bool = False
    exact_deadline: bool = True
    taken_over: bool = False
    waiters: dict[Attempt, Waiter] = field(default_factory=dict)
    admission_waiters: dict[Attempt, Waiter] = field(default_factory=dict)

    @property
    def job(self) -> JobId:
        """Identity of the job."""
        return self.request.job

    @property
    def outstanding(self) -> bool:
        """Whether an agent may hold any of the tasks."""
        return any(task.outstanding for task in self.tasks)

    @property
    def may_have_run(self) -> bool:
        """Whether any task was, or may have been, started."""
        return any(task.may_have_run for task in self.tasks)

    def status(self) -> JobStatus:
        """Returns the present state for callers."""
        state = JobState.QUEUED
        if self.may_have_run:
            state = JobState.RUNNING
        answer = self.answer if self.answered else None
        if answer is not None:
            state = answer.state
        return JobStatus(
            self.job,
            state,
            len(self.tasks),
            self.ended_tasks,
            answer,
        )

    def complete_answer(self) -> JobAnswer:
        """Returns the whole answer of a job whose tasks all succeeded."""
        results = tuple([task.result_json for task in self.tasks])
        return JobAnswer(self.job, JobState.COMPLETE, results)

    def failed_answer(self, error: str) -> JobAnswer:
        """Returns the answer of a failed job.

        Args:
            error: Why it failed.
        """
        return JobAnswer(
            self.job,
            JobState.FAILED,
            (),
            error,
            not_run=not self.may_have_run,
        )
