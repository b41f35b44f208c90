"""
bulrushhollow._cli._datacentre
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow datacentre``: declares data centres, takes them out of service and back in.
"""

from pathlib import Path

from cyclopts import App

from bulrushhollow._cli import _render
from bulrushhollow._cli._changes import (
    CHANGE_OPTIONS,
    ChangeOptions,
    send_edit,
    send_service_change,
)
from bulrushhollow._cli._common import (
    COMMON_OPTIONS,
    CommonOptions,
    print_answer,
    read_json_file,
    run_in_session,
    usage_error,
)
from bulrushhollow._cli._exits import ExitCode
from bulrushhollow._cli._pairs import parse_rack
from bulrushhollow.exceptions import RefusedError
from bulrushhollow.models import (
    DataCentre,
    Drain,
    Isolation,
    PutDataCentre,
    Reason,
    Refusal,
    Service,
    SetDataCentreService,
)
from bulrushhollow.sessions import Session
from bulrushhollow_core.ids import DataCentreId

app = App(name="datacentre", help="Declare data centres, take them out of service and back in.")


@app.command
def put(
    id: str | None = None,
    /,
    *,
    region: str = "",
    rack: tuple[str, ...] = (),
    isolation: Isolation = Isolation.HOLD,
    file: Path | None = None,
    options: ChangeOptions = CHANGE_OPTIONS,
    common: CommonOptions = COMMON_OPTIONS,
) -> int:
    """Create a data centre or replace its declaration; whether it is in service stays as it is.

    Parameters
    ----------
    id
        Name of the data centre.
    region
        Region, if there are several.
    rack
        A rack of equal workers; may be repeated. Pairs split by commas, such as
        id=r1,workers=6,accelerators=8,cores=64,memory_mb=262144.
    isolation
        What to do with queued jobs while cut off from the majority: hold them or serve them.
    file
        JSON file with the whole data centre, in place of the flags; - is the standard input.
    """
    if file is not None:
        if id is not None:
            raise usage_error("give either --file or a name with flags, not both")
        data_centre = read_json_file(file, DataCentre)
    elif id:
        racks = tuple(parse_rack(text) for text in rack)
        data_centre = DataCentre(DataCentreId(id), region, racks, isolation)
    else:
        raise usage_error("give a name or --file")
    return send_edit(common, options, PutDataCentre(data_centre))


@app.command
def out(
    id: str,
    /,
    *,
    drain: Drain = Drain.FINISH,
    options: ChangeOptions = CHANGE_OPTIONS,
    common: CommonOptions = COMMON_OPTIONS,
) -> int:
    """Take a data centre out of service: no task starts there a few seconds later.

    Parameters
    ----------
    id
        Name of the data centre.
    drain
        Whether running tasks finish, or are checkpointed and stopped.
    """
    edit = SetDataCentreService(DataCentreId(id), Service.OUT, drain)
    return send_service_change(common, options, edit)


@app.command(name="in")
def back_in(
    id: str, /, *, options: ChangeOptions = CHANGE_OPTIONS, common: CommonOptions = COMMON_OPTIONS
) -> int:
    """Take a data centre back into service."""
    edit = SetDataCentreService(DataCentreId(id), Service.IN)
    return send_service_change(common, options, edit)


@app.command(name="list")
def list_all(*, common: CommonOptions = COMMON_OPTIONS) -> int:
    """List the data centres with their state."""
    statuses = run_in_session(common, Session.data_centres)
    print_answer(common, statuses, lambda: _render.data_centres(statuses))
    return ExitCode.DONE


@app.command(name="show")
def show_one(id: str, /, *, common: CommonOptions = COMMON_OPTIONS) -> int:
    """Show the state of one data centre."""
    statuses = run_in_session(common, Session.data_centres)
    status = next((status for status in statuses if status.id == id), None)
    if status is None:
        raise RefusedError(Refusal(Reason.NO_SUCH_DATA_CENTRE, f"there is no data centre {id!r}"))
    print_answer(common, status, lambda: _render.fields(status))
    return ExitCode.DONE
