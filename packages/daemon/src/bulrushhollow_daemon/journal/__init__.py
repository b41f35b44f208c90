"""
bulrushhollow_daemon.journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state of one instance on its disk: one file of checksummed frames in one folder, appended and
synced before anything rests on it, and rewritten as a whole when it has grown.
"""

from bulrushhollow_daemon.journal._batch import records_after_rewrites
from bulrushhollow_daemon.journal._errors import (
    JournalCorruptError,
    JournalError,
    JournalFailedError,
    JournalForeignError,
    JournalLockedError,
)
from bulrushhollow_daemon.journal._files import DiskFiles, Files
from bulrushhollow_daemon.journal._journal import Journal

__all__ = [
    "DiskFiles",
    "Files",
    "Journal",
    "JournalCorruptError",
    "JournalError",
    "JournalFailedError",
    "JournalForeignError",
    "JournalLockedError",
    "records_after_rewrites",
]
