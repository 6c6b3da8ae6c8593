"""What of the log is on its way to disk and what is there.

Explanation:
    `LogSynced` names the last entry of a synced append. An entry may be cut
    and come back while its first append is still on its way, so the term at
    the index is not enough: appends are confirmed in their order, and an
    entry counts only when no later append that is still on its way starts
    at or before it.
"""

from collections import deque
from dataclasses import dataclass

from ..effects import LogEntry


@dataclass(frozen=True, slots=True)
class PendingAppend:
    """An append that is not confirmed yet.

    Attributes:
        first_index: Index of its first entry.
        last_term: Term of its last entry.
        last_index: Index of its last entry.
    """

    first_index: int
    last_term: int
    last_index: int


class DiskProgress:
    """Index up to which the present log is on disk."""

    def __init__(self, synced_index: int) -> None:
        """Starts with what the disk held.

        Args:
            synced_index: Index of the last entry on disk.
        """
        self.synced_index = synced_index
        self.unwritten_index = synced_index + 1
        self._pending: deque[PendingAppend] = deque()

    def append_started(self, entries: tuple[LogEntry, ...]) -> None:
        """Notes that an append is on its way.

        Args:
            entries: Its entries.
        """
        last = entries[-1]
        pending = PendingAppend(entries[0].index, last.term, last.index)
        self._pending.append(pending)
        self.unwritten_index = last.index + 1

    def truncated_from(self, index: int) -> None:
        """Notes that entries from an index on are replaced."""
        self.synced_index = min(self.synced_index, index - 1)
        self.unwritten_index = min(self.unwritten_index, index)

    def append_synced(self, term: int, index: int) -> None:
        """Takes a `LogSynced` event; one of unknown appends is void.

        Args:
            term: Term of the last synced entry.
            index: Its index.
        """
        position = self._find(term, index)
        if position is None:
            return
        for _ in range(position + 1):
            self._pending.popleft()
        first_indices = [pending.first_index for pending in self._pending]
        bound = min([index, *[first - 1 for first in first_indices]])
        bound = min(bound, self.unwritten_index - 1)
        self.synced_index = max(self.synced_index, bound)

    def snapshot_saved(self, index: int) -> None:
        """Notes that a snapshot up to an index is on disk."""
        self.synced_index = max(self.synced_index, index)

    def replaced_by_snapshot(self, index: int, agreed_index: int) -> None:
        """Notes that a snapshot replaces the whole log.

        Args:
            index: Index of the snapshot.
            agreed_index: Index up to which the old log agrees with it.
        """
        self._pending.clear()
        self.synced_index = min(self.synced_index, agreed_index)
        self.unwritten_index = index + 1

    def _find(self, term: int, index: int) -> int | None:
        for position, pending in enumerate(self._pending):
            if (pending.last_term, pending.last_index) == (term, index):
                return position
        return None
