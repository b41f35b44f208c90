"""
bulrushhollow_core.domain._commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the leader of a domain writes into the log. One entry holds a batch of commands.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.domain._announcements import WorkerNews
from bulrushhollow_core.domain._configuration import Configuration, Queue
from bulrushhollow_core.domain._jobs import RunNumber, TaskRef, WallTime, Work, WorkerLife
from bulrushhollow_core.ids import DataCentreId, JobId, WorkspaceId


class Outcome(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    """Its lease ran out."""
    GANG_BROKEN = "broken"
    """Another member of its gang ended."""
    GANG_INCOMPLETE = "alone"
    """The other members of its gang did not come in time."""
    LOST = "lost"
    """Its worker is gone, or its lease has surely run out."""
    NEVER_STARTED = "never"
    """It was never started, and the worker will refuse it."""


class PutConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="put_configuration"):
    """Put a configuration in force if its version is the highest."""

    configuration: Configuration


class SetEvacuation(msgspec.Struct, frozen=True, array_like=True, tag="set_evacuation"):
    """Begin or end the evacuation of a data centre."""

    data_centre: DataCentreId
    is_evacuated: bool


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag="submit_job"):
    """Accept a job; a second one with its id changes nothing."""

    id: JobId
    queue: Queue
    workspace: WorkspaceId | None
    work: Work
    at: WallTime


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag="cancel_job"):
    """Cancel a job that is not over."""

    id: JobId
    at: WallTime


class Start(msgspec.Struct, frozen=True, array_like=True):
    """The intent to start one run on one life of a worker."""

    task: TaskRef
    run: RunNumber
    worker: WorkerLife
    address: str


class StartRuns(msgspec.Struct, frozen=True, array_like=True, tag="start_runs"):
    """Record starts before they leave."""

    starts: tuple[Start, ...]


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """
    The end of one run.

    :param checkpoint: the run's last checkpoint; empty for none.
    """

    task: TaskRef
    run: RunNumber
    outcome: Outcome
    checkpoint: str = ""


class EndRuns(msgspec.Struct, frozen=True, array_like=True, tag="end_runs"):
    """Record ends before they are acknowledged to workers."""

    ends: tuple[RunEnd, ...]
    at: WallTime


class DrainWorker(msgspec.Struct, frozen=True, array_like=True, tag="drain_worker"):
    """Start nothing more on a life of a worker."""

    worker: WorkerLife


class RegisterWorker(msgspec.Struct, frozen=True, array_like=True, tag="register_worker"):
    """Record what a worker is, so that the next leader need not wait for its announcement."""

    announcement: WorkerNews


class ForgetWorker(msgspec.Struct, frozen=True, array_like=True, tag="forget_worker"):
    """Forget a life of a worker that is over or silent for long."""

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
    | ForgetWorker
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Command])


def encode_commands(commands: list[Command]) -> bytes:
    """Return the payload of one entry of the log."""
    return _encoder.encode(commands)


def decode_commands(payload: bytes) -> list[Command]:
    """Return the commands of one entry of the log."""
    return _decoder.decode(payload)
