"""EVAC: an order that a frozen machine kept undoes a newer evacuation. See claim.txt."""

import asyncio
import os
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness.deployment import CannotRun, Deployment, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
ZONE = "mu-east"
FREEZE_S = 4.0
EVACUATE_S = 5.0  # evacuate-ms
MAX_SKEW_S = 5.0  # max-skew-ms: the most by which an unstable core stretches the bound
WIDE_STEP = [{"count": 48, "cpu": 5600, "mem-mb": 29000, "gpu": 1, "estimate-ms": 3000}]


async def order(fleet, path, first):
    """Send an order until it is acknowledged."""
    if not await fleet.operate(path, first=first):
        raise CannotRun(f"{path} is not acknowledged")


async def main():
    """Run the case; return how the rule was broken, or None."""
    fleet = Deployment(pathlib.Path(__file__).parent)
    try:
        await fleet.open()
        leader = await fleet.leader()
        frozen = random.choice([core for core in fleet.cores if core is not leader])
        sound = [
            c for c, core in zip(fleet.controls, fleet.cores, strict=True) if core is not frozen
        ]
        slow = f"{frozen.ip}:{fleet.ports['control']}"

        # A first evacuation, which is taken back some seconds later.
        await order(fleet, f"/Evacuations.Begin/{ZONE}", first=random.choice(sound))
        await asyncio.sleep(5.0)
        if TROUBLE:
            frozen.signal(signal.SIGSTOP)
        frozen_at = fleet.now
        await asyncio.sleep(0.2)
        # The operator picks the frozen machine, gets no answer in a second, and goes on to others.
        await order(fleet, f"/Evacuations.Finish/{ZONE}", first=slow)
        await asyncio.sleep(0.3)
        # The zone is evacuated again.
        await order(fleet, f"/Evacuations.Begin/{ZONE}", first=random.choice(sound))
        acknowledged_at = fleet.now
        fleet.note("second-evacuation-acknowledged")
        await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - fleet.now))
        if TROUBLE:
            frozen.signal(signal.SIGCONT)
        counted_from = acknowledged_at + EVACUATE_S + MAX_SKEW_S + 1.0
        await asyncio.sleep(counted_from - fleet.now)

        # Work for most of the fleet: 48 of 64 GPUs; the other three zones have 48.
        job = await fleet.submit(WIDE_STEP)
        await asyncio.sleep(12.0)
        state = await fleet.state(job)
        late = [
            (at, worker.id, task, run)
            for at, worker, task, run in fleet.starts
            if worker.zone == ZONE and at >= counted_from
        ]
        fleet.note("verdict", starts_in_zone=len(late), state=state, waited_s=counted_from)
        if late:
            return (
                f"EVAC: {len(late)} tasks started in {ZONE}, the first "
                f"{late[0][0] - acknowledged_at:.1f} s after its evacuation was acknowledged"
            )
        return None
    finally:
        fleet.close()


run_case(main)
