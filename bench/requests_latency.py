"""
bench.requests_latency
~~~~~~~~~~~~~~~~~~~~~~

Throughput of one entry instance and the latency that it adds, compared with direct calls to an
endpoint and with the baseline proxy.
"""

import time
import uuid

import anyio
import httpcore

from bench.report import emit, percentile
from bench.requests_site import LABELS, ONCE, open_baseline, open_site
from bulrushhollow_core.endpoints import (
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    REQUEST_PATH,
    RUN_PATH,
)
from standins._endpoint import ANSWER_PREFIX

BENCH = "requests"
SECONDS = 6.0
"""Duration of each measurement in seconds."""

WARM_UP_SECONDS = 1.0
"""Seconds of load before each measurement that do not count."""

KEYED = "bulrushhollowd with keys"
"""Subject of requests whose idempotency keys are committed to the log first."""

ENDPOINTS = 3
CALLERS = (1, 8)
"""Numbers of concurrent callers; each waits for an answer before its next request."""

BODY_BYTES = 100


class ClosedLoop:
    """
    A closed-loop load generator: each caller has at most one request in flight.

    :param url: the URL to which requests are posted.
    :param callers: number of concurrent callers.
    :param keyed: whether each request has an idempotency key.
    """

    def __init__(self, url: str, callers: int, keyed: bool) -> None:
        self._url = url
        self._callers = callers
        self._keyed = keyed
        self.latencies: list[float] = []
        self.wrong_answers = 0

    async def run(self, seconds: float) -> None:
        """Send requests for a warm-up, which is not measured, and then for some seconds."""
        start = time.monotonic() + WARM_UP_SECONDS
        async with anyio.create_task_group() as tasks:
            for _ in range(self._callers):
                tasks.start_soon(self._send_until, start, start + seconds)

    async def _send_until(self, start: float, end: float) -> None:
        backend = httpcore.AnyIOBackend()
        async with httpcore.AsyncConnectionPool(1, network_backend=backend) as pool:
            while time.monotonic() < end:
                body = uuid.uuid4().hex.encode().ljust(BODY_BYTES, b".")
                started_at = time.monotonic()
                headers = [(REQUEST_ID_HEADER, "direct")]
                if self._keyed:
                    headers.append((IDEMPOTENCY_KEY_HEADER, uuid.uuid4().hex))
                answer = await pool.request("POST", self._url, headers=headers, content=body)
                ended = time.monotonic()
                if answer.content != ANSWER_PREFIX + body:
                    self.wrong_answers += 1
                elif started_at >= start:
                    self.latencies.append(ended - started_at)


def measure(seed: int) -> None:
    """Print throughput and latency of direct calls, the baseline proxy and the daemon."""
    with open_site({"north": 1}, {"north": ENDPOINTS}) as site:
        endpoints = list(site.endpoints_by_name.values())
        with open_baseline(endpoints) as baseline:
            urls_by_subject = {
                "direct": endpoints[0] + RUN_PATH,
                "round-robin": baseline + REQUEST_PATH + LABELS,
                "bulrushhollowd": site.cluster.entries[0] + REQUEST_PATH + LABELS,
                KEYED: site.cluster.entries[0] + REQUEST_PATH + ONCE,
            }
            for callers in CALLERS:
                for subject, url in urls_by_subject.items():
                    loop = ClosedLoop(url, callers, subject == KEYED)
                    anyio.run(loop.run, SECONDS)
                    _report(seed, f"{subject}/callers={callers}", loop)


def _report(seed: int, subject: str, loop: ClosedLoop) -> None:
    emit(BENCH, seed, subject, "throughput", round(len(loop.latencies) / SECONDS, 1), "1/s")
    for name, fraction in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)):
        milliseconds = 1000 * percentile(loop.latencies, fraction)
        emit(BENCH, seed, subject, name, round(milliseconds, 3), "ms")
    emit(BENCH, seed, subject, "wrong answers", loop.wrong_answers, "1")
