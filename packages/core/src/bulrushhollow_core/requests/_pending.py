"""
bulrushhollow_core.requests._pending
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

State that a router keeps for each pending request and for its attempt in flight.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.ids import Attempt, EndpointId, InstanceName, Seconds
from bulrushhollow_core.models import Profile
from bulrushhollow_core.outcomes import Execution, Refusal
from bulrushhollow_core.requests._messages import Arrival, EndpointAnswer
from bulrushhollow_core.requests._queue import QueuedRequest


class Stage(Enum):
    """Stage of a pending request."""

    RESERVING = "reserving"
    QUEUED = "queued"
    BACKING_OFF = "backing_off"
    IN_FLIGHT = "in_flight"


class InFlightAttempt(msgspec.Struct, frozen=True):
    """
    An attempt in flight.

    :param endpoint: the endpoint, or None if the request was forwarded.
    :param slots: slots of the endpoint when the attempt was sent.
    :param instance: the entry instance of another data centre, or None.
    :param presumed_lost_at: time at which it counts as lost if no result has arrived.
    """

    attempt: Attempt
    sent_at: Seconds
    presumed_lost_at: Seconds
    endpoint: EndpointId | None = None
    slots: int = 0
    instance: InstanceName | None = None


class PendingRequest:
    """
    A request that has no final answer yet, or whose last attempt is still in flight.

    :param deadline: time by which it must have its final answer.
    :param weight: weight of its workspace.
    """

    def __init__(
        self, arrival: Arrival, profile: Profile, deadline: Seconds, weight: int, now: Seconds
    ) -> None:
        self.arrival = arrival
        self.profile = profile
        self.deadline = deadline
        self.weight = weight
        self.arrived_at = now
        self.stage = Stage.QUEUED
        self.attempts = 0
        self.retries = 0
        self.tried_endpoints: set[EndpointId] = set()
        self.in_flight: InFlightAttempt | None = None
        self.is_finished = False
        self.may_have_run = False
        self.last_answer: EndpointAnswer | None = None
        self.last_refusal: Refusal | None = None

    def queue_entry(self, cost: Seconds) -> QueuedRequest:
        """Return the entry to put into the queue of its service."""
        return QueuedRequest(
            self.arrival.request_id,
            self.profile.workspace,
            self.profile.urgency,
            self.deadline,
            self.arrival.size,
            self.weight,
            cost,
        )

    @property
    def execution(self) -> Execution:
        """Execution to report if no further result arrives."""
        if self.last_answer is not None:
            return Execution.RAN
        if self.may_have_run or self.in_flight is not None:
            return Execution.UNKNOWN
        return Execution.NOT_RUN
