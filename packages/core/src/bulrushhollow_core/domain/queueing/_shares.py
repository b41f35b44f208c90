"""
bulrushhollow_core.domain.queueing._shares
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Fair shares of workspaces by weight. A workspace that uses or asks for more than its share of the
capacity, or submits more jobs per second than its weight, is served after the others of the same
urgency. Shares only order work: capacity that nobody else asks for is lent.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from bulrushhollow_core.domain.fleet import Fleet, Host, Run
from bulrushhollow_core.domain.model import (
    NO_RESOURCES,
    ConfigurationIndex,
    Event,
    Job,
    LogEvent,
    Resources,
    detached_copy,
    log_event,
    total_of,
)
from bulrushhollow_core.domain.queueing._queueing import Priority, WaitingStep
from bulrushhollow_core.domain.replica import DomainState
from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId

RATE_WINDOW = Seconds(5.0)
"""Seconds of its rate that a workspace may submit at once; the platform's `quota-window-s`."""

BUCKET_RETENTION = Seconds(60.0)
"""Seconds without a submission after which a bucket is dropped. Any bucket refills within the
window, except those of weights below one job in five seconds."""

SHARE_LOG_INTERVAL = Seconds(1.0)
"""Minimum seconds between two log lines about the share of one workspace."""


class TokenBucket(NamedTuple):
    """Jobs that a workspace may submit at a time without exceeding its rate."""

    tokens: float
    at: Seconds

    def refilled(self, weight: float, now: Seconds) -> "TokenBucket":
        """Return the bucket now, with `weight` tokens added per second since its last use."""
        depth = _bucket_depth(weight)
        return TokenBucket(min(depth, self.tokens + weight * max(0.0, now - self.at)), now)


class RateMeter:
    """
    Meters the submissions of each workspace by a token bucket. It remembers the jobs that have not
    ended and the buckets used within the last minute.
    """

    def __init__(self) -> None:
        """Start with full buckets."""
        self._buckets_by_workspace: dict[WorkspaceId, TokenBucket] = {}
        self._is_over_rate_by_job: dict[JobId, bool] = {}

    def record_submission(
        self, job: JobId, workspace: WorkspaceId | None, weight: float, now: Seconds
    ) -> None:
        """Record an accepted job; a repeated submission of one job counts once."""
        if workspace is None or weight <= 0 or job in self._is_over_rate_by_job:
            return
        if workspace not in self._buckets_by_workspace:
            self._drop_idle_buckets(now)
        bucket = self._current_bucket(workspace, weight, now)
        is_over_rate = bucket.tokens < 1
        if not is_over_rate:
            bucket = bucket._replace(tokens=bucket.tokens - 1)
        self._buckets_by_workspace[workspace] = bucket
        self._is_over_rate_by_job[job] = is_over_rate

    def is_over_rate(self, job: JobId) -> bool:
        """Return whether a job was accepted when its workspace had used up its rate."""
        return self._is_over_rate_by_job.get(job, False)

    def would_exceed_rate(self, workspace: WorkspaceId | None, weight: float, now: Seconds) -> bool:
        """Return whether a job submitted now would be over its workspace's rate."""
        if workspace is None or weight <= 0:
            return False
        return self._current_bucket(workspace, weight, now).tokens < 1

    def forget_job(self, job: JobId) -> None:
        """Drop a job that has ended."""
        self._is_over_rate_by_job.pop(job, None)

    def _current_bucket(self, workspace: WorkspaceId, weight: float, now: Seconds) -> TokenBucket:
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is None:
            return TokenBucket(_bucket_depth(weight), now)
        return bucket.refilled(weight, now)

    def _drop_idle_buckets(self, now: Seconds) -> None:
        """Drop the buckets that have been refilled since; a new one is full as well."""
        for workspace in [
            workspace
            for workspace, bucket in self._buckets_by_workspace.items()
            if now - bucket.at > BUCKET_RETENTION
        ]:
            del self._buckets_by_workspace[workspace]


class _JobDemand(NamedTuple):
    """
    What one job takes.

    :param used: resources of its runs.
    :param demanded: resources of its runs and of its tasks that may start now.
    """

    job: Job
    is_waiting: bool
    used: Resources
    demanded: Resources


class _WorkspaceDemand(NamedTuple):
    """
    What a workspace takes, as parts of the capacity.

    :param limit: its share of the capacity.
    :param used: dominant share of its runs.
    :param demanded: dominant share of its runs and of its tasks that may start now.
    :param waiting: number of its jobs that wait.
    :param over_share: number of these that are beyond its share.
    :param over_rate: number of these that are over its rate.
    """

    limit: float
    used: float
    demanded: float
    waiting: int
    over_share: int
    over_rate: int


