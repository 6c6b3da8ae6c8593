"""Records with length and checksum, of which all files consist.

Explanation:
    A record is a header of two little-endian 32-bit numbers, length and
    CRC-32, followed by the payload. The checksum covers the length and the
    payload and is initialized with a salt, so that record bytes within a
    payload are not recognized as a record.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

HEADER = struct.Struct('<II')
LENGTH = struct.Struct('<I')


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """Record that was read from a file.

    Attributes:
        payload: Payload of the record.
        end_bytes: Offset of the first byte after the record.
    """

    payload: bytes
    end_bytes: int


def make_salt(text: str) -> int:
    """Returns the salt that is derived from a text such as an incarnation."""
    return zlib.crc32(text.encode())


def pack_record(payload: bytes, salt: int) -> bytes:
    """Encodes a record.

    Args:
        payload: Payload of the record; not empty.
        salt: Initial value of the checksum.

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
    """Returns the record at an offset, None if it is torn or damaged.

    Args:
        contents: Contents of the file.
        offset_bytes: Offset at which the record starts.
        salt: Initial value of the checksum.

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
    """Yields the valid records that precede the first invalid one."""
    offset = 0
    while True:
        record = read_record(contents, offset, salt)
        if record is None:
            return
        yield record
        offset = record.end_bytes


def has_record_after(contents: bytes, offset_bytes: int, salt: int) -> bool:
    """Returns whether a valid record starts after an invalid one.

    Args:
        contents: Contents of the file.
        offset_bytes: Offset at which the invalid record starts.
        salt: Initial value of the checksum.
    """
    return any(
        read_record(contents, offset, salt) is not None
        for offset in range(offset_bytes + 1, len(contents) - HEADER.size)
    )


def _checksum(payload: bytes, salt: int) -> int:
    length = LENGTH.pack(len(payload))
    return zlib.crc32(payload, zlib.crc32(length, salt))
