"""Caps of workspaces under load: starts, evictions, refusals, and plans without caps."""

import hashlib
import math
import random
import unittest

import msgspec

from bulrushhollow_core.domain.fleet import ExpectedEnd, Host
from bulrushhollow_core.domain.model import Resources, ServiceName
from bulrushhollow_core.domain.placement import (
    MAX_VICTIM_SEARCHES,
    CapAccount,
    CapLedger,
    Demand,
    Plan,
    Planner,
    Victim,
    busy_services,
)
from bulrushhollow_core.ids import Seconds, WorkspaceId
from tests.test_domain_planner import NOW, make_demand, make_host, make_run, make_victim

TEAM = WorkspaceId("team")
SERVICE = ServiceName("svc")
OTHER = WorkspaceId("other")


def demand_of(workspace: WorkspaceId | None, name: str, count: int, **options: object) -> Demand:
    """Return a demand of tasks with one accelerator each, of a workspace."""
    demand = make_demand(name, count, 1, same_rack=False, **options)  # type: ignore[arg-type]
    demand.source = demand.source._replace(workspace=workspace)
    return demand


def tasks_of(workspace: WorkspaceId, name: str, count: int, urgency: int = 2) -> Demand:
    return demand_of(workspace, name, count, urgency=urgency, is_gang=False, is_checkpointable=True)


def victim_of(
    workspace: WorkspaceId, name: str, on: Host, accelerators: int = 1, lost_work: float = 1.0
) -> Victim:
    victim = make_victim([make_run(name, on, accelerators)], 2, lost_work)
    victim.workspace = workspace
    return victim


def ledger(cap: int, used: int = 0, is_service_busy: bool = True) -> CapLedger:
    """Return a ledger in which a workspace may use some accelerators and uses some."""
    account = CapAccount(Resources(0, 0, cap))
    account.used = Resources(0, 0, used)
    return CapLedger({TEAM: account}, frozenset([SERVICE] if is_service_busy else []))


def plan(
    caps: CapLedger,
    demands: list[Demand],
    hosts: list[Host],
    victims: list[Victim] | None = None,
) -> Plan:
    return Planner(hosts, lambda: victims or [], list, caps=caps).make_plan(demands)


def placed(result: Plan) -> dict[str, int]:
    counts: dict[str, int] = {}
    for demand, placements in result.placements:
        counts[demand.ref.job] = counts.get(demand.ref.job, 0) + len(placements)
    return counts


def evicted(result: Plan) -> set[str]:
    return {run.task.job for _, victim in result.evictions for run in victim.runs}


class StartTest(unittest.TestCase):
    def test_a_burst_of_one_workspace_starts_only_what_its_cap_allows(self) -> None:
        hosts = [make_host(name, "r") for name in "abcd"]
        burst = [
            tasks_of(TEAM, "first", 6),
            tasks_of(TEAM, "second", 6),
            tasks_of(TEAM, "third", 6),
        ]
        result = plan(ledger(cap=13, used=4), burst, hosts)
        self.assertEqual({"first": 6, "second": 3}, placed(result))
        self.assertEqual(["second", "third"], [each.ref.job for each in result.held_back])

    def test_each_resource_is_limited_by_itself(self) -> None:
        hosts = [make_host("a", "r")]
        for cap, expected in (((3_000, 0, 0), 3), ((0, 2_500, 0), 2), ((9_000, 9_000, 0), 8)):
            caps = CapLedger({TEAM: CapAccount(Resources(*cap))})
            burst = tasks_of(TEAM, "j", 8, urgency=1)
            self.assertEqual({"j": expected}, placed(plan(caps, [burst], [make_host("a", "r")])))
        self.assertEqual({"j": 8}, placed(plan(ledger(1), [tasks_of(OTHER, "j", 8, 1)], hosts)))

    def test_a_gang_starts_whole_or_not_at_all_under_its_cap(self) -> None:
        for cap, expected in ((7, {}), (8, {"gang": 4})):
            gang = demand_of(TEAM, "gang", 4)
            result = plan(ledger(cap, used=4), [gang], [make_host("a", "r")])
            self.assertEqual(expected, placed(result))

    def test_nothing_starts_while_usage_exceeds_a_lowered_cap(self) -> None:
        free_of_accelerators = make_demand("j", 1, 0, is_gang=False, same_rack=False)
        free_of_accelerators.source = free_of_accelerators.source._replace(workspace=TEAM)
        waiting = [free_of_accelerators, tasks_of(TEAM, "k", 1)]
        self.assertEqual({}, placed(plan(ledger(4, used=5), waiting, [make_host("a", "r")])))


