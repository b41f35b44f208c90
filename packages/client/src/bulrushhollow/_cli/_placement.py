"""
bulrushhollow._cli._placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

``bulrushhollow domain explain-placement``: where a job would be placed now, without submitting it.
"""

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import httpcore
import msgspec
from cyclopts import Parameter

from bulrushhollow._cli._common import print_note, read_json_file, usage_error
from bulrushhollow._cli._exits import ExitCode
from bulrushhollow._cli._render import table
from bulrushhollow_core.placements import (
    PLACEMENT_PATH,
    JobBody,
    PlacementOutlook,
    PlacementQuestion,
    QueuePosition,
    StepOutlook,
    Verdict,
)

KEY_VARIABLE = "BULRUSHHOLLOW_KEY"
"""Environment variable with the caller's key, so that it need not stand on the command line."""

TIMEOUT = 4.0
"""Seconds for each phase of the call; the process looks for the leader for two of them."""

BAD_REQUEST = 400


def explain_placement(
    *addresses: str,
    file: Path,
    host: str,
    prefix: str,
    key: Annotated[str, Parameter(env_var=KEY_VARIABLE)] = "",
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
) -> int:
    """Explain where a job would be placed now, without submitting it.

    Parameters
    ----------
    addresses
        IP:PORT of the operators' pages of processes; the first that answers is used.
    file
        Job file as JSON; - is the standard input.
    host
        Host name of the job's queue.
    prefix
        Path prefix of the job's queue.
    key
        Key of the workspace that would submit the job.
    as_json
        Print the answer as JSON.
    """
    if not addresses:
        raise usage_error("give the address of a process's operators' page")
    question = PlacementQuestion(host, prefix, read_json_file(file, JobBody), key)
    for address in addresses:
        outlook = _ask(address, msgspec.json.encode(question))
        if outlook is not None:
            print(msgspec.json.encode(outlook).decode() if as_json else render_outlook(outlook))
            return ExitCode.DONE
    return ExitCode.UNKNOWN


def _ask(address: str, body: bytes) -> PlacementOutlook | None:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT)
    try:
        response = httpcore.request(
            "POST",
            f"http://{address}{PLACEMENT_PATH}",
            headers={"content-type": "application/json"},
            content=body,
            extensions={"timeout": timeouts},
        )
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        print_note(f"{address}: no answer: {type(error).__name__}")
        return None
    text = response.content.decode(errors="replace")
    if response.status == BAD_REQUEST:
        raise usage_error(f"{address}: {text}")
    if response.status != 200:
        print_note(f"{address}: status {response.status}: {text}")
        return None
    try:
        return msgspec.json.decode(response.content, type=PlacementOutlook)
    except (msgspec.DecodeError, UnicodeDecodeError):
        print_note(f"{address}: the answer is no explanation")
        return None


# Text for a person.


def render_outlook(outlook: PlacementOutlook) -> str:
    """Return an explanation as text."""
    parts = [_verdict_line(outlook)]
    if outlook.position is not None:
        parts.append(_position_line(outlook.position))
    if outlook.steps:
        parts.append(_steps_table(outlook.steps))
    parts.extend(_workers_tables(outlook.steps))
    parts.extend(_displaced_tables(outlook.steps))
    return "\n".join(parts)


def _verdict_line(outlook: PlacementOutlook) -> str:
    names = (("queue", outlook.queue), ("workspace", outlook.workspace))
    words = [f"{name}={value}" for name, value in names if value]
    if outlook.verdict is Verdict.ACCEPTED:
        return " ".join(["accepted:", *words])
    if outlook.detail:
        words.append(outlook.detail)
    if outlook.retry_after is not None:
        words.append(f"retry_after={outlook.retry_after}s")
    return " ".join([f"refused ({outlook.verdict.value}):", *words])


def _position_line(position: QueuePosition) -> str:
    words = [f"rank {position.rank} of {position.waiting} waiting steps", position.timeliness]
    if position.is_guaranteed:
        words.append("guaranteed")
    if position.is_over_share:
        words.append("over its share")
    words.append(f"deadline in {position.deadline_in} s")
    return ", ".join(words)


def _steps_table(steps: Sequence[StepOutlook]) -> str:
    rows = [
        (
            step.step,
            step.tasks,
            step.starting,
            step.worker_count,
            step.displaced_runs,
            step.held_by.value if step.held_by else "-",
            ",".join(map(str, step.depends_on)) or "-",
            "-" if step.room_expected_in is None else f"{step.room_expected_in} s",
        )
        for step in steps
    ]
    header = ("step", "tasks", "starting", "workers", "displaced", "held by", "after", "room in")
    return table(header, rows)


def _workers_tables(steps: Sequence[StepOutlook]) -> list[str]:
    rows = [(step.step, w.worker, w.rack, w.tasks) for step in steps for w in step.workers]
    unlisted = sum(step.worker_count for step in steps) - len(rows)
    return _listing(("step", "worker", "rack", "tasks"), rows, unlisted)


def _displaced_tables(steps: Sequence[StepOutlook]) -> list[str]:
    displaced = [(step.step, work) for step in steps for work in step.displaced]
    rows = [(step, work.job, work.step, work.runs, work.lost_work) for step, work in displaced]
    unlisted = sum(step.displaced_runs for step in steps) - sum(w.runs for _, w in displaced)
    return _listing(("for step", "displaces", "its step", "runs", "lost"), rows, unlisted)


def _listing(header: Sequence[str], rows: Sequence[Sequence[object]], unlisted: int) -> list[str]:
    """Return a table below an empty line, and how much it leaves out; nothing without rows."""
    if not rows:
        return []
    return ["", table(header, rows), *([f"and {unlisted} more"] if unlisted else [])]
