"""
bulrushhollow_core.domain.fleet._runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The runs of tasks as the leader knows them: their phase, their progress and how they were lost.
"""

import math
from enum import Enum
from typing import NamedTuple

from bulrushhollow_core.domain.model import (
    MIN_SURVIVAL,
    Resources,
    RunNumber,
    TaskRef,
    WorkerLife,
    WorkerLoss,
)
from bulrushhollow_core.ids import Seconds

UNKNOWN_DURATION = Seconds(0.0)
"""Duration of a run without an estimate."""

COMPLETE_PERCENT = 100
"""Progress, in percent, of a task whose work is done."""

MIN_PACE_SAMPLE = Seconds(1.2)
"""Seconds of progress needed to project a run's duration; about half of a short task."""

NO_ISOLATION = Seconds(0.0)
"""Isolation of a run that is not suspect."""

OVERDUE_TOLERANCE = Seconds(0.3)
"""Seconds past its expected end for which a run still counts as about to end."""


class RunRef(NamedTuple):
    """Identifies one run of a task."""

    task: TaskRef
    number: RunNumber


class UnansweredStart(NamedTuple):
    """
    A start without an answer.

    :param timed_out_at: when the order timed out; it may still be carried out for a while.
    :param needs: resources that the run takes if it starts.
    """

    timed_out_at: Seconds
    needs: Resources


class RunPhase(Enum):
    """State of a run as the leader knows it."""

    PROPOSED = "proposed"
    """Its start is proposed to the log and not yet committed."""
    QUEUED = "queued"
    """Its start is committed and has not left yet, so that the run can be given up at once."""
    STARTING = "starting"
    """Its start was ordered, and the worker has not answered yet."""
    RUNNING = "running"
    STOPPING = "stopping"
    ADOPTED = "adopted"
    """Recorded by an earlier leader; its worker has not yet listed its runs to this one."""


UNORDERED_PHASES = (RunPhase.PROPOSED, RunPhase.QUEUED)
"""Phases of runs of which their workers have not been told."""


