"""
bulrushhollow_core.domain.model._commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The commands that the leader of a domain appends to the replicated log. One log entry holds a batch
of commands.
"""

from collections.abc import Iterable
from enum import Enum
from typing import TypeVar

import msgspec

from bulrushhollow_core.domain.model._announcements import WorkerNews
from bulrushhollow_core.domain.model._configuration import Configuration, Queue
from bulrushhollow_core.domain.model._jobs import (
    RunNumber,
    TaskRef,
    WallTime,
    Work,
    WorkerLife,
    WorkerLoss,
)
from bulrushhollow_core.ids import DataCentreId, JobId, Seconds, WorkspaceId


class Outcome(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    """The worker's lease expired."""
    GANG_BROKEN = "broken"
    """Another member of the gang ended."""
    GANG_INCOMPLETE = "alone"
    """The other members of the gang did not start in time."""
    LOST = "lost"
    """The worker is gone, or its lease has certainly expired."""
    NEVER_STARTED = "never"
    """The run never started, and the worker will refuse to start it."""


class PutConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="put_configuration"):
    """Put a configuration in force, if its version is higher than the present one."""

    configuration: Configuration


class SetEvacuation(msgspec.Struct, frozen=True, array_like=True, tag="set_evacuation"):
    """Begin or end the evacuation of a data centre."""

    data_centre: DataCentreId
    is_evacuated: bool


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag="submit_job"):
    """Accept a job; has no effect if a job with this id exists."""

    id: JobId
    queue: Queue
    workspace: WorkspaceId | None
    work: Work
    submitted_at: WallTime


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag="cancel_job"):
    """Cancel a job; has no effect if it has ended."""

    id: JobId
    cancelled_at: WallTime


class Start(msgspec.Struct, frozen=True, array_like=True):
    """The intent to start one run on a worker."""

    task: TaskRef
    run: RunNumber
    worker: WorkerLife
    address: str


class StartRuns(msgspec.Struct, frozen=True, array_like=True, tag="start_runs"):
    """Record starts before they are sent to the workers."""

    starts: tuple[Start, ...]


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """
    The end of one run.

    :param checkpoint: the run's last checkpoint; empty for none.
    :param survived: seconds that it is known to have survived, if its worker has ended it.
    :param loss: how it was lost with its worker; None if it was not.
    :param may_start_late: whether its start went unanswered and may still be carried out in a later
        life of its worker.
    """

    task: TaskRef
    run: RunNumber
    outcome: Outcome
    checkpoint: str = ""
    survived: Seconds = Seconds(0.0)
    loss: WorkerLoss | None = None
    may_start_late: bool = False


class EndRuns(msgspec.Struct, frozen=True, array_like=True, tag="end_runs"):
    """Record ends before they are acknowledged to the workers."""

    ends: tuple[RunEnd, ...]
    ended_at: WallTime


class DrainWorker(msgspec.Struct, frozen=True, array_like=True, tag="drain_worker"):
    """Start no more runs on a worker."""

    worker: WorkerLife


class RegisterWorker(msgspec.Struct, frozen=True, array_like=True, tag="register_worker"):
    """Record a worker's announcement, so that the next leader need not wait for another."""

    announcement: WorkerNews


class RecordCrash(msgspec.Struct, frozen=True, array_like=True, tag="record_crash"):
    """
    Record that a worker has crashed, which shows why runs on it were lost.

    :param heard_at: when it was last heard.
    """

    worker: WorkerLife
    heard_at: WallTime
    noticed_at: WallTime


class ForgetWorker(msgspec.Struct, frozen=True, array_like=True, tag="forget_worker"):
    """Remove a worker whose life is over, or which has been silent for long."""

    worker: WorkerLife


Command = (
    PutConfiguration
    | SetEvacuation
    | SubmitJob
    | CancelJob
    | StartRuns
    | EndRuns
    | DrainWorker
    | RegisterWorker
    | RecordCrash
    | ForgetWorker
)

MAX_COMMAND_BYTES = 524_288
"""Bytes above which the starts or the ends of one step become several commands; half of what one
entry of the log can hold."""

ItemType = TypeVar("ItemType")

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Command])


def encode_commands(commands: list[Command]) -> bytes:
    """Return the payload of one entry of the log."""
    return _encoder.encode(commands)


def start_commands(starts: Iterable[Start]) -> list[StartRuns]:
    """Return the commands that record starts, in order; an entry of the log can hold each."""
    return [StartRuns(batch) for batch in _split_by_size(starts)]


def end_commands(ends: Iterable[RunEnd], ended_at: WallTime) -> list[EndRuns]:
    """Return the commands that record ends, in order; an entry of the log can hold each."""
    return [EndRuns(batch, ended_at) for batch in _split_by_size(ends)]


def _split_by_size(items: Iterable[ItemType]) -> list[tuple[ItemType, ...]]:
    batches: list[list[ItemType]] = []
    size = MAX_COMMAND_BYTES
    for item in items:
        length = len(_encoder.encode(item))
        if size + length > MAX_COMMAND_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(item)
        size += length
    return list(map(tuple, batches))


def decode_commands(payload: bytes) -> list[Command]:
    """Return the commands of one entry of the log."""
    return _decoder.decode(payload)
