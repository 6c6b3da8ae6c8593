"""Choice of the upstream for a task."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from .model import QueuedTask, UpstreamState


class PlacementPolicy(ABC):
    """Chooses among upstreams that have a free slot and match."""

    def choose(
        self,
        task: QueuedTask,
        upstreams: Sequence[UpstreamState],
    ) -> UpstreamState | None:
        """Returns the upstream that shall run a task, or None.

        Args:
            task: The task.
            upstreams: Upstreams that match the service's selector.
        """
        free = [
            upstream
            for upstream in upstreams
            if upstream.available and upstream.free_slots > 0
        ]
        if not free:
            return None
        return self._choose(task, free)

    @abstractmethod
    def _choose(
        self,
        task: QueuedTask,
        free: Sequence[UpstreamState],
    ) -> UpstreamState | None:
        """Chooses among upstreams with a free slot."""


class FirstFitPlacement(PlacementPolicy):
    """Takes the first upstream with a free slot: the baseline."""

    def _choose(
        self,
        task: QueuedTask,
        free: Sequence[UpstreamState],
    ) -> UpstreamState | None:
        return free[0]
