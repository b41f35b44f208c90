"""
bulrushhollow_daemon.api._backend
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the API needs from the rest of the daemon.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from bulrushhollow_core.answers import (
    DataCentreStatus,
    EndpointStatus,
    InstanceStatus,
    JobAnswer,
)
from bulrushhollow_core.ids import IdempotencyKey, InstanceName, JobId, ProfileName, RequestId
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.node import CallId, Event
from bulrushhollow_core.outcomes import Refusal


class CallerRequest(msgspec.Struct, frozen=True):
    """
    A caller's request after its whole body has been read.

    :param request_id: unique id that this entry instance chose.
    :param timeout: seconds that the caller waits for the answer, or None if it named no limit.
    :param forwarded_request_id: id that the request had at the entry instance that forwarded it
        from another data centre, or None if it came from a caller.
    :param traceparent: W3C ``traceparent`` header of the caller, if it sent one.
    """

    request_id: RequestId
    profile_name: ProfileName
    body: bytes
    key: IdempotencyKey | None = None
    timeout: float | None = None
    forwarded_request_id: RequestId | None = None
    traceparent: str | None = None


class RequestAnswer(msgspec.Struct, frozen=True):
    """An endpoint's complete answer to one request."""

    request_id: RequestId
    status: int
    body: bytes
    content_type: str = "application/octet-stream"


class Backend(Protocol):
    """Operations of the daemon that the API calls."""

    async def call(self, event: Callable[[CallId], Event]) -> msgspec.Struct:
        """
        Pass an event to the core and wait for its reply.

        :param event: returns the event for the id of this call.
        :return: the answer's struct, or a :class:`~bulrushhollow_core.outcomes.Refusal`.
        """

    async def request(self, request: CallerRequest) -> RequestAnswer | Refusal:
        """Process one request and return its answer."""

    def configuration(self) -> Configuration:
        """Return the configuration in force on this instance."""

    def data_centres(self) -> tuple[DataCentreStatus, ...]:
        """Return the state of every data centre."""

    def endpoints(self) -> tuple[EndpointStatus, ...]:
        """Return the state of every endpoint."""

    def status(self) -> InstanceStatus:
        """Return the state of this instance."""

    def job(self, job: JobId) -> JobAnswer | Refusal:
        """Return the state of one job."""

    def jobs(self) -> tuple[JobAnswer, ...]:
        """Return the state of every job that the log still holds."""

    def has_caught_up(self) -> bool:
        """Return whether this instance has seen the newest configuration since its start."""

    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""

    def cut_links(self, peers: frozenset[InstanceName]) -> None:
        """Drop all traffic with exactly these peers; for development only."""
