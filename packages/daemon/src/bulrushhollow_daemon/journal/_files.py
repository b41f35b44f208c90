"""
bulrushhollow_daemon.journal._files
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The file system operations that the journal uses, behind an interface so that tests can make them
fail.
"""

import os
import pathlib
from typing import Protocol


class FileSystem(Protocol):
    """Operations that reach the disk; each raises :class:`OSError` when it fails."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write the data or its beginning; return the number of bytes written."""

    def sync(self, descriptor: int) -> None:
        """Flush a file's content and length to the disk."""

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename the source to the target, which it replaces."""

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Flush the entries of a folder to the disk."""


class DiskFileSystem:
    """The operations of the operating system."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write the data or its beginning; return the number of bytes written."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Flush a file's content and length to the disk."""
        os.fdatasync(descriptor)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename the source to the target, which it replaces."""
        source.replace(target)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Flush the entries of a folder to the disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def write_all(file_system: FileSystem, descriptor: int, data: bytes) -> None:
    """Write all of the data, in several calls if needed."""
    view = memoryview(data)
    while view:
        written = file_system.write(descriptor, bytes(view) if len(view) < len(data) else data)
        view = view[written:]
