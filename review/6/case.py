"""One accepted job of many small tasks ends every leadership, for good."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from case import run_case  # noqa: E402
from deployment import Deployment, Log  # noqa: E402

WORKERS = 24
TASKS = 6000
"""Less than the room of the workers: 24 of 64 cores hold 6,144 tasks of a quarter of a core."""

TRAFFIC_S = 50.0
"""Seconds after which nothing more is sent, however many jobs have been submitted."""

FINISH_S = 14.0
STANDING_S = 3.0

LARGE_JOB = "000000000000c001"
QUEUE = "/p/"


def job(count: int, cpu: int) -> dict[str, object]:
    """Return a job of one step."""
    step = {"count": count, "cpu": cpu, "mem-mb": 128, "estimate-ms": 3000}
    return {"spec": "work", "steps": [step]}


async def read(deployment: Deployment, name: str) -> list[int]:
    """Ask one front after the other for the state of a job, and return the statuses."""
    statuses: list[int] = []
    for front in deployment.fronts:
        answer = await deployment.client_call("GET", front, f"{QUEUE}{name}")
        statuses.append(answer.status)
        if answer.status == 200:
            break
    return statuses


async def play(deployment: Deployment, log: Log, has_trouble: bool) -> list[str]:
    """Submit one job after the other, among them the large one, and ask for all at the end."""
    await deployment.open(workers=WORKERS)
    accepted: list[str] = []
    ends_at = log.now + TRAFFIC_S
    for number in range(24):
        if log.now > ends_at:
            break
        is_large = has_trouble and number == 8
        name = LARGE_JOB if is_large else f"{0xC100 + number:016x}"
        work = job(TASKS, 250) if is_large else job(4, 2000)
        answer = await deployment.submit(name, work, 2.0, QUEUE, tries=3, first=number)
        log("submitted", job=name, status=answer.status)
        if answer.status == 200:
            accepted.append(name)
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S)
    broken: list[str] = []
    statuses_by_job = await asyncio.gather(*(read(deployment, name) for name in accepted))
    for name, statuses in zip(accepted, statuses_by_job):
        if 200 not in statuses:
            broken.append(f"LOST: no answer about accepted job {name}; the fronts gave {statuses}")
    standing_since = dict.fromkeys(accepted, log.now)
    ends_at = log.now + STANDING_S + 1.0
    done = {event["task"].split(".")[0] for event in log.of("run_ended", how="done")}
    while log.now < ends_at:
        running = {
            task.split(".")[0] for worker in deployment.workers for task in worker.life.runs
        }
        standing_since |= dict.fromkeys(running & standing_since.keys(), log.now)
        await asyncio.sleep(0.05)
    cores_in_use = sum(
        deployment.task_needs(task)[0]
        for worker in deployment.workers
        for task in worker.life.runs
    )
    log("at_the_end", cores_in_use=cores_in_use / 1000, cores=WORKERS * 64)
    broken.extend(
        f"LOST: accepted job {name} has had nothing running for {STANDING_S:.0f} s,"
        f" {FINISH_S:.0f} s after the end of the traffic, with {cores_in_use / 1000:.0f} of"
        f" {WORKERS * 64} cores in use"
        for name, since in standing_since.items()
        # The room is not twice that of the large job.
        if name not in {*done, LARGE_JOB} and log.now - since > STANDING_S
    )
    return broken


run_case(FOLDER, Deployment, play)
