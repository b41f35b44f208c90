import signal
import subprocess
import sys
import unittest

import anyio
import httpcore
import msgspec

from bulrushhollow_core.endpoints import Announcement, AnnouncementAnswer
from bulrushhollow_core.ids import Attempt, Epoch, JobId, TaskId, WorkerId
from bulrushhollow_core.models import Resources
from bulrushhollow_core.platform import PlatformAnswer, PlatformCall, StartTask
from standins._endpoint import Endpoint, EndpointControl, EndpointCounts
from standins._http import Reply, Request, Server, StartupLine, json_reply
from standins._worker import RunRecord

FIRST_WORKER = WorkerId("r1-1")
TIMEOUT = 10.0
"""Seconds after which a process counts as hung."""


def make_request(request_id: str, body: bytes = b"x") -> Request:
    return Request("POST", "/run", {"request-id": request_id}, body)


def run_all(endpoint: Endpoint, *requests: Request) -> list[Reply]:
    """Run several requests at once and return the answers in the order of the requests."""
    replies: dict[int, Reply] = {}

    async def run_one(number: int, request: Request) -> None:
        replies[number] = await endpoint.run(request)

    async def run_each() -> None:
        async with anyio.create_task_group() as tasks:
            for number, request in enumerate(requests):
                tasks.start_soon(run_one, number, request)

    anyio.run(run_each)
    return [replies[number] for number in range(len(requests))]


class EndpointTest(unittest.TestCase):
    def endpoint(self, slots: int = 8, control: EndpointControl | None = None) -> Endpoint:
        return Endpoint(slots, 1, control or EndpointControl())

    def test_answer_carries_request_id_and_body(self) -> None:
        [reply] = run_all(self.endpoint(), make_request("r1", b"body"))
        self.assertEqual(Reply(200, b"done body", {"request-id": "r1"}), reply)

    def test_repeated_marker_is_counted_twice(self) -> None:
        endpoint = self.endpoint()
        run_all(endpoint, make_request("r1", b"m" * 40), make_request("r2", b"m" * 50))
        self.assertEqual({"m" * 36: 2}, endpoint.counts().runs_by_marker)

    def test_request_beyond_the_slots_is_refused_and_does_not_run(self) -> None:
        endpoint = self.endpoint(1, EndpointControl(slow=0.01))
        replies = run_all(endpoint, make_request("r1"), make_request("r2"))
        self.assertEqual([200, 503], [reply.status for reply in replies])
        self.assertEqual("true", replies[1].headers_by_name["not-run"])
        counts = endpoint.counts()
        self.assertEqual((1, 1, 1), (counts.runs, counts.refused_full, counts.most_slots))

    def test_refusing_endpoint_runs_nothing(self) -> None:
        endpoint = self.endpoint(control=EndpointControl(refuse=True))
        run_all(endpoint, make_request("r1"))
        self.assertEqual((0, 1), (endpoint.counts().runs, endpoint.counts().refused))

    def test_crossed_answer_carries_an_earlier_request(self) -> None:
        endpoint = self.endpoint(control=EndpointControl(crossed=True))
        first, second = run_all(endpoint, make_request("r1", b"a"), make_request("r2", b"b"))
        self.assertEqual("another-request", first.headers_by_name["request-id"])
        self.assertEqual((b"done a", "r1"), (second.body, second.headers_by_name["request-id"]))

    def test_cut_and_malformed_answers(self) -> None:
        [cut] = run_all(
            self.endpoint(control=EndpointControl(cut=True)), make_request("r1", b"12345")
        )
        self.assertEqual(5, cut.sent_bytes)
        [malformed] = run_all(
            self.endpoint(control=EndpointControl(malformed=True)), make_request("r1")
        )
        self.assertNotIn("request-id", malformed.headers_by_name)

    def test_failures_follow_the_seed(self) -> None:
        control = EndpointControl(fail_rate=0.5)
        requests = [make_request(str(number)) for number in range(20)]
        first = [reply.status for reply in run_all(self.endpoint(20, control), *requests)]
        second = [reply.status for reply in run_all(self.endpoint(20, control), *requests)]
        self.assertEqual(first, second)
        self.assertEqual({200, 500}, set(first))


