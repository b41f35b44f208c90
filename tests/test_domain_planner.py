"""Where tasks go under load; each test names the pattern that it answers."""

import unittest

from bulrushhollow_core.domain._configuration import ServiceName
from bulrushhollow_core.domain._demands import Demand, Victim
from bulrushhollow_core.domain._fleet import Run
from bulrushhollow_core.domain._headroom import Headroom
from bulrushhollow_core.domain._hosts import Departure, Host
from bulrushhollow_core.domain._jobs import (
    Occurrence,
    Resources,
    RunNumber,
    Step,
    StepRef,
    TaskRef,
    WorkerLife,
)
from bulrushhollow_core.domain._planner import Planner
from bulrushhollow_core.ids import DataCentreId, JobId, RackId, Seconds, WorkerId

WHOLE = Resources(64_000, 256_000, 8)
NOW = Seconds(100.0)


def host(
    name: str,
    rack: str,
    free: int = 8,
    doubted: bool = False,
    service: str = "svc",
    slow: bool = False,
) -> Host:
    room = Resources(8_000 * free, 32_000 * free, free)
    life = WorkerLife(WorkerId(name), 1)
    labels = frozenset(("a", rack))
    return Host(
        life,
        ServiceName(service),
        DataCentreId("dc"),
        RackId(rack),
        labels,
        WHOLE,
        room,
        doubted,
        slow,
    )


def demand(
    name: str,
    count: int,
    accelerators: int,
    urgency: int = 1,
    guaranteed: bool = False,
    gang: bool = True,
    same_rack: bool = True,
    data_rack: str = "",
    may_leave_rack: bool = False,
    duration: float = 2.5,
    max_per_worker: int = 0,
    placed: dict[WorkerLife, int] | None = None,
    may_evict: bool = True,
    reclaiming: bool = False,
    saves: bool = False,
) -> Demand:
    needs = Resources(1_000, 1_000, accelerators)
    step = Step(
        count,
        needs,
        Seconds(duration),
        is_gang=gang,
        same_rack=same_rack,
        data_rack=data_rack,
        max_per_worker=max_per_worker,
        is_checkpointable=saves,
    )
    ref = StepRef(JobId(name), Occurrence(0), 0)
    return Demand(
        ref=ref,
        service=ServiceName("svc"),
        step=step,
        indexes=range(count),
        urgency=urgency,
        is_guaranteed=guaranteed,
        avoided=frozenset(),
        may_leave_rack=may_leave_rack,
        duration=step.estimate,
        placed_by_worker=placed or {},
        may_evict=may_evict,
        is_reclaiming=reclaiming,
    )


def running(name: str, on: Host, accelerators: int = 8) -> Run:
    task = TaskRef(JobId(name), Occurrence(0), 0, 0)
    needs = Resources(8_000 * accelerators, 32_000 * accelerators, accelerators)
    return Run(task, RunNumber(1), on.life, needs, NOW)


def planner(
    hosts: list[Host], victims: list[Victim], departures: list[Departure], headroom: int = 0
) -> Planner:
    return Planner(hosts, lambda: victims, lambda: departures, headroom)


class GangTest(unittest.TestCase):
    def test_a_gang_goes_into_the_rack_that_it_fills_best(self) -> None:
        hosts = [host("a", "r1"), host("b", "r1"), host("c", "r2", 4), host("d", "r2", 2)]
        plan = planner(hosts, [], []).make([demand("j", 3, 2)])
        [(_, placements)] = plan.placements
        self.assertEqual({"c", "d"}, {each.life.id for each in placements})

    def test_a_gang_too_large_for_any_rack_spans_racks(self) -> None:
        hosts = [host("a", "r1"), host("b", "r2")]
        plan = planner(hosts, [], []).make([demand("j", 2, 8)])
        [(_, placements)] = plan.placements
        self.assertEqual(2, len(placements))

    def test_a_gang_is_placed_whole_or_not_at_all(self) -> None:
        hosts = [host("a", "r1"), host("b", "r1", 0)]
        plan = planner(hosts, [], []).make([demand("j", 2, 8)])
        self.assertEqual([], plan.placements)

    def test_small_work_does_not_starve_a_waiting_gang(self) -> None:
        hosts = [host("a", "r1"), host("b", "r1", 0)]
        departures = [Departure(hosts[1].life, WHOLE, Seconds(NOW + 1))]
        small = demand("small", 8, 1, urgency=2, gang=False, same_rack=False)
        plan = planner(hosts, [], departures).make([demand("large", 2, 8), small])
        self.assertEqual([], plan.placements)

    def test_a_doubted_worker_is_a_second_choice(self) -> None:
        hosts = [host("a", "r1", 8, doubted=True), host("b", "r2", 8)]
        plan = planner(hosts, [], []).make([demand("j", 1, 8)])
        [(_, [placement])] = plan.placements
        self.assertEqual("b", placement.life.id)


