"""Append-only file of log entries.

Explanation:
    One record holds the entries of one sync, so a crash leaves at most the
    last record torn, in whatever order the disk wrote its blocks. A record
    replaces all entries from its first index on. A conflicting tail is
    therefore replaced by appending, so that at no time a crash can lose
    synced entries.
"""

import os
from collections.abc import Sequence
from pathlib import Path

import cbor2
from cactushead_core.effects import LogEntry
from cactushead_core.errors import CorruptRecordError, StorageError

from .atomic_file import open_file, replace_file, sync_folder
from .records import (
    has_record_after,
    iterate_records,
    pack_record,
)


class LogFile:
    """Log file with its entries in memory.

    Attributes:
        entries: Entries that the file holds, with consecutive indexes.
    """

    def __init__(self, path: Path, salt: int) -> None:
        """Opens or creates the file and truncates a torn last record.

        Args:
            path: Path of the file.
            salt: Initial value of the checksums.

        Raises:
            CorruptRecordError: An invalid record precedes a valid one.
        """
        self._path = path
        self._salt = salt
        self.entries: list[LogEntry] = []
        self._descriptor = _open_file(path)
        try:
            self._recover()
        except BaseException:
            self.close()
            raise

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Appends entries as one record and syncs the file.

        Args:
            entries: Consecutive entries; they replace those of the file from
                the first index on.

        Raises:
            StorageError: The entries do not follow those of the file.
        """
        self._replace_tail(entries)
        _write_all(self._descriptor, self._pack(entries))
        os.fdatasync(self._descriptor)

    def discard_prefix(self, term: int, index: int) -> None:
        """Removes the entries that a durable snapshot covers.

        Args:
            term: Term of the last entry that the snapshot covers.
            index: Index of that entry.
        """
        self.entries = entries_after(self.entries, term, index)
        contents = self._pack(self.entries) if self.entries else b''
        replace_file(self._path, contents)
        os.close(self._descriptor)
        self._descriptor = _open_file(self._path)

    def close(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)

    def _recover(self) -> None:
        """Loads the records and truncates a torn last one."""
        contents = self._path.read_bytes()
        end = 0
        for record in iterate_records(contents, self._salt):
            self._replace_tail(_unpack(record.payload))
            end = record.end_bytes
        if end == len(contents):
            return
        if has_record_after(contents, end, self._salt):
            raise CorruptRecordError(str(self._path), end)
        os.ftruncate(self._descriptor, end)
        os.fsync(self._descriptor)

    def _replace_tail(self, entries: Sequence[LogEntry]) -> None:
        """Replaces the entries in memory from the first index on."""
        if self.entries:
            kept_count = entries[0].index - self.entries[0].index
            if kept_count < 0 or kept_count > len(self.entries):
                raise StorageError(
                    f'{self._path}: entry {entries[0].index} does not follow'
                    f' entries {self.entries[0].index}'
                    f' to {self.entries[-1].index}',
                )
            del self.entries[kept_count:]
        self.entries.extend(entries)

    def _pack(self, entries: Sequence[LogEntry]) -> bytes:
        rows = [[entry.term, entry.index, entry.command] for entry in entries]
        return pack_record(cbor2.dumps(rows), self._salt)


def entries_after(
    entries: list[LogEntry],
    term: int,
    index: int,
) -> list[LogEntry]:
    """Returns the entries that follow a snapshot.

    Args:
        entries: Entries with consecutive indexes.
        term: Term of the last entry that the snapshot covers.
        index: Index of that entry.

    Returns:
        The entries after the index; none if the log ends before it, starts
        after a gap, or has another term at it.
    """
    if not entries or entries[0].index > index + 1:
        return []
    if entries[0].index == index + 1:
        return entries
    position = index - entries[0].index
    if position >= len(entries) or entries[position].term != term:
        return []
    return entries[position + 1 :]


def _open_file(path: Path) -> int:
    existed = path.exists()
    flags = os.O_RDWR | os.O_APPEND | os.O_CREAT
    descriptor = open_file(path, flags)
    if not existed:
        sync_folder(path.parent)
    return descriptor


def _write_all(descriptor: int, contents: bytes) -> None:
    remaining = memoryview(contents)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def _unpack(payload: bytes) -> list[LogEntry]:
    return [LogEntry(*row) for row in cbor2.loads(payload)]
