"""
bench.failures_faults
~~~~~~~~~~~~~~~~~~~~~

The faults of a failure run. Each is a coroutine that injects the fault and returns when the fault
has ended and the site can recover.
"""

import random
import signal
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

import anyio
import msgspec
from anyio.to_thread import run_sync

from bench.failures_records import Records, StartCutoff, Window
from bench.failures_site import FailureSite, now
from bench.failures_watch import ask_status
from bulrushhollow.exceptions import BulrushhollowError
from bulrushhollow_core.changes import SetDataCentreService
from bulrushhollow_core.ids import DataCentreId, name_of
from bulrushhollow_core.models import Service
from standins.cluster import Daemon

DOWN_SECONDS = 3.0
"""Seconds between a kill and the restart."""

FREEZE_SECONDS = 6.0
"""Seconds for which a process is suspended."""

CUT_SECONDS = 8.0
"""Seconds for which links are cut."""

OUT_SECONDS = 8.0
"""Seconds for which a data centre is out of service."""

START_GRACE = 3.5
"""Seconds for which work may still start after a data centre is out or an endpoint leaves."""

POLL_INTERVAL = 0.1
"""Seconds between two polls of a condition, or two tries of a change."""


class FaultContext(msgspec.Struct, frozen=True):
    """The site, the records and the random generator that a fault uses."""

    site: FailureSite
    records: Records
    rng: random.Random

    def daemon(self, name: str) -> Daemon:
        """Return the daemon of this name."""
        return self.site.daemons[name]

    async def leader(self) -> str:
        """Poll until a daemon reports the log's leader, and return the leader's name."""
        while True:
            for name in self.site.daemons:
                status = await ask_status(self.site, name)
                if status is not None and status.leader is not None:
                    return str(name_of(status.leader))
            await anyio.sleep(POLL_INTERVAL)

    async def holder(self) -> str:
        """Return the name of the lease holder of a random data centre."""
        data_centre = self.rng.choice(self.site.cluster.data_centres)
        while True:
            for name, daemon in self.site.daemons.items():
                status = await ask_status(self.site, name)
                here = daemon.plan.data_centre == data_centre
                if here and status is not None and status.holds_lease:
                    return name
            await anyio.sleep(POLL_INTERVAL)

    def daemon_names_in(self, data_centre: str) -> list[str]:
        """Return the names of the daemons of a data centre."""
        return [
            name
            for name, daemon in self.site.daemons.items()
            if daemon.plan.data_centre == data_centre
        ]


Fault = Callable[[FaultContext], Awaitable[None]]


async def kill_leader(context: FaultContext) -> None:
    """Kill the log's leader and restart it after a pause."""
    await _kill(context, await context.leader())


async def kill_holder(context: FaultContext) -> None:
    """Kill the lease holder of a data centre and restart it after a pause."""
    await _kill(context, await context.holder())


async def kill_two(context: FaultContext) -> None:
    """Kill the log's leader and a lease holder at once and restart them after a pause."""
    await _kill(context, await context.leader(), await context.holder())


async def kill_all(context: FaultContext) -> None:
    """Kill every daemon at once and restart them after a pause."""
    await _kill(context, *context.site.daemons)


async def _kill(context: FaultContext, *names: str) -> None:
    for name in names:
        context.daemon(name).kill()
    await anyio.sleep(DOWN_SECONDS)
    for name in dict.fromkeys(names):
        context.daemon(name).start()


async def freeze_leader(context: FaultContext) -> None:
    """Suspend the process of the log's leader and resume it after a pause."""
    await _freeze(context, await context.leader())


async def freeze_holder(context: FaultContext) -> None:
    """Suspend the process of a lease holder and resume it after a pause."""
    await _freeze(context, await context.holder())


async def _freeze(context: FaultContext, name: str) -> None:
    context.daemon(name).freeze()
    await anyio.sleep(FREEZE_SECONDS)
    context.daemon(name).thaw()


async def cut_one(context: FaultContext) -> None:
    """Partition one data centre from the others."""
    isolated = context.rng.choice(context.site.cluster.data_centres)
    inside = set(context.daemon_names_in(isolated))
    outside = sorted(set(context.site.daemons) - inside)
    await _cut(context, dict.fromkeys(inside, outside))


async def cut_all(context: FaultContext) -> None:
    """Partition all data centres from each other."""
    names = set(context.site.daemons)
    others_by_name = {
        name: sorted(names - set(context.daemon_names_in(data_centre)))
        for data_centre in context.site.cluster.data_centres
        for name in context.daemon_names_in(data_centre)
    }
    await _cut(context, others_by_name)


async def _cut(context: FaultContext, peers_by_name: dict[str, list[str]]) -> None:
    """Cut the links of some daemons to their peers and restore them after a pause."""
    for name, peers in peers_by_name.items():
        await run_sync(context.daemon(name).drop_traffic_with, peers)
    await anyio.sleep(CUT_SECONDS)
    for name in peers_by_name:
        await run_sync(context.daemon(name).drop_traffic_with, [])


