"""
bench.domain_site
~~~~~~~~~~~~~~~~~

One leader of a scheduling domain and its workers in virtual time. Jobs go through the whole node:
log, state, scheduler and orders. Only the disk, the network and the workers are simulated.
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
    no_answer_to,
)
from bulrushhollow_core.ids import InstanceId, JobId, Seconds, Version, WorkspaceId
from standins.domain_workers import LiveRun, Worker, WorkerPool
from standins.virtual_time import VirtualTime

TICK_INTERVAL = 0.05
"""Longest time in seconds between two steps of the leader."""

SYNC_DELAY = 0.007
"""Seconds until the results of a step are on disk and are sent."""

MESSAGE_DELAY = 0.001
"""Network delay of one message in seconds."""

ORDER_TIMEOUT = 0.5
"""Seconds without an answer after which an order fails."""

HEARTBEAT_INTERVAL = 1.5
"""Seconds between two announcements of one worker."""

LONGEST_LEASE = Seconds(6.0)

WORKERS_PER_RACK = 12
"""Workers in each rack."""

SLOWNESS_FACTORS = (1.0, 1.0, 1.3)
"""Factors on the run time of tasks, assigned to the workers in turn."""

LEADER_ID = InstanceId("10.0.0.1:1.00000001")
HOST = "jobs.example"
API_KEY_FORMAT = "k{}"


class Job(msgspec.Struct):
    """
    A submitted job and its times; a time is None while the step has not been reached.

    :param accepted_at: time of the answer to the submission.
    :param started_at: time of the first start of a run.
    :param done_at: time at which the leader logged the end as done.
    """

    arrival: Arrival
    submitted_at: float
    accepted_at: float | None = None
    started_at: float | None = None
    done_at: float | None = None


class Preemption(msgspec.Struct, frozen=True):
    """
    The stop of a run that makes room for a job.

    :param task: task whose run was stopped.
    :param beneficiary: job that the room is for.
    """

    at: float
    task: str
    beneficiary: JobId


class RunTotals(msgspec.Struct):
    """
    Counters of one run.

    :param wasted_core_seconds: weighted core-seconds of runs that ended otherwise than as done,
        without the work that a checkpoint saved.
    :param done_core_seconds: weighted core-seconds of runs that ended as done.
    :param node_cpu_seconds: processor time of the node in seconds.
    """

    wasted_core_seconds: float = 0.0
    done_core_seconds: float = 0.0
    node_cpu_seconds: float = 0.0
    starts: int = 0
    stops: int = 0
    ends: int = 0
    refused_starts: int = 0


def weighted_cores(needs: Resources) -> float:
    """Return the cores of a task, with each accelerator counted as eight cores."""
    return needs.cpu / 1000 + 8 * needs.accelerators


class DomainSite(VirtualTime):
    """
    A leader and its workers.

    :param workers: number of workers.
    :param workspaces: number of workspaces.
    :param guaranteed_accelerators: guaranteed accelerators of each workspace.
    """

    def __init__(
        self, seed: int, workers: int, workspaces: int, guaranteed_accelerators: int
    ) -> None:
        """Start idle workers and a leader, and put a configuration in force."""
        super().__init__()
        self.rng = random.Random(seed)
        self.totals = RunTotals()
        self.jobs_by_id: dict[JobId, Job] = {}
        self.stops_by_cause: Counter[str] = Counter()
        self.preemptions: list[Preemption] = []
        self.placed_at_by_job: dict[JobId, list[float]] = {}
        self.disconnected: set[str] = set()
        self._call_numbers = itertools.count()
        self._calls_by_id: dict[CallId, Callable[[Answer], None]] = {}
        self._inbox: list[Input] = []
        self._is_stepping = False
        self.frozen_until = 0.0
        settings = DomainSettings(
            longest_lease=LONGEST_LEASE,
            heartbeat_interval=Seconds(HEARTBEAT_INTERVAL),
            voter_count=1,
        )
        self.node = DomainNode(LEADER_ID, Restorer().restored(), settings, self.rng, Seconds(0.0))
        self.worker_pool = WorkerPool(self, self, self._step_of, self._duration_of, self.rng, 3.0)
        self._workers_by_address: dict[str, Worker] = {}
        self.racks = [f"r{number}" for number in range(-(-workers // WORKERS_PER_RACK))]
        for number in range(workers):
            self._add_worker(number)
        self.node.bootstrap(Seconds(0.0))
        self.call_later(0.0, self._tick)
        self.run(4.0)
        self._configure(workspaces, guaranteed_accelerators)
        self.run(2.0)

    def _add_worker(self, number: int) -> None:
        rack = self.racks[number // WORKERS_PER_RACK]
        slowness = SLOWNESS_FACTORS[number % len(SLOWNESS_FACTORS)]
        capacity = Resources(64_000, 256_000, 8)
        worker = Worker(
            self.worker_pool, f"w{number}", f"dc{number % 4}", rack, capacity, 1, slowness
        )
        self._workers_by_address[worker.address] = worker
        self.call_later(
            self.rng.uniform(0, HEARTBEAT_INTERVAL), lambda: self._send_heartbeat(worker)
        )

    def _configure(self, workspaces: int, guaranteed_accelerators: int) -> None:
        queues = tuple(
            Queue(
                QueueName(kind.name),
                HOST,
                f"/{kind.name}/",
                ServiceName("svc"),
                kind.urgency,
                kind.max_attempts,
                kind.slack,
                Seconds(kind.allowance),
                Seconds(3.0),
                False,
            )
            for kind in KINDS
        )
        workspace_configs = tuple(
            Workspace(
                WorkspaceId(f"t{number}"), (API_KEY_FORMAT.format(number),), guaranteed_accelerators
            )
            for number in range(workspaces)
        )
        services = (Service(ServiceName("svc"), True),)
        self._send_call(
            PutConfig(
                Configuration(Version(1), queues, services, workspace_configs, CallLimits(), b"1")
            ),
            lambda answer: None,
        )

    # The leader.

    def _tick(self) -> None:
        self._step()
        self.call_later(TICK_INTERVAL, self._tick)

    def _post(self, event: Input) -> None:
        self._inbox.append(event)
        if not self._is_stepping:
            self.call_later(0.0, self._step)

    def _step(self) -> None:
        if self._is_stepping or self.now < self.frozen_until:
            return
        batch, self._inbox = self._inbox, []
        cpu_before = time.process_time()
        actions = self.node.step(batch, Seconds(self.now), WallTime(1e6 + self.now))
        self.totals.node_cpu_seconds += time.process_time() - cpu_before
        if not actions:
            return
        self._is_stepping = True
        self.call_later(SYNC_DELAY, lambda: self._finish_step(actions))

    def _finish_step(self, actions: list[msgspec.Struct]) -> None:
        self._is_stepping = False
        for action in actions:
            match action:
                case Reply(id=call, answer=answer):
                    self._calls_by_id.pop(call, lambda answer: None)(answer)
                case OrderStart() | OrderStop() | Poll():
                    self._send_order(action)
                case LogEvent():
                    self._record_event(action)
        if self._inbox:
            self.call_later(0.0, self._step)

    def _record_event(self, log_event: LogEvent) -> None:
        if log_event.event is Event.JOB_ENDED and log_event.fields["state"] == "done":
            self.jobs_by_id[JobId(str(log_event.fields["job"]))].done_at = self.now
        elif log_event.event is Event.RUN_STOPPED:
            self._count_stop(str(log_event.fields["reason"]), str(log_event.fields["task"]))
        elif log_event.event is Event.STEP_PLACED:
            job = JobId(str(log_event.fields["job"]))
            self.placed_at_by_job.setdefault(job, []).append(self.now)
        elif log_event.event is Event.START_ANSWERED and log_event.fields["result"] != "accepted":
            self.totals.refused_starts += 1

    def _count_stop(self, reason: str, task: str) -> None:
        """
        Count a stop by its reason.

        A preemption is counted by the kinds of its victim and of the job that gets the room.
        """
        cause, _, job = reason.partition(" for ")
        if job:
            victim = self.jobs_by_id[JobId(task.partition(".")[0])].arrival.kind.name
            cause = f"{cause}: {victim} for {self.jobs_by_id[JobId(job)].arrival.kind.name}"
            self.preemptions.append(Preemption(self.now, task, JobId(job)))
        self.stops_by_cause[cause] += 1

    def _send_call(self, call: msgspec.Struct, on_answer: Callable[[Answer], None]) -> None:
        number = CallId(next(self._call_numbers))
        self._calls_by_id[number] = on_answer
        self._post(CallReceived(number, call))  # type: ignore[arg-type]

    def freeze(self, seconds: float) -> None:
        """Pause the leader for some seconds."""
        self.frozen_until = self.now + seconds

    # Callers.

    def submit(self, arrival: Arrival) -> None:
        """Submit a job and record the time of the answer."""
        job = self.jobs_by_id[arrival.job] = Job(arrival, self.now)

        def on_answer(answer: Answer) -> None:
            job.accepted_at = self.now

        path = f"/{arrival.kind.name}/{arrival.job}"
        self._send_call(
            Submit(HOST, path, API_KEY_FORMAT.format(arrival.workspace), arrival.work), on_answer
        )

    def _step_of(self, task: TaskRef) -> Step:
        return self.jobs_by_id[task.job].arrival.work.steps[task.step]

    def _duration_of(self, task: TaskRef) -> float:
        return self.jobs_by_id[task.job].arrival.durations[task.step][task.member]

    # Workers.

    def _send_heartbeat(self, worker: Worker) -> None:
        self.call_later(HEARTBEAT_INTERVAL, lambda: self._send_heartbeat(worker))
        if worker.is_up and worker.name not in self.disconnected:
            self._send_call(Announce(worker.heartbeat()), lambda answer: None)

    def drain(self, worker: Worker, seconds: float) -> None:
        """Announce that a worker drains, and stop it after some seconds."""
        worker.availability = Availability.DRAINING
        worker.remaining = seconds
        self._send_call(Announce(worker.heartbeat()), lambda answer: None)
        self.call_later(seconds, worker.crash)

    def _send_order(self, order: OrderStart | OrderStop | Poll) -> None:
        worker = self._workers_by_address[order.address]
        poll_wait = order.wait if isinstance(order, Poll) else 0.0
        state = {"answered": False}

        def answer(result: msgspec.Struct) -> None:
            if not state["answered"] and worker.name not in self.disconnected:
                state["answered"] = True
                self.call_later(MESSAGE_DELAY, lambda: self._post(result))  # type: ignore[arg-type]

        def give_up() -> None:
            if not state["answered"]:
                state["answered"] = True
                self._post(no_answer_to(order))

        self.call_later(poll_wait + ORDER_TIMEOUT, give_up)
        if worker.name not in self.disconnected:
            self.call_later(MESSAGE_DELAY, lambda: self._carry_out(worker, order, answer))

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
                self.totals.stops += 1
                answer(worker.stop(order))
            case Poll():
                worker.poll(order, answer)

    # Events of the workers.

    def run_started(self, worker: Worker, order: OrderStart) -> None:
        """Count a start and record the first one of its job."""
        self.totals.starts += 1
        job = self.jobs_by_id[order.task.job]
        job.started_at = job.started_at if job.started_at is not None else self.now

    def run_ended(self, worker: Worker, run: LiveRun, outcome: Outcome) -> None:
        """Count an end, and add its work to the done or the wasted core-seconds."""
        self.totals.ends += 1
        cores = weighted_cores(run.step.needs)
        core_seconds = cores * max(0.0, self.now - run.accepted_at)
        if outcome is Outcome.DONE:
            self.totals.done_core_seconds += core_seconds
            return
        saved_seconds = 0.0
        if run.step.is_checkpointable and run.started_at <= self.now:
            saved_seconds = max(
                0.0,
                float(run.latest_checkpoint(self.now).partition(":")[2] or 0.0)
                - run.resumed_progress,
            )
        self.totals.wasted_core_seconds += max(
            0.0, core_seconds - cores * saved_seconds * run.slowdown
        )

    def end_acknowledged(self, worker: Worker, row: ListedEnd) -> None:
        """Ignore an acknowledged end."""

    def worker_crashed(self, worker: Worker, cause: TaskRef | None) -> None:
        """Ignore a crash; its runs are counted as they end."""
