"""
bench.domain_site
~~~~~~~~~~~~~~~~~

One leader of a scheduling domain and its workers in virtual time. Work goes through the whole node:
log, state, scheduler and orders; only the disk and the network are stand-ins.
"""

import itertools
import random
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from bench.domain_load import KINDS, Arrival
from bulrushhollow_core.consensus import Restorer
from bulrushhollow_core.domain import (
    Announce,
    Answer,
    Availability,
    CallId,
    CallLimits,
    CallReceived,
    Configuration,
    DomainNode,
    DomainSettings,
    Event,
    Input,
    ListedEnd,
    LogEvent,
    OrderStart,
    OrderStop,
    Outcome,
    Poll,
    PutConfig,
    Queue,
    QueueName,
    Reply,
    Resources,
    Service,
    ServiceName,
    Step,
    Submit,
    TaskRef,
    WallTime,
    Workspace,
)
from bulrushhollow_core.ids import InstanceId, JobId, Seconds, Version, WorkspaceId
from standins.domain_workers import LiveRun, Worker, WorkerPool, no_answer_to
from standins.virtual_time import VirtualTime

TICK = 0.05
"""Seconds between two steps of the leader at the most."""

SYNC = 0.007
"""Seconds until what a step decided is on disk and leaves."""

HOP = 0.001
"""Seconds of one message."""

ORDER_LIMIT = 0.5
"""Seconds after which an order counts as unanswered."""

HEARTBEAT = 1.5
"""Seconds between two announcements of a worker."""

LONGEST_LEASE = Seconds(6.0)

RACK = 12
"""Workers in a rack."""

SLOWNESS = (1.0, 1.0, 1.3)
"""How slow workers are, in turn."""

ME = InstanceId("10.0.0.1:1.00000001")
HOST = "jobs.example"
KEY = "k{}"


class Job(msgspec.Struct):
    """A job as its caller sees it."""

    arrival: Arrival
    submitted_at: float
    accepted_at: float | None = None
    started_at: float | None = None
    done_at: float | None = None


class Figures(msgspec.Struct):
    """
    What a run came to.

    :param wasted: core-seconds of work that was stopped or lost and not saved.
    :param worked: core-seconds of work that ended done.
    :param busy: seconds of processor time in the node.
    """

    wasted: float = 0.0
    worked: float = 0.0
    busy: float = 0.0
    starts: int = 0
    stops: int = 0
    ends: int = 0
    refused: int = 0


def weight_of(needs: Resources) -> float:
    """Return cores, an accelerator counted as eight."""
    return needs.cpu / 1000 + 8 * needs.accelerators


