"""
bulrushhollow_daemon.journal._files
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The calls of the operating system that the journal rests on, so that tests can make them fail.
"""

import os
import pathlib
from typing import Protocol


class Files(Protocol):
    """Calls that reach the disk; each raises :class:`OSError` when it fails."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write some of the data and return how many bytes."""

    def sync(self, descriptor: int) -> None:
        """Make a file's content and length last."""

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file over another."""

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Make the names in a folder last."""


class DiskFiles:
    """The calls as they are."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write some of the data and return how many bytes."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Make a file's content and length last."""
        os.fdatasync(descriptor)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file over another."""
        source.replace(target)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Make the names in a folder last."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def write_all(files: Files, descriptor: int, data: bytes) -> None:
    """Write all of the data, in more than one call if need be."""
    view = memoryview(data)
    while view:
        written = files.write(descriptor, bytes(view) if len(view) < len(data) else data)
        view = view[written:]
