"""
bulrushhollow._cli._exits
~~~~~~~~~~~~~~~~~~~~~~~~~

Exit codes of the command.
"""

from enum import IntEnum

from bulrushhollow.exceptions import BulrushhollowError, InvalidCallError
from bulrushhollow.models import Execution, JobAnswer, JobEnd, Response


class Exit(IntEnum):
    """What the command says to a script."""

    DONE = 0
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    FAILED = 5
    INTERRUPTED = 130


EXIT_BY_EXECUTION = {
    Execution.NOT_RUN: Exit.NOT_RUN,
    Execution.UNKNOWN: Exit.UNKNOWN,
    Execution.RAN: Exit.FAILED,
}


def exit_of_error(error: BulrushhollowError) -> Exit:
    """Choose the exit code of a call without an answer."""
    if isinstance(error, InvalidCallError):
        return Exit.USAGE
    return EXIT_BY_EXECUTION[error.execution]


def exit_of_response(response: Response) -> Exit:
    """Choose the exit code of a request that was answered."""
    return Exit.DONE if response.ok else Exit.FAILED


def exit_of_job(job: JobAnswer) -> Exit:
    """Choose the exit code of a job; one that has not ended is no failure."""
    if job.end is None or job.end is JobEnd.SUCCEEDED:
        return Exit.DONE
    if job.end is JobEnd.UNKNOWN:
        return Exit.UNKNOWN
    return EXIT_BY_EXECUTION[job.execution]
