"""The append-only file of log entries.

Explanation:
    One record holds the entries of one sync, so a crash leaves at most the
    last record torn, whatever order the disk wrote its blocks in. A record
    replaces the entries from its first index on; a conflicting tail is
    therefore cut by appending, and no synced entry is ever unprotected.
"""

import os
from collections.abc import Sequence
from pathlib import Path

import cbor2
from cactushead_core.effects import LogEntry
from cactushead_core.errors import CorruptRecordError, StorageError

from .records import (
    has_record_behind,
    iterate_records,
    pack_record,
)
from .replaced import FILE_MODE, replace_file, sync_folder


class LogFile:
    """The file and the entries that it holds."""

    def __init__(self, path: Path, salt: int) -> None:
        """Opens or creates the file and cuts a torn tail.

        Args:
            path: The file.
            salt: Start value of the checksums.

        Raises:
            DamagedRecordError: A bad record has good ones behind it.
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
        """Writes entries as one record and syncs it.

        Args:
            entries: They replace what the file holds from the first on.
        """
        self._replace_tail(entries)
        _write_all(self._descriptor, self._pack(entries))
        os.fdatasync(self._descriptor)

    def drop_prefix(self, term: int, index: int) -> None:
        """Drops the entries that a durable snapshot covers.

        Args:
            term: Term of the last entry that the snapshot covers.
            index: Its index.
        """
        self.entries = entries_behind(self.entries, term, index)
        image = self._pack(self.entries) if self.entries else b''
        replace_file(self._path, image)
        os.close(self._descriptor)
        self._descriptor = _open_file(self._path)

    def close(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)

    def _recover(self) -> None:
        image = self._path.read_bytes()
        end = 0
        for record in iterate_records(image, self._salt):
            self._replace_tail(_unpack(record.payload))
            end = record.end_bytes
        if end == len(image):
            return
        if has_record_behind(image, end, self._salt):
            raise CorruptRecordError(str(self._path), end)
        os.ftruncate(self._descriptor, end)
        os.fsync(self._descriptor)

    def _replace_tail(self, entries: Sequence[LogEntry]) -> None:
        if self.entries:
            kept = entries[0].index - self.entries[0].index
            if kept < 0 or kept > len(self.entries):
                raise StorageError(
                    f'{self._path}: entry {entries[0].index} does not follow'
                    f' entries {self.entries[0].index}'
                    f' to {self.entries[-1].index}',
                )
            del self.entries[kept:]
        self.entries.extend(entries)

    def _pack(self, entries: Sequence[LogEntry]) -> bytes:
        rows = [[entry.term, entry.index, entry.command] for entry in entries]
        return pack_record(cbor2.dumps(rows), self._salt)


def entries_behind(
    entries: list[LogEntry],
    term: int,
    index: int,
) -> list[LogEntry]:
    """Returns the entries that follow a snapshot.

    Args:
        entries: Dense entries.
        term: Term of the last entry that the snapshot covers.
        index: Its index.

    Returns:
        Those behind the index; none when the log disagrees with the
        snapshot or ends before it.
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
    known = path.exists()
    flags = os.O_RDWR | os.O_APPEND | os.O_CREAT
    descriptor = os.open(path, flags, FILE_MODE)
    if not known:
        sync_folder(path.parent)
    return descriptor


def _write_all(descriptor: int, image: bytes) -> None:
    rest = memoryview(image)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


def _unpack(payload: bytes) -> list[LogEntry]:
    return [LogEntry(*row) for row in cbor2.loads(payload)]
