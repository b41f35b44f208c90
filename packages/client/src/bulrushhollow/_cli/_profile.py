"""
bulrushhollow._cli._profile
~~~~~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow profile``: creates, changes and shows profiles, the classes of work.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

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
from bulrushhollow.exceptions import RefusedError
from bulrushhollow.models import (
    Adjacency,
    Profile,
    PutProfile,
    Reason,
    Refusal,
    RemoveProfile,
    Resources,
    Shape,
    Urgency,
    WorkKind,
)
from bulrushhollow.sessions import Session
from bulrushhollow_core.ids import GuaranteeName, ProfileName, WorkspaceId

app = App(name="profile", help="Create, change and look at profiles.")


@Parameter(name="*")
@dataclass(frozen=True)
class ProfileFlags:
    """The flags that describe a profile."""

    kind: Annotated[WorkKind | None, Parameter(help="Request or job.")] = None
    workspace: Annotated[str, Parameter(help="Workspace that the work counts against.")] = ""
    urgency: Annotated[Urgency, Parameter(help="Class of urgency.")] = Urgency.NORMAL
    idempotent: Annotated[bool, Parameter(help="A second run is harmless.")] = False
    deadline: Annotated[float, Parameter(help="Seconds for a request's answer or a job's end.")] = (
        30.0
    )
    service: Annotated[str, Parameter(help="Requests: service that endpoints announce.")] = ""
    tasks: Annotated[int, Parameter(help="Jobs: tasks of the gang.")] = 1
    accelerators: Annotated[int, Parameter(help="Jobs: accelerators of each task.")] = 0
    cores: Annotated[int, Parameter(help="Jobs: processor cores of each task.")] = 0
    memory_mb: Annotated[int, Parameter(help="Jobs: memory of each task in MiB.")] = 0
    adjacency: Annotated[
        Adjacency, Parameter(help="Jobs: the smallest domain that holds the gang.")
    ] = Adjacency.DATA_CENTRE
    guarantee: Annotated[
        str | None, Parameter(help="Jobs: guarantee of the workspace that such a job claims.")
    ] = None
    checkpointable: Annotated[bool, Parameter(help="Jobs: tasks can be checkpointed.")] = False
    run_limit: Annotated[float, Parameter(help="Jobs: seconds after which a run ends.")] = 86_400.0
    expected_run: Annotated[float, Parameter(help="Jobs: seconds a run should take.")] = 3_600.0


NO_FLAGS = ProfileFlags()


@app.command
def put(
    name: str | None = None,
    /,
    *,
    file: Path | None = None,
    flags: ProfileFlags = NO_FLAGS,
    options: ChangeOptions = CHANGE_OPTIONS,
    common: CommonOptions = COMMON_OPTIONS,
) -> int:
    """Create or replace a profile, given by flags or by a file.

    Parameters
    ----------
    name
        Name of the profile.
    file
        JSON file with the whole profile, in place of a name and flags; - is the standard input.
    """
    profile = _read_profile(name, file, flags)
    return send_edit(common, options, PutProfile(profile))


def _read_profile(name: str | None, file: Path | None, flags: ProfileFlags) -> Profile:
    if file is not None:
        if name is not None or flags != NO_FLAGS:
            raise usage_error("give either --file or a name with flags, not both")
        return read_json_file(file, Profile)
    if not name or flags.kind is None or not flags.workspace:
        raise usage_error("give a name, --kind and --workspace, or --file")
    return Profile(
        name=ProfileName(name),
        kind=flags.kind,
        workspace=WorkspaceId(flags.workspace),
        urgency=flags.urgency,
        idempotent=flags.idempotent,
        deadline=flags.deadline,
        service=flags.service,
        shape=Shape(
            flags.tasks,
            Resources(flags.accelerators, flags.cores, flags.memory_mb),
            flags.adjacency,
        ),
        guarantee=GuaranteeName(flags.guarantee) if flags.guarantee else None,
        checkpointable=flags.checkpointable,
        run_limit=flags.run_limit,
        expected_run=flags.expected_run,
    )


@app.command
def remove(
    name: str, /, *, options: ChangeOptions = CHANGE_OPTIONS, common: CommonOptions = COMMON_OPTIONS
) -> int:
    """Remove a profile; work already submitted with it goes on."""
    return send_edit(common, options, RemoveProfile(ProfileName(name)))


@app.command(name="list")
def list_all(*, common: CommonOptions = COMMON_OPTIONS) -> int:
    """List the profiles."""
    configuration = run_in_session(common, Session.configuration)
    profiles = [profile for _, profile in sorted(configuration.profiles_by_name.items())]
    print_answer(common, profiles, lambda: _render.profiles(profiles))
    return ExitCode.DONE


@app.command(name="show")
def show_one(name: str, /, *, common: CommonOptions = COMMON_OPTIONS) -> int:
    """Show one profile."""
    configuration = run_in_session(common, Session.configuration)
    profile = configuration.profiles_by_name.get(ProfileName(name))
    if profile is None:
        raise RefusedError(Refusal(Reason.NO_SUCH_PROFILE, f"there is no profile {name!r}"))
    print_answer(common, profile, lambda: _render.fields(profile))
    return ExitCode.DONE
