"""The planner under load: placement, reservations, headroom and evictions."""

import unittest

from bulrushhollow_core.domain.fleet import ExpectedEnd, Host, Run
from bulrushhollow_core.domain.model import (
    Occurrence,
    Resources,
    RunNumber,
    ServiceName,
    Step,
    StepRef,
    TaskRef,
    WorkerLife,
)
from bulrushhollow_core.domain.placement import (
    Demand,
    DemandedStep,
    HostLimits,
    Planner,
    Standing,
    Timing,
    Victim,
)
from bulrushhollow_core.domain.queueing import Headroom, Priority, Timeliness
from bulrushhollow_core.ids import DataCentreId, JobId, RackId, Seconds, WorkerId

WORKER_CAPACITY = Resources(64_000, 256_000, 8)
NOW = Seconds(100.0)


def make_host(
    name: str,
    rack: str,
    free: int = 8,
    is_suspect: bool = False,
    service: str = "svc",
    is_slow: bool = False,
) -> Host:
    free_resources = Resources(8_000 * free, 32_000 * free, free)
    life = WorkerLife(WorkerId(name), 1)
    labels = frozenset(("a", rack))
    return Host(
        life,
        ServiceName(service),
        DataCentreId("dc"),
        RackId(rack),
        labels,
        WORKER_CAPACITY,
        free_resources,
        is_suspect,
        is_slow,
    )


def make_demand(
    name: str,
    count: int,
    accelerators: int,
    urgency: int = 1,
    is_guaranteed: bool = False,
    is_gang: bool = True,
    same_rack: bool = True,
    data_rack: str = "",
    may_leave_data_rack: bool = False,
    duration: float = 2.5,
    max_per_worker: int = 0,
    placed: dict[WorkerLife, int] | None = None,
    may_evict: bool = True,
    is_reclaiming: bool = False,
    is_checkpointable: bool = False,
) -> Demand:
    needs = Resources(1_000, 1_000, accelerators)
    step = Step(
        count,
        needs,
        Seconds(duration),
        is_gang=is_gang,
        same_rack=same_rack,
        data_rack=data_rack,
        max_per_worker=max_per_worker,
        is_checkpointable=is_checkpointable,
    )
    ref = StepRef(JobId(name), Occurrence(0), 0)
    return Demand(
        DemandedStep(ref, ServiceName("svc"), step),
        range(count),
        Standing(
            urgency, make_priority(urgency, is_guaranteed), is_guaranteed, may_evict, is_reclaiming
        ),
        HostLimits(may_leave_data_rack=may_leave_data_rack),
        Timing(step.estimate),
        placed or {},
    )


def make_run(name: str, on: Host, accelerators: int = 8) -> Run:
    task = TaskRef(JobId(name), Occurrence(0), 0, 0)
    needs = Resources(8_000 * accelerators, 32_000 * accelerators, accelerators)
    return Run(task, RunNumber(1), on.life, needs, NOW)


def make_priority(urgency: int, is_guaranteed: bool = False, deadline: float = 0.0) -> Priority:
    return Priority(
        not is_guaranteed,
        False,
        urgency > 0,
        False,
        Timeliness.ON_TIME,
        deadline,
        order=0,
        occurrence=0,
    )


def make_victim(
    runs: list[Run], urgency: int, lost_work: float, deadline: float = 1000.0
) -> Victim:
    priority = make_priority(urgency, deadline=deadline)
    return Victim(runs, urgency, priority, False, lost_work)


def make_planner(
    hosts: list[Host], victims: list[Victim], expected_ends: list[ExpectedEnd], headroom: int = 0
) -> Planner:
    return Planner(hosts, lambda: victims, lambda: expected_ends, headroom)


