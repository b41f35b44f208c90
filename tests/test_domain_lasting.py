"""Disruption budgets of long-running tasks."""

import unittest

from bulrushhollow_core.domain import Resources, Step, TaskRef, Work, WorkerLife
from bulrushhollow_core.domain.fleet import (
    DisruptionBudget,
    Fleet,
    Run,
    RunPhase,
    allowed_disruptions,
)
from bulrushhollow_core.domain.model import Job, Occurrence, RunNumber, StepRef, SubmitJob, WallTime
from bulrushhollow_core.domain.replica import DomainState
from bulrushhollow_core.ids import JobId, Seconds, WorkerId, WorkspaceId
from standins.domain_site import queue

REF = StepRef(JobId("j"), Occurrence(0), 0)
NOW = Seconds(10.0)


def make_long_running_job(count: int, max_unavailable: int) -> Job:
    step = Step(
        count,
        Resources(1000, 100, 1),
        Seconds(1.0),
        is_long_running=True,
        max_unavailable=max_unavailable,
    )
    state = DomainState()
    submit = SubmitJob(
        JobId("j"), queue("usual", 1), WorkspaceId("team"), Work("s", (step,)), WallTime(1.0)
    )
    state.apply(submit)
    return state.jobs_by_id[JobId("j")]


def make_fleet(job: Job, percents: list[int]) -> tuple[Fleet, list[Run]]:
    fleet = Fleet()
    runs = []
    for member, percent in enumerate(percents):
        life = WorkerLife(WorkerId(f"w{member}"), 1)
        worker = fleet.get_or_create(life, f"{member}:1", NOW)
        task = TaskRef(job.id, Occurrence(0), 0, member)
        run = Run(task, RunNumber(1), life, job.work.steps[0].needs, NOW)
        run.phase = RunPhase.RUNNING
        run.percent = percent
        fleet.place(worker, run)
        runs.append(run)
    return fleet, runs


class BudgetTest(unittest.TestCase):
    def test_no_more_tasks_are_stopped_than_the_step_allows(self) -> None:
        job = make_long_running_job(5, 2)
        fleet, runs = make_fleet(job, [100] * 5)
        budget = DisruptionBudget(fleet)
        self.assertEqual([True, True, False], [budget.try_consume(job, run) for run in runs[:3]])

    def test_tasks_that_are_unavailable_already_count(self) -> None:
        job = make_long_running_job(5, 2)
        fleet, runs = make_fleet(job, [100, 100, 100, 40])
        self.assertEqual(0, allowed_disruptions(job, REF, fleet))
        self.assertFalse(DisruptionBudget(fleet).try_consume(job, runs[0]))

    def test_a_task_that_does_not_serve_yet_may_be_stopped(self) -> None:
        job = make_long_running_job(2, 1)
        fleet, runs = make_fleet(job, [100, 30])
        self.assertTrue(DisruptionBudget(fleet).try_consume(job, runs[1]))

    def test_a_step_without_a_limit_may_lose_all_tasks(self) -> None:
        job = make_long_running_job(3, 0)
        fleet, runs = make_fleet(job, [100] * 3)
        budget = DisruptionBudget(fleet)
        self.assertTrue(all(budget.try_consume(job, run) for run in runs))


if __name__ == "__main__":
    unittest.main()
