"""
bulrushhollow_daemon.backend
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operations of the daemon that its HTTP API calls.
"""

import itertools
import logging
import math
import secrets
from collections.abc import Callable

import msgspec

from bulrushhollow_core.answers import (
    DataCentreStatus,
    EndpointStatus,
    InstanceStatus,
    JobAnswer,
    RecoveryAnswer,
)
from bulrushhollow_core.ids import InstanceName, JobId, RequestId, Seconds
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.node import CallId, Event
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_core.requests import Arrival
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.api import CallerRequest, RequestAnswer
from bulrushhollow_daemon.in_flight import InFlightRequest, request_digest
from bulrushhollow_daemon.metrics import Metrics
from bulrushhollow_daemon.reports import Reports
from bulrushhollow_daemon.runtime import Runtime
from bulrushhollow_daemon.tracing import Tracer
from bulrushhollow_daemon.transport import Transport

PROCESS_ID_BYTES = 6
"""Random bytes that distinguish the request ids of this process from those of other processes."""

logger = logging.getLogger(__name__)


class DaemonBackend:
    """
    Implements the API's backend with the runtime, reports and metrics.

    :param transport: the transport on which the development call cuts links.
    """

    def __init__(self, runtime: Runtime, transport: Transport, tracer: Tracer) -> None:
        self._runtime = runtime
        self._transport = transport
        self._tracer = tracer
        self._reports = Reports(runtime.node)
        self._metrics = Metrics(runtime.node, transport, clock.now)
        self._process_id = secrets.token_hex(PROCESS_ID_BYTES)
        self._request_numbers = itertools.count(1)

    def new_request_id(self) -> RequestId:
        """Return a unique request id."""
        instance_name = self._runtime.node.identity.name
        return RequestId(f"{instance_name}.{self._process_id}-{next(self._request_numbers)}")

    async def call(self, event: Callable[[CallId], Event]) -> msgspec.Struct:
        """Pass an event to the core and wait for its reply."""
        answer = await self._runtime.call(event)
        if isinstance(answer, RecoveryAnswer):
            logger.warning("recovered_alone", extra=msgspec.to_builtins(answer))
        return answer

    async def request(self, request: CallerRequest) -> RequestAnswer | Refusal:
        """Process one request and return its answer."""
        with self._tracer.span("request", request.traceparent, request=request.request_id) as span:
            traced = msgspec.structs.replace(request, traceparent=span.traceparent)
            result = await self._runtime.request(
                self._make_in_flight_request(traced), _make_arrival(traced)
            )
        if isinstance(result, Refusal):
            self._metrics.count_refusal(result)
            logger.info("request_refused", extra=_refusal_fields(request, result))
        else:
            self._metrics.count_answer()
        return result

    def configuration(self) -> Configuration:
        """Return the configuration in force on this instance."""
        return self._runtime.node.configuration

    def data_centres(self) -> tuple[DataCentreStatus, ...]:
        """Return the state of every data centre."""
        return self._reports.data_centres(clock.now())

    def endpoints(self) -> tuple[EndpointStatus, ...]:
        """Return the state of every endpoint."""
        return self._reports.endpoints(clock.now())

    def status(self) -> InstanceStatus:
        """Return the state of this instance."""
        return self._reports.instance(clock.now())

    def job(self, job: JobId) -> JobAnswer | Refusal:
        """Return the state of one job."""
        return self._reports.job(job)

    def jobs(self) -> tuple[JobAnswer, ...]:
        """Return the state of every job that the log still holds."""
        return self._reports.jobs()

    def has_caught_up(self) -> bool:
        """Return whether this instance has seen the newest configuration since its start."""
        return self._runtime.node.has_caught_up

    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._runtime.node.is_stopping

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        return self._metrics.render_text()

    def cut_links(self, peers: frozenset[InstanceName]) -> None:
        """Drop all traffic with exactly these peers."""
        logger.warning("links_cut", extra={"peers": sorted(peers)})
        self._transport.cut_peers = peers

    def _make_in_flight_request(self, request: CallerRequest) -> InFlightRequest:
        profiles_by_name = self._runtime.node.configuration.profiles_by_name
        return InFlightRequest(request, profiles_by_name.get(request.profile_name))


def _make_arrival(request: CallerRequest) -> Arrival:
    timeout = math.inf if request.timeout is None else request.timeout
    return Arrival(
        request_id=request.request_id,
        profile_name=request.profile_name,
        size=len(request.body),
        deadline=Seconds(clock.now() + timeout),
        key=request.key,
        digest="" if request.key is None else request_digest(request),
        is_forwarded=request.forwarded_request_id is not None,
    )


def _refusal_fields(request: CallerRequest, refusal: Refusal) -> dict[str, str]:
    return {
        "request": request.request_id,
        "profile": request.profile_name,
        "reason": refusal.reason.value,
        "execution": refusal.execution.value,
    }
