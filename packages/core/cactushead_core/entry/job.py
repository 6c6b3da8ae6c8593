"""State of jobs and tasks that are in progress at the leader."""

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
    """Phase of a task at the leader.

    Explanation:
        A task is `WAITING` in the queue or at the barrier, `PLACED` until
        it is assigned, `ASSIGNED` while it may be at an agent, and then
        `ENDED`, or `WAITING` again until its next placement.
    """

    WAITING = auto()
    PLACED = auto()
    ASSIGNED = auto()
    ENDED = auto()


@dataclass(slots=True)
class OpenTask:
    """A task of an open job.

    Attributes:
        phase: Its phase.
        start: Start number of its newest placement, 0 before the first.
        agent: Name of the agent of that placement.
        incarnation: Incarnation of that agent.
        failures: Number of starts that are known to have failed.
        result_json: Its result, once it has succeeded.
        may_have_run: Whether it was, or may have been, started.
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
        """Whether the task may be at an agent."""
        return self.phase is TaskPhase.ASSIGNED


@dataclass(frozen=True, slots=True)
class Waiter:
    """An exchange of an entry that waits for the answer about a job.

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
        kind: Its request kind in the document of the admission.
        document_version: Version of the document at admission.
        deadline_s: When it fails unless it has ended, on the leader's clock.
        synced: Whether a majority must have synced the records of its
            admission and placements before its tasks are assigned.
        tasks: Its tasks by index.
        ended_tasks: Number of tasks that have succeeded.
        admitted: Whether its admission is committed.
        answer: The final answer, once decided.
        answered: Whether the answer is committed.
        cancelled: Whether a caller has cancelled it.
        exact_deadline: Whether the deadline is counted from the caller's
            request. It is not after a failover, until an entry resubmits.
        taken_over: Whether it was admitted in an earlier term.
        waiters: Exchanges that wait for the answer.
        admission_waiters: Exchanges that wait for the admission alone.
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
        """Whether any of the tasks may be at an agent."""
        return any(task.outstanding for task in self.tasks)

    @property
    def may_have_run(self) -> bool:
        """Whether any task was, or may have been, started."""
        return any(task.may_have_run for task in self.tasks)

    def status(self) -> JobStatus:
        """Returns the status that is reported to callers."""
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
        """Returns the answer with all results; all tasks have succeeded."""
        results = tuple([task.result_json for task in self.tasks])
        return JobAnswer(self.job, JobState.COMPLETE, results)

    def failed_answer(self, error: str) -> JobAnswer:
        """Returns the answer of a failed job.

        Args:
            error: The cause.
        """
        return JobAnswer(
            self.job,
            JobState.FAILED,
            (),
            error,
            not_run=not self.may_have_run,
        )
