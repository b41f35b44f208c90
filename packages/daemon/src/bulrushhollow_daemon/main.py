"""
bulrushhollow_daemon.main
~~~~~~~~~~~~~~~~~~~~~~~~~

The ``bulrushhollowd`` command. It reads and validates flags and environment variables, then runs
the daemon until it is stopped.
"""

import pathlib
import sys
from typing import Annotated

from cyclopts import App, CycloptsError, Parameter
from cyclopts.config import Env

from bulrushhollow_core.ids import DataCentreId, InstanceName, Seconds
from bulrushhollow_daemon.exceptions import SettingsError
from bulrushhollow_daemon.settings import (
    KIBIBYTE,
    MEBIBYTE,
    Limits,
    LogFormat,
    Settings,
    TraceExporter,
    parse_address,
    parse_name,
    parse_peer,
    parse_url,
    validate_settings,
)

USAGE_ERROR = 2
"""Exit code for invalid flags or settings."""
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

app = App(
    name="bulrushhollowd",
    help=(
        "Run one entry instance of the bulrushhollow scheduler. Each flag can also be given as "
        "an environment variable: BULRUSHHOLLOWD_ and the flag's name in capitals, such as "
        "BULRUSHHOLLOWD_DATA_FOLDER."
    ),
    config=Env("BULRUSHHOLLOWD_", command=False),
    version_flags=["--version"],
)


@app.default
def build_settings(
    *,
    name: str,
    data_centre: str,
    http: str,
    peer_listen: str,
    peer: Annotated[list[str] | None, Parameter(negative="")] = None,
    data_folder: pathlib.Path | None = None,
    found: Annotated[bool, Parameter(negative="")] = False,
    platform: str | None = None,
    seed: int | None = None,
    log_level: str = "INFO",
    log_format: LogFormat = LogFormat.JSON,
    trace: TraceExporter = TraceExporter.NONE,
    faults: Annotated[bool, Parameter(negative="")] = False,
    request_bytes: int = MEBIBYTE,
    answer_bytes: int = 4 * MEBIBYTE,
    control_bytes: int = 256 * KIBIBYTE,
    queued_requests: int = 512,
    connections: int = 1024,
    body_timeout: float = 10.0,
    drain: float = 30.0,
) -> Settings:
    """
    Run one entry instance of the bulrushhollow scheduler.

    Parameters
    ----------
    name
        Name of this instance: 1 to 32 of a-z, 0-9 and '-', unique among its peers.
    data_centre
        Data centre of this instance.
    http
        IP:PORT for callers, operators, endpoints and the load balancer.
    peer_listen
        IP:PORT for the other instances.
    peer
        Another instance, as NAME=DATACENTRE=IP:PORT, followed by =disk if it has a disk. Repeat
        for each.
    data_folder
        Folder for durable state. Leave out on an instance without a disk.
    found
        Create a new log if the folder is empty and no peer belongs to a log. Set it on exactly
        one instance, at the very first start.
    platform
        http://IP:PORT of the worker platform of this data centre.
    seed
        Seed of the random generator; random if left out.
    log_level
        DEBUG, INFO, WARNING or ERROR.
    log_format
        json or text.
    trace
        Destination of finished trace spans: none or log.
    faults
        Enable the development call for fault injection on the HTTP address. Never use it in
        production.
    request_bytes
        Largest body of a request.
    answer_bytes
        Largest body of an endpoint's answer.
    control_bytes
        Largest body of any other call.
    queued_requests
        Most requests that wait for an endpoint.
    connections
        Most open connections of callers.
    body_timeout
        Seconds within which a caller must send its body.
    drain
        Seconds that a planned stop waits for requests in flight.
    """
    if log_level not in LOG_LEVELS:
        raise SettingsError("--log-level", f"{log_level!r} is not one of {', '.join(LOG_LEVELS)}")
    limits = Limits(
        request_bytes=request_bytes,
        answer_bytes=answer_bytes,
        control_bytes=control_bytes,
        queued_requests=queued_requests,
        connections=connections,
        body_timeout=Seconds(body_timeout),
        drain=Seconds(drain),
    )
    settings = Settings(
        name=InstanceName(parse_name("--name", name)),
        data_centre=DataCentreId(parse_name("--data-centre", data_centre)),
        http=parse_address("--http", http),
        peer_listen=parse_address("--peer-listen", peer_listen),
        peers=tuple(parse_peer("--peer", text) for text in peer or ()),
        data_folder=data_folder,
        found=found,
        platform=parse_url("--platform", platform) if platform else None,
        seed=seed,
        log_level=log_level,
        log_format=log_format,
        trace=trace,
        faults=faults,
        limits=limits,
    )
    validate_settings(settings)
    return settings


def read_settings(arguments: list[str]) -> Settings | int:
    """
    Read the settings from flags and the environment.

    :param arguments: command line arguments without the program's name.
    :return: the validated settings, or an exit code if the daemon is not to run.
    """
    try:
        result = app(
            arguments, exit_on_error=False, print_error=False, result_action="return_value"
        )
    except CycloptsError as error:
        print(f"bulrushhollowd: {' '.join(str(error).split())}", file=sys.stderr)
        return USAGE_ERROR
    except SettingsError as error:
        print(f"bulrushhollowd: {error}", file=sys.stderr)
        return USAGE_ERROR
    return result if isinstance(result, Settings) else 0


def run() -> None:
    """Run the ``bulrushhollowd`` command."""
    settings = read_settings(sys.argv[1:])
    if isinstance(settings, int):
        sys.exit(settings)
    from bulrushhollow_daemon.service import serve

    sys.exit(serve(settings))
