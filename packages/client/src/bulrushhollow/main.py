"""
bulrushhollow.main
~~~~~~~~~~~~~~~~~~

The ``bulrushhollow`` command. Its exit codes: 0 done, 2 usage, 3 refused and not run, 4 outcome
unknown, 5 ran and failed.
"""

import os
import sys
from collections.abc import Sequence

import msgspec
from cyclopts import App, CycloptsError, Parameter

from bulrushhollow._cli import (
    _datacentre,
    _domain,
    _endpoint,
    _explain,
    _job,
    _profile,
    _request,
    _workspace,
)
from bulrushhollow._cli._exits import ExitCode, exit_code_of_error
from bulrushhollow.exceptions import BulrushhollowError

HELP = """Call and operate a bulrushhollow site.

Exit codes: 0 done, 2 usage, 3 refused and not run, 4 outcome unknown, 5 ran and failed."""


def build_app() -> App:
    """Return the application with all subcommands."""
    app = App(
        name="bulrushhollow",
        help=HELP,
        help_format="plaintext",
        version_flags=[],
        default_parameter=Parameter(negative=""),
    )
    for module in (_profile, _workspace, _datacentre, _endpoint, _job, _domain):
        app.command(module.app)
    app.command(_request.request)
    app.command(_request.status)
    app.command(_explain.explain)
    return app


def main(arguments: Sequence[str]) -> int:
    """
    Run a command line. Every usage error or refusal is printed as one line on the standard error;
    with ``--json`` a refusal is printed as JSON on the standard output.

    :return: the exit code.
    """
    try:
        exit_code = build_app()(
            list(arguments), exit_on_error=False, print_error=False, result_action="return_value"
        )
    except CycloptsError as error:
        print(f"bulrushhollow: {_one_line(str(error))}", file=sys.stderr)
        return ExitCode.USAGE
    except BulrushhollowError as error:
        _print_refusal(error, as_json="--json" in arguments)
        return exit_code_of_error(error)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    return exit_code if isinstance(exit_code, int) else ExitCode.DONE


def _print_refusal(error: BulrushhollowError, as_json: bool) -> None:
    refusal = error.refusal
    if as_json:
        print(msgspec.json.encode(refusal).decode())
        return
    execution = refusal.execution.value.replace("_", " ")
    text = f"bulrushhollow: {error} ({refusal.reason.value}, {execution})"
    print(_one_line(text), file=sys.stderr)


def _one_line(text: str) -> str:
    return " ".join(text.split())


def run() -> None:
    """Run the command line of this process and exit."""
    try:
        exit_code = main(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        exit_code = ExitCode.DONE
    sys.exit(exit_code)
