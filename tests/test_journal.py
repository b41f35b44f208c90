import errno
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


def entry(index: int, payload: bytes = b"payload") -> EntriesRecord:
    return EntriesRecord((LogEntry(index, 1, payload),))


class BrokenFiles(DiskFileSystem):
    """A disk whose named call fails, after writing half if it is a write."""

    def __init__(self) -> None:
        self.broken = ""

    def write(self, descriptor: int, data: bytes) -> int:
        if self.broken == "write":
            super().write(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left")
        return super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        if self.broken == "sync":
            raise OSError(errno.EIO, "sync failed")
        super().sync(descriptor)

    def sync_folder(self, folder: pathlib.Path) -> None:
        if self.broken == "sync_folder":
            raise OSError(errno.EIO, "sync failed")
        super().sync_folder(folder)


class JournalTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name) / "data"
        self.path = self.folder / "journal"

    def open(self, name: str = NAME, files: DiskFileSystem | None = None) -> Journal:
        journal = Journal.open(self.folder, InstanceName(name), ConsensusRecord, files)
        self.addCleanup(journal.close)
        return journal

    def replayed(self) -> list[msgspec.Struct]:
        journal = self.open()
        try:
            return list(journal.replay())
        finally:
            journal.close()

    def write(self, *batches: list[msgspec.Struct]) -> list[int]:
        """Write batches and return the file's length after each, the empty file first."""
        journal = self.open()
        list(journal.replay())
        sizes = [journal.size]
        for batch in batches:
            journal.append(batch)
            sizes.append(journal.size)
        journal.close()
        return sizes

    def test_records_and_identity_come_back_in_order(self) -> None:
        first = self.open()
        first.append([TermRecord(7, 1, None), entry(1)])
        first.append([entry(2)])
        first.close()
        again = self.open()
        self.assertEqual(again.instance, first.instance)
        self.assertTrue(again.instance.startswith("a1."))
        self.assertEqual(list(again.replay()), [TermRecord(7, 1, None), entry(1), entry(2)])

    def test_a_write_cut_at_any_byte_loses_only_itself(self) -> None:
        sizes = self.write([entry(1)], [entry(2), entry(3)])
        whole = self.path.read_bytes()
        for length in range(sizes[1], sizes[2]):
            self.path.write_bytes(whole[:length])
            self.assertEqual(self.replayed(), [entry(1)], f"cut at {length}")
            self.assertEqual(self.path.stat().st_size, sizes[1])

    def test_sectors_that_never_reached_the_disk_lose_only_that_write(self) -> None:
        sizes = self.write([entry(1)], [entry(2, b"x" * 3000)])
        whole = bytearray(self.path.read_bytes())
        whole[1024:1536] = bytes(512)
        self.path.write_bytes(whole)
        self.assertEqual(self.replayed(), [entry(1)])
        self.assertEqual(self.path.stat().st_size, sizes[1])

    def test_a_changed_byte_anywhere_is_refused_with_file_and_offset(self) -> None:
        sizes = self.write([entry(1)], [entry(2)], [entry(3)])
        whole = self.path.read_bytes()
        for position in range(sizes[0], sizes[3]):
            damaged = bytearray(whole)
            damaged[position] ^= 0x40
            self.path.write_bytes(damaged)
            with self.assertRaises(JournalCorruptError, msg=f"at {position}") as caught:
                self.replayed()
            frame_start = max(size for size in sizes if size <= position)
            self.assertEqual(caught.exception.offset, frame_start)
            self.assertIn(str(self.path), str(caught.exception))

    def test_foreign_files_are_refused(self) -> None:
        self.write([entry(1)])
        with self.assertRaises(JournalMismatchError):
            self.open("b2")
        whole = self.path.read_bytes()
        for content in (b"", b"PK\x03\x04 something else", whole[:8] + b"\x02" + whole[9:]):
            self.path.write_bytes(content)
            with self.assertRaises(JournalMismatchError):
                self.open()

    def test_a_missing_journal_is_a_new_incarnation(self) -> None:
        first = self.open()
        first.close()
        self.path.unlink()
        self.assertNotEqual(self.open().instance, first.instance)

    def test_a_second_process_is_kept_out(self) -> None:
        self.open()
        with self.assertRaises(JournalLockedError):
            self.open()

    def test_after_a_failed_write_or_sync_nothing_is_taken(self) -> None:
        for broken in ("write", "sync"):
            files = BrokenFiles()
            journal = self.open(files=files)
            list(journal.replay())
            journal.append([entry(1)])
            files.broken = broken
            with self.assertRaises(JournalFailedError):
                journal.append([entry(2)])
            files.broken = ""
            with self.assertRaises(JournalFailedError):
                journal.append([entry(3)])
            journal.close()
            self.assertEqual(self.replayed(), [entry(1)], broken)
            self.path.unlink()

    def test_a_rewrite_replaces_all_or_nothing(self) -> None:
        for broken in ("write", "sync", "sync_folder", ""):
            files = BrokenFiles()
            journal = self.open(files=files)
            list(journal.replay())
            journal.append([entry(n) for n in range(1, 600)])
            files.broken = broken
            if broken:
                with self.assertRaises(JournalFailedError):
                    journal.rewrite([entry(600)])
            else:
                journal.rewrite([entry(600)])
                journal.append([entry(601)])
            journal.close()
            was_replaced = broken in ("", "sync_folder")
            expected = [600, 601] if not broken else [600] if was_replaced else range(1, 600)
            self.assertEqual(self.replayed(), [entry(n) for n in expected], broken)
            self.assertFalse((self.folder / "journal.new").exists())
            self.path.unlink()

    def test_nothing_is_appended_before_the_replay_has_ended(self) -> None:
        self.write([entry(1)])
        with self.assertRaises(JournalFailedError):
            self.open().append([entry(2)])

    def test_a_folder_that_cannot_be_made_is_an_error_of_the_journal(self) -> None:
        self.folder.parent.joinpath("data").write_bytes(b"a file")
        with self.assertRaises(JournalError):
            self.open()


if __name__ == "__main__":
    unittest.main()
