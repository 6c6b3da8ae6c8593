"""Reservation of upstreams for large tasks, against starvation.

Explanation:
    A large task could starve while small tasks occupy each core that becomes
    free. Once it has waited for `RESERVE_AFTER_S`, one upstream of its pool
    that is large enough gets no other tasks until the large task fits. Each
    pool has at most one reservation, for the task that was queued first, so
    that the rest of the pool continues to serve other tasks.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..documents.model import Selector
from .model import QueuedTask, UpstreamState
from .pool import UpstreamPool

RESERVE_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Reservation:
    """An upstream that is reserved for a task.

    Attributes:
        task: The task.
        state: The upstream.
    """

    task: QueuedTask
    state: UpstreamState


class Reservations:
    """The reservations, at most one in each pool."""

    def __init__(self, update: Callable[[UpstreamState], None]) -> None:
        """Creates an empty set of reservations.

        Args:
            update: Called when the free capacity of an upstream may have
                changed.
        """
        self._update = update
        self._by_selector: dict[Selector, Reservation] = {}

    def reserve_if_overdue(
        self,
        task: QueuedTask,
        pool: UpstreamPool,
        now_s: float,
    ) -> None:
        """Reserves an upstream for a task that has waited too long.

        Args:
            task: A task that fits no upstream now.
            pool: Upstreams of its service.
            now_s: Current time on the leader's monotonic clock.
        """
        if now_s - task.queued_s < RESERVE_AFTER_S:
            return
        current = self._by_selector.get(pool.selector)
        if current is not None:
            if current.task.queued_s <= task.queued_s:
                return
            self._drop(pool.selector)
        state = self._choose(task, pool)
        if state is not None:
            self._by_selector[pool.selector] = Reservation(task, state)
            state.reserved = True
            self._update(state)

    def release_all(self) -> list[Reservation]:
        """Ends all reservations, so that their tasks can be placed.

        Returns:
            The former reservations; the caller renews those whose tasks don't
            fit yet.
        """
        released = list(self._by_selector.values())
        for selector in tuple(self._by_selector):
            self._drop(selector)
        return released

    def _drop(self, selector: Selector) -> None:
        """Ends the reservation of a pool."""
        state = self._by_selector.pop(selector).state
        state.reserved = False
        self._update(state)

    def _choose(
        self,
        task: QueuedTask,
        pool: UpstreamPool,
    ) -> UpstreamState | None:
        """Returns the least loaded upstream that is large enough, or None."""
        candidates = [
            state
            for state in pool.members.values()
            if state.available
            and state.task_limit > 0
            and not state.reserved
            and state.size.can_fit(task.cores, task.memory_mb)
        ]
        return min(
            candidates,
            key=lambda state: (
                state.allocated_cores,
                state.allocated_memory_mb,
            ),
            default=None,
        )
