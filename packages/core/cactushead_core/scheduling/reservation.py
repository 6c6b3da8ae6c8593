"""Upstreams kept free for tasks that fit nowhere else.

Explanation:
    A large task could wait forever while small ones take each core that
    comes free. Once it has waited long enough, one upstream of its pool that
    could hold it gets no other task, until the large one fits. There is one
    reservation per pool, for the task that was queued first, so that the
    rest of the pool goes on.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..documents.model import Selector
from .model import QueuedTask, UpstreamState
from .pool import UpstreamPool

RESERVE_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Reservation:
    """An upstream that is kept free for a task.

    Attributes:
        task: The task.
        state: The upstream.
    """

    task: QueuedTask
    state: UpstreamState


class Reservations:
    """At most one reserved upstream in each pool."""

    def __init__(self, update: Callable[[UpstreamState], None]) -> None:
        """Starts without reservations.

        Args:
            update: Notes that the room of an upstream changed.
        """
        self._update = update
        self._by_selector: dict[Selector, Reservation] = {}

    def reserve_if_overdue(
        self,
        task: QueuedTask,
        pool: UpstreamPool,
        now_s: float,
    ) -> None:
        """Reserves an upstream for a task that fits nowhere and is old.

        Args:
            task: The task.
            pool: Upstreams of its service.
            now_s: The leader's monotonic clock.
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
        """Ends all reservations, so that their tasks can be tried.

        Returns:
            What was reserved; tasks that don't fit yet are noted again.
        """
        released = list(self._by_selector.values())
        for selector in tuple(self._by_selector):
            self._drop(selector)
        return released

    def _drop(self, selector: Selector) -> None:
        state = self._by_selector.pop(selector).state
        state.reserved = False
        self._update(state)

    def _choose(
        self,
        task: QueuedTask,
        pool: UpstreamPool,
    ) -> UpstreamState | None:
        candidates = [
            state
            for state in pool.members.values()
            if state.available
            and state.task_limit > 0
            and not state.reserved
            and state.size.holds(task.cores, task.memory_mb)
        ]
        return min(
            candidates,
            key=lambda state: (
                state.allocated_cores,
                state.allocated_memory_mb,
            ),
            default=None,
        )
