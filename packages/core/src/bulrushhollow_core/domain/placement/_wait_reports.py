"""
bulrushhollow_core.domain.placement._wait_reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports jobs of which nothing runs although a task's turn has come, with the reason why the step
that has waited longest does not start. What a plan does with that step is observed while the plan
is made, and changes nothing of it.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

from bulrushhollow_core.domain.execution import SchedulerState
from bulrushhollow_core.domain.fleet import Host
from bulrushhollow_core.domain.model import (
    Event,
    Job,
    LogEvent,
    Resources,
    StepRef,
    TaskState,
    WallTime,
    log_event,
    total_of,
)
from bulrushhollow_core.domain.placement._holds import find_hold, is_known_to_run
from bulrushhollow_core.domain.placement._plan import Plan
from bulrushhollow_core.domain.placement._plan_watch import (
    DemandRoom,
    PlanWatch,
    StandingStep,
    WaitReason,
    WaitReport,
    as_text,
)
from bulrushhollow_core.domain.placement._service_loads import busy_services, service_parts
from bulrushhollow_core.domain.queueing import WaitingStep, due_occurrences
from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId

MIN_REPORTED_WAIT = Seconds(2.0)
"""Seconds for which nothing of a job has run before it is reported."""

REPORT_INTERVAL = Seconds(1.0)
"""Seconds between two lines about one workspace."""

OBSERVATION_INTERVAL = Seconds(0.25)
"""Seconds between two looks at which jobs have something running."""

START_GRACE = Seconds(1.0)
"""Seconds for which a start that is under way counts as if the job ran."""

MAX_REPORTS_PER_PLAN = 8
"""Workspaces that one plan reports; the others follow in the next plans."""


class WaitReporter:
    """Reports the steps that wait for long while nothing of their jobs runs."""

    def __init__(self, shared: SchedulerState) -> None:
        """Start without reports."""
        self._shared = shared
        self._idle_since_by_job: dict[JobId, Seconds] = {}
        """Since when nothing has run of each job with a task whose turn has come."""
        self._observe_due = Seconds(-math.inf)
        self._reported_at_by_workspace: dict[WorkspaceId | None, Seconds] = {}

    def watch(
        self, waiting: Iterable[WaitingStep], hosts: Sequence[Host], now: Seconds, wall: WallTime
    ) -> PlanWatch:
        """
        Return a watch on the next plan, for the workspaces of which a line is due.

        :param waiting: steps with tasks that may start now.
        :param hosts: workers that may get new work.
        """
        if now < self._observe_due:
            return PlanWatch({}, hosts)
        self._observe_due = Seconds(now + OBSERVATION_INTERVAL)
        self._observe_jobs(now, wall)
        steps_by_workspace = self._standing_steps(waiting, now, wall)
        uncertain_by_workspace = self._uncertain_usage(steps_by_workspace, now)
        reports_by_step = {}
        for workspace, steps in steps_by_workspace.items():
            first = min(steps, key=lambda step: (step.since, not step.is_waiting))
            reports_by_step[first.ref] = WaitReport(
                first,
                len(steps) - 1,
                sum(len(step.task_indexes) for step in steps) - len(first.task_indexes),
                total_of(uncertain_by_workspace.get(workspace, {}).items()),
            )
        busy = busy_services(service_parts(self._shared)) if reports_by_step else frozenset()
        return PlanWatch(reports_by_step, hosts, busy)

    def report(
        self, watch: PlanWatch, plan: Plan | None, now: Seconds, wall: WallTime
    ) -> list[LogEvent]:
        """
        Return a log event for each watched step that the plan does not start.

        :param plan: None if no worker may get new work, or nothing waits.
        """
        placed = {demand.ref for demand, _ in plan.placements} if plan else set()
        events = []
        for ref, report in watch.reports_by_step.items():
            if ref not in placed:
                self._reported_at_by_workspace[report.step.job.workspace] = now
                events.append(self._step_waiting(watch, report, plan, now, wall))
        return events

    # Jobs of which nothing runs.

    def _observe_jobs(self, now: Seconds, wall: WallTime) -> None:
        """Record which jobs have a task whose turn has come and nothing that runs."""
        idle_since_by_job = {}
        for job in self._shared.state.active_jobs_by_id.values():
            if job.has_ended or any(map(is_known_to_run, self._shared.fleet.runs_of(job.id))):
                continue
            occurrence = next(due_occurrences(job, wall), None)
            if occurrence is None:
                continue
            since = self._idle_since_by_job.get(job.id)
            if since is None:
                waited = 0.0 if job.has_started else max(0.0, wall - job.due_at(occurrence))
                since = Seconds(now - waited)
            idle_since_by_job[job.id] = since
        self._idle_since_by_job = idle_since_by_job

    def _standing_steps(
        self, waiting: Iterable[WaitingStep], now: Seconds, wall: WallTime
    ) -> dict[WorkspaceId | None, list[StandingStep]]:
        """Return the steps that wait for long, of some workspaces of which a line is due."""
        self._reported_at_by_workspace = {
            workspace: at
            for workspace, at in self._reported_at_by_workspace.items()
            if now - at < REPORT_INTERVAL
        }
        since_by_job: dict[JobId, Seconds] = {}
        steps_by_workspace: dict[WorkspaceId | None, list[StandingStep]] = {}
        for job_id, since in self._idle_since_by_job.items():
            workspace = self._shared.workspace_of(job_id)
            is_due = (
                workspace in steps_by_workspace or len(steps_by_workspace) < MAX_REPORTS_PER_PLAN
            ) and workspace not in self._reported_at_by_workspace
            if is_due and now - since >= MIN_REPORTED_WAIT and not self._is_starting(job_id, now):
                since_by_job[job_id] = since
                steps_by_workspace.setdefault(workspace, [])
        waiting_jobs = set()
        for each in waiting if since_by_job else ():
            if each.job.id in since_by_job:
                waiting_jobs.add(each.job.id)
                since = since_by_job[each.job.id]
                steps_by_workspace[each.job.workspace].append(
                    StandingStep(each.job, each.ref, each.task_indexes, since, True)
                )
        for job_id, since in since_by_job.items():
            if job_id not in waiting_jobs:
                job = self._shared.state.jobs_by_id[job_id]
                steps_by_workspace[job.workspace].extend(
                    StandingStep(job, ref, task_indexes, since, False)
                    for ref, task_indexes in _due_steps(job, wall)
                )
        return {workspace: steps for workspace, steps in steps_by_workspace.items() if steps}

    def _is_starting(self, job_id: JobId, now: Seconds) -> bool:
        """Return whether a start of a job has been under way for a moment only."""
        runs = self._shared.fleet.runs_of(job_id)
        return any(run.loss is None and now - run.started_at < START_GRACE for run in runs)

    def _uncertain_usage(
        self, workspaces: Iterable[WorkspaceId | None], now: Seconds
    ) -> dict[WorkspaceId | None, Counter[Resources]]:
        """
        Return what the usage of workspaces counts that is not known to run: starts without an
        answer, runs that their workers have not listed yet, and lost ones.
        """
        usage: dict[WorkspaceId | None, Counter[Resources]] = {
            workspace: Counter() for workspace in workspaces
        }
        for worker in self._shared.fleet.workers_by_life.values() if usage else ():
            for task, run in worker.runs_by_task.items():
                workspace = self._shared.workspace_of(task.job)
                if workspace in usage and not is_known_to_run(run):
                    usage[workspace][run.needs] += 1
            for ref, start in worker.possible_starts(now).items():
                workspace = self._shared.workspace_of(ref.task.job)
                if workspace in usage:
                    usage[workspace][start.needs] += 1
        return usage

    # Lines.

    def _step_waiting(
        self, watch: PlanWatch, report: WaitReport, plan: Plan | None, now: Seconds, wall: WallTime
    ) -> LogEvent:
        step, view = report.step, watch.views_by_step.get(report.step.ref)
        shared = self._shared
        spec = step.job.work.steps[step.ref.step]
        service = shared.current_queue(step.job.queue).service
        fields: dict[str, object] = {}
        if not step.is_waiting:
            hold = find_hold(shared, step.job, step.ref, step.task_indexes, now, wall)
            reason = WaitReason.HELD
            fields |= {
                "hold": hold.kind.value,
                "hold_left": round(hold.left, 3),
                "worker": hold.worker,
            }
        elif view is None or plan is None:
            reason = WaitReason.UNKNOWN if watch.hosts else WaitReason.NO_WORKER
        else:
            room = DemandRoom(watch, view, plan)
            reason = room.find_reason()
            fields |= room.fields()
        configuration = shared.state.configuration
        return log_event(
            Event.STEP_WAITING,
            job=step.job.id,
            occurrence=step.ref.occurrence,
            step=step.ref.step,
            workspace=step.job.workspace or "",
            waited=round(now - step.since, 3),
            reason=reason.value,
            tasks=len(step.task_indexes),
            needs=as_text(spec.needs),
            gang=spec.is_gang,
            same_rack=spec.same_rack,
            **fields,
            uncertain=as_text(report.uncertain),
            usable=sum(host.service == service for host in watch.hosts),
            known=sum(
                worker.announcement is not None and worker.announcement.service == service
                for worker in shared.fleet.workers_by_life.values()
            ),
            more_steps=report.more_steps,
            more_tasks=report.more_tasks,
            version=configuration.version if configuration else 0,
            leading=round(now - shared.leading_since, 3),
        )


def _due_steps(job: Job, wall: WallTime) -> Iterator[tuple[StepRef, list[int]]]:
    """Yield the steps of a job whose turn has come, with their tasks that are not done."""
    for occurrence in due_occurrences(job, wall):
        records = job.occurrences_by_number.get(occurrence)
        for number, step in enumerate(job.work.steps):
            if records is None:
                task_indexes = [] if step.depends_on else list(range(step.count))
            elif all(records[dependency].is_done for dependency in step.depends_on):
                tasks = enumerate(records[number].tasks)
                task_indexes = [index for index, task in tasks if task.state is not TaskState.DONE]
            else:
                task_indexes = []
            if task_indexes:
                yield StepRef(job.id, occurrence, number), task_indexes
