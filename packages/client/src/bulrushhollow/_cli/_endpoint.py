"""
bulrushhollow._cli._endpoint
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow endpoint``: shows endpoints, takes them out of service and back in.
"""

from cyclopts import App

from bulrushhollow._cli import _render
from bulrushhollow._cli._changes import CHANGE_OPTIONS, ChangeOptions, send_service_change
from bulrushhollow._cli._common import COMMON_OPTIONS, CommonOptions, print_answer, run_in_session
from bulrushhollow._cli._exits import ExitCode
from bulrushhollow.exceptions import RefusedError
from bulrushhollow.models import Reason, Refusal, Service, SetEndpointService
from bulrushhollow.sessions import Session
from bulrushhollow_core.ids import EndpointId

app = App(name="endpoint", help="Look at endpoints, take them out of service and back in.")


@app.command
def out(
    id: str, /, *, options: ChangeOptions = CHANGE_OPTIONS, common: CommonOptions = COMMON_OPTIONS
) -> int:
    """Take an endpoint out of service: it gets no new work a few seconds later."""
    return send_service_change(common, options, SetEndpointService(EndpointId(id), Service.OUT))


@app.command(name="in")
def back_in(
    id: str, /, *, options: ChangeOptions = CHANGE_OPTIONS, common: CommonOptions = COMMON_OPTIONS
) -> int:
    """Take an endpoint back into service."""
    return send_service_change(common, options, SetEndpointService(EndpointId(id), Service.IN))


@app.command(name="list")
def list_all(*, common: CommonOptions = COMMON_OPTIONS) -> int:
    """List the endpoints with their state."""
    statuses = run_in_session(common, Session.endpoints)
    print_answer(common, statuses, lambda: _render.endpoints(statuses))
    return ExitCode.DONE


@app.command(name="show")
def show_one(id: str, /, *, common: CommonOptions = COMMON_OPTIONS) -> int:
    """Show the state of one endpoint."""
    statuses = run_in_session(common, Session.endpoints)
    status = next((status for status in statuses if status.id == id), None)
    if status is None:
        raise RefusedError(Refusal(Reason.NO_SUCH_ENDPOINT, f"there is no endpoint {id!r}"))
    print_answer(common, status, lambda: _render.fields(status))
    return ExitCode.DONE
