"""
bulrushhollow_core.node._site
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The components of an instance that manage its own data centre: the lease, the service switch and,
while the instance holds the lease, the scheduler and its calls to the worker platform.
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
"""Seconds between two calls to the platform while the data centre has no jobs."""

CALL_VALIDITY = Seconds(START_DELAY_LIMIT / 2)
"""
Maximum seconds that a call to the platform may be in transit, and maximum seconds that a task may
then wait on the platform for its start. The sum of both limits how long a data centre may still
start tasks that were ordered before it began to hold its jobs.
"""

URGENT_INTERVAL = Seconds(0.02)
"""Seconds between two calls to the platform while a call is urgent."""


class _InFlightCall(msgspec.Struct, frozen=True):
    """The call to the platform that is not answered yet."""

    epoch: Epoch
    sent_at: Seconds


class _PlatformClock(msgspec.Struct, frozen=True):
    """
    A reading of the platform's clock.

    :param received_at: reading of this process's clock when the answer arrived; the platform's
        clock had reached ``clock`` by then.
    """

    clock: float
    received_at: Seconds

    def reading_at(self, time: Seconds) -> float:
        """Return a lower bound of the platform's clock at a reading of this process's clock."""
        return self.clock + (time - self.received_at)


class Site:
    """
    Lease, service switch and scheduler of one data centre.

    :param witness: this instance's own witness, used while the instance leads the log.
    :param ledger: the configuration as this instance has applied it.
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
        self._in_flight_call: _InFlightCall | None = None
        self._platform_clock: _PlatformClock | None = None
        self._last_call_at = now

    def update_lease(self, jobs: JobLedger, now: Seconds) -> list[msgspec.Struct]:
        """
        Start the scheduler when this instance gets the lease; stop it when the lease is lost. A
        lease with an epoch below one in the log is given up: the log refuses its commands.
        """
        self.authority.raise_epoch_floor(jobs.highest_epoch(self.data_centre), now)
        held = self.authority.held_lease(now)
        epoch = None if held is None else held.epoch
        if epoch == self._epoch:
            return []
        self._epoch = epoch
        self._platform_clock = None
        self.scheduler.deactivate()
        if epoch is None:
            return []
        actions: list[msgspec.Struct] = [*self.scheduler.activate(epoch, now)]
        return actions + [*self.scheduler.jobs_changed(jobs.live_records(self.data_centre), now)]

    def update_switch(self, caught_up_age: Seconds) -> None:
        """Allow the scheduler to start jobs only while the service switch allows it."""
        service = self.switch.service_in_force(caught_up_age)
        self.scheduler.permit_starts(service is ServiceInForce.IN)

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Run the periodic work of the scheduler, and call the platform when a call is due."""
        held = self.authority.held_lease(now)
        if held is None or held.epoch != self._epoch:
            return []
        return [*self.scheduler.tick(now), *self._call(held, now)]

    def platform_answered(
        self, answer: PlatformAnswer | None, now: Seconds
    ) -> list[msgspec.Struct]:
        """
        Handle the end of the call that is in flight.

        :param answer: None if the call failed or timed out.
        """
        call, self._in_flight_call = self._in_flight_call, None
        if answer is None or call is None or call.epoch != self._epoch:
            return []
        self._platform_clock = _PlatformClock(answer.clock, now)
        if answer.late:
            return []
        return [*self.scheduler.platform_answered(answer, now)]

    def job_changed(self, record: JobRecord, now: Seconds) -> list[msgspec.Struct]:
        """Handle the new state of a job that a log entry changed."""
        return [*self.scheduler.job_changed(record, now)]

    def command_refused(
        self, command: Command, refusal: Refusal, now: Seconds
    ) -> list[msgspec.Struct]:
        """Handle the refusal of a command of the scheduler by the ledger."""
        assert isinstance(command, JobCommand)
        return [*self.scheduler.command_refused(command, refusal, now)]

    def configure(self, configuration: Configuration, now: Seconds) -> list[msgspec.Struct]:
        """Apply a configuration."""
        return [*self.scheduler.configure(configuration, now)]

    def load_report(self, now: Seconds) -> LoadReport | None:
        """Return the load to send to the other instances; None without the lease."""
        if self._epoch is None:
            return None
        return LoadReport(self.scheduler.load(now), self._epoch, self.scheduler.worker_count)

    def _call(self, held: HeldLease, now: Seconds) -> list[CallPlatform]:
        if not self._has_platform or self._in_flight_call is not None:
            return []
        since_last_call = now - self._last_call_at
        is_urgent = self.scheduler.is_call_urgent and since_last_call >= URGENT_INTERVAL
        interval = SYNC_INTERVAL if self.scheduler.has_work else IDLE_SYNC_INTERVAL
        if since_last_call < interval and not is_urgent:
            return []
        self._last_call_at = now
        self._in_flight_call = _InFlightCall(held.epoch, now)
        return [CallPlatform(self._next_call(held, now))]

    def _next_call(self, held: HeldLease, now: Seconds) -> PlatformCall:
        """Return the next call; it carries no orders until the platform's clock is known."""
        if self._platform_clock is None:
            return PlatformCall(held.epoch)
        valid_until = Seconds(min(held.until, now + CALL_VALIDITY))
        call = self.scheduler.next_call(held.epoch, Seconds(held.until - now), now)
        orders = tuple(map(_limit_start_delay, call.orders))
        return msgspec.structs.replace(
            call, orders=orders, valid_until=self._platform_clock.reading_at(valid_until)
        )


def _limit_start_delay(order: Order) -> Order:
    """Limit the time after receipt of the call within which a task may still start."""
    if not isinstance(order, StartTask):
        return order
    return msgspec.structs.replace(order, not_after=min(order.not_after, CALL_VALIDITY))
