"""One placement pass over the waiting tasks."""

from ..jobs.model import JobId
from .allocations import SlotAllocations
from .model import PlacedTask, QueuedTask, UpstreamState, WorkerSize
from .placement import PlacementPolicy
from .pool import UpstreamPool
from .reservation import Reservations
from .service import ServiceLoad

# A caller that occupies more than half of a pool can't use its last slots, so
# that callers with few tasks need not wait for a slot.
HEADROOM_SHARE = 0.025
DOMINANT_SHARE = 0.5


class PlacementPass:
    """Allocates slots to the waiting tasks that can start now, in order."""

    def __init__(
        self,
        allocations: SlotAllocations,
        placement: PlacementPolicy,
        reservations: Reservations,
        now_s: float,
    ) -> None:
        """Prepares a placement pass.

        Args:
            allocations: Waiting tasks, upstreams and state of the services.
            placement: Policy that chooses upstreams.
            reservations: Upstreams reserved for large tasks.
            now_s: Current time on the leader's monotonic clock.
        """
        self._allocations = allocations
        self._order = allocations.order
        self._loads = allocations.loads
        self._placement = placement
        self._reservations = reservations
        self._now_s = now_s
        self._racks: dict[JobId, dict[str, int]] = {}
        self._last_job: JobId | None = None
        self._last_racks: dict[str, int] = {}
        self._unplaceable_sizes: dict[UpstreamPool, list[WorkerSize]] = {}
        self._placed: list[PlacedTask] = []

    def run(self) -> list[PlacedTask]:
        """Places the tasks that can start now.

        Returns:
            The placements, in the order of the decisions.
        """
        self._refill_tokens()
        self._place_reserved()
        order = self._order
        order.begin_pass(self._ready_services())
        task = order.peek()
        while task is not None:
            load = self._loads[task.job.service]
            if load.may_start:
                self._try_place(task, load)
            else:
                order.exclude_service(task.job.service)
            task = order.peek()
        self._record_starts()
        return self._placed

    def _refill_tokens(self) -> None:
        """Refills the token buckets of services with waiting tasks."""
        for load in self._loads.values():
            if load.waiting and load.start_tokens.rate_per_s > 0:
                load.start_tokens.refill(self._now_s)

    def _ready_services(self) -> list[str]:
        """Returns the services with waiting tasks that may start."""
        return [
            service
            for service, load in self._loads.items()
            if load.waiting and load.may_start
        ]

    def _try_place(self, task: QueuedTask, load: ServiceLoad) -> None:
        """Places a candidate, or skips it or its caller for this pass."""
        if self._must_keep_headroom(task, load):
            self._order.defer_caller()
            return
        racks = self._racks_of(task.job)
        choice = None
        if not self._is_unplaceable(task, load.pool):
            choice = self._placement.choose(task, load.pool, racks)
        if choice is None:
            self._order.skip()
            self._mark_unplaceable(task, load.pool)
            return
        self._start(task, load, choice)
        rack = choice.spec.rack
        racks[rack] = racks.get(rack, 0) + 1

    def _is_unplaceable(self, task: QueuedTask, pool: UpstreamPool) -> bool:
        """Whether a task is as large as one that fitted no upstream."""
        return any(
            task.cores >= size.cores and task.memory_mb >= size.memory_mb
            for size in self._unplaceable_sizes.get(pool, ())
        )

    def _mark_unplaceable(self, task: QueuedTask, pool: UpstreamPool) -> None:
        """Records the size of a task that fits no upstream of its pool."""
        # Free capacity only shrinks during a pass, so tasks of at least this
        # size don't fit either.
        if not self._is_unplaceable(task, pool):
            size = WorkerSize(task.cores, task.memory_mb)
            self._unplaceable_sizes.setdefault(pool, []).append(size)
        self._reservations.reserve_if_overdue(task, pool, self._now_s)

    def _racks_of(self, job: JobId) -> dict[str, int]:
        """Returns the number of tasks of a job placed on each rack."""
        if job is not self._last_job:
            self._last_job = job
            self._last_racks = self._racks.setdefault(job, {})
        return self._last_racks

    def _must_keep_headroom(self, task: QueuedTask, load: ServiceLoad) -> bool:
        """Whether the last slots are denied to a dominant caller."""
        pool = load.pool
        if pool.free_capacity > int(pool.slots * HEADROOM_SHARE):
            return False
        occupied = self._order.running_by_caller(task)
        return occupied > pool.slots * DOMINANT_SHARE

    def _place_reserved(self) -> None:
        """Places tasks with a reservation, or renews the reservation."""
        for reservation in self._reservations.release_all():
            task = reservation.task
            state = reservation.state
            load = self._loads[task.job.service]
            if not (self._order.contains(task) and load.may_start):
                continue
            if state.free_capacity > 0 and state.fits(task):
                self._start(task, load, state)
            else:
                self._reservations.reserve_if_overdue(
                    task, load.pool, self._now_s
                )

    def _start(
        self,
        task: QueuedTask,
        load: ServiceLoad,
        state: UpstreamState,
    ) -> None:
        """Allocates a slot to a task and records the placement."""
        self._allocations.start(task, load, state)
        self._placed.append(PlacedTask(task, state.spec.name))

    def _record_starts(self) -> None:
        """Updates drain rates and restart budgets with the placements."""
        counts: dict[str, int] = {}
        for placement in self._placed:
            service = placement.task.job.service
            counts[service] = counts.get(service, 0) + 1
        for service, tasks in counts.items():
            load = self._loads[service]
            load.drain_rate.add(tasks, self._now_s)
            load.restarts.add_starts(tasks, self._now_s)
