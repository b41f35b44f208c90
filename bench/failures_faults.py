"""
bench.failures_faults
~~~~~~~~~~~~~~~~~~~~~

The faults of a failure run. Each is a coroutine that causes the fault, and returns when it is
over and the site can begin to recover.
"""

import random
import signal
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

import anyio
import msgspec
from anyio.to_thread import run_sync

from bench.failures_records import Records, Stop, Window
from bench.failures_site import Site, now
from bench.failures_watch import ask_status
from bulrushhollow.exceptions import BulrushhollowError
from bulrushhollow_core.changes import SetDataCentreService
from bulrushhollow_core.ids import DataCentreId, name_of
from bulrushhollow_core.models import Service
from standins.cluster import Daemon

DOWN_SECONDS = 3.0
"""Seconds between a kill and the restart."""

FREEZE_SECONDS = 6.0
"""Seconds for which a process is stopped by a signal."""

CUT_SECONDS = 8.0
"""Seconds for which links are cut."""

OUT_SECONDS = 8.0
"""Seconds for which a data centre is out."""

FEW_SECONDS = 3.5
"""Seconds after an order within which work may still start."""

POLL = 0.1
"""Seconds between two looks at something that is waited for."""


class Stage(msgspec.Struct, frozen=True):
    """What a fault is given."""

    site: Site
    records: Records
    rng: random.Random

    def daemon(self, name: str) -> Daemon:
        """Return a daemon."""
        return self.site.daemons[name]

    async def leader(self) -> str:
        """Return the name of the log's leader."""
        while True:
            for name in self.site.daemons:
                status = await ask_status(self.site, name)
                if status is not None and status.leader is not None:
                    return str(name_of(status.leader))
            await anyio.sleep(POLL)

    async def holder(self) -> str:
        """Return the name of the lease holder of a data centre drawn at random."""
        data_centre = self.rng.choice(self.site.cluster.data_centres)
        while True:
            for name, daemon in self.site.daemons.items():
                status = await ask_status(self.site, name)
                here = daemon.plan.data_centre == data_centre
                if here and status is not None and status.holds_lease:
                    return name
            await anyio.sleep(POLL)

    def names_of(self, data_centre: str) -> list[str]:
        """Return the daemons of a data centre."""
        return [
            name
            for name, daemon in self.site.daemons.items()
            if daemon.plan.data_centre == data_centre
        ]


Fault = Callable[[Stage], Awaitable[None]]


async def kill_leader(stage: Stage) -> None:
    """Kill the log's leader, and start it again later."""
    await _kill(stage, await stage.leader())


async def kill_holder(stage: Stage) -> None:
    """Kill the lease holder of a data centre, and start it again later."""
    await _kill(stage, await stage.holder())


async def kill_two(stage: Stage) -> None:
    """Kill the log's leader and a lease holder at once, and start them again later."""
    await _kill(stage, await stage.leader(), await stage.holder())


async def kill_all(stage: Stage) -> None:
    """Kill every daemon at once, and start them again later."""
    await _kill(stage, *stage.site.daemons)


async def _kill(stage: Stage, *names: str) -> None:
    for name in names:
        stage.daemon(name).kill()
    await anyio.sleep(DOWN_SECONDS)
    for name in dict.fromkeys(names):
        stage.daemon(name).start()


async def freeze_leader(stage: Stage) -> None:
    """Stop the process of the log's leader and let it go on."""
    await _freeze(stage, await stage.leader())


async def freeze_holder(stage: Stage) -> None:
    """Stop the process of a lease holder and let it go on."""
    await _freeze(stage, await stage.holder())


async def _freeze(stage: Stage, name: str) -> None:
    stage.daemon(name).freeze()
    await anyio.sleep(FREEZE_SECONDS)
    stage.daemon(name).thaw()


async def cut_one(stage: Stage) -> None:
    """Cut one data centre off from the others."""
    alone = stage.rng.choice(stage.site.cluster.data_centres)
    inside = set(stage.names_of(alone))
    outside = sorted(set(stage.site.daemons) - inside)
    await _cut(stage, dict.fromkeys(inside, outside))


async def cut_all(stage: Stage) -> None:
    """Cut all data centres off from each other."""
    names = set(stage.site.daemons)
    others_by_name = {
        name: sorted(names - set(stage.names_of(data_centre)))
        for data_centre in stage.site.cluster.data_centres
        for name in stage.names_of(data_centre)
    }
    await _cut(stage, others_by_name)


async def _cut(stage: Stage, peers_by_name: dict[str, list[str]]) -> None:
    """Cut links at the daemons of one side, and heal them."""
    for name, peers in peers_by_name.items():
        await run_sync(stage.daemon(name).drop_traffic_with, peers)
    await anyio.sleep(CUT_SECONDS)
    for name in peers_by_name:
        await run_sync(stage.daemon(name).drop_traffic_with, [])


