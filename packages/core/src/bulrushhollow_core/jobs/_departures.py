"""
bulrushhollow_core.jobs._departures
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queued jobs that can't be started here: those of a data centre that is out, those that fit none of
its racks, and those that wait while another data centre could start them at once. They go to
another data centre that takes them, or end if none ever can.
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

BALANCE_INTERVAL = Seconds(5.0)
"""Waiting jobs are given away this often at most, so that reported loads catch up between."""


class Departures:
    """
    Moves queued jobs away.

    :param data_centre: the data centre that they leave.
    """

    def __init__(
        self, data_centre: DataCentreId, queue: JobQueue, settings: SchedulerSettings
    ) -> None:
        self.loads_by_data_centre: dict[DataCentreId, DataCentreLoad] = {}
        self._data_centre = data_centre
        self._queue = queue
        self._settings = settings
        self._configuration = Configuration()
        self._misfits: dict[JobId, None] = {}
        self._proposed_at_by_job: dict[JobId, Seconds] = {}
        self._balanced_at = Seconds(float("-inf"))

    @property
    def is_out(self) -> bool:
        """Return whether operators have taken the data centre out."""
        here = self._configuration.data_centres_by_id.get(self._data_centre)
        return here is not None and here.service is Service.OUT

    def configure(self, configuration: Configuration) -> None:
        """Take over a configuration; jobs may fit now that did not, and the other way round."""
        self._configuration = configuration
        self._misfits.clear()
        for record in self._queue.records_by_job.values():
            self.check(record)

    def check(self, record: JobRecord) -> None:
        """Note a queued job that fits none of the declared racks here."""
        here = self._configuration.data_centres_by_id.get(self._data_centre)
        if here is None or not here.racks:
            return
        if not profile_fits(record.profile, here, self._configuration):
            self._misfits[record.job] = None

    def forget(self, job: JobId) -> None:
        """Forget a job that has left the queue."""
        self._misfits.pop(job, None)
        self._proposed_at_by_job.pop(job, None)

    def due(self, epoch: Epoch, permitted: bool, now: Seconds) -> list[JobCommand]:
        """
        Return commands for jobs that are to leave, a bounded number at a time.

        :param permitted: whether jobs may be started here at all.
        """
        jobs = self._queue.records_by_job if self.is_out else self._misfits
        due = (job for job in jobs if self._is_due(job, now))
        commands = (self._command(job, epoch, now) for job in due)
        found = (command for command in commands if command is not None)
        leaving = list(itertools.islice(found, self._settings.moves_per_tick))
        if permitted and now - self._balanced_at >= BALANCE_INTERVAL:
            self._balanced_at = now
            leaving += self._balance(epoch, now)
        return leaving

    def _balance(self, epoch: Epoch, now: Seconds) -> list[JobCommand]:
        """Give at most one waiting job to each data centre that can start it at once."""
        others = {
            load.data_centre: load
            for load in self.loads_by_data_centre.values()
            if load.data_centre != self._data_centre and load.heard and load.queued == 0
        }
        moves: list[JobCommand] = []
        for queue in self._queue.queues_by_profile.values():
            if not others:
                break
            record = self._queue.peek(queue)
            if record is None or not self._may_roam(record, now):
                continue
            shape = record.profile.shape
            fitting = [load for load in others.values() if can_start_at_once(shape, load)]
            ready = [load for load in fitting if self._is_in_service(load.data_centre, record)]
            if ready:
                chosen = min(ready, key=lambda load: (load.free, load.data_centre))
                del others[chosen.data_centre]
                self._proposed_at_by_job[record.job] = now
                moves.append(MoveJob(record.job, chosen.data_centre, epoch))
        return moves

    def _may_roam(self, record: JobRecord, now: Seconds) -> bool:
        waited = self._queue.waiting_time(record.job, now)
        return waited >= self._settings.move_age and self._is_due(record.job, now)

    def _is_in_service(self, data_centre: DataCentreId, record: JobRecord) -> bool:
        there = self._configuration.data_centres_by_id.get(data_centre)
        if there is None or there.service is Service.OUT:
            return False
        return profile_fits(record.profile, there, self._configuration)

    def _is_due(self, job: JobId, now: Seconds) -> bool:
        proposed_at = self._proposed_at_by_job.get(job)
        return proposed_at is None or now - proposed_at >= self._settings.proposal_timeout

    def _command(self, job: JobId, epoch: Epoch, now: Seconds) -> JobCommand | None:
        record = self._queue.records_by_job.get(job)
        if record is None:
            return None
        self._proposed_at_by_job[job] = now
        chosen = choose_data_centre(record.profile, self._configuration, self.loads_by_data_centre)
        if isinstance(chosen, Refusal):
            return self._end(record, chosen, epoch)
        if chosen == self._data_centre:
            return None
        return MoveJob(job, chosen, epoch)

    def _end(self, record: JobRecord, refusal: Refusal, epoch: Epoch) -> JobCommand | None:
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
        )


def queued_moves(
    records: Iterable[JobRecord],
    configuration: Configuration,
    loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
) -> list[MoveJob]:
    """
    Return moves for queued jobs of a data centre that has no holder to give them away.

    :param records: its queued jobs.
    """
    chosen = (
        (record, choose_data_centre(record.profile, configuration, loads_by_data_centre))
        for record in records
    )
    return [
        MoveJob(record.job, place)
        for record, place in chosen
        if not isinstance(place, Refusal) and place != record.data_centre
    ]