class Run:
    """
    One run of a task, which takes resources on a worker as long as it may be running there.

    :param number: number of the run among the runs of its task.
    :param needs: resources that it takes.
    :param duration: seconds that it is expected to take on this worker.
    :param is_gang: whether it belongs to a gang, whose members run only together.
    :param isolation: seconds that it must survive until tasks of other jobs may join it on its
        worker, which it may crash; 0 if they may at once.
    """

    def __init__(
        self,
        task: TaskRef,
        number: RunNumber,
        life: WorkerLife,
        needs: Resources,
        now: Seconds,
        duration: Seconds = UNKNOWN_DURATION,
        is_gang: bool = False,
        isolation: Seconds = NO_ISOLATION,
    ) -> None:
        """Create a run that is proposed and not yet ordered."""
        self.is_gang = is_gang
        self.isolation = isolation
        self.duration = duration
        self.task = task
        self.number = number
        self.life = life
        self.needs = needs
        self.phase = RunPhase.PROPOSED
        self.is_adopted = False
        """Whether an earlier leader started it."""
        self.has_uncertain_start = False
        """Whether an earlier leader recorded its start so recently that it may not have arrived."""
        self.is_transferred = False
        """Whether it was ordered for an earlier life of its worker than the one that it is in."""
        self.started_at = now
        self.start_attempts = 0
        self.awaits_start_answer = False
        """Whether its start was sent and has neither been answered nor timed out."""
        self.percent = 0
        self.sampled_percent = 0
        """Latest progress below 100 percent, at `sampled_at`; the pace is computed from it."""
        self.first_percent: int | None = None
        self.first_percent_at = now
        self.progress_at = now
        self.sampled_at = now
        self.checkpoint = ""
        self.checkpoint_at = now
        self.stop_accepted_at = Seconds(math.inf)
        self.accepted_at = Seconds(math.inf)
        self.first_listed_at = Seconds(math.inf)
        self.listed_at = Seconds(-math.inf)
        self.loss: WorkerLoss | None = None
        """How it was lost with its worker; None if it was not."""

    def record_progress(self, percent: int, checkpoint: str, now: Seconds) -> None:
        """Record the progress and the checkpoint that the worker reports."""
        if self.first_percent is None:
            self.first_percent, self.first_percent_at = percent, now
        if percent < COMPLETE_PERCENT:
            self.sampled_at = now
            self.sampled_percent = percent
        if percent != self.percent:
            self.percent = percent
            self.progress_at = now
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.checkpoint_at = now

    def mark_running(self, now: Seconds, is_fresh: bool) -> None:
        """
        Record that the worker accepted the start.

        :param is_fresh: whether it starts without a checkpoint, and so at zero percent.
        """
        self.phase = RunPhase.RUNNING
        self.progress_at = now
        self.accepted_at = now
        if is_fresh:
            self.first_percent, self.first_percent_at = 0, now

    def mark_listed(self, now: Seconds) -> None:
        """Record that this life of its worker lists it, so that no earlier life has lost it."""
        self.first_listed_at = min(self.first_listed_at, now)
        self.listed_at = now
        self.loss = None

    @property
    def awaits_stop(self) -> bool:
        """Return whether it is to be stopped and its worker has not accepted that yet."""
        return self.phase is RunPhase.STOPPING and self.stop_accepted_at == math.inf

    @property
    def has_been_listed(self) -> bool:
        """Return whether a worker has listed it to this leader."""
        return self.listed_at > -math.inf

    @property
    def has_started(self) -> bool:
        """
        Return whether its worker is known to have started it. What an earlier leader recorded long
        ago was ordered and started, as a rule.
        """
        is_known = self.is_adopted and not self.has_uncertain_start
        return is_known or min(self.accepted_at, self.first_listed_at) < math.inf

    def lose(self) -> None:
        """Record that it is lost with its worker."""
        self.loss = WorkerLoss(self.life, self.survived, self.has_started)

    @property
    def survived(self) -> Seconds:
        """
        Return the seconds that it is known to have survived. Only lists show that; an order may
        have been answered by a later life. A gang survives nothing before its work begins.
        """
        since = min(self.accepted_at, self.first_listed_at)
        listed_for = Seconds(max(0.0, self.listed_at - since))
        if self.is_adopted:
            # It has run longer than this leader knows of.
            return max(MIN_SURVIVAL, listed_for)
        if self.is_gang and self.percent <= (self.first_percent or 0):
            return Seconds(0.0)
        return listed_for

    @property
    def is_awaiting_gang(self) -> bool:
        """Return whether its own work is done and it waits for the rest of its gang."""
        return self.is_gang and self.percent >= COMPLETE_PERCENT

    def remaining(self, now: Seconds) -> Seconds:
        """Return the seconds until its expected end, by its progress if that is known."""
        if self.is_awaiting_gang:
            return Seconds(0.0)
        if self.first_percent is not None and self.sampled_percent > self.first_percent:
            elapsed = max(0.05, self.sampled_at - self.first_percent_at)
            pace = (self.sampled_percent - self.first_percent) / elapsed
            return Seconds(
                (COMPLETE_PERCENT - self.sampled_percent) / pace - (now - self.sampled_at)
            )
        return Seconds(max(0.1, self.duration - (now - self.started_at)))

    def ends_within(self, limit: Seconds, now: Seconds) -> bool:
        """Return whether its progress shows that it will end by itself within a limit."""
        has_progress = self.first_percent is not None and self.percent > self.first_percent
        if not has_progress or self.phase is not RunPhase.RUNNING:
            return False
        return self.is_awaiting_gang or -OVERDUE_TOLERANCE <= self.remaining(now) <= limit

    def projected_duration(self) -> Seconds | None:
        """Return the seconds from its start to its end at its pace so far; None if unknown."""
        elapsed = self.sampled_at - self.first_percent_at
        if self.first_percent is None or elapsed < MIN_PACE_SAMPLE:
            return None
        return Seconds(
            COMPLETE_PERCENT * elapsed / max(1, self.sampled_percent - self.first_percent)
        )
