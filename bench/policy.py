"""
bench.policy
~~~~~~~~~~~~

Replays one generated trace through the real scheduler and through two baseline policies:
``python -m bench policy --seed 1 --site tamarin``.
"""

import argparse
import itertools

from bench.policy_baselines import BaselineSite, Policy, is_in_outage_window, with_service
from bench.policy_measures import (
    Figure,
    FreeWorker,
    Outcome,
    countable_jobs,
    figures,
    largest_shape,
)
from bench.policy_platform import Behaviour, PlatformWorker
from bench.policy_site import Site
from bench.policy_sites import PLANS_BY_SITE
from bench.policy_slope import emit_decision_costs
from bench.policy_trace import Fault, Trace, TraceFault, TraceJob, generate, without_faults
from bench.policy_watch import InvariantChecker
from bench.report import emit
from bulrushhollow_core.ids import JobId, Seconds
from bulrushhollow_core.jobs import JobRecord, SchedulerSettings
from bulrushhollow_core.models import Profile, Resources, Service, Urgency
from bulrushhollow_core.platform import FINAL_TASK_STATES

REAL_SCHEDULER = "bulrushhollow"

DRAIN_HOURS = 400.0
"""Hours after the last arrival for which the replay waits at most until all jobs have ended."""


class Replay:
    """
    Replays a trace through the real scheduler.

    :param trace: the jobs and faults to replay.
    :param seed: seeds the random generators of the schedulers.
    """

    def __init__(
        self,
        trace: Trace,
        seed: int,
        settings: SchedulerSettings = SchedulerSettings(),  # noqa: B008
    ) -> None:
        """Create an idle site with the trace's configuration."""
        self.trace = trace
        self._jobs_by_id = {job.job: job for job in trace.jobs}
        self._profiles = trace.configuration.profiles_by_name
        self.site = Site(trace.configuration, self._behaviour_of, seed, settings)
        self.checker = InvariantChecker(trace.configuration)
        self.outcome = Outcome()
        self._shape = largest_shape(trace.configuration)

    def run(self) -> Outcome:
        """Replay the whole trace, wait until all jobs have ended, and return the outcome."""
        for at, event, is_cancellation in sorted(self._events(), key=lambda item: item[0]):
            self._advance(at)
            self._apply_event(event, is_cancellation)
        limit = self.trace.end + DRAIN_HOURS * 3_600.0
        while self._has_live_jobs() and self.site.now < limit:
            self._advance(self.site.now + 300.0)
        self._collect_outcome()
        return self.outcome

    def _events(self) -> list[tuple[float, TraceJob | TraceFault, bool]]:
        events: list[tuple[float, TraceJob | TraceFault, bool]] = []
        for job in self.trace.jobs:
            events.append((job.at, job, False))
            if job.cancel_at is not None:
                events.append((job.cancel_at, job, True))
        return events + [(fault.at, fault, False) for fault in self.trace.faults]

    def _advance(self, at: float) -> None:
        while self.site.now < at:
            began = self.site.now
            free, busy = self._snapshot()
            self.site.step(self.site.next_time(Seconds(at)))
            self._add_measures(began, free, busy)
            self.checker.check(self.site)

    def _add_measures(self, began: float, free: list[FreeWorker], busy: int) -> None:
        seconds = min(self.site.now, self.trace.end) - began
        if seconds > 0:
            self.outcome.integrals.add(free, self._shape, busy, seconds)
            is_in_window = is_in_outage_window(self.trace, began)
            self.outcome.outage_work += busy * seconds if is_in_window else 0.0

    def _snapshot(self) -> tuple[list[FreeWorker], int]:
        workers = [
            worker
            for platform in self.site.platforms_by_id.values()
            for worker in platform.workers_by_id.values()
        ]
        used_resources = [_used_resources(worker) for worker in workers]
        free = [
            FreeWorker(worker.rack, _free_resources(worker.capacity, used))
            for worker, used in zip(workers, used_resources, strict=True)
            if worker.ready
        ]
        return free, sum(used.accelerators for used in used_resources)

    def _apply_event(self, event: TraceJob | TraceFault, is_cancellation: bool) -> None:
        if isinstance(event, TraceFault):
            self._inject_fault(event)
            self.site.suspend_skipping()
        elif is_cancellation:
            self.site.cancel(event.job)
        else:
            self._submit(event)

    def _submit(self, job: TraceJob) -> None:
        profile = self._profiles[job.profile]
        is_claimable = profile.urgency is Urgency.URGENT and self._is_claimable(profile)
        outcome = self.site.submit(job.job, profile)
        if is_claimable and isinstance(outcome, JobRecord):
            self.outcome.claims.add(job.job)

    def _is_claimable(self, profile: Profile) -> bool:
        guarantees = self.site.configuration.workspaces_by_id[profile.workspace].guarantees
        home_data_centres = [g.data_centre for g in guarantees if g.name == profile.guarantee]
        return any(
            self.site.schedulers_by_id[home].can_claim(profile)
            for home in home_data_centres
            if self.site.configuration.data_centres_by_id[home].service is Service.IN
        )

    def _inject_fault(self, fault: TraceFault) -> None:
        platform = self.site.platforms_by_id[fault.data_centre]
        worker = list(platform.workers_by_id.values())[fault.worker]
        match fault.fault:
            case Fault.CRASH:
                platform.crash_worker(worker.id)
            case Fault.CUT_OFF:
                platform.cut_off_worker(worker.id)
            case Fault.RETURN:
                platform.return_worker(worker.id)
            case Fault.FAIL_EVERYTHING | Fault.MEND:
                worker.fails_everything = fault.fault is Fault.FAIL_EVERYTHING
            case Fault.OUT | Fault.IN:
                service = Service.OUT if fault.fault is Fault.OUT else Service.IN
                self.checker.service_changed(fault.data_centre, service, self.site.now)
                updated = with_service(self.site.configuration, fault.data_centre, service)
                self.site.configure(updated)
            case Fault.TAKE_OVER:
                self.site.take_over(fault.data_centre)

    def _has_live_jobs(self) -> bool:
        ledger = self.site.ledger
        queued = any(ledger.queued_by_data_centre.values())
        return queued or any(ledger.started_by_data_centre.values())

    def _behaviour_of(self, job: JobId) -> Behaviour:
        trace_job = self._jobs_by_id[job]
        profile = self._profiles[trace_job.profile]
        return Behaviour(
            run=trace_job.run,
            tasks=profile.shape.tasks,
            idempotent=profile.idempotent,
            fails=trace_job.fails,
            checkpoint_fails=trace_job.checkpoint_fails,
        )

    def _collect_outcome(self) -> None:
        outcome = self.outcome
        platforms = self.site.platforms_by_id.values()
        violations = [*itertools.chain.from_iterable(p.violations for p in platforms)]
        violations += self.checker.violations
        outcome.violations = len(violations)
        outcome.violation_kinds = tuple(sorted({violation.kind for violation in violations}))
        outcome.wasted = sum(platform.wasted for platform in platforms)
        outcome.started_at_by_job = self.checker.whole_at_by_job
        outcome.succeeded_at_by_job = self.checker.succeeded_at_by_job
        outcome.decisions_per_second = self.site.decisions / max(1e-9, self.site.decision_seconds)
        statuses = [s.status(self.site.now) for s in self.site.schedulers_by_id.values()]
        outcome.slowest_reclaim = max(status.slowest_reclaim for status in statuses)


