"""
bench.policy_site
~~~~~~~~~~~~~~~~~

Simulates a site in virtual time: the replicated ledger, and one scheduler and one platform for each
data centre. Intervals in which nothing can happen are skipped.
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

MAX_SKIP_WHILE_QUEUED = Seconds(30.0)
"""Longest interval in seconds that is skipped while jobs are queued."""

NO_SKIP_TIME = Seconds(3.0)
"""Seconds after a fault in which no time is skipped."""

LEASE_REMAINING = Seconds(5.0)
"""Seconds for which each call assumes that the lease lasts."""


def build_platform(
    configuration: Configuration,
    data_centre: DataCentreId,
    behaviour_of: Callable[[JobId], Behaviour],
    history: History,
) -> Platform:
    """Return the platform of a data centre with a worker for each one in its declared racks."""
    platform = Platform(behaviour_of, history)
    for rack in configuration.data_centres_by_id[data_centre].racks:
        for number in range(rack.workers):
            worker = WorkerId(f"{data_centre}-{rack.id}-{number}")
            platform.add_worker(worker, RackId(f"{data_centre}-{rack.id}"), rack.per_worker)
    return platform


class Site:
    """
    Runs the real ledger and schedulers on simulated platforms.

    :param behaviour_of: returns what a job does when it runs.
    :ivar decision_seconds: wall-clock time of all steps, with the calls to platforms.
    :ivar decisions: number of steps of all schedulers.
    :ivar ended: records of jobs that have ended since the caller cleared the list.
    """

    def __init__(
        self,
        configuration: Configuration,
        behaviour_of: Callable[[JobId], Behaviour],
        seed: int,
        settings: SchedulerSettings = SchedulerSettings(),  # noqa: B008
    ) -> None:
        """Create an idle site in which every scheduler is active."""
        self.configuration = configuration
        self.ledger = JobLedger()
        self.now = Seconds(0.0)
        self.decision_seconds = 0.0
        self.decisions = 0
        self.ended: list[JobRecord] = []
        self.schedulers_by_id: dict[DataCentreId, Scheduler] = {}
        self.platforms_by_id: dict[DataCentreId, Platform] = {}
        self._epochs_by_id: dict[DataCentreId, Epoch] = {}
        self._no_skip_until = self.now
        history = History()
        self._index = 0
        self._called_at_by_data_centre: dict[DataCentreId, Seconds] = {}
        for data_centre in configuration.data_centres_by_id:
            scheduler = Scheduler(data_centre, random.Random(seed), settings)
            scheduler.configure(configuration, self.now)
            self._epochs_by_id[data_centre] = Epoch(1)
            scheduler.activate(Epoch(1), self.now)
            self.schedulers_by_id[data_centre] = scheduler
            self.platforms_by_id[data_centre] = build_platform(
                configuration, data_centre, behaviour_of, history
            )
            self._called_at_by_data_centre[data_centre] = Seconds(float("-inf"))

    def submit(self, job: JobId, profile: Profile) -> JobRecord | Refusal:
        """Choose a data centre for a job, as the instance that receives it does, and commit it."""
        loads = {dc: s.load(self.now) for dc, s in self.schedulers_by_id.items()}
        chosen = choose_data_centre(profile, self.configuration, loads)
        if isinstance(chosen, Refusal):
            return chosen
        return self.commit(SubmitJob(job, profile, chosen))

    def cancel(self, job: JobId) -> JobRecord | Refusal:
        """Cancel a job."""
        return self.commit(CancelJob(job))

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration in all schedulers at once."""
        self.configuration = configuration
        for scheduler in self.schedulers_by_id.values():
            self._perform(scheduler, scheduler.configure(configuration, self.now))

    def suspend_skipping(self) -> None:
        """Skip no time for some seconds, because a platform has just had a fault."""
        self._no_skip_until = Seconds(self.now + NO_SKIP_TIME)

    def take_over(self, data_centre: DataCentreId) -> None:
        """Activate a data centre's scheduler in a new epoch with no state but the ledger's."""
        epoch = Epoch(self._epochs_by_id[data_centre] + 1)
        self._epochs_by_id[data_centre] = epoch
        scheduler = self.schedulers_by_id[data_centre]
        scheduler.deactivate()
        scheduler.activate(epoch, self.now)
        scheduler.jobs_changed(self.ledger.live_records(data_centre), self.now)

    def commit(self, command: JobCommand) -> JobRecord | Refusal:
        """Apply a command, notify the schedulers, and commit the commands that they propose."""
        previous = self.ledger.jobs_by_id.get(command.job)
        self._index += 1
        had_ended = previous is not None and previous.state is JobState.ENDED
        outcome = self.ledger.apply(LogIndex(self._index), command)
        if isinstance(outcome, Refusal):
            for scheduler in self.schedulers_by_id.values():
                scheduler.command_refused(command, outcome, self.now)
            return outcome
        if outcome.state is JobState.ENDED and not had_ended:
            self.ended.append(outcome)
        affected_data_centres = (
            {outcome.data_centre}
            if previous is None
            else {
                previous.data_centre,
                outcome.data_centre,
            }
        )
        for data_centre in sorted(affected_data_centres):
            scheduler = self.schedulers_by_id[data_centre]
            self._perform(scheduler, scheduler.job_changed(outcome, self.now))
        return outcome

    def step(self, now: Seconds) -> None:
        """Run a tick of every scheduler, and call the platforms to which a call is due."""
        self.now = now
        loads = {dc: s.load(now) for dc, s in self.schedulers_by_id.items()}
        for data_centre, scheduler in self.schedulers_by_id.items():
            scheduler.loads_reported(loads)
            started = time.perf_counter()
            actions = scheduler.tick(now)
            self._perform(scheduler, actions)
            is_call_due = now - self._called_at_by_data_centre[data_centre] >= SYNC_INTERVAL
            if is_call_due or scheduler.is_call_urgent:
                self._call(data_centre, now)
            self.decision_seconds += time.perf_counter() - started
            self.decisions += 1

    def run_until(self, end: Seconds) -> None:
        """Run steps until ``end``."""
        while self.now < end:
            self.step(self.next_time(end))

    def next_time(self, end: Seconds) -> Seconds:
        """Return the next moment at which something can happen, ``end`` at the latest."""
        is_suspended = self.now < self._no_skip_until
        if is_suspended or any(scheduler.is_busy for scheduler in self.schedulers_by_id.values()):
            return Seconds(min(end, self.now + SYNC_INTERVAL))
        due = min(platform.next_due() for platform in self.platforms_by_id.values())
        next_at = max(self.now + SYNC_INTERVAL, due)
        if any(self.ledger.queued_by_data_centre.values()):
            next_at = min(next_at, self.now + MAX_SKIP_WHILE_QUEUED)
        next_moment = Seconds(min(end, next_at))
        for platform in self.platforms_by_id.values():
            platform.renew_leases(Seconds(next_moment + LEASE_REMAINING))
        return next_moment

    def _call(self, data_centre: DataCentreId, now: Seconds) -> None:
        scheduler = self.schedulers_by_id[data_centre]
        call = scheduler.next_call(self._epochs_by_id[data_centre], LEASE_REMAINING, now)
        answer = self.platforms_by_id[data_centre].call(call, now)
        self._called_at_by_data_centre[data_centre] = now
        self._perform(scheduler, scheduler.platform_answered(answer, now))

    def _perform(self, scheduler: Scheduler, actions: list[SchedulerAction]) -> None:
        pending = deque(actions)
        while pending:
            action = pending.popleft()
            if isinstance(action, ProposeCommand):
                self.commit(action.command)
