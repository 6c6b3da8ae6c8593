"""The leader's scheduler: waiting tasks, upstreams and limits."""

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

# A new leader has heard of every living agent by then.
ANNOUNCEMENT_WAIT_S = 1.0
FAULTS = frozenset((OutcomeStatus.FAILED, OutcomeStatus.UNKNOWN))


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
                to hide the round trip between two starts. A task that waits
                there can't be overtaken any more, so 0 is best unless tasks
                are as short as the round trip.
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
        """Tasks that wait, of all services."""
        return len(self._allocations.order)

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
        """Notes what an agent announced and whether it may be given tasks.

        Args:
            spec: The announced upstream.
            available: Whether it may be given tasks.
            now_s: The leader's monotonic clock.
        """
        self._observe_time(now_s)
        state = self._registry.register(
            spec,
            available=available,
            now_s=now_s,
        )
        self._health.apply(state)

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
            self._allocations.release(state, task_id)
        self._registry.remove(state, self._now_s)
        self._health.discard_outcomes(upstream)

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
        """Adds a waiting task of an admitted job.

        Args:
            task: The task.
        """
        self._allocations.enqueue(task)

    def cancel_job(self, job: JobId) -> list[QueuedTask]:
        """Removes the waiting tasks of a job.

        Args:
            job: The job.

        Returns:
            The tasks that waited.
        """
        removed = self._allocations.order.remove_job(job)
        for task in removed:
            self._allocations.loads[job.service].remove_waiting(task)
        return removed

    def add_running(self, task: QueuedTask, upstream: str) -> None:
        """Books a slot for a task that an agent already has.

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
        """Books slots for waiting tasks, as many as can start now.

        Args:
            now_s: The leader's monotonic clock.

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
        task = self._allocations.release(state, outcome.task_id)
        if task is not None:
            self._record_outcome(task, outcome, state)

    def may_restart(
        self,
        task: QueuedTask,
        outcome: TaskOutcome,
        now_s: float,
    ) -> bool:
        """Decides on another start after a failure, and counts it.

        Args:
            task: The task as it was started.
            outcome: How that start ended.
            now_s: The leader's monotonic clock.

        Returns:
            Whether the task may be queued for its next start.
        """
        load = self._allocations.loads[task.job.service]
        kind = load.kinds.get(task.kind)
        if kind is None or not restart_is_allowed(kind, task, outcome, now_s):
            return False
        return load.restarts.try_acquire(now_s)

    def task_returned(self, upstream: str, task_id: str) -> None:
        """Frees the slot of a task that never started.

        Args:
            upstream: Name of the upstream that had it.
            task_id: Id of the task.
        """
        state = self._registry.states.get(upstream)
        if state is None:
            return
        task = self._allocations.release(state, task_id)
        if task is not None and task.job.service in self._allocations.loads:
            self._allocations.loads[task.job.service].start_tokens.add(1)

    def drain_notices(self) -> list[SchedulerNotice]:
        """Returns the notices since the last call, for the log."""
        return self._health.drain_notices()

    def next_wakeup_s(self, now_s: float) -> float | None:
        """Returns when `place` may decide otherwise without any event.

        Args:
            now_s: The leader's monotonic clock.

        Returns:
            A time on the leader's clock, or None when only events matter.
        """
        times = [self._health.next_change_s]
        for load in self._allocations.loads.values():
            if load.waiting and not load.start_tokens.allows_start:
                times.append(load.start_tokens.next_start_s())
        wakeup_s = min(times)
        return max(now_s, wakeup_s) if wakeup_s < math.inf else None

    def check_invariants(self) -> None:
        """Checks the counts against each other; scans all.

        Raises:
            AssertionError: A count doesn't match what it counts.
        """
        self._allocations.check_invariants()

    def _observe_time(self, now_s: float) -> None:
        self._now_s = now_s
        if self._first_call_s is None:
            self._first_call_s = now_s

    def _record_outcome(
        self,
        task: QueuedTask,
        outcome: TaskOutcome,
        state: UpstreamState,
    ) -> None:
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
        if succeeded or status in FAULTS:
            self._health.record(
                state,
                (service, task.kind),
                self._now_s,
                failed=not succeeded,
                log_slowdown=log_slowdown,
            )
