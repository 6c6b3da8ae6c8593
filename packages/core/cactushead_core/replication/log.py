"""In-memory log of a replica."""

from collections.abc import Sequence

from ..effects import LogEntry
from .invariants import require


class Log:
    """Log entries with consecutive indices that follow a base entry.

    Explanation:
        The base is the last discarded entry; only its index and term are
        kept.
    """

    def __init__(
        self,
        base_index: int,
        base_term: int,
        entries: Sequence[LogEntry] = (),
    ) -> None:
        """Initializes with the entries found on disk.

        Args:
            base_index: Index of the last discarded entry, 0 for none.
            base_term: Term of the last discarded entry.
            entries: The entries that follow it.
        """
        self.base_index = base_index
        self._base_term = base_term
        self._entries: list[LogEntry] = []
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    def has_term_at(self, index: int) -> bool:
        """Whether the log has the term of the entry at an index."""
        return self.base_index <= index <= self.last_index

    def term_at(self, index: int) -> int:
        """Returns the term of an entry, 0 for index 0.

        Args:
            index: Index of the entry or of the base.

        Raises:
            ReplicationInvariantError: The log doesn't contain the index.
        """
        position = index - self.base_index - 1
        if position == -1:
            return self._base_term
        require(
            0 <= position < len(self._entries),
            f'index {index} is outside {self.base_index}..{self.last_index}',
        )
        return self._entries[position].term

    def entry(self, index: int) -> LogEntry:
        """Returns an entry that the log contains."""
        return self._entries[index - self.base_index - 1]

    def between(self, first: int, last: int) -> list[LogEntry]:
        """Returns the entries from first to last, both included, if present."""
        base = self.base_index
        require(first > base, f'entry {first} was discarded, base is {base}')
        return self._entries[first - base - 1 : last - base]

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Appends entries whose indices continue the log without a gap.

        Args:
            entries: The entries.

        Raises:
            ReplicationInvariantError: An index is skipped or repeated, or a
                term is lower than the one before.
        """
        index = self.last_index
        term = self.last_term
        for entry in entries:
            index += 1
            if entry.index != index or entry.term < term:
                require(False, f'{entry!r:.60} follows ({term}, {index - 1})')
            term = entry.term
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on."""
        del self._entries[index - self.base_index - 1 :]

    def discard_to(self, index: int) -> None:
        """Discards the entries up to an index, which becomes the base."""
        if index <= self.base_index:
            return
        self._base_term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index

    def reset(self, index: int, term: int) -> None:
        """Removes all entries and sets the base to a snapshot's last entry."""
        self._entries.clear()
        self.base_index = index
        self._base_term = term
