"""Queue of decisions that wait for the commit of their records."""

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

_Decision = TypeVar('_Decision')


@dataclass(frozen=True, slots=True)
class _PendingDecision(Generic[_Decision]):
    index: int
    decision: _Decision


class CommitQueue(Generic[_Decision]):
    """Releases decisions in log order, each at its commit level.

    Explanation:
        A decision waits either until a majority holds its record in memory
        or until a majority has synced it.

    Examples:
        >>> queue = CommitQueue()
        >>> queue.add(4, 'assign', synced=False)
        >>> queue.add(5, 'answer', synced=True)
        >>> queue.advance(memory_index=5, synced_index=3)
        ['assign']
        >>> queue.advance(memory_index=5, synced_index=5)
        ['answer']
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._memory: deque[_PendingDecision[_Decision]] = deque()
        self._synced: deque[_PendingDecision[_Decision]] = deque()

    def add(self, index: int, decision: _Decision, *, synced: bool) -> None:
        """Adds a decision that waits for the commit of a record.

        Args:
            index: Log index of the record; not below that of an earlier
                call.
            decision: The decision to release.
            synced: Whether a majority must have synced the record.
        """
        queue = self._synced if synced else self._memory
        queue.append(_PendingDecision(index, decision))

    def advance(
        self,
        memory_index: int,
        synced_index: int,
    ) -> list[_Decision]:
        """Removes and returns the decisions whose records are committed.

        Args:
            memory_index: Last index that a majority holds in memory.
            synced_index: Last index that a majority has synced.
        """
        memory_level_index = max(memory_index, synced_index)
        released = _release(self._memory, memory_level_index)
        released.extend(_release(self._synced, synced_index))
        return released


def _release(
    queue: deque[_PendingDecision[_Decision]],
    index: int,
) -> list[_Decision]:
    released: list[_Decision] = []
    while queue and queue[0].index <= index:
        released.append(queue.popleft().decision)
    return released
