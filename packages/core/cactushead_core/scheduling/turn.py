"""One turn of placements: waiting tasks that can start now."""

from ..jobs.model import JobId
from .bookings import Bookings
from .model import PlacedTask, QueuedTask, UpstreamState, WorkerSize
from .placement import PlacementPolicy
from .pool import UpstreamPool
from .reservation import Reservations
from .service import ServiceLoad

# The last slots of a pool are kept for others than a caller that holds more
# than half of it, so that a small caller need not wait for a slot.
HEADROOM_SHARE = 0.025
DOMINANT_SHARE = 0.5


class PlacementTurn:
    """Books slots for waiting tasks, in the order of their turn."""

    def __init__(
        self,
        bookings: Bookings,
        placement: PlacementPolicy,
        reservations: Reservations,
        now_s: float,
    ) -> None:
        """Prepares a turn.

        Args:
            bookings: Waiting tasks, upstreams and service loads.
            placement: Chooses upstreams.
            reservations: Upstreams kept free for tasks that fit badly.
            now_s: The leader's monotonic clock.
        """
        self._bookings = bookings
        self._order = bookings.order
        self._loads = bookings.loads
        self._placement = placement
        self._reservations = reservations
        self._now_s = now_s
        self._racks: dict[JobId, dict[str, int]] = {}
        self._last_job: JobId | None = None
        self._last_racks: dict[str, int] = {}
        self._misfits: dict[UpstreamPool, list[WorkerSize]] = {}
        self._placed: list[PlacedTask] = []

    def run(self) -> list[PlacedTask]:
        """Places what can start now.

        Returns:
            The placements, in the order of the decisions.
        """
        self._refill_tokens()
        self._place_reserved()
        order = self._order
        order.begin_turn(self._ready_services())
        task = order.peek()
        while task is not None:
            load = self._loads[task.job.service]
            if load.may_start:
                self._offer(task, load)
            else:
                order.close(task.job.service)
            task = order.peek()
        self._note_drained()
        return self._placed

    def _refill_tokens(self) -> None:
        for load in self._loads.values():
            if load.waiting and load.tokens.rate_per_s > 0:
                load.tokens.refill(self._now_s)

    def _ready_services(self) -> list[str]:
        return [
            service
            for service, load in self._loads.items()
            if load.waiting and load.may_start
        ]

    def _offer(self, task: QueuedTask, load: ServiceLoad) -> None:
        if self._must_leave_room(task, load):
            self._order.defer_caller()
            return
        racks = self._racks_of(task.job)
        choice = None
        if not self._is_misfit(task, load.pool):
            choice = self._placement.choose(task, load.pool, racks)
        if choice is None:
            self._order.skip()
            self._note_misfit(task, load.pool)
            return
        self._start(task, load, choice)
        rack = choice.spec.rack
        racks[rack] = racks.get(rack, 0) + 1

    def _is_misfit(self, task: QueuedTask, pool: UpstreamPool) -> bool:
        return any(
            task.cores >= size.cores and task.memory_mb >= size.memory_mb
            for size in self._misfits.get(pool, ())
        )

    def _note_misfit(self, task: QueuedTask, pool: UpstreamPool) -> None:
        # Room only shrinks within a turn, so what is as large fits neither.
        if not self._is_misfit(task, pool):
            size = WorkerSize(task.cores, task.memory_mb)
            self._misfits.setdefault(pool, []).append(size)
        self._reservations.note_misfit(task, pool, self._now_s)

    def _racks_of(self, job: JobId) -> dict[str, int]:
        if job is not self._last_job:
            self._last_job = job
            self._last_racks = self._racks.setdefault(job, {})
        return self._last_racks

    def _must_leave_room(self, task: QueuedTask, load: ServiceLoad) -> bool:
        pool = load.pool
        if pool.room > int(pool.slots * HEADROOM_SHARE):
            return False
        held = self._order.held_by_caller(task)
        return held > pool.slots * DOMINANT_SHARE

    def _place_reserved(self) -> None:
        for reservation in self._reservations.release_all():
            task = reservation.task
            state = reservation.state
            load = self._loads[task.job.service]
            if not (self._order.holds(task) and load.may_start):
                continue
            if state.room > 0 and state.fits(task):
                self._start(task, load, state)
            else:
                self._reservations.note_misfit(task, load.pool, self._now_s)

    def _start(
        self,
        task: QueuedTask,
        load: ServiceLoad,
        state: UpstreamState,
    ) -> None:
        self._bookings.start(task, load, state)
        self._placed.append(PlacedTask(task, state.spec.name))

    def _note_drained(self) -> None:
        counts: dict[str, int] = {}
        for placement in self._placed:
            service = placement.task.job.service
            counts[service] = counts.get(service, 0) + 1
        for service, tasks in counts.items():
            load = self._loads[service]
            load.drained.add(tasks, self._now_s)
            load.restarts.note_starts(tasks, self._now_s)