async def lose_disk(context: FaultContext) -> None:
    """Delete a voter's data folder, and kill a second voter as soon as the first is ready again."""
    voters = [name for name, daemon in context.site.daemons.items() if daemon.plan.has_disk]
    first, second = context.rng.sample(voters, 2)
    daemon = context.daemon(first)
    before = await ask_status(context.site, first)
    with _planned_stop(context, first):
        await run_sync(daemon.stop)
    daemon.lose_disk()
    daemon.start()
    await run_sync(daemon.wait_until_ready)
    after = await ask_status(context.site, first)
    if before is not None and after is not None:
        assert before.instance != after.instance, "a new folder makes a new incarnation"
    await _kill(context, second)


async def restart_all(context: FaultContext) -> None:
    """Restart every daemon in turn, each with a graceful shutdown."""
    for name, daemon in context.site.daemons.items():
        with _planned_stop(context, name):
            await run_sync(daemon.stop)
        daemon.start()
        await run_sync(daemon.wait_until_ready)


@contextmanager
def _planned_stop(context: FaultContext, name: str) -> Iterator[None]:
    """Record the time span of a planned stop."""
    start = now()
    yield
    context.records.planned_stops.append(Window(name, start, now()))


async def data_centre_out(context: FaultContext) -> None:
    """Take a data centre out of service and bring it back."""
    data_centre = context.rng.choice(context.site.cluster.data_centres)
    await _set_service(context, data_centre, Service.OUT)
    in_force_at = await _wait_until_out_in_force(context, data_centre)
    await anyio.sleep(OUT_SECONDS)
    await _record_out_cutoff(context, data_centre, in_force_at)
    await _set_service(context, data_centre, Service.IN)


async def _record_out_cutoff(context: FaultContext, data_centre: str, in_force_at: float) -> None:
    last_start_at = (await run_sync(context.site.platform_counts, data_centre)).last_start_at
    context.records.out_cutoffs.append(
        StartCutoff(data_centre, in_force_at + START_GRACE, last_start_at)
    )


async def _set_service(
    context: FaultContext, data_centre: str, service: Service, entries: Sequence[str] = ()
) -> None:
    edit = SetDataCentreService(DataCentreId(data_centre), service)
    while True:
        try:
            await context.site.session(*entries).change(edit)
            return
        except BulrushhollowError:
            await anyio.sleep(POLL_INTERVAL)


async def _wait_until_out_in_force(
    context: FaultContext, data_centre: str, entries: Sequence[str] = ()
) -> float:
    """Poll until an instance reports the data centre as out in force, and return the time."""
    session = context.site.session(*entries)
    while True:
        data_centres_by_id = {
            str(data_centre_status.id): data_centre_status
            for data_centre_status in await session.data_centres()
        }
        if (
            data_centres_by_id[data_centre].service is Service.OUT
            and data_centres_by_id[data_centre].in_force
        ):
            return now()
        await anyio.sleep(POLL_INTERVAL)


async def out_while_cut(context: FaultContext) -> None:
    """Take a partitioned data centre out of service from outside, then heal and restore it."""
    isolated = context.rng.choice(context.site.cluster.data_centres)
    inside = context.daemon_names_in(isolated)
    outside = sorted(set(context.site.daemons) - set(inside))
    for name in inside:
        await run_sync(context.daemon(name).drop_traffic_with, outside)
    await anyio.sleep(DOWN_SECONDS)
    await _set_service(context, isolated, Service.OUT, outside)
    reported_at = None
    with anyio.move_on_after(CUT_SECONDS):
        reported_at = await _wait_until_out_in_force(context, isolated, outside)
    if reported_at is not None:
        await anyio.sleep(START_GRACE + 1.0)
        await _record_out_cutoff(context, isolated, reported_at)
    for name in inside:
        await run_sync(context.daemon(name).drop_traffic_with, [])
    in_force_at = await _wait_until_out_in_force(context, isolated)
    await anyio.sleep(OUT_SECONDS)
    await _record_out_cutoff(context, isolated, in_force_at)
    await _set_service(context, isolated, Service.IN)


async def endpoint_leaves(context: FaultContext) -> None:
    """Make an endpoint leave gracefully and start a replacement."""
    endpoint = context.rng.choice(context.site.endpoints)
    endpoint.signal(signal.SIGTERM)
    notified_at = now()
    await anyio.sleep(DOWN_SECONDS)
    context.site.add_endpoint(endpoint.data_centre)
    await anyio.sleep(START_GRACE)
    last_start_at = max((run.at for run in endpoint.runs()), default=None)
    context.records.leaving_cutoffs.append(
        StartCutoff(endpoint.name, notified_at + START_GRACE, last_start_at)
    )
    context.site.retire(endpoint)


async def endpoint_killed(context: FaultContext) -> None:
    """Kill an endpoint and start a replacement."""
    endpoint = context.rng.choice(context.site.endpoints)
    endpoint.signal(signal.SIGKILL)
    await anyio.sleep(DOWN_SECONDS)
    context.site.retire(endpoint)
    context.site.add_endpoint(endpoint.data_centre)


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
"""Each fault by the name of its function."""
