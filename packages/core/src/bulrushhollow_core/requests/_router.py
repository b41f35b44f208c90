"""
bulrushhollow_core.requests._router
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Router of an entry instance. It admits or refuses each request, queues it, selects an endpoint or a
remote instance, retries it where that is safe, and returns exactly one final answer by its
deadline.
"""

import heapq
import random

import msgspec

from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import (
    Attempt,
    DataCentreId,
    InstanceId,
    RequestId,
    Seconds,
)
from bulrushhollow_core.models import Configuration, Profile, Urgency
from bulrushhollow_core.outcomes import Reason, Refusal
from bulrushhollow_core.requests._admission import (
    MIN_RETRY_AFTER,
    AdmissionController,
    RouterSettings,
)
from bulrushhollow_core.requests._budget import RetryBudget, backoff
from bulrushhollow_core.requests._choice import TargetSelector
from bulrushhollow_core.requests._directory import EndpointDirectory, RemoteInstance
from bulrushhollow_core.requests._estimates import ServiceTimes
from bulrushhollow_core.requests._gossip import ServiceLoad
from bulrushhollow_core.requests._health import MIN_SERVER_ERROR_STATUS, HealthTracker
from bulrushhollow_core.requests._keys import KeyRecord
from bulrushhollow_core.requests._messages import (
    Arrival,
    AttemptEnd,
    AttemptResult,
    Dispatch,
    EndpointAnswer,
    FinishRequest,
    Forward,
    ProposeReservation,
    ProposeSettlement,
    RouterAction,
)
from bulrushhollow_core.requests._outcome import (
    first_outcome,
    refusal_after,
    reservation_command,
    settlement_command,
)
from bulrushhollow_core.requests._pending import InFlightAttempt, PendingRequest, Stage
from bulrushhollow_core.requests._queue import QueuedRequest
from bulrushhollow_core.requests._shares import NO_HOLD, SlotShares
from bulrushhollow_core.requests._status import RouterStatus, ServiceStatus

MAX_ATTEMPTS = 4
"""Maximum number of attempts per request."""

EARLY_TIMEOUT_ABOVE = 8.0
"""
Multiple of a profile's mean service time. An idempotent request that has more time left than this
gets half of its time as the timeout, which leaves time for a retry.
"""

OVERDUE_ABOVE = 3.0
"""Multiple of a profile's mean service time at which an attempt that timed out counts as late."""

RESULT_GRACE = Seconds(5.0)
"""Seconds after its timeout at which an attempt without a result counts as lost."""

MAX_TRACKED_ENDPOINTS = 4096
"""Number of endpoints with health records above which those of absent endpoints are dropped."""

REPORT_INTERVAL = Seconds(0.1)
"""Seconds between two updates of the demand for slots and of the load sent to remote instances."""

KEY_CONFLICT_REASONS = frozenset(
    {Reason.KEY_BODY_DIFFERS, Reason.KEY_IN_PROGRESS, Reason.KEY_OUTCOME_UNKNOWN}
)
"""Reasons for which the log refuses a reservation because another request has used the key."""

Target = Announcement | RemoteInstance


