"""The leader's scheduler."""

import math
from collections.abc import Callable

from ..agents.model import OutcomeStatus, TaskOutcome, UpstreamSpec
from ..documents.model import ServiceDocument
from ..jobs.model import JobId, JobRequest, Refusal, RefusalReason
from . import admission
from .allocations import SlotAllocations
from .health import HealthMonitor
from .model import PlacedTask, QueuedTask, UpstreamState
from .notices import SchedulerNotice
from .order import TaskOrder
from .placement import PlacementPolicy
from .placement_pass import PlacementPass
from .registry import UpstreamRegistry
from .reservation import Reservations
from .restarts import restart_is_allowed
from .service import ServiceLoad

# Every running agent announces itself to a new leader within this time.
ANNOUNCEMENT_WAIT_S = 1.0
FAILURE_STATUSES = frozenset((OutcomeStatus.FAILED, OutcomeStatus.UNKNOWN))


class Scheduler:
    """Decides which waiting task starts on which upstream.

    Explanation:
        The leader creates a new scheduler when its term begins, fills it
        from the replicated state and the agents' reports, and calls `place`
        once per iteration of its event loop. `place` allocates slots;
        `task_ended` and `task_returned` release them.

        A new document applies to later decisions only: running tasks
        continue and waiting tasks stay queued even above a lowered limit, but
        they start only within the new limits and on upstreams that match the
        new selector. Waiting tasks of a draining or stopped service still
        start; the leader cancels those that the stop policy of the service
        doesn't allow to finish.
    """

    def __init__(
        self,
        make_order: Callable[[], TaskOrder],
        placement: PlacementPolicy,
        *,
        queue_depth: int = 0,
    ) -> None:
        """Creates a scheduler without documents, tasks and upstreams.

        Args:
            make_order: Creates the queue of waiting tasks.
            placement: Policy that chooses upstreams.
            queue_depth: Tasks that may wait at an agent beyond its slots,
                which hides the round-trip time between two starts. Tasks that
                wait there can't be overtaken, so 0 is best unless run times
                are as short as the round-trip time.
        """
        self._placement = placement
        self._registry = UpstreamRegistry(placement.preference, queue_depth)
        self._allocations = SlotAllocations(make_order(), self._registry)
        self._health = HealthMonitor(self._registry)
        self._reservations = Reservations(self._registry.update)
        self._first_call_s: float | None = None
        self._now_s = 0.0

    @property
    def waiting_tasks(self) -> int:
        """Number of waiting tasks of all services."""
        return len(self._allocations.order)

    @property
    def running_tasks(self) -> int:
        """Number of tasks of all services that occupy slots."""
        states = self._registry.states.values()
        return sum(len(state.tasks) for state in states)

    def set_document(self, document: ServiceDocument, now_s: float) -> None:
        """Applies a new or changed document.

        Args:
            document: The document.
            now_s: Current time on the leader's monotonic clock.
        """
        self._observe_time(now_s)
        pool = self._registry.pool(document.upstreams)
        load = self._allocations.loads.get(document.service)
        if load is None:
            load = ServiceLoad(document, pool)
            load.running = self._allocations.count_running(document.service)
            self._allocations.loads[document.service] = load
        load.apply_document(document, pool, now_s)
        self._health.retain_kinds(document.service, load.kinds)
        self._registry.retain_pools(
            {
                load.document.upstreams
                for load in self._allocations.loads.values()
            },
        )

    def set_upstream(
        self,
        spec: UpstreamSpec,
        *,
        available: bool,
        now_s: float,
    ) -> None:
        """Adds or updates an upstream that an agent announced.

        Args:
            spec: The announced upstream.
            available: Whether it may get tasks.
            now_s: Current time on the leader's monotonic clock.
        """
        self._observe_time(now_s)
        state = self._registry.register(
            spec,
            available=available,
            now_s=now_s,
        )
        self._health.apply(state)

    def set_unavailable(self, upstream: str, now_s: float) -> None:
        """Marks an upstream as unavailable: it gets no tasks for now.

        Args:
            upstream: Name of the upstream.
            now_s: Current time on the leader's monotonic clock.
        """
        self._observe_time(now_s)
        state = self._registry.states.get(upstream)
        if state is not None:
            state.available = False
            self._registry.update(state)

    def remove_upstream(self, upstream: str) -> None:
        """Removes an upstream whose agent is gone and releases its tasks.

        Args:
            upstream: Name of the upstream.
        """
        state = self._registry.states.get(upstream)
        if state is None:
            return
        for task_id in tuple(state.tasks):
            self._allocations.release(state, task_id)
        self._registry.remove(state, self._now_s)
        self._health.discard_outcomes(upstream)

    def find_refusal(
        self,
        request: JobRequest,
        now_s: float,
    ) -> Refusal | None:
        """Returns why a job can't be admitted now, or None.

        Args:
            request: The submitted job.
            now_s: Current time on the leader's monotonic clock.
        """
        self._observe_time(now_s)
        load = self._allocations.loads.get(request.job.service)
        if load is None:
            return Refusal(RefusalReason.UNKNOWN_SERVICE)
        all_announced = now_s - self._first_call_s >= ANNOUNCEMENT_WAIT_S
        return admission.find_refusal(
            load,
            request,
            now_s,
            check_sizes=all_announced and bool(load.pool.members),
        )

    def enqueue(self, task: QueuedTask) -> None:
        """Queues a task of an admitted job.

        Args:
            task: The task.
        """
        self._allocations.enqueue(task)

    def cancel_job(self, job: JobId) -> list[QueuedTask]:
        """Removes the waiting tasks of a job.

        Args:
            job: The job.

        Returns:
            The removed tasks.
        """
        removed = self._allocations.order.remove_job(job)
        for task in removed:
            self._allocations.loads[job.service].remove_waiting(task)
        return removed

    def add_running(self, task: QueuedTask, upstream: str) -> None:
        """Allocates a slot to a task that an agent already has.

        Args:
            task: The task.
            upstream: Name of the upstream.
        """
        state = self._registry.states.get(upstream)
        if state is None:
            state = self._registry.register(
                UpstreamSpec(upstream),
                available=False,
                now_s=self._now_s,
            )
        self._allocations.add_running(task, state)

    def place(self, now_s: float) -> list[PlacedTask]:
        """Allocates slots to the waiting tasks that can start now.

        Args:
            now_s: Current time on the leader's monotonic clock.

        Returns:
            The placements, in the order of the decisions.
        """
        self._observe_time(now_s)
        self._health.advance(now_s)
        placement_pass = PlacementPass(
            self._allocations,
            self._placement,
            self._reservations,
            now_s,
        )
        return placement_pass.run()

    def task_ended(
        self,
        upstream: str,
        outcome: TaskOutcome,
        now_s: float,
    ) -> None:
        """Releases the slot of an ended task and records its outcome.

        Args:
            upstream: Name of the upstream that ran it.
            outcome: Outcome of the task.
            now_s: Current time on the leader's monotonic clock.
        """
        self._observe_time(now_s)
        state = self._registry.states.get(upstream)
        if state is None:
            return
        task = self._allocations.release(state, outcome.task_id)
        if task is not None:
            self._record_outcome(task, outcome, state)

    def may_restart(
        self,
        task: QueuedTask,
        outcome: TaskOutcome,
        now_s: float,
    ) -> bool:
        """Decides whether a failed task may restart, and counts the restart.

        Args:
            task: The task as it was started.
            outcome: Outcome of that start.
            now_s: Current time on the leader's monotonic clock.

        Returns:
            Whether the task may be queued for its next start.
        """
        load = self._allocations.loads[task.job.service]
        kind = load.kinds.get(task.kind)
        if kind is None or not restart_is_allowed(kind, task, outcome, now_s):
            return False
        return load.restarts.try_acquire(now_s)

    def task_returned(self, upstream: str, task_id: str) -> None:
        """Releases the slot of a task that its agent did not start.

        Args:
            upstream: Name of the upstream that it was sent to.
            task_id: Id of the task.
        """
        state = self._registry.states.get(upstream)
        if state is None:
            return
        task = self._allocations.release(state, task_id)
        if task is not None and task.job.service in self._allocations.loads:
            self._allocations.loads[task.job.service].start_tokens.add(1)

    def drain_notices(self) -> list[SchedulerNotice]:
        """Returns and removes the notices since the last call."""
        return self._health.drain_notices()

    def next_wakeup_s(self, now_s: float) -> float | None:
        """Returns when `place` may place more tasks without another event.

        Args:
            now_s: Current time on the leader's monotonic clock.

        Returns:
            Time on the leader's clock, or None if only an event can change the
            result.
        """
        times = [self._health.next_change_s]
        for load in self._allocations.loads.values():
            if load.waiting and not load.start_tokens.allows_start:
                times.append(load.start_tokens.next_start_s())
        wakeup_s = min(times)
        return max(now_s, wakeup_s) if wakeup_s < math.inf else None

    def check_invariants(self) -> None:
        """Recounts all tasks and compares the results with the counters.

        Raises:
            AssertionError: A counter is wrong.
        """
        self._allocations.check_invariants()

    def _observe_time(self, now_s: float) -> None:
        """Stores the current time, and the time of the first call."""
        self._now_s = now_s
        if self._first_call_s is None:
            self._first_call_s = now_s

    def _record_outcome(
        self,
        task: QueuedTask,
        outcome: TaskOutcome,
        state: UpstreamState,
    ) -> None:
        """Updates run time estimates and health with an outcome."""
        service = task.job.service
        load = self._allocations.loads.get(service)
        if load is None or task.kind not in load.estimates:
            return
        status = outcome.status
        succeeded = status is OutcomeStatus.SUCCEEDED
        log_slowdown = 0.0
        if succeeded:
            estimate = load.estimates[task.kind]
            log_slowdown = estimate.log_slowdown(outcome.run_s)
            estimate.observe(outcome.run_s)
        if succeeded or status in FAILURE_STATUSES:
            self._health.record(
                state,
                (service, task.kind),
                self._now_s,
                failed=not succeeded,
                log_slowdown=log_slowdown,
            )