async def lose_disk(stage: Stage) -> None:
    """Lose the data folder of a voter, and kill a second one right after its return."""
    voters = [name for name, each in stage.site.daemons.items() if each.plan.has_disk]
    first, second = stage.rng.sample(voters, 2)
    daemon = stage.daemon(first)
    before = await ask_status(stage.site, first)
    with _planned_stop(stage, first):
        await run_sync(daemon.stop)
    daemon.lose_disk()
    daemon.start()
    await run_sync(daemon.wait_until_ready)
    after = await ask_status(stage.site, first)
    if before is not None and after is not None:
        assert before.instance != after.instance, "a new folder makes a new incarnation"
    await _kill(stage, second)


async def restart_all(stage: Stage) -> None:
    """Restart every daemon in turn by its graceful shutdown."""
    for name, daemon in stage.site.daemons.items():
        with _planned_stop(stage, name):
            await run_sync(daemon.stop)
        daemon.start()
        await run_sync(daemon.wait_until_ready)


@contextmanager
def _planned_stop(stage: Stage, name: str) -> Iterator[None]:
    """Note the span of a planned stop."""
    start = now()
    yield
    stage.records.planned_stops.append(Window(name, start, now()))


async def data_centre_out(stage: Stage) -> None:
    """Take a data centre out and bring it back."""
    data_centre = stage.rng.choice(stage.site.cluster.data_centres)
    await _set_service(stage, data_centre, Service.OUT)
    in_force_at = await _wait_in_force(stage, data_centre)
    await anyio.sleep(OUT_SECONDS)
    await _note_out(stage, data_centre, in_force_at)
    await _set_service(stage, data_centre, Service.IN)


async def _note_out(stage: Stage, data_centre: str, in_force_at: float) -> None:
    last = (await run_sync(stage.site.counts, data_centre)).last_start_at
    stage.records.outs.append(Stop(data_centre, in_force_at + FEW_SECONDS, last))


async def _set_service(
    stage: Stage, data_centre: str, service: Service, entries: Sequence[str] = ()
) -> None:
    edit = SetDataCentreService(DataCentreId(data_centre), service)
    while True:
        try:
            await stage.site.session(*entries).change(edit)
            return
        except BulrushhollowError:
            await anyio.sleep(POLL)


async def _wait_in_force(stage: Stage, data_centre: str, entries: Sequence[str] = ()) -> float:
    """Return when an entry instance first said that the data centre is out in force."""
    session = stage.site.session(*entries)
    while True:
        found = {str(each.id): each for each in await session.data_centres()}
        if found[data_centre].service is Service.OUT and found[data_centre].in_force:
            return now()
        await anyio.sleep(POLL)


async def out_while_cut(stage: Stage) -> None:
    """Take a data centre out from elsewhere while it is cut off, and bring it back after that."""
    alone = stage.rng.choice(stage.site.cluster.data_centres)
    inside = stage.names_of(alone)
    outside = sorted(set(stage.site.daemons) - set(inside))
    for name in inside:
        await run_sync(stage.daemon(name).drop_traffic_with, outside)
    await anyio.sleep(DOWN_SECONDS)
    await _set_service(stage, alone, Service.OUT, outside)
    told_at = None
    with anyio.move_on_after(CUT_SECONDS):
        told_at = await _wait_in_force(stage, alone, outside)
    if told_at is not None:
        await anyio.sleep(FEW_SECONDS + 1.0)
        await _note_out(stage, alone, told_at)
    for name in inside:
        await run_sync(stage.daemon(name).drop_traffic_with, [])
    in_force_at = await _wait_in_force(stage, alone)
    await anyio.sleep(OUT_SECONDS)
    await _note_out(stage, alone, in_force_at)
    await _set_service(stage, alone, Service.IN)


async def endpoint_leaves(stage: Stage) -> None:
    """Let an endpoint leave, and start another one."""
    endpoint = stage.rng.choice(stage.site.endpoints)
    endpoint.signal(signal.SIGTERM)
    told_at = now()
    await anyio.sleep(DOWN_SECONDS)
    stage.site.add_endpoint(endpoint.data_centre)
    await anyio.sleep(FEW_SECONDS)
    last = max((run.at for run in endpoint.runs()), default=None)
    stage.records.leaving.append(Stop(endpoint.name, told_at + FEW_SECONDS, last))
    stage.site.retire(endpoint)


async def endpoint_killed(stage: Stage) -> None:
    """Kill an endpoint, and start another one."""
    endpoint = stage.rng.choice(stage.site.endpoints)
    endpoint.signal(signal.SIGKILL)
    await anyio.sleep(DOWN_SECONDS)
    stage.site.retire(endpoint)
    stage.site.add_endpoint(endpoint.data_centre)


FAULTS_BY_NAME: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        kill_leader,
        kill_holder,
        kill_two,
        kill_all,
        freeze_leader,
        freeze_holder,
        cut_one,
        cut_all,
        lose_disk,
        restart_all,
        data_centre_out,
        out_while_cut,
        endpoint_leaves,
        endpoint_killed,
    )
}
"""Every fault by its name."""
