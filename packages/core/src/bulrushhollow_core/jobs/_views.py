"""
bulrushhollow_core.jobs._views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The settings of a scheduler, the actions that it returns to the node, and the load and status that
it reports to other data centres and to operators.
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
"""Seconds between two calls to the platform when no order is urgent."""


class SchedulerSettings(msgspec.Struct, frozen=True):
    """
    Times and limits of a scheduler; all times in seconds.

    :param worker_lease: time for which each call renews the leases of the workers.
    :param start_window: time within which all tasks of a gang must be running; the platform
        refuses to start them later.
    :param checkpoint_grace: time after which a preempted gang is stopped even if its checkpoint
        is not complete.
    :param checkpoint_retry: time after which a failed checkpoint is requested again.
    :param proposal_timeout: time after which a command that the log has not committed is proposed
        again.
    :param orphan_grace: time after which tasks that the log does not explain are stopped.
    :param max_pending_starts: number of starts that may wait for the log at once.
    :param moves_per_tick: number of queued jobs moved to other data centres in one tick.
    :param move_age: waiting time after which a job may move to a data centre that can start it
        at once.
    :param failure_limit: number of attempts lost through the job itself after which it ends as
        failed.
    :param early_loss_window: a worker lost within this time of a start makes the job suspect.
    :param attempt_limit: number of attempts of any outcome after which a job ends as failed.
    :param starvation_age: waiting time after which a gang that does not fit gets a reservation.
    :param max_reservations: number of gangs that may hold a reservation at once.
    :param eviction_age: waiting time after which a gang may preempt other work.
    :param min_run_before_eviction: time that preemptible work has to run before a gang may
        preempt it.
    :param max_evictions_per_job: number of times that a job is preempted for work without a
        guarantee.
    :param first_quarantine: length of a worker's first quarantine; it doubles each time.
    :param max_quarantine: upper limit of that length.
    :param failures_before_quarantine: number of different jobs that fail in a row on a worker
        before it is quarantined.
    """

    worker_lease: Seconds = Seconds(15.0)
    start_window: Seconds = Seconds(2.0)
    checkpoint_grace: Seconds = Seconds(3.0)
    checkpoint_retry: Seconds = Seconds(1.0)
    proposal_timeout: Seconds = Seconds(2.0)
    orphan_grace: Seconds = Seconds(3.0)
    max_pending_starts: int = 64
    moves_per_tick: int = 64
    move_age: Seconds = Seconds(20.0)
    failure_limit: int = 3
    early_loss_window: Seconds = Seconds(60.0)
    attempt_limit: int = 200
    starvation_age: Seconds = Seconds(120.0)
    max_reservations: int = 2
    eviction_age: Seconds = Seconds(10.0)
    min_run_before_eviction: Seconds = Seconds(30.0)
    max_evictions_per_job: int = 4
    first_quarantine: Seconds = Seconds(60.0)
    max_quarantine: Seconds = Seconds(3_600.0)
    failures_before_quarantine: int = 3


class ProposeCommand(msgspec.Struct, frozen=True):
    """Propose a command to the log; a command that is lost is proposed again."""

    command: JobCommand


class Fenced(msgspec.Struct, frozen=True):
    """
    Step down: a later holder of the lease has called the platform.

    :param highest_epoch: highest epoch that the platform has seen.
    """

    highest_epoch: Epoch


SchedulerAction = ProposeCommand | Fenced


class DataCentreLoad(msgspec.Struct, frozen=True):
    """
    The load of a data centre, as its lease holder reports it.

    :param heard: whether the holder has received a full report of its platform.
    :param accelerators: accelerators on workers that accept work.
    :param free: how many of them are free.
    :param queued: accelerator-seconds that queued jobs are expected to need.
    :param best_rack: free accelerators in the rack that has the most of them.
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

    :param declared: number of gangs that the guarantee allows at once.
    :param missing: how many of them can't be placed at present.
    :param accelerators: total accelerators that the missing gangs need.
    """

    workspace: WorkspaceId
    guarantee: GuaranteeName
    declared: int
    missing: int
    accelerators: int


class QueueLength(msgspec.Struct, frozen=True):
    """The number of queued jobs of one class of urgency."""

    urgency: Urgency
    jobs: int


class SchedulerStatus(msgspec.Struct, frozen=True):
    """
    The state of a scheduler for operators.

    :param is_active: whether this instance schedules the jobs of the data centre.
    :param has_synced: whether it has received a full report of the platform.
    :param workers: number of workers that the platform has reported.
    :param running: number of running gangs.
    :param fragmentation: share of the free accelerators that can't serve the largest shape.
    :param slowest_reclaim: longest time in seconds from a claim to the release of all its workers.
    :param slowest_urgent_start: longest time in seconds from the reservation of the workers of an
        urgent job to its start.
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
