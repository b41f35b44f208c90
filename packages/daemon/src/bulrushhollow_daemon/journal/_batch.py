"""
bulrushhollow_daemon.journal._batch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Applies the journal actions of one step.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from bulrushhollow_core.actions import Persist
from bulrushhollow_core.consensus import RewriteJournal
from bulrushhollow_daemon.journal._journal import Journal


def apply_rewrites(journal: Journal[Any], actions: Iterable[msgspec.Struct]) -> list[Any]:
    """
    Carry out the journal rewrites in a batch of actions. The records before each rewrite are
    appended first.

    :return: the records after the last rewrite, which the caller has to append.
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
