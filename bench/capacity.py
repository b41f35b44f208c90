"""
bench.capacity
~~~~~~~~~~~~~~

Measures the figures of docs/CAPACITY.md: ``python -m bench capacity --seed N``. It fits a straight
line through the memory and the processor time of the core's state at several sizes, and prints the
encoded size of messages.
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
WORKER_CAPACITY = Resources(2, 64, 262_144)
"""Capacity of one worker; the target site has 5,600 accelerators on 2,900 workers."""

REPETITIONS = 5

StateBuilder = Callable[[int], object]


class LinearFit(msgspec.Struct, frozen=True):
    """
    A straight line fitted to measured points.

    :param intercept: value of the line at size 0.
    :param r_squared: coefficient of determination; 1 is a perfect fit.
    """

    slope: float
    intercept: float
    r_squared: float


def main(argv: list[str]) -> int:
    """Run all measurements."""
    parser = argparse.ArgumentParser(prog="python -m bench capacity")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(argv)
    seed = options.seed
    _measure_memory(seed, "job", "live jobs in the ledger", _decoded(_ledgers_with_jobs))
    _measure_memory(seed, "key", "idempotency keys", _decoded(_ledgers_with_keys))
    _measure_memory(seed, "profile", "profiles", _decoded(_ledgers_with_profiles))
    _measure_memory(
        seed, "workspace", "workspaces with a guarantee", _decoded(_ledgers_with_workspaces)
    )
    _measure_memory(seed, "endpoint", "endpoints in the directory", _directory_with_endpoints)
    _measure_memory(
        seed, "worker", "workers in the scheduler", lambda n: _scheduler_with_workers(n, seed)
    )
    _measure_cpu_time(seed, "job", "encode a snapshot", _ledgers_with_jobs, Ledgers.encode)
    _measure_cpu_time(
        seed,
        "workspace",
        "accept a changed guarantee",
        _ledgers_with_workspaces,
        _accept_guarantee_change,
    )
    _measure_cpu_time(
        seed, "worker", "take in a full platform report", lambda n: n, _process_full_report
    )
    _measure_cpu_time(
        seed,
        "worker",
        "tick of an idle scheduler",
        lambda n: _scheduler_with_workers(n, seed),
        _tick_idle_scheduler,
    )
    _emit_message_sizes(seed)
    return 0


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> LinearFit:
    """Fit a straight line by least squares."""
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(values) / len(values)
    pairs = list(zip(sizes, values, strict=True))
    x_squares = sum((x - mean_x) ** 2 for x in sizes)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / x_squares
    intercept = mean_y - slope * mean_x
    residual_squares = sum((y - intercept - slope * x) ** 2 for x, y in pairs)
    total_squares = sum((y - mean_y) ** 2 for y in values)
    return LinearFit(
        slope, intercept, 1 - residual_squares / total_squares if total_squares else 1.0
    )


def _measure_memory(seed: int, item: str, subject: str, build: StateBuilder) -> None:
    values = [_allocated_bytes(build, size) / 1024 for size in SIZES]
    _emit_fit(seed, subject, "memory", values, "KiB", item)


def _allocated_bytes(build: StateBuilder, size: int) -> int:
    gc.collect()
    tracemalloc.start()
    state = build(size)  # garbage of building it is collected before measuring
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return used


def _measure_cpu_time(
    seed: int, item: str, subject: str, build: StateBuilder, operation: Callable[..., object]
) -> None:
    values = []
    for size in SIZES:
        state = build(size)
        values.append(min(_cpu_seconds_of(operation, state) for _ in range(REPETITIONS)) * 1000)
    _emit_fit(seed, subject, "processor time", values, "ms", item)


def _cpu_seconds_of(operation: Callable[..., object], state: object) -> float:
    began = time.process_time()
    operation(state)
    return time.process_time() - began


def _emit_fit(
    seed: int, subject: str, metric: str, values: Sequence[float], unit: str, item: str
) -> None:
    for size, value in zip(SIZES, values, strict=True):
        emit(BENCH, seed, f"{size} {subject}", metric, round(value, 4), unit)
    line = fit_line(SIZES, values)
    emit(BENCH, seed, subject, f"{metric} slope", round(line.slope, 6), f"{unit} per {item}")
    emit(BENCH, seed, subject, f"{metric} base", round(line.intercept, 4), unit)
    emit(BENCH, seed, subject, f"{metric} fit", round(line.r_squared, 4), "r2")


# Builders of states with a number of items.


def _build_profile(number: int) -> Profile:
    return Profile(
        ProfileName(f"profile-{number}"),
        WorkKind.JOB,
        WorkspaceId(f"workspace-{number}"),
        idempotent=True,
        shape=Shape(1, Resources(1, 1, 1)),
    )


def _ledgers_with_jobs(size: int) -> Ledgers:
    ledgers = Ledgers()
    for number in range(size):
        job = JobId(f"job-{number:08d}")
        submit = SubmitJob(job, _build_profile(number % 100), NORTH, "payload" * 20)
        ledgers.apply(LogIndex(number), submit)
    return ledgers


def _ledgers_with_keys(size: int) -> Ledgers:
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


def _ledgers_with_configuration(configuration: Configuration) -> Ledgers:
    ledgers = Ledgers()
    snapshot = ConfigurationSnapshot(configuration)
    ledgers.configuration = ConfigurationLedger.restore(snapshot)
    return ledgers


def _ledgers_with_profiles(size: int) -> Ledgers:
    profiles = (
        msgspec.structs.replace(_build_profile(0), name=ProfileName(f"profile-{number}"))
        for number in range(size)
    )
    return _ledgers_with_configuration(
        Configuration(profiles_by_name={each.name: each for each in profiles})
    )


def _ledgers_with_workspaces(size: int) -> Ledgers:
    racks = tuple(Rack(RackId(f"r{n}"), 30, WORKER_CAPACITY) for n in range(97))
    guarantee = Guarantee(GuaranteeName("one"), NORTH, Shape(1, Resources(1, 1, 1)))
    workspaces = (
        Workspace(WorkspaceId(f"workspace-{number}"), guarantees=(guarantee,))
        for number in range(size)
    )
    return _ledgers_with_configuration(
        Configuration(
            workspaces_by_id={each.id: each for each in workspaces},
            data_centres_by_id={NORTH: DataCentre(NORTH, racks=racks)},
        )
    )


def _decoded(build: Callable[[int], Ledgers]) -> StateBuilder:
    """Return a builder of decoded ledgers, which share no objects, as after a restart."""
    return lambda size: Ledgers.decode(LogIndex(1), build(size).encode())


def _directory_with_endpoints(size: int) -> EndpointDirectory:
    name = InstanceName("north-1")
    directory = EndpointDirectory(name, NORTH, {name: NORTH}, random.Random(1), Seconds(0.0))
    for number in range(size):
        directory.announce(_build_announcement(number), Seconds(0.0))
    return directory


def _build_announcement(number: int) -> Announcement:
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


def _scheduler_with_workers(size: int, seed: int) -> Scheduler:
    scheduler = Scheduler(NORTH, random.Random(seed))
    scheduler.configure(Configuration(), Seconds(0.0))
    scheduler.activate(Epoch(1), Seconds(0.0))
    call = scheduler.next_call(Epoch(1), Seconds(3.0), Seconds(0.0))
    workers = tuple(
        WorkerReport(
            WorkerId(f"worker-{number}"), RackId(f"r{number // 30}"), WORKER_CAPACITY, Resources()
        )
        for number in range(size)
    )
    answer = PlatformAnswer(Epoch(1), False, 1, workers, number=call.number)
    scheduler.platform_answered(answer, Seconds(0.1))
    return scheduler


# Operations whose processor time is measured.


def _process_full_report(size: object) -> None:
    assert isinstance(size, int)
    _scheduler_with_workers(size, 1)


def _tick_idle_scheduler(scheduler: Scheduler) -> None:
    scheduler.tick(Seconds(10.0))


def _accept_guarantee_change(ledgers: Ledgers) -> None:
    version = ledgers.configuration.configuration.version
    shape = Shape(1, Resources(1 + (version + 1) % 2, 1, 1))
    guarantee = Guarantee(GuaranteeName("one"), NORTH, shape)
    workspace = Workspace(WorkspaceId("workspace-0"), version + 2, guarantees=(guarantee,))
    edit = PutWorkspace(workspace)
    change = ChangeConfiguration(ChangeId(f"change-{version}"), edit, version)
    assert isinstance(ledgers.apply(LogIndex(version + 1), change), ChangeAccepted)


def _emit_message_sizes(seed: int) -> None:
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
        size = len(msgspec.msgpack.encode(_round_trip(message)))
        emit(BENCH, seed, type(message).__name__, "encoded size", size, "bytes")


def _round_trip(message: PeerMessage) -> PeerMessage:
    """Encode and decode a message, which raises an error unless it is valid on the wire."""
    encoded = msgspec.msgpack.encode(message)
    return msgspec.msgpack.decode(encoded, type=PeerMessage)
