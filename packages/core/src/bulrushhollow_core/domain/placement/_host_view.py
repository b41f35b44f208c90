"""
bulrushhollow_core.domain.placement._host_view
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The workers that may get new work, with their free resources, as one plan starts from them.
"""

from collections.abc import Iterable, Mapping
from typing import Self

from bulrushhollow_core.domain.execution import SchedulerState
from bulrushhollow_core.domain.fleet import NORMAL_SLOWNESS, Host, Reachability, Worker, slots_in
from bulrushhollow_core.domain.model import (
    Availability,
    Event,
    StepRef,
    WorkerNews,
    detached_copy,
    log_event,
)
from bulrushhollow_core.domain.placement._exclusions import exclusion_time
from bulrushhollow_core.domain.placement._overdue import OVERDUE_AFTER
from bulrushhollow_core.domain.placement._service_loads import busy_services, service_parts
from bulrushhollow_core.domain.queueing import WaitingStep
from bulrushhollow_core.ids import DataCentreId, Seconds


class HostView:
    """Builds the hosts of each plan from what is known of the workers."""

    def __init__(self, shared: SchedulerState) -> None:
        """Create a view of the workers in the shared state of the scheduler."""
        self._shared = shared
        self._silent_data_centres: frozenset[DataCentreId] = frozenset()

    def detached(self, shared: SchedulerState) -> Self:
        """
        Return a copy that views another state.

        :param shared: a copy of this view's state, whose outbox the copy writes to.
        """
        clone = detached_copy(self)
        clone._shared = shared
        return clone

    def release_needed_workers(
        self,
        steps: Iterable[WaitingStep],
        waiting_since_by_step: Mapping[StepRef, Seconds],
        now: Seconds,
    ) -> None:
        """
        End quarantines early if a waiting step has no other worker, as all that may run it have
        failed. Steps without a worker would otherwise wait for as long as the quarantines last.
        Workers without room do not count as other workers for long on a service that is not busy,
        and for a long-running step on any.
        """
        workers = self._shared.fleet.workers_by_life.values()
        if all(now >= worker.quarantined_until for worker in workers):
            return
        candidates = [
            (worker, worker.announcement)
            for worker in workers
            if worker.announcement is not None
            and self._is_eligible(worker, worker.announcement, now)
        ]
        busy = busy_services(service_parts(self._shared))
        for waiting_step in steps:
            job = waiting_step.job
            step = job.work.steps[waiting_step.ref.step]
            service = self._shared.current_queue(job.queue).service
            capable = sorted(
                (
                    worker
                    for worker, news in candidates
                    if news.service == service
                    and (not step.required_label or step.required_label in news.labels)
                    and step.needs.fits(news.capacity)
                    and not self._shared.advice.is_denied(waiting_step.ref, worker.life)
                ),
                key=lambda worker: worker.quarantined_at,
            )
            wait = exclusion_time(step.is_long_running, is_last_attempt=False)
            waited = now - waiting_since_by_step.get(waiting_step.ref, now)
            must_start = step.is_long_running or service not in busy
            counts_room = must_start and waited >= OVERDUE_AFTER
            # A gang needs room for all of its members at the same time.
            missing = len(waiting_step.task_indexes) if step.is_gang else 1
            for worker in capable:
                if now >= worker.quarantined_until:
                    room = worker.free if counts_room else worker.capacity
                    missing -= slots_in(room, step.needs, missing)
            for worker in capable:
                if missing <= 0:
                    break
                if worker.quarantined_at + wait <= now < worker.quarantined_until:
                    worker.release_from_quarantine(now)
                    room = worker.free if counts_room else worker.capacity
                    missing -= slots_in(room, step.needs, missing)

    def usable_hosts(self, now: Seconds) -> list[Host]:
        """Return the workers that may get new work."""
        workers = self._shared.fleet.workers_by_life.values()
        reachability = Reachability(workers, self._shared.settings.heartbeat_interval, now)
        self._log_reachability(reachability)
        index = self._shared.state.configuration_index
        guards_by_service = index.checks_admission_by_service if index is not None else {}
        return [
            self._build_host(worker, worker.announcement, now)
            for worker in workers
            if worker.announcement is not None
            and self._accepts_work(worker, worker.announcement, now)
            and reachability.is_likely(worker)
            and (
                # Such workers refuse what exceeds their capacity.
                guards_by_service.get(worker.announcement.service, False)
                or reachability.is_capacity_current(worker)
            )
        ]

    def _accepts_work(self, worker: Worker, announcement: WorkerNews, now: Seconds) -> bool:
        """Return whether nothing that is known of a worker rules out new work."""
        return (
            now >= worker.backoff_until
            and now >= worker.quarantined_until
            and not worker.is_closed
            and self._is_eligible(worker, announcement, now)
        )

    def _is_eligible(self, worker: Worker, announcement: WorkerNews, now: Seconds) -> bool:
        """Return whether nothing but a passing state of a worker may rule out new work."""
        state = self._shared.state
        return (
            announcement.availability is Availability.READY
            and worker.has_clock
            and worker.silent_since is None
            and announcement.data_centre not in state.evacuated_data_centres
            and worker.life not in state.draining_workers
            and worker.life not in self._shared.departed_lives
        )

    def _build_host(self, worker: Worker, announcement: WorkerNews, now: Seconds) -> Host:
        speeds = self._shared.speeds
        slowness = speeds.slowness_of(worker.life) if speeds.is_uneven else NORMAL_SLOWNESS
        host = Host(
            life=worker.life,
            service=announcement.service,
            data_centre=announcement.data_centre,
            rack=announcement.rack,
            labels=announcement.labels,
            capacity=announcement.capacity,
            free=worker.free,
            is_suspect=worker.is_suspect,
            is_slow=(
                slowness > NORMAL_SLOWNESS
                if speeds.is_uneven
                else self._shared.straggler_detector.is_slow(worker.life)
            ),
            slowness=slowness,
            is_measured=speeds.is_uneven and speeds.is_measured(worker.life),
            has_crashed=self._shared.fleet.has_crashed_recently(worker.address, now),
            failed_at=worker.failed_at,
        )
        for run in worker.runs_by_task.values():
            if self._shared.is_freeing_resources(run, now):
                host.add_stopping(run.needs)
        return host

    def _log_reachability(self, reachability: Reachability) -> None:
        """Log which data centres are silent if these are others than before."""
        if reachability.silent_data_centres == self._silent_data_centres:
            return
        self._silent_data_centres = reachability.silent_data_centres
        self._shared.outbox.append(
            log_event(
                Event.REACHABILITY_CHANGED, silent=",".join(sorted(self._silent_data_centres))
            )
        )
