"""Tracks which log entries are synced to disk and which are being written.

Explanation:
    `LogSynced` carries term and index of the last entry of a synced append.
    An entry may be truncated and appended again while its first append is
    still pending, so comparing the term at the index is not enough. Appends
    are synced in the order in which they were started, and an entry counts
    as synced only when no later pending append starts at or before it.
"""

from collections import deque
from dataclasses import dataclass

from ..effects import LogEntry


@dataclass(frozen=True, slots=True)
class PendingAppend:
    """An append that has been started and is not synced yet.

    Attributes:
        first_index: Index of its first entry.
        last_term: Term of its last entry.
        last_index: Index of its last entry.
    """

    first_index: int
    last_term: int
    last_index: int


class DiskProgress:
    """Tracks the index up to which the current log is synced to disk.

    Attributes:
        synced_index: Index of the last entry that is synced to disk.
        unwritten_index: Index of the first entry whose append has not been
            started.
    """

    def __init__(self, synced_index: int) -> None:
        """Initializes from the log found on disk.

        Args:
            synced_index: Index of the last entry on disk.
        """
        self.synced_index = synced_index
        self.unwritten_index = synced_index + 1
        self._pending: deque[PendingAppend] = deque()

    def append_started(self, entries: tuple[LogEntry, ...]) -> None:
        """Records that an append has been started.

        Args:
            entries: Entries of the append, at least one.
        """
        last = entries[-1]
        pending = PendingAppend(entries[0].index, last.term, last.index)
        self._pending.append(pending)
        self.unwritten_index = last.index + 1

    def truncated_from(self, index: int) -> None:
        """Records that the log was truncated from an index on."""
        self.synced_index = min(self.synced_index, index - 1)
        self.unwritten_index = min(self.unwritten_index, index)

    def append_synced(self, term: int, index: int) -> None:
        """Handles a `LogSynced` event; ignores one of an unknown append.

        Args:
            term: Term of the last synced entry.
            index: Index of the last synced entry.
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
        """Records that a snapshot up to an index is on disk."""
        self.synced_index = max(self.synced_index, index)

    def replaced_by_snapshot(self, index: int, agreed_index: int) -> None:
        """Records that a snapshot has replaced all entries of the log.

        Args:
            index: Index of the last entry that the snapshot covers.
            agreed_index: Index up to which the replaced log matches the
                snapshot.
        """
        self._pending.clear()
        self.synced_index = min(self.synced_index, agreed_index)
        self.unwritten_index = index + 1

    def _find(self, term: int, index: int) -> int | None:
        for position, pending in enumerate(self._pending):
            if (pending.last_term, pending.last_index) == (term, index):
                return position
        return None
