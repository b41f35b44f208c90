"""
bulrushhollow_core.domain.model._relays
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the instance that hears the announcements of a worker.
"""

import hashlib

from bulrushhollow_core.domain.model._calls import Done
from bulrushhollow_core.ids import WorkerId


def announcement_target(worker: WorkerId, answer: Done) -> str:
    """
    Return the address of the instance to which a worker should announce itself next; empty if
    unknown. Rendezvous hashing moves few workers when an instance comes or goes.

    :param answer: answer of the leader to the worker's last announcement.
    """
    return max(
        answer.relays,
        key=lambda relay: hashlib.blake2b(f"{worker} {relay}".encode(), digest_size=8).digest(),
        default=answer.leader,
    )
