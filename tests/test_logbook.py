"""``Logbook`` explains from the logs alone why a request or job failed."""

import json
import unittest

from bulrushhollow.logbook import Logbook
from bulrushhollow_core.domain import Occurrence, Resources, Step, TaskRef, Work
from bulrushhollow_core.ids import JobId, Seconds
from standins.domain_site import configuration
from standins.domain_workers import Crash
from tests.domain_entry import EntryInstance
from tests.domain_world import Instance, World

JOB = "5c0e7a21d94b36f8"


def make_world(seed: int) -> World:
    world = World(seed)
    world.run(4)
    assert world.put_configuration(configuration(1))
    world.run(2)
    return world


def has_ended(leader: Instance) -> bool:
    job = leader.node.state.jobs_by_id.get(JobId(JOB))
    return job is not None and job.has_ended


STEP = {"count": 2, "cpu": 1000, "mem-mb": 100, "gpu": 1, "estimate-ms": 1000}
BODY = {"spec": "spec", "steps": [STEP]}
WORK = Work("spec", (Step(2, Resources(1000, 100, 1), Seconds(1.0)),))


def submit(world: World, job: str = JOB) -> int:
    """Submit a job through a real entry application, which logs to the world's log."""
    world.work_by_job[JobId(job)] = WORK
    world.durations[JobId(job)] = 1.0
    return EntryInstance(world).submit("usual", job, BODY)


class ExplanationTest(unittest.TestCase):
    def test_job_that_failed_on_broken_workers(self) -> None:
        world = make_world(7)
        for worker in world.worker_pool.workers:
            worker.is_grey = True
        for name in (JOB, "a" * 16, "b" * 16):
            self.assertEqual(200, submit(world, name))
        leader = world.leader()
        assert leader is not None
        self.assertTrue(world.run_until(lambda: has_ended(leader), 60))
        explanation = Logbook(world.log).explain(JOB)
        self.assertIn("call_answered", explanation)
        self.assertIn("a task failed 3 times", explanation)
        self.assertIn("so the workers broke", explanation)

    def test_job_that_was_given_up_because_it_crashes_its_workers(self) -> None:
        world = make_world(7)
        world.worker_pool.crashes_by_task[TaskRef(JobId(JOB), Occurrence(0), 0, 0)] = Crash()
        self.assertEqual(200, submit(world))
        leader = world.leader()
        assert leader is not None
        self.assertTrue(world.run_until(lambda: has_ended(leader), 60))
        explanation = Logbook(world.log).explain(JOB)
        self.assertIn(f"cause: 3 workers crashed under the task {JOB}.0.0.0: w", explanation)

    def test_submission_refused_while_there_was_no_leader(self) -> None:
        world = make_world(8)
        entry = EntryInstance(world)
        world.work_by_job[JobId("c" * 16)], world.durations[JobId("c" * 16)] = WORK, 1.0
        self.assertEqual(200, entry.submit("usual", "c" * 16, BODY))
        for instance in world.instances:
            instance.kill()
        self.assertEqual(503, entry.submit("usual", JOB, BODY))
        for instance in world.instances:
            instance.start()
        world.run(4)
        explanation = Logbook(world.log).explain(JOB)
        self.assertIn("refused each time, so it has not run", explanation)
        self.assertIn("leader_lost", explanation)
        self.assertIn("leadership_taken", explanation)

    def test_submission_of_unknown_outcome_during_a_leader_change(self) -> None:
        world = make_world(9)
        entry = EntryInstance(world)
        world.work_by_job[JobId("c" * 16)], world.durations[JobId("c" * 16)] = WORK, 1.0
        self.assertEqual(200, entry.submit("usual", "c" * 16, BODY))
        leader = world.leader()
        assert leader is not None
        others = [each.address for each in world.instances if each is not leader]
        # The leader accepts the call but cannot commit it, and the other instances cannot elect
        # a new leader until the network heals.
        for address in others:
            world.cut(address, [each.address for each in world.instances])
        world.call_later(0.2, lambda: setattr(leader, "frozen_until", world.now + 9))
        self.assertEqual(504, entry.submit("usual", JOB, BODY))
        world.heal()
        world.run(4)
        explanation = Logbook(world.log).explain(JOB)
        self.assertIn("answered as unknown", explanation)
        self.assertIn("leader_lost", explanation)
        self.assertIn("leadership_taken", explanation)


class PlannedStopTest(unittest.TestCase):
    def test_call_during_a_planned_stop_is_answered_before_the_process_ends(self) -> None:
        # Found by soak seed 2043: a call that was still looking for a leader when the process
        # ended was answered with status 500.
        world = make_world(10)
        entry = EntryInstance(world)
        for instance in world.instances:
            instance.kill()
        entry.limits.drain_deadline = Seconds(world.now + 0.05)
        started_at = world.now
        self.assertEqual(503, entry.submit("usual", JOB, BODY))
        self.assertLess(world.now - started_at, 0.06)


class ParsingTest(unittest.TestCase):
    def test_unreadable_lines_are_counted(self) -> None:
        line = json.dumps({"time": "1.0", "event": "call_answered", "job": JOB, "answer": "Done"})
        book = Logbook(["no json", '{"event": "x"', " 1.25 core-1 " + line])
        self.assertIn("2 lines could not be read", book.summary())
        self.assertIn("call_answered", book.explain(JOB))

    def test_folded_lines_are_reported(self) -> None:
        folded_line = {"event": "lines_folded", "folded": {"run_ended": 7}, "dropped": 2}
        explanation = Logbook([json.dumps(folded_line)]).explain(JOB)
        self.assertIn("nothing is known", explanation)
        self.assertIn("run_ended: 7", explanation)
        self.assertIn("lines dropped: 2", explanation)


if __name__ == "__main__":
    unittest.main()
