"""Records with length and checksum, the unit of all files.

Explanation:
    A record is a header of two little-endian 32-bit numbers, length and
    CRC-32, followed by the payload. The checksum covers the length and the
    payload and starts from a salt, so that a payload that contains the bytes
    of a record is never taken for one.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

HEADER = struct.Struct('<II')
LENGTH = struct.Struct('<I')


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record that was read from a file.

    Attributes:
        payload: Its contents.
        end_bytes: Offset behind it.
    """

    payload: bytes
    end_bytes: int


def make_salt(text: str) -> int:
    """Returns the salt that a text, such as an incarnation, stands for."""
    return zlib.crc32(text.encode())


def pack_record(payload: bytes, salt: int) -> bytes:
    """Returns the bytes of a record.

    Args:
        payload: Its contents; not empty.
        salt: Start value of the checksum.

    Returns:
        Header and payload.
    """
    header = HEADER.pack(len(payload), _checksum(payload, salt))
    return header + payload


def read_record(
    contents: bytes,
    offset_bytes: int,
    salt: int,
) -> StoredRecord | None:
    """Returns the record at an offset, None when it is torn or damaged.

    Args:
        contents: Contents of the file.
        offset_bytes: Where the record starts.
        salt: Start value of the checksum.

    Returns:
        The record.
    """
    start = offset_bytes + HEADER.size
    if start > len(contents):
        return None
    length, expected = HEADER.unpack_from(contents, offset_bytes)
    end = start + length
    if length == 0 or end > len(contents):
        return None
    payload = contents[start:end]
    if _checksum(payload, salt) != expected:
        return None
    return StoredRecord(payload, end)


def iterate_records(contents: bytes, salt: int) -> Iterator[StoredRecord]:
    """Yields the good records from the start up to the first bad one."""
    offset = 0
    while True:
        record = read_record(contents, offset, salt)
        if record is None:
            return
        yield record
        offset = record.end_bytes


def has_record_after(contents: bytes, offset_bytes: int, salt: int) -> bool:
    """Whether a good record starts anywhere behind a bad one.

    Args:
        contents: Contents of the file.
        offset_bytes: Where the bad record starts.
        salt: Start value of the checksum.
    """
    return any(
        read_record(contents, offset, salt) is not None
        for offset in range(offset_bytes + 1, len(contents) - HEADER.size)
    )


def _checksum(payload: bytes, salt: int) -> int:
    length = LENGTH.pack(len(payload))
    return zlib.crc32(payload, zlib.crc32(length, salt))
