"""Order in which waiting tasks are considered."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from ..jobs.model import JobId
from .model import QueuedTask


class TaskOrder(ABC):
    """Holds the waiting tasks of all services and orders them.

    Explanation:
        A turn begins with the services that may start something. `peek`
        offers a task; the scheduler answers with `take`, with `skip` when it
        fits no upstream now, or with `close` when its service may start
        nothing more in this turn. A service is closed once, so a blocked
        service costs one offer per turn, however long its queue is.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._waiting: dict[str, QueuedTask] = {}

    def __len__(self) -> int:
        """Returns the number of waiting tasks."""
        return len(self._waiting)

    def contains(self, task: QueuedTask) -> bool:
        """Whether a task waits here.

        Args:
            task: The task.
        """
        return self._waiting.get(task.task_id) is task

    def add(self, task: QueuedTask, estimate_s: float) -> None:
        """Adds a waiting task.

        Args:
            task: The task.
            estimate_s: How long it will probably run.
        """
        task_id = task.task_id
        assert task_id not in self._waiting, f'{task_id} waits twice'
        self._waiting[task_id] = task
        self._add(task, estimate_s)

    def dequeue(self, task: QueuedTask, estimate_s: float) -> None:
        """Removes a waiting task that is placed and counts it as running.

        Args:
            task: The task.
            estimate_s: How long it will probably run, as known by now.
        """
        self._waiting.pop(task.task_id)
        self._dequeue(task, estimate_s)

    def remove_job(self, job: JobId) -> list[QueuedTask]:
        """Removes the waiting tasks of a job.

        Args:
            job: The job.

        Returns:
            The tasks that waited.
        """
        removed = self._remove_job(job)
        for task in removed:
            self._waiting.pop(task.task_id)
        return removed

    @abstractmethod
    def add_running(self, task: QueuedTask) -> None:
        """Counts a task as running that never waited here.

        Args:
            task: The task.
        """

    @abstractmethod
    def remove_running(self, task: QueuedTask) -> None:
        """Counts a task as running no more.

        Args:
            task: The task.
        """

    @abstractmethod
    def begin_pass(self, services: Iterable[str]) -> None:
        """Begins to offer the tasks of the services that may start some.

        Args:
            services: Names of the services.
        """

    @abstractmethod
    def peek(self) -> QueuedTask | None:
        """Returns the task to consider next in this turn, or None."""

    @abstractmethod
    def skip(self) -> None:
        """Notes that the offered task fits no upstream now."""

    def running_by_caller(self, task: QueuedTask) -> int:
        """Returns the slots that the caller of a task holds.

        Args:
            task: The offered task.
        """
        return 0

    def defer_caller(self) -> None:
        """Offers no more tasks of the offered task's caller in this turn."""
        self.skip()

    @abstractmethod
    def exclude_service(self, service: str) -> None:
        """Offers no more tasks of a service in this turn.

        Args:
            service: Name of the service.
        """

    @abstractmethod
    def _add(self, task: QueuedTask, estimate_s: float) -> None:
        """Adds a waiting task."""

    @abstractmethod
    def _dequeue(self, task: QueuedTask, estimate_s: float) -> None:
        """Removes a waiting task, which need not be the offered one."""

    @abstractmethod
    def _remove_job(self, job: JobId) -> list[QueuedTask]:
        """Removes and returns the waiting tasks of a job."""


class ArrivalOrder(TaskOrder):
    """First come, first served within each service: the baseline."""

    def __init__(self) -> None:
        """Starts empty."""
        super().__init__()
        self._queues: dict[str, dict[str, QueuedTask]] = {}
        self._eligible_services: set[str] = set()

    def add_running(self, task: QueuedTask) -> None:
        """Ignores running tasks."""

    def remove_running(self, task: QueuedTask) -> None:
        """Ignores running tasks."""

    def begin_pass(self, services: Iterable[str]) -> None:
        """Begins to offer the tasks of some services."""
        self._eligible_services = {
            name for name in services if self._queues.get(name)
        }

    def peek(self) -> QueuedTask | None:
        """Returns the task that arrived first."""
        heads = [
            next(iter(self._queues[name].values()))
            for name in self._eligible_services
        ]
        return min(heads, key=lambda task: task.queued_s, default=None)

    def skip(self) -> None:
        """Blocks the service behind the task at its head."""
        task = self.peek()
        if task is not None:
            self.exclude_service(task.job.service)

    def exclude_service(self, service: str) -> None:
        """Offers no more tasks of a service in this turn."""
        self._eligible_services.discard(service)

    def _add(self, task: QueuedTask, estimate_s: float) -> None:
        queue = self._queues.setdefault(task.job.service, {})
        queue[task.task_id] = task

    def _dequeue(self, task: QueuedTask, estimate_s: float) -> None:
        self._remove(task)

    def _remove_job(self, job: JobId) -> list[QueuedTask]:
        queue = self._queues.get(job.service, {})
        waiting = [task for task in queue.values() if task.job == job]
        for task in waiting:
            self._remove(task)
        return waiting

    def _remove(self, task: QueuedTask) -> None:
        service = task.job.service
        self._queues[service].pop(task.task_id)
        if not self._queues[service]:
            self._eligible_services.discard(service)
