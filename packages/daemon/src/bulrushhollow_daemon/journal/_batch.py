"""
bulrushhollow_daemon.journal._batch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The records that the actions of one step put into the journal.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from bulrushhollow_core.actions import Persist
from bulrushhollow_core.consensus import RewriteJournal
from bulrushhollow_daemon.journal._journal import Journal


def records_after_rewrites(journal: Journal[Any], actions: Iterable[msgspec.Struct]) -> list[Any]:
    """
    Rewrite the journal as often as a batch asks for it.

    :return: the records after the last rewrite, which are still to be appended.
    :raises JournalFailedError: if the journal could not be rewritten.
    """
    records: list[Any] = []
    for action in actions:
        if isinstance(action, Persist):
            records.append(action.record)
        elif isinstance(action, RewriteJournal):
            journal.append(records)
            records = []
            journal.rewrite(action.records)
    return records
