"""
bulrushhollow_core.placements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The explanation of a placement, as operators ask for it and read it: ``POST /v1/placement``.
"""

from enum import Enum
from typing import Annotated

import msgspec

PLACEMENT_PATH = "/v1/placement"

MAX_TASKS = 20_000
"""Largest number of tasks of a job that is explained. The leader holds a record for each of them
meanwhile, which takes some milliseconds at this number."""

Amount = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
Duration = Annotated[float, msgspec.Meta(ge=0.0)]
"""Seconds."""


class StepBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """
    One step of a job file.

    :param count: number of tasks.
    :param cpu: CPU of each task in thousandths of a core.
    :param memory: memory of each task in MiB.
    :param accelerators: accelerators of each task.
    :param estimate: estimated duration of a task, in seconds.
    :param depends_on: indexes of earlier steps that must be done before this one starts.
    """

    count: Amount
    cpu: Amount
    memory: Amount
    estimate: Duration
    accelerators: Amount = 0
    depends_on: tuple[int, ...] = ()
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: Amount = 0
    is_speculative: bool = False
    is_checkpointable: bool = False
    is_long_running: bool = False
    max_unavailable: Amount = 0


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """
    A job file.

    :param spec: text that is passed to every task; placements do not depend on it.
    :param occurrences: number of due times; 0 for a job without due times.
    :param first_due_at: when the first occurrence is due, in seconds since 1970.
    :param interval: seconds between the due times of two occurrences.
    """

    steps: tuple[StepBody, ...]
    spec: str = ""
    occurrences: Amount = 0
    first_due_at: Duration = 0.0
    interval: Duration = 0.0

    def __post_init__(self) -> None:
        """Raise :exc:`ValueError` if the job has too many tasks."""
        if sum(step.count for step in self.steps) > MAX_TASKS:
            raise ValueError(f"the job has more than {MAX_TASKS} tasks")


class PlacementQuestion(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Asks where a job would be placed if it were submitted now.

    :param host: host name of the job's queue.
    :param prefix: path prefix of the job's queue.
    :param job: the job.
    :param key: credential of the caller; empty for none.
    """

    host: str
    prefix: str
    job: JobBody
    key: str = ""


class Verdict(Enum):
    """Whether a submission would be accepted, or why not."""

    ACCEPTED = "accepted"
    NO_CONFIGURATION = "no_configuration"
    NO_SUCH_QUEUE = "no_such_queue"
    NOT_ALLOWED = "not_allowed"
    MALFORMED = "malformed"
    EXCEEDS_CAP = "exceeds_cap"
    OVERLOADED = "overloaded"


class HoldReason(Enum):
    """Why tasks of a step would not start now."""

    NOT_DUE = "not_due"
    """No occurrence of the job is due."""
    DEPENDENCIES = "dependencies"
    """Steps that it depends on are not done."""
    NO_USABLE_WORKER = "no_usable_worker"
    """No usable worker of the service has its label and is large enough for a task."""
    ADVICE = "advice"
    """The advice service has not yet permitted any worker; it is asked after the submission."""
    CAP = "cap"
    """The cap of the workspace is used up, or reserved for a gang that is served earlier."""
    DATA_RACK = "data_rack"
    """The rack of its data is full, and it waits for that rack before it uses another."""
    STOPS = "stops"
    """There is room once runs that are being stopped or about to end have ended."""
    HEADROOM = "headroom"
    """The room that is left is kept free for urgent work."""
    NO_ROOM = "no_room"
    """The workers are taken by running work and by work that is served earlier."""


class WorkerShare(msgspec.Struct, frozen=True):
    """
    The tasks of a step that one worker would get.

    :param worker: id of the worker.
    :param rack: rack of the worker.
    """

    worker: str
    rack: str
    tasks: int


class DisplacedWork(msgspec.Struct, frozen=True):
    """
    Runs of one step of another job that would be stopped to make room.

    :param runs: number of its runs.
    :param lost_work: core-seconds of work that this discards.
    """

    job: str
    step: int
    runs: int
    lost_work: float


class StepOutlook(msgspec.Struct, frozen=True):
    """
    What would happen now to one step.

    :param tasks: number of its tasks.
    :param starting: number of these that would start now.
    :param workers: workers that would get them; the list may be cut short.
    :param worker_count: number of workers that would get them.
    :param held_by: why the other tasks would not start; None if all would.
    :param depends_on: steps that it waits for.
    :param displaced: runs that would be stopped for it; the list may be cut short.
    :param displaced_runs: number of runs that would be stopped for it.
    :param room_expected_in: seconds after which a gang that waits for room is expected to fit at
        the earliest; None if this is unknown or the step is no gang that waits for room.
    """

    step: int
    tasks: int
    starting: int = 0
    workers: tuple[WorkerShare, ...] = ()
    worker_count: int = 0
    held_by: HoldReason | None = None
    depends_on: tuple[int, ...] = ()
    displaced: tuple[DisplacedWork, ...] = ()
    displaced_runs: int = 0
    room_expected_in: float | None = None


class QueuePosition(msgspec.Struct, frozen=True):
    """
    Where a job would stand among the waiting steps.

    :param rank: rank of its first step, from 1.
    :param waiting: number of waiting steps, its own included.
    :param is_guaranteed: whether it fits into the guarantee of its workspace.
    :param is_over_share: whether it is beyond its workspace's share or rate.
    :param timeliness: `on_time`, `late` or `worthless`, if it were served now.
    :param deadline_in: seconds until its deadline, as the queue counts it.
    """

    rank: int
    waiting: int
    is_guaranteed: bool
    is_over_share: bool
    timeliness: str
    deadline_in: float


class PlacementOutlook(msgspec.Struct, frozen=True):
    """
    Where a job would be placed if it were submitted now.

    :param detail: what is wrong with a malformed job; empty otherwise.
    :param retry_after: seconds after which a refused submission may be accepted; None if a retry
        does not help.
    :param position: None if no step of it could start now.
    :param steps: what would happen to each step; empty if the job would be refused.
    """

    verdict: Verdict
    detail: str = ""
    queue: str = ""
    workspace: str = ""
    retry_after: float | None = None
    position: QueuePosition | None = None
    steps: tuple[StepOutlook, ...] = ()