class GangTest(unittest.TestCase):
    def test_a_gang_is_placed_on_the_rack_with_the_best_fit(self) -> None:
        hosts = [
            make_host("a", "r1"),
            make_host("b", "r1"),
            make_host("c", "r2", 4),
            make_host("d", "r2", 2),
        ]
        plan = make_planner(hosts, [], []).make_plan([make_demand("j", 3, 2)])
        [(_, placements)] = plan.placements
        self.assertEqual({"c", "d"}, {each.life.id for each in placements})

    def test_a_gang_too_large_for_any_rack_spans_racks(self) -> None:
        hosts = [make_host("a", "r1"), make_host("b", "r2")]
        plan = make_planner(hosts, [], []).make_plan([make_demand("j", 2, 8)])
        [(_, placements)] = plan.placements
        self.assertEqual(2, len(placements))

    def test_a_gang_is_placed_whole_or_not_at_all(self) -> None:
        hosts = [make_host("a", "r1"), make_host("b", "r1", 0)]
        plan = make_planner(hosts, [], []).make_plan([make_demand("j", 2, 8)])
        self.assertEqual([], plan.placements)

    def test_small_work_does_not_starve_a_waiting_gang(self) -> None:
        hosts = [make_host("a", "r1"), make_host("b", "r1", 0)]
        expected_ends = [ExpectedEnd(hosts[1].life, WORKER_CAPACITY, Seconds(NOW + 1))]
        small_demand = make_demand("small", 8, 1, urgency=2, is_gang=False, same_rack=False)
        plan = make_planner(hosts, [], expected_ends).make_plan(
            [make_demand("large", 2, 8), small_demand]
        )
        self.assertEqual([], plan.placements)

    def test_a_suspect_worker_is_used_last(self) -> None:
        hosts = [make_host("a", "r1", 8, is_suspect=True), make_host("b", "r2", 8)]
        plan = make_planner(hosts, [], []).make_plan([make_demand("j", 1, 8)])
        [(_, [placement])] = plan.placements
        self.assertEqual("b", placement.life.id)


class SlowWorkerTest(unittest.TestCase):
    def test_one_slow_worker_does_not_hold_up_a_gang(self) -> None:
        hosts = [
            make_host("a", "r1", 2),
            make_host("b", "r1", 2, is_slow=True),
            make_host("c", "r1"),
            make_host("d", "r1"),
        ]
        [(_, placements)] = (
            make_planner(hosts, [], []).make_plan([make_demand("j", 3, 4)]).placements
        )
        self.assertEqual({"c", "d"}, {each.life.id for each in placements})

    def test_a_gang_goes_to_a_rack_where_it_needs_no_slow_worker(self) -> None:
        hosts = [
            make_host("a", "r1"),
            make_host("b", "r1", is_slow=True),
            make_host("c", "r2"),
            make_host("d", "r2"),
        ]
        [(_, placements)] = (
            make_planner(hosts, [], []).make_plan([make_demand("j", 2, 8)]).placements
        )
        self.assertEqual({"c", "d"}, {each.life.id for each in placements})

    def test_background_tasks_fill_slow_workers_first(self) -> None:
        hosts = [make_host("a", "r1"), make_host("b", "r1", is_slow=True)]
        tasks = make_demand("j", 4, 1, urgency=2, is_gang=False, same_rack=False)
        [(_, placements)] = make_planner(hosts, [], []).make_plan([tasks]).placements
        self.assertEqual({"b"}, {each.life.id for each in placements})


class HeadroomTest(unittest.TestCase):
    def test_background_work_leaves_the_headroom_free_for_a_burst_of_urgent_work(self) -> None:
        for headroom, reserved in ((8, 8), (64, 12)):
            hosts = [make_host(name, "r1") for name in "abcdefghijklmnop"]
            background = make_demand(
                "j", 128, 1, urgency=2, is_gang=False, same_rack=False, is_checkpointable=True
            )
            planner = make_planner(hosts, [], [], headroom=headroom)
            [(_, placements)] = planner.make_plan([background]).placements
            self.assertEqual(128 - reserved, len(placements), "a tenth of all accelerators at most")

    def test_work_that_is_not_background_may_use_the_headroom(self) -> None:
        for urgency in (0, 1):
            hosts = [make_host(name, "r1") for name in "abcd"]
            large = make_demand("j", 4, 8, urgency=urgency)
            [(_, placements)] = (
                make_planner(hosts, [], [], headroom=16).make_plan([large]).placements
            )
            self.assertEqual(4, len(placements))

    def test_headroom_is_the_largest_demand_that_arrived_within_the_time_of_a_stop(self) -> None:
        headroom = Headroom(Seconds(0.4))
        for job, at in (("a", 1.0), ("b", 1.3), ("b", 1.4), ("c", 3.0)):
            headroom.record_arrival(JobId(job), 10, Seconds(at))
        self.assertEqual(20, headroom.required_accelerators(Seconds(3.1)))
        self.assertEqual(10, headroom.required_accelerators(Seconds(12.0)))
        self.assertEqual(0, headroom.required_accelerators(Seconds(30.0)))