class SlowWorkerTest(unittest.TestCase):
    def test_one_slow_worker_does_not_hold_up_a_gang(self) -> None:
        hosts = [
            host("a", "r1", 2),
            host("b", "r1", 2, slow=True),
            host("c", "r1"),
            host("d", "r1"),
        ]
        [(_, placements)] = planner(hosts, [], []).make([demand("j", 3, 4)]).placements
        self.assertEqual({"c", "d"}, {each.life.id for each in placements})

    def test_a_gang_goes_to_a_rack_where_it_needs_no_slow_worker(self) -> None:
        hosts = [host("a", "r1"), host("b", "r1", slow=True), host("c", "r2"), host("d", "r2")]
        [(_, placements)] = planner(hosts, [], []).make([demand("j", 2, 8)]).placements
        self.assertEqual({"c", "d"}, {each.life.id for each in placements})

    def test_background_tasks_fill_slow_workers_first(self) -> None:
        hosts = [host("a", "r1"), host("b", "r1", slow=True)]
        tasks = demand("j", 4, 1, urgency=2, gang=False, same_rack=False)
        [(_, placements)] = planner(hosts, [], []).make([tasks]).placements
        self.assertEqual({"b"}, {each.life.id for each in placements})


class HeadroomTest(unittest.TestCase):
    def test_a_burst_of_urgent_work_finds_room_that_background_work_left(self) -> None:
        for headroom, left in ((8, 8), (64, 12)):
            hosts = [host(name, "r1") for name in "abcdefghijklmnop"]
            background = demand("j", 128, 1, urgency=2, gang=False, same_rack=False, saves=True)
            made = planner(hosts, [], [], headroom=headroom)
            [(_, placements)] = made.make([background]).placements
            self.assertEqual(128 - left, len(placements), "a tenth of all at the most")

    def test_other_work_may_use_all_room(self) -> None:
        for urgency in (0, 1):
            hosts = [host(name, "r1") for name in "abcd"]
            large = demand("j", 4, 8, urgency=urgency)
            [(_, placements)] = planner(hosts, [], [], headroom=16).make([large]).placements
            self.assertEqual(4, len(placements))

    def test_it_follows_the_most_that_came_within_the_time_of_a_stop(self) -> None:
        headroom = Headroom(Seconds(0.4))
        for job, at in (("a", 1.0), ("b", 1.3), ("b", 1.4), ("c", 3.0)):
            headroom.note(JobId(job), 10, Seconds(at))
        self.assertEqual(20, headroom.accelerators(Seconds(3.1)))
        self.assertEqual(10, headroom.accelerators(Seconds(12.0)))
        self.assertEqual(0, headroom.accelerators(Seconds(30.0)))


class LongQueueTest(unittest.TestCase):
    def test_a_long_queue_is_not_searched_for_victims_to_its_end(self) -> None:
        # 47 ms a plan under a burst, 35 plans a second: the leader had time for nothing else.
        hosts = [host("a", "r1", 0)]
        victim = Victim([running("other", hosts[0])], 2, False, 10_000.0)
        queue = [demand(f"j{n}", 1, 8, urgency=1) for n in range(40)]
        made = planner(hosts, [victim], [])
        plan = made.make(queue)
        self.assertEqual((40, []), (len(plan.blocked), plan.evictions))
        self.assertLessEqual(made.searches, 8)

    def test_nothing_is_looked_for_while_all_find_room(self) -> None:
        def fail() -> list[Victim]:
            raise AssertionError("not needed")

        hosts = [host("a", "r1")]
        plan = Planner(hosts, fail, fail).make([demand("j", 1, 8)])  # type: ignore[arg-type]
        self.assertEqual(1, len(plan.placements))


