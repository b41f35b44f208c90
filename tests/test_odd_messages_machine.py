"""
Messages of one instance of a site with an odd number each, which no other instance may end on.

Set ``FUZZ_SEED`` to run one seed.
"""

import math
import os
import random
import unittest
from collections.abc import Iterator
from typing import Any

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.changes import ChangeConfiguration
from bulrushhollow_core.ids import ChangeId, InstanceId, Version, name_of
from tests.node_world import Endpoint, Host, World
from tests.test_node import edits_for_jobs

SEEDS = range(1, 25)
ODD_INSTANCE = "north-2"
ODD_RATE = 0.2
ODD_INTEGERS = (2**64 - 1, 2**63, 2**63 - 1, -1, -(2**63), 0)
ODD_FLOATS = (math.nan, math.inf, -math.inf, 1e308, -1e308)

Path = tuple[str | int, ...]


def number_paths(value: Any, path: Path = ()) -> Iterator[Path]:
    """Yield the paths to all numbers in a message."""
    if isinstance(value, msgspec.Struct):
        for field in value.__struct_fields__:
            yield from number_paths(getattr(value, field), (*path, field))
    elif isinstance(value, tuple):
        for index, item in enumerate(value):
            yield from number_paths(item, (*path, index))
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield path


def replace_number(value: Any, path: Path, rng: random.Random) -> Any:
    """Return a message with an odd number at a path."""
    if not path:
        return rng.choice(ODD_FLOATS if isinstance(value, float) else ODD_INTEGERS)
    first, *rest = path
    if isinstance(first, int):
        changed = replace_number(value[first], tuple(rest), rng)
        return (*value[:first], changed, *value[first + 1 :])
    changed = replace_number(getattr(value, first), tuple(rest), rng)
    return msgspec.structs.replace(value, **{first: changed})


class OddWorld(World):
    """A site in which the messages of one instance hold odd numbers."""

    odd_rate = 0.0

    def _transmit(self, host: Host, send: Send) -> None:
        source = host.peer.name
        paths = list(number_paths(send.message))
        if source == ODD_INSTANCE and paths and self.rng.random() < self.odd_rate:
            odd = replace_number(send.message, self.rng.choice(paths), self.rng)
            send = msgspec.structs.replace(send, message=odd)
        super()._transmit(host, send)

    def _deliver(self, source: InstanceId, to: InstanceId, data: bytes) -> None:
        if name_of(source) == ODD_INSTANCE:
            try:
                self._decoder.decode(data)
            except msgspec.DecodeError:
                return
        # What any other instance sends must be readable.
        super()._deliver(source, to, data)


class OddMessageMachineTest(unittest.TestCase):
    # Guards against a number that ends its recipients, or that they pass on to others.
    def test_no_odd_number_of_an_instance_ends_another_one(self) -> None:
        seed = os.environ.get("FUZZ_SEED")
        for number in (int(seed),) if seed else SEEDS:
            with self.subTest(seed=number):
                self.run_site(number)

    def run_site(self, seed: int) -> None:
        world = OddWorld(seed, {"north": 3, "south": 2}, voters=3)
        for name, data_centre in (("e1", "north"), ("e2", "south")):
            world.endpoints_by_name[name] = Endpoint(name, data_centre)
        world.run(12.0)
        host = world.hosts_by_name["north-1"]
        for number, edit in enumerate(edits_for_jobs("north")):
            change = ChangeConfiguration(ChangeId(f"c{number}"), edit, Version(number))
            world.request_change(host, change)
            world.run(0.5)
        world.odd_rate = ODD_RATE
        for _ in range(20):
            world.run(0.5)
            for live in world.live_hosts():
                assert live.node is not None
                msgspec.msgpack.encode(live.node.status(world.clock(live)).authority.epoch)


if __name__ == "__main__":
    unittest.main()
