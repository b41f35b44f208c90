"""
bulrushhollow._answers
~~~~~~~~~~~~~~~~~~~~~~

Decodes the answers of entry instances into typed structs.
"""

from typing import TypeVar

import msgspec

from bulrushhollow.adapters import TransportFailure, WholeAnswer
from bulrushhollow.models import FIRST_ERROR_STATUS, Response
from bulrushhollow_core.endpoints import EXECUTION_HEADER, REASON_HEADER, REQUEST_ID_HEADER
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

T = TypeVar("T")


def refusal_from_failure(failure: TransportFailure) -> Refusal:
    """Return the refusal that callers see for a transport failure."""
    is_lost = failure.execution is Execution.UNKNOWN
    reason = Reason.ANSWER_LOST if is_lost else Reason.INSTANCE_LOST
    return Refusal(reason, failure.detail, failure.execution)


def decode_struct(answer: WholeAnswer, result_type: type[T]) -> T | Refusal:
    """
    Decode an answer of the API.

    :param result_type: type of the body if the call succeeded.
    """
    if answer.status_code >= FIRST_ERROR_STATUS:
        return _decode_refusal(answer) or _malformed_answer(answer)
    try:
        return msgspec.json.decode(answer.body, type=result_type)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return _malformed_answer(answer)


def decode_response(answer: WholeAnswer) -> Response | Refusal:
    """Decode the answer to a request: the endpoint's own answer, or a refusal."""
    has_run = answer.header(EXECUTION_HEADER) == Execution.RAN.value
    if not has_run or answer.header(REASON_HEADER):
        is_error = answer.status_code >= FIRST_ERROR_STATUS
        return (_decode_refusal(answer) if is_error else None) or _malformed_answer(answer)
    return Response(
        status_code=answer.status_code,
        content=answer.body,
        request_id=answer.header(REQUEST_ID_HEADER),
        headers=answer.headers,
    )


def _decode_refusal(answer: WholeAnswer) -> Refusal | None:
    try:
        return msgspec.json.decode(answer.body, type=Refusal)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def _malformed_answer(answer: WholeAnswer) -> Refusal:
    detail = f"the answer (status {answer.status_code}) is not one of a bulrushhollow entry"
    return Refusal(Reason.ANSWER_MALFORMED, detail, Execution.UNKNOWN)
