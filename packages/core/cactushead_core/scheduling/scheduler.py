"""The leader's scheduler: waiting tasks, upstreams and limits."""

from collections.abc import Callable

from ..agents.model import OutcomeStatus, TaskOutcome, UpstreamSpec
from ..documents.model import ServiceDocument
from ..jobs.model import JobId, JobRequest, Refusal, RefusalReason
from . import admission
from .bookings import Bookings
from .model import PlacedTask, QueuedTask
from .order import TaskOrder
from .placement import PlacementPolicy
from .registry import UpstreamRegistry
from .reservation import Reservations
from .service import ServiceLoad
from .turn import PlacementTurn

# A new leader has heard of every living agent by then.
SETTLE_S = 1.0


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
        *,
        queue_depth: int = 0,
    ) -> None:
        """Starts without documents, tasks and upstreams.

        Args:
            make_order: Makes the queue.
            placement: Chooses upstreams.
            queue_depth: Tasks that may wait at an agent beyond its slots,
                to hide the round trip between two starts.
        """
        self._placement = placement
        self._registry = UpstreamRegistry(placement.prefer, queue_depth)
        self._bookings = Bookings(make_order(), self._registry)
        self._reservations = Reservations(self._registry.update)
        self._first_s: float | None = None
        self._now_s = 0.0

    @property
    def waiting_tasks(self) -> int:
        """Tasks that wait, of all services."""
        return len(self._bookings.order)

    @property
    def running_tasks(self) -> int:
        """Tasks that occupy slots, of all services."""
        states = self._registry.states.values()
        return sum(len(state.tasks) for state in states)

    def set_document(self, document: ServiceDocument, now_s: float) -> None:
        """Puts a document in force.

        Args:
            document: The document.
            now_s: The leader's monotonic clock.
        """
        self._observe_time(now_s)
        pool = self._registry.pool(document.upstreams)
        load = self._bookings.loads.get(document.service)
        if load is None:
            load = ServiceLoad(document, pool)
            load.running = self._bookings.count_running(document.service)
            self._bookings.loads[document.service] = load
        load.apply_document(document, pool, now_s)
        self._registry.keep_pools(
            {load.document.upstreams for load in self._bookings.loads.values()},
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
            self._bookings.release(state, task_id)
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
        load = self._bookings.loads.get(request.job.service)
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
        self._bookings.wait(task)

    def cancel_job(self, job: JobId) -> list[QueuedTask]:
        """Removes the waiting tasks of a job.

        Args:
            job: The job.

        Returns:
            The tasks that waited.
        """
        removed = self._bookings.order.remove_job(job)
        for task in removed:
            self._bookings.loads[job.service].note_unqueued(task)
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
        self._bookings.occupy(task, state)

    def place(self, now_s: float) -> list[PlacedTask]:
        """Books slots for waiting tasks, as many as can start now.

        Args:
            now_s: The leader's monotonic clock.

        Returns:
            The placements, in the order of the decisions.
        """
        self._observe_time(now_s)
        turn = PlacementTurn(
            self._bookings,
            self._placement,
            self._reservations,
            now_s,
        )
        return turn.run()

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
        if state is None:
            return
        task = self._bookings.release(state, outcome.task_id)
        if task is not None:
            self._learn(task, outcome)

    def task_returned(self, upstream: str, task_id: str) -> None:
        """Frees the slot of a task that never started.

        Args:
            upstream: Name of the upstream that had it.
            task_id: Id of the task.
        """
        state = self._registry.states.get(upstream)
        if state is None:
            return
        task = self._bookings.release(state, task_id)
        if task is not None and task.job.service in self._bookings.loads:
            self._bookings.loads[task.job.service].tokens.add(1)

    def check_invariants(self) -> None:
        """Checks the counts against each other; scans all.

        Raises:
            AssertionError: A count doesn't match what it counts.
        """
        self._bookings.check_invariants()

    def _observe_time(self, now_s: float) -> None:
        self._now_s = now_s
        if self._first_s is None:
            self._first_s = now_s

    def _learn(self, task: QueuedTask, outcome: TaskOutcome) -> None:
        load = self._bookings.loads.get(task.job.service)
        if load is not None and outcome.status is OutcomeStatus.SUCCEEDED:
            estimate = load.estimates.get(task.kind)
            if estimate is not None:
                estimate.observe(outcome.run_s)
