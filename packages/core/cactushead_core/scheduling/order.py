"""Queueing disciplines: the order in which waiting tasks start."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from ..jobs.model import JobId
from .model import QueuedTask


class TaskOrder(ABC):
    """Queue of the waiting tasks of all services.

    Explanation:
        A placement pass begins with the services that may start tasks.
        `peek` returns a candidate. The scheduler calls `dequeue` to start it,
        `skip` if it fits no upstream now, `defer_caller` if its caller may
        start no more tasks in the pass, or `exclude_service` if its service
        may not. A blocked service is excluded once, so it costs one candidate
        per pass, whatever the length of its queue.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._waiting: dict[str, QueuedTask] = {}

    def __len__(self) -> int:
        """Returns the number of waiting tasks."""
        return len(self._waiting)

    def contains(self, task: QueuedTask) -> bool:
        """Whether a task is in the queue.

        Args:
            task: The task.
        """
        return self._waiting.get(task.task_id) is task

    def add(self, task: QueuedTask, estimate_s: float) -> None:
        """Adds a waiting task.

        Args:
            task: The task.
            estimate_s: Its expected run time.
        """
        task_id = task.task_id
        assert task_id not in self._waiting, f'{task_id} is already queued'
        self._waiting[task_id] = task
        self._add(task, estimate_s)

    def dequeue(self, task: QueuedTask, estimate_s: float) -> None:
        """Removes a task that was placed and counts it as running.

        Args:
            task: The task.
            estimate_s: Its expected run time by the current estimate.
        """
        self._waiting.pop(task.task_id)
        self._dequeue(task, estimate_s)

    def remove_job(self, job: JobId) -> list[QueuedTask]:
        """Removes the waiting tasks of a job.

        Args:
            job: The job.

        Returns:
            The removed tasks.
        """
        removed = self._remove_job(job)
        for task in removed:
            self._waiting.pop(task.task_id)
        return removed

    @abstractmethod
    def add_running(self, task: QueuedTask) -> None:
        """Counts a task as running that was not in the queue.

        Args:
            task: The task.
        """

    @abstractmethod
    def remove_running(self, task: QueuedTask) -> None:
        """Stops counting a task as running.

        Args:
            task: The task.
        """

    @abstractmethod
    def begin_pass(self, services: Iterable[str]) -> None:
        """Starts a placement pass.

        Args:
            services: Names of the services that may start tasks.
        """

    @abstractmethod
    def peek(self) -> QueuedTask | None:
        """Returns the next candidate of the placement pass, or None."""

    @abstractmethod
    def skip(self) -> None:
        """Skips the candidate, which fits no upstream now."""

    def running_by_caller(self, task: QueuedTask) -> int:
        """Returns how many slots the tasks of a task's caller occupy.

        Args:
            task: The candidate.
        """
        return 0

    def defer_caller(self) -> None:
        """Excludes the candidate's caller from the rest of the pass."""
        self.skip()

    @abstractmethod
    def exclude_service(self, service: str) -> None:
        """Excludes a service from the rest of the placement pass.

        Args:
            service: Name of the service.
        """

    @abstractmethod
    def _add(self, task: QueuedTask, estimate_s: float) -> None:
        """Adds a waiting task to the subclass's data structures."""

    @abstractmethod
    def _dequeue(self, task: QueuedTask, estimate_s: float) -> None:
        """Removes a waiting task, which need not be the candidate."""

    @abstractmethod
    def _remove_job(self, job: JobId) -> list[QueuedTask]:
        """Removes and returns the waiting tasks of a job."""


class ArrivalOrder(TaskOrder):
    """First come, first served within each service; a baseline."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        super().__init__()
        self._queues: dict[str, dict[str, QueuedTask]] = {}
        self._eligible_services: set[str] = set()

    def add_running(self, task: QueuedTask) -> None:
        """Does nothing; running tasks don't affect the order."""

    def remove_running(self, task: QueuedTask) -> None:
        """Does nothing; running tasks don't affect the order."""

    def begin_pass(self, services: Iterable[str]) -> None:
        """Starts a placement pass over the given services."""
        self._eligible_services = {
            name for name in services if self._queues.get(name)
        }

    def peek(self) -> QueuedTask | None:
        """Returns the first queued task of the eligible services."""
        heads = [
            next(iter(self._queues[name].values()))
            for name in self._eligible_services
        ]
        return min(heads, key=lambda task: task.queued_s, default=None)

    def skip(self) -> None:
        """Excludes the candidate's service; its first task blocks it."""
        task = self.peek()
        if task is not None:
            self.exclude_service(task.job.service)

    def exclude_service(self, service: str) -> None:
        """Excludes a service from the rest of the placement pass."""
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