class ServiceTest(unittest.TestCase):
    def test_work_goes_only_to_workers_of_its_service(self) -> None:
        hosts = [host("a", "r1", service="other"), host("b", "r1")]
        [(_, placements)] = planner(hosts, [], []).make([demand("j", 1, 2)]).placements
        self.assertEqual(["b"], [each.life.id for each in placements])
        plain = demand("k", 12, 1, gang=False, same_rack=False)
        hosts = [host("a", "r1", service="other"), host("b", "r1")]
        [(_, placements)] = planner(hosts, [], []).make([plain]).placements
        self.assertEqual({"b"}, {each.life.id for each in placements})


class PlainTest(unittest.TestCase):
    def test_tasks_stay_near_their_data(self) -> None:
        hosts = [host("a", "r1", 4), host("b", "r2", 8)]
        one = demand("j", 1, 1, gang=False, same_rack=False, data_rack="r2")
        [(_, [placement])] = planner(hosts, [], []).make([one]).placements
        self.assertEqual("b", placement.life.id)

    def test_tasks_wait_for_their_rack_before_they_leave_it(self) -> None:
        hosts = [host("a", "r1", 4), host("b", "r2", 0)]
        one = demand("j", 1, 1, gang=False, same_rack=False, data_rack="r2")
        self.assertEqual([], planner(hosts, [], []).make([one]).placements)
        late = demand("j", 1, 1, gang=False, same_rack=False, data_rack="r2", may_leave_rack=True)
        [(_, [placement])] = planner(hosts, [], []).make([late]).placements
        self.assertEqual("a", placement.life.id)

    def test_background_work_leaves_room_for_a_burst_of_urgent_work(self) -> None:
        hosts = [host(name, "r1") for name in "ab"]
        background = demand("j", 16, 1, urgency=2, gang=False, same_rack=False)
        [(_, placements)] = planner(hosts, [], []).make([background]).placements
        self.assertEqual(14, len(placements))
        usual = demand("k", 2, 1, urgency=1, gang=False, same_rack=False)
        hosts = [host(name, "r1", 1) for name in "ab"]
        [(_, placements)] = planner(hosts, [], []).make([usual]).placements
        self.assertEqual(2, len(placements))

    def test_small_tasks_fill_one_rack_before_they_touch_the_next(self) -> None:
        hosts = [host("a", "r1"), host("b", "r2"), host("c", "r1", 4), host("d", "r2", 8)]
        small = demand("j", 12, 1, gang=False, same_rack=False)
        [(_, placements)] = planner(hosts, [], []).make([small]).placements
        self.assertEqual({"a", "c"}, {each.life.id for each in placements})

    def test_a_limit_per_worker_counts_tasks_that_are_on_their_way(self) -> None:
        hosts = [host("a", "r1")]
        placed = {hosts[0].life: 1}
        one = demand("j", 4, 1, gang=False, same_rack=False, max_per_worker=2, placed=placed)
        [(_, placements)] = planner(hosts, [], []).make([one]).placements
        self.assertEqual(1, len(placements))