class EndpointProcessTest(unittest.TestCase):
    """The endpoint as a process that announces itself to a server of the test."""

    def setUp(self) -> None:
        self.announcements: list[Announcement] = []

    async def handle_announcement(self, request: Request) -> Reply:
        self.announcements.append(msgspec.json.decode(request.body, type=Announcement))
        return json_reply(AnnouncementAnswer(announce_within=0.1))

    async def wait_for_announcement(self, leaving: bool) -> None:
        while not any(announcement.leaving is leaving for announcement in self.announcements):
            await anyio.sleep(0.02)

    async def run_process(self, entry: Server) -> int:
        command = [sys.executable, "-m", "standins.endpoint", "--id", "e1", "--slow-ms", "300"]
        options = ["--announce-to", f"http://{entry.address}", "--leave-seconds", "0.3"]
        async with await anyio.open_process([*command, *options], stderr=None) as process:
            try:
                assert process.stdout is not None
                line = msgspec.json.decode(await process.stdout.receive(), type=StartupLine)
                await self.wait_for_announcement(leaving=False)
                self.assertEqual(line.address, self.announcements[0].address)
                async with (
                    httpcore.AsyncConnectionPool() as pool,
                    anyio.create_task_group() as tasks,
                ):
                    tasks.start_soon(self.send_request, pool, line.address)
                    await self.wait_for_run(pool, line.address)
                    process.send_signal(signal.SIGTERM)
                    await self.wait_for_announcement(leaving=True)
                return await process.wait()
            finally:
                if process.returncode is None:
                    process.kill()

    async def send_request(self, pool: httpcore.AsyncConnectionPool, address: str) -> None:
        headers = [("request-id", "r1")]
        answer = await pool.request("POST", f"http://{address}/run", headers=headers, content=b"x")
        self.answer = answer.content

    async def wait_for_run(self, pool: httpcore.AsyncConnectionPool, address: str) -> None:
        while True:
            answer = await pool.request("GET", f"http://{address}/counts")
            if msgspec.json.decode(answer.content, type=EndpointCounts).runs:
                return
            await anyio.sleep(0.02)

    def test_stop_announces_leaving_and_finishes_requests_in_flight(self) -> None:
        async def run() -> int:
            entry = Server(self.handle_announcement, "127.0.0.1:0")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(entry.run_until_stopped)
                with anyio.fail_after(TIMEOUT):
                    code = await self.run_process(entry)
                entry.stop()
            return code

        self.assertEqual(0, anyio.run(run))
        self.assertEqual(b"done x", self.answer)


class PlatformProcessTest(unittest.TestCase):
    def test_platform_answers_and_stops_at_the_first_signal(self) -> None:
        process = subprocess.Popen(
            [sys.executable, "-m", "standins.platform", "--racks", "r1:2"], stdout=subprocess.PIPE
        )
        self.addCleanup(process.wait, TIMEOUT)
        self.addCleanup(process.kill)
        assert process.stdout is not None
        self.addCleanup(process.stdout.close)
        address = msgspec.json.decode(process.stdout.readline(), type=StartupLine).address
        url = f"http://{address}"
        start = StartTask(
            FIRST_WORKER, TaskId("j/1/0"), JobId("j"), Attempt(1), Resources(), not_after=1.0
        )
        call = PlatformCall(Epoch(1), lease=5.0, orders=(start,))
        sync = httpcore.request("POST", f"{url}/v1/sync", content=msgspec.json.encode(call))
        answer = msgspec.json.decode(sync.content, type=PlatformAnswer)
        self.assertEqual(2, len(answer.workers))
        runs = httpcore.request("GET", f"{url}/runs")
        [run] = msgspec.json.decode(runs.content, type=list[RunRecord])
        self.assertEqual((FIRST_WORKER, "j/1/0", None), (run.worker, run.task, run.ended_at))
        rejected = httpcore.request("POST", f"{url}/control", content=b'{"take_down":["nobody"]}')
        self.assertEqual(400, rejected.status)
        accepted = httpcore.request("POST", f"{url}/control", content=b'{"take_down":["r1-1"]}')
        self.assertEqual(204, accepted.status)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(TIMEOUT))


if __name__ == "__main__":
    unittest.main()
