"""TWICE: a heartbeat of another writer ends a live worker's standing. See claim.txt."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness.deployment import Deployment, run_case  # noqa: E402
from harness.net import call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
TASK_S = 7.6
JOB = [{"count": 4, "cpu": 5600, "mem-mb": 29000, "gpu": 1, "estimate-ms": 7600}]


async def main():
    """Run the case; return how the rule was broken, or None."""
    fleet = Deployment(pathlib.Path(__file__).parent)
    fleet.plan = lambda task, run: (TASK_S, "done")
    doubled = []
    started = fleet.started

    def watch(worker, task, run):
        started(worker, task, run)
        for other in fleet.workers:
            if other is not worker and other.up and task in other.runs:
                fleet.note(
                    "two-runs-at-once",
                    task=task,
                    first=other.id,
                    first_run=other.runs[task].number,
                    second=worker.id,
                    second_run=run,
                )
                doubled.append((task, other.id, worker.id))

    fleet.started = watch
    try:
        await fleet.open()
        job = await fleet.submit(JOB)
        await asyncio.sleep(3.0)
        running_on = fleet.starts[0][1]
        if TROUBLE:
            # Another writer lists the same machine for itself: a service that is named nowhere.
            body = {
                "service": "other-svc",
                "addr": running_on.address,
                "zone": running_on.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold-left-ms": 0,
                "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
                "labels": ["a", "r1-3"],
                "time-ms": 482113,
                "seq": 4,
                "born": int(time.time() * 1000),
            }
            for address in fleet.controls:
                status, answer = await call(
                    "POST", address, "/Instances.Heartbeat/x-other-1", body, timeout=1.0
                )
                fleet.note("other-writer", to=address, status=status, addr=running_on.address)
                if 200 <= status < 300:
                    break
        await asyncio.sleep(TASK_S + 12.0)
        state = await fleet.state(job)
        fleet.note("verdict", state=state, doubled=doubled)
        if doubled:
            return f"TWICE: {len(doubled)} tasks ran on two workers at once, both up: {doubled}"
        return None
    finally:
        fleet.close()


run_case(main)
