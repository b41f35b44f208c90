"""
bulrushhollow_daemon.journal._errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Errors of the journal.
"""

import pathlib


class JournalError(Exception):
    """The journal can't be used."""


class JournalLockedError(JournalError):
    """Another process has the folder open."""


class JournalForeignError(JournalError):
    """The file is no journal, or one of another format version or of another instance."""


class JournalFailedError(JournalError):
    """A write or a sync failed; what it held is not acknowledged, and nothing after it is."""


class JournalCorruptError(JournalError):
    """
    Bytes that were synced once are not what was written.

    :param path: the file.
    :param offset: where the damaged frame begins, in bytes.
    """

    def __init__(self, path: pathlib.Path, offset: int, detail: str) -> None:
        """Name the file and the offset in the message."""
        super().__init__(f"{path} is corrupt at byte {offset}: {detail}")
        self.path = path
        self.offset = offset
