"""
bench.policy_site
~~~~~~~~~~~~~~~~~

A whole site in virtual time: the replicated ledger, one scheduler and one platform for each data
centre. Stretches of time in which nothing can happen are skipped.
"""

import random
import time
from collections import deque
from collections.abc import Callable

from bench.policy_platform import Behaviour, History, Platform
from bulrushhollow_core.ids import DataCentreId, Epoch, JobId, LogIndex, RackId, Seconds, WorkerId
from bulrushhollow_core.jobs import (
    SYNC_INTERVAL,
    CancelJob,
    JobCommand,
    JobLedger,
    JobRecord,
    JobState,
    ProposeCommand,
    Scheduler,
    SchedulerAction,
    SchedulerSettings,
    SubmitJob,
    choose_data_centre,
)
from bulrushhollow_core.models import Configuration, Profile
from bulrushhollow_core.outcomes import Refusal

IDLE_STEP = Seconds(30.0)
"""Longest stretch of time skipped while jobs are queued."""

STIRRED = Seconds(3.0)
"""Time without skipping after a fault."""

LEASE_LEFT = Seconds(5.0)


def build_platform(
    configuration: Configuration,
    data_centre: DataCentreId,
    behaviour_of: Callable[[JobId], Behaviour],
    history: History,
) -> Platform:
    """Return the platform of a data centre with the racks that are declared for it."""
    platform = Platform(behaviour_of, history)
    for rack in configuration.data_centres_by_id[data_centre].racks:
        for number in range(rack.workers):
            worker = WorkerId(f"{data_centre}-{rack.id}-{number}")
            platform.add_worker(worker, RackId(f"{data_centre}-{rack.id}"), rack.per_worker)
    return platform


class Site:
    """
    Drives the real ledger and schedulers.

    :param behaviour_of: what a job does when it runs.
    """

    def __init__(
        self,
        configuration: Configuration,
        behaviour_of: Callable[[JobId], Behaviour],
        seed: int,
        settings: SchedulerSettings = SchedulerSettings(),  # noqa: B008
    ) -> None:
        """Make an idle site in which every scheduler leads."""
        self.configuration = configuration
        self.ledger = JobLedger()
        self.now = Seconds(0.0)
        self.decision_seconds = 0.0
        self.decisions = 0
        self.ended: list[JobRecord] = []
        self.schedulers_by_id: dict[DataCentreId, Scheduler] = {}
        self.platforms_by_id: dict[DataCentreId, Platform] = {}
        self._epochs_by_id: dict[DataCentreId, Epoch] = {}
        self._stirred_until = self.now
        history = History()
        self._index = 0
        self._called_at: dict[DataCentreId, Seconds] = {}
        for data_centre in configuration.data_centres_by_id:
            scheduler = Scheduler(data_centre, random.Random(seed), settings)
            scheduler.configure(configuration, self.now)
            self._epochs_by_id[data_centre] = Epoch(1)
            scheduler.activate(Epoch(1), self.now)
            self.schedulers_by_id[data_centre] = scheduler
            self.platforms_by_id[data_centre] = build_platform(
                configuration, data_centre, behaviour_of, history
            )
            self._called_at[data_centre] = Seconds(float("-inf"))

    def submit(self, job: JobId, profile: Profile) -> JobRecord | Refusal:
        """Accept a job as an entry instance would."""
        loads = {dc: s.load(self.now) for dc, s in self.schedulers_by_id.items()}
        chosen = choose_data_centre(profile, self.configuration, loads)
        if isinstance(chosen, Refusal):
            return chosen
        return self.commit(SubmitJob(job, profile, chosen))

    def cancel(self, job: JobId) -> JobRecord | Refusal:
        """Cancel a job."""
        return self.commit(CancelJob(job))

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force everywhere."""
        self.configuration = configuration
        for scheduler in self.schedulers_by_id.values():
            self._perform(scheduler, scheduler.configure(configuration, self.now))

    def suspend_skipping(self) -> None:
        """Skip no time for the next seconds, as a platform has just had a fault."""
        self._stirred_until = Seconds(self.now + STIRRED)

    def take_over(self, data_centre: DataCentreId) -> None:
        """Give the lease of a data centre to an instance that knows nothing but the log."""
        epoch = Epoch(self._epochs_by_id[data_centre] + 1)
        self._epochs_by_id[data_centre] = epoch
        scheduler = self.schedulers_by_id[data_centre]
        scheduler.deactivate()
        scheduler.activate(epoch, self.now)
        scheduler.jobs_changed(self.ledger.live_records(data_centre), self.now)

    def commit(self, command: JobCommand) -> JobRecord | Refusal:
        """Apply a command and let everybody know, and so on with what follows from it."""
        before = self.ledger.jobs_by_id.get(command.job)
        self._index += 1
        ended = before is not None and before.state is JobState.ENDED
        outcome = self.ledger.apply(LogIndex(self._index), command)
        if isinstance(outcome, Refusal):
            for scheduler in self.schedulers_by_id.values():
                scheduler.command_refused(command, outcome, self.now)
            return outcome
        if outcome.state is JobState.ENDED and not ended:
            self.ended.append(outcome)
        homes = (
            {outcome.data_centre}
            if before is None
            else {
                before.data_centre,
                outcome.data_centre,
            }
        )
        for home in sorted(homes):
            scheduler = self.schedulers_by_id[home]
            self._perform(scheduler, scheduler.job_changed(outcome, self.now))
        return outcome

    def step(self, now: Seconds) -> None:
        """Let all schedulers decide and call their platforms as far as calls are due."""
        self.now = now
        loads = {dc: s.load(now) for dc, s in self.schedulers_by_id.items()}
        for data_centre, scheduler in self.schedulers_by_id.items():
            scheduler.loads_reported(loads)
            started = time.perf_counter()
            actions = scheduler.tick(now)
            self._perform(scheduler, actions)
            due = now - self._called_at[data_centre] >= SYNC_INTERVAL
            if due or scheduler.is_call_urgent:
                self._call(data_centre, now)
            self.decision_seconds += time.perf_counter() - started
            self.decisions += 1

    def run_until(self, end: Seconds) -> None:
        """Let time pass until there is nothing more to do before some moment."""
        while self.now < end:
            self.step(self.next_time(end))

    def next_time(self, end: Seconds) -> Seconds:
        """Return the next moment at which something can happen, ``end`` at the latest."""
        stirred = self.now < self._stirred_until
        if stirred or any(scheduler.is_busy for scheduler in self.schedulers_by_id.values()):
            return Seconds(min(end, self.now + SYNC_INTERVAL))
        due = min(platform.next_due() for platform in self.platforms_by_id.values())
        soonest = max(self.now + SYNC_INTERVAL, due)
        if any(self.ledger.queued_by_data_centre.values()):
            soonest = min(soonest, self.now + IDLE_STEP)
        after = Seconds(min(end, soonest))
        for platform in self.platforms_by_id.values():
            platform.renew_leases(Seconds(after + LEASE_LEFT))
        return after

    def _call(self, data_centre: DataCentreId, now: Seconds) -> None:
        scheduler = self.schedulers_by_id[data_centre]
        call = scheduler.next_call(self._epochs_by_id[data_centre], LEASE_LEFT, now)
        answer = self.platforms_by_id[data_centre].call(call, now)
        self._called_at[data_centre] = now
        self._perform(scheduler, scheduler.platform_answered(answer, now))

    def _perform(self, scheduler: Scheduler, actions: list[SchedulerAction]) -> None:
        waiting = deque(actions)
        while waiting:
            action = waiting.popleft()
            if isinstance(action, ProposeCommand):
                self.commit(action.command)