class LongQueueTest(unittest.TestCase):
    def test_victim_searches_per_plan_are_limited(self) -> None:
        # Searching victims for the whole queue took 47 ms per plan under a burst, at 35 plans per
        # second, which left the leader no time for anything else.
        hosts = [make_host("a", "r1", 0)]
        victim = make_victim([make_run("other", hosts[0])], 2, 10_000.0)
        queue = [make_demand(f"j{n}", 1, 8, urgency=1) for n in range(40)]
        planner = make_planner(hosts, [victim], [])
        plan = planner.make_plan(queue)
        self.assertEqual((40, []), (len(plan.blocked), plan.evictions))
        self.assertLessEqual(planner.victim_searches, 8)

    def test_no_victims_are_searched_while_everything_fits(self) -> None:
        def fail() -> list[Victim]:
            raise AssertionError("not needed")

        hosts = [make_host("a", "r1")]
        plan = Planner(hosts, fail, fail).make_plan([make_demand("j", 1, 8)])  # type: ignore[arg-type]
        self.assertEqual(1, len(plan.placements))


class ServiceTest(unittest.TestCase):
    def test_work_goes_only_to_workers_of_its_service(self) -> None:
        hosts = [make_host("a", "r1", service="other"), make_host("b", "r1")]
        [(_, placements)] = (
            make_planner(hosts, [], []).make_plan([make_demand("j", 1, 2)]).placements
        )
        self.assertEqual(["b"], [each.life.id for each in placements])
        plain = make_demand("k", 12, 1, is_gang=False, same_rack=False)
        hosts = [make_host("a", "r1", service="other"), make_host("b", "r1")]
        [(_, placements)] = make_planner(hosts, [], []).make_plan([plain]).placements
        self.assertEqual({"b"}, {each.life.id for each in placements})


class IndependentTaskTest(unittest.TestCase):
    def test_tasks_are_placed_on_the_rack_of_their_data(self) -> None:
        hosts = [make_host("a", "r1", 4), make_host("b", "r2", 8)]
        demand = make_demand("j", 1, 1, is_gang=False, same_rack=False, data_rack="r2")
        [(_, [placement])] = make_planner(hosts, [], []).make_plan([demand]).placements
        self.assertEqual("b", placement.life.id)

    def test_tasks_wait_for_the_rack_of_their_data_before_they_leave_it(self) -> None:
        hosts = [make_host("a", "r1", 4), make_host("b", "r2", 0)]
        demand = make_demand("j", 1, 1, is_gang=False, same_rack=False, data_rack="r2")
        self.assertEqual([], make_planner(hosts, [], []).make_plan([demand]).placements)
        late = make_demand(
            "j", 1, 1, is_gang=False, same_rack=False, data_rack="r2", may_leave_data_rack=True
        )
        [(_, [placement])] = make_planner(hosts, [], []).make_plan([late]).placements
        self.assertEqual("a", placement.life.id)

    def test_background_work_without_checkpoints_always_leaves_some_accelerators_free(self) -> None:
        hosts = [make_host(name, "r1") for name in "ab"]
        background = make_demand("j", 16, 1, urgency=2, is_gang=False, same_rack=False)
        [(_, placements)] = make_planner(hosts, [], []).make_plan([background]).placements
        self.assertEqual(14, len(placements))
        usual = make_demand("k", 2, 1, urgency=1, is_gang=False, same_rack=False)
        hosts = [make_host(name, "r1", 1) for name in "ab"]
        [(_, placements)] = make_planner(hosts, [], []).make_plan([usual]).placements
        self.assertEqual(2, len(placements))

    def test_small_tasks_fill_one_rack_before_they_use_the_next(self) -> None:
        hosts = [
            make_host("a", "r1"),
            make_host("b", "r2"),
            make_host("c", "r1", 4),
            make_host("d", "r2", 8),
        ]
        small_demand = make_demand("j", 12, 1, is_gang=False, same_rack=False)
        [(_, placements)] = make_planner(hosts, [], []).make_plan([small_demand]).placements
        self.assertEqual({"a", "c"}, {each.life.id for each in placements})

    def test_a_limit_per_worker_counts_tasks_that_are_already_placed(self) -> None:
        hosts = [make_host("a", "r1")]
        placed = {hosts[0].life: 1}
        demand = make_demand(
            "j", 4, 1, is_gang=False, same_rack=False, max_per_worker=2, placed=placed
        )
        [(_, placements)] = make_planner(hosts, [], []).make_plan([demand]).placements
        self.assertEqual(1, len(placements))


