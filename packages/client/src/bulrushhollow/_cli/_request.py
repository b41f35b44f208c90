"""
bulrushhollow._cli._request
~~~~~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow request`` and ``bulrushhollow status``.
"""

import contextlib
import sys
from pathlib import Path

import msgspec

from bulrushhollow._cli import _render
from bulrushhollow._cli._common import (
    COMMON_OPTIONS,
    CommonOptions,
    print_answer,
    print_note,
    read_file,
    run_in_session,
    usage_error,
)
from bulrushhollow._cli._exits import ExitCode, exit_code_of_response
from bulrushhollow.models import Execution, Response
from bulrushhollow.sessions import Session


class RequestResult(msgspec.Struct, frozen=True):
    """
    The answer to a request, as printed in JSON.

    :param text: body that is UTF-8 text, otherwise None.
    :param content: body that is not UTF-8 text, in Base64, otherwise None.
    """

    status_code: int
    request_id: str
    execution: Execution
    text: str | None = None
    content: bytes | None = None


def request(
    profile: str,
    /,
    *,
    body: str = "",
    body_file: Path | None = None,
    idempotency_key: str | None = None,
    idempotent: bool = False,
    deadline: float | None = None,
    common: CommonOptions = COMMON_OPTIONS,
) -> int:
    """Send a request and print the endpoint's answer.

    Parameters
    ----------
    profile
        Name of the profile.
    body
        Text to send.
    body_file
        File to send; - is the standard input.
    idempotency_key
        Key by which a resend finds the first run.
    idempotent
        A second run is harmless: ask again if the answer is lost.
    deadline
        Seconds to wait for the answer.
    """
    if body and body_file is not None:
        raise usage_error("give either --body or --body-file, not both")
    content = body.encode() if body_file is None else read_file(body_file)
    response = run_in_session(
        common,
        lambda session: session.request(
            profile,
            content,
            idempotency_key=idempotency_key,
            idempotent=idempotent,
            deadline=deadline,
        ),
    )
    _print_response(common, response)
    return exit_code_of_response(response)


def _print_response(common: CommonOptions, response: Response) -> None:
    if common.json:
        print_answer(common, _to_result(response), str)
        return
    sys.stdout.buffer.write(response.content)
    sys.stdout.buffer.flush()
    if not response.ok:
        print_note(f"the endpoint answered with status {response.status_code}")


def _to_result(response: Response) -> RequestResult:
    text: str | None = None
    with contextlib.suppress(UnicodeDecodeError):
        text = response.content.decode()
    return RequestResult(
        status_code=response.status_code,
        request_id=response.request_id,
        execution=Execution.RAN,
        text=text,
        content=response.content if text is None else None,
    )


def status(*, common: CommonOptions = COMMON_OPTIONS) -> int:
    """Show the state of the instance that answers."""
    answer = run_in_session(common, Session.status)
    print_answer(common, answer, lambda: _render.instance(answer))
    return ExitCode.DONE
