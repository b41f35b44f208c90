"""
standins.load
~~~~~~~~~~~~~

A load generator with a fixed seed: an open loop of requests or jobs that go to the entry instances
in turn, as through a load balancer, with a typed record of each outcome.

Usage::

    python -m standins.load --entries http://127.0.0.1:8000 --profile labels --rate 50 --count 500
"""

import argparse
import random
import sys
import time
import uuid
from collections import Counter
from collections.abc import Sequence

import anyio
import msgspec

from bulrushhollow.exceptions import BulrushhollowError
from bulrushhollow.http import HttpAdapter
from bulrushhollow.sessions import Session
from bulrushhollow_core.outcomes import Execution, Reason
from standins._endpoint import ANSWER_PREFIX
from standins._http import split_addresses

MAX_CONNECTIONS = 2_000
"""Connections of the load generator to all entry instances together."""


class Traffic(msgspec.Struct, frozen=True):
    """
    One kind of call in the load.

    :param weight: share of the calls, relative to the other kinds.
    :param job: whether to submit jobs instead of requests.
    :param keyed: whether to send each request with an idempotency key.
    :param deadline: seconds; None uses the deadline of the profile.
    :param body_bytes: size of a request's body; its first 36 bytes are the marker.
    :param payload: payload of a job.
    """

    profile: str
    weight: float = 1.0
    job: bool = False
    keyed: bool = False
    deadline: float | None = None
    body_bytes: int = 100
    payload: str = ""


class LoadPlan(msgspec.Struct, frozen=True):
    """
    The calls of a load and its limits.

    :param rate: calls per second on average, at random intervals.
    :param count: greatest number of calls.
    :param seconds: time after which no further call is sent.
    """

    entries: tuple[str, ...]
    traffic: tuple[Traffic, ...]
    rate: float
    count: int
    seconds: float
    seed: int


class CallOutcome(msgspec.Struct, frozen=True):
    """
    The outcome of one call.

    :param marker: unique id: the start of the request's body, or the id of the job.
    :param sent_at: seconds from the start of the load.
    :param took: seconds from the call to its outcome.
    :param status_code: status of the endpoint's answer; None without an answer.
    :param whole: whether the answer is complete and belongs to this call.
    """

    marker: str
    profile: str
    entry: str
    sent_at: float
    took: float
    execution: Execution
    reason: Reason | None = None
    status_code: int | None = None
    whole: bool = False


class _PlannedCall(msgspec.Struct, frozen=True):
    marker: str
    traffic: Traffic
    entry: str
    at: float


def plan_calls(plan: LoadPlan) -> list[_PlannedCall]:
    """Return the calls of a plan, drawn from its seed."""
    rng = random.Random(plan.seed)
    weights = [kind.weight for kind in plan.traffic]
    at = 0.0
    calls = []
    for number in range(plan.count):
        at += rng.expovariate(plan.rate)
        if at > plan.seconds:
            break
        marker = str(uuid.UUID(int=rng.getrandbits(128), version=4))
        [traffic] = rng.choices(plan.traffic, weights)
        calls.append(_PlannedCall(marker, traffic, plan.entries[number % len(plan.entries)], at))
    return calls


class LoadCaller:
    """
    Sends the calls of a plan at their times, without waiting for earlier ones.

    Usage::

        outcomes = await LoadCaller(plan).run()
    """

    def __init__(self, plan: LoadPlan) -> None:
        """Prepare the sessions without connecting."""
        self._plan = plan
        self._adapter = HttpAdapter(MAX_CONNECTIONS)
        self._sessions_by_entry = {entry: Session([entry], self._adapter) for entry in plan.entries}
        self._outcomes: list[CallOutcome] = []
        self._started_at = 0.0

    async def run(self) -> list[CallOutcome]:
        """Send every call and return the outcomes in the order of completion."""
        self._started_at = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for call in plan_calls(self._plan):
                await anyio.sleep(max(0.0, call.at - self._elapsed()))
                tasks.start_soon(self._send_call, call)
        await self._adapter.close()
        return self._outcomes

    def _elapsed(self) -> float:
        return time.monotonic() - self._started_at

    async def _send_call(self, call: _PlannedCall) -> None:
        sent_at = self._elapsed()
        session = self._sessions_by_entry[call.entry]
        outcome = CallOutcome(
            call.marker, call.traffic.profile, call.entry, sent_at, 0.0, Execution.UNKNOWN
        )
        try:
            if call.traffic.job:
                outcome = await self._submit(session, call, outcome)
            else:
                outcome = await self._request(session, call, outcome)
        except BulrushhollowError as error:
            outcome = msgspec.structs.replace(
                outcome, execution=error.execution, reason=error.reason
            )
        took = self._elapsed() - sent_at
        self._outcomes.append(msgspec.structs.replace(outcome, took=took))

    async def _request(
        self, session: Session, call: _PlannedCall, outcome: CallOutcome
    ) -> CallOutcome:
        body = call.marker.encode().ljust(call.traffic.body_bytes, b".")
        response = await session.request(
            call.traffic.profile,
            body,
            idempotency_key=call.marker if call.traffic.keyed else None,
            deadline=call.traffic.deadline,
        )
        return msgspec.structs.replace(
            outcome,
            execution=Execution.RAN,
            status_code=response.status_code,
            whole=response.content == ANSWER_PREFIX + body,
        )

    async def _submit(
        self, session: Session, call: _PlannedCall, outcome: CallOutcome
    ) -> CallOutcome:
        job = await session.submit(call.traffic.profile, call.traffic.payload, job_id=call.marker)
        return msgspec.structs.replace(
            outcome, execution=job.execution, reason=job.reason, whole=job.job == call.marker
        )


class LoadSummary(msgspec.Struct, frozen=True):
    """The number of calls by outcome."""

    calls: int
    whole: int
    by_execution: dict[str, int]
    by_reason: dict[str, int]


def summarize(outcomes: Sequence[CallOutcome]) -> LoadSummary:
    """Return the counts of some outcomes."""
    return LoadSummary(
        calls=len(outcomes),
        whole=sum(outcome.whole for outcome in outcomes),
        by_execution=dict(Counter(outcome.execution.value for outcome in outcomes)),
        by_reason=dict(Counter(outcome.reason.value for outcome in outcomes if outcome.reason)),
    )


def main(arguments: list[str]) -> int:
    """Send one kind of call and print the summary as JSON."""
    parser = argparse.ArgumentParser(prog="python -m standins.load")
    parser.add_argument("--entries", required=True, help="base addresses, separated by commas")
    parser.add_argument("--profile", required=True)
    parser.add_argument("--job", action="store_true", help="submit jobs")
    parser.add_argument("--keyed", action="store_true", help="send idempotency keys")
    parser.add_argument("--rate", type=float, default=20.0, help="calls per second")
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    plan = LoadPlan(
        entries=tuple(split_addresses(options.entries)),
        traffic=(Traffic(options.profile, job=options.job, keyed=options.keyed),),
        rate=options.rate,
        count=options.count,
        seconds=options.seconds,
        seed=options.seed,
    )
    outcomes = anyio.run(LoadCaller(plan).run)
    print(msgspec.json.encode(summarize(outcomes)).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
