"""Fault: a heartbeat of another writer ends every core process, again and again. See claim.txt."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness.deployment import CannotRun, Deployment, run_case  # noqa: E402
from harness.net import call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
RESTART_DELAY_S = 0.5
WATCH_S = 30.0
JOB = [{"count": 4, "cpu": 5600, "mem-mb": 29000, "gpu": 1, "estimate-ms": 3000}]


async def restart_ended(fleet, ends):
    """Restart processes that have ended by themselves, as the platform does; count these ends."""
    while True:
        for process in fleet.cores + fleet.fronts:
            code = process.popen.poll()
            if code is not None:
                ends[process.name] = ends.get(process.name, 0) + 1
                fleet.note("process-ended-by-itself", process=process.name, code=code)
                await asyncio.sleep(RESTART_DELAY_S)
                process.start([core.ip for core in fleet.cores[:3]])
        await asyncio.sleep(0.1)


async def main():
    """Run the case; return how the rule was broken, or None."""
    fleet = Deployment(pathlib.Path(__file__).parent)
    ends = {}
    supervisor = None
    try:
        await fleet.open()
        supervisor = asyncio.create_task(restart_ended(fleet, ends))
        if TROUBLE:
            # Another writer: what it sends is no worker of ours, and its address no IP and port.
            body = {
                "service": "other-svc",
                "addr": "rack7-node3",
                "zone": "mu-east",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold-left-ms": 0,
                "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
                "labels": ["a", "r1-3"],
                "time-ms": 482113,
                "seq": 4,
                "born": 1790000000000,
            }
            for address in fleet.controls:
                status, answer = await call(
                    "POST", address, "/Instances.Heartbeat/x-other-1", body, timeout=1.0
                )
                fleet.note("other-writer", to=address, status=status, answer=str(answer)[:80])
                if 200 <= status < 300:
                    break
        await asyncio.sleep(2.0)
        jobs = []
        for _ in range(3):
            job = f"{len(jobs):016x}"
            fleet.steps_by_job[job] = JOB
            jobs.append(
                (
                    job,
                    (await fleet.client("POST", "/lohu930/" + job, {"spec": "work", "steps": JOB}))[
                        0
                    ],
                )
            )
            await asyncio.sleep(WATCH_S / 3)
        states = [await fleet.state(job) for job, _ in jobs]
        fleet.note("verdict", ends=ends, accepted=[s for _, s in jobs], states=states)
        if not TROUBLE and (ends or any(status != 200 for _, status in jobs)):
            raise CannotRun("the calm deployment does not work")
        often = [name for name, count in ends.items() if count >= 3 and name.startswith("core")]
        if 2 * len(often) >= len(fleet.cores):
            return f"Fault: processes that ended by themselves: {ends}; jobs {jobs}: {states}"
        return None
    finally:
        if supervisor:
            supervisor.cancel()
        fleet.close()


run_case(main)
