"""
bulrushhollow_core.jobs._rebalancer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Moves queued jobs to other data centres: all jobs of a data centre that is out, jobs that fit none
of its racks, and jobs that wait while another data centre can start them at once. A job that no
data centre can ever run ends.
"""

import itertools
from collections.abc import Iterable

from bulrushhollow_core.ids import DataCentreId, Epoch, JobId, Seconds
from bulrushhollow_core.jobs._choice import (
    can_start_at_once,
    choose_data_centre,
    profile_fits,
)
from bulrushhollow_core.jobs._commands import EndJob, JobCommand, JobEnd, MoveJob
from bulrushhollow_core.jobs._ledger import JobRecord
from bulrushhollow_core.jobs._queue import JobQueue
from bulrushhollow_core.jobs._views import DataCentreLoad, SchedulerSettings
from bulrushhollow_core.models import Configuration, Service
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

REBALANCE_INTERVAL = Seconds(5.0)
"""Minimum seconds between two rounds of moves to idle data centres; the reported loads need this
time to show the moves of the last round."""


class Rebalancer:
    """
    Proposes moves of the queued jobs of one data centre.

    :param data_centre: the data centre that the jobs leave.
    :ivar loads_by_data_centre: last reported loads of the other data centres.
    """

    def __init__(
        self, data_centre: DataCentreId, queue: JobQueue, settings: SchedulerSettings
    ) -> None:
        self.loads_by_data_centre: dict[DataCentreId, DataCentreLoad] = {}
        self._data_centre = data_centre
        self._queue = queue
        self._settings = settings
        self._configuration = Configuration()
        self._unplaceable_jobs: dict[JobId, None] = {}
        self._proposed_at_by_job: dict[JobId, Seconds] = {}
        self._last_rebalanced_at = Seconds(float("-inf"))

    @property
    def is_out(self) -> bool:
        """Return whether operators have taken the data centre out of service."""
        data_centre = self._configuration.data_centres_by_id.get(self._data_centre)
        return data_centre is not None and data_centre.service is Service.OUT

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration and check anew which queued jobs fit."""
        self._configuration = configuration
        self._unplaceable_jobs.clear()
        for record in self._queue.records_by_job.values():
            self.check_fit(record)

    def check_fit(self, record: JobRecord) -> None:
        """Mark a queued job for a move if it fits none of the declared racks here."""
        data_centre = self._configuration.data_centres_by_id.get(self._data_centre)
        if data_centre is None or not data_centre.racks:
            return
        if not profile_fits(record.profile, data_centre, self._configuration):
            self._unplaceable_jobs[record.job] = None

    def forget(self, job: JobId) -> None:
        """Drop the state of a job that has left the queue."""
        self._unplaceable_jobs.pop(job, None)
        self._proposed_at_by_job.pop(job, None)

    def due_commands(self, epoch: Epoch, can_start: bool, now: Seconds) -> list[JobCommand]:
        """
        Return commands that move or end jobs; their number is bounded.

        :param can_start: whether jobs may be started here at all.
        """
        jobs = self._queue.records_by_job if self.is_out else self._unplaceable_jobs
        due_jobs = (job for job in jobs if self._can_propose(job, now))
        commands = (self._command_for(job, epoch, now) for job in due_jobs)
        valid_commands = (command for command in commands if command is not None)
        proposals = list(itertools.islice(valid_commands, self._settings.moves_per_tick))
        if can_start and now - self._last_rebalanced_at >= REBALANCE_INTERVAL:
            self._last_rebalanced_at = now
            proposals += self._rebalance(epoch, now)
        return proposals

    def _rebalance(self, epoch: Epoch, now: Seconds) -> list[JobCommand]:
        """Move at most one waiting job to each idle data centre that can start it at once."""
        idle_loads = {
            load.data_centre: load
            for load in self.loads_by_data_centre.values()
            if load.data_centre != self._data_centre and load.heard and load.queued == 0
        }
        moves: list[JobCommand] = []
        for profile_queue in self._queue.queues_by_profile.values():
            if not idle_loads:
                break
            record = self._queue.peek(profile_queue)
            if record is None or not self._can_move(record, now):
                continue
            shape = record.profile.shape
            fitting = [load for load in idle_loads.values() if can_start_at_once(shape, load)]
            eligible = [load for load in fitting if self._can_run(load.data_centre, record)]
            if eligible:
                chosen = min(eligible, key=lambda load: (load.free, load.data_centre))
                del idle_loads[chosen.data_centre]
                self._proposed_at_by_job[record.job] = now
                moves.append(MoveJob(record.job, chosen.data_centre, epoch, self._data_centre))
        return moves

    def _can_move(self, record: JobRecord, now: Seconds) -> bool:
        waited = self._queue.waiting_time(record.job, now)
        return waited >= self._settings.move_age and self._can_propose(record.job, now)

    def _can_run(self, data_centre: DataCentreId, record: JobRecord) -> bool:
        target = self._configuration.data_centres_by_id.get(data_centre)
        if target is None or target.service is Service.OUT:
            return False
        return profile_fits(record.profile, target, self._configuration)

    def _can_propose(self, job: JobId, now: Seconds) -> bool:
        proposed_at = self._proposed_at_by_job.get(job)
        return proposed_at is None or now - proposed_at >= self._settings.proposal_timeout

    def _command_for(self, job: JobId, epoch: Epoch, now: Seconds) -> JobCommand | None:
        record = self._queue.records_by_job.get(job)
        if record is None:
            return None
        self._proposed_at_by_job[job] = now
        chosen = choose_data_centre(record.profile, self._configuration, self.loads_by_data_centre)
        if isinstance(chosen, Refusal):
            return self._end_command(record, chosen, epoch)
        if chosen == self._data_centre:
            return None
        return MoveJob(job, chosen, epoch, self._data_centre)

    def _end_command(self, record: JobRecord, refusal: Refusal, epoch: Epoch) -> JobCommand | None:
        if refusal.reason is not Reason.NEVER_FITS:
            return None
        return EndJob(
            job=record.job,
            attempt=record.attempt,
            end=JobEnd.REFUSED,
            reason=Reason.NEVER_FITS,
            detail=refusal.detail,
            execution=Execution.NOT_RUN,
            epoch=epoch,
            lease_data_centre=self._data_centre,
        )


def plan_moves(
    records: Iterable[JobRecord],
    configuration: Configuration,
    loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
) -> list[MoveJob]:
    """
    Return moves for the queued jobs of a data centre that has no lease holder to propose them.

    :param records: the queued jobs of the data centre.
    """
    chosen = (
        (record, choose_data_centre(record.profile, configuration, loads_by_data_centre))
        for record in records
    )
    return [
        MoveJob(record.job, target)
        for record, target in chosen
        if not isinstance(target, Refusal) and target != record.data_centre
    ]
