"""
bench.capacity
~~~~~~~~~~~~~~

Slopes for docs/CAPACITY.md: ``python -m bench capacity --seed N``. Memory and processor time of the
core's state at several sizes, with a straight line fitted through them, and the bytes of messages.
"""

import argparse
import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence

import msgspec

from bench.report import emit
from bulrushhollow_core.changes import ChangeAccepted, ChangeConfiguration, PutWorkspace
from bulrushhollow_core.configuration import (
    AppliedVersion,
    ConfigurationLedger,
    ConfigurationSnapshot,
)
from bulrushhollow_core.consensus import Append, AppendAnswer, ClockReading, LogId
from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import (
    ChangeId,
    DataCentreId,
    EndpointId,
    Epoch,
    GuaranteeName,
    IdempotencyKey,
    InstanceId,
    InstanceName,
    JobId,
    LogIndex,
    ProfileName,
    RackId,
    RequestId,
    Seconds,
    Term,
    Version,
    WorkerId,
    WorkspaceId,
)
from bulrushhollow_core.jobs import DataCentreLoad, Scheduler, SubmitJob
from bulrushhollow_core.models import (
    Configuration,
    DataCentre,
    Guarantee,
    Profile,
    Rack,
    Resources,
    Shape,
    WorkKind,
    Workspace,
)
from bulrushhollow_core.node import Ledgers, LoadReport, PeerMessage
from bulrushhollow_core.outcomes import Execution
from bulrushhollow_core.platform import PlatformAnswer, WorkerReport
from bulrushhollow_core.requests import EndpointDirectory, ReserveKey, SettleKey

BENCH = "capacity"
SIZES = (250, 500, 1_000, 2_000)
NORTH = DataCentreId("north")
PER_WORKER = Resources(2, 64, 262_144)
"""At the target 5,600 accelerators are on 2,900 workers."""

REPEATS = 5

Build = Callable[[int], object]


class Line(msgspec.Struct, frozen=True):
    """
    A straight line through measured points.

    :param fit: coefficient of determination; 1 is a perfect fit.
    """

    slope: float
    base: float
    fit: float


