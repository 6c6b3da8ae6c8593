"""The leader's scheduler: waiting tasks, upstreams and limits."""

from collections.abc import Callable

from ..agents.model import TaskOutcome, UpstreamSpec
from ..documents.model import Selector, ServiceDocument
from ..jobs.model import JobId, JobRequest, Refusal, RefusalReason
from .model import PlacedTask, QueuedTask, UpstreamState
from .order import TaskOrder
from .placement import PlacementPolicy

QUEUE_RETRY_AFTER_S = 1.0


def selects(selector: Selector, spec: UpstreamSpec) -> bool:
    """Whether a selector matches an announced upstream.

    Args:
        selector: Selector of a service's document.
        spec: The announced upstream.
    """
    named = not selector.names or spec.name in selector.names
    return named and set(selector.labels) <= set(spec.labels)


class Scheduler:
    """Decides which waiting task starts on which upstream.

    Explanation:
        The leader makes a new scheduler when its term begins, fills it from
        the replicated state and the agents' reports, and asks for
        placements once per loop turn. Slots are booked by `place` and freed
        by `task_ended` or `task_returned`.
    """

    def __init__(
        self,
        make_order: Callable[[], TaskOrder],
        placement: PlacementPolicy,
    ) -> None:
        """Starts without documents, tasks and upstreams.

        Args:
            make_order: Makes the queue of one service.
            placement: Chooses upstreams.
        """
        self._make_order = make_order
        self._placement = placement
        self._documents: dict[str, ServiceDocument] = {}
        self._queues: dict[str, TaskOrder] = {}
        self._upstreams: dict[str, UpstreamState] = {}

    def set_document(self, document: ServiceDocument, now_s: float) -> None:
        """Puts a document in force.

        Args:
            document: The document.
            now_s: The leader's monotonic clock.
        """
        self._documents[document.service] = document
        if document.service not in self._queues:
            self._queues[document.service] = self._make_order()

    def set_upstream(
        self,
        spec: UpstreamSpec,
        *,
        available: bool,
        now_s: float,
    ) -> None:
        """Notes what an agent announced and whether it may be given tasks.

        Args:
            spec: The announced upstream.
            available: Whether it may be given tasks.
            now_s: The leader's monotonic clock.
        """
        state = self._upstreams.get(spec.name)
        if state is None:
            state = UpstreamState(spec)
            self._upstreams[spec.name] = state
        state.spec = spec
        state.available = available

    def set_unavailable(self, upstream: str, now_s: float) -> None:
        """Notes that an upstream may not be given tasks for now.

        Args:
            upstream: Name of the upstream.
            now_s: The leader's monotonic clock.
        """
        state = self._upstreams.get(upstream)
        if state is not None:
            state.available = False

    def remove_upstream(self, upstream: str) -> None:
        """Forgets an upstream whose agent is gone.

        Args:
            upstream: Name of the upstream.
        """
        self._upstreams.pop(upstream, None)

    def find_refusal(
        self,
        request: JobRequest,
        now_s: float,
    ) -> Refusal | None:
        """Returns why a submission can't be admitted now, or None.

        Args:
            request: A submission of a known service and kind.
            now_s: The leader's monotonic clock.
        """
        service = request.job.service
        limits = self._documents[service].limits
        waiting = len(self._queues[service])
        if waiting + len(request.tasks) > limits.queue_tasks:
            return Refusal(
                RefusalReason.QUEUE_FULL,
                retry_after_s=QUEUE_RETRY_AFTER_S,
            )
        return None

    def enqueue(self, task: QueuedTask) -> None:
        """Adds a waiting task of an admitted job.

        Args:
            task: The task.
        """
        self._queues[task.job.service].add(task)

    def cancel_job(self, job: JobId) -> list[QueuedTask]:
        """Removes the waiting tasks of a job.

        Args:
            job: The job.

        Returns:
            The tasks that waited.
        """
        return self._queues[job.service].remove_job(job)

    def occupy(self, task: QueuedTask, upstream: str) -> None:
        """Books a slot for a task that an agent already has.

        Args:
            task: The task.
            upstream: Name of the upstream.
        """
        if upstream not in self._upstreams:
            self._upstreams[upstream] = UpstreamState(UpstreamSpec(upstream))
        self._upstreams[upstream].tasks[task.task_id] = task

    def place(self, now_s: float) -> list[PlacedTask]:
        """Books slots for waiting tasks, as many as can start now.

        Args:
            now_s: The leader's monotonic clock.

        Returns:
            The placements, in the order of the decisions.
        """
        placed: list[PlacedTask] = []
        for service, queue in self._queues.items():
            upstreams = self._matching(service)
            for task in queue.candidates(now_s):
                choice = self._placement.choose(task, upstreams)
                if choice is None:
                    break
                queue.remove(task)
                choice.tasks[task.task_id] = task
                placed.append(PlacedTask(task, choice.spec.name))
        return placed

    def task_ended(
        self,
        upstream: str,
        outcome: TaskOutcome,
        now_s: float,
    ) -> None:
        """Frees the slot of a task that has ended and learns from it.

        Args:
            upstream: Name of the upstream that ran it.
            outcome: How it ended.
            now_s: The leader's monotonic clock.
        """
        state = self._upstreams.get(upstream)
        if state is not None:
            state.tasks.pop(outcome.task_id, None)

    def task_returned(self, upstream: str, task_id: str) -> None:
        """Frees the slot of a task that never started.

        Args:
            upstream: Name of the upstream that had it.
            task_id: Id of the task.
        """
        state = self._upstreams.get(upstream)
        if state is not None:
            state.tasks.pop(task_id, None)

    def _matching(self, service: str) -> list[UpstreamState]:
        selector = self._documents[service].upstreams
        return [
            state
            for state in self._upstreams.values()
            if selects(selector, state.spec)
        ]
