"""Accepted jobs with nothing running, although there is room for them twice over."""

import unittest

from bulrushhollow_core.domain import (
    Answer,
    Evacuate,
    OrderStart,
    OrderStop,
    Poll,
    Resources,
    Step,
    Work,
)
from bulrushhollow_core.ids import DataCentreId, JobId, Seconds
from standins.domain_site import configuration
from standins.domain_workers import Worker
from tests.domain_world import HEARTBEAT_INTERVAL, Instance, World

Order = OrderStart | OrderStop | Poll

MAX_STANDING = 3.0
"""Seconds for which an accepted job may stand while there is room; the platform's figure."""


def tasks(count: int, accelerators: int = 1, is_gang: bool = False) -> Work:
    needs = Resources(1000, 1000, accelerators)
    return Work("spec", (Step(count, needs, Seconds(30.0), is_gang=is_gang),))


class Site(World):
    """A domain of 12 workers with eight accelerators each, in four data centres."""

    def __init__(self, cap: int = 0) -> None:
        super().__init__(1)
        self.run(4)
        assert self.put_configuration(configuration(1, cap=Resources(0, 0, cap)))
        self.run(2)

    def evacuate(self, data_centre: str) -> None:
        answers: list[Answer | None] = []
        self.send_call(Evacuate(DataCentreId(data_centre), True), answers.append)
        self.run_until(lambda: bool(answers), 3)

    def running_count(self, job: str) -> int:
        runs = (task for worker in self.worker_pool.workers for task in worker.runs)
        return sum(task.job == job for task in runs)

    def seconds_standing(self, job: str, limit: float = 20.0) -> float:
        """Return the time from now until anything of a job runs."""
        since = self.now
        self.run_until(lambda: self.running_count(job) > 0, limit)
        return self.now - since


class CapacityOfServiceTest(unittest.TestCase):
    # Guards against an accepted job with nothing running (LOST): a gang's reservation of the cap
    # did not yield, since half of the workers that may get new work were in use, though far less
    # than half of the service was.
    def test_a_job_starts_although_few_workers_may_get_new_work(self) -> None:
        site = Site(cap=52)
        for data_centre in ("dc0", "dc1"):
            site.evacuate(data_centre)
        site.submit("a" * 16, "usual", tasks(24), 60.0)
        site.run(2.0)
        self.assertEqual(24, site.running_count("a" * 16))
        site.submit("b" * 16, "usual", tasks(32, is_gang=True), 60.0)
        site.run(0.5)
        site.submit("c" * 16, "later", tasks(1), 60.0)
        site.run_until(lambda: JobId("c" * 16) in site.accepted, 1.0)
        self.assertLess(site.seconds_standing("c" * 16), MAX_STANDING)
        self.assertEqual(0, site.running_count("b" * 16))


class QuarantineTest(unittest.TestCase):
    def put_into_quarantine(self) -> None:
        """Put seven of the twelve workers into long quarantines, and fill the others."""
        self.site = Site()
        leader = self.site.leader()
        assert leader is not None and leader.node.scheduler is not None
        workers = leader.node.scheduler._shared.fleet.workers_by_life.values()
        self.quarantined = sorted(workers, key=lambda worker: worker.life.id)[:7]
        for worker in self.quarantined:
            for _ in range(4):
                worker.quarantine(Seconds(self.site.now))
                worker.release_from_quarantine(Seconds(self.site.now))
            worker.quarantine(Seconds(self.site.now))
        self.site.submit("a" * 16, "usual", tasks(5, accelerators=8), 60.0)
        self.site.run(3.0)
        self.assertEqual(5, self.site.running_count("a" * 16))

    # Guards against an accepted job with nothing running (LOST): all workers with room for it were
    # in quarantine, which ended early only for steps that no other worker could ever run.
    def test_a_job_starts_although_all_free_workers_are_in_quarantine(self) -> None:
        for count, is_gang in ((2, False), (3, True)):
            with self.subTest(is_gang=is_gang):
                self.put_into_quarantine()
                self.site.submit("b" * 16, "usual", tasks(count, 8, is_gang), 1.0)
                self.assertLess(self.site.seconds_standing("b" * 16, 60.0), MAX_STANDING)

    # Guards against quarantines that no longer keep anything away.
    def test_a_job_that_has_just_come_ends_no_quarantine(self) -> None:
        self.put_into_quarantine()
        self.site.submit("b" * 16, "usual", tasks(2, accelerators=8), 1.0)
        self.site.run_until(lambda: JobId("b" * 16) in self.site.accepted, 1.0)
        self.site.run(0.5)
        self.assertTrue(all(w.quarantined_until > self.site.now for w in self.quarantined))