class ShareLedger:
    """
    Decides for each plan which jobs are beyond the share of their workspace.

    The jobs of a workspace are counted in a fixed order: first those that have started, by their
    first starts, and then the others in the order of the queue. A job is beyond the share if the
    jobs that are counted before it use the share up. Its own tasks do not count, so that a start of
    its own runs never changes the result for it. A workspace that is alone has no share to exceed.

    :param rate_meter: rates of submission of the workspaces.
    """

    def __init__(self, rate_meter: RateMeter) -> None:
        """Start without any job beyond a share."""
        self._rate_meter = rate_meter
        self._is_active = False
        self._positions_by_job: dict[JobId, int] = {}
        """Order of the first starts of the jobs that have not ended."""
        self._next_position = 0
        self._borrowing_jobs: set[JobId] = set()
        """Jobs that started beyond the share while earlier jobs still waited. They stay beyond it
        until their workspace demands no more than its share; otherwise their start would bring
        them within it."""
        self._over_share_jobs: set[JobId] = set()
        self._demands_by_workspace: dict[WorkspaceId, _WorkspaceDemand] = {}
        """Demands as of the latest plan, of the workspaces with a weight."""
        self._exceeding_workspaces: set[WorkspaceId] = set()
        """Workspaces that were last logged as beyond their share."""
        self._log_due_by_workspace: dict[WorkspaceId, Seconds] = {}

    def detached(self, rate_meter: RateMeter) -> "ShareLedger":
        """Return a copy that judges a plan with another meter and leaves this ledger as it is."""
        clone = detached_copy(self)
        clone._rate_meter = rate_meter
        return clone

    def adjust(self, job: JobId, priority: Priority) -> Priority:
        """Return the priority of a waiting or running job with regard to its workspace's share."""
        if not self._is_active or not priority.is_surplus:
            return priority
        is_over_share = job in self._over_share_jobs or self._rate_meter.is_over_rate(job)
        return priority._replace(is_over_share=True) if is_over_share else priority

    def apply(
        self,
        waiting: list[WaitingStep],
        state: DomainState,
        fleet: Fleet,
        hosts: Iterable[Host],
    ) -> list[WaitingStep]:
        """
        Return the waiting steps in the order in which they are served with regard to the shares.

        :param waiting: steps in the order without shares.
        :param hosts: usable workers; their resources are what the shares divide.
        """
        index = state.configuration_index
        self._is_active = index is not None and index.has_weights
        if index is None or not self._is_active:
            return waiting
        demands = self._collect_demands(self._by_rate(waiting), state, fleet)
        capacity = total_of((host.capacity, 1) for host in hosts)
        self._judge(demands, index, capacity)
        adjusted = [self._adjust_step(step) for step in waiting]
        adjusted.sort(key=lambda step: (step.priority, step.ref.step))
        return adjusted

    def _adjust_step(self, step: WaitingStep) -> WaitingStep:
        priority = self.adjust(step.job.id, step.priority)
        return step if priority is step.priority else step._replace(priority=priority)

    def record_start(self, job: JobId) -> None:
        """Record that tasks of a job were placed; its first start sets its place in the count."""
        if self._is_active and job not in self._positions_by_job:
            self._assign_position(job)
            if job in self._over_share_jobs:
                self._borrowing_jobs.add(job)

    def log_changes(self, now: Seconds) -> list[LogEvent]:
        """Return a log line for each workspace that has begun or ceased to exceed its share."""
        if not self._is_active:
            return []
        events = []
        for workspace, demand in self._demands_by_workspace.items():
            exceeds = demand.over_share + demand.over_rate > 0
            was_logged = workspace in self._exceeding_workspaces
            is_due = now >= self._log_due_by_workspace.get(workspace, now)
            if not demand.waiting or exceeds == was_logged or not is_due:
                continue
            self._log_due_by_workspace[workspace] = Seconds(now + SHARE_LOG_INTERVAL)
            (self._exceeding_workspaces.add if exceeds else self._exceeding_workspaces.discard)(
                workspace
            )
            events.append(_share_event(workspace, exceeds, demand))
        return events

    # Counting.

    def _by_rate(self, waiting: Iterable[WaitingStep]) -> list[WaitingStep]:
        """
        Return the steps in the order of the queue with jobs over the rate after others of their
        class. The sort is stable, so the fields of the priority that come later need no comparison.
        """

        def queue_class(step: WaitingStep) -> tuple[bool, bool, bool, bool]:
            priority = step.priority
            is_over_rate = priority.is_surplus and self._rate_meter.is_over_rate(step.job.id)
            return priority.is_surplus, priority.is_worthless, priority.is_deferrable, is_over_rate

        return sorted(waiting, key=queue_class)

    def _collect_demands(
        self, waiting: Iterable[WaitingStep], state: DomainState, fleet: Fleet
    ) -> list[_JobDemand]:
        """Return what each job takes, in the order in which the jobs are counted."""
        self._forget_ended_jobs(state)
        steps_by_job: dict[JobId, list[WaitingStep]] = {}
        for step in waiting:
            steps_by_job.setdefault(step.job.id, []).append(step)
        demands_by_job: dict[JobId, _JobDemand] = {}
        for job in state.active_jobs_by_id.values():
            runs = fleet.runs_of(job.id)
            steps = steps_by_job.get(job.id, ())
            if not runs and not steps:
                continue
            if runs and job.id not in self._positions_by_job:
                # It started under an earlier leader or before the first weight was configured.
                self._assign_position(job.id)
            used = total_of(_needs_of(job, runs)) if runs else NO_RESOURCES
            needs = (
                (job.work.steps[step.ref.step].needs, len(step.task_indexes)) for step in steps
            )
            demands_by_job[job.id] = _JobDemand(job, bool(steps), used, used.plus(total_of(needs)))
        started = [job for job in demands_by_job if job in self._positions_by_job]
        started.sort(key=self._positions_by_job.__getitem__)
        others = [job for job in steps_by_job if job not in self._positions_by_job]
        return [demands_by_job[job] for job in started + others]

    def _assign_position(self, job: JobId) -> None:
        self._positions_by_job[job] = self._next_position
        self._next_position += 1

    def _forget_ended_jobs(self, state: DomainState) -> None:
        for job in self._positions_by_job.keys() - state.active_jobs_by_id.keys():
            del self._positions_by_job[job]
        self._borrowing_jobs &= self._positions_by_job.keys()

    def _judge(
        self, demands: Iterable[_JobDemand], index: ConfigurationIndex, capacity: Resources
    ) -> None:
        """Find the jobs beyond the shares; `demands` are in the order in which they count."""
        demands_by_workspace: dict[WorkspaceId, list[_JobDemand]] = {}
        for demand in demands:
            workspace = demand.job.workspace
            if workspace is not None and index.weight_of(workspace) > 0:
                demands_by_workspace.setdefault(workspace, []).append(demand)
        total_weight = sum(index.weight_of(workspace) for workspace in demands_by_workspace)
        self._over_share_jobs = set()
        self._demands_by_workspace = {
            workspace: self._judge_workspace(
                job_demands, index.weight_of(workspace) / total_weight, capacity
            )
            for workspace, job_demands in demands_by_workspace.items()
        }
        self._exceeding_workspaces &= index.workspaces_by_name.keys()
        for workspace in self._log_due_by_workspace.keys() - index.workspaces_by_name.keys():
            del self._log_due_by_workspace[workspace]

    def _judge_workspace(
        self, demands: Sequence[_JobDemand], limit: float, capacity: Resources
    ) -> _WorkspaceDemand:
        total = total_of((demand.demanded, 1) for demand in demands)
        demanded = dominant_share(total, capacity)
        if demanded <= limit:
            self._borrowing_jobs -= {demand.job.id for demand in demands}
        counted = NO_RESOURCES
        for demand in demands:
            job = demand.job.id
            is_used_up = limit < 1 and dominant_share(counted, capacity) >= limit
            if is_used_up or job in self._borrowing_jobs:
                self._over_share_jobs.add(job)
            counted = counted.plus(demand.demanded)
        waiting_jobs = [demand.job.id for demand in demands if demand.is_waiting]
        return _WorkspaceDemand(
            limit,
            dominant_share(total_of((demand.used, 1) for demand in demands), capacity),
            demanded,
            waiting=len(waiting_jobs),
            over_share=sum(job in self._over_share_jobs for job in waiting_jobs),
            over_rate=sum(self._rate_meter.is_over_rate(job) for job in waiting_jobs),
        )


