"""
bulrushhollow_core.domain.model._settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of a scheduling domain.
"""

import msgspec

from bulrushhollow_core.ids import Seconds

MAX_CHEAP_RECLAIM = Seconds(0.5)
"""Seconds to stop a run and resume another one below which reclaiming capacity counts as cheap."""


class DomainSettings(msgspec.Struct, frozen=True):
    """
    Properties of the platform, and how many lost instances the operators tolerate.

    :param longest_lease: longest lease that a worker accepts, in seconds.
    :param heartbeat_interval: seconds between two announcements of a worker.
    :param stop_timeout: longest duration of a stop, in seconds.
    :param restore_time: seconds that a task takes to resume from a checkpoint.
    :param remote_factor: factor by which a task is slower away from its data or rack.
    :param voter_count: number of voting instances: twice the tolerated losses plus one.
    :param max_waiting_polls: most polls that may wait at workers at the same time; each holds a
        connection. Other polls are answered at once, and ends of runs are noticed later.
    :param max_orders_per_worker: most orders to start and to stop runs that may be in flight to one
        worker; each holds a connection.
    :param max_direct_workers: most workers whose announcements the leader hears itself; those of
        more workers reach it in batches through the other instances.
    :param prices_delays: whether evictions are chosen by what they cost callers, where reclaiming
        capacity is cheap. Off by default: fewer large gangs are stopped, but plans take longer.
    """

    longest_lease: Seconds = Seconds(10.0)
    heartbeat_interval: Seconds = Seconds(1.5)
    stop_timeout: Seconds = Seconds(0.5)
    restore_time: Seconds = Seconds(0.6)
    remote_factor: float = 3.0
    voter_count: int = 3
    max_waiting_polls: int = 1000
    max_orders_per_worker: int = 8
    max_direct_workers: int = 500
    prices_delays: bool = False

    @property
    def is_reclaim_cheap(self) -> bool:
        """Return whether capacity can be reclaimed quickly enough to delay work to its limit."""
        return self.stop_timeout + self.restore_time < MAX_CHEAP_RECLAIM
