"""Atomic replacement of single-record files: vote, snapshot, identity."""

import os
from pathlib import Path

import cbor2
from cactushead_core.errors import CorruptRecordError

from .records import pack_record, read_record

TEMPORARY_SUFFIX = '.tmp'
FILE_MODE = 0o644


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
    with temporary.open('wb') as stream:
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
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
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
