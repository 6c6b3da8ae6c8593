"""Durable state of a voter in a data folder."""

import fcntl
import os
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from cactushead_core.effects import (
    AppendLog,
    Effect,
    LogEntry,
    SaveSnapshot,
    SaveVote,
)
from cactushead_core.errors import StorageError
from cactushead_core.replication import StoredLog

from .atomic_file import (
    FILE_MODE,
    create_folder,
    read_record_file,
    write_record_file,
)
from .delayed import DelayedStorage
from .log_file import LogFile, entries_after
from .records import make_salt
from .storage import Storage

IDENTITY_SALT = 0
LOCK_NAME = 'lock'
IDENTITY_NAME = 'identity'
LOG_NAME = 'log'
VOTE_NAME = 'vote'
SNAPSHOT_NAME = 'snapshot'


class StorageInUseError(StorageError):
    """The data folder is locked by another process."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a data folder.

    Attributes:
        incarnation: Random id, generated when the folder was empty.
        is_from_first_start: Whether that was in the first start of the fleet.
    """

    incarnation: str
    is_from_first_start: bool


class FileStorage(Storage):
    """Files in a data folder, locked against other processes."""

    def __init__(self, folder: Path, *, first_start: bool = False) -> None:
        """Opens the folder; creates it and its identity if it is empty.

        Args:
            folder: The data folder.
            first_start: Whether the fleet starts for the first time, which an
                empty folder remembers.

        Raises:
            StorageInUseError: Another process has locked the folder.
            StorageError: The folder is unreadable or damaged.
        """
        self._folder = folder
        self._first_start = first_start
        try:
            self._open()
        except OSError as error:
            raise StorageError(f'data folder {folder}: {error}') from error

    @property
    def incarnation(self) -> str:
        """Identity of the disk, generated when it was empty."""
        return self._identity.incarnation

    @property
    def is_from_first_start(self) -> bool:
        """Whether the disk was empty when its fleet started, and not since."""
        return self._identity.is_from_first_start

    def _open(self) -> None:
        create_folder(self._folder)
        self._lock = _lock_folder(self._folder)
        try:
            self._open_files()
        except BaseException:
            os.close(self._lock)
            raise

    def _open_files(self) -> None:
        self._identity = _read_identity(
            self._folder, first_start=self._first_start
        )
        self._salt = make_salt(self._identity.incarnation)
        self._log = LogFile(self._folder / LOG_NAME, self._salt)

    def _load(self) -> StoredLog:
        vote = self._read(VOTE_NAME) or [0, '']
        snapshot = self._read(SNAPSHOT_NAME) or [0, 0, b'', b'']
        entries = self._log.entries
        if entries and snapshot[1]:
            entries = entries_after(entries, snapshot[0], snapshot[1])
        if entries and entries[0].index != snapshot[1] + 1:
            raise StorageError(
                f'{self._folder}: log starts at {entries[0].index}, but the'
                f' snapshot ends at {snapshot[1]}',
            )
        return StoredLog(*vote, *snapshot, entries=tuple(entries))

    def _perform(self, effects: Sequence[Effect]) -> None:
        try:
            self._write(effects)
        except OSError as error:
            raise StorageError(f'data folder {self._folder}: {error}') from (
                error
            )

    def _write(self, effects: Sequence[Effect]) -> None:
        """Writes effects in order; consecutive appends share a record."""
        batch: list[LogEntry] = []
        for effect in effects:
            if isinstance(effect, AppendLog):
                batch = merge_appends(batch, effect.entries)
                continue
            self._flush(batch)
            batch = []
            self._save(effect)
        self._flush(batch)

    def _flush(self, batch: list[LogEntry]) -> None:
        if batch:
            self._log.append(batch)

    def _save(self, effect: Effect) -> None:
        if isinstance(effect, SaveVote):
            fields: list[object] = [effect.term, effect.voted_for]
            write_record_file(self._folder / VOTE_NAME, fields, self._salt)
        elif isinstance(effect, SaveSnapshot):
            self._save_snapshot(effect)

    def _save_snapshot(self, effect: SaveSnapshot) -> None:
        """Writes a snapshot, then removes the entries that it covers."""
        fields: list[object] = [
            effect.term,
            effect.index,
            effect.members,
            effect.state,
        ]
        write_record_file(self._folder / SNAPSHOT_NAME, fields, self._salt)
        self._log.discard_prefix(effect.term, effect.index)

    def _read(self, name: str) -> list[object]:
        return read_record_file(self._folder / name, self._salt)

    def _close(self) -> None:
        self._log.close()
        os.close(self._lock)


def open_storage(
    folder: Path, sync_delay_s: float = 0, *, first_start: bool = False
) -> Storage:
    """Opens a data folder.

    Args:
        folder: The data folder; it is created if it does not exist.
        sync_delay_s: Delay that is added to each batch of writes, to
            simulate slower disks.
        first_start: Whether the fleet starts for the first time.

    Returns:
        The storage.

    Raises:
        StorageError: The folder is unreadable, damaged or in use.
    """
    storage = FileStorage(folder, first_start=first_start)
    if sync_delay_s > 0:
        return DelayedStorage(storage, sync_delay_s)
    return storage


def merge_appends(
    batch: list[LogEntry],
    entries: Sequence[LogEntry],
) -> list[LogEntry]:
    """Merges an append into a batch of unwritten entries.

    Args:
        batch: Entries that have not been written yet.
        entries: Entries that replace the batch from their first index on.

    Returns:
        The batch to write.
    """
    if not batch or entries[0].index <= batch[0].index:
        return list(entries)
    return [*batch[: entries[0].index - batch[0].index], *entries]


def _lock_folder(folder: Path) -> int:
    """Locks a data folder and returns the descriptor of the lock."""
    descriptor = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(descriptor)
        raise StorageInUseError(
            f'data folder {folder} is in use by another process',
        ) from error
    return descriptor


def _read_identity(folder: Path, *, first_start: bool) -> Identity:
    """Returns the identity of a data folder, generated if it is empty.

    Args:
        folder: The data folder.
        first_start: Whether the fleet starts for the first time.

    Raises:
        StorageError: The identity or the log is missing.
    """
    path = folder / IDENTITY_NAME
    fields = read_record_file(path, IDENTITY_SALT)
    found = [
        name for name in (VOTE_NAME, SNAPSHOT_NAME) if (folder / name).exists()
    ]
    has_log = (folder / LOG_NAME).exists()
    if found and not has_log:
        raise StorageError(f'{folder} has a {found[0]} file but no log')
    if fields:
        # Earlier software stored the incarnation alone.
        return Identity(str(fields[0]), fields[1:] == [True])
    if has_log:
        raise StorageError(f'{folder} has a log but no identity')
    identity = Identity(uuid.uuid4().hex, first_start)
    stored = [identity.incarnation, identity.is_from_first_start]
    write_record_file(path, stored, IDENTITY_SALT)
    return identity
