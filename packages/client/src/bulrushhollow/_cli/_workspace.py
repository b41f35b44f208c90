"""
bulrushhollow._cli._workspace
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow workspace``: creates, changes and shows workspaces, with their guarantees.
"""

from pathlib import Path

from cyclopts import App

from bulrushhollow._cli import _render
from bulrushhollow._cli._changes import CHANGE_OPTIONS, ChangeOptions, send_edit
from bulrushhollow._cli._common import (
    COMMON_OPTIONS,
    CommonOptions,
    print_answer,
    read_json_file,
    run_in_session,
    usage_error,
)
from bulrushhollow._cli._exits import ExitCode
from bulrushhollow._cli._pairs import parse_guarantee
from bulrushhollow.exceptions import RefusedError
from bulrushhollow.models import PutWorkspace, Reason, Refusal, RemoveWorkspace, Workspace
from bulrushhollow.sessions import Session
from bulrushhollow_core.ids import WorkspaceId

app = App(name="workspace", help="Create, change and look at workspaces.")


@app.command
def put(
    id: str | None = None,
    /,
    *,
    weight: int = 1,
    accelerator_quota: int | None = None,
    guarantee: tuple[str, ...] = (),
    file: Path | None = None,
    options: ChangeOptions = CHANGE_OPTIONS,
    common: CommonOptions = COMMON_OPTIONS,
) -> int:
    """Create or replace a workspace, given by flags or by a file.

    Parameters
    ----------
    id
        Name of the workspace.
    weight
        Share of the capacity beyond guarantees, relative to other workspaces.
    accelerator_quota
        Most accelerators that its jobs may hold at once.
    guarantee
        Capacity to claim at any time; may be repeated. Pairs split by commas, such as
        name=big,data_centre=north,tasks=2,accelerators=8,adjacency=rack,count=1; also cores and
        memory_mb. The resources are those of each task.
    file
        JSON file with the whole workspace, in place of the flags; - is the standard input.
    """
    if file is not None:
        if id is not None:
            raise usage_error("give either --file or a name with flags, not both")
        workspace = read_json_file(file, Workspace)
    elif id:
        guarantees = tuple(parse_guarantee(text) for text in guarantee)
        workspace = Workspace(WorkspaceId(id), weight, accelerator_quota, guarantees)
    else:
        raise usage_error("give a name or --file")
    return send_edit(common, options, PutWorkspace(workspace))


@app.command
def remove(
    id: str, /, *, options: ChangeOptions = CHANGE_OPTIONS, common: CommonOptions = COMMON_OPTIONS
) -> int:
    """Remove a workspace that no profile names any more."""
    return send_edit(common, options, RemoveWorkspace(WorkspaceId(id)))


@app.command(name="list")
def list_all(*, common: CommonOptions = COMMON_OPTIONS) -> int:
    """List the workspaces."""
    configuration = run_in_session(common, Session.configuration)
    workspaces = [workspace for _, workspace in sorted(configuration.workspaces_by_id.items())]
    print_answer(common, workspaces, lambda: _render.workspaces(workspaces))
    return ExitCode.DONE


@app.command(name="show")
def show_one(id: str, /, *, common: CommonOptions = COMMON_OPTIONS) -> int:
    """Show one workspace."""
    configuration = run_in_session(common, Session.configuration)
    workspace = configuration.workspaces_by_id.get(WorkspaceId(id))
    if workspace is None:
        raise RefusedError(Refusal(Reason.NO_SUCH_WORKSPACE, f"there is no workspace {id!r}"))
    print_answer(common, workspace, lambda: _render.fields(workspace))
    return ExitCode.DONE
