"""
bulrushhollow_core.requests._outcome
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Final answers of requests and commands for their idempotency keys, derived from the results of the
attempts.
"""

from bulrushhollow_core.ids import InstanceId
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_core.requests._key_commands import ReserveKey, SettleKey
from bulrushhollow_core.requests._keys import KeyRecord
from bulrushhollow_core.requests._messages import AttemptResult, EndpointAnswer
from bulrushhollow_core.requests._pending import PendingRequest

DEFAULT_RETRY_AFTER = 0.2
"""Seconds to retry after if the result of the last attempt names no time."""


def reservation_command(pending: PendingRequest, owner: InstanceId) -> ReserveKey:
    """Return the command that reserves the key of a request."""
    assert pending.arrival.key is not None
    return ReserveKey(
        pending.arrival.key,
        pending.profile.workspace,
        pending.arrival.digest,
        owner,
        pending.arrival.request_id,
    )


def settlement_command(pending: PendingRequest, owner: InstanceId) -> SettleKey | None:
    """Return the command that records the outcome of a request with its key, if it has one."""
    if pending.arrival.key is None:
        return None
    answer = pending.last_answer
    return SettleKey(
        pending.arrival.key,
        pending.profile.workspace,
        owner,
        pending.arrival.request_id,
        pending.execution,
        0 if answer is None else answer.status,
    )


def first_outcome(record: KeyRecord) -> EndpointAnswer | Refusal:
    """Return the answer that repeats the outcome of an earlier request with the same key."""
    if record.body is not None:
        return EndpointAnswer(record.status, None, record.body)
    return Refusal(
        Reason.ANSWER_LOST,
        f"the first request was answered with {record.status}; its body was not kept",
        Execution.RAN,
    )


def refusal_after(pending: PendingRequest, result: AttemptResult) -> Refusal:
    """Return the refusal of a request whose last attempt had this result."""
    execution = pending.execution
    retry_after = result.retry_after
    if retry_after is None:
        retry_after = DEFAULT_RETRY_AFTER
    return Refusal(result.reason, result.detail, execution, retry_after)
