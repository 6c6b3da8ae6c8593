"""Choice of the upstream for a task."""

import random
from abc import ABC, abstractmethod

from .model import QueuedTask, RackCounts, UpstreamState
from .pool import UpstreamPool


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
            assert choice.room > 0, f'{choice.spec.name} has no room'
            assert choice.fits(task), f'{task.task_id} does not fit'
        return choice

    def prefer(self, state: UpstreamState) -> int:
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
            if state.room > 0 and state.fits(task):
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
