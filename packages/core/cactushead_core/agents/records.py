"""Records of the tasks that were assigned to an agent."""

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
    """One placement of a task would have been started twice."""


@dataclass(slots=True)
class TaskRecord:
    """State of one task at the agent.

    Attributes:
        assignment: The latest assignment of the task.
        stage: Life cycle stage of the task.
        outcome: The outcome if the task has ended, else None.
        sent_s: Time at which the outcome was last sent.
        resends: How often the outcome was resent.
    """

    assignment: Assignment
    stage: TaskStage
    outcome: TaskOutcome | None = None
    sent_s: float = 0.0
    resends: int = 0


class TaskRecords:
    """Keeps the record of each task until its outcome is acknowledged.

    Explanation:
        Acknowledged and refused placements are closed and kept for
        `retention_s`, so that a duplicate assignment doesn't start them
        again. An assignment carries the agent's clock reading on which the
        leader based its decision, and is refused if that is older than the
        lease, so `retention_s` only needs to exceed the lease.
    """

    def __init__(self, retention_s: float) -> None:
        """Starts without records.

        Args:
            retention_s: How long a closed placement is kept.
        """
        self._retention_s = retention_s
        self._open: dict[str, TaskRecord] = {}
        self._queued: dict[str, Assignment] = {}
        self._closed: dict[str, int] = {}
        self._expiry: deque[tuple[float, str, int]] = deque()
        self._running = 0

    def __len__(self) -> int:
        """Returns the number of open and closed placements."""
        return len(self._open) + len(self._closed)

    @property
    def running(self) -> int:
        """Number of tasks that are running at the upstream."""
        return self._running

    @property
    def unacknowledged_count(self) -> int:
        """Number of tasks whose outcome is pending or not acknowledged."""
        return len(self._open)

    def find(self, task_id: str) -> TaskRecord | None:
        """Returns the open record of a task, None if there is none.

        Args:
            task_id: Id of the task.
        """
        return self._open.get(task_id)

    def was_closed(self, task_id: str, start: int) -> bool:
        """Whether this or a later placement is closed and must not start.

        Args:
            task_id: Id of the task.
            start: Number of the placement.
        """
        return self._closed.get(task_id, 0) >= start

    def add(self, assignment: Assignment) -> None:
        """Adds a queued task.

        Args:
            assignment: The assignment of the task.

        Raises:
            DoubleStartError: An earlier placement has not ended.
        """
        earlier = self._open.get(assignment.task_id)
        if earlier is not None and earlier.stage is not TaskStage.ENDED:
            raise DoubleStartError(
                f'task {assignment.task_id} cannot be queued: it is'
                f' already {earlier.stage}',
            )
        task_id = assignment.task_id
        self._open[task_id] = TaskRecord(assignment, TaskStage.QUEUED)
        self._queued[task_id] = assignment

    def start(self, task_id: str) -> Assignment:
        """Marks a queued task as running.

        Args:
            task_id: Id of a queued task.

        Returns:
            The task's assignment.

        Raises:
            DoubleStartError: The task is not queued or its placement is closed.
        """
        record = self._open[task_id]
        start = record.assignment.start
        if record.stage is not TaskStage.QUEUED:
            raise DoubleStartError(
                f'task {task_id} cannot start: it is already {record.stage}',
            )
        if self.was_closed(task_id, start):
            raise DoubleStartError(
                f'placement {start} of task {task_id} is closed',
            )
        del self._queued[task_id]
        record.stage = TaskStage.RUNNING
        self._running += 1
        return record.assignment

    def end(self, outcome: TaskOutcome, now_s: float) -> bool:
        """Records the outcome of a task.

        Args:
            outcome: The outcome.
            now_s: The agent's monotonic clock.

        Returns:
            Whether the outcome is new: the task was queued or running.
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
        """Removes the record of a task whose outcome is acknowledged.

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
        """Closes a placement, so that it can't start.

        Args:
            task_id: Id of the task.
            start: Number of the placement.
            now_s: The agent's monotonic clock.
        """
        self._closed[task_id] = max(start, self._closed.get(task_id, 0))
        self._expiry.append((now_s + self._retention_s, task_id, start))

    def expire(self, now_s: float) -> None:
        """Removes closed placements whose retention time has expired.

        Args:
            now_s: The agent's monotonic clock.
        """
        while self._expiry and self._expiry[0][0] <= now_s:
            _, task_id, start = self._expiry.popleft()
            if self._closed.get(task_id) == start:
                del self._closed[task_id]

    def queued(self) -> list[Assignment]:
        """Returns the queued tasks, oldest first."""
        return list(self._queued.values())

    def due_outcomes(self, now_s: float, resend_s: float) -> list[TaskOutcome]:
        """Returns the outcomes that are due to be resent.

        Explanation:
            The interval doubles with each resend, at most
            `MAX_BACKOFF_DOUBLINGS` times.

        Args:
            now_s: The agent's monotonic clock.
            resend_s: Interval before the first resend.
        """
        due: list[TaskOutcome] = []
        for record in self._open.values():
            if record.outcome is None:
                continue
            backoff_s = resend_s * (
                1 << min(record.resends, MAX_BACKOFF_DOUBLINGS)
            )
            if now_s - record.sent_s < backoff_s:
                continue
            record.sent_s = now_s
            record.resends += 1
            due.append(record.outcome)
        return due

    def reports(self) -> tuple[TaskReport, ...]:
        """Returns reports of all open records, to be sent to the leader."""
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


# Maximum number of doublings of the interval between resends.
MAX_BACKOFF_DOUBLINGS = 6


def refusal(task: Assignment | TaskRef, cause: str) -> TaskOutcome:
    """Returns the outcome of a task that never started.

    Args:
        task: The task.
        cause: Reason why it was not started.
    """
    return TaskOutcome(
        task.job,
        task.index,
        task.start,
        OutcomeStatus.REFUSED,
        error=cause,
    )