class IsolationTest(unittest.TestCase):
    def test_work_held_back_by_its_cap_delays_no_other_workspace(self) -> None:
        # A gang that reserved its room or recorded its shape as too large would keep the second
        # one, of the same shape, from the only worker.
        for urgency in (0, 1):
            host = make_host("a", "r")
            victim = victim_of(OTHER, "victim", host)
            waiting = [
                demand_of(TEAM, "held", 8, urgency=urgency),
                demand_of(OTHER, "same", 8, urgency=1),
            ]
            result = plan(ledger(8, used=4), waiting, [host], [victim])
            self.assertEqual({"same": 8}, placed(result))
            self.assertEqual(([], []), (result.evictions, result.blocked))

    def test_small_work_of_a_workspace_does_not_starve_its_gang_under_the_cap(self) -> None:
        for is_service_busy, is_hold_over, expected in (
            (True, True, {}),
            (False, False, {}),
            (False, True, {"small": 1}),
        ):
            waiting = [demand_of(TEAM, "gang", 6), tasks_of(TEAM, "small", 8, urgency=1)]
            caps = ledger(8, used=3, is_service_busy=is_service_busy)
            account = caps.account_of(TEAM)
            assert account is not None
            account.is_hold_over = is_hold_over
            result = plan(caps, waiting, [make_host("a", "r"), make_host("b", "r")])
            self.assertEqual(expected, placed(result), "on an idle service, up to half of the cap")

    def plan_until_started(self, job: str, waiting: list[Demand], used: int, ends: int) -> float:
        """
        Return the seconds until a job starts under a cap of 10 on an idle service, or infinity.

        :param ends: plans between two ends of a single task.
        """
        held_since: dict[WorkspaceId, Seconds] = {}
        for number in range(200):
            now = Seconds(0.25 * number)
            caps = ledger(10, used, is_service_busy=False)
            caps.apply_holds(held_since, now)
            started = placed(plan(caps, waiting, [make_host(f"h{n}", "r") for n in range(40)]))
            caps.record_holds(held_since, now)
            if job in started:
                return now
            used += sum(started.values()) - (number % ends == 0)
        return math.inf

    def test_a_gang_wider_than_half_the_cap_starts_behind_a_stream_of_single_tasks(self) -> None:
        # A reservation that yielded at once on an idle service let each new task start in place of
        # the one that had ended.
        waiting = [demand_of(TEAM, "gang", 8), tasks_of(TEAM, "small", 8)]
        self.assertLess(self.plan_until_started("gang", waiting, used=10, ends=1), 10.0)

    def test_a_reservation_does_not_hold_back_a_job_for_three_seconds(self) -> None:
        waiting = [demand_of(TEAM, "gang", 8), tasks_of(TEAM, "small", 1)]
        self.assertLess(self.plan_until_started("small", waiting, used=4, ends=1_000), 2.5)

    def test_a_gang_wider_than_a_lowered_cap_does_not_hold_up_its_workspace(self) -> None:
        waiting = [demand_of(TEAM, "wide", 6), tasks_of(TEAM, "small", 2)]
        result = plan(ledger(4, used=1), waiting, [make_host("a", "r")])
        self.assertEqual({"small": 2}, placed(result))

    def test_a_gang_that_no_workers_can_ever_hold_does_not_hold_up_its_workspace(self) -> None:
        # Its reservation would drain the workspace for as long as the gang waits.
        unknown_label = demand_of(TEAM, "label", 6)
        unknown_label.source = unknown_label.source._replace(
            step=msgspec.structs.replace(unknown_label.step, required_label="none")
        )
        too_large = make_demand("large", 2, 9, same_rack=False)
        too_large.source = too_large.source._replace(workspace=TEAM)
        without_workers = demand_of(TEAM, "nowhere", 6)
        without_workers.limits = without_workers.limits._replace(allowed_workers=frozenset())
        for gang in (unknown_label, too_large, without_workers):
            waiting = [gang, tasks_of(TEAM, "small", 8, urgency=1)]
            result = plan(ledger(18, used=14), waiting, [make_host("a", "r"), make_host("b", "r")])
            self.assertEqual({"small": 4}, placed(result), gang.ref.job)


