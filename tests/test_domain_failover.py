"""Fail-over: what calls meet while one leader is gone and the next one is not known yet."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import anyio

from bulrushhollow_core.domain import (
    Answer,
    Call,
    Done,
    NotLeader,
    Probe,
    RefusalReason,
    Refused,
    Serving,
    Submit,
    Work,
)
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.domain import _leader
from bulrushhollow_daemon.domain._leader import LeaderClient
from bulrushhollow_daemon.domain._rpc import CallFailure

SUBMIT = Submit("host", "/queue/1", "key", Work("spec", ()))
UNREACHABLE = CallFailure(was_sent=False, detail="no route")

Instance = Callable[[Call], Awaitable[Answer | CallFailure]]


class SimulatedInstances(LeaderClient):
    """A client of instances that are functions of the call; a slow one runs into the timeout."""

    def __init__(self, instances_by_address: dict[str, Instance]) -> None:
        super().__init__(7000)
        self.instances_by_address = instances_by_address
        self.submitted_to: list[str] = []
        self.add_candidates(instances_by_address)

    async def _ask_at(self, address: str, call: Call, timeout: Seconds) -> Answer | CallFailure:
        if isinstance(call, Submit):
            self.submitted_to.append(address)
        with anyio.move_on_after(timeout):
            return await self.instances_by_address[address](call)
        return CallFailure(was_sent=True, detail="no answer in time")


def leading_from(at: float) -> Instance:
    """Return an instance that leads from a reading of the clock on, and before knows no leader."""

    async def answer(call: Call) -> Answer:
        if clock.now() < at:
            return NotLeader(None)
        return Serving("b", None) if isinstance(call, Probe) else Done("b")

    return answer


async def frozen(call: Call) -> Answer:
    await anyio.sleep(60)
    return NotLeader(None)


async def following(call: Call) -> Answer:
    return NotLeader(None)


async def cut_off(call: Call) -> Answer:
    return NotLeader(None, reaches_quorum=False)


async def unreachable(call: Call) -> CallFailure:
    return UNREACHABLE


class FailOverTest(unittest.TestCase):
    def ask(
        self, instances: dict[str, Instance], known: str | None = None
    ) -> tuple[Answer, float, SimulatedInstances]:
        async def run() -> tuple[Answer, float, SimulatedInstances]:
            client = SimulatedInstances(instances)
            client.address = known
            started = clock.now()
            answer = await client.ask(SUBMIT, Seconds(started + 2.8))
            return answer, clock.now() - started, client

        return asyncio.run(run())

    def test_a_call_is_held_while_an_election_is_under_way(self) -> None:
        elected_at = clock.now() + 0.9
        answer, waited, _ = self.ask({"a": following, "b": leading_from(elected_at)})
        self.assertIsInstance(answer, Done)
        self.assertLess(waited, 1.2)

    def test_a_just_started_instance_holds_calls_until_the_others_are_up(self) -> None:
        up_at = clock.now() + 0.9

        async def starting(call: Call) -> Answer | CallFailure:
            return UNREACHABLE if clock.now() < up_at else await leading_from(up_at)(call)

        answer, waited, _ = self.ask({"a": unreachable, "b": starting})
        self.assertIsInstance(answer, Done)
        self.assertLess(waited, 1.2)

    def test_a_call_at_a_frozen_leader_moves_to_its_successor(self) -> None:
        elected_at = clock.now() + 0.3
        instances = {"a": frozen, "b": leading_from(elected_at)}
        answer, waited, client = self.ask(instances, known="a")
        self.assertIsInstance(answer, Done)
        self.assertLess(waited, 0.5, "before the timeout of the attempt at the frozen leader")
        self.assertEqual(["a", "b"], client.submitted_to)

    def test_waiting_calls_share_one_search(self) -> None:
        probes = 0

        async def counting(call: Call) -> Answer:
            nonlocal probes
            probes += isinstance(call, Probe)
            return NotLeader(None)

        async def run() -> None:
            client = SimulatedInstances({"a": counting})
            async with anyio.create_task_group() as tasks:
                for _ in range(50):
                    tasks.start_soon(client.ask, SUBMIT, Seconds(clock.now() + 0.5))

        asyncio.run(run())
        self.assertLessEqual(probes, 0.5 / _leader.SEARCH_INTERVAL + 1)

    def test_a_search_asks_few_instances_and_follows_what_they_know(self) -> None:
        # A hundred entry instances that each ask every instance would keep these from electing.
        elected_at = clock.now() + 0.5
        probed: list[str] = []

        def follower(name: str) -> Instance:
            async def answer(call: Call) -> Answer:
                probed.append(name)
                return NotLeader(None if clock.now() < elected_at else "b")

            return answer

        followers = {f"f{number}": follower(f"f{number}") for number in range(20)}
        answer, waited, _ = self.ask({**followers, "b": leading_from(elected_at)})
        self.assertIsInstance(answer, Done)
        self.assertLess(waited, 0.5 + 2 * _leader.SEARCH_INTERVAL)
        rounds = 1 + waited / _leader.SEARCH_INTERVAL
        first_round = len(followers)
        self.assertLessEqual(len(probed) - first_round, _leader.SEARCH_FANOUT * rounds)

    def test_an_instance_that_is_cut_off_refuses_early(self) -> None:
        async def run() -> tuple[list[Answer], float]:
            client = SimulatedInstances({"a": leading_from(clock.now())})
            answers = [await client.ask(SUBMIT, Seconds(clock.now() + 2.8))]
            client.instances_by_address["a"] = cut_off
            await anyio.sleep(_leader.QUORUM_MEMORY)
            started = clock.now()
            answers.append(await client.ask(SUBMIT, Seconds(started + 2.8)))
            return answers, clock.now() - started

        (first, second), waited = asyncio.run(run())
        self.assertIsInstance(first, Done)
        assert isinstance(second, Refused)
        self.assertIs(RefusalReason.NO_LEADER, second.reason)
        self.assertLess(waited, 0.6)

    def test_a_long_outage_lengthens_the_time_after_which_to_retry(self) -> None:
        async def run() -> list[Seconds]:
            client = SimulatedInstances({"a": cut_off})
            pauses = []
            for _ in range(2):
                answer = await client.ask(SUBMIT, Seconds(clock.now() + 0.3))
                assert isinstance(answer, Refused)
                pauses.append(answer.retry_after)
                await anyio.sleep(1.2)
            return pauses

        first, second = asyncio.run(run())
        self.assertGreater(second, first)


if __name__ == "__main__":
    unittest.main()
