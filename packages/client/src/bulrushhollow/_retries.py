"""
bulrushhollow._retries
~~~~~~~~~~~~~~~~~~~~~~

Decides which calls may be retried, and what several attempts together say about the work.
"""

from enum import Enum

from bulrushhollow_core.outcomes import Execution, Reason, Refusal

MAX_ATTEMPTS = 4
"""Most attempts of one call, over all entry instances."""

RETRY_DELAY = 0.2
"""Seconds to wait before each attempt at an entry instance that was already tried."""


class RetrySafety(Enum):
    """Whether a second attempt of a call is harmless."""

    IDEMPOTENT = "idempotent"
    """A second attempt has the same effect and gets the same answer."""

    DEDUPLICATED = "deduplicated"
    """The call carries an id; a second attempt gets the outcome of the first."""

    NEVER = "never"
    """Only an attempt that certainly did not run may be retried."""


TRANSIENT_REASONS = frozenset(
    {
        Reason.NO_QUORUM,
        Reason.NOT_READY,
        Reason.SHUTTING_DOWN,
        Reason.OVERLOADED,
        Reason.QUEUE_FULL,
    }
)
"""Reasons for which another entry instance may still accept the call."""

FINAL_REASONS = frozenset(
    {
        Reason.VERSION_CONFLICT,
        Reason.CHANGE_ID_REUSED,
        Reason.GUARANTEES_DO_NOT_FIT,
        Reason.STILL_IN_USE,
        Reason.INVALID,
    }
)
"""
Reasons that are decided by the replicated log for an id, so that they hold for earlier attempts
with the same id as well.
"""


def is_retryable(refusal: Refusal, safety: RetrySafety) -> bool:
    """
    Return whether the call may be sent to the next entry instance.

    :param refusal: result of the last attempt.
    """
    if refusal.execution is Execution.NOT_RUN:
        return refusal.reason in TRANSIENT_REASONS or refusal.reason is Reason.INSTANCE_LOST
    return (
        refusal.execution is Execution.UNKNOWN
        and safety is not RetrySafety.NEVER
        and refusal.reason is Reason.ANSWER_LOST
    )


def combine_refusals(earlier: Refusal | None, last: Refusal, safety: RetrySafety) -> Refusal:
    """
    Return the refusal that holds for all attempts together.

    An earlier attempt whose answer was lost may have run, whatever a later refusal says about its
    own attempt. Only a final decision about the same id settles it.

    :param earlier: result of an earlier attempt of unknown outcome, if there was one.
    :param last: result of the last attempt.
    """
    if earlier is None or last.execution is not Execution.NOT_RUN:
        return last
    if safety is RetrySafety.DEDUPLICATED and last.reason in FINAL_REASONS:
        return last
    detail = f"{earlier.detail}; then: {last.detail or last.reason.value}"
    return Refusal(earlier.reason, detail, Execution.UNKNOWN, last.retry_after)
