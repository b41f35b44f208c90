import unittest

import anyio
import msgspec

from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from standins._http import Reply, Request, Server
from standins.load import LoadCaller, LoadPlan, Traffic, plan_calls, summarize

PLAN = LoadPlan(
    entries=("http://127.0.0.1:1", "http://127.0.0.1:2"),
    traffic=(Traffic("labels"), Traffic("forecast", weight=3.0)),
    rate=10.0,
    count=50,
    seconds=60.0,
    seed=7,
)


class PlanTest(unittest.TestCase):
    def test_same_seed_gives_the_same_calls_with_unique_markers(self) -> None:
        calls = plan_calls(PLAN)
        self.assertEqual(calls, plan_calls(PLAN))
        self.assertEqual(50, len({call.marker for call in calls}))
        self.assertEqual(25, sum(call.entry == PLAN.entries[0] for call in calls))

    def test_no_call_is_planned_after_the_time_limit(self) -> None:
        short_plan = msgspec.structs.replace(PLAN, seconds=1.0)
        self.assertLess(len(plan_calls(short_plan)), 50)
        self.assertTrue(all(call.at <= 1.0 for call in plan_calls(short_plan)))


class LoadCallerTest(unittest.TestCase):
    async def answer(self, request: Request) -> Reply:
        """Answer requests of the first profile, cross answers of the second, refuse the third."""
        if request.path.endswith("refused"):
            refusal = msgspec.json.encode(Refusal(Reason.QUEUE_FULL))
            return Reply(503, refusal, {"execution": "not_run"})
        body = b"other" if request.path.endswith("crossed") else request.body
        return Reply(200, b"done " + body, {"execution": "ran"})

    def test_outcomes_distinguish_whole_crossed_and_refused_calls(self) -> None:
        async def run() -> None:
            server = Server(self.answer, "127.0.0.1:0")
            traffic = tuple(Traffic(name) for name in ("good", "crossed", "refused"))
            plan = msgspec.structs.replace(
                PLAN, entries=(f"http://{server.address}",), traffic=traffic, rate=500.0
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run_until_stopped)
                self.outcomes = await LoadCaller(plan).run()
                server.stop()

        anyio.run(run)
        summary = summarize(self.outcomes)
        good = sum(outcome.profile == "good" for outcome in self.outcomes)
        refused = sum(outcome.profile == "refused" for outcome in self.outcomes)
        self.assertEqual((50, good), (summary.calls, summary.whole))
        self.assertEqual({"queue_full": refused}, summary.by_reason)
        ran = [outcome for outcome in self.outcomes if outcome.execution is Execution.RAN]
        self.assertEqual(50 - refused, len(ran))


if __name__ == "__main__":
    unittest.main()
