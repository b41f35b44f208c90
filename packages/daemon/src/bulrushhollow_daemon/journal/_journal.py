"""
bulrushhollow_daemon.journal._journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The journal: locking, replay, appending and rewriting.
"""

import contextlib
import fcntl
import os
import pathlib
import secrets
from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from typing import Any, Generic, TypeVar

import msgspec

from bulrushhollow_core.ids import InstanceId, InstanceName, name_of
from bulrushhollow_daemon.journal._errors import (
    JournalCorruptError,
    JournalError,
    JournalFailedError,
    JournalLockedError,
    JournalMismatchError,
)
from bulrushhollow_daemon.journal._files import DiskFileSystem, FileSystem, write_all
from bulrushhollow_daemon.journal._frames import (
    FILE_HEADER_BYTES,
    check_file_header,
    encode_file_header,
    encode_frame,
    read_frames,
)

JOURNAL_NAME = "journal"
"""Name of the journal in the data folder."""

NEW_JOURNAL_NAME = "journal.new"
"""Name of a rewritten journal until it replaces the old one."""

LOCK_NAME = "lock"
"""Name of the file that is locked so that only one process uses the data folder."""

INCARNATION_ID_BYTES = 4
"""Random bytes that distinguish the incarnations of an instance."""

MAX_RECORDS_PER_FRAME = 256
"""Most records in one frame of a rewritten journal."""

Record = TypeVar("Record", bound=msgspec.Struct)


class JournalIdentity(msgspec.Struct, frozen=True, tag="journal_identity"):
    """The first frame of every journal: the incarnation that it belongs to."""

    instance: InstanceId


