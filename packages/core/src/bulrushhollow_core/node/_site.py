"""
bulrushhollow_core.node._site
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This instance's part in its own data centre: the lease, the service switch and, while it holds the
lease, the scheduler and its calls to the worker platform.
"""

import random

import msgspec

from bulrushhollow_core.authority import (
    START_DELAY_LIMIT,
    Authority,
    HeldLease,
    ServiceInForce,
    ServiceSwitch,
    Witness,
)
from bulrushhollow_core.configuration import ConfigurationLedger
from bulrushhollow_core.ids import Epoch, Seconds
from bulrushhollow_core.jobs import (
    SYNC_INTERVAL,
    JobCommand,
    JobLedger,
    JobRecord,
    Scheduler,
)
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.node._actions import CallPlatform
from bulrushhollow_core.node._commands import Command
from bulrushhollow_core.node._messages import LoadReport
from bulrushhollow_core.node._views import Identity
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_core.platform import Order, PlatformAnswer, PlatformCall, StartTask

IDLE_SYNC_INTERVAL = Seconds(2.0)
"""Seconds between two calls to the platform while the data centre has no job."""

CALL_LIMIT = Seconds(START_DELAY_LIMIT / 2)
"""Seconds for which a call to the platform may be on its way, and again for which a task may wait
for its start there; together the time that a hold allows for a start that was ordered before."""

URGENT_INTERVAL = Seconds(0.02)
"""Seconds between two calls to the platform when something is pressing."""


class _Outstanding(msgspec.Struct, frozen=True):
    """The call to the platform that is not answered yet."""

    epoch: Epoch
    sent_at: Seconds


class _PlatformClock(msgspec.Struct, frozen=True):
    """
    A reading of the platform's clock.

    :param heard_at: reading of this process's clock when the answer had arrived; the platform's
        clock had shown ``clock`` by then.
    """

    clock: float
    heard_at: Seconds

    def at(self, time: Seconds) -> float:
        """Return a reading that the platform's clock surely shows by a time of this clock."""
        return self.clock + (time - self.heard_at)


class Site:
    """
    Lease, switch and scheduler of one data centre.

    :param witness: this instance's own witness, asked while it leads the log.
    :param ledger: the configuration as this instance applies it.
    """

    def __init__(
        self,
        identity: Identity,
        witness: Witness,
        ledger: ConfigurationLedger,
        rng: random.Random,
        now: Seconds,
    ) -> None:
        data_centre = identity.data_centre
        members = identity.members_of(data_centre)
        self.data_centre = data_centre
        self.switch = ServiceSwitch(identity.name, data_centre, members, ledger)
        self.authority = Authority(
            identity.me, data_centre, members, rng, now, switch=self.switch, witness=witness
        )
        self.scheduler = Scheduler(data_centre, rng)
        self._has_platform = identity.has_platform
        self._epoch: Epoch | None = None
        self._outstanding: _Outstanding | None = None
        self._clock: _PlatformClock | None = None
        self._call_at = now

    def follow_lease(self, jobs: JobLedger, now: Seconds) -> list[msgspec.Struct]:
        """Start or stop deciding as the lease comes and goes."""
        held = self.authority.held_lease(now)
        epoch = None if held is None else held.epoch
        if epoch == self._epoch:
            return []
        self._epoch = epoch
        self._clock = None
        self.scheduler.deactivate()
        if epoch is None:
            return []
        actions: list[msgspec.Struct] = [*self.scheduler.activate(epoch, now)]
        return actions + [*self.scheduler.jobs_changed(jobs.live_records(self.data_centre), now)]

    def follow_switch(self, caught_up_age: Seconds) -> None:
        """Allow starts only while the service switch does."""
        service = self.switch.service_in_force(caught_up_age)
        self.scheduler.permit_starts(service is ServiceInForce.IN)

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Let time pass for the scheduler, and call the platform when that is due."""
        held = self.authority.held_lease(now)
        if held is None or held.epoch != self._epoch:
            return []
        return [*self.scheduler.tick(now), *self._call(held, now)]

    def platform_answered(
        self, answer: PlatformAnswer | None, now: Seconds
    ) -> list[msgspec.Struct]:
        """Take in the end of the outstanding call; None if there was no answer."""
        outstanding, self._outstanding = self._outstanding, None
        if answer is None or outstanding is None or outstanding.epoch != self._epoch:
            return []
        self._clock = _PlatformClock(answer.clock, now)
        if answer.late:
            return []
        return [*self.scheduler.platform_answered(answer, now)]

    def job_changed(self, record: JobRecord, now: Seconds) -> list[msgspec.Struct]:
        """Take in what a log entry made of a job."""
        return [*self.scheduler.job_changed(record, now)]

    def command_refused(
        self, command: Command, refusal: Refusal, now: Seconds
    ) -> list[msgspec.Struct]:
        """Take in that the log refused a command of the scheduler."""
        assert isinstance(command, JobCommand)
        return [*self.scheduler.command_refused(command, refusal, now)]

    def configure(self, configuration: Configuration, now: Seconds) -> list[msgspec.Struct]:
        """Take over a configuration."""
        return [*self.scheduler.configure(configuration, now)]

    def report(self, now: Seconds) -> LoadReport | None:
        """Return the load to tell the other instances; None unless this one decides."""
        if self._epoch is None:
            return None
        return LoadReport(self.scheduler.load(now), self._epoch, self.scheduler.worker_count)

    def _call(self, held: HeldLease, now: Seconds) -> list[CallPlatform]:
        if not self._has_platform or self._outstanding is not None:
            return []
        since_last = now - self._call_at
        pressing = self.scheduler.is_call_urgent and since_last >= URGENT_INTERVAL
        interval = SYNC_INTERVAL if self.scheduler.has_work else IDLE_SYNC_INTERVAL
        if since_last < interval and not pressing:
            return []
        self._call_at = now
        self._outstanding = _Outstanding(held.epoch, now)
        return [CallPlatform(self._next_call(held, now))]

    def _next_call(self, held: HeldLease, now: Seconds) -> PlatformCall:
        """Return the next call; before the platform's clock is known it carries no orders."""
        if self._clock is None:
            return PlatformCall(held.epoch)
        until = Seconds(min(held.until, now + CALL_LIMIT))
        call = self.scheduler.next_call(held.epoch, Seconds(held.until - now), now)
        orders = tuple(map(_started_soon, call.orders))
        return msgspec.structs.replace(call, orders=orders, valid_until=self._clock.at(until))


def _started_soon(order: Order) -> Order:
    """Bound how long after the receipt of the call a task may still start."""
    if not isinstance(order, StartTask):
        return order
    return msgspec.structs.replace(order, not_after=min(order.not_after, CALL_LIMIT))