class EvictionTest(unittest.TestCase):
    def test_reclaim_under_a_burst_evicts_the_cheapest_runs(self) -> None:
        hosts = [make_host("a", "r1", 0), make_host("b", "r2", 0)]
        expensive = make_victim([make_run("dear", hosts[0])], 2, 500.0)
        cheap = make_victim([make_run("cheap", hosts[1])], 2, 5.0)
        demand = make_demand("j", 1, 8, urgency=0, is_guaranteed=True)
        plan = make_planner(hosts, [expensive, cheap], []).make_plan([demand])
        self.assertEqual([cheap], [victim for _, victim in plan.evictions])

    def test_a_large_task_evicts_runs_on_one_worker_only(self) -> None:
        # Each of four workers runs eight small tasks. Evicting some on each would free no slot.
        hosts = [make_host(name, "r1", 0) for name in "abcd"]
        victims = [
            make_victim([make_run(f"{each.life.id}{n}", each, 1)], 2, float(n))
            for n in range(8)
            for each in hosts
        ]
        demand = make_demand("j", 1, 8, urgency=0)
        plan = make_planner(hosts, victims, []).make_plan([demand])
        workers = {run.life.id for _, victim in plan.evictions for run in victim.runs}
        self.assertEqual((8, 1), (len(plan.evictions), len(workers)))

    def test_nothing_is_evicted_for_resources_that_are_being_freed_already(self) -> None:
        hosts = [make_host("a", "r1", 0)]
        hosts[0].add_stopping(WORKER_CAPACITY)
        victim = make_victim([make_run("other", hosts[0])], 2, 5.0)
        demand = make_demand("j", 1, 8, urgency=0, is_guaranteed=True)
        plan = make_planner(hosts, [victim], []).make_plan([demand])
        self.assertEqual([], plan.evictions)

    def test_resources_being_freed_are_reserved_for_the_demand_that_waits_for_them(self) -> None:
        hosts = [make_host("a", "r1", 4)]
        hosts[0].add_stopping(Resources(32_000, 128_000, 4))
        urgent = make_demand("urgent", 1, 8, urgency=0, is_guaranteed=True)
        small_demand = make_demand("small", 1, 4, urgency=2, is_gang=False, same_rack=False)
        plan = make_planner(hosts, [], []).make_plan([urgent, small_demand])
        self.assertEqual([], plan.placements)

    def test_no_large_amount_of_work_is_discarded_for_little_work(self) -> None:
        hosts = [make_host("a", "r1", 0)]
        victim = make_victim([make_run("other", hosts[0])], 2, 10_000.0)
        demand = make_demand("j", 1, 8, urgency=0)
        plan = make_planner(hosts, [victim], []).make_plan([demand])
        self.assertEqual([], plan.evictions)

    def test_only_urgent_work_may_evict(self) -> None:
        for urgency, evicted in ((0, 1), (1, 0)):
            for lost_work in (0.0, 100.0):
                hosts = [make_host("a", "r1", 0)]
                victim = make_victim([make_run("other", hosts[0])], 2, lost_work)
                demand = make_demand("j", 1, 8, urgency=urgency)
                plan = make_planner(hosts, [victim], []).make_plan([demand])
                self.assertEqual(evicted, len(plan.evictions), (urgency, lost_work))

    def test_nothing_is_evicted_that_would_be_served_before_the_demand(self) -> None:
        # trouble-1 of tga-skid-large: a gang preempted tasks of a background job that the queue
        # served before it. They took the freed accelerators back, and the gang never started.
        hosts = [make_host("a", "r1", 0)]
        victim = make_victim([make_run("other", hosts[0])], 0, 1.0, deadline=-1.0)
        guaranteed = make_demand("j", 1, 8, urgency=0, is_guaranteed=True, is_reclaiming=True)
        surplus = make_demand("j", 1, 8, urgency=0)
        for demand, evicted in ((guaranteed, 1), (surplus, 0)):
            plan = make_planner(hosts, [victim], []).make_plan([demand])
            self.assertEqual(evicted, len(plan.evictions), demand.standing.is_guaranteed)

    def test_a_job_that_is_served_last_evicts_nothing(self) -> None:
        # Its victims would be placed again before it and evicted again, in an endless cycle.
        hosts = [make_host("a", "r1", 0)]
        victim = make_victim([make_run("other", hosts[0])], 2, 1.0)
        demand = make_demand("j", 1, 8, urgency=0, may_evict=False)
        self.assertEqual([], make_planner(hosts, [victim], []).make_plan([demand]).evictions)

    def test_a_guarantee_discards_much_work_only_once_it_is_due(self) -> None:
        for is_reclaiming, evicted in ((False, 0), (True, 1)):
            hosts = [make_host("a", "r1", 0)]
            victim = make_victim([make_run("other", hosts[0])], 1, 10_000.0)
            demand = make_demand(
                "j", 1, 8, urgency=0, is_guaranteed=True, is_reclaiming=is_reclaiming
            )
            plan = make_planner(hosts, [victim], []).make_plan([demand])
            self.assertEqual(evicted, len(plan.evictions))

    def test_the_smallest_urgent_job_may_discard_some_work(self) -> None:
        hosts = [make_host("a", "r1", 0)]
        victim = make_victim([make_run("other", hosts[0])], 1, 300.0)
        demand = make_demand("j", 1, 1, urgency=0, duration=0.3)
        plan = make_planner(hosts, [victim], []).make_plan([demand])
        self.assertEqual([victim], [each for _, each in plan.evictions])

    def test_a_guarantee_is_reclaimed_from_urgent_work_outside_a_guarantee(self) -> None:
        hosts = [make_host("a", "r1", 0)]
        victim = make_victim([make_run("other", hosts[0])], 0, 10_000.0)
        demand = make_demand("j", 1, 8, urgency=0, is_guaranteed=True, is_reclaiming=True)
        plan = make_planner(hosts, [victim], []).make_plan([demand])
        self.assertEqual([victim], [each for _, each in plan.evictions])

    def test_urgent_work_is_not_evicted_before_the_guarantee_is_due(self) -> None:
        # Burst of urgent gangs: each one within a guarantee evicted another one that had just
        # started, since that one had lost the least work, and both were late.
        hosts = [make_host("a", "r1", 0)]
        victim = make_victim([make_run("other", hosts[0])], 0, 1.0)
        demand = make_demand("j", 1, 8, urgency=0, is_guaranteed=True)
        self.assertEqual([], make_planner(hosts, [victim], []).make_plan([demand]).evictions)

    def test_urgent_work_is_evicted_last(self) -> None:
        hosts = [make_host("a", "r1", 0), make_host("b", "r1", 0)]
        urgent = make_victim([make_run("urgent", hosts[0])], 0, 1.0)
        usual = make_victim([make_run("usual", hosts[1])], 1, 900.0)
        demand = make_demand("j", 1, 8, urgency=0, is_guaranteed=True, is_reclaiming=True)
        plan = make_planner(hosts, [urgent, usual], []).make_plan([demand])
        self.assertEqual([usual], [each for _, each in plan.evictions])


if __name__ == "__main__":
    unittest.main()
