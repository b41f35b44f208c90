"""
bulrushhollow._cli._domain
~~~~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow domain``: shows the state of the processes of a scheduling domain, and explains
where it would place a job.
"""

import json

import httpcore
from cyclopts import App

from bulrushhollow._cli._common import print_note
from bulrushhollow._cli._exits import ExitCode
from bulrushhollow._cli._placement import explain_placement

STATUS_PATH = "/v1/status"

TIMEOUT = 2.0
"""Seconds for each phase (connect, write, read) of a call to a process."""

app = App(name="domain", help="Look at the processes of a scheduling domain.")
app.command(explain_placement)


@app.command
def status(*addresses: str, as_json: bool = False) -> int:
    """Show what processes know of their domain.

    Parameters
    ----------
    addresses
        IP:PORT of the operators' pages of each process, where metrics are served.
    as_json
        Print one JSON object a line.
    """
    answers = [_fetch_status(address) for address in addresses]
    statuses = [fields for fields in answers if fields is not None]
    for fields in statuses:
        print(json.dumps(fields) if as_json else _format_status(fields))
    leaders = {str(fields["leader"]) for fields in statuses if fields["leader"]}
    if len(leaders) > 1:
        print_note(f"the processes name different leaders: {', '.join(sorted(leaders))}")
    return ExitCode.DONE if len(statuses) == len(answers) else ExitCode.UNKNOWN


def _fetch_status(address: str) -> dict[str, object] | None:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT)
    try:
        response = httpcore.request(
            "GET", f"http://{address}{STATUS_PATH}", extensions={"timeout": timeouts}
        )
        fields = json.loads(response.content)
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        print_note(f"{address}: no answer: {type(error).__name__}")
        return None
    except ValueError:
        print_note(f"{address}: the answer is no status")
        return None
    return fields if isinstance(fields, dict) and "leader" in fields else None


def _format_status(fields: dict[str, object]) -> str:
    details = " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in ("instance", "role")
    )
    return f"{fields['instance']} ({fields['role']}): {details}"
