"""
bulrushhollow._answers
~~~~~~~~~~~~~~~~~~~~~~

Reads what an entry instance answered into typed structs.
"""

from typing import TypeVar

import msgspec

from bulrushhollow.adapters import TransportFailure, WholeAnswer
from bulrushhollow.models import FIRST_ERROR_STATUS, Response
from bulrushhollow_core.endpoints import EXECUTION_HEADER, REASON_HEADER, REQUEST_ID_HEADER
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

T = TypeVar("T")


def read_failure(failure: TransportFailure) -> Refusal:
    """Turn a failure of the transport into the refusal that callers see."""
    lost = failure.execution is Execution.UNKNOWN
    reason = Reason.ANSWER_LOST if lost else Reason.INSTANCE_LOST
    return Refusal(reason, failure.detail, failure.execution)


def read_struct(answer: WholeAnswer, kind: type[T]) -> T | Refusal:
    """
    Decode an answer of the API.

    :param kind: what a good answer is decoded to.
    """
    if answer.status_code >= FIRST_ERROR_STATUS:
        return _read_refusal(answer) or _malformed(answer)
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return _malformed(answer)


def read_response(answer: WholeAnswer) -> Response | Refusal:
    """Decode the answer to a request: the endpoint's own, or a refusal."""
    ran = answer.header(EXECUTION_HEADER) == Execution.RAN.value
    if not ran or answer.header(REASON_HEADER):
        refused = answer.status_code >= FIRST_ERROR_STATUS
        return (_read_refusal(answer) if refused else None) or _malformed(answer)
    return Response(
        status_code=answer.status_code,
        content=answer.body,
        request_id=answer.header(REQUEST_ID_HEADER),
        headers=answer.headers,
    )


def _read_refusal(answer: WholeAnswer) -> Refusal | None:
    try:
        return msgspec.json.decode(answer.body, type=Refusal)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def _malformed(answer: WholeAnswer) -> Refusal:
    detail = f"the answer (status {answer.status_code}) is not one of a bulrushhollow entry"
    return Refusal(Reason.ANSWER_MALFORMED, detail, Execution.UNKNOWN)
