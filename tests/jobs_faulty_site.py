"""A simulated data centre whose messages are lost, delayed or repeated, and whose lease moves."""

import random

import msgspec

from bench.policy_baselines import with_service
from bench.policy_platform import Behaviour, History
from bench.policy_site import build_platform
from bulrushhollow_core.ids import DataCentreId, Epoch, JobId, LogIndex, Seconds
from bulrushhollow_core.jobs import (
    CancelJob,
    JobCommand,
    JobLedger,
    JobRecord,
    ProposeCommand,
    Scheduler,
    SchedulerAction,
    SubmitJob,
)
from bulrushhollow_core.models import Configuration, Profile, Service
from bulrushhollow_core.platform import PlatformAnswer, PlatformCall

NORTH = DataCentreId("north")
LEASE_LEFT = Seconds(4.0)
"""Seconds for which each call assumes that the lease lasts."""


class Holder:
    """
    An instance that holds the lease, or has not yet noticed that it lost it.

    :ivar next_record: index of the first applied record that its scheduler has not processed.
    :ivar calls: calls to the platform that have not arrived.
    :ivar answers: answers of the platform that have not arrived.
    """

    def __init__(self, site: "FaultySite", epoch: Epoch) -> None:
        self.epoch = epoch
        self.next_record = 0
        self.scheduler = Scheduler(NORTH, random.Random(epoch))
        self.scheduler.configure(site.configuration, site.now)
        self.scheduler.activate(epoch, site.now)
        self.scheduler.jobs_changed(site.ledger.live_records(NORTH), site.now)
        self.next_record = len(site.applied_records)
        self.calls: list[PlatformCall] = []
        self.answers: list[PlatformAnswer] = []


class FaultySite:
    """
    The log, the platform and the lease holders of one data centre. Tests deliver the messages
    between them one by one, in any order.

    :ivar applied_records: records that commands of the log have produced, in the order of the log.
    :ivar holders: active holders; only the last one still holds the lease.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.now = Seconds(0.0)
        self.ledger = JobLedger()
        self.applied_records: list[JobRecord] = []
        self.proposals: list[JobCommand] = []
        self.behaviours: dict[JobId, Behaviour] = {}
        self.history = History()
        self.platform = build_platform(
            configuration, NORTH, lambda job: self.behaviours[job], self.history
        )
        self.out_since: Seconds | None = None
        self.holders = [Holder(self, Epoch(1))]

    @property
    def holder(self) -> Holder:
        return self.holders[-1]

    def submit(self, job: JobId, profile: Profile, behaviour: Behaviour) -> None:
        self.behaviours[job] = behaviour
        self.commit(SubmitJob(job, profile, NORTH))

    def cancel(self, job: JobId) -> None:
        self.commit(CancelJob(job))

    def set_service(self, service: Service) -> None:
        self.configuration = with_service(self.configuration, NORTH, service)
        self.out_since = self.now if service is Service.OUT else None
        for holder in self.holders:
            self.collect_proposals(holder.scheduler.configure(self.configuration, self.now))

    def add_holder(self) -> None:
        """Activate a holder with the next epoch; the former one is still active."""
        self.holders.append(Holder(self, Epoch(self.holder.epoch + 1)))

    def deactivate_former(self) -> None:
        """Deactivate all holders but the current one."""
        for holder in self.holders[:-1]:
            holder.scheduler.deactivate()
        self.holders = self.holders[-1:]

    def commit(self, command: JobCommand) -> None:
        outcome = self.ledger.apply(LogIndex(len(self.applied_records) + 1), command)
        if isinstance(outcome, JobRecord):
            self.applied_records.append(outcome)

    def collect_proposals(self, actions: list[SchedulerAction]) -> None:
        self.proposals += [a.command for a in actions if isinstance(a, ProposeCommand)]

    def deliver_log(self, holder: Holder) -> None:
        for record in self.applied_records[holder.next_record :]:
            self.collect_proposals(holder.scheduler.job_changed(record, self.now))
        holder.next_record = len(self.applied_records)

    def send_call(self, holder: Holder) -> None:
        holder.calls.append(holder.scheduler.next_call(holder.epoch, LEASE_LEFT, self.now))

    def receive_call(self, holder: Holder, number: int, repeat: bool = False) -> None:
        call = holder.calls[number] if repeat else holder.calls.pop(number)
        decoded = msgspec.json.decode(msgspec.json.encode(call), type=PlatformCall)
        holder.answers.append(self.platform.call(decoded, self.now))

    def receive_answer(self, holder: Holder, number: int, repeat: bool = False) -> None:
        answer = holder.answers[number] if repeat else holder.answers.pop(number)
        self.collect_proposals(holder.scheduler.platform_answered(answer, self.now))

    def pass_time(self, seconds: float) -> None:
        self.now = Seconds(self.now + seconds)
        self.platform.advance(self.now)
        for holder in self.holders:
            self.collect_proposals(holder.scheduler.tick(self.now))

    def run_in_order(self, seconds: float, step: float = 0.5) -> None:
        """Let time pass while all messages are delivered in order."""
        end = self.now + seconds
        while self.now < end:
            self.pass_time(step)
            for holder in self.holders:
                self.send_call(holder)
                while holder.calls:
                    self.receive_call(holder, 0)
                while holder.answers:
                    self.receive_answer(holder, 0)
            self.commit_all()

    def commit_all(self) -> None:
        while self.proposals:
            self.commit(self.proposals.pop(0))
            for holder in self.holders:
                self.deliver_log(holder)
