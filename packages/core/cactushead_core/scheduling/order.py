"""Order in which waiting tasks are considered."""

from abc import ABC, abstractmethod
from collections.abc import Iterator

from ..jobs.model import JobId
from .model import QueuedTask


class TaskOrder(ABC):
    """Holds the waiting tasks of one service and orders them."""

    @abstractmethod
    def add(self, task: QueuedTask) -> None:
        """Adds a waiting task.

        Args:
            task: The task.
        """

    @abstractmethod
    def candidates(self, now_s: float) -> Iterator[QueuedTask]:
        """Yields the waiting tasks, the next to start first.

        Args:
            now_s: The leader's monotonic clock.
        """

    @abstractmethod
    def remove(self, task: QueuedTask) -> None:
        """Removes a task that is placed.

        Args:
            task: The task.
        """

    @abstractmethod
    def remove_job(self, job: JobId) -> list[QueuedTask]:
        """Removes the waiting tasks of a job.

        Args:
            job: The job.

        Returns:
            The tasks that waited.
        """

    @abstractmethod
    def __len__(self) -> int:
        """Returns the number of waiting tasks."""


class ArrivalOrder(TaskOrder):
    """First come, first served: the baseline."""

    def __init__(self) -> None:
        """Starts empty."""
        self._tasks: dict[str, QueuedTask] = {}

    def add(self, task: QueuedTask) -> None:
        """Adds a task behind all others."""
        self._tasks[task.task_id] = task

    def candidates(self, now_s: float) -> Iterator[QueuedTask]:
        """Yields the tasks by arrival."""
        yield from list(self._tasks.values())

    def remove(self, task: QueuedTask) -> None:
        """Removes a task that is placed."""
        self._tasks.pop(task.task_id, None)

    def remove_job(self, job: JobId) -> list[QueuedTask]:
        """Removes and returns the waiting tasks of a job."""
        waiting = [task for task in self._tasks.values() if task.job == job]
        for task in waiting:
            self.remove(task)
        return waiting

    def __len__(self) -> int:
        """Returns the number of waiting tasks."""
        return len(self._tasks)
