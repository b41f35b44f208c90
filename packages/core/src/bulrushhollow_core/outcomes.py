"""
bulrushhollow_core.outcomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Outcomes reported to callers and operators: whether the work ran, and a reason from a closed list.
"""

from enum import Enum

import msgspec


class Execution(Enum):
    """Whether the work of a request or job ran."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a call was refused or ended without a result."""

    # The call itself.
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    NO_SUCH_PROFILE = "no_such_profile"
    NO_SUCH_WORKSPACE = "no_such_workspace"
    NO_SUCH_DATA_CENTRE = "no_such_data_centre"
    NO_SUCH_ENDPOINT = "no_such_endpoint"
    NO_SUCH_JOB = "no_such_job"
    WRONG_KIND = "wrong_kind"
    INVALID = "invalid"

    # Configuration.
    VERSION_CONFLICT = "version_conflict"
    CHANGE_ID_REUSED = "change_id_reused"
    GUARANTEES_DO_NOT_FIT = "guarantees_do_not_fit"
    STILL_IN_USE = "still_in_use"

    # Authority and state.
    NO_QUORUM = "no_quorum"
    NOT_READY = "not_ready"
    SHUTTING_DOWN = "shutting_down"
    DATA_CENTRE_OUT = "data_centre_out"
    DATA_CENTRE_ISOLATED = "data_centre_isolated"

    # Capacity.
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"
    QUOTA = "quota"
    NEVER_FITS = "never_fits"

    # Execution.
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_FAILED = "endpoint_failed"
    ANSWER_LOST = "answer_lost"
    ANSWER_MALFORMED = "answer_malformed"
    INSTANCE_LOST = "instance_lost"
    WORKER_LOST = "worker_lost"
    TASK_FAILED = "task_failed"
    RUN_LIMIT = "run_limit"
    CANCELLED = "cancelled"
    CALLER_GONE = "caller_gone"

    # Idempotency keys.
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_BODY_DIFFERS = "key_body_differs"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"


class Refusal(msgspec.Struct, frozen=True, tag="refusal"):
    """
    Returned by a function in place of a result.

    :param reason: why there is no result.
    :param detail: one sentence for human readers.
    :param execution: whether the work ran.
    :param retry_after: seconds after which a retry may succeed; None if that is not known.
    """

    reason: Reason
    detail: str = ""
    execution: Execution = Execution.NOT_RUN
    retry_after: float | None = None
