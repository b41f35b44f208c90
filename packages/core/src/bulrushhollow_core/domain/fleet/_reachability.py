"""
bulrushhollow_core.domain.fleet._reachability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells which workers are probably out of reach, so that nothing new is placed on them. Workers of one
data centre fail together: if a network partition cuts it off, all of them fall silent at once, long
before each one of them has missed a heartbeat.
"""

from collections.abc import Iterable, Sequence

from bulrushhollow_core.domain.fleet._fleet import Worker
from bulrushhollow_core.ids import DataCentreId, Seconds

MAX_HEARTBEAT_LATENESS = 1.3
"""Heartbeat intervals without contact after which a worker gets no new work."""

MAX_ANNOUNCEMENT_AGE = 2.5
"""Heartbeat intervals after which an announcement no longer tells the capacity of its worker, even
if the worker answers polls. Changes must show within the time of contact and one heartbeat."""

SILENT_HEARTBEATS = 4.0
"""Heartbeats of a data centre, at its usual rate, that must be missing until it counts as silent.
Heartbeats of few workers are spread unevenly."""

MIN_SILENCE = Seconds(0.4)
"""Shortest silence for which a data centre counts as silent; a message may take that long while an
instance is slow."""


def _is_silent(workers: Sequence[Worker], heartbeat_interval: Seconds, now: Seconds) -> bool:
    """Return whether heartbeats of the workers of a data centre are missing, by their contacts."""
    last_at = max(worker.last_contact_at for worker in workers)
    counted_from = last_at - MAX_HEARTBEAT_LATENESS * heartbeat_interval
    # Workers that had fallen silent before, such as crashed ones, are not expected to be heard.
    heard = [worker for worker in workers if worker.last_contact_at >= counted_from]
    usual_gap = heartbeat_interval / len(heard)
    if now - last_at <= max(MIN_SILENCE, SILENT_HEARTBEATS * usual_gap):
        return False
    # Heartbeats that come together leave long gaps, in which none is missing.
    missing = sum(worker.announced_at + heartbeat_interval <= now for worker in heard)
    return missing >= min(SILENT_HEARTBEATS, len(heard))


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
        self._announced_since = Seconds(now - MAX_ANNOUNCEMENT_AGE * heartbeat_interval)
        workers_by_data_centre: dict[DataCentreId, list[Worker]] = {}
        for worker in workers:
            if worker.announcement is not None:
                data_centre = worker.announcement.data_centre
                workers_by_data_centre.setdefault(data_centre, []).append(worker)
        self.silent_data_centres = frozenset(
            data_centre
            for data_centre, group in workers_by_data_centre.items()
            if _is_silent(group, heartbeat_interval, now)
        )

    def is_likely(self, worker: Worker) -> bool:
        """Return whether a worker that has announced itself can probably be reached."""
        return (
            worker.announcement is not None
            and worker.announcement.data_centre not in self.silent_data_centres
            and worker.silent_since is None
            and worker.last_contact_at > self._heard_since
        )

    def is_capacity_current(self, worker: Worker) -> bool:
        """Return whether a worker's announcement still tells its capacity."""
        return worker.announced_at > self._announced_since
