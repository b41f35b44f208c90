"""
bulrushhollow_daemon.backend
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The daemon as its HTTP API sees it.
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
from bulrushhollow_daemon.api import Delivery, RequestCall
from bulrushhollow_daemon.in_flight import InFlightRequest, request_digest
from bulrushhollow_daemon.metrics import Metrics
from bulrushhollow_daemon.reports import Reports
from bulrushhollow_daemon.runtime import Runtime
from bulrushhollow_daemon.tracing import Tracer
from bulrushhollow_daemon.transport import Transport

PROCESS_BYTES = 6
"""Random bytes that tell the requests of one process from those of another."""

logger = logging.getLogger(__name__)


class DaemonBackend:
    """
    Joins runtime, reports and metrics behind the API.

    :param transport: where the development switch cuts links.
    """

    def __init__(self, runtime: Runtime, transport: Transport, tracer: Tracer) -> None:
        self._runtime = runtime
        self._transport = transport
        self._tracer = tracer
        self._reports = Reports(runtime.node)
        self._metrics = Metrics(runtime.node, transport, clock.now)
        self._process = secrets.token_hex(PROCESS_BYTES)
        self._numbers = itertools.count(1)

    def new_request(self) -> RequestId:
        """Return an id that no other request has."""
        name = self._runtime.node.identity.name
        return RequestId(f"{name}.{self._process}-{next(self._numbers)}")

    async def call(self, event: Callable[[CallId], Event]) -> msgspec.Struct:
        """Feed an event to the core and wait for its reply."""
        answer = await self._runtime.call(event)
        if isinstance(answer, RecoveryAnswer):
            logger.warning("recovered_alone", extra=msgspec.to_builtins(answer))
        return answer

    async def request(self, call: RequestCall) -> Delivery | Refusal:
        """Carry one request to its end."""
        with self._tracer.span("request", call.trace, request=call.request) as span:
            traced = msgspec.structs.replace(call, trace=span.traceparent)
            result = await self._runtime.request(self._flight(traced), _arrival(traced))
        if isinstance(result, Refusal):
            self._metrics.count_refusal(result)
            logger.info("request_refused", extra=_refusal_fields(call, result))
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
        """Return the state of every job that is remembered."""
        return self._reports.jobs()

    def has_caught_up(self) -> bool:
        """Tell whether this instance has seen the newest configuration since its start."""
        return self._runtime.node.has_caught_up

    def is_stopping(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self._runtime.node.is_stopping

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        return self._metrics.render_text()

    def cut(self, peers: frozenset[InstanceName]) -> None:
        """Drop all traffic with these peers."""
        logger.warning("links_cut", extra={"peers": sorted(peers)})
        self._transport.cut = peers

    def _flight(self, call: RequestCall) -> InFlightRequest:
        profiles_by_name = self._runtime.node.configuration.profiles_by_name
        return InFlightRequest(call, profiles_by_name.get(call.profile))


def _arrival(call: RequestCall) -> Arrival:
    patience = math.inf if call.patience is None else call.patience
    return Arrival(
        request_id=call.request,
        profile_name=call.profile,
        size=len(call.body),
        deadline=Seconds(clock.now() + patience),
        key=call.key,
        digest="" if call.key is None else request_digest(call),
        is_forwarded=call.forwarded_as is not None,
    )


def _refusal_fields(call: RequestCall, refusal: Refusal) -> dict[str, str]:
    return {
        "request": call.request,
        "profile": call.profile,
        "reason": refusal.reason.value,
        "execution": refusal.execution.value,
    }
