"""Atomic replacement of single-record files: vote, snapshot, identity."""

import errno
import logging
import os
import time
from pathlib import Path

import cbor2
from cactushead_core.errors import CorruptRecordError

from .records import pack_record, read_record

TEMPORARY_SUFFIX = '.tmp'
FILE_MODE = 0o644
# Pause between attempts to open a file without a descriptor for it.
DESCRIPTOR_WAIT_S = 0.05

_NO_DESCRIPTOR = frozenset((errno.EMFILE, errno.ENFILE))

_log = logging.getLogger('cactushead.storage')


def open_file(path: Path, flags: int) -> int:
    """Opens a file; waits while the process has no descriptor for it.

    Explanation:
        Descriptors are used up by connections, which end again. A write that
        failed instead would end the process.

    Args:
        path: Path of the file.
        flags: Flags of the system call.

    Returns:
        The descriptor.

    Raises:
        OSError: The file can't be opened for another reason.
    """
    warned = False
    while True:
        try:
            return os.open(path, flags, FILE_MODE)
        except OSError as error:
            if error.errno not in _NO_DESCRIPTOR:
                raise
            if not warned:
                _log.warning('storage: waits for a descriptor: %s', error)
            warned = True
        time.sleep(DESCRIPTOR_WAIT_S)


def write_record_file(path: Path, fields: list[object], salt: int) -> None:
    """Replaces a file atomically by one record.

    Explanation:
        After a crash the file holds either its old or its new record.

    Args:
        path: Path of the file.
        fields: Values of the record, which are encoded as CBOR.
        salt: Initial value of the checksum.
    """
    replace_file(path, pack_record(cbor2.dumps(fields), salt))


def replace_file(path: Path, contents: bytes) -> None:
    """Writes a temporary file, syncs it, renames it and syncs the folder.

    Args:
        path: Path of the file to replace.
        contents: New contents of the file.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    with os.fdopen(open_file(temporary, flags), 'wb') as stream:
        stream.write(contents)
        stream.flush()
        os.fsync(stream.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def create_folder(folder: Path) -> None:
    """Creates a folder and its parents, and syncs their folder entries.

    Args:
        folder: Path of the folder.
    """
    missing = [path for path in (folder, *folder.parents) if not path.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    for path in missing:
        sync_folder(path.parent)


def sync_folder(folder: Path) -> None:
    """Syncs the entries of a folder, such as created or renamed files."""
    descriptor = open_file(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read_record_file(path: Path, salt: int) -> list[object]:
    """Returns the fields of a file that `write_record_file` wrote.

    Args:
        path: Path of the file.
        salt: Initial value of the checksum.

    Returns:
        The fields; empty if the file does not exist.

    Raises:
        CorruptRecordError: The file is not exactly one valid record.
    """
    if not path.exists():
        return []
    contents = path.read_bytes()
    record = read_record(contents, 0, salt)
    if record is None or record.end_bytes != len(contents):
        raise CorruptRecordError(str(path), 0)
    return list(cbor2.loads(record.payload))