class LostLeaderTest(unittest.TestCase):
    """The leader ends after it has committed the starts of a job, before it orders some of them."""

    def start_and_lose_leader(self, work: Work, lost_starts: int) -> float:
        """Return the time from the next leader's beginning until all tasks of the job run."""
        site = Site()
        lost: list[OrderStart] = []
        send_order = site.send_order

        def lose_order(source: Instance, order: Order) -> None:
            if isinstance(order, OrderStart) and len(lost) < lost_starts:
                lost.append(order)
                site.call_later(0.0, source.kill)
            else:
                send_order(source, order)

        site.send_order = lose_order  # type: ignore[method-assign]
        site.submit("a" * 16, "usual", work, 60.0)
        self.assertTrue(site.run_until(lambda: bool(lost), 1.0))
        self.assertTrue(site.run_until(lambda: site.leader() is not None, 5.0))
        since = site.now
        count = work.steps[0].count
        site.run_until(lambda: site.running_count("a" * 16) == count, 30.0)
        self.assertEqual([], site.oracle.violations)
        return site.now - since

    # Guards against an accepted job with nothing running (LOST): after a change of leader a task
    # waited for 14 s if its start had been recorded and its worker did not list it.
    def test_a_task_whose_start_got_lost_with_the_leader_starts(self) -> None:
        self.assertLess(self.start_and_lose_leader(tasks(1), 1), MAX_STANDING)

    # Guards against the same for a gang, which one such member holds back as a whole.
    def test_a_gang_of_which_some_starts_got_lost_with_the_leader_starts(self) -> None:
        for lost_starts in (1, 9):
            with self.subTest(lost_starts=lost_starts):
                gang = tasks(9, accelerators=8, is_gang=True)
                self.assertLess(self.start_and_lose_leader(gang, lost_starts), MAX_STANDING)


class HerdSite(World):
    """A domain of four data centres, in each of which 20 workers announce themselves together."""

    def __init__(self) -> None:
        super().__init__(1, workers=80)
        self.run(4)
        assert self.put_configuration(configuration(1))
        self.run(2)

    def started_jobs(self) -> set[JobId]:
        return {task.job for worker in self.worker_pool.workers for task in worker.runs}

    def send_heartbeat(self, worker: Worker) -> None:
        if self.now >= HEARTBEAT_INTERVAL:
            super().send_heartbeat(worker)
            return
        number = int(worker.data_centre.removeprefix("dc"))
        at = HEARTBEAT_INTERVAL * (1 + number / 4)
        self.call_later(at - self.now, lambda: World.send_heartbeat(self, worker))


class HerdTest(unittest.TestCase):
    # Guards against an accepted job with nothing running (LOST): data centres counted as silent
    # between the heartbeats of their workers, so that never enough of them were usable at once.
    def test_a_gang_starts_on_workers_whose_heartbeats_come_together(self) -> None:
        site = HerdSite()
        site.submit("a" * 16, "usual", tasks(60, accelerators=8, is_gang=True), 1.0)
        self.assertTrue(site.run_until(lambda: JobId("a" * 16) in site.accepted, 1.0))
        since = site.now
        started = site.run_until(lambda: JobId("a" * 16) in site.started_jobs(), 10.0)
        self.assertTrue(started and site.now - since < MAX_STANDING, site.now - since)


if __name__ == "__main__":
    unittest.main()
