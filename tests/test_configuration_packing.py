import random
import unittest
from collections import Counter

from bulrushhollow_core.configuration import GuaranteeDemand, PackedGang, pack
from bulrushhollow_core.ids import DataCentreId, GuaranteeName, RackId, WorkspaceId
from bulrushhollow_core.models import Adjacency, Guarantee, Rack, Resources, Shape

NORTH = DataCentreId("north")


def demand(name: str, shape: Shape, count: int = 1) -> GuaranteeDemand:
    return GuaranteeDemand(WorkspaceId(name), Guarantee(GuaranteeName("g"), NORTH, shape, count))


def racks_of(*workers: int, per_worker: Resources) -> list[Rack]:
    return [Rack(RackId(f"r{number}"), count, per_worker) for number, count in enumerate(workers)]


def amounts(resources: Resources) -> tuple[int, int, int]:
    return (resources.accelerators, resources.cores, resources.memory_mb)


class PackingTest(unittest.TestCase):
    def assert_valid(
        self, racks: list[Rack], demands: list[GuaranteeDemand], packed: list[PackedGang]
    ) -> None:
        racks_by_id = {rack.id: rack for rack in racks}
        used: Counter[tuple[RackId, int, int]] = Counter()
        gangs = Counter(gang.demand for gang in packed)
        self.assertEqual({demand: demand.guarantee.count for demand in demands}, dict(gangs))
        for gang in packed:
            shape = gang.demand.guarantee.shape
            self.assertEqual(shape.tasks, sum(part.tasks for part in gang.parts))
            if shape.adjacency is Adjacency.WORKER:
                self.assertEqual(1, len({(part.rack, part.worker) for part in gang.parts}))
            if shape.adjacency is Adjacency.RACK:
                self.assertEqual(1, len({part.rack for part in gang.parts}))
            for part in gang.parts:
                self.assertIn(part.worker, range(racks_by_id[part.rack].workers))
                for kind, need in enumerate(amounts(shape.per_task)):
                    used[(part.rack, part.worker, kind)] += need * part.tasks
        for (rack, _, kind), amount in used.items():
            self.assertLessEqual(amount, amounts(racks_by_id[rack].per_worker)[kind])

    def test_packings_of_random_demands_are_valid(self) -> None:
        rng = random.Random(4)
        found = 0
        for _ in range(400):
            racks = [
                Rack(
                    RackId(f"r{number}"),
                    rng.randint(1, 6),
                    Resources(rng.choice((0, 4, 8)), 16, 64),
                )
                for number in range(rng.randint(1, 4))
            ]
            demands = [
                demand(
                    f"w{number}",
                    Shape(
                        rng.randint(1, 6),
                        Resources(rng.randint(0, 4), rng.randint(1, 8), rng.choice((0, 8, 32))),
                        rng.choice(list(Adjacency)),
                    ),
                    rng.randint(1, 3),
                )
                for number in range(rng.randint(1, 5))
            ]
            packed = pack(racks, demands)
            if packed is not None:
                found += 1
                self.assert_valid(racks, demands, packed)
                self.assertEqual(packed, pack(racks[::-1], demands[::-1]))
        self.assertGreater(found, 50)

    def test_gangs_that_divide_the_racks_fill_them_completely(self) -> None:
        racks = racks_of(6, 6, 6, 6, per_worker=Resources(8, 64, 256))
        large = demand("large", Shape(4, Resources(8), Adjacency.RACK), 4)
        small = demand("small", Shape(1, Resources(2), Adjacency.WORKER), 32)
        packed = pack(racks, [small, large])
        self.assertIsNotNone(packed)
        self.assert_valid(racks, [small, large], packed or [])

    def test_a_gang_does_not_fit_if_its_adjacency_can_not_be_met(self) -> None:
        racks = racks_of(3, 3, per_worker=Resources(8, 64, 256))
        self.assertIsNone(pack(racks, [demand("a", Shape(4, Resources(8), Adjacency.RACK))]))
        self.assertIsNone(pack(racks, [demand("a", Shape(2, Resources(5), Adjacency.WORKER))]))
        self.assertIsNotNone(pack(racks, [demand("a", Shape(4, Resources(8)))]))

    def test_gangs_without_accelerators_leave_the_accelerators_to_others(self) -> None:
        plain, accelerated = Resources(0, 64, 64), Resources(8, 64, 64)
        racks = [Rack(RackId("a"), 2, accelerated), Rack(RackId("b"), 2, plain)]
        demands = [
            demand("cores", Shape(2, Resources(0, 64, 1))),
            demand("accelerators", Shape(2, Resources(8, 64, 1))),
        ]
        self.assertIsNotNone(pack(racks, demands))