class ReservedCapTest(unittest.TestCase):
    """Urgent work that fits under the cap, but for what an earlier gang reserves."""

    def plan_behind_reservation(self, victims: list[Victim], hosts: list[Host]) -> Plan:
        waiting = [
            demand_of(TEAM, "wide", 37, urgency=0),
            demand_of(TEAM, "held-back", 20, urgency=0),
            tasks_of(TEAM, "small", 1),
        ]
        caps = ledger(48, used=20, is_service_busy=False)
        account = caps.account_of(TEAM)
        assert account is not None
        account.is_hold_over = True
        return plan(caps, waiting, hosts, victims)

    # Guards against a gang that is neither started nor waits for any stop, and that counts as usage
    # in each plan, so that its workspace seems to use too much for any other work (LOST).
    def test_a_gang_behind_a_reservation_does_not_count_as_usage(self) -> None:
        hosts = [make_host(f"h{n}", "r") for n in range(10)]
        self.assertEqual({"small": 1}, placed(self.plan_behind_reservation([], hosts)))

    # Guards against runs that are evicted for a gang which then waits for the reservation.
    def test_nothing_is_evicted_for_a_gang_that_a_reservation_holds_back(self) -> None:
        hosts = [make_host(f"h{n}", "r") for n in range(10)]
        victims = [victim_of(TEAM, "victim", hosts[0], accelerators=4)]
        self.assertEqual(set(), evicted(self.plan_behind_reservation(victims, hosts)))


class BusyServiceTest(unittest.TestCase):
    def test_a_service_is_busy_by_the_resources_that_its_own_workers_have(self) -> None:
        # Idle workers without accelerators counted as busy, and those of one service hid the load
        # of another.
        without_accelerators = make_host("a", "r")
        without_accelerators.capacity = without_accelerators.free = Resources(64_000, 256_000, 0)
        self.assertEqual(frozenset(), busy_services([without_accelerators]))
        other = [make_host(name, "r", service="other") for name in "bc"]
        hosts = [make_host("a", "r", 4), *other]
        self.assertEqual({SERVICE}, busy_services(hosts))


class EvictionTest(unittest.TestCase):
    def test_urgent_work_evicts_the_cheapest_work_of_its_own_workspace(self) -> None:
        host = make_host("a", "r", 4)
        victims = [
            victim_of(OTHER, "foreign", host, lost_work=0.0),
            victim_of(TEAM, "dear", host, 2, lost_work=90.0),
            victim_of(TEAM, "cheap", host, 2, lost_work=5.0),
        ]
        urgent = demand_of(TEAM, "urgent", 2, urgency=0)
        result = plan(ledger(4, used=4), [urgent], [host], victims)
        self.assertEqual(({}, {"cheap"}), (placed(result), evicted(result)))

    def test_background_work_waits_under_its_cap(self) -> None:
        host = make_host("a", "r", 4)
        for urgency in (1, 2):
            victim = make_victim([make_run("victim", host, 2)], 3, 0.0)
            victim.workspace = TEAM
            waiting = demand_of(TEAM, "gang", 2, urgency=urgency)
            self.assertEqual([], plan(ledger(4, 4), [waiting], [host], [victim]).evictions)

    def test_much_work_is_discarded_for_the_cap_only_once_a_guarantee_is_due(self) -> None:
        for is_due, expected in ((False, set()), (True, {"victim"})):
            host = make_host("a", "r", 4)
            victim = victim_of(TEAM, "victim", host, 2, lost_work=10_000.0)
            urgent = demand_of(
                TEAM, "urgent", 2, urgency=0, is_guaranteed=True, is_reclaiming=is_due
            )
            self.assertEqual(expected, evicted(plan(ledger(4, 4), [urgent], [host], [victim])))

    def test_the_room_of_a_victim_for_the_cap_is_used_before_more_is_evicted(self) -> None:
        host = make_host("a", "r", 0)
        victims = [
            victim_of(TEAM, "own", host, 4, lost_work=50.0),
            victim_of(OTHER, "foreign", host, 4, lost_work=1.0),
        ]
        urgent = demand_of(TEAM, "urgent", 4, urgency=0)
        self.assertEqual({"own"}, evicted(plan(ledger(4, 4), [urgent], [host], victims)))

    def test_a_victim_for_the_cap_is_spared_if_those_for_room_free_the_cap_too(self) -> None:
        # The gang needs one rack. The cheapest victim is in the other rack and frees no room.
        hosts = [make_host("a", "r1", 0), make_host("b", "r2", 0)]
        victims = [
            victim_of(TEAM, "elsewhere", hosts[1], 4, lost_work=1.0),
            victim_of(TEAM, "here", hosts[0], 8, lost_work=9.0),
        ]
        urgent = make_demand("urgent", 8, 1, urgency=0)
        urgent.source = urgent.source._replace(workspace=TEAM)
        result = plan(ledger(16, 12), [urgent], hosts, victims)
        self.assertEqual({"here"}, evicted(result))

    def test_nothing_is_evicted_for_the_cap_if_there_is_no_room_on_workers(self) -> None:
        host = make_host("a", "r", 0)
        elsewhere = make_host("b", "r", 0, service="other")
        victim = victim_of(TEAM, "victim", elsewhere, 4)
        urgent = demand_of(TEAM, "urgent", 4, urgency=0)
        small = tasks_of(TEAM, "small", 1)
        caps = ledger(4, 4)
        result = plan(caps, [urgent, small], [host, elsewhere], [victim])
        self.assertEqual(([], False), (result.evictions, victim.is_chosen))
        account = caps.account_of(TEAM)
        assert account is not None
        self.assertEqual(account.used, account.used_after_stops)

    def test_nothing_more_is_evicted_while_the_cap_is_being_freed(self) -> None:
        host = make_host("a", "r", 2)
        host.add_stopping(Resources(16_000, 64_000, 2))
        caps = ledger(4, 4)
        account = caps.account_of(TEAM)
        assert account is not None
        account.ending = Resources(0, 0, 2)
        urgent = demand_of(TEAM, "urgent", 2, urgency=0)
        small = tasks_of(TEAM, "small", 2)
        result = plan(caps, [urgent, small], [host], [victim_of(TEAM, "victim", host, 2)])
        self.assertEqual(({}, []), (placed(result), result.evictions))

    def test_urgent_tasks_get_as_much_of_the_cap_as_evictions_free(self) -> None:
        host = make_host("a", "r")
        urgent = tasks_of(TEAM, "urgent", 8, urgency=0)
        victims = [victim_of(TEAM, f"v{n}", host, 1, lost_work=float(n)) for n in range(3)]
        result = plan(ledger(6, 4), [urgent], [host], victims)
        self.assertEqual(({"urgent": 2}, 3), (placed(result), len(result.evictions)))

    def test_the_last_search_of_a_plan_finds_victims_for_the_cap_and_for_room(self) -> None:
        # One demand counted as two searches, so the relief of the cap was found and then undone.
        host = make_host("a", "r", 0)
        victims = [
            victim_of(TEAM, "own", host, 2, lost_work=1.0),
            victim_of(OTHER, "foreign", host, 2, lost_work=1.0),
        ]
        urgent = demand_of(TEAM, "urgent", 4, urgency=0)
        planner = Planner([host], lambda: victims, list, caps=ledger(4, 2))
        planner._victim_search.count = MAX_VICTIM_SEARCHES - 1
        urgent.source = urgent.source._replace(
            step=msgspec.structs.replace(urgent.step, needs=Resources(4_000, 4_000, 1))
        )
        self.assertEqual({"own", "foreign"}, evicted(planner.make_plan([urgent])))


