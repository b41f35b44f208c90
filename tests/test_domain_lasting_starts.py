"""Lasting tasks whose starts go unanswered: when they start again, and that none runs twice."""

import unittest
from collections.abc import Callable

from bulrushhollow_core.domain import Resources, Step, Work
from bulrushhollow_core.domain.fleet import LATE_ORDER_WINDOW
from bulrushhollow_core.ids import JobId, Seconds
from standins.domain_workers import Worker
from tests.test_domain_late_starts import LosingWorld, restart
from tests.test_domain_standing_jobs import CALM_BEFORE, MAX_STANDING, Site

JOB = JobId("a" * 16)

MAX_ABSENCE = 9.0
"""Seconds for which a lasting task may be away at most; the platform's figure."""

CUT = 5.5
"""Seconds for which a worker is cut off."""


def lasting(count: int = 1, is_gang: bool = False) -> Work:
    needs = Resources(2000, 1000, 8)
    return Work("spec", (Step(count, needs, Seconds(1.0), is_gang=is_gang, is_long_running=True),))


class LostStartsTest(unittest.TestCase):
    """The starts of a lasting job get no answer."""

    def lose_starts(self, work: Work, workers: int = 4) -> None:
        """Submit a job, lose its first orders to start, and let all later ones through."""
        self.world = LosingWorld(workers)
        self.overlap = 0.0
        self.watch()
        self.world.submit(JOB, "usual", work, 1e6)
        self.assertTrue(self.world.run_until(lambda: bool(self.world.lost_starts), 5.0))
        self.ordered_at = self.world.now
        self.world.loses_starts = False

    def watch(self) -> None:
        """Measure for how long any task has two runs on workers that are up."""
        running = [
            task for each in self.world.worker_pool.workers if each.is_up for task in each.runs
        ]
        self.overlap += 0.05 * (len(running) > len(set(running)))
        self.world.call_later(0.05, self.watch)

    def first_worker(self) -> Worker:
        order = self.world.lost_starts[0]
        workers = self.world.worker_pool.workers
        return next(each for each in workers if each.life == order.life)

    def cut(self, worker: Worker, seconds: float) -> None:
        addresses = [instance.address for instance in self.world.instances]
        self.world.cut(worker.address, addresses)
        self.world.call_later(seconds, self.world.heal)

    def is_running(self) -> bool:
        workers = self.world.worker_pool.workers
        return any(task.job == JOB for each in workers if each.is_up for task in each.runs)

    def seconds_until(self, condition: Callable[[], bool]) -> float:
        self.assertTrue(self.world.run_until(condition, 30.0))
        return self.world.now - self.ordered_at

    def crash_behind_cut(self, late_after: float, away: float = 0.5) -> None:
        """Cut the worker off, crash and return it, and have it carry out the start late."""
        worker, order = self.first_worker(), self.world.lost_starts[0]
        self.cut(worker, CUT)
        self.world.call_later(2.0, worker.crash)
        self.world.call_later(2.0 + away, lambda: restart(worker))
        self.world.call_later(late_after, lambda: self.world.execute_order_late(worker, order))

    # Guards against two runs of a lasting task at once (TWICE): its start went unanswered, it began
    # elsewhere, and the order was carried out in the next life of the worker, behind a cut.
    def test_a_lasting_task_waits_for_the_worker_that_left_its_start_unanswered(self) -> None:
        for late_after in (2.6, 4.0, 5.4):
            with self.subTest(late_after=late_after):
                self.lose_starts(lasting())
                self.crash_behind_cut(late_after)
                self.world.run(LATE_ORDER_WINDOW + 3.0)
                self.assertEqual(0.0, self.overlap)
                self.assertTrue(self.is_running())

    # Guards against the same for a gang, of which each member may start late.
    def test_a_lasting_gang_waits_for_the_worker_that_left_a_start_unanswered(self) -> None:
        self.lose_starts(lasting(2, is_gang=True))
        self.crash_behind_cut(4.0)
        self.world.run(LATE_ORDER_WINDOW + 3.0)
        self.assertEqual(0.0, self.overlap)
        self.assertTrue(self.is_running())

    # Guards against a lasting task that stays away (LOST) although its worker is back in reach and
    # shows that it has not carried the start out.
    def test_a_lasting_task_starts_soon_after_its_worker_is_back(self) -> None:
        for is_restarted in (False, True):
            with self.subTest(is_restarted=is_restarted):
                self.lose_starts(lasting())
                worker = self.first_worker()
                self.cut(worker, 3.0)
                if is_restarted:
                    self.world.call_later(1.0, lambda worker=worker: restart(worker))
                self.assertLess(self.seconds_until(self.is_running), 3.0 + MAX_STANDING)

    # Guards against a lasting task that stays away (LOST) although the later life, which carried
    # the start out and has ended the run, refuses the order now.
    def test_a_lasting_task_starts_soon_after_its_late_run_was_stopped(self) -> None:
        self.lose_starts(lasting())
        worker, order = self.first_worker(), self.world.lost_starts[0]
        self.cut(worker, 2.0)
        self.world.call_later(0.5, lambda: restart(worker))
        self.world.call_later(1.0, lambda: self.world.execute_order_late(worker, order))
        self.world.run(2.0)
        self.assertTrue(self.is_running())
        self.seconds_until(lambda: not self.is_running())
        self.assertLess(self.seconds_until(self.is_running), 2.0 + MAX_STANDING)
        self.assertEqual(0.0, self.overlap)

    # Guards against a lasting task that stays away (LOST) because its worker is gone for good.
    def test_a_lasting_task_starts_elsewhere_in_time_if_its_worker_is_gone(self) -> None:
        self.lose_starts(lasting())
        self.first_worker().crash()
        self.assertLess(self.seconds_until(self.is_running), MAX_ABSENCE)

    # Guards against a wait for a worker at whose address another one has begun; it refuses orders
    # to the earlier one.
    def test_a_lasting_task_does_not_wait_for_a_worker_that_was_replaced(self) -> None:
        self.lose_starts(lasting())
        worker = self.first_worker()
        worker.crash()
        self.world.call_later(1.0, lambda: worker.begin_life(worker.life.born + 1, "replacement"))
        self.assertLess(self.seconds_until(self.is_running), 1.0 + MAX_STANDING)


class LostLeaderTest(unittest.TestCase):
    # Guards against a lasting task that stays away (LOST) after its leader ended before it sent the
    # start, which its worker, as it tells the next leader, has not carried out.
    def test_a_lasting_task_whose_start_got_lost_with_the_leader_starts(self) -> None:
        site = Site()
        lost: list[object] = []

        def lose_start(source: object) -> bool:
            if lost:
                return False
            lost.append(source)
            site.call_later(0.0, source.kill)  # type: ignore[attr-defined]
            return True

        site.loses_start = lose_start
        site.submit(JOB, "usual", lasting(), 1e6)
        self.assertTrue(site.run_until(lambda: bool(lost), 1.0))
        self.assertLess(site.seconds_standing(JOB), CALM_BEFORE + MAX_STANDING)


if __name__ == "__main__":
    unittest.main()