class EvictionTest(unittest.TestCase):
    def test_reclaim_under_a_burst_evicts_the_cheapest_runs(self) -> None:
        hosts = [host("a", "r1", 0), host("b", "r2", 0)]
        dear = Victim([running("dear", hosts[0])], 2, False, 500.0)
        cheap = Victim([running("cheap", hosts[1])], 2, False, 5.0)
        one = demand("j", 1, 8, urgency=0, guaranteed=True)
        plan = planner(hosts, [dear, cheap], []).make([one])
        self.assertEqual([cheap], [victim for _, victim in plan.evictions])

    def test_a_burst_of_large_tasks_stops_no_more_than_the_room_that_they_take(self) -> None:
        # Eight small tasks on each of four workers: stopping some on each would free no place.
        hosts = [host(name, "r1", 0) for name in "abcd"]
        victims = [
            Victim([running(f"{each.life.id}{n}", each, 1)], 2, False, float(n))
            for n in range(8)
            for each in hosts
        ]
        one = demand("j", 1, 8, urgency=0)
        plan = planner(hosts, victims, []).make([one])
        workers = {run.life.id for _, victim in plan.evictions for run in victim.runs}
        self.assertEqual((8, 1), (len(plan.evictions), len(workers)))

    def test_reclaim_is_not_asked_for_twice(self) -> None:
        hosts = [host("a", "r1", 0)]
        hosts[0].expect(WHOLE)
        victim = Victim([running("other", hosts[0])], 2, False, 5.0)
        one = demand("j", 1, 8, urgency=0, guaranteed=True)
        plan = planner(hosts, [victim], []).make([one])
        self.assertEqual([], plan.evictions)

    def test_room_that_is_being_freed_is_kept_for_whom_it_is_freed(self) -> None:
        hosts = [host("a", "r1", 4)]
        hosts[0].expect(Resources(32_000, 128_000, 4))
        urgent = demand("urgent", 1, 8, urgency=0, guaranteed=True)
        small = demand("small", 1, 4, urgency=2, gang=False, same_rack=False)
        plan = planner(hosts, [], []).make([urgent, small])
        self.assertEqual([], plan.placements)

    def test_work_is_not_thrown_away_for_less_work(self) -> None:
        hosts = [host("a", "r1", 0)]
        victim = Victim([running("other", hosts[0])], 2, False, 10_000.0)
        one = demand("j", 1, 8, urgency=0)
        plan = planner(hosts, [victim], []).make([one])
        self.assertEqual([], plan.evictions)

    def test_only_urgent_work_throws_away_more_than_a_little(self) -> None:
        for urgency, evicted in ((0, 1), (1, 0)):
            hosts = [host("a", "r1", 0)]
            victim = Victim([running("other", hosts[0])], 2, False, 100.0)
            one = demand("j", 1, 8, urgency=urgency)
            plan = planner(hosts, [victim], []).make([one])
            self.assertEqual(evicted, len(plan.evictions), urgency)

    def test_a_job_that_is_served_last_evicts_nothing(self) -> None:
        # Its victims would be placed again before it, and evicted again, without end.
        hosts = [host("a", "r1", 0)]
        victim = Victim([running("other", hosts[0])], 2, False, 1.0)
        one = demand("j", 1, 8, urgency=0, may_evict=False)
        self.assertEqual([], planner(hosts, [victim], []).make([one]).evictions)

    def test_a_guarantee_waits_a_moment_before_it_throws_much_away(self) -> None:
        for reclaiming, evicted in ((False, 0), (True, 1)):
            hosts = [host("a", "r1", 0)]
            victim = Victim([running("other", hosts[0])], 1, False, 10_000.0)
            one = demand("j", 1, 8, urgency=0, guaranteed=True, reclaiming=reclaiming)
            plan = planner(hosts, [victim], []).make([one])
            self.assertEqual(evicted, len(plan.evictions))

    def test_the_smallest_urgent_job_may_throw_something_away(self) -> None:
        hosts = [host("a", "r1", 0)]
        victim = Victim([running("other", hosts[0])], 1, False, 300.0)
        one = demand("j", 1, 1, urgency=0, duration=0.3)
        plan = planner(hosts, [victim], []).make([one])
        self.assertEqual([victim], [each for _, each in plan.evictions])

    def test_a_guarantee_is_reclaimed_from_urgent_work_beyond_its_own(self) -> None:
        hosts = [host("a", "r1", 0)]
        victim = Victim([running("other", hosts[0])], 0, False, 10_000.0)
        one = demand("j", 1, 8, urgency=0, guaranteed=True, reclaiming=True)
        plan = planner(hosts, [victim], []).make([one])
        self.assertEqual([victim], [each for _, each in plan.evictions])


if __name__ == "__main__":
    unittest.main()