class Journal(Generic[Record]):
    """
    The journal of one instance, in one folder. The file contains the identity of the incarnation,
    so an instance that lost its file starts as a new incarnation and never acts as the old one.

    Usage::

        >>> journal = Journal.open(folder, name, ConsensusRecord)
        >>> for record in journal.replay():
        ...     restorer.apply(record)
        >>> journal.append([record])

    """

    def __init__(
        self, folder: pathlib.Path, record_type: Any, file_system: FileSystem, lock_descriptor: int
    ) -> None:
        """Not for direct use; call :meth:`open`."""
        self._folder = folder
        self._path = folder / JOURNAL_NAME
        self._file_system = file_system
        self._lock_descriptor = lock_descriptor
        self._descriptor = -1
        self._is_replayed = False
        self._failure: str | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[record_type])
        self._instance = InstanceId("")
        self._size = 0

    @classmethod
    def open(
        cls,
        folder: pathlib.Path,
        name: InstanceName,
        record_type: Any,
        file_system: FileSystem | None = None,
    ) -> "Journal[Record]":
        """
        Lock a folder and open its journal, or create one for a new incarnation.

        :param folder: the data folder; it is created if it does not exist.
        :param name: the instance's name; an existing journal must belong to an incarnation of it.
        :param record_type: tagged union of all records.
        :param file_system: operations on the disk, which tests replace; None for the real ones.
        :raises JournalError: if the folder is in use or can't be written, or if the file is not a
            journal of this instance.
        """
        file_system = file_system or DiskFileSystem()
        try:
            folder.mkdir(parents=True, exist_ok=True)
            journal = cls(folder, record_type, file_system, _lock_folder(folder))
        except OSError as error:
            raise JournalError(f"{folder}: {error}") from error
        try:
            journal._open_or_create(name)
        except OSError as error:
            journal.close()
            raise JournalError(f"{folder}: {error}") from error
        except JournalError:
            journal.close()
            raise
        return journal

    @property
    def instance(self) -> InstanceId:
        """Return the incarnation that the journal belongs to."""
        return self._instance

    @property
    def size(self) -> int:
        """Return the length of the file in bytes."""
        return self._size

    def replay(self) -> Iterator[Record]:
        """
        Read all records in the order in which they were written, then truncate a torn write at
        the end. The iterator must be exhausted before anything is appended.

        :raises JournalCorruptError: if the file is damaged anywhere else.
        """
        with self._path.open("rb") as file:
            file.seek(FILE_HEADER_BYTES)
            frames = read_frames(self._path, file)
            end = next(frames).end
            for frame in frames:
                yield from self._decode(frame.payload, end)
                end = frame.end
        self._truncate(end)
        self._is_replayed = True

    def append(self, records: Sequence[Record]) -> None:
        """
        Append records as one frame, with one write and one sync.

        :raises JournalFailedError: if either fails; every later call then fails as well.
        """
        self._check_usable()
        if not records:
            return
        data = encode_frame(self._encoder.encode(records))
        try:
            write_all(self._file_system, self._descriptor, data)
            self._file_system.sync(self._descriptor)
        except OSError as error:
            self._truncate_unsynced()
            raise self._record_failure(error) from error
        self._size += len(data)

    def rewrite(self, records: Iterable[Record]) -> None:
        """
        Replace all records. The old file stays in place until the new one is synced.

        :raises JournalFailedError: if it fails; every later call then fails as well.
        """
        self._check_usable()
        try:
            self._replace_file(records)
        except OSError as error:
            raise self._record_failure(error) from error

    def close(self) -> None:
        """Close the journal and unlock the folder."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1
        self._failure = self._failure or "closed"

    def _open_or_create(self, name: InstanceName) -> None:
        (self._folder / NEW_JOURNAL_NAME).unlink(missing_ok=True)
        if not self._path.exists():
            self._instance = InstanceId(f"{name}.{secrets.token_hex(INCARNATION_ID_BYTES)}")
            self._replace_file(())
            self._is_replayed = True
            return
        self._instance = self._read_identity()
        if name_of(self._instance) != name:
            raise JournalMismatchError(f"{self._path} belongs to {self._instance}, not to {name}")
        self._descriptor = os.open(self._path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        self._size = self._path.stat().st_size

    def _read_identity(self) -> InstanceId:
        with self._path.open("rb") as file:
            check_file_header(self._path, file.read(FILE_HEADER_BYTES))
            first_frame = next(read_frames(self._path, file), None)
        if first_frame is None:
            raise JournalCorruptError(self._path, FILE_HEADER_BYTES, "no identity")
        try:
            return msgspec.msgpack.decode(first_frame.payload, type=JournalIdentity).instance
        except msgspec.MsgspecError as error:
            raise JournalCorruptError(self._path, FILE_HEADER_BYTES, str(error)) from error

    def _decode(self, payload: bytes, offset: int) -> list[Record]:
        try:
            return self._decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise JournalCorruptError(self._path, offset, str(error)) from error

    def _truncate(self, end: int) -> None:
        if end == self._size:
            return
        try:
            os.ftruncate(self._descriptor, end)
            self._file_system.sync(self._descriptor)
        except OSError as error:
            raise self._record_failure(error) from error
        self._size = end

    def _replace_file(self, records: Iterable[Record]) -> None:
        path = self._folder / NEW_JOURNAL_NAME
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(path, flags, 0o600)
        try:
            size = self._write_content(descriptor, records)
            self._file_system.sync(descriptor)
            self._file_system.replace(path, self._path)
            self._file_system.sync_folder(self._folder)
        except OSError:
            os.close(descriptor)
            raise
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor, self._size = descriptor, size

    def _write_content(self, descriptor: int, records: Iterable[Record]) -> int:
        preamble = encode_file_header() + encode_frame(
            msgspec.msgpack.encode(JournalIdentity(self._instance))
        )
        write_all(self._file_system, descriptor, preamble)
        size = len(preamble)
        remaining = iter(records)
        while batch := list(islice(remaining, MAX_RECORDS_PER_FRAME)):
            data = encode_frame(self._encoder.encode(batch))
            write_all(self._file_system, descriptor, data)
            size += len(data)
        return size

    def _check_usable(self) -> None:
        if self._failure:
            raise JournalFailedError(f"{self._path}: {self._failure}")
        if not self._is_replayed:
            raise JournalFailedError(f"{self._path}: not replayed yet")

    def _truncate_unsynced(self) -> None:
        """
        Truncate the records that may not be on disk. After a failed sync the operating system may
        still return them to the next process that reads the file.
        """
        with contextlib.suppress(OSError):
            os.ftruncate(self._descriptor, self._size)

    def _record_failure(self, error: OSError) -> JournalFailedError:
        self._failure = str(error)
        return JournalFailedError(f"{self._path}: {error}")


def _lock_folder(folder: pathlib.Path) -> int:
    descriptor = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(descriptor)
        raise JournalLockedError(f"{folder} is in use by another process") from error
    return descriptor
