import errno
import itertools
import os
import pathlib
import tempfile
import unittest

import msgspec

from bulrushhollow_core.consensus import ConsensusRecord, EntriesRecord, LogEntry, TermRecord
from bulrushhollow_core.ids import InstanceName
from bulrushhollow_daemon.journal import (
    DiskFileSystem,
    Journal,
    JournalCorruptError,
    JournalError,
    JournalFailedError,
    JournalLockedError,
    JournalMismatchError,
)

NAME = InstanceName("a1")

OPERATIONS = 22
"""Operations of the test of power losses that reach the disk."""


def entry(index: int, payload: bytes = b"payload") -> EntriesRecord:
    return EntriesRecord((LogEntry(index, 1, payload),))


class BrokenFileSystem(DiskFileSystem):
    """A file system on which the named operation fails; a write fails after half of its bytes."""

    def __init__(self) -> None:
        self.failing_operation = ""

    def write(self, descriptor: int, data: bytes) -> int:
        if self.failing_operation == "write":
            super().write(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left")
        return super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        if self.failing_operation == "sync":
            raise OSError(errno.EIO, "sync failed")
        super().sync(descriptor)

    def sync_folder(self, folder: pathlib.Path) -> None:
        if self.failing_operation == "sync_folder":
            raise OSError(errno.EIO, "sync failed")
        super().sync_folder(folder)


class PowerLostError(Exception):
    """The power was lost; the program handles no error then."""


class FailingPower(DiskFileSystem):
    """
    A file system that loses power at one of its operations.

    :param lost_at: number of that operation, from 0 on.
    :param kept: share of the unsynced bytes that is kept; an unsynced rename only if it is 1.
    """

    def __init__(self, lost_at: int, kept: float) -> None:
        self.operations_left = lost_at
        self.kept = kept
        self.synced_sizes: dict[int, int] = {}
        self.replaced: tuple[pathlib.Path, pathlib.Path, bytes] | None = None

    def write(self, descriptor: int, data: bytes) -> int:
        self.synced_sizes.setdefault(descriptor, os.fstat(descriptor).st_size)
        written = super().write(descriptor, data)
        self.count()
        return written

    def sync(self, descriptor: int) -> None:
        self.count()
        super().sync(descriptor)
        self.synced_sizes.pop(descriptor, None)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        self.replaced = (source, target, target.read_bytes())
        super().replace(source, target)
        self.count()

    def sync_folder(self, folder: pathlib.Path) -> None:
        self.count()
        super().sync_folder(folder)
        self.replaced = None

    def count(self) -> None:
        """Count an operation; at the last one, lose what is not synced and fail."""
        self.operations_left -= 1
        if self.operations_left >= 0:
            return
        for descriptor, synced in self.synced_sizes.items():
            unsynced = os.fstat(descriptor).st_size - synced
            os.ftruncate(descriptor, synced + int(self.kept * unsynced))
        if self.replaced is not None and self.kept < 1:
            source, target, content = self.replaced
            target.rename(source)
            target.write_bytes(content)
        raise PowerLostError


class JournalTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name) / "data"
        self.path = self.folder / "journal"

    def open(self, name: str = NAME, file_system: DiskFileSystem | None = None) -> Journal:
        journal = Journal.open(self.folder, InstanceName(name), ConsensusRecord, file_system)
        self.addCleanup(journal.close)
        return journal

    def replayed(self) -> list[msgspec.Struct]:
        journal = self.open()
        try:
            return list(journal.replay())
        finally:
            journal.close()

    def write(self, *batches: list[msgspec.Struct]) -> list[int]:
        """Write batches; return the file's length before the first and after each."""
        journal = self.open()
        list(journal.replay())
        sizes = [journal.size]
        for batch in batches:
            journal.append(batch)
            sizes.append(journal.size)
        journal.close()
        return sizes

    def test_records_are_replayed_in_order_under_the_same_identity(self) -> None:
        first = self.open()
        first.append([TermRecord(7, 1, None), entry(1)])
        first.append([entry(2)])
        first.close()
        reopened = self.open()
        self.assertEqual(reopened.instance, first.instance)
        self.assertTrue(reopened.instance.startswith("a1."))
        self.assertEqual(list(reopened.replay()), [TermRecord(7, 1, None), entry(1), entry(2)])

    def test_a_torn_write_loses_only_its_own_records(self) -> None:
        sizes = self.write([entry(1)], [entry(2), entry(3)])
        content = self.path.read_bytes()
        for length in range(sizes[1], sizes[2]):
            self.path.write_bytes(content[:length])
            self.assertEqual(self.replayed(), [entry(1)], f"cut at {length}")
            self.assertEqual(self.path.stat().st_size, sizes[1])

    def test_missing_sectors_lose_only_the_records_of_their_write(self) -> None:
        sizes = self.write([entry(1)], [entry(2, b"x" * 3000)])
        content = bytearray(self.path.read_bytes())
        content[1024:1536] = bytes(512)
        self.path.write_bytes(content)
        self.assertEqual(self.replayed(), [entry(1)])
        self.assertEqual(self.path.stat().st_size, sizes[1])

    def test_a_flipped_bit_anywhere_is_reported_with_file_and_offset(self) -> None:
        sizes = self.write([entry(1)], [entry(2)], [entry(3)])
        content = self.path.read_bytes()
        for position in range(sizes[0], sizes[3]):
            damaged = bytearray(content)
            damaged[position] ^= 0x40
            self.path.write_bytes(damaged)
            with self.assertRaises(JournalCorruptError, msg=f"at {position}") as caught:
                self.replayed()
            frame_start = max(size for size in sizes if size <= position)
            self.assertEqual(caught.exception.offset, frame_start)
            self.assertIn(str(self.path), str(caught.exception))

    def test_files_of_other_instances_versions_and_kinds_are_refused(self) -> None:
        self.write([entry(1)])
        with self.assertRaises(JournalMismatchError):
            self.open("b2")
        content = self.path.read_bytes()
        for invalid_content in (
            b"",
            b"PK\x03\x04 something else",
            content[:8] + b"\x02" + content[9:],
        ):
            self.path.write_bytes(invalid_content)
            with self.assertRaises(JournalMismatchError):
                self.open()

    def test_a_missing_journal_starts_a_new_incarnation(self) -> None:
        first = self.open()
        first.close()
        self.path.unlink()
        self.assertNotEqual(self.open().instance, first.instance)

    def test_a_second_open_of_the_folder_is_refused(self) -> None:
        self.open()
        with self.assertRaises(JournalLockedError):
            self.open()

    def test_nothing_is_appended_after_a_failed_write_or_sync(self) -> None:
        for failing_operation in ("write", "sync"):
            file_system = BrokenFileSystem()
            journal = self.open(file_system=file_system)
            list(journal.replay())
            journal.append([entry(1)])
            file_system.failing_operation = failing_operation
            with self.assertRaises(JournalFailedError):
                journal.append([entry(2)])
            file_system.failing_operation = ""
            with self.assertRaises(JournalFailedError):
                journal.append([entry(3)])
            journal.close()
            self.assertEqual(self.replayed(), [entry(1)], failing_operation)
            self.path.unlink()

    def test_a_rewrite_is_atomic(self) -> None:
        for failing_operation in ("write", "sync", "sync_folder", ""):
            file_system = BrokenFileSystem()
            journal = self.open(file_system=file_system)
            list(journal.replay())
            journal.append([entry(n) for n in range(1, 600)])
            file_system.failing_operation = failing_operation
            if failing_operation:
                with self.assertRaises(JournalFailedError):
                    journal.rewrite([entry(600)])
            else:
                journal.rewrite([entry(600)])
                journal.append([entry(601)])
            journal.close()
            was_replaced = failing_operation in ("", "sync_folder")
            expected = (
                [600, 601] if not failing_operation else [600] if was_replaced else range(1, 600)
            )
            self.assertEqual(self.replayed(), [entry(n) for n in expected], failing_operation)
            self.assertFalse((self.folder / "journal.new").exists())
            self.path.unlink()

    # Guards against records that were synced, and so acknowledged, and are gone after a power loss.
    def test_a_power_loss_at_any_moment_loses_no_synced_record(self) -> None:
        for lost_at, kept in itertools.product(range(30), (0.0, 0.3, 0.9, 1.0)):
            with self.subTest(lost_at=lost_at, kept=kept):
                self.write([entry(1)])
                journal = self.open(file_system=FailingPower(lost_at, kept))
                synced, pending = list(journal.replay()), []
                is_lost = False
                try:
                    for index in range(2, 8):
                        pending = [entry(index, b"x" * 700)]
                        journal.append(pending)
                        synced += pending
                        if index % 3 == 0:
                            pending = []
                            journal.rewrite(synced)
                except PowerLostError:
                    is_lost = True
                journal.close()
                self.assertIn(self.replayed(), (synced, synced + pending))
                self.assertEqual(lost_at < OPERATIONS, is_lost)
                self.path.unlink()

    def test_nothing_is_appended_before_the_replay_has_ended(self) -> None:
        self.write([entry(1)])
        with self.assertRaises(JournalFailedError):
            self.open().append([entry(2)])

    def test_a_folder_that_cannot_be_created_is_a_journal_error(self) -> None:
        self.folder.parent.joinpath("data").write_bytes(b"a file")
        with self.assertRaises(JournalError):
            self.open()


if __name__ == "__main__":
    unittest.main()