def _needs_of(job: Job, runs: Sequence[Run]) -> Iterator[tuple[Resources, int]]:
    """Yield what each task of a step needs, and how many of the runs are of that step."""
    if len(job.work.steps) == 1:
        yield job.work.steps[0].needs, len(runs)
        return
    for number, count in Counter(run.task.step for run in runs).items():
        yield job.work.steps[number].needs, count


def dominant_share(used: Resources, capacity: Resources) -> float:
    """Return the largest part that an amount takes of any resource of a capacity."""
    return max(
        used.cpu / capacity.cpu if capacity.cpu else 0.0,
        used.memory / capacity.memory if capacity.memory else 0.0,
        used.accelerators / capacity.accelerators if capacity.accelerators else 0.0,
    )


def _bucket_depth(weight: float) -> float:
    # Below one token, a workspace with a small weight could never submit within its rate.
    return max(1.0, weight * RATE_WINDOW)


def _share_event(workspace: WorkspaceId, exceeds: bool, demand: _WorkspaceDemand) -> LogEvent:
    return log_event(
        Event.SHARE_EXCEEDED,
        workspace=workspace,
        exceeded=exceeds,
        limit=round(demand.limit, 4),
        used=round(demand.used, 4),
        demanded=round(demand.demanded, 4),
        waiting_jobs=demand.waiting,
        over_share=demand.over_share,
        over_rate=demand.over_rate,
    )
