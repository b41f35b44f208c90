"""
bulrushhollow._cli._exits
~~~~~~~~~~~~~~~~~~~~~~~~~

The exit codes of the command.
"""

from enum import IntEnum

from bulrushhollow.exceptions import BulrushhollowError, InvalidCallError
from bulrushhollow.models import Execution, JobAnswer, JobEnd, Response


class ExitCode(IntEnum):
    """Exit code of the command."""

    DONE = 0
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    FAILED = 5
    INTERRUPTED = 130


EXIT_CODE_BY_EXECUTION = {
    Execution.NOT_RUN: ExitCode.NOT_RUN,
    Execution.UNKNOWN: ExitCode.UNKNOWN,
    Execution.RAN: ExitCode.FAILED,
}


def exit_code_of_error(error: BulrushhollowError) -> ExitCode:
    """Return the exit code for a call that failed."""
    if isinstance(error, InvalidCallError):
        return ExitCode.USAGE
    return EXIT_CODE_BY_EXECUTION[error.execution]


def exit_code_of_response(response: Response) -> ExitCode:
    """Return the exit code for a request that was answered."""
    return ExitCode.DONE if response.ok else ExitCode.FAILED


def exit_code_of_job(job: JobAnswer) -> ExitCode:
    """Return the exit code for a job. A job that has not ended is not a failure."""
    if job.end is None or job.end is JobEnd.SUCCEEDED:
        return ExitCode.DONE
    if job.end is JobEnd.UNKNOWN:
        return ExitCode.UNKNOWN
    return EXIT_CODE_BY_EXECUTION[job.execution]
