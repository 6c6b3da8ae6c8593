"""Small files that are replaced whole: vote, snapshot and identity."""

import os
from pathlib import Path

import cbor2
from cactushead_core.errors import CorruptRecordError

from .records import pack_record, read_record

TEMPORARY_SUFFIX = '.tmp'
FILE_MODE = 0o644


def write_replaced(path: Path, fields: list[object], salt: int) -> None:
    """Replaces a file by one record, so that a crash leaves old or new.

    Args:
        path: The file.
        fields: CBOR values of the record.
        salt: Start value of the checksum.
    """
    replace_file(path, pack_record(cbor2.dumps(fields), salt))


def replace_file(path: Path, image: bytes) -> None:
    """Writes a temporary file, syncs it, renames it and syncs the folder.

    Args:
        path: The file that is replaced.
        image: Its new contents.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with temporary.open('wb') as stream:
        stream.write(image)
        stream.flush()
        os.fsync(stream.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def make_folder(folder: Path) -> None:
    """Makes a folder and its parents, and syncs their names.

    Args:
        folder: The folder.
    """
    missing = [path for path in (folder, *folder.parents) if not path.exists()]
    folder.mkdir(parents=True, exist_ok=True)
    for path in missing:
        sync_folder(path.parent)


def sync_folder(folder: Path) -> None:
    """Syncs the names in a folder."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read_replaced(path: Path, salt: int) -> list[object]:
    """Returns the fields of a file that `write_replaced` wrote.

    Args:
        path: The file.
        salt: Start value of the checksum.

    Returns:
        The fields; empty when there is no file.

    Raises:
        DamagedRecordError: The file's record is bad.
    """
    if not path.exists():
        return []
    image = path.read_bytes()
    record = read_record(image, 0, salt)
    if record is None or record.end_bytes != len(image):
        raise CorruptRecordError(str(path), 0)
    return list(cbor2.loads(record.payload))
