"""The leader's scheduler: waiting tasks, upstreams and limits."""

from collections.abc import Callable

from ..agents.model import TaskOutcome, UpstreamSpec
from ..documents.model import ServiceDocument
from ..jobs.model import JobId, JobRequest, Refusal, RefusalReason
from . import admission
from .model import PlacedTask, QueuedTask, UpstreamState
from .order import TaskOrder
from .placement import PlacementPolicy
from .registry import UpstreamRegistry
from .service import ServiceLoad

# A new leader has heard of every living agent by then.
SETTLE_S = 1.0
DEFAULT_RUN_S = 0.3


class Scheduler:
    """Decides which waiting task starts on which upstream.

    Explanation:
        The leader makes a new scheduler when its term begins, fills it from
        the replicated state and the agents' reports, and asks for
        placements once per loop turn. Slots are booked by `place` and freed
        by `task_ended` or `task_returned`.

        A new document takes effect on later decisions: running tasks stay
        where they are and waiting ones stay in the queue, also above a
        lowered limit, but start only under the new limits and on upstreams
        that the new selector matches. Waiting tasks of a draining or stopped
        service go on to start; the leader cancels what its stop policy
        doesn't let finish.
    """

    def __init__(
        self,
        make_order: Callable[[], TaskOrder],
        placement: PlacementPolicy,
    ) -> None:
        """Starts without documents, tasks and upstreams.

        Args:
            make_order: Makes the queue.
            placement: Chooses upstreams.
        """
        self._order = make_order()
        self._placement = placement
        self._loads: dict[str, ServiceLoad] = {}
        self._registry = UpstreamRegistry(placement.prefer)
        self._first_s: float | None = None
        self._now_s = 0.0

    def set_document(self, document: ServiceDocument, now_s: float) -> None:
        """Puts a document in force.

        Args:
            document: The document.
            now_s: The leader's monotonic clock.
        """
        self._observe_time(now_s)
        pool = self._registry.pool(document.upstreams)
        load = self._loads.get(document.service)
        if load is None:
            load = ServiceLoad(document, pool)
            load.running = self._count_running(document.service)
            self._loads[document.service] = load
        load.apply_document(document, pool, now_s)
        self._registry.keep_pools(
            {load.document.upstreams for load in self._loads.values()},
        )

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
        self._observe_time(now_s)
        self._registry.announce(spec, available=available, now_s=now_s)

    def set_unavailable(self, upstream: str, now_s: float) -> None:
        """Notes that an upstream may not be given tasks for now.

        Args:
            upstream: Name of the upstream.
            now_s: The leader's monotonic clock.
        """
        self._observe_time(now_s)
        state = self._registry.states.get(upstream)
        if state is not None:
            state.available = False
            self._registry.update(state)

    def remove_upstream(self, upstream: str) -> None:
        """Forgets an upstream whose agent is gone.

        Args:
            upstream: Name of the upstream.
        """
        state = self._registry.states.get(upstream)
        if state is None:
            return
        for task_id in tuple(state.tasks):
            self._release(state, task_id)
        self._registry.remove(state, self._now_s)

    def find_refusal(
        self,
        request: JobRequest,
        now_s: float,
    ) -> Refusal | None:
        """Returns why a submission can't be admitted now, or None.

        Args:
            request: A submission.
            now_s: The leader's monotonic clock.
        """
        self._observe_time(now_s)
        load = self._loads.get(request.job.service)
        if load is None:
            return Refusal(RefusalReason.UNKNOWN_SERVICE)
        settled = now_s - self._first_s >= SETTLE_S
        return admission.find_refusal(
            load,
            request,
            now_s,
            check_sizes=settled and bool(load.pool.members),
        )

    def enqueue(self, task: QueuedTask) -> None:
        """Adds a waiting task of an admitted job.

        Args:
            task: The task.
        """
        load = self._loads[task.job.service]
        self._order.add(task, DEFAULT_RUN_S)
        load.note_waiting(task)

    def cancel_job(self, job: JobId) -> list[QueuedTask]:
        """Removes the waiting tasks of a job.

        Args:
            job: The job.

        Returns:
            The tasks that waited.
        """
        removed = self._order.remove_job(job)
        for task in removed:
            self._loads[job.service].note_unqueued(task)
        return removed

    def occupy(self, task: QueuedTask, upstream: str) -> None:
        """Books a slot for a task that an agent already has.

        Args:
            task: The task.
            upstream: Name of the upstream.
        """
        state = self._registry.states.get(upstream)
        if state is None:
            state = self._registry.announce(
                UpstreamSpec(upstream),
                available=False,
                now_s=self._now_s,
            )
        if task.task_id in state.tasks:
            return
        self._order.occupy(task)
        self._book(task, state)

    def place(self, now_s: float) -> list[PlacedTask]:
        """Books slots for waiting tasks, as many as can start now.

        Args:
            now_s: The leader's monotonic clock.

        Returns:
            The placements, in the order of the decisions.
        """
        self._observe_time(now_s)
        order = self._order
        order.begin_turn(self._ready_services(now_s), now_s)
        racks: dict[JobId, dict[str, int]] = {}
        placed: list[PlacedTask] = []
        task = order.peek()
        while task is not None:
            load = self._loads[task.job.service]
            if load.may_start:
                choice = self._place_one(task, load, racks)
                if choice is not None:
                    placed.append(PlacedTask(task, choice.spec.name))
            else:
                order.close(task.job.service)
            task = order.peek()
        self._note_drained(placed, now_s)
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
        self._observe_time(now_s)
        state = self._registry.states.get(upstream)
        if state is not None:
            self._release(state, outcome.task_id)

    def task_returned(self, upstream: str, task_id: str) -> None:
        """Frees the slot of a task that never started.

        Args:
            upstream: Name of the upstream that had it.
            task_id: Id of the task.
        """
        state = self._registry.states.get(upstream)
        if state is None:
            return
        task = self._release(state, task_id)
        if task is not None and task.job.service in self._loads:
            self._loads[task.job.service].tokens.add(1)

    def _observe_time(self, now_s: float) -> None:
        self._now_s = now_s
        if self._first_s is None:
            self._first_s = now_s

    def _count_running(self, service: str) -> int:
        return sum(
            task.job.service == service
            for state in self._registry.states.values()
            for task in state.tasks.values()
        )

    def _ready_services(self, now_s: float) -> list[str]:
        ready: list[str] = []
        for service, load in self._loads.items():
            if load.waiting:
                load.tokens.refill(now_s)
                if load.may_start:
                    ready.append(service)
        return ready

    def _place_one(
        self,
        task: QueuedTask,
        load: ServiceLoad,
        racks: dict[JobId, dict[str, int]],
    ) -> UpstreamState | None:
        job_racks = racks.setdefault(task.job, {})
        choice = self._placement.choose(task, load.pool, job_racks)
        if choice is None:
            self._order.skip()
            return None
        self._order.take(task)
        load.note_unqueued(task)
        load.tokens.add(-1)
        self._book(task, choice)
        rack = choice.spec.rack
        job_racks[rack] = job_racks.get(rack, 0) + 1
        return choice

    def _book(self, task: QueuedTask, state: UpstreamState) -> None:
        state.book(task)
        load = self._loads.get(task.job.service)
        if load is not None:
            load.running += 1
        self._registry.update(state)

    def _release(
        self,
        state: UpstreamState,
        task_id: str,
    ) -> QueuedTask | None:
        task = state.release(task_id)
        if task is None:
            return None
        self._order.release(task)
        load = self._loads.get(task.job.service)
        if load is not None:
            load.running -= 1
            assert load.running >= 0, f'{task_id} ended but none was running'
        self._registry.update(state)
        return task

    def _note_drained(self, placed: list[PlacedTask], now_s: float) -> None:
        counts: dict[str, int] = {}
        for placement in placed:
            service = placement.task.job.service
            counts[service] = counts.get(service, 0) + 1
        for service, tasks in counts.items():
            self._loads[service].drained.add(tasks, now_s)
