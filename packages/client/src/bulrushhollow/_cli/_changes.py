"""
bulrushhollow._cli._changes
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends changes of the configuration for the subcommands.
"""

import uuid
from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

from bulrushhollow._cli import _render
from bulrushhollow._cli._common import CommonOptions, print_answer, print_note, run_in_session
from bulrushhollow._cli._exits import ExitCode
from bulrushhollow.exceptions import OutcomeUnknownError
from bulrushhollow.models import ChangeAccepted, Edit
from bulrushhollow.sessions import Session


@Parameter(name="*")
@dataclass(frozen=True)
class ChangeOptions:
    """Options of every subcommand that changes the configuration."""

    change_id: Annotated[
        str | None, Parameter(help="Resend the change of this id after a lost answer.")
    ] = None
    base_version: Annotated[
        int | None,
        Parameter(help="Version that the change is built on; the present one by default."),
    ] = None


CHANGE_OPTIONS = ChangeOptions()


def send_edit(common: CommonOptions, options: ChangeOptions, edit: Edit) -> int:
    """Send an edit based on the given version, or on the present version if none is given."""

    async def operation(session: Session) -> ChangeAccepted:
        base_version = options.base_version
        if base_version is None:
            base_version = (await session.configuration()).version
        return await _send(session, options, edit, base_version)

    return _print_accepted(common, run_in_session(common, operation))


def send_service_change(common: CommonOptions, options: ChangeOptions, edit: Edit) -> int:
    """Send a change of a service state, which applies to any version of the configuration."""

    async def operation(session: Session) -> ChangeAccepted:
        return await _send(session, options, edit, options.base_version)

    return _print_accepted(common, run_in_session(common, operation))


async def _send(
    session: Session, options: ChangeOptions, edit: Edit, base_version: int | None
) -> ChangeAccepted:
    change_id = options.change_id or uuid.uuid4().hex
    try:
        return await session.change(edit, base_version=base_version, change_id=change_id)
    except OutcomeUnknownError:
        version_flag = "" if base_version is None else f" --base-version {base_version}"
        print_note(
            f"to learn the outcome, repeat the command with --change-id {change_id}{version_flag}"
        )
        raise


def _print_accepted(common: CommonOptions, accepted: ChangeAccepted) -> int:
    print_answer(common, accepted, lambda: _render.change(accepted))
    return ExitCode.DONE
