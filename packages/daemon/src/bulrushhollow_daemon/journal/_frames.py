"""
bulrushhollow_daemon.journal._frames
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The format of the journal's file: a header, then one frame for each batch that was synced. A
frame is its own header with two checksums and a payload.
"""

import pathlib
import struct
import zlib
from collections.abc import Iterator
from typing import BinaryIO

import msgspec

from bulrushhollow_daemon.journal._errors import JournalCorruptError, JournalForeignError

FORMAT_VERSION = 1
"""Version of the file format that this code writes and reads."""

FILE_MAGIC = b"BULRUSHJ"
"""First bytes of every journal."""

FRAME_MARKER = b"\xb5frm"
"""First bytes of every frame."""

SECTOR_BYTES = 512
"""Smallest unit that a disk writes whole or not at all."""

_FILE_HEADER = struct.Struct("<8sI")
_FRAME_FIELDS = struct.Struct("<4sII")
_CHECKSUM = struct.Struct("<I")

FILE_HEADER_BYTES = _FILE_HEADER.size
"""Length of the header of the file."""

FRAME_HEADER_BYTES = _FRAME_FIELDS.size + _CHECKSUM.size
"""Length of the header of a frame."""


class Frame(msgspec.Struct, frozen=True):
    """
    One whole frame.

    :param end: offset just after it.
    """

    payload: bytes
    end: int


def file_header() -> bytes:
    """Return the header of a new file."""
    return _FILE_HEADER.pack(FILE_MAGIC, FORMAT_VERSION)


def check_file_header(path: pathlib.Path, data: bytes) -> None:
    """
    Refuse a file that is no journal of this version.

    :raises JournalForeignError: if it is not.
    """
    if len(data) < FILE_HEADER_BYTES or not data.startswith(FILE_MAGIC):
        raise JournalForeignError(f"{path} is not a journal")
    _, version = _FILE_HEADER.unpack_from(data)
    if version != FORMAT_VERSION:
        raise JournalForeignError(
            f"{path} has format {version}, this program reads {FORMAT_VERSION}"
        )


def frame(payload: bytes) -> bytes:
    """Return the frame of a payload."""
    fields = _FRAME_FIELDS.pack(FRAME_MARKER, len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def read_frames(path: pathlib.Path, file: BinaryIO) -> Iterator[Frame]:
    """
    Read the frames of a file up to its end or to a torn last frame.

    :param file: the file, just after its header.
    :raises JournalCorruptError: if what stands behind the last whole frame is not a torn write.
    """
    offset = file.tell()
    while True:
        found = _read_frame(file, offset)
        if found is None:
            break
        offset = found.end
        yield found
    _check_torn(path, file, offset)


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


def _check_torn(path: pathlib.Path, file: BinaryIO, offset: int) -> None:
    """
    Refuse bytes behind the last whole frame that an interrupted write can't have left.

    An interrupted write leaves the beginning of one frame, or a whole frame of which some
    sectors never reached the disk and read as zeros.
    """
    file.seek(offset)
    rest = file.read()
    if not rest:
        return
    if _has_later_frame(file, offset, rest):
        raise JournalCorruptError(path, offset, "a damaged frame before a whole one")
    length = _payload_length(rest[:FRAME_HEADER_BYTES])
    is_cut = len(rest) < FRAME_HEADER_BYTES or (
        length is not None and len(rest) < FRAME_HEADER_BYTES + length
    )
    if not is_cut and not _has_zero_sector(rest, offset):
        raise JournalCorruptError(
            path, offset, "a damaged last frame that no interrupted write leaves"
        )


def _has_later_frame(file: BinaryIO, offset: int, rest: bytes) -> bool:
    position = rest.find(FRAME_MARKER, 1)
    while position >= 0:
        if _read_frame(file, offset + position) is not None:
            return True
        position = rest.find(FRAME_MARKER, position + 1)
    return False


def _has_zero_sector(rest: bytes, offset: int) -> bool:
    """Return whether any sector's share of the bytes is all zeros."""
    first_length = SECTOR_BYTES - offset % SECTOR_BYTES
    starts = [0, *range(first_length, len(rest), SECTOR_BYTES)]
    ends = [*starts[1:], len(rest)]
    return any(not any(rest[start:end]) for start, end in zip(starts, ends, strict=True))
