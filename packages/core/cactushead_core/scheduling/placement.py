"""Choice of the upstream for a task."""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Mapping

from .model import QueuedTask, RackCounts, UpstreamState
from .pool import UpstreamPool

# Slots that another data centre must have more to be preferred.
LOCAL_BONUS_SLOTS = 4
MAX_COMPARED_UPSTREAMS = 8


class PlacementPolicy(ABC):
    """Chooses among upstreams that match and have room."""

    def choose(
        self,
        task: QueuedTask,
        pool: UpstreamPool,
        racks: RackCounts,
    ) -> UpstreamState | None:
        """Returns the upstream that shall run a task, or None.

        Args:
            task: The task.
            pool: Upstreams that match the service's selector.
            racks: Tasks of the job by rack, as far as this turn placed them.
        """
        choice = self._choose(task, pool, racks)
        if choice is not None:
            assert choice.free_capacity > 0, f'{choice.spec.name} has no room'
            assert choice.fits(task), f'{task.task_id} does not fit'
        return choice

    def preference(self, state: UpstreamState) -> int:
        """Returns the preference of an upstream with room, from 1.

        Args:
            state: The upstream.
        """
        return 1

    @abstractmethod
    def _choose(
        self,
        task: QueuedTask,
        pool: UpstreamPool,
        racks: RackCounts,
    ) -> UpstreamState | None:
        """Chooses among upstreams with room."""


class FirstFitPlacement(PlacementPolicy):
    """Takes the first announced upstream with room: a baseline."""

    def _choose(
        self,
        task: QueuedTask,
        pool: UpstreamPool,
        racks: RackCounts,
    ) -> UpstreamState | None:
        for state in pool.members.values():
            if state.free_capacity > 0 and state.fits(task):
                return state
        return None


class RandomPlacement(PlacementPolicy):
    """Takes a random upstream with room: a baseline."""

    def __init__(self, seed: int = 0) -> None:
        """Seeds the choice.

        Args:
            seed: Seed of the pseudo-random generator.
        """
        self._random = random.Random(seed)

    def _choose(
        self,
        task: QueuedTask,
        pool: UpstreamPool,
        racks: RackCounts,
    ) -> UpstreamState | None:
        fitting = [
            state
            for bucket in pool.buckets()
            for state in bucket.values()
            if state.fits(task)
        ]
        return self._random.choice(fitting) if fitting else None


class SpreadPlacement(PlacementPolicy):
    """Takes the upstream with the most room, near the leader, over racks.

    Explanation:
        With exact knowledge of the slots, every upstream with a free slot
        has no expected wait, and one where a task would queue at the agent
        has one, so free slots always go first. Among upstreams with free
        slots an upstream in the leader's data centre counts as if it had
        some more, which saves a round trip between data centres but doesn't
        pack one data centre to the last slot. Among equals a rack that the
        job doesn't use yet goes first.
    """

    def __init__(self, data_centre: str = '') -> None:
        """Notes where the leader is.

        Args:
            data_centre: Data centre of the leader, empty when unknown.
        """
        self._data_centre = data_centre

    def preference(self, state: UpstreamState) -> int:
        """Returns the room, with a bonus for the leader's data centre."""
        free_capacity = state.free_capacity
        if free_capacity <= state.queue_depth or not self._data_centre:
            return free_capacity
        if state.spec.data_centre == self._data_centre:
            return free_capacity + LOCAL_BONUS_SLOTS
        return free_capacity

    def _choose(
        self,
        task: QueuedTask,
        pool: UpstreamPool,
        racks: RackCounts,
    ) -> UpstreamState | None:
        for bucket in pool.buckets():
            best = self._choose_rack(task, bucket, racks)
            if best is not None:
                return best
        return None

    def _choose_rack(
        self,
        task: QueuedTask,
        bucket: Mapping[str, UpstreamState],
        racks: RackCounts,
    ) -> UpstreamState | None:
        best: UpstreamState | None = None
        fewest = math.inf
        compared = 0
        for state in bucket.values():
            if not state.fits(task):
                continue
            on_rack = racks.get(state.spec.rack, 0)
            if on_rack < fewest:
                best = state
                fewest = on_rack
            compared += 1
            if not on_rack or compared == MAX_COMPARED_UPSTREAMS:
                break
        return best