def _used_resources(worker: PlatformWorker) -> Resources:
    live = [t.need for t in worker.tasks_by_id.values() if t.state not in FINAL_TASK_STATES]
    return Resources(
        sum(need.accelerators for need in live),
        sum(need.cores for need in live),
        sum(need.memory_mb for need in live),
    )


def _free_resources(capacity: Resources, used: Resources) -> Resources:
    return Resources(
        capacity.accelerators - used.accelerators,
        capacity.cores - used.cores,
        capacity.memory_mb - used.memory_mb,
    )


def compare(site: str, seed: int, faults: bool = True) -> dict[str, list[Figure]]:
    """
    Replay one trace under every policy and return the figures by policy.

    :param faults: False for a control run without faults, failing jobs and failing checkpoints.
    """
    trace = generate(PLANS_BY_SITE[site](seed), seed)
    if not faults:
        trace = without_faults(trace)
    outcomes = {REAL_SCHEDULER: Replay(trace, seed).run()}
    outcomes |= {policy.value: BaselineSite(trace, policy).run() for policy in Policy}
    counted = set(countable_jobs(trace)).intersection(
        *(outcome.succeeded_at_by_job for outcome in outcomes.values())
    )
    return {name: figures(trace, outcome, counted) for name, outcome in outcomes.items()}


def main(argv: list[str]) -> int:
    """Print all figures of one seed; return 1 if the real scheduler violated an invariant."""
    parser = argparse.ArgumentParser(prog="python -m bench policy")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--site", choices=sorted(PLANS_BY_SITE), default="tamarin")
    parser.add_argument("--no-faults", action="store_true", help="a control without faults")
    parser.add_argument("--slope", action="store_true", help="cost of a decision by size instead")
    options = parser.parse_args(argv)
    if options.slope:
        emit_decision_costs(options.seed)
        return 0
    violations = 0.0
    for name, policy_figures in compare(options.site, options.seed, not options.no_faults).items():
        for figure in policy_figures:
            subject = f"{options.site}/{name}"
            emit("policy", options.seed, subject, figure.metric, figure.value, figure.unit)
            if name == REAL_SCHEDULER and figure.metric == "violations":
                violations = figure.value
    return 0 if violations == 0 else 1
