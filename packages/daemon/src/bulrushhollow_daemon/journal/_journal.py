"""
bulrushhollow_daemon.journal._journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The journal as the daemon uses it.
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
    JournalForeignError,
    JournalLockedError,
)
from bulrushhollow_daemon.journal._files import DiskFiles, Files, write_all
from bulrushhollow_daemon.journal._frames import (
    FILE_HEADER_BYTES,
    check_file_header,
    file_header,
    frame,
    read_frames,
)

JOURNAL_NAME = "journal"
"""File of the records in the data folder."""

NEW_NAME = "journal.new"
"""File that takes the journal's place once it is whole."""

LOCK_NAME = "lock"
"""File whose lock keeps a second process out of the data folder."""

INCARNATION_BYTES = 4
"""Random bytes that tell the incarnations of an instance apart."""

RECORDS_PER_FRAME = 256
"""Most records in one frame of a rewritten journal."""

Record = TypeVar("Record", bound=msgspec.Struct)


class Identity(msgspec.Struct, frozen=True, tag="journal_identity"):
    """First frame of every journal: whose it is."""

    instance: InstanceId


class Journal(Generic[Record]):
    """
    The records of one instance in one folder. Its identity is a part of the file, so that an
    instance that lost the file is a new incarnation and never acts as the one it was.

    Usage::

        >>> journal = Journal.open(folder, name, ConsensusRecord)
        >>> for record in journal.replay():
        ...     restorer.apply(record)
        >>> journal.append([record])

    """

    def __init__(self, folder: pathlib.Path, record_type: Any, files: Files, lock: int) -> None:
        """Use :meth:`open`."""
        self._folder = folder
        self._path = folder / JOURNAL_NAME
        self._files = files
        self._lock = lock
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
        files: Files | None = None,
    ) -> "Journal[Record]":
        """
        Lock a folder and open its journal, or begin one under a fresh identity.

        :param folder: the data folder; it is made if need be.
        :param name: the instance's name, which the journal's identity must have.
        :param record_type: tagged union of all records.
        :param files: calls that reach the disk.
        :raises JournalError: if the folder is in use, or the file is none of this instance.
        """
        files = files or DiskFiles()
        try:
            folder.mkdir(parents=True, exist_ok=True)
            journal = cls(folder, record_type, files, _lock(folder))
        except OSError as error:
            raise JournalError(f"{folder}: {error}") from error
        try:
            journal._begin(name)
        except OSError as error:
            journal.close()
            raise JournalError(f"{folder}: {error}") from error
        except JournalError:
            journal.close()
            raise
        return journal

    @property
    def instance(self) -> InstanceId:
        """Return the incarnation whose journal this is."""
        return self._instance

    @property
    def size(self) -> int:
        """Return the length of the file in bytes."""
        return self._size

    def replay(self) -> Iterator[Record]:
        """
        Read all records in the order in which they were written, and cut off a torn write at
        the end. It must be read to its end before anything is appended.

        :raises JournalCorruptError: if the file is damaged elsewhere.
        """
        with self._path.open("rb") as file:
            file.seek(FILE_HEADER_BYTES)
            frames = read_frames(self._path, file)
            end = next(frames).end
            for found in frames:
                yield from self._decode(found.payload, end)
                end = found.end
        self._cut(end)
        self._is_replayed = True

    def append(self, records: Sequence[Record]) -> None:
        """
        Write records and sync them, all with one write and one sync.

        :raises JournalFailedError: if either fails; every later call then fails as well.
        """
        self._check_usable()
        if not records:
            return
        data = frame(self._encoder.encode(records))
        try:
            write_all(self._files, self._descriptor, data)
            self._files.sync(self._descriptor)
        except OSError as error:
            self._forget_unsynced()
            raise self._fail(error) from error
        self._size += len(data)

    def rewrite(self, records: Iterable[Record]) -> None:
        """
        Replace all records by new ones. The old file stays until the new one is synced.

        :raises JournalFailedError: if it fails; every later call then fails as well.
        """
        self._check_usable()
        try:
            self._write_new(records)
        except OSError as error:
            raise self._fail(error) from error

    def close(self) -> None:
        """Let another process have the folder."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
        self._failure = self._failure or "closed"

    def _begin(self, name: InstanceName) -> None:
        (self._folder / NEW_NAME).unlink(missing_ok=True)
        if not self._path.exists():
            self._instance = InstanceId(f"{name}.{secrets.token_hex(INCARNATION_BYTES)}")
            self._write_new(())
            self._is_replayed = True
            return
        self._instance = self._read_identity()
        if name_of(self._instance) != name:
            raise JournalForeignError(f"{self._path} belongs to {self._instance}, not to {name}")
        self._descriptor = os.open(self._path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        self._size = self._path.stat().st_size

    def _read_identity(self) -> InstanceId:
        with self._path.open("rb") as file:
            check_file_header(self._path, file.read(FILE_HEADER_BYTES))
            first = next(read_frames(self._path, file), None)
        if first is None:
            raise JournalCorruptError(self._path, FILE_HEADER_BYTES, "no identity")
        try:
            return msgspec.msgpack.decode(first.payload, type=Identity).instance
        except msgspec.MsgspecError as error:
            raise JournalCorruptError(self._path, FILE_HEADER_BYTES, str(error)) from error

    def _decode(self, payload: bytes, offset: int) -> list[Record]:
        try:
            return self._decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise JournalCorruptError(self._path, offset, str(error)) from error

    def _cut(self, end: int) -> None:
        if end == self._size:
            return
        try:
            os.ftruncate(self._descriptor, end)
            self._files.sync(self._descriptor)
        except OSError as error:
            raise self._fail(error) from error
        self._size = end

    def _write_new(self, records: Iterable[Record]) -> None:
        path = self._folder / NEW_NAME
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(path, flags, 0o600)
        try:
            size = self._write_content(descriptor, records)
            self._files.sync(descriptor)
            self._files.replace(path, self._path)
            self._files.sync_folder(self._folder)
        except OSError:
            os.close(descriptor)
            raise
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor, self._size = descriptor, size

    def _write_content(self, descriptor: int, records: Iterable[Record]) -> int:
        head = file_header() + frame(msgspec.msgpack.encode(Identity(self._instance)))
        write_all(self._files, descriptor, head)
        size = len(head)
        remaining = iter(records)
        while batch := list(islice(remaining, RECORDS_PER_FRAME)):
            data = frame(self._encoder.encode(batch))
            write_all(self._files, descriptor, data)
            size += len(data)
        return size

    def _check_usable(self) -> None:
        if self._failure:
            raise JournalFailedError(f"{self._path}: {self._failure}")
        if not self._is_replayed:
            raise JournalFailedError(f"{self._path}: not replayed yet")

    def _forget_unsynced(self) -> None:
        """
        Cut off what may not be on disk: after a failed sync the system may show it to the next
        process as if it were.
        """
        with contextlib.suppress(OSError):
            os.ftruncate(self._descriptor, self._size)

    def _fail(self, error: OSError) -> JournalFailedError:
        self._failure = str(error)
        return JournalFailedError(f"{self._path}: {error}")


def _lock(folder: pathlib.Path) -> int:
    descriptor = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(descriptor)
        raise JournalLockedError(f"{folder} is in use by another process") from error
    return descriptor
