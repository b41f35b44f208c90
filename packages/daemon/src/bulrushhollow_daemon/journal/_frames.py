"""
bulrushhollow_daemon.journal._frames
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The file format of the journal: a file header, then one frame for each synced batch. A frame
consists of a header with two checksums and a payload.
"""

import pathlib
import struct
import zlib
from collections.abc import Iterator
from typing import BinaryIO

import msgspec

from bulrushhollow_daemon.journal._errors import JournalCorruptError, JournalMismatchError

FORMAT_VERSION = 1
"""Version of the file format that is written and read."""

FILE_MAGIC = b"BULRUSHJ"
"""First bytes of every journal."""

FRAME_MARKER = b"\xb5frm"
"""First bytes of every frame."""

SECTOR_BYTES = 512
"""Smallest unit that a disk writes atomically, in bytes."""

_FILE_HEADER = struct.Struct("<8sI")
_FRAME_FIELDS = struct.Struct("<4sII")
_CHECKSUM = struct.Struct("<I")

FILE_HEADER_BYTES = _FILE_HEADER.size
"""Length of the file header."""

FRAME_HEADER_BYTES = _FRAME_FIELDS.size + _CHECKSUM.size
"""Length of a frame header."""


class Frame(msgspec.Struct, frozen=True):
    """
    One complete frame.

    :param end: offset of the first byte after the frame.
    """

    payload: bytes
    end: int


def encode_file_header() -> bytes:
    """Return the header of a new file."""
    return _FILE_HEADER.pack(FILE_MAGIC, FORMAT_VERSION)


def check_file_header(path: pathlib.Path, data: bytes) -> None:
    """
    Check that a file is a journal of this format version.

    :raises JournalMismatchError: if it is not.
    """
    if len(data) < FILE_HEADER_BYTES or not data.startswith(FILE_MAGIC):
        raise JournalMismatchError(f"{path} is not a journal")
    _, version = _FILE_HEADER.unpack_from(data)
    if version != FORMAT_VERSION:
        raise JournalMismatchError(
            f"{path} has format {version}, this program reads {FORMAT_VERSION}"
        )


def encode_frame(payload: bytes) -> bytes:
    """Return a frame with this payload."""
    fields = _FRAME_FIELDS.pack(FRAME_MARKER, len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def read_frames(path: pathlib.Path, file: BinaryIO) -> Iterator[Frame]:
    """
    Read the frames of a file up to its end or to a torn last frame.

    :param file: the file, positioned after its header.
    :raises JournalCorruptError: if the bytes after the last complete frame are not a torn write.
    """
    offset = file.tell()
    while True:
        frame = _read_frame(file, offset)
        if frame is None:
            break
        offset = frame.end
        yield frame
    _check_torn_tail(path, file, offset)


def _payload_length(header: bytes) -> int | None:
    if len(header) < FRAME_HEADER_BYTES or not header.startswith(FRAME_MARKER):
        return None
    fields, (checksum,) = header[: _FRAME_FIELDS.size], _CHECKSUM.unpack(header[-4:])
    if zlib.crc32(fields) != checksum:
        return None
    length: int = _FRAME_FIELDS.unpack(fields)[1]
    return length


def _read_frame(file: BinaryIO, offset: int) -> Frame | None:
    file.seek(offset)
    header = file.read(FRAME_HEADER_BYTES)
    length = _payload_length(header)
    if length is None:
        return None
    payload = file.read(length)
    checksum = _FRAME_FIELDS.unpack_from(header)[2]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return Frame(payload, offset + FRAME_HEADER_BYTES + length)


def _check_torn_tail(path: pathlib.Path, file: BinaryIO, offset: int) -> None:
    """
    Check that the bytes after the last complete frame come from an interrupted write.

    An interrupted write leaves the beginning of one frame, or a frame of full length in which
    sectors that never reached the disk read as zeros.

    :raises JournalCorruptError: if they do not.
    """
    file.seek(offset)
    tail = file.read()
    if not tail:
        return
    if _has_later_frame(file, offset, tail):
        raise JournalCorruptError(path, offset, "a damaged frame before a complete one")
    length = _payload_length(tail[:FRAME_HEADER_BYTES])
    is_truncated = len(tail) < FRAME_HEADER_BYTES or (
        length is not None and len(tail) < FRAME_HEADER_BYTES + length
    )
    if not is_truncated and not _has_zero_sector(tail, offset):
        raise JournalCorruptError(
            path, offset, "a damaged last frame that is not an interrupted write"
        )


def _has_later_frame(file: BinaryIO, offset: int, tail: bytes) -> bool:
    position = tail.find(FRAME_MARKER, 1)
    while position >= 0:
        if _read_frame(file, offset + position) is not None:
            return True
        position = tail.find(FRAME_MARKER, position + 1)
    return False


def _has_zero_sector(tail: bytes, offset: int) -> bool:
    """Return whether the bytes in at least one sector are all zeros."""
    first_length = SECTOR_BYTES - offset % SECTOR_BYTES
    starts = [0, *range(first_length, len(tail), SECTOR_BYTES)]
    ends = [*starts[1:], len(tail)]
    return any(not any(tail[start:end]) for start, end in zip(starts, ends, strict=True))
