"""
bulrushhollow._retries
~~~~~~~~~~~~~~~~~~~~~~

Which calls may be sent again, to which entry, and what may still be said of the work then.
"""

from enum import Enum

from bulrushhollow_core.outcomes import Execution, Reason, Refusal

MOST_ATTEMPTS = 4
"""Attempts of one call, over all entry instances."""

RETRY_PAUSE = 0.2
"""Seconds before a call goes to an entry instance that already failed it once."""


class Repeat(Enum):
    """Whether a second attempt is harmless."""

    IDEMPOTENT = "idempotent"
    """A repeat has the same effect and gives the same answer."""

    DEDUPLICATED = "deduplicated"
    """The call has an id; a repeat finds what the first attempt did."""

    NEVER = "never"
    """Only an attempt that is known not to have run may be repeated."""


TRANSIENT_REASONS = frozenset(
    {
        Reason.NO_QUORUM,
        Reason.NOT_READY,
        Reason.SHUTTING_DOWN,
        Reason.OVERLOADED,
        Reason.QUEUE_FULL,
    }
)
"""Reasons for which another entry instance may take the same call."""

DECIDED_REASONS = frozenset(
    {
        Reason.VERSION_CONFLICT,
        Reason.CHANGE_ID_REUSED,
        Reason.GUARANTEES_DO_NOT_FIT,
        Reason.STILL_IN_USE,
        Reason.INVALID,
    }
)
"""Reasons that the log gives for an id, and that hold for earlier attempts of the id as well."""


def may_repeat(refusal: Refusal, repeat: Repeat) -> bool:
    """
    Tell whether the next entry instance may be tried.

    :param refusal: what the last attempt came to.
    """
    if refusal.execution is Execution.NOT_RUN:
        return refusal.reason in TRANSIENT_REASONS or refusal.reason is Reason.INSTANCE_LOST
    return (
        refusal.execution is Execution.UNKNOWN
        and repeat is not Repeat.NEVER
        and refusal.reason is Reason.ANSWER_LOST
    )


def merge(earlier: Refusal | None, last: Refusal, repeat: Repeat) -> Refusal:
    """
    Say of the work what all attempts together allow to say.

    An earlier attempt whose answer was lost may have run, whatever a later refusal says of its
    own attempt; only a decision about the same id settles it.

    :param earlier: an attempt of unknown outcome, if there was one.
    """
    if earlier is None or last.execution is not Execution.NOT_RUN:
        return last
    if repeat is Repeat.DEDUPLICATED and last.reason in DECIDED_REASONS:
        return last
    detail = f"{earlier.detail}; then: {last.detail or last.reason.value}"
    return Refusal(earlier.reason, detail, Execution.UNKNOWN, last.retry_after)
