"""
bulrushhollow_core.requests._messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Inputs and outputs of the router: arrivals, results of attempts, and actions. They contain only the
sizes and digests of bodies; the bodies themselves stay outside the core.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.ids import (
    Attempt,
    DataCentreId,
    EndpointId,
    IdempotencyKey,
    InstanceName,
    ProfileName,
    RequestId,
    Seconds,
)
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_core.requests._key_commands import KeyCommand


class Arrival(msgspec.Struct, frozen=True):
    """
    A request that a caller or another entry instance sent to this one.

    :param size: bytes of its body.
    :param deadline: time by which it must have its final answer.
    :param key: idempotency key, if the caller set one.
    :param digest: digest of profile and body; needed with a key only.
    :param is_forwarded: whether another data centre's entry instance sent it; such a request is not
        forwarded again.
    """

    request_id: RequestId
    profile_name: ProfileName
    size: int
    deadline: Seconds
    key: IdempotencyKey | None = None
    digest: str = ""
    is_forwarded: bool = False


class Dispatch(msgspec.Struct, frozen=True, tag="requests_dispatch"):
    """
    Send a request to an endpoint, once.

    :param timeout: seconds after which to abort the attempt and close its connection.
    :param connections: maximum connections, idle ones included, to keep open to this endpoint.
    """

    request_id: RequestId
    attempt: Attempt
    endpoint: EndpointId
    address: str
    timeout: Seconds
    connections: int


class Forward(msgspec.Struct, frozen=True, tag="requests_forward"):
    """
    Send a request to an entry instance of another data centre, once.

    :param timeout: seconds after which to abort the attempt and close its connection.
    """

    request_id: RequestId
    attempt: Attempt
    instance: InstanceName
    data_centre: DataCentreId
    address: str
    timeout: Seconds


class ProposeReservation(msgspec.Struct, frozen=True, tag="requests_reserve"):
    """Commit the command to the log and pass its result to ``Router.handle_reservation``."""

    request_id: RequestId
    command: KeyCommand


class ProposeSettlement(msgspec.Struct, frozen=True, tag="requests_settle"):
    """
    Commit the command to the log; propose it again until it is committed.

    :param request_id: the request whose answer's body, if any, must be added to the command.
    """

    request_id: RequestId
    command: KeyCommand


class EndpointAnswer(msgspec.Struct, frozen=True, tag="requests_answered"):
    """
    Complete answer of an endpoint to the request.

    :param status: HTTP status of the answer.
    :param attempt: the attempt that received the answer's body; None if the answer repeats the
        outcome of an earlier request with the same key.
    :param body: body of that earlier answer, if it was short enough to be kept.
    """

    status: int
    attempt: Attempt | None = None
    body: bytes | None = None


class FinishRequest(msgspec.Struct, frozen=True, tag="requests_finish"):
    """Send the final answer to the caller; there is exactly one for each arrival."""

    request_id: RequestId
    result: EndpointAnswer | Refusal


RouterAction = Dispatch | Forward | ProposeReservation | ProposeSettlement | FinishRequest


class AttemptEnd(Enum):
    """How an attempt ended, as far as the sender knows for certain."""

    WHOLE = "whole"
    NOT_WRITTEN = "not_written"
    REFUSED = "refused"
    LOST = "lost"


class AttemptResult(msgspec.Struct, frozen=True):
    """
    Result of one attempt.

    :param end: ``WHOLE`` for a complete answer to this request; ``NOT_WRITTEN`` if no byte of the
        request was sent; ``REFUSED`` if the receiver answered that no handler saw it; ``LOST`` in
        all other cases.
    :param status: HTTP status of a complete answer.
    :param reason: why there is no complete answer.
    :param retry_after: seconds to retry after, if the receiver named them.
    """

    end: AttemptEnd
    status: int = 0
    reason: Reason = Reason.ANSWER_LOST
    detail: str = ""
    retry_after: float | None = None

    @property
    def execution(self) -> Execution:
        """Whether the request ran, as far as this attempt alone proves it."""
        if self.end is AttemptEnd.WHOLE:
            return Execution.RAN
        if self.end is AttemptEnd.LOST:
            return Execution.UNKNOWN
        return Execution.NOT_RUN
