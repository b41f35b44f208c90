"""
bulrushhollow._cli._job
~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow job``: submits, shows, cancels and waits for jobs.
"""

import sys
import uuid
from pathlib import Path

from cyclopts import App

from bulrushhollow._cli import _render
from bulrushhollow._cli._common import (
    COMMON_OPTIONS,
    CommonOptions,
    print_answer,
    print_note,
    read_file,
    run_in_session,
    usage_error,
)
from bulrushhollow._cli._exits import ExitCode, exit_code_of_job
from bulrushhollow.exceptions import OutcomeUnknownError
from bulrushhollow.models import JobAnswer, JobStage
from bulrushhollow.sessions import Session

CLEAR_LINE = "\r\x1b[K"
"""Control sequence that returns to the start of a terminal's line and clears it."""

app = App(name="job", help="Submit jobs, follow and cancel them.")


@app.command
def submit(
    profile: str,
    /,
    *,
    payload: str = "",
    payload_file: Path | None = None,
    job_id: str | None = None,
    data_centre: str | None = None,
    wait: bool = False,
    common: CommonOptions = COMMON_OPTIONS,
) -> int:
    """Submit a job.

    Parameters
    ----------
    profile
        Name of the profile.
    payload
        Text passed to each task.
    payload_file
        File with the text passed to each task; - is the standard input.
    job_id
        Id of the job; a resend with the same id finds the same job.
    data_centre
        Where to run it; chosen by the scheduler by default.
    wait
        Wait for its end.
    """
    text = _read_payload(payload, payload_file)
    chosen_id = job_id or uuid.uuid4().hex

    async def operation(session: Session) -> JobAnswer:
        try:
            job = await session.submit(profile, text, job_id=chosen_id, data_centre=data_centre)
        except OutcomeUnknownError:
            print_note(f"to learn the outcome, repeat the command with --job-id {chosen_id}")
            raise
        return await _wait_with_progress(session, chosen_id) if wait else job

    return _print_job(common, run_in_session(common, operation))


def _read_payload(payload: str, file: Path | None) -> str:
    if file is None:
        return payload
    if payload:
        raise usage_error("give either --payload or --payload-file, not both")
    try:
        return read_file(file).decode()
    except UnicodeDecodeError:
        raise usage_error(f"{file} is not UTF-8 text") from None


@app.command(name="show")
def show_one(job: str, /, *, common: CommonOptions = COMMON_OPTIONS) -> int:
    """Show the state of a job."""
    answer = run_in_session(common, lambda session: session.job(job))
    print_answer(common, answer, lambda: _render.fields(answer))
    return ExitCode.DONE


@app.command(name="list")
def list_all(*, state: JobStage | None = None, common: CommonOptions = COMMON_OPTIONS) -> int:
    """List the jobs.

    Parameters
    ----------
    state
        Only the jobs of this state.
    """
    jobs = run_in_session(common, lambda session: session.jobs(state))
    print_answer(common, jobs, lambda: _render.jobs(jobs))
    return ExitCode.DONE


@app.command
def cancel(job: str, /, *, common: CommonOptions = COMMON_OPTIONS) -> int:
    """Cancel a job; cancelling it again changes nothing."""
    answer = run_in_session(common, lambda session: session.cancel(job))
    print_answer(common, answer, lambda: _render.job(answer))
    return ExitCode.DONE


@app.command
def wait(job: str, /, *, common: CommonOptions = COMMON_OPTIONS) -> int:
    """Wait for the end of a job, with a progress line on the standard error."""
    return _print_job(
        common, run_in_session(common, lambda session: _wait_with_progress(session, job))
    )


async def _wait_with_progress(session: Session, job_id: str) -> JobAnswer:
    progress = Progress()
    try:
        async for job in session.watch(job_id):
            progress.show(_render.job(job))
    finally:
        progress.close()
    return job


def _print_job(common: CommonOptions, job: JobAnswer) -> int:
    print_answer(common, job, lambda: _render.job(job))
    return exit_code_of_job(job)


class Progress:
    """Progress on the standard error: a rewritten line on a terminal, else a line per change."""

    def __init__(self) -> None:
        self._is_terminal = sys.stderr.isatty()
        self._last_text = ""

    def show(self, text: str) -> None:
        """Show a text unless it is already shown."""
        if text == self._last_text:
            return
        self._last_text = text
        if self._is_terminal:
            print(f"{CLEAR_LINE}{text}", end="", file=sys.stderr, flush=True)
        else:
            print_note(text)

    def close(self) -> None:
        """Clear the line on a terminal, so that only the answer remains."""
        if self._is_terminal:
            print(CLEAR_LINE, end="", file=sys.stderr, flush=True)
