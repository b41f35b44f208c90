"""Connections to more workers than an instance has descriptors for."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import anyio

from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.dispatch import SharedConnections

TIMEOUT = Seconds(1.0)


class FakeHttp:
    def is_idle(self) -> bool:
        return True


class FakeConnection:
    """A connection that only records whether it is open."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.http = FakeHttp()
        self.idle_since = Seconds(0.0)
        self.is_open = True

    def is_usable(self, now: Seconds, max_idle: Seconds) -> bool:
        return self.is_open

    async def close(self) -> None:
        self.is_open = False


class Network:
    """Opens fake connections, and counts them."""

    def __init__(self) -> None:
        self.opened: list[FakeConnection] = []
        self.most_open = 0

    async def open(self, address: str, timeout: Seconds) -> FakeConnection:
        await anyio.sleep(0)
        self.opened.append(FakeConnection(address))
        self.most_open = max(self.most_open, sum(each.is_open for each in self.opened))
        return self.opened[-1]


class SharedConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = Network()

    def run_scenario(
        self, scenario: Callable[[SharedConnections], Awaitable[None]], limit: int = 20
    ) -> None:
        connections = SharedConnections(limit, 2, Seconds(8.0), self.network.open)
        asyncio.run(scenario(connections))

    async def call(self, connections: SharedConnections, address: str) -> None:
        connection = await connections.acquire(address, TIMEOUT)
        self.assertEqual(address, connection.address)
        await anyio.sleep(0)
        await connections.release(address, connection, is_reusable=True)

    # Guards against an instance that runs out of descriptors when it leads 3,000 workers: it kept
    # up to nine connections to each, and closed none of them.
    def test_calls_to_thousands_of_workers_stay_within_the_limit(self) -> None:
        async def scenario(connections: SharedConnections) -> None:
            async with anyio.create_task_group() as tasks:
                for number in range(3000):
                    tasks.start_soon(self.call, connections, f"w{number}:80")
            self.assertLessEqual(connections.open_count, 20)

        self.run_scenario(scenario)
        self.assertEqual(3000, len(self.network.opened))
        self.assertLessEqual(self.network.most_open, 20)

    def test_many_orders_to_one_worker_share_its_connections(self) -> None:
        async def scenario(connections: SharedConnections) -> None:
            async with anyio.create_task_group() as tasks:
                for _ in range(9):
                    tasks.start_soon(self.call, connections, "w:80")

        self.run_scenario(scenario)
        self.assertEqual(2, len(self.network.opened))

    def test_the_longest_idle_connection_makes_room(self) -> None:
        async def scenario(connections: SharedConnections) -> None:
            for name in ("a", "b", "a", "c"):
                await self.call(connections, name)

        self.run_scenario(scenario, limit=2)
        self.assertEqual([True, False, True], [each.is_open for each in self.network.opened])

    # Guards against a limit that shrinks with each call that is given up while it waits.
    def test_a_call_that_is_given_up_while_it_waits_keeps_no_place(self) -> None:
        async def scenario(connections: SharedConnections) -> None:
            held = await connections.acquire("a", TIMEOUT)
            for _ in range(3):
                with anyio.move_on_after(0.01):
                    await connections.acquire("b", TIMEOUT)
            await connections.release("a", held, is_reusable=True)
            with anyio.fail_after(1.0):
                await self.call(connections, "b")

        self.run_scenario(scenario, limit=1)

    def test_connections_that_were_idle_for_too_long_are_closed(self) -> None:
        async def scenario(connections: SharedConnections) -> None:
            await self.call(connections, "a")
            await connections.close_stale(Seconds(anyio.current_time() + 7.0))
            self.assertEqual(1, connections.open_count)
            await connections.close_stale(Seconds(anyio.current_time() + 9.0))
            self.assertEqual(0, connections.open_count)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
