"""
bulrushhollow_daemon.journal._errors
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Errors of the journal.
"""

import pathlib


class JournalError(Exception):
    """Base of all errors of the journal."""


class JournalLockedError(JournalError):
    """Another process holds the lock of the data folder."""


class JournalMismatchError(JournalError):
    """The file is not a journal, has another format version or belongs to another instance."""


class JournalFailedError(JournalError):
    """A write or sync failed; its records and all later ones are not acknowledged."""


class JournalCorruptError(JournalError):
    """
    Bytes that had been synced differ from what was written.

    :param path: path of the journal.
    :param offset: offset of the damaged frame in bytes.
    :param detail: kind of the damage.
    """

    def __init__(self, path: pathlib.Path, offset: int, detail: str) -> None:
        """Build a message with the path and the offset."""
        super().__init__(f"{path} is corrupt at byte {offset}: {detail}")
        self.path = path
        self.offset = offset
