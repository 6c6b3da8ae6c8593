"""The entries that a replica holds in memory."""

from collections.abc import Sequence

from ..effects import LogEntry
from .invariants import require


class Log:
    """Dense entries behind a base.

    Explanation:
        The base is the last entry that was dropped; only its term is known.
    """

    def __init__(
        self,
        base_index: int,
        base_term: int,
        entries: Sequence[LogEntry] = (),
    ) -> None:
        """Starts with entries from a disk.

        Args:
            base_index: Index of the last dropped entry, 0 for none.
            base_term: Its term.
            entries: The entries behind it.
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

    def holds(self, index: int) -> bool:
        """Whether the term at an index is known."""
        return self.base_index <= index <= self.last_index

    def term_at(self, index: int) -> int:
        """Returns the term of an entry; 0 before the first.

        Args:
            index: Index of the entry or of the base.

        Raises:
            ReplicationInvariantError: The log doesn't hold the index.
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
        """Returns an entry that the log holds."""
        return self._entries[index - self.base_index - 1]

    def between(self, first: int, last: int) -> list[LogEntry]:
        """Returns entries, both ends included, as far as they are held."""
        base = self.base_index
        require(first > base, f'entry {first} is dropped, base {base}')
        return self._entries[first - base - 1 : last - base]

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Appends entries that follow the last one densely.

        Args:
            entries: The entries.

        Raises:
            ReplicationInvariantError: An index is skipped or repeated.
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
        """Drops the entries from an index on."""
        del self._entries[index - self.base_index - 1 :]

    def discard_to(self, index: int) -> None:
        """Drops the entries up to an index, which becomes the base."""
        if index <= self.base_index:
            return
        self._base_term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index

    def reset(self, index: int, term: int) -> None:
        """Drops all entries and starts behind a snapshot."""
        self._entries.clear()
        self.base_index = index
        self._base_term = term
