"""Placement policies: which upstream runs a task."""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Mapping

from .model import QueuedTask, RackCounts, UpstreamState
from .pool import UpstreamPool

# An upstream in another data centre is preferred only if it has more free slots
# than a local one by more than this number.
LOCAL_BONUS_SLOTS = 4
MAX_COMPARED_UPSTREAMS = 8


class PlacementPolicy(ABC):
    """Chooses among the upstreams of a pool with free capacity."""

    def choose(
        self,
        task: QueuedTask,
        pool: UpstreamPool,
        racks: RackCounts,
    ) -> UpstreamState | None:
        """Returns the upstream to run a task, or None if it fits none.

        Args:
            task: The task.
            pool: Upstreams that match the selector of the service.
            racks: Number of the job's tasks that the current pass placed on
                each rack.
        """
        choice = self._choose(task, pool, racks)
        if choice is not None:
            assert choice.free_capacity > 0, (
                f'{choice.spec.name} has no free capacity'
            )
            assert choice.fits(task), (
                f'{task.task_id} does not fit the chosen upstream'
            )
        return choice

    def preference(self, state: UpstreamState) -> int:
        """Returns the preference of an upstream with free capacity, from 1.

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
        """Chooses among upstreams with free capacity."""


class FirstFitPlacement(PlacementPolicy):
    """Chooses the first announced upstream that fits; a baseline."""

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
    """Chooses a random upstream that fits; a baseline."""

    def __init__(self, seed: int = 0) -> None:
        """Creates a policy with a pseudo-random generator.

        Args:
            seed: Seed of the generator.
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
    """Chooses the upstream with the most free capacity; spreads over racks.

    Explanation:
        The leader knows the free slots exactly. A task starts at once on an
        upstream with a free slot but waits where it would queue at the agent,
        so upstreams with free slots are always preferred. Among these, a
        bonus for the leader's data centre saves a round trip between data
        centres without filling the local one completely. Among a few upstreams
        of equal preference, the rack with the fewest tasks of the job is
        chosen.
    """

    def __init__(self, data_centre: str = '') -> None:
        """Creates a policy for a leader's location.

        Args:
            data_centre: Data centre of the leader, empty if unknown.
        """
        self._data_centre = data_centre

    def preference(self, state: UpstreamState) -> int:
        """Returns the free capacity plus a bonus in the local data centre."""
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
        """Returns the upstream on the rack with fewest tasks of the job."""
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
