"""Accepted work that stands beside free workers, since work ahead of it waits."""

import unittest

from bulrushhollow_core.domain.fleet import ExpectedEnd, Host
from bulrushhollow_core.domain.model import Resources, Step
from bulrushhollow_core.domain.placement import Planner, Timing
from bulrushhollow_core.domain.placement._demands import TimeBudget
from bulrushhollow_core.ids import JobId, Seconds
from tests.test_domain_advice import WHOLE_WORKER, FleetHarness
from tests.test_domain_planner import NOW, WORKER_CAPACITY, make_demand, make_host, make_planner

SMALL = Resources(1000, 100, 1)
PARTLY = Resources(1000, 100, 3)


class ReservationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = FleetHarness(worker_count=9, needs_advice=False)

    def assert_small_job_starts(self) -> None:
        self.harness.enqueue("small", Step(1, SMALL, Seconds(5.0)))
        self.harness.run(3.0)
        self.assertIn(JobId("small"), self.harness.started_at_by_job)

    # Guards against two gangs that need whole workers and reserve all of them, while three of
    # eight accelerators of each are in use for a minute.
    def test_a_small_job_starts_beside_gangs_that_reserve_for_long(self) -> None:
        self.harness.enqueue("spread", Step(10, PARTLY, Seconds(60.0), max_per_worker=1))
        self.harness.run(3.0)
        for job in ("gang", "other"):
            self.harness.enqueue(job, Step(5, WHOLE_WORKER, Seconds(1.0), is_gang=True))
        self.harness.run(0.5)
        self.assert_small_job_starts()

    # Guards against a gang that reserves all workers until a task ends that lasts.
    def test_a_small_job_starts_beside_a_gang_that_waits_for_a_lasting_task(self) -> None:
        self.harness.enqueue("lasting", Step(1, SMALL, Seconds(0.0), is_long_running=True))
        self.harness.run(0.5)
        self.harness.enqueue("wide", Step(10, WHOLE_WORKER, Seconds(1.0), is_gang=True))
        self.harness.run(0.5)
        self.assert_small_job_starts()


class PlanTest(unittest.TestCase):
    # Guards against usual work that is taken not to fit, since background work of its shape must
    # leave the headroom free.
    def test_usual_work_uses_the_room_that_background_work_leaves(self) -> None:
        hosts = [make_host(f"h{number}", "r", 0 if number else 4) for number in range(10)]
        demands = [
            make_demand(name, 1, 1, urgency, is_gang=False, same_rack=False)
            for name, urgency in (("background", 2), ("usual", 1))
        ]
        plan = make_planner(hosts, [], [], headroom=8).make_plan(demands)
        self.assertEqual(["usual"], [demand.ref.job for demand, _ in plan.placements])

    # Guards against a gang that waits for fast workers for half of its duration, while slow ones
    # have room for it three times over and most of the fleet is free.
    def test_a_gang_uses_slow_workers_after_a_short_wait_for_fast_ones(self) -> None:
        hosts = [self.host(number) for number in range(10)]
        ends = [ExpectedEnd(host.life, WORKER_CAPACITY, Seconds(108.0)) for host in hosts[:4]]
        demand = make_demand("gang", 2, 8, same_rack=False, duration=20.0)
        budget = TimeBudget(Seconds(29.0), Seconds(0.0))
        demand.timing = Timing(Seconds(20.0), budget, waited_for_fast=Seconds(3.0))
        planner = Planner(hosts, list, lambda: ends, now=NOW)
        plan = planner.make_plan([demand])
        self.assertEqual([demand], [placed for placed, _ in plan.placements])

    def host(self, number: int) -> Host:
        """Return a fast worker in use or a slow one that is free."""
        is_slow = number >= 4
        host = make_host(f"h{number}", "r", 8 if is_slow else 0, is_slow=is_slow)
        host.slowness = 1.5 if is_slow else 1.0
        return host


if __name__ == "__main__":
    unittest.main()
