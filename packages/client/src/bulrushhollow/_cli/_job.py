"""
bulrushhollow._cli._job
~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow job``: submitting jobs and following them.
"""

import sys
import uuid
from pathlib import Path

from cyclopts import App

from bulrushhollow._cli import _render
from bulrushhollow._cli._common import COMMON, Common, call, invalid, note, read_file, show
from bulrushhollow._cli._exits import Exit, exit_of_job
from bulrushhollow.exceptions import OutcomeUnknownError
from bulrushhollow.models import JobAnswer, JobStage
from bulrushhollow.sessions import Session

CLEAR_LINE = "\r\x1b[K"
"""Goes back to the start of a terminal's line and empties it."""

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
    common: Common = COMMON,
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

    async def use(session: Session) -> JobAnswer:
        try:
            job = await session.submit(profile, text, job_id=chosen_id, data_centre=data_centre)
        except OutcomeUnknownError:
            note(f"to learn the outcome, repeat the command with --job-id {chosen_id}")
            raise
        return await _follow(session, chosen_id) if wait else job

    return _finish(common, call(common, use))


def _read_payload(payload: str, file: Path | None) -> str:
    if file is None:
        return payload
    if payload:
        raise invalid("give either --payload or --payload-file, not both")
    try:
        return read_file(file).decode()
    except UnicodeDecodeError:
        raise invalid(f"{file} is not UTF-8 text") from None


@app.command(name="show")
def show_one(job: str, /, *, common: Common = COMMON) -> int:
    """Show the state of a job."""
    answer = call(common, lambda session: session.job(job))
    show(common, answer, lambda: _render.fields(answer))
    return Exit.DONE


@app.command(name="list")
def list_all(*, state: JobStage | None = None, common: Common = COMMON) -> int:
    """List the jobs.

    Parameters
    ----------
    state
        Only the jobs of this state.
    """
    found = call(common, lambda session: session.jobs(state))
    show(common, found, lambda: _render.jobs(found))
    return Exit.DONE


@app.command
def cancel(job: str, /, *, common: Common = COMMON) -> int:
    """Cancel a job; cancelling it again changes nothing."""
    answer = call(common, lambda session: session.cancel(job))
    show(common, answer, lambda: _render.job(answer))
    return Exit.DONE


@app.command
def wait(job: str, /, *, common: Common = COMMON) -> int:
    """Wait for the end of a job, with a progress line on the standard error."""
    return _finish(common, call(common, lambda session: _follow(session, job)))


async def _follow(session: Session, job_id: str) -> JobAnswer:
    progress = Progress()
    try:
        async for job in session.watch(job_id):
            progress.show(_render.job(job))
    finally:
        progress.close()
    return job


def _finish(common: Common, job: JobAnswer) -> int:
    show(common, job, lambda: _render.job(job))
    return exit_of_job(job)


class Progress:
    """One line that is rewritten on a terminal, and a line for each change elsewhere."""

    def __init__(self) -> None:
        """Show nothing yet."""
        self._on_terminal = sys.stderr.isatty()
        self._shown = ""

    def show(self, text: str) -> None:
        """Show how the job stands."""
        if text == self._shown:
            return
        self._shown = text
        if self._on_terminal:
            print(f"{CLEAR_LINE}{text}", end="", file=sys.stderr, flush=True)
        else:
            note(text)

    def close(self) -> None:
        """Clear the line, so that the answer stands alone."""
        if self._on_terminal:
            print(CLEAR_LINE, end="", file=sys.stderr, flush=True)
