"""The agent's record of the tasks that it was given."""

from collections import deque
from dataclasses import dataclass

from ..errors import CactusheadError
from .model import (
    Assignment,
    OutcomeStatus,
    TaskOutcome,
    TaskRef,
    TaskReport,
    TaskStage,
)


class DoubleStartError(CactusheadError):
    """The agent was about to start one placement of a task twice."""


@dataclass(slots=True)
class TaskRecord:
    """What the agent knows of one task.

    Attributes:
        assignment: The newest assignment of the task.
        stage: Where the task stands.
        outcome: How it ended, when it has.
        sent_s: When the outcome was last sent.
        resends: How often it was sent again.
    """

    assignment: Assignment
    stage: TaskStage
    outcome: TaskOutcome | None = None
    sent_s: float = 0.0
    resends: int = 0


class TaskRecords:
    """Keeps each task that was started until its outcome is acknowledged.

    Explanation:
        Acknowledged and refused placements are remembered for `keep_s`. An
        assignment carries the agent's own clock of the lease it was decided
        under and is refused when that is older than the lease, so `keep_s`
        need only exceed the lease for a late copy to start nothing.
    """

    def __init__(self, keep_s: float) -> None:
        """Starts without records.

        Args:
            keep_s: How long a closed placement is remembered.
        """
        self._keep_s = keep_s
        self._open: dict[str, TaskRecord] = {}
        self._queued: dict[str, Assignment] = {}
        self._closed: dict[str, int] = {}
        self._expiry: deque[tuple[float, str, int]] = deque()
        self._running = 0

    def __len__(self) -> int:
        """Returns the number of placements that are remembered."""
        return len(self._open) + len(self._closed)

    @property
    def running(self) -> int:
        """Number of tasks that the upstream runs."""
        return self._running

    @property
    def unacknowledged(self) -> int:
        """Number of tasks without an acknowledged outcome."""
        return len(self._open)

    def find(self, task_id: str) -> TaskRecord | None:
        """Returns the record of a task, or None.

        Args:
            task_id: Id of the task.
        """
        return self._open.get(task_id)

    def was_closed(self, task_id: str, start: int) -> bool:
        """Whether this placement, or a later one, is over for good.

        Args:
            task_id: Id of the task.
            start: Number of the placement.
        """
        return self._closed.get(task_id, 0) >= start

    def add(self, assignment: Assignment) -> None:
        """Notes a task that waits to be started.

        Args:
            assignment: The task.

        Raises:
            DoubleStartError: An earlier placement hasn't ended.
        """
        earlier = self._open.get(assignment.task_id)
        if earlier is not None and earlier.stage is not TaskStage.ENDED:
            raise DoubleStartError(
                f'task {assignment.task_id} is {earlier.stage} already',
            )
        task_id = assignment.task_id
        self._open[task_id] = TaskRecord(assignment, TaskStage.QUEUED)
        self._queued[task_id] = assignment

    def start(self, task_id: str) -> Assignment:
        """Notes that a task is started now.

        Args:
            task_id: Id of a queued task.

        Returns:
            The task's assignment.

        Raises:
            DoubleStartError: The task was started before.
        """
        record = self._open[task_id]
        start = record.assignment.start
        if record.stage is not TaskStage.QUEUED:
            raise DoubleStartError(f'task {task_id} is {record.stage}')
        if self.was_closed(task_id, start):
            raise DoubleStartError(f'placement {start} of {task_id} is over')
        del self._queued[task_id]
        record.stage = TaskStage.RUNNING
        self._running += 1
        return record.assignment

    def end(self, outcome: TaskOutcome, now_s: float) -> bool:
        """Notes how a task ended.

        Args:
            outcome: The outcome.
            now_s: The agent's monotonic clock.

        Returns:
            Whether the outcome is news.
        """
        record = self._open.get(outcome.task_id)
        if record is None or record.stage is TaskStage.ENDED:
            return False
        if record.stage is TaskStage.RUNNING:
            self._running -= 1
        self._queued.pop(outcome.task_id, None)
        record.stage = TaskStage.ENDED
        record.outcome = outcome
        record.sent_s = now_s
        return True

    def acknowledge(self, task_id: str, now_s: float) -> None:
        """Drops an outcome that the leader has for good.

        Args:
            task_id: Id of the task.
            now_s: The agent's monotonic clock.
        """
        record = self._open.get(task_id)
        if record is None or record.stage is not TaskStage.ENDED:
            return
        del self._open[task_id]
        self.close(task_id, record.assignment.start, now_s)

    def close(self, task_id: str, start: int, now_s: float) -> None:
        """Remembers that a placement must not start any more.

        Args:
            task_id: Id of the task.
            start: Number of the placement.
            now_s: The agent's monotonic clock.
        """
        self._closed[task_id] = max(start, self._closed.get(task_id, 0))
        self._expiry.append((now_s + self._keep_s, task_id, start))

    def expire(self, now_s: float) -> None:
        """Forgets closed placements that are old enough.

        Args:
            now_s: The agent's monotonic clock.
        """
        while self._expiry and self._expiry[0][0] <= now_s:
            _, task_id, start = self._expiry.popleft()
            if self._closed.get(task_id) == start:
                del self._closed[task_id]

    def queued(self) -> list[Assignment]:
        """Returns the tasks that wait to be started, oldest first."""
        return list(self._queued.values())

    def due_outcomes(self, now_s: float, resend_s: float) -> list[TaskOutcome]:
        """Returns outcomes to send again, with a growing pause.

        Args:
            now_s: The agent's monotonic clock.
            resend_s: Pause before the first repetition.
        """
        due: list[TaskOutcome] = []
        for record in self._open.values():
            if record.outcome is None:
                continue
            pause_s = resend_s * (1 << min(record.resends, MAX_DOUBLINGS))
            if now_s - record.sent_s < pause_s:
                continue
            record.sent_s = now_s
            record.resends += 1
            due.append(record.outcome)
        return due

    def reports(self) -> tuple[TaskReport, ...]:
        """Returns all open records for a leader."""
        return tuple(
            [
                TaskReport(
                    record.assignment.job,
                    record.assignment.index,
                    record.assignment.start,
                    record.stage,
                    record.outcome,
                )
                for record in self._open.values()
            ]
        )


MAX_DOUBLINGS = 6


def refusal(task: Assignment | TaskRef, cause: str) -> TaskOutcome:
    """Returns the outcome of a task that never started.

    Args:
        task: The task.
        cause: Why it was not started.
    """
    return TaskOutcome(
        task.job,
        task.index,
        task.start,
        OutcomeStatus.REFUSED,
        error=cause,
    )