class Router:
    """
    Routes the requests that arrive at one entry instance.

    Usage::

        actions = router.handle_arrival(arrival, now)
        # carry out each Dispatch, then
        actions = router.handle_result(request_id, attempt, result, now)

    :param me: identifier of this incarnation of the instance.
    :param directory: known endpoints and remote instances.
    :param shares: this instance's share of the endpoints' slots.
    """

    def __init__(
        self,
        me: InstanceId,
        data_centre: DataCentreId,
        directory: EndpointDirectory,
        shares: SlotShares,
        rng: random.Random,
        settings: RouterSettings,
        now: Seconds,
    ) -> None:
        self._me = me
        self._directory = directory
        self._shares = shares
        self._rng = rng
        self._configuration = Configuration()
        self._is_draining = False
        self._report_at = now
        self._health = HealthTracker(rng)
        self._times = ServiceTimes()
        self._selector = TargetSelector(directory, shares, self._health, rng)
        self._admission = AdmissionController(
            data_centre, directory, self._selector, self._times, settings
        )
        self._pending_by_id: dict[RequestId, PendingRequest] = {}
        self._budgets_by_service: dict[str, RetryBudget] = {}
        self._deadlines: list[tuple[Seconds, RequestId]] = []
        self._retries: list[tuple[Seconds, RequestId]] = []

    def configure(self, configuration: Configuration, now: Seconds) -> None:
        """Apply the profiles of a newer configuration to new requests; pending ones keep theirs."""
        self._configuration = configuration
        self._times.retain(set(configuration.profiles_by_name))

    def handle_arrival(self, arrival: Arrival, now: Seconds) -> list[RouterAction]:
        """
        Admit or refuse a new request.

        :param arrival: the request; its identifier must not have been used before.
        :return: the refusal, or the actions that reserve its key, queue it or start it.
        """
        if self._is_draining:
            refusal = Refusal(Reason.SHUTTING_DOWN, "this instance is stopping")
            return [FinishRequest(arrival.request_id, refusal)]
        profile = self._admission.find_profile(arrival, self._configuration)
        if isinstance(profile, Refusal):
            return [FinishRequest(arrival.request_id, profile)]
        workspace = self._configuration.workspaces_by_id.get(profile.workspace)
        weight = 1 if workspace is None else max(1, workspace.weight)
        deadline = Seconds(min(arrival.deadline, now + profile.deadline))
        pending = PendingRequest(arrival, profile, deadline, weight, now)
        admitted = self._admission.admit(pending, now)
        if isinstance(admitted, Refusal):
            return [FinishRequest(arrival.request_id, admitted)]
        self._pending_by_id[arrival.request_id] = pending
        heapq.heappush(self._deadlines, (deadline, arrival.request_id))
        actions = [action for evicted in admitted for action in self._evict(evicted, now)]
        if arrival.key is None:
            return actions + self._enqueue(pending, now)
        pending.stage = Stage.RESERVING
        return [
            *actions,
            ProposeReservation(arrival.request_id, reservation_command(pending, self._me)),
        ]

    def handle_reservation(
        self, request_id: RequestId, result: KeyRecord | Refusal, now: Seconds
    ) -> list[RouterAction]:
        """Process the result of a :class:`ProposeReservation`."""
        pending = self._pending_by_id.get(request_id)
        if pending is None or pending.stage is not Stage.RESERVING:
            return []
        if isinstance(result, KeyRecord) and result.outcome is None:
            return self._enqueue(pending, now)
        if isinstance(result, Refusal) and result.reason not in KEY_CONFLICT_REASONS:
            return self._finish(pending, result)
        outcome = result if isinstance(result, Refusal) else first_outcome(result)
        del self._pending_by_id[request_id]
        return [FinishRequest(request_id, outcome)]

    def handle_result(
        self, request_id: RequestId, attempt: Attempt, result: AttemptResult, now: Seconds
    ) -> list[RouterAction]:
        """Process the result of an attempt; a result that is out of date is ignored."""
        pending = self._pending_by_id.get(request_id)
        if pending is None or pending.in_flight is None or pending.in_flight.attempt != attempt:
            return []
        in_flight = pending.in_flight
        pending.in_flight = None
        self._record_attempt_end(pending, in_flight, result, now)
        if result.end is AttemptEnd.LOST:
            pending.may_have_run = True
        elif result.end is AttemptEnd.WHOLE:
            pending.last_answer = EndpointAnswer(result.status, attempt)
        actions = self._finish_or_retry(pending, in_flight, result, now)
        return actions + self._start_queued(pending.profile.service, now)

    def cancel(self, request_id: RequestId, now: Seconds) -> list[RouterAction]:
        """Finish a request whose caller has disconnected; an attempt in flight is not aborted."""
        pending = self._pending_by_id.get(request_id)
        if pending is None or pending.is_finished:
            return []
        refusal = Refusal(Reason.CALLER_GONE, "the caller went away", pending.execution)
        return self._finish(pending, refusal)

    def tick(self, now: Seconds) -> list[RouterAction]:
        """Process due deadlines and retries, and start queued requests on free slots."""
        actions: list[RouterAction] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            actions += self._expire(request_id, now)
        while self._retries and self._retries[0][0] <= now:
            _, request_id = heapq.heappop(self._retries)
            pending = self._pending_by_id.get(request_id)
            if pending is not None and pending.stage is Stage.BACKING_OFF:
                actions += self._enqueue(pending, now)
        actions += self._expire_unreported_attempts(now)
        for service in self._admission.services:
            actions += self._start_queued(service, now)
        if now >= self._report_at:
            self._report_at = Seconds(now + REPORT_INTERVAL)
            self._report_load(now)
        return actions

    def drain(self, now: Seconds) -> None:
        """Refuse new requests from now on; pending requests run to their end."""
        self._is_draining = True

    def is_idle(self) -> bool:
        """Return whether no request is queued or in flight."""
        return not self._pending_by_id

    def status(self, now: Seconds) -> RouterStatus:
        """Return the router's status for operators and metrics."""
        services = sorted(self._admission.services)
        return RouterStatus(
            queued=sum(len(self._admission.queue(service)) for service in services),
            in_flight=sum(
                pending.in_flight is not None for pending in self._pending_by_id.values()
            ),
            services=tuple(
                ServiceStatus(
                    service,
                    len(self._admission.queue(service)),
                    self._selector.capacity(service, now),
                    self._selector.free_slots(service, now),
                )
                for service in services
            ),
            endpoints=tuple(
                msgspec.structs.replace(
                    endpoint,
                    slots_used=self._shares.slots_in_use(endpoint.id),
                    ejected=self._health.get(endpoint.id).is_ejected(now),
                )
                for endpoint in self._directory.status(now)
            ),
        )

    def _enqueue(self, pending: PendingRequest, now: Seconds) -> list[RouterAction]:
        pending.stage = Stage.QUEUED
        service = pending.profile.service
        cost = self._times.expected(pending.profile.name)
        self._admission.queue(service).push(pending.queue_entry(cost))
        return self._start_queued(service, now)

    def _start_queued(self, service: str, now: Seconds) -> list[RouterAction]:
        """Start queued requests while a free slot or a remote instance can take them."""
        actions: list[RouterAction] = []
        queue = self._admission.queue(service)
        target: Target | None = None

        def accepts(queued: QueuedRequest) -> bool:
            nonlocal target
            target = self._select_target(self._pending_by_id[queued.request_id], now)
            return target is not None

        while len(queue):
            queued = queue.pop(accepts)
            if queued is None or target is None:
                break
            actions += self._start(self._pending_by_id[queued.request_id], target, now)
        return actions

    def _select_target(self, pending: PendingRequest, now: Seconds) -> Target | None:
        endpoint = self._selector.select_endpoint(pending, now)
        if endpoint is not None:
            return endpoint
        queue_wait = self._admission.queue_wait(pending.profile.service, now)
        return self._selector.select_remote(pending, queue_wait, now)

    def _start(self, pending: PendingRequest, target: Target, now: Seconds) -> list[RouterAction]:
        time_left = pending.deadline - now
        mean = self._times.mean_or_none(pending.profile.name)
        if time_left <= 0 or time_left < self._admission.min_time_left(pending):
            return self._abandon(
                pending, Reason.DEADLINE, "too little time was left before its deadline", now
            )
        timeout = Seconds(time_left)
        if (
            pending.profile.idempotent
            and mean is not None
            and time_left > EARLY_TIMEOUT_ABOVE * mean
        ):
            timeout = Seconds(time_left / 2)
        if pending.attempts == 0:
            self._budget(pending).deposit()
        pending.attempts += 1
        pending.stage = Stage.IN_FLIGHT
        attempt = Attempt(pending.attempts)
        presumed_lost_at = Seconds(now + timeout + RESULT_GRACE)
        request_id = pending.arrival.request_id
        if isinstance(target, RemoteInstance):
            self._selector.forwarded_in_flight_by_instance[target.instance] += 1
            pending.in_flight = InFlightAttempt(
                attempt, now, presumed_lost_at, instance=target.instance
            )
            return [
                Forward(
                    request_id,
                    attempt,
                    target.instance,
                    target.data_centre,
                    target.address,
                    timeout,
                )
            ]
        self._shares.acquire(target, now)
        self._admission.record_start(pending, now)
        if pending.profile.urgency is Urgency.OVERNIGHT:
            self._selector.overnight_in_flight_by_service[pending.profile.service] += 1
        pending.tried_endpoints.add(target.endpoint)
        pending.in_flight = InFlightAttempt(
            attempt, now, presumed_lost_at, target.endpoint, target.slots
        )
        connections = self._shares.connection_limit(target)
        return [
            Dispatch(request_id, attempt, target.endpoint, target.address, timeout, connections)
        ]

    def _record_attempt_end(
        self,
        pending: PendingRequest,
        in_flight: InFlightAttempt,
        result: AttemptResult,
        now: Seconds,
    ) -> None:
        """Release the slot of an attempt and update the estimates of health and service time."""
        seconds = now - in_flight.sent_at
        profile = pending.profile
        if in_flight.instance is not None:
            self._selector.forwarded_in_flight_by_instance[in_flight.instance] -= 1
            if result.end in (AttemptEnd.NOT_WRITTEN, AttemptEnd.LOST):
                self._selector.avoid(in_flight.instance, now)
            return
        assert in_flight.endpoint is not None
        if profile.urgency is Urgency.OVERNIGHT:
            self._selector.overnight_in_flight_by_service[profile.service] -= 1
        in_use = self._shares.slots_in_use(in_flight.endpoint)
        self._shares.release(in_flight.endpoint, now, self._slot_hold(profile, result, seconds))
        slowness = self._times.slowness(profile.name, seconds)
        if result.end is AttemptEnd.WHOLE and result.status < MIN_SERVER_ERROR_STATUS:
            self._times.record(profile.name, seconds)
        health = self._health.get(in_flight.endpoint)
        if health.record(result, in_use, in_flight.slots, slowness):
            peers = self._directory.usable_endpoints(profile.service, now)
            self._health.eject(in_flight.endpoint, (peer.endpoint for peer in peers), now)

    def _slot_hold(self, profile: Profile, result: AttemptResult, seconds: float) -> Seconds:
        """Return how long a slot stays in use while the endpoint may work on the request."""
        if result.end is not AttemptEnd.LOST:
            return NO_HOLD
        settings = self._shares.settings
        is_overdue = seconds >= OVERDUE_ABOVE * self._times.expected(profile.name)
        if result.reason is Reason.DEADLINE and is_overdue:
            return settings.late_hold
        return settings.close_hold

    def _finish_or_retry(
        self,
        pending: PendingRequest,
        in_flight: InFlightAttempt,
        result: AttemptResult,
        now: Seconds,
    ) -> list[RouterAction]:
        """Finish a request, or schedule a retry where running it twice is excluded or allowed."""
        if pending.is_finished:
            return self._remove_and_settle(pending)
        is_error = result.end is AttemptEnd.WHOLE and result.status >= MIN_SERVER_ERROR_STATUS
        if result.end is AttemptEnd.WHOLE and not (is_error and pending.profile.idempotent):
            return self._finish_with_last_result(pending, result)
        if self._may_retry(pending, in_flight, result, now):
            pending.stage = Stage.BACKING_OFF
            retry_at = Seconds(now + backoff(pending.retries, self._rng))
            pending.retries += 1
            heapq.heappush(self._retries, (retry_at, pending.arrival.request_id))
            return []
        return self._finish_with_last_result(pending, result)

    def _may_retry(
        self,
        pending: PendingRequest,
        in_flight: InFlightAttempt,
        result: AttemptResult,
        now: Seconds,
    ) -> bool:
        mean = self._times.mean_or_none(pending.profile.name) or 0.0
        if pending.attempts >= MAX_ATTEMPTS or now + mean >= pending.deadline:
            return False
        if result.end is AttemptEnd.NOT_WRITTEN:
            return True
        refused_by_instance = (
            in_flight.instance is not None and result.reason is not Reason.ENDPOINT_REFUSED
        )
        if result.end is AttemptEnd.REFUSED and refused_by_instance:
            return True
        return pending.profile.idempotent and self._budget(pending).withdraw()

    def _finish_with_last_result(
        self, pending: PendingRequest, result: AttemptResult
    ) -> list[RouterAction]:
        answer = pending.last_answer
        return self._finish(pending, refusal_after(pending, result) if answer is None else answer)

    def _abandon(
        self, pending: PendingRequest, reason: Reason, detail: str, now: Seconds
    ) -> list[RouterAction]:
        if pending.last_answer is not None:
            return self._finish(pending, pending.last_answer)
        retry_after = max(MIN_RETRY_AFTER, self._admission.queue_wait(pending.profile.service, now))
        return self._finish(pending, Refusal(reason, detail, pending.execution, retry_after))

    def _finish(
        self, pending: PendingRequest, result: EndpointAnswer | Refusal
    ) -> list[RouterAction]:
        """Return the final answer; a request with an attempt in flight is kept until that ends."""
        pending.is_finished = True
        request_id = pending.arrival.request_id
        self._admission.queue(pending.profile.service).remove(request_id)
        finish = FinishRequest(request_id, result)
        if pending.in_flight is not None:
            return [finish]
        return [*self._remove_and_settle(pending), finish]

    def _remove_and_settle(self, pending: PendingRequest) -> list[RouterAction]:
        """Remove a request that has ended and propose to record its outcome with its key."""
        del self._pending_by_id[pending.arrival.request_id]
        command = settlement_command(pending, self._me)
        return [] if command is None else [ProposeSettlement(pending.arrival.request_id, command)]

    def _evict(self, evicted: QueuedRequest, now: Seconds) -> list[RouterAction]:
        pending = self._pending_by_id[evicted.request_id]
        return self._abandon(pending, Reason.QUEUE_FULL, "it was evicted from the full queue", now)

    def _expire(self, request_id: RequestId, now: Seconds) -> list[RouterAction]:
        pending = self._pending_by_id.get(request_id)
        if pending is None or pending.is_finished:
            return []
        return self._abandon(pending, Reason.DEADLINE, "the deadline passed", now)

    def _expire_unreported_attempts(self, now: Seconds) -> list[RouterAction]:
        overdue = [
            (request_id, pending.in_flight.attempt)
            for request_id, pending in self._pending_by_id.items()
            if pending.in_flight is not None and pending.in_flight.presumed_lost_at <= now
        ]
        lost = AttemptResult(AttemptEnd.LOST, reason=Reason.DEADLINE)
        return [
            action
            for request_id, attempt in overdue
            for action in self.handle_result(request_id, attempt, lost, now)
        ]

    def _budget(self, pending: PendingRequest) -> RetryBudget:
        return self._budgets_by_service.setdefault(pending.profile.service, RetryBudget())

    def _report_load(self, now: Seconds) -> None:
        """Update the demand for slots and the load that other data centres receive."""
        demand_by_service = {
            service: len(self._admission.queue(service)) for service in self._admission.services
        }
        for pending in self._pending_by_id.values():
            if pending.in_flight is not None and pending.in_flight.endpoint is not None:
                demand_by_service[pending.profile.service] += 1
        self._shares.set_demand(demand_by_service, now)
        local = self._directory.local_endpoints(now)
        if len(self._health) > MAX_TRACKED_ENDPOINTS:
            self._health.retain({endpoint.endpoint for endpoint in local})
        services = {endpoint.service for endpoint in local}
        self._directory.set_advertised_loads(
            tuple(self._service_load(service, now) for service in sorted(services))
        )

    def _service_load(self, service: str, now: Seconds) -> ServiceLoad:
        return ServiceLoad(
            service,
            len(self._directory.usable_endpoints(service, now)),
            self._selector.free_slots(service, now),
            len(self._admission.queue(service)),
            self._admission.queue_wait(service, now),
        )
