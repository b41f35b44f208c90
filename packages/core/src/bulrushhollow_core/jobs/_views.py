"""
bulrushhollow_core.jobs._views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What goes into a scheduler as settings, and what it shows of itself to the node, to other data
centres and to operators.
"""

import msgspec

from bulrushhollow_core.ids import (
    DataCentreId,
    Epoch,
    GuaranteeName,
    Seconds,
    WorkerId,
    WorkspaceId,
)
from bulrushhollow_core.jobs._commands import JobCommand
from bulrushhollow_core.models import Urgency

SYNC_INTERVAL = Seconds(0.5)
"""Seconds between two calls to the platform when nothing is pressing."""


class SchedulerSettings(msgspec.Struct, frozen=True):
    """
    Times and limits of a scheduler; all times in seconds.

    :param worker_lease: for how long each call renews the leases of the workers.
    :param start_window: within it all tasks of a gang have to be running; the platform refuses
        to start them later.
    :param grace: a preempted gang that has not been checkpointed within it is stopped.
    :param checkpoint_retry: a checkpoint that failed is asked for again after it.
    :param proposal_timeout: a command that has not come back from the log is proposed again.
    :param orphan_grace: tasks that the log does not know of are stopped after it.
    :param open_intents: starts that may be waiting for the log at once.
    :param moves_per_tick: queued jobs given to other data centres in one tick.
    :param move_age: waiting time after which a job may go where it fits at once.
    :param failure_limit: attempts lost through the job itself after which it ends as failed.
    :param early_loss_window: a worker lost within this time of a start makes the job suspect.
    :param attempt_limit: attempts of any outcome after which a job ends as failed.
    :param starvation_age: waiting time after which a gang that does not fit gets a reservation.
    :param reservations: gangs that may hold a reservation at once.
    :param eviction_age: waiting time after which a gang may move preemptible work aside.
    :param settled_run: preemptible work that has run for less is not moved aside for a gang.
    :param evictions_per_job: times a job is moved aside for work that has no guarantee.
    :param quarantine: first quarantine of a worker; it doubles each time up to the longest.
    :param longest_quarantine: see above.
    :param suspect_failures: different jobs that fail in a row on a worker before quarantine.
    """

    worker_lease: Seconds = Seconds(15.0)
    start_window: Seconds = Seconds(2.0)
    grace: Seconds = Seconds(3.0)
    checkpoint_retry: Seconds = Seconds(1.0)
    proposal_timeout: Seconds = Seconds(2.0)
    orphan_grace: Seconds = Seconds(3.0)
    open_intents: int = 64
    moves_per_tick: int = 64
    move_age: Seconds = Seconds(20.0)
    failure_limit: int = 3
    early_loss_window: Seconds = Seconds(60.0)
    attempt_limit: int = 200
    starvation_age: Seconds = Seconds(120.0)
    reservations: int = 2
    eviction_age: Seconds = Seconds(10.0)
    settled_run: Seconds = Seconds(30.0)
    evictions_per_job: int = 4
    quarantine: Seconds = Seconds(60.0)
    longest_quarantine: Seconds = Seconds(3_600.0)
    suspect_failures: int = 3


class ProposeCommand(msgspec.Struct, frozen=True):
    """Commit a command to the log; it may be lost, and is then proposed again."""

    command: JobCommand


class Fenced(msgspec.Struct, frozen=True):
    """The platform has heard from a later holder of the lease: this one has to give up."""

    highest_epoch: Epoch


SchedulerAction = ProposeCommand | Fenced


class DataCentreLoad(msgspec.Struct, frozen=True):
    """
    How busy a data centre is, as of its holder.

    :param heard: whether the holder has heard a full report of its platform.
    :param accelerators: accelerators on workers that take work.
    :param free: accelerators of those that are free.
    :param queued: accelerator-seconds that queued jobs are expected to need.
    :param best_rack: free accelerators of the rack that has most.
    """

    data_centre: DataCentreId
    heard: bool = False
    accelerators: int = 0
    free: int = 0
    queued: float = 0.0
    best_rack: int = 0


class GuaranteeShortfall(msgspec.Struct, frozen=True):
    """
    A guarantee that the present capacity can't honour in full.

    :param declared: gangs that can be claimed by declaration.
    :param missing: how many of those have no place at present.
    :param accelerators: accelerators that the missing gangs need together.
    """

    workspace: WorkspaceId
    guarantee: GuaranteeName
    declared: int
    missing: int
    accelerators: int


class QueueLength(msgspec.Struct, frozen=True):
    """Queued jobs of one class of urgency."""

    urgency: Urgency
    jobs: int


class SchedulerStatus(msgspec.Struct, frozen=True):
    """
    The state of a scheduler for operators.

    :param is_active: whether this instance decides for the data centre.
    :param has_synced: whether it has heard a full report of the platform.
    :param fragmentation: share of the free accelerators that can't serve the largest shape.
    :param slowest_reclaim: longest time from a claim to the release of all its workers.
    :param slowest_urgent_start: longest time from an urgent claim to its start.
    """

    data_centre: DataCentreId
    is_active: bool
    has_synced: bool
    workers: int = 0
    running: int = 0
    fragmentation: float = 0.0
    queues: tuple[QueueLength, ...] = ()
    shortfalls: tuple[GuaranteeShortfall, ...] = ()
    quarantined: tuple[WorkerId, ...] = ()
    slowest_reclaim: float = 0.0
    slowest_urgent_start: float = 0.0
