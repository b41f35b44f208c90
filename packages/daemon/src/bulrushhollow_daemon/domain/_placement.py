"""
bulrushhollow_daemon.domain._placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Answers operators who ask where a job would be placed: ``POST /v1/placement``.
"""

import math
from collections.abc import Awaitable, Callable

import msgspec

from bulrushhollow_core.domain import (
    Answer,
    Call,
    ExplainPlacement,
    PlacementExplained,
    RefusalReason,
    Refused,
    Resources,
    Step,
    WallTime,
    Work,
)
from bulrushhollow_core.ids import Seconds
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_core.placements import JobBody, PlacementQuestion, StepBody
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.http_messages import (
    Request,
    Response,
    limit_retry_after,
    refusal_response,
)
from bulrushhollow_daemon.json_lists import DECODE_ERRORS

MAX_QUESTION_BYTES = 256 * 1024
"""Largest body of a question; by default no larger job can be submitted."""

BODY_TIMEOUT = 3.0
"""Seconds within which the body of a question must arrive; the callers' limit as well."""

ANSWER_TIMEOUT = Seconds(2.0)
"""Seconds within which the leader must answer; an election and the search for its winner included,
they take about as long."""

BAD_REQUEST = 400
UNAVAILABLE = 503

LeaderAsker = Callable[[Call, Seconds], Awaitable[Answer]]
"""Returns the leader's answer to a call by a deadline."""


class PlacementPage:
    """
    The page that explains placements.

    :param ask_leader: sends a call to the leader.
    """

    def __init__(self, ask_leader: LeaderAsker) -> None:
        """Create the page."""
        self._ask_leader = ask_leader
        self._decoder = msgspec.json.Decoder(PlacementQuestion)

    async def respond(self, request: Request) -> Response:
        """Return the leader's explanation, or why there is none."""
        body = await request.body(MAX_QUESTION_BYTES, BODY_TIMEOUT)
        if isinstance(body, Refusal):
            return refusal_response(body)
        try:
            question = self._decoder.decode(body)
        except DECODE_ERRORS as error:
            return Response(BAD_REQUEST, _error_body("malformed", str(error)))
        # Configurations hold the host names of queues in lower case.
        call = ExplainPlacement(
            question.host.lower(), question.prefix, question.key, to_work(question.job)
        )
        answer = await self._ask_leader(call, Seconds(clock.now() + ANSWER_TIMEOUT))
        match answer:
            case PlacementExplained(outlook=outlook):
                return Response(200, msgspec.json.encode(outlook))
            case Refused(reason=reason, retry_after=retry_after):
                return _unavailable(reason.value, retry_after)
            case _:
                return _unavailable(RefusalReason.NO_LEADER.value, Seconds(1.0))


def to_work(job: JobBody) -> Work:
    """Return the work of a job file."""
    return Work(
        spec=job.spec,
        steps=tuple(map(_to_step, job.steps)),
        occurrences=job.occurrences,
        first_due_at=WallTime(job.first_due_at),
        interval=Seconds(job.interval),
    )


def _to_step(step: StepBody) -> Step:
    return Step(
        count=step.count,
        needs=Resources(step.cpu, step.memory, step.accelerators),
        estimate=Seconds(step.estimate),
        depends_on=step.depends_on,
        is_gang=step.is_gang,
        same_rack=step.same_rack,
        required_label=step.required_label,
        data_rack=step.data_rack,
        max_per_worker=step.max_per_worker,
        is_speculative=step.is_speculative,
        is_checkpointable=step.is_checkpointable,
        is_long_running=step.is_long_running,
        max_unavailable=step.max_unavailable,
    )


def _unavailable(reason: str, retry_after: Seconds) -> Response:
    header = ("retry-after", str(math.ceil(limit_retry_after(retry_after))))
    return Response(UNAVAILABLE, _error_body(reason, ""), headers=(header,))


def _error_body(error: str, detail: str) -> bytes:
    return msgspec.json.encode({"error": error, "detail": detail})