class DomainSite(VirtualTime):
    """
    A leader with its workers.

    :param workers: how many.
    :param guaranteed: accelerators of each workspace's guarantee.
    """

    def __init__(self, seed: int, workers: int, workspaces: int, guaranteed: int) -> None:
        """Begin with idle workers and a configuration in force."""
        super().__init__()
        self.rng = random.Random(seed)
        self.figures = Figures()
        self.jobs_by_id: dict[JobId, Job] = {}
        self.reasons: Counter[str] = Counter()
        self.cut: set[str] = set()
        self._call_numbers = itertools.count()
        self._calls_by_id: dict[CallId, Callable[[Answer], None]] = {}
        self._inbox: list[Input] = []
        self._is_stepping = False
        self.frozen_until = 0.0
        settings = DomainSettings(
            longest_lease=LONGEST_LEASE, heartbeat_interval=Seconds(HEARTBEAT), voter_count=1
        )
        self.node = DomainNode(ME, Restorer().restored(), settings, self.rng, Seconds(0.0))
        self.worker_pool = WorkerPool(self, self, self._step_of, self._duration_of, self.rng, 3.0)
        self._workers_by_address: dict[str, Worker] = {}
        self.racks = [f"r{number}" for number in range(-(-workers // RACK))]
        for number in range(workers):
            self._add_worker(number)
        self.node.bootstrap(Seconds(0.0))
        self.call_later(0.0, self._tick)
        self.run(4.0)
        self._configure(workspaces, guaranteed)
        self.run(2.0)

    def _add_worker(self, number: int) -> None:
        rack = self.racks[number // RACK]
        slowness = SLOWNESS[number % len(SLOWNESS)]
        room = Resources(64_000, 256_000, 8)
        worker = Worker(self.worker_pool, f"w{number}", f"dc{number % 4}", rack, room, 1, slowness)
        self._workers_by_address[worker.address] = worker
        self.call_later(self.rng.uniform(0, HEARTBEAT), lambda: self._beat(worker))

    def _configure(self, workspaces: int, guaranteed: int) -> None:
        queues = tuple(
            Queue(
                QueueName(kind.name),
                HOST,
                f"/{kind.name}/",
                ServiceName("svc"),
                kind.urgency,
                kind.attempts,
                kind.slack,
                Seconds(kind.allowance),
                Seconds(3.0),
                False,
            )
            for kind in KINDS
        )
        named = tuple(
            Workspace(WorkspaceId(f"t{number}"), (KEY.format(number),), guaranteed)
            for number in range(workspaces)
        )
        services = (Service(ServiceName("svc"), True),)
        self._ask(
            PutConfig(Configuration(Version(1), queues, services, named, CallLimits(), b"1")),
            lambda answer: None,
        )

    # The leader.

    def _tick(self) -> None:
        self._step()
        self.call_later(TICK, self._tick)

    def _post(self, given: Input) -> None:
        self._inbox.append(given)
        if not self._is_stepping:
            self.call_later(0.0, self._step)

    def _step(self) -> None:
        if self._is_stepping or self.now < self.frozen_until:
            return
        batch, self._inbox = self._inbox, []
        before = time.process_time()
        actions = self.node.step(batch, Seconds(self.now), WallTime(1e6 + self.now))
        self.figures.busy += time.process_time() - before
        if not actions:
            return
        self._is_stepping = True
        self.call_later(SYNC, lambda: self._finish_step(actions))

    def _finish_step(self, actions: list[msgspec.Struct]) -> None:
        self._is_stepping = False
        for action in actions:
            match action:
                case Reply(id=call, answer=answer):
                    self._calls_by_id.pop(call, lambda answer: None)(answer)
                case OrderStart() | OrderStop() | Poll():
                    self._order(action)
                case LogEvent():
                    self._noted(action)
        if self._inbox:
            self.call_later(0.0, self._step)

    def _noted(self, log_event: LogEvent) -> None:
        if log_event.event is Event.JOB_ENDED and log_event.fields["state"] == "done":
            self.jobs_by_id[JobId(str(log_event.fields["job"]))].done_at = self.now
        elif log_event.event is Event.RUN_STOPPED:
            self._count_stop(str(log_event.fields["reason"]), str(log_event.fields["task"]))
        elif log_event.event is Event.START_ANSWERED and log_event.fields["result"] != "accepted":
            self.figures.refused += 1

    def _count_stop(self, reason: str, task: str) -> None:
        """Count a stop by its reason and, if it made room, by whose and for whom."""
        cause, _, job = reason.partition(" for ")
        if job:
            victim = self.jobs_by_id[JobId(task.partition(".")[0])].arrival.kind.name
            cause = f"{cause}: {victim} for {self.jobs_by_id[JobId(job)].arrival.kind.name}"
        self.reasons[cause] += 1

    def _ask(self, call: msgspec.Struct, take: Callable[[Answer], None]) -> None:
        number = CallId(next(self._call_numbers))
        self._calls_by_id[number] = take
        self._post(CallReceived(number, call))  # type: ignore[arg-type]

    def freeze(self, seconds: float) -> None:
        """Have the leader stand still."""
        self.frozen_until = self.now + seconds

    # Callers.

    def submit(self, arrival: Arrival) -> None:
        """Submit a job now."""
        job = self.jobs_by_id[arrival.job] = Job(arrival, self.now)

        def take(answer: Answer) -> None:
            job.accepted_at = self.now

        path = f"/{arrival.kind.name}/{arrival.job}"
        self._ask(Submit(HOST, path, KEY.format(arrival.workspace), arrival.work), take)

    def _step_of(self, task: TaskRef) -> Step:
        return self.jobs_by_id[task.job].arrival.work.steps[task.step]

    def _duration_of(self, task: TaskRef) -> float:
        return self.jobs_by_id[task.job].arrival.durations[task.step][task.member]

    # Workers.

    def _beat(self, worker: Worker) -> None:
        self.call_later(HEARTBEAT, lambda: self._beat(worker))
        if worker.is_up and worker.name not in self.cut:
            self._ask(Announce(worker.heartbeat()), lambda answer: None)

    def drain(self, worker: Worker, seconds: float) -> None:
        """Have a worker leave after a while."""
        worker.availability = Availability.DRAINING
        worker.remaining = seconds
        self._ask(Announce(worker.heartbeat()), lambda answer: None)
        self.call_later(seconds, worker.crash)

    def _order(self, order: OrderStart | OrderStop | Poll) -> None:
        worker = self._workers_by_address[order.address]
        wait = order.wait if isinstance(order, Poll) else 0.0
        state = {"answered": False}

        def answer(result: msgspec.Struct) -> None:
            if not state["answered"] and worker.name not in self.cut:
                state["answered"] = True
                self.call_later(HOP, lambda: self._post(result))  # type: ignore[arg-type]

        def give_up() -> None:
            if not state["answered"]:
                state["answered"] = True
                self._post(no_answer_to(order))

        self.call_later(wait + ORDER_LIMIT, give_up)
        if worker.name not in self.cut:
            self.call_later(HOP, lambda: self._carry_out(worker, order, answer))

    def _carry_out(
        self,
        worker: Worker,
        order: OrderStart | OrderStop | Poll,
        answer: Callable[[msgspec.Struct], None],
    ) -> None:
        if not worker.is_up:
            return
        match order:
            case OrderStart():
                answer(worker.start(order))
            case OrderStop():
                self.figures.stops += 1
                answer(worker.stop(order))
            case Poll():
                worker.poll(order, answer)

    # What workers do.

    def run_started(self, worker: Worker, order: OrderStart) -> None:
        """Count a start."""
        self.figures.starts += 1
        job = self.jobs_by_id[order.task.job]
        job.started_at = job.started_at if job.started_at is not None else self.now

    def run_ended(self, worker: Worker, run: LiveRun, outcome: Outcome) -> None:
        """Count an end, and its work by whether it was of use."""
        self.figures.ends += 1
        cores = weight_of(run.step.needs)
        spent = cores * max(0.0, self.now - run.accepted_at)
        if outcome is Outcome.DONE:
            self.figures.worked += spent
            return
        kept = 0.0
        if run.step.is_checkpointable and run.started_at <= self.now:
            kept = max(
                0.0,
                float(run.latest_checkpoint(self.now).partition(":")[2] or 0.0)
                - run.resumed_progress,
            )
        self.figures.wasted += max(0.0, spent - cores * kept * run.slowdown)

    def end_acknowledged(self, worker: Worker, row: ListedEnd) -> None:
        """Take no note of it."""