def main(argv: list[str]) -> int:
    """Run the bench."""
    parser = argparse.ArgumentParser(prog="python -m bench capacity")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(argv)
    seed = options.seed
    _memory(seed, "job", "live jobs in the ledger", _decoded(_jobs))
    _memory(seed, "key", "idempotency keys", _decoded(_keys))
    _memory(seed, "profile", "profiles", _decoded(_profiles))
    _memory(seed, "workspace", "workspaces with a guarantee", _decoded(_workspaces))
    _memory(seed, "endpoint", "endpoints in the directory", _endpoints)
    _memory(seed, "worker", "workers in the scheduler", lambda n: _scheduler(n, seed))
    _time(seed, "job", "encode a snapshot", _jobs, Ledgers.encode)
    _time(seed, "workspace", "accept a changed guarantee", _workspaces, _accept_a_change)
    _time(seed, "worker", "take in a full platform report", lambda n: n, _report)
    _time(seed, "worker", "tick of an idle scheduler", lambda n: _scheduler(n, seed), _tick)
    _messages(seed)
    return 0


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a straight line by least squares."""
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(values) / len(values)
    pairs = list(zip(sizes, values, strict=True))
    spread = sum((x - mean_x) ** 2 for x in sizes)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    base = mean_y - slope * mean_x
    unexplained = sum((y - base - slope * x) ** 2 for x, y in pairs)
    total = sum((y - mean_y) ** 2 for y in values)
    return Line(slope, base, 1 - unexplained / total if total else 1.0)


def _memory(seed: int, unit: str, subject: str, build: Build) -> None:
    values = [_allocated(build, size) / 1024 for size in SIZES]
    _emit_line(seed, subject, "memory", values, "KiB", unit)


def _allocated(build: Build, size: int) -> int:
    gc.collect()
    tracemalloc.start()
    kept = build(size)  # what building leaves behind is collected before it is measured
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used


def _time(seed: int, unit: str, subject: str, build: Build, work: Callable[..., object]) -> None:
    values = []
    for size in SIZES:
        state = build(size)
        values.append(min(_seconds(work, state) for _ in range(REPEATS)) * 1000)
    _emit_line(seed, subject, "processor time", values, "ms", unit)


def _seconds(work: Callable[..., object], state: object) -> float:
    began = time.process_time()
    work(state)
    return time.process_time() - began


def _emit_line(
    seed: int, subject: str, metric: str, values: Sequence[float], unit: str, per: str
) -> None:
    for size, value in zip(SIZES, values, strict=True):
        emit(BENCH, seed, f"{size} {subject}", metric, round(value, 4), unit)
    line = fit(SIZES, values)
    emit(BENCH, seed, subject, f"{metric} slope", round(line.slope, 6), f"{unit} per {per}")
    emit(BENCH, seed, subject, f"{metric} base", round(line.base, 4), unit)
    emit(BENCH, seed, subject, f"{metric} fit", round(line.fit, 4), "r2")


# States of a size.


def _profile(number: int) -> Profile:
    return Profile(
        ProfileName(f"profile-{number}"),
        WorkKind.JOB,
        WorkspaceId(f"workspace-{number}"),
        idempotent=True,
        shape=Shape(1, Resources(1, 1, 1)),
    )


def _jobs(size: int) -> Ledgers:
    ledgers = Ledgers()
    for number in range(size):
        job = JobId(f"job-{number:08d}")
        submit = SubmitJob(job, _profile(number % 100), NORTH, "payload" * 20)
        ledgers.apply(LogIndex(number), submit)
    return ledgers


def _keys(size: int) -> Ledgers:
    ledgers = Ledgers()
    owner = InstanceId("north-1.00000001")
    workspace = WorkspaceId("shop")
    for number in range(size):
        key = IdempotencyKey(f"key-{number:030d}")
        request = RequestId(f"north-1.0123456789ab-{number}")
        reserve = ReserveKey(key, workspace, "0" * 32, owner, request)
        settle = SettleKey(key, workspace, owner, request, Execution.RAN, 200, b"answer" * 20)
        ledgers.apply(LogIndex(2 * number), reserve)
        ledgers.apply(LogIndex(2 * number + 1), settle)
    return ledgers


def _configured(configuration: Configuration) -> Ledgers:
    ledgers = Ledgers()
    snapshot = ConfigurationSnapshot(configuration)
    ledgers.configuration = ConfigurationLedger.restore(snapshot)
    return ledgers


def _profiles(size: int) -> Ledgers:
    profiles = (
        msgspec.structs.replace(_profile(0), name=ProfileName(f"profile-{number}"))
        for number in range(size)
    )
    return _configured(Configuration(profiles_by_name={each.name: each for each in profiles}))


def _workspaces(size: int) -> Ledgers:
    racks = tuple(Rack(RackId(f"r{n}"), 30, PER_WORKER) for n in range(97))
    guarantee = Guarantee(GuaranteeName("one"), NORTH, Shape(1, Resources(1, 1, 1)))
    workspaces = (
        Workspace(WorkspaceId(f"workspace-{number}"), guarantees=(guarantee,))
        for number in range(size)
    )
    return _configured(
        Configuration(
            workspaces_by_id={each.id: each for each in workspaces},
            data_centres_by_id={NORTH: DataCentre(NORTH, racks=racks)},
        )
    )


def _decoded(build: Callable[[int], Ledgers]) -> Build:
    """Return a builder whose state shares nothing with other states, as after a restart."""
    return lambda size: Ledgers.decode(LogIndex(1), build(size).encode())


def _endpoints(size: int) -> EndpointDirectory:
    name = InstanceName("north-1")
    directory = EndpointDirectory(name, NORTH, {name: NORTH}, random.Random(1), Seconds(0.0))
    for number in range(size):
        directory.announce(_announcement(number), Seconds(0.0))
    return directory


def _announcement(number: int) -> Announcement:
    return Announcement(
        endpoint=EndpointId(f"endpoint-{number}"),
        data_centre=NORTH,
        incarnation=1,
        sequence=1,
        address=f"127.0.0.1:{10_000 + number}",
        service="orders",
        slots=8,
        connections=64,
    )


def _scheduler(size: int, seed: int) -> Scheduler:
    scheduler = Scheduler(NORTH, random.Random(seed))
    scheduler.configure(Configuration(), Seconds(0.0))
    scheduler.activate(Epoch(1), Seconds(0.0))
    call = scheduler.next_call(Epoch(1), Seconds(3.0), Seconds(0.0))
    workers = tuple(
        WorkerReport(
            WorkerId(f"worker-{number}"), RackId(f"r{number // 30}"), PER_WORKER, Resources()
        )
        for number in range(size)
    )
    answer = PlatformAnswer(Epoch(1), False, 1, workers, number=call.number)
    scheduler.platform_answered(answer, Seconds(0.1))
    return scheduler


# Work whose time is taken.


def _report(size: object) -> None:
    assert isinstance(size, int)
    _scheduler(size, 1)


def _tick(scheduler: Scheduler) -> None:
    scheduler.tick(Seconds(10.0))


def _accept_a_change(ledgers: Ledgers) -> None:
    version = ledgers.configuration.configuration.version
    shape = Shape(1, Resources(1 + (version + 1) % 2, 1, 1))
    guarantee = Guarantee(GuaranteeName("one"), NORTH, shape)
    workspace = Workspace(WorkspaceId("workspace-0"), version + 2, guarantees=(guarantee,))
    edit = PutWorkspace(workspace)
    change = ChangeConfiguration(ChangeId(f"change-{version}"), edit, version)
    assert isinstance(ledgers.apply(LogIndex(version + 1), change), ChangeAccepted)


def _messages(seed: int) -> None:
    log = LogId(1)
    reading = ClockReading(1 << 30, Seconds(123_456.789))
    append = Append(
        log, Term(9), LogIndex(99_999), Term(9), LogIndex(99_999), reading.at, reading.at
    )
    answer = AppendAnswer(
        log, Term(9), True, LogIndex(99_999), LogIndex(99_999), reading.at, reading
    )
    load = LoadReport(DataCentreLoad(NORTH, True, 700, 100, 12_345.6), Epoch(9), 360)
    for message in (append, answer, load, AppliedVersion(Version(99_999))):
        size = len(msgspec.msgpack.encode(_checked(message)))
        emit(BENCH, seed, type(message).__name__, "encoded size", size, "bytes")


def _checked(message: PeerMessage) -> PeerMessage:
    """Return a message after it went through the codec, so that only real ones are counted."""
    encoded = msgspec.msgpack.encode(message)
    return msgspec.msgpack.decode(encoded, type=PeerMessage)
