"""LOST: a job that failed once on each worker that may run it never runs again. See claim.txt."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness.deployment import Deployment, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
WORKERS = 24
KINDS = ["b" if number in (5, 17) else "a" for number in range(WORKERS)]
GREY_FOR_S = 6.5
FINISH_S = 14.0
JOB = [
    {
        "count": 1,
        "cpu": 5600,
        "mem-mb": 29000,
        "gpu": 1,
        "estimate-ms": 2500,
        "required-label": "b",
    }
]


async def main():
    """Run the case; return how the rule was broken, or None."""
    fleet = Deployment(pathlib.Path(__file__).parent, workers=WORKERS, worker_kinds=KINDS)
    grey = TROUBLE
    fleet.plan = lambda task, run: (0.5, "failed") if grey else (2.5, "done")
    try:
        await fleet.open()
        # Two workers of 24 fail all that they start for some seconds.
        fleet.note("workers-turn-grey", workers=[fleet.workers[5].id, fleet.workers[17].id])
        job = await fleet.submit(JOB)
        await asyncio.sleep(GREY_FOR_S)
        grey = False
        fleet.note("workers-sound-again")
        sound_from = fleet.now
        state = ""
        while fleet.now < sound_from + FINISH_S + 6.0:
            state = await fleet.state(job)
            if state in ("done", "failed"):
                break
            await asyncio.sleep(1.0)
        idle_since = max([sound_from] + [end[0] for end in fleet.ends])
        busy = [run.task for worker in fleet.workers for run in worker.runs.values()]
        fleet.note("verdict", state=state, running=busy, starts=len(fleet.starts))
        if state in ("queued", "running") and not busy and fleet.now - idle_since >= FINISH_S + 3:
            return (
                f"LOST: the job is shown as {state}, and nothing has run of it for "
                f"{fleet.now - idle_since:.0f} s, with {WORKERS} idle and sound workers"
            )
        return None
    finally:
        fleet.close()


run_case(main)
