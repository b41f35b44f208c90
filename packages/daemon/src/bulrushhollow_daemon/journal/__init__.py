"""
bulrushhollow_daemon.journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The durable state of one instance: a single file of checksummed frames in one folder. Frames are
appended and synced before the instance acts on their records, and the whole file is rewritten
when it has grown.
"""

from bulrushhollow_daemon.journal._batch import apply_rewrites
from bulrushhollow_daemon.journal._errors import (
    JournalCorruptError,
    JournalError,
    JournalFailedError,
    JournalLockedError,
    JournalMismatchError,
)
from bulrushhollow_daemon.journal._files import DiskFileSystem, FileSystem
from bulrushhollow_daemon.journal._journal import Journal

__all__ = [
    "DiskFileSystem",
    "FileSystem",
    "Journal",
    "JournalCorruptError",
    "JournalError",
    "JournalFailedError",
    "JournalMismatchError",
    "JournalLockedError",
    "apply_rewrites",
]
