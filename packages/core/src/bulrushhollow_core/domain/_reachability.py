"""
bulrushhollow_core.domain._reachability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells which workers are probably out of reach, so that nothing new is placed on them. Workers of one
data centre fail together: if a network partition cuts it off, all of them fall silent at once, long
before each one of them has missed a heartbeat.
"""

from collections.abc import Iterable

from bulrushhollow_core.domain._fleet import Worker
from bulrushhollow_core.ids import DataCentreId, Seconds

MAX_HEARTBEAT_LATENESS = 1.3
"""Heartbeat intervals without contact after which a worker gets no new work."""

SILENT_HEARTBEATS = 4.0
"""Heartbeats of a data centre, at its usual rate, that must be missing until it counts as silent.
Heartbeats of few workers are spread unevenly."""

MIN_SILENCE = Seconds(0.4)
"""Shortest silence for which a data centre counts as silent; a message may take that long while an
instance is slow."""


class _Contacts:
    """How many workers a data centre has, and when one of them was last heard."""

    def __init__(self) -> None:
        self.worker_count = 0
        self.last_at = Seconds(0.0)

    def is_silent(self, heartbeat_interval: Seconds, now: Seconds) -> bool:
        """Return whether heartbeats of the data centre are missing."""
        usual_gap = heartbeat_interval / self.worker_count
        return now - self.last_at > max(MIN_SILENCE, SILENT_HEARTBEATS * usual_gap)


class Reachability:
    """
    Which workers were heard recently enough to get new work.

    Usage::

        >>> reachability = Reachability(fleet.workers_by_life.values(), Seconds(1.5), now)
        >>> usable = [worker for worker in workers if reachability.is_likely(worker)]

    :param heartbeat_interval: seconds between two announcements of a worker.
    """

    def __init__(
        self, workers: Iterable[Worker], heartbeat_interval: Seconds, now: Seconds
    ) -> None:
        """Find the data centres that are silent now."""
        self._heard_since = Seconds(now - MAX_HEARTBEAT_LATENESS * heartbeat_interval)
        contacts_by_data_centre: dict[DataCentreId, _Contacts] = {}
        for worker in workers:
            if worker.announcement is not None:
                contacts = contacts_by_data_centre.setdefault(
                    worker.announcement.data_centre, _Contacts()
                )
                contacts.worker_count += 1
                contacts.last_at = max(contacts.last_at, worker.last_contact_at)
        self.silent_data_centres = frozenset(
            data_centre
            for data_centre, contacts in contacts_by_data_centre.items()
            if contacts.is_silent(heartbeat_interval, now)
        )

    def is_likely(self, worker: Worker) -> bool:
        """Return whether a worker that has announced itself can probably be reached."""
        return (
            worker.announcement is not None
            and worker.announcement.data_centre not in self.silent_data_centres
            and worker.silent_since is None
            and worker.last_contact_at > self._heard_since
        )
