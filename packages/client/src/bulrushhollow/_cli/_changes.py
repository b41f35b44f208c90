"""
bulrushhollow._cli._changes
~~~~~~~~~~~~~~~~~~~~~~~~~~~

How the subcommands change the configuration.
"""

import uuid
from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

from bulrushhollow._cli import _render
from bulrushhollow._cli._common import Common, call, note, show
from bulrushhollow._cli._exits import Exit
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


def send_edit(common: Common, options: ChangeOptions, edit: Edit) -> int:
    """Send an edit that is built on the present version, or on the one given."""

    async def use(session: Session) -> ChangeAccepted:
        base = options.base_version
        if base is None:
            base = (await session.configuration()).version
        return await _send(session, options, edit, base)

    return _finish(common, call(common, use))


def send_switch(common: Common, options: ChangeOptions, edit: Edit) -> int:
    """Send a change of a service state, which applies whatever version is present."""

    async def use(session: Session) -> ChangeAccepted:
        return await _send(session, options, edit, options.base_version)

    return _finish(common, call(common, use))


async def _send(
    session: Session, options: ChangeOptions, edit: Edit, base: int | None
) -> ChangeAccepted:
    change_id = options.change_id or uuid.uuid4().hex
    try:
        return await session.change(edit, base_version=base, change_id=change_id)
    except OutcomeUnknownError:
        on_base = "" if base is None else f" --base-version {base}"
        note(f"to learn the outcome, repeat the command with --change-id {change_id}{on_base}")
        raise


def _finish(common: Common, accepted: ChangeAccepted) -> int:
    show(common, accepted, lambda: _render.change(accepted))
    return Exit.DONE
