"""
bulrushhollow._cli._endpoint
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow endpoint``: taking endpoints out of service and back in.
"""

from cyclopts import App

from bulrushhollow._cli import _render
from bulrushhollow._cli._changes import CHANGE_OPTIONS, ChangeOptions, send_switch
from bulrushhollow._cli._common import COMMON, Common, call, show
from bulrushhollow._cli._exits import Exit
from bulrushhollow.exceptions import RefusedError
from bulrushhollow.models import Reason, Refusal, Service, SetEndpointService
from bulrushhollow.sessions import Session
from bulrushhollow_core.ids import EndpointId

app = App(name="endpoint", help="Look at endpoints, take them out of service and back in.")


@app.command
def out(id: str, /, *, options: ChangeOptions = CHANGE_OPTIONS, common: Common = COMMON) -> int:
    """Take an endpoint out of service: it gets no new work a few seconds later."""
    return send_switch(common, options, SetEndpointService(EndpointId(id), Service.OUT))


@app.command(name="in")
def back_in(id: str, /, *, options: ChangeOptions = CHANGE_OPTIONS, common: Common = COMMON) -> int:
    """Take an endpoint back into service."""
    return send_switch(common, options, SetEndpointService(EndpointId(id), Service.IN))


@app.command(name="list")
def list_all(*, common: Common = COMMON) -> int:
    """List the endpoints with their state."""
    found = call(common, Session.endpoints)
    show(common, found, lambda: _render.endpoints(found))
    return Exit.DONE


@app.command(name="show")
def show_one(id: str, /, *, common: Common = COMMON) -> int:
    """Show the state of one endpoint."""
    found = call(common, Session.endpoints)
    status = next((each for each in found if each.id == id), None)
    if status is None:
        raise RefusedError(Refusal(Reason.NO_SUCH_ENDPOINT, f"there is no endpoint {id!r}"))
    show(common, status, lambda: _render.fields(status))
    return Exit.DONE