DIGEST_WITHOUT_CAPS = "98f4602fd634dba18ac3439c86497b7d3c168ff545586a07a5f1152ff5107c20"
"""Digest of the plans of :class:`PlansWithoutCapsTest` by a planner without caps."""


class PlansWithoutCapsTest(unittest.TestCase):
    def random_plan(self, seed: int, caps: CapLedger | None) -> list[str]:
        rng = random.Random(seed)
        hosts = [
            make_host(f"h{n}", f"r{n % 5}", rng.randint(0, 8), is_slow=rng.random() < 0.2)
            for n in range(20)
        ]
        victims = [
            make_victim([make_run(f"v{n}", rng.choice(hosts), 2)], 2, rng.uniform(0, 400))
            for n in range(25)
        ]
        ends = [
            ExpectedEnd(host.life, Resources(16_000, 64_000, 2), Seconds(NOW + rng.uniform(0, 9)))
            for host in hosts
        ]
        demands = []
        for number in range(25):
            is_gang = rng.random() < 0.5
            urgency = rng.choice((0, 1, 1, 2))
            demand = make_demand(
                f"j{number}",
                rng.randint(1, 12),
                rng.randint(0, 4),
                urgency=urgency,
                is_gang=is_gang,
                same_rack=is_gang,
                data_rack=rng.choice(("", "", "r1")) if not is_gang else "",
                max_per_worker=rng.choice((0, 0, 2)),
                is_reclaiming=urgency == 0 and rng.random() < 0.3,
            )
            demand.source = demand.source._replace(workspace=OTHER)
            demands.append(demand)
        options = {} if caps is None else {"caps": caps}
        result = Planner(hosts, lambda: victims, lambda: ends, 6, **options).make_plan(demands)
        lines = [
            f"{placement.task.job}.{placement.task.member}@{placement.life.id}"
            for _, placements in result.placements
            for placement in placements
        ]
        lines += [f"{d.ref.job}-{run.task.job}" for d, v in result.evictions for run in v.runs]
        lines += [f"{demand.ref.job}?" for demand in result.blocked]
        return lines

    def test_plans_without_caps_equal_those_of_a_planner_without_caps(self) -> None:
        digest = hashlib.sha256()
        for seed in range(60):
            lines = self.random_plan(seed, None)
            digest.update("\n".join(lines).encode())
            self.assertEqual(lines, self.random_plan(seed, ledger(0)), "another has a cap")
        self.assertEqual(DIGEST_WITHOUT_CAPS, digest.hexdigest())


if __name__ == "__main__":
    unittest.main()
